//! The codec on good, cut and broken lines.

use fawnrouter_jsonl::{DecodeError, Decoder, MAX_LINE_BYTES, Message, Tag, Verb};
use proptest::prelude::*;

const START: &str = r#"{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","left":"1500"},"blob":"9d41\r\nc=IN IP4 10.4.7.9\r\n"}"#;
const REFUSED: &str = r#"{"verb":"FINISH","tag":"9b1f03aa5c7e2d41","opts":{},"rc":34}"#;

fn all(bytes: &[u8]) -> Result<Vec<Message>, DecodeError> {
    let mut decoder = Decoder::new();
    decoder.push(bytes);
    let mut messages = Vec::new();
    while let Some(message) = decoder.next_message()? {
        messages.push(message);
    }
    Ok(messages)
}

#[test]
fn the_pages_examples_are_read_and_written_back_to_the_byte() {
    let messages = all(format!("{START}\n{REFUSED}\n").as_bytes()).unwrap();
    assert_eq!(messages[0].opts["left"].as_u64(), Some(1500));
    assert_eq!((messages[1].verb, messages[1].rc), (Verb::Finish, Some(34)));
    let mut written = Vec::new();
    messages.iter().for_each(|m| m.encode(&mut written));
    assert_eq!(String::from_utf8(written).unwrap(), format!("{START}\n{REFUSED}\n"));
}

#[test]
fn a_stream_cut_at_any_byte_gives_the_same_messages() {
    let stream = format!("{START}\n\n{REFUSED}\r\n{START}\n");
    let whole = all(stream.as_bytes()).unwrap();
    assert_eq!(whole.len(), 3);
    for cut in 0..stream.len() {
        let (mut decoder, mut messages) = (Decoder::new(), Vec::new());
        for part in [&stream.as_bytes()[..cut], &stream.as_bytes()[cut..]] {
            decoder.push(part);
            while let Some(message) = decoder.next_message().unwrap() {
                messages.push(message);
            }
        }
        assert_eq!(messages, whole, "cut at {cut}");
        assert_eq!(decoder.buffered_bytes(), 0);
    }
}

#[test]
fn a_line_of_16_kib_is_read_and_one_byte_more_or_no_end_is_refused() {
    let frame = r#"{"verb":"START","tag":"9b1f03aa5c7e2d41","blob":""}"#.len() + 1;
    let line = |pad: usize| {
        let blob = "x".repeat(pad);
        format!("{{\"verb\":\"START\",\"tag\":\"9b1f03aa5c7e2d41\",\"blob\":\"{blob}\"}}\n")
    };
    assert_eq!(all(line(MAX_LINE_BYTES - frame).as_bytes()).unwrap().len(), 1);
    assert_eq!(all(line(MAX_LINE_BYTES - frame + 1).as_bytes()), Err(DecodeError::TooLong));
    assert_eq!(all(&vec![b'x'; MAX_LINE_BYTES]), Err(DecodeError::TooLong));
}

#[test]
fn a_faulty_line_ends_the_stream_and_names_the_call_where_it_can() {
    let bad = START.replace("{\"class\":\"voice\",\"left\":\"1500\"}", "[1]");
    let mut decoder = Decoder::new();
    decoder.push(format!("{bad}\n{REFUSED}\n").as_bytes());
    let fault = decoder.next_message().unwrap_err();
    assert_eq!(fault.tag(), Some(Tag(0x9b1f_03aa_5c7e_2d41)));
    decoder.push(b"more\n");
    assert_eq!((decoder.next_message(), decoder.buffered_bytes()), (Ok(None), 0), "nothing is kept after it");
    for line in ["{}", "[]", "nonsense", "{\"verb\":\"START\",\"tag\":\"9B1F03AA5C7E2D41\"}", "\u{fffd}", "1"]
    {
        assert!(
            matches!(all(format!("{line}\n").as_bytes()), Err(DecodeError::Malformed { tag: None, .. })),
            "{line}"
        );
    }
}

#[test]
fn figures_are_read_as_text_or_number_and_nothing_else_passes_for_one() {
    let read = |value: &str| {
        let line = format!("{{\"verb\":\"ECHO\",\"tag\":\"0000000000000001\",\"opts\":{{\"n\":{value}}}}}\n");
        all(line.as_bytes()).map(|m| m[0].opts["n"].as_u64())
    };
    assert_eq!((read("7"), read("\"7\"")), (Ok(Some(7)), Ok(Some(7))));
    for odd in ["-1", "1.5", "\"1e3\"", "\"\"", "99999999999999999999999"] {
        assert_eq!(read(odd), Ok(None), "{odd}");
    }
    assert!(read("null").is_err() && read("{}").is_err());
}

proptest! {
    #[test]
    fn any_bytes_give_messages_or_a_fault_and_never_hold_more_than_a_line(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..4000), 0..12)) {
        let mut decoder = Decoder::new();
        for part in parts {
            decoder.push(&part);
            while let Ok(Some(_)) = decoder.next_message() {}
            prop_assert!(decoder.buffered_bytes() < MAX_LINE_BYTES);
        }
    }

    #[test]
    fn a_good_line_with_any_byte_changed_does_no_harm(at in 0usize..START.len(), byte in any::<u8>()) {
        let mut bytes = format!("{START}\n").into_bytes();
        bytes[at] = byte;
        if let Ok(messages) = all(&bytes) {
            for message in messages {
                let mut again = Vec::new();
                message.encode(&mut again);
                if message.verb != Verb::Other {
                    prop_assert_eq!(all(&again).unwrap(), vec![message]);
                }
            }
        }
    }

    #[test]
    fn what_is_written_is_read_back(tag in any::<u64>(), blob in ".*", value in ".*", rc in any::<i64>()) {
        prop_assume!(blob.len() + value.len() < 2000);
        let message = Message::new(Verb::Finish, Tag(tag)).with_cause(rc).with_option("wait", value).with_description(blob);
        let mut bytes = Vec::new();
        message.encode(&mut bytes);
        prop_assert_eq!(all(&bytes).unwrap(), vec![message]);
    }
}
