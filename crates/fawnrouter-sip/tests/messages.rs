//! Parsing, framing, validating and building of messages. The rows of the torture table follow the
//! descriptions of RFC 4475, with messages of their own.

use fawnrouter_sip::*;
use proptest::prelude::*;

/// Result of [`status_of`] for a message that is processed.
const PROCESSED: u16 = 0;
/// Result of [`status_of`] for bytes that are not a message.
const NOT_A_MESSAGE: u16 = 1;

const LIMITS: Limits = Limits { head_bytes: 4096, fields: 40, body_bytes: 1024 };

/// An INVITE with changed lines: (key, line) replaces the default line of that key, or adds the line under a
/// new key. An empty line removes the default one.
fn invite(changes: &[(&str, &str)], body: &str) -> String {
    let mut lines: Vec<(String, String)> = [
        ("INVITE", "INVITE sip:+914842001@gw.example SIP/2.0"),
        ("Via", "Via: SIP/2.0/WS c1.invalid;branch=z9hG4bK-1;rport"),
        ("Max-Forwards", "Max-Forwards: 70"),
        ("From", "From: <sip:a@c1.invalid>;tag=f1"),
        ("To", "To: <sip:+914842001@gw.example>"),
        ("Call-ID", "Call-ID: one@c1"),
        ("CSeq", "CSeq: 1 INVITE"),
        ("Contact", "Contact: <sip:a@c1.invalid;transport=ws>"),
    ]
    .map(|(n, l)| (n.to_owned(), l.to_owned()))
    .to_vec();
    for (name, line) in changes {
        match lines.iter_mut().find(|(n, _)| n == name) {
            Some(slot) => slot.1 = (*line).to_owned(),
            None => lines.push(((*name).to_owned(), (*line).to_owned())),
        }
    }
    let head: String = lines.iter().filter(|(_, l)| !l.is_empty()).map(|(_, l)| format!("{l}\r\n")).collect();
    format!("{head}\r\n{body}")
}

/// The status with which a message is answered: [`PROCESSED`] if it is processed, [`NOT_A_MESSAGE`] if it
/// cannot be parsed at all.
fn status_of(text: &[u8]) -> u16 {
    match Message::parse(text, &LIMITS) {
        Err(_) => NOT_A_MESSAGE,
        Ok(m) if m.status().is_some() => PROCESSED,
        Ok(m) => match m.validate() {
            Err(invalid) => invalid.status,
            Ok(()) => {
                let StartLine::Request { uri, .. } = m.start() else { return PROCESSED };
                match Uri::parse(uri) {
                    Ok(_) => PROCESSED,
                    Err(UriError::Malformed) => 400,
                    Err(UriError::Scheme) => 416,
                }
            }
        },
    }
}

#[test]
fn torture_messages_get_their_expected_status() {
    let long = "x".repeat(900);
    let long_display = format!("From: \"{long}\" <sip:a@c1.invalid>;tag=f1");
    type Row<'a> = (&'a str, Vec<(&'a str, &'a str)>, &'a str, u16);
    let table: Vec<Row> = vec![
        ("plain", vec![], "", PROCESSED),
        // Valid but unusual messages (RFC 4475 §3.1.1).
        (
            "folding and white space",
            vec![
                ("To", "TO :\r\n  <sip:vivek@c2.invalid> ;\r\n\t tag\t= 19"),
                ("Max-Forwards", "Max-Forwards:\t0068"),
            ],
            "",
            PROCESSED,
        ),
        (
            "compact forms",
            vec![
                ("Call-ID", "i: one"),
                ("From", "f: <sip:a@b>;tag=1"),
                ("To", "t: sip:x@y"),
                ("Via", "v: SIP/2.0/WS c.invalid;branch=z9hG4bKa"),
            ],
            "",
            PROCESSED,
        ),
        (
            "spaces around the slashes of a Via",
            vec![("Via", "Via: SIP  / 2.0\r\n /WS   c1.invalid ;branch=  z9hG4bK30")],
            "",
            PROCESSED,
        ),
        (
            "wide range of characters in tokens",
            vec![("X", "!interesting-Header0123456789_*+`.%indeed'~: a"), ("CSeq", "CSeq: 7 INVITE")],
            "",
            PROCESSED,
        ),
        (
            "escapes in the user part",
            vec![("INVITE", "INVITE sip:sips%3Auser%40example.com@example.net SIP/2.0")],
            "",
            PROCESSED,
        ),
        ("escaped nulls", vec![("From", "From: sip:null-%00-null@example.com;tag=83")], "", PROCESSED),
        (
            "percent sign that is not an escape, in a method name",
            vec![("INVITE", "RE%47IST sip:a@b SIP/2.0"), ("CSeq", "CSeq: 1 RE%47IST")],
            "",
            PROCESSED,
        ),
        (
            "name-addr without a space before the bracket",
            vec![("Contact", "Contact: caller<sip:a@c1.invalid>")],
            "",
            PROCESSED,
        ),
        ("long values", vec![("From", &long_display)], "", PROCESSED),
        ("extra octets after the body", vec![("L", "Content-Length: 2")], "abINVITE again", PROCESSED),
        (
            "semicolon in the user part",
            vec![("INVITE", "INVITE sip:user;par=u%40example.net@example.com SIP/2.0")],
            "",
            PROCESSED,
        ),
        (
            "unknown transport in Via",
            vec![("Via", "Via: SIP/2.0/UNKNOWN t1.example;branch=z9hG4bK1")],
            "",
            PROCESSED,
        ),
        (
            "unusual reason phrase",
            vec![("INVITE", "SIP/2.0 200 = 2**3 * 5**2 \u{43d}\u{43e} \u{441}\u{442}\u{43e}")],
            "",
            PROCESSED,
        ),
        ("empty reason phrase", vec![("INVITE", "SIP/2.0 100 ")], "", PROCESSED),
        // Invalid messages (§3.1.2).
        ("extraneous separators in Via", vec![("Via", "Via: SIP/2.0/WS c1.invalid;;,;,,")], "", 400),
        ("Content-Length larger than the message", vec![("L", "Content-Length: 9999")], "short", 400),
        ("negative Content-Length", vec![("L", "Content-Length: -999")], "", 400),
        (
            "request scalar fields overlarge: CSeq",
            vec![("CSeq", "CSeq: 36893488147419103232 INVITE")],
            "",
            400,
        ),
        (
            "request scalar fields overlarge: Max-Forwards",
            vec![("Max-Forwards", "Max-Forwards: 300")],
            "",
            400,
        ),
        (
            "request scalar fields overlarge: Expires",
            vec![("E", "Expires: 10000000000000000000000000000")],
            "",
            400,
        ),
        ("unterminated quoted string", vec![("To", "To: \"Mr. J. User <sip:j.user@example.com>")], "", 400),
        (
            "angle brackets around the request-URI",
            vec![("INVITE", "INVITE <sip:user@example.com> SIP/2.0")],
            "",
            400,
        ),
        (
            "white space inside the request-URI",
            vec![("INVITE", "INVITE sip:user@example.com; lr SIP/2.0")],
            "",
            NOT_A_MESSAGE,
        ),
        (
            "several spaces in the request line",
            vec![("INVITE", "INVITE  sip:user@example.com  SIP/2.0")],
            "",
            NOT_A_MESSAGE,
        ),
        (
            "white space at the end of the request line",
            vec![("INVITE", "INVITE sip:user@example.com SIP/2.0  ")],
            "",
            NOT_A_MESSAGE,
        ),
        (
            "escaped headers in the request-URI",
            vec![("INVITE", "INVITE sip:user@example.com?Route=%3Csip:sip.example.com%3E SIP/2.0")],
            "",
            PROCESSED,
        ),
        ("unknown protocol version", vec![("INVITE", "INVITE sip:t@example.com SIP/7.0")], "", 505),
        ("start line and CSeq differ", vec![("CSeq", "CSeq: 8 OPTIONS")], "", 400),
        (
            "unknown method that CSeq does not name",
            vec![("INVITE", "NEWMETHOD sip:user@example.com SIP/2.0")],
            "",
            400,
        ),
        (
            "response with a status over 699",
            vec![("INVITE", "SIP/2.0 4294967301 better not break")],
            "",
            NOT_A_MESSAGE,
        ),
        // Transaction and application layer semantics (§3.2, §3.3).
        ("missing fields", vec![("Call-ID", ""), ("From", "")], "", 400),
        (
            "unknown scheme",
            vec![("INVITE", "INVITE nobodyKnowsThisScheme:totallyopaquecontent SIP/2.0")],
            "",
            416,
        ),
        (
            "registered scheme that is not routed",
            vec![("INVITE", "INVITE soap.beep://192.0.2.103:3002 SIP/2.0")],
            "",
            416,
        ),
        (
            "unknown schemes in the address fields",
            vec![("To", "To: <http://example.com>"), ("From", "From: <isbn:2983792873>;tag=3")],
            "",
            PROCESSED,
        ),
        (
            "several values in single fields",
            vec![("C2", "Call-ID: other"), ("M2", "Max-Forwards: 5")],
            "",
            400,
        ),
        (
            "several Content-Length values",
            vec![("L1", "Content-Length: 3"), ("L2", "Content-Length: 2")],
            "abc",
            400,
        ),
        (
            "a URI as To without brackets, with a question mark",
            vec![("To", "To: sip:a@b?Route=x")],
            "",
            PROCESSED,
        ),
        ("empty request-URI", vec![("INVITE", "INVITE  SIP/2.0")], "", NOT_A_MESSAGE),
        ("field line without a colon", vec![("X", "nonsense")], "", NOT_A_MESSAGE),
        (
            "control character in the start line",
            vec![("INVITE", "INVITE sip:a\u{1}b@c SIP/2.0")],
            "",
            NOT_A_MESSAGE,
        ),
        ("bare carriage return in a value", vec![("X", "Subject: a\rb")], "", NOT_A_MESSAGE),
    ];
    for (name, changes, body, expected) in table {
        let text = invite(&changes, body);
        assert_eq!(status_of(text.as_bytes()), expected, "{name}:\n{text}");
    }
    assert_eq!(status_of(b"\xff\xfe\r\n\r\n"), NOT_A_MESSAGE);
    assert_eq!(status_of(b""), NOT_A_MESSAGE);
}

#[test]
fn folded_compact_and_repeated_fields_form_one_list() {
    let text = invite(
        &[
            ("S", "k: 100rel,\r\n timer"),
            ("S2", "Supported: outbound"),
            ("V2", "Via: SIP/2.0/TCP h:5060;branch=z9hG4bKb, SIP/2.0/TLS i"),
        ],
        "",
    );
    let m = Message::parse(text.as_bytes(), &LIMITS).unwrap();
    assert_eq!(m.values(Name::Supported).collect::<Vec<_>>(), ["100rel", "timer", "outbound"]);
    assert_eq!(m.values(Name::Via).count(), 3);
    assert_eq!(m.via().unwrap().branch(), Some("z9hG4bK-1"));
}

#[test]
fn numbers_and_trunk_groups_are_read_from_sip_and_tel_uris() {
    let uri =
        Uri::parse("sip:+1-630-555-0100;tgrp=TG-1;trunk-context=example.com@isp.example:5070;user=phone")
            .unwrap();
    assert_eq!(uri.number(), "+16305550100");
    assert_eq!(uri.trunk_group(), Some(TrunkGroup { label: "TG-1", context: "example.com" }));
    assert_eq!((uri.host, uri.port, uri.params.get("user")), ("isp.example", Some(5070), Some("phone")));
    let tel = Uri::parse("tel:+16305550100;tgrp=TG-2;trunk-context=+1-630").unwrap();
    assert_eq!(tel.trunk_group().map(|t| t.label), Some("TG-2"));
    assert_eq!(Uri::parse("sip:a%62c@h").unwrap().number(), "abc");
    assert_eq!(Uri::parse("sip:x@[2001:db8::1]:99").unwrap().port, Some(99));
    assert_eq!(Uri::parse("sip:a@h%zz"), Err(UriError::Malformed));
    assert_eq!(Uri::parse("mailto:a@h"), Err(UriError::Scheme));
}

#[test]
fn response_copies_the_transaction_fields_and_adds_the_source_address() {
    let m = Message::parse(invite(&[], "").as_bytes(), &LIMITS).unwrap();
    let bytes = MessageBuilder::response_to(&m, 503, None, "t9", Some(("127.0.0.1", 4711)))
        .field(Name::RetryAfter, "2")
        .finish(b"");
    let response = Message::parse(&bytes, &LIMITS).unwrap();
    assert_eq!(response.status(), Some(503));
    assert_eq!(response.get(Name::To), Some("<sip:+914842001@gw.example>;tag=t9"));
    let via = response.via().unwrap();
    assert_eq!((via.params.get("rport"), via.params.get("received")), (Some("4711"), Some("127.0.0.1")));
    assert_eq!(response.get(Name::CSeq), Some("1 INVITE"));
}

#[test]
fn requests_in_a_dialog_are_sent_to_the_contact_through_the_route_set() {
    let m =
        Message::parse(invite(&[("R", "Record-Route: <sip:p1;lr>, <sip:p2;lr>")], "").as_bytes(), &LIMITS)
            .unwrap();
    let mut dialog = Dialog::callee(&m, "loc").unwrap();
    let bytes = dialog.request(Method::Bye, "SIP/2.0/WS g;branch=z9hG4bKx").finish(b"");
    let bye = Message::parse(&bytes, &LIMITS).unwrap();
    assert!(bye.validate().is_ok());
    assert_eq!(bye.values(Name::Route).collect::<Vec<_>>(), ["<sip:p1;lr>", "<sip:p2;lr>"]);
    assert!(matches!(bye.start(), StartLine::Request { uri: "sip:a@c1.invalid;transport=ws", .. }));
    assert_eq!(bye.get(Name::CSeq), Some("1 BYE"));
    assert!(dialog.accept_cseq(2) && !dialog.accept_cseq(2) && !dialog.accept_cseq(1));
}

#[test]
fn line_ends_in_a_value_do_not_inject_a_field() {
    let bytes =
        MessageBuilder::request(Method::Options, "sip:h").field(Name::Subject, "a\r\nVia: evil").finish(b"");
    assert!(!String::from_utf8(bytes).unwrap().contains("\nVia"));
}

#[test]
fn limits_on_heads_fields_and_bodies_are_enforced() {
    let fields: String = (0..60).map(|n| format!("X-{n}: a\r\n")).collect();
    let text = invite(&[], "").replace("\r\n\r\n", &format!("\r\n{fields}\r\n"));
    assert!(matches!(Message::parse(text.as_bytes(), &LIMITS), Err(ParseError::TooLarge { .. })));
    let mut stream = StreamDecoder::new(LIMITS);
    stream.push(&vec![b'x'; 5000]);
    assert!(matches!(stream.next_item(), Err(ParseError::TooLarge { .. })));
    let mut stream = StreamDecoder::new(LIMITS);
    stream.push(invite(&[("L", "Content-Length: 2000")], "").as_bytes());
    assert!(matches!(stream.next_item(), Err(ParseError::TooLarge { .. })));
}

fn decode_all(stream: &mut StreamDecoder) -> Vec<StreamItem> {
    std::iter::from_fn(|| stream.next_item().unwrap()).collect()
}

#[test]
fn stream_split_at_any_byte_yields_the_same_messages() {
    let one = invite(&[("L", "Content-Length: 4")], "body");
    let all = format!("\r\n{one}\r\n\r\n{one}{one}");
    let mut whole = StreamDecoder::new(LIMITS);
    whole.push(all.as_bytes());
    let expected = decode_all(&mut whole);
    assert_eq!(expected.len(), 4);
    for cut in 0..all.len() {
        let mut stream = StreamDecoder::new(LIMITS);
        let mut got = Vec::new();
        for part in [&all.as_bytes()[..cut], &all.as_bytes()[cut..]] {
            stream.push(part);
            got.extend(decode_all(&mut stream));
        }
        assert_eq!(got, expected, "cut at {cut}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_make_the_parsers_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
    ) {
        let _ = status_of(&bytes);
        let mut stream = StreamDecoder::new(LIMITS);
        stream.push(&bytes);
        while let Ok(Some(_)) = stream.next_item() {}
    }

    #[test]
    fn changed_valid_messages_do_not_make_the_parsers_panic(
        at in 0usize..300,
        with in any::<u8>(),
        cut in 0usize..300,
    ) {
        let mut bytes = invite(&[("L", "Content-Length: 3")], "abc").into_bytes();
        let len = bytes.len();
        bytes[at % len] = with;
        bytes.truncate(len - cut % len);
        let _ = status_of(&bytes);
        for text in bytes.split(|b| *b == b'\n').filter_map(|l| std::str::from_utf8(l).ok()) {
            let _ = Uri::parse(text).map(|u| (u.number().len(), u.trunk_group().is_some()));
            let _ = (Address::parse(text), Via::parse(text));
            let _ = (CSeq::parse(text), Reason::parse(text), split_values(text).count(), unescape(text).len());
        }
    }

    #[test]
    fn built_message_parses_back_unchanged(
        user in "[a-z0-9.]{1,12}",
        subject in "[ -~]{0,40}",
        body in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let uri = format!("sip:{user}@h.example");
        let mut builder = MessageBuilder::request(Method::Invite, &uri);
        let bytes = builder.field(Name::Subject, &subject).finish(&body);
        let m = Message::parse(&bytes, &LIMITS).unwrap();
        let same = matches!(m.start(), StartLine::Request { method: Method::Invite, uri: u, .. } if u == uri);
        prop_assert!(same);
        prop_assert_eq!(m.get(Name::Subject), Some(subject.trim_matches([' ', '\t'])));
        prop_assert_eq!(m.body(), &body[..]);
        let mut stream = StreamDecoder::new(LIMITS);
        stream.push(&bytes);
        prop_assert_eq!(stream.next_item().unwrap(), Some(StreamItem::Message(Box::new(m))));
    }
}
