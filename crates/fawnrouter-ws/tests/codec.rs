//! Handshakes and frames, good and bad.

use fawnrouter_ws::*;
use proptest::prelude::*;

const MASK: Option<[u8; 4]> = Some([0x37, 0xfa, 0x21, 0x3d]);

fn terms() -> ServerOptions {
    ServerOptions {
        protocols: vec!["sip".into()],
        origins: Origins::Listed(vec!["https://desk.example".into()]),
        paths: vec!["/".into()],
        ..ServerOptions::default()
    }
}

fn request(from: &str, to: &str) -> Vec<u8> {
    let text = "GET / HTTP/1.1\r\nHost: server.example\r\nUpgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n\
                Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\
                Sec-WebSocket-Protocol: chat, sip\r\nOrigin: https://desk.example\r\n\r\n";
    assert!(text.contains(from));
    text.replacen(from, to, 1).into_bytes()
}

#[test]
fn the_example_key_of_the_specification_gets_its_answer() {
    let accepted = accept(&request("GET", "GET"), &terms()).unwrap().unwrap();
    let text = String::from_utf8(accepted.response).unwrap();
    assert!(text.contains("Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n"), "{text}");
    assert!(text.contains("Sec-WebSocket-Protocol: sip\r\n"), "{text}");
    assert_eq!(accepted.protocol, "sip");
}

#[test]
fn requests_that_are_no_upgrade_of_ours_are_refused_with_their_status() {
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
        let error = accept(&request(from, to), &terms()).unwrap_err();
        assert_eq!(error.status(), status, "{from} -> {to}: {error}");
        let answer = refusal_response(status, &error.to_string(), None);
        assert!(answer.starts_with(format!("HTTP/1.1 {status} ").as_bytes()));
    }
    let long = vec![b'a'; 9000];
    assert_eq!(accept(&long, &terms()).unwrap_err().status(), 431);
}

#[test]
fn a_handshake_cut_at_every_byte_waits_for_the_rest() {
    let all = request("GET", "GET");
    for cut in 0..all.len() {
        assert_eq!(accept(&all[..cut], &terms()), Ok(None), "cut at {cut}");
    }
}

#[test]
fn client_and_server_agree_and_a_wrong_answer_is_noticed() {
    let client = ClientHandshake::new([7; 16], "sip");
    let accepted = accept(&client.request("h", "/", None), &terms()).unwrap().unwrap();
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

/// A message in three pieces with a ping in between, a whole message, a large one, and a close.
fn conversation() -> Vec<u8> {
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
fn frames_cut_at_every_byte_give_the_same_messages() {
    let all = conversation();
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
fn what_breaks_the_protocol_is_told_with_its_close_code() {
    let plain = |bytes: &[u8]| {
        let mut decoder = FrameDecoder::new(Role::Client, 200);
        events(&mut decoder, bytes).map_err(|e| e.close_code().0)
    };
    let rows: [(&str, &[u8], u16); 14] = [
        ("reserved bit", &[0xc1, 0], 1002),
        ("reserved opcode", &[0x83, 0], 1002),
        ("mask from a server", &[0x81, 0x80, 0, 0, 0, 0], 1002),
        ("control frame in pieces", &[0x09, 0], 1002),
        ("long control frame", &[0x89, 126, 0, 126], 1002),
        ("length not in its shortest form", &[0x82, 126, 0, 5], 1002),
        ("length not in its shortest form, 64 bits", &[0x82, 127, 0, 0, 0, 0, 0, 0, 1, 0], 1002),
        ("top bit of the length", &[0x82, 127, 0x80, 0, 0, 0, 0, 0, 0, 1], 1002),
        ("continuation of nothing", &[0x80, 0], 1002),
        ("message inside a message", &[0x01, 0, 0x81, 0], 1002),
        ("too large", &[0x82, 126, 1, 0], 1009),
        ("text that is not UTF-8", &[0x81, 1, 0xff], 1007),
        ("close of one byte", &[0x88, 1, 3], 1002),
        ("close with a status that may not be sent", &[0x88, 2, 3, 0xed], 1002),
    ];
    for (name, bytes, code) in rows {
        assert_eq!(plain(bytes), Err(code), "{name}");
    }
    let mut pieces = vec![0x02, 125];
    pieces.extend([0; 125]);
    pieces.extend([0x80, 125]);
    assert_eq!(plain(&pieces), Err(1009), "pieces that add up to too much");
    let mut unmasked = FrameDecoder::new(Role::Server, 200);
    assert_eq!(unmasked.feed(&mut &[0x81, 0][..]), Err(FrameError::Mask));
}

#[test]
fn nothing_is_read_after_a_close() {
    let mut decoder = FrameDecoder::new(Role::Client, 200);
    assert_eq!(events(&mut decoder, &[0x88, 0, 0x81, 1, b'x']).unwrap(), ["close None"]);
}

#[test]
fn a_long_reason_is_cut_at_a_character() {
    let payload = close_payload(CloseCode::TRY_AGAIN_LATER, &"\u{20ac}".repeat(60));
    assert!(payload.len() <= 125 && std::str::from_utf8(&payload[2..]).is_ok());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_the_codecs_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        for role in [Role::Server, Role::Client] {
            let mut decoder = FrameDecoder::new(role, 200);
            let _ = events(&mut decoder, &bytes);
        }
        let _ = accept(&bytes, &terms());
        let _ = parse_response(&bytes, &HttpLimits::default());
    }

    #[test]
    fn what_is_encoded_reads_back(payload in proptest::collection::vec(any::<u8>(), 0..70_000), mask in any::<[u8; 4]>(), cut in any::<usize>()) {
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
