//! Valid and invalid handshakes and frames.

use fawnrouter_ws::*;
use proptest::prelude::*;

const MASK: Option<[u8; 4]> = Some([0x37, 0xfa, 0x21, 0x3d]);

fn options() -> ServerOptions {
    ServerOptions {
        protocols: vec!["sip".into()],
        origins: Origins::Listed(vec!["https://desk.example".into()]),
        paths: vec!["/".into()],
        ..ServerOptions::default()
    }
}

fn valid_request() -> Vec<u8> {
    request_with("GET", "GET")
}

/// A valid request in which the first `from` is replaced by `to`.
fn request_with(from: &str, to: &str) -> Vec<u8> {
    let text = "GET / HTTP/1.1\r\nHost: server.example\r\nUpgrade: websocket\r\n\
                Connection: keep-alive, Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\
                Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: chat, sip\r\nOrigin: https://desk.example\r\n\r\n";
    assert!(text.contains(from));
    text.replacen(from, to, 1).into_bytes()
}

#[test]
fn example_key_of_the_specification_gets_its_accept_value() {
    let accepted = accept(&valid_request(), &options()).unwrap().unwrap();
    let text = String::from_utf8(accepted.response).unwrap();
    assert!(text.contains("Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n"), "{text}");
    assert!(text.contains("Sec-WebSocket-Protocol: sip\r\n"), "{text}");
    assert_eq!(accepted.protocol, "sip");
}

#[test]
fn requests_that_are_not_accepted_are_refused_with_the_right_status() {
    let rows = [
        ("GET /", "POST /", 426),
        ("GET /", "GET /nowhere", 404),
        ("HTTP/1.1", "HTTP/1.0", 505),
        ("GET / HTTP/1.1", "GET /", 400),
        ("Host: server.example\r\n", "", 400),
        ("Host: server.example", "Host: a\r\nHost: b", 400),
        ("Upgrade: websocket", "Upgrade: h2c", 426),
        ("keep-alive, Upgrade", "keep-alive", 426),
        ("Version: 13", "Version: 8", 426),
        ("dGhlIHNhbXBsZSBub25jZQ==", "c2hvcnQ=", 426),
        ("chat, sip", "chat", 400),
        ("https://desk.example", "https://evil.example", 403),
        ("Connection: ", "Connection : ", 400),
        ("Upgrade: websocket\r\n", "Upgrade: websocket\r\n folded: yes\r\n", 400),
    ];
    for (from, to, status) in rows {
        let error = accept(&request_with(from, to), &options()).unwrap_err();
        assert_eq!(error.status(), status, "{from} -> {to}: {error}");
        let response = refusal_response(status, &error.to_string(), None);
        assert!(response.starts_with(format!("HTTP/1.1 {status} ").as_bytes()));
    }
    let long = vec![b'a'; 9000];
    assert_eq!(accept(&long, &options()).unwrap_err().status(), 431);
}

#[test]
fn incomplete_handshake_waits_for_the_rest() {
    let all = valid_request();
    for cut in 0..all.len() {
        assert_eq!(accept(&all[..cut], &options()), Ok(None), "cut at {cut}");
    }
}

#[test]
fn client_accepts_the_matching_response_and_rejects_others() {
    let client = ClientHandshake::new([7; 16], "sip");
    let accepted = accept(&client.request("h", "/", None), &options()).unwrap().unwrap();
    assert_eq!(client.check(&accepted.response, &HttpLimits::default()), Ok(Some(accepted.response.len())));
    let other = ClientHandshake::new([8; 16], "sip");
    assert!(matches!(
        other.check(&accepted.response, &HttpLimits::default()),
        Err(HandshakeError::InvalidResponse(_))
    ));
    let refused = refusal_response(503, "full", Some(2));
    assert_eq!(client.check(&refused, &HttpLimits::default()), Err(HandshakeError::Refused(503)));
}

fn events(decoder: &mut FrameDecoder, mut input: &[u8]) -> Result<Vec<String>, FrameError> {
    let mut all = Vec::new();
    while let Some(event) = decoder.feed(&mut input)? {
        all.push(match event {
            Event::Text(t) => format!("text {t}"),
            Event::Binary(b) => format!("binary {}", b.len()),
            Event::Ping(p) => format!("ping {}", p.len()),
            Event::Pong(p) => format!("pong {}", p.len()),
            Event::Close(c) => format!("close {:?}", c.map(|c| c.0)),
        });
    }
    Ok(all)
}

/// A message in three fragments with a ping in between, a short message, a long one, and a close.
fn frame_sequence() -> Vec<u8> {
    let mut bytes = Vec::new();
    encode_fragment(Opcode::Text, false, "gr\u{fc}".as_bytes(), MASK, &mut bytes);
    encode_frame(Opcode::Ping, b"there?", MASK, &mut bytes);
    encode_fragment(Opcode::Continuation, false, b"", MASK, &mut bytes);
    encode_fragment(Opcode::Continuation, true, "\u{df}e".as_bytes(), MASK, &mut bytes);
    encode_frame(Opcode::Text, b"whole", MASK, &mut bytes);
    encode_frame(Opcode::Binary, &[9; 300], MASK, &mut bytes);
    encode_frame(Opcode::Close, &close_payload(CloseCode::NORMAL, "bye"), MASK, &mut bytes);
    bytes
}

#[test]
fn frames_split_at_any_byte_yield_the_same_messages() {
    let all = frame_sequence();
    let expected = ["ping 6", "text gr\u{fc}\u{df}e", "text whole", "binary 300", "close Some(1000)"];
    for cut in 0..=all.len() {
        let mut decoder = FrameDecoder::new(Role::Server, 1000);
        let mut got = events(&mut decoder, &all[..cut]).unwrap();
        got.extend(events(&mut decoder, &all[cut..]).unwrap());
        assert_eq!(got, expected, "cut at {cut}");
    }
    let mut decoder = FrameDecoder::new(Role::Server, 1000);
    let mut got = Vec::new();
    for byte in all {
        got.extend(events(&mut decoder, &[byte]).unwrap());
    }
    assert_eq!(got, expected);
}

#[test]
fn protocol_errors_map_to_their_close_codes() {
    let close_code_for = |bytes: &[u8]| {
        let mut decoder = FrameDecoder::new(Role::Client, 200);
        events(&mut decoder, bytes).map_err(|e| e.close_code().0)
    };
    let rows: [(&str, &[u8], u16); 14] = [
        ("reserved bit", &[0xc1, 0], 1002),
        ("reserved opcode", &[0x83, 0], 1002),
        ("mask from a server", &[0x81, 0x80, 0, 0, 0, 0], 1002),
        ("fragmented control frame", &[0x09, 0], 1002),
        ("long control frame", &[0x89, 126, 0, 126], 1002),
        ("length not in its shortest form", &[0x82, 126, 0, 5], 1002),
        ("length not in its shortest form, 64 bits", &[0x82, 127, 0, 0, 0, 0, 0, 0, 1, 0], 1002),
        ("top bit of the length", &[0x82, 127, 0x80, 0, 0, 0, 0, 0, 0, 1], 1002),
        ("continuation without a message", &[0x80, 0], 1002),
        ("message inside a message", &[0x01, 0, 0x81, 0], 1002),
        ("too large", &[0x82, 126, 1, 0], 1009),
        ("text that is not UTF-8", &[0x81, 1, 0xff], 1007),
        ("close of one byte", &[0x88, 1, 3], 1002),
        ("close with a code that may not be sent", &[0x88, 2, 3, 0xed], 1002),
    ];
    for (name, bytes, code) in rows {
        assert_eq!(close_code_for(bytes), Err(code), "{name}");
    }
    let mut fragments = vec![0x02, 125];
    fragments.extend([0; 125]);
    fragments.extend([0x80, 125]);
    assert_eq!(close_code_for(&fragments), Err(1009), "fragments that add up to more than the limit");
    let mut unmasked = FrameDecoder::new(Role::Server, 200);
    assert_eq!(unmasked.feed(&mut &[0x81, 0][..]), Err(FrameError::Mask));
}

#[test]
fn nothing_is_decoded_after_a_close() {
    let mut decoder = FrameDecoder::new(Role::Client, 200);
    assert_eq!(events(&mut decoder, &[0x88, 0, 0x81, 1, b'x']).unwrap(), ["close None"]);
}

#[test]
fn long_close_reason_is_truncated_at_a_character_boundary() {
    let payload = close_payload(CloseCode::TRY_AGAIN_LATER, &"\u{20ac}".repeat(60));
    assert!(payload.len() <= 125 && std::str::from_utf8(&payload[2..]).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_make_the_codecs_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        for role in [Role::Server, Role::Client] {
            let mut decoder = FrameDecoder::new(role, 200);
            let _ = events(&mut decoder, &bytes);
        }
        let _ = accept(&bytes, &options());
        let _ = parse_response(&bytes, &HttpLimits::default());
    }

    #[test]
    fn encoded_messages_decode_to_the_same_payload(
        payload in proptest::collection::vec(any::<u8>(), 0..70_000),
        mask in any::<[u8; 4]>(),
        cut in any::<usize>(),
    ) {
        let cut = cut % (payload.len() + 1);
        let mut bytes = Vec::new();
        encode_fragment(Opcode::Binary, false, &payload[..cut], Some(mask), &mut bytes);
        encode_fragment(Opcode::Continuation, true, &payload[cut..], Some(mask), &mut bytes);
        encode_frame(Opcode::Binary, &payload, Some(mask), &mut bytes);
        let mut decoder = FrameDecoder::new(Role::Server, 80_000);
        let mut input = &bytes[..];
        for _ in 0..2 {
            prop_assert_eq!(decoder.feed(&mut input).unwrap(), Some(Event::Binary(&payload[..])));
        }
        prop_assert_eq!(decoder.feed(&mut input).unwrap(), None);
        prop_assert!(input.is_empty());
    }
}
