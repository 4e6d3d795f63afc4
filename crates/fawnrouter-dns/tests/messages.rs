//! Queries and answers, good, cut, and hostile.

use fawnrouter_dns::{Name, NameError, RecordData, RecordType, ResponseError, query, read_response};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

/// An answer written by hand after RFC 1035 §4.1: a question at 12, an SRV whose target is compressed into it, an A
/// and a TXT that point to the SRV's target, and a SOA.
fn good() -> Vec<u8> {
    let mut m = vec![0x12, 0x34, 0x84, 0, 0, 1, 0, 1, 0, 1, 0, 2];
    m.extend(b"\x04_app\x04_tcp\x07cluster\x03lan\0\0\x21\0\x01");
    m.extend(b"\xc0\x0c\0\x21\0\x01\0\0\0\x05\0\x13\0\0\0\x28\x13\xc4");
    let target = m.len() as u8;
    m.extend(b"\x02s1\x04east\x03lan\0");
    m.extend(b"\xc0\x0c\0\x06\0\x01\0\0\0\x05\0\x18\xc0\x0c\xc0\x0c\0\0\0\x29");
    m.extend([0; 16]);
    m.extend([0xc0, target]);
    m.extend(b"\0\x01\0\x01\0\0\0\x05\0\x04\x0a\x01\0\x09");
    m.extend([0xc0, target]);
    m.extend(b"\0\x10\0\x01\0\0\0\x05\0\x10\x08kind=std\x06cell=2");
    m
}

fn read(message: &[u8]) -> Result<fawnrouter_dns::Response, ResponseError> {
    read_response(message, 0x1234, &name("_app._tcp.cluster.lan"), RecordType::Srv)
}

#[test]
fn a_query_is_written_as_the_rfc_draws_it() {
    let bytes = query(0xbeef, &name("a.bc"), RecordType::Srv);
    assert_eq!(bytes, b"\xbe\xef\0\0\0\x01\0\0\0\0\0\0\x01a\x02bc\0\0\x21\0\x01");
}

#[test]
fn srv_address_text_and_serial_are_read_through_compressed_names() {
    let answer = read(&good()).unwrap();
    let target = name("s1.east.lan");
    let srv = RecordData::Srv { priority: 0, weight: 40, port: 5060, target: target.clone() };
    assert_eq!(answer.answers[0].data, srv);
    assert_eq!(answer.authority[0].data, RecordData::Soa { serial: 41 });
    assert_eq!(answer.additional[0].name, target);
    assert_eq!(answer.additional[0].data, RecordData::A([10, 1, 0, 9].into()));
    assert_eq!(answer.additional[1].data, RecordData::Txt(vec![b"kind=std".to_vec(), b"cell=2".to_vec()]));
}

#[test]
fn an_answer_cut_anywhere_or_with_a_byte_too_many_is_an_error() {
    let message = good();
    for cut in 0..message.len() {
        assert!(read(&message[..cut]).is_err(), "cut at {cut}");
    }
    assert_eq!(read(&[message, vec![0]].concat()), Err(ResponseError::TrailingBytes));
}

#[test]
fn another_id_question_flag_or_failure_is_told_apart() {
    let changed = |at: usize, to: u8| {
        let mut message = good();
        message[at] = to;
        read(&message)
    };
    assert_eq!(changed(1, 0x35), Err(ResponseError::IdMismatch));
    assert_eq!(changed(2, 0x04), Err(ResponseError::NotAResponse));
    assert_eq!(changed(2, 0x86), Err(ResponseError::Truncated));
    assert_eq!(changed(3, 0x02), Err(ResponseError::ResponseCode(2)));
    assert_eq!(changed(13, b'x'), Err(ResponseError::QuestionMismatch));
    assert!(changed(13, b'_').is_ok());
}

#[test]
fn pointers_in_a_ring_or_forward_are_refused() {
    let head = |name: &[u8]| [&[0x12, 0x34, 0x80, 0, 0, 1, 0, 0, 0, 0, 0, 0], name].concat();
    for ring in [b"\xc0\x0c".as_slice(), b"\x01a\xc0\x0c", b"\xc0\x0e\xc0\x0c", b"\xc0\xff"] {
        assert_eq!(read(&head(ring)), Err(ResponseError::Name(NameError::InvalidPointer)), "{ring:?}");
    }
    assert_eq!(read(&head(b"\x40a")), Err(ResponseError::Name(NameError::InvalidLabel)));
}

#[test]
fn names_out_of_bounds_are_refused() {
    assert_eq!("".parse::<Name>(), Err(NameError::InvalidLabel));
    assert_eq!("a..b".parse::<Name>(), Err(NameError::InvalidLabel));
    assert_eq!("x".repeat(64).parse::<Name>(), Err(NameError::InvalidLabel));
    assert_eq!(["x".repeat(63).as_str(); 4].join(".").parse::<Name>(), Err(NameError::TooLong));
    assert_eq!("a b".parse::<Name>(), Err(NameError::NotPrintableAscii));
    assert_eq!(name("A.lan."), name("a.lan"));
}

proptest! {
    #[test]
    fn no_bytes_bring_the_reader_down(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = read(&bytes);
    }

    #[test]
    fn a_good_answer_with_bytes_changed_is_read_or_refused(changes in prop::collection::vec((0usize..150, any::<u8>()), 1..6)) {
        let mut message = good();
        for (at, byte) in changes {
            let at = at % message.len();
            message[at] = byte;
        }
        let _ = read(&message);
    }

    #[test]
    fn a_name_is_written_and_read_back(labels in prop::collection::vec("[a-z0-9_-]{1,20}", 1..8)) {
        let name = name(&labels.join("."));
        let message = query(0x1234, &name, RecordType::Srv);
        let mut answer = message.clone();
        answer[2] = 0x80;
        prop_assert_eq!(read_response(&answer, 0x1234, &name, RecordType::Srv), Ok(Default::default()));
    }
}
