//! Codec throughput compared with well-known crates: the same inputs, alternating, in one run. Each figure is
//! the median of many rounds; the last column is the time of a crate relative to the first one.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use fawnrouter_sip::{Limits, Message, Name};
use fawnrouter_ws::{Event, FrameDecoder, Opcode, Role, encode_frame};

const ROUNDS: usize = 61;

/// Prints the median nanoseconds per call of each entry. Entries alternate, so that changes of the machine's
/// speed affect all of them alike.
fn compare(calls_per_round: usize, entries: &mut [(&str, Box<dyn FnMut() + '_>)]) {
    let mut times = vec![Vec::new(); entries.len()];
    for _ in 0..ROUNDS {
        for (index, (_, run)) in entries.iter_mut().enumerate() {
            let begin = Instant::now();
            for _ in 0..calls_per_round {
                run();
            }
            times[index].push(begin.elapsed().as_nanos() as f64 / calls_per_round as f64);
        }
    }
    let medians: Vec<f64> = times
        .iter_mut()
        .map(|t| {
            t.sort_by(f64::total_cmp);
            t[t.len() / 2]
        })
        .collect();
    for ((name, _), median) in entries.iter().zip(&medians) {
        println!("  {name:<16} {median:>9.0} ns   {:.2}", median / medians[0]);
    }
}

const INVITE: &str = include_str!("invite.sip");

fn main() {
    let text = INVITE.replace('\n', "\r\n");
    let bytes = Bytes::from(text.clone());
    let limits = Limits::default();
    println!("SIP: an INVITE of {} bytes, 16 fields; top Via, From tag, Call-ID, CSeq read", bytes.len());
    compare(
        2000,
        &mut [
            (
                "fawnrouter-sip",
                Box::new(|| {
                    let m = Message::parse(black_box(&bytes), &limits).expect("sound");
                    let via = m.via().expect("a Via");
                    let from = fawnrouter_sip::Address::parse(m.get(Name::From).expect("From")).expect("an address");
                    black_box((via.branch(), from.tag(), m.get(Name::CallId), m.cseq().expect("CSeq").number));
                }),
            ),
            (
                "rsip",
                Box::new(|| {
                    use rsip::prelude::*;
                    let m = rsip::SipMessage::try_from(black_box(&bytes[..])).expect("sound");
                    let via = m.via_header().expect("a Via").typed().expect("a Via");
                    let from = m.from_header().expect("From").typed().expect("an address");
                    let cseq = m.cseq_header().expect("CSeq").typed().expect("CSeq");
                    black_box((via.branch().map(|b| b.value().len()), from.tag().is_some(), m.call_id_header().is_ok(), cseq.seq));
                }),
            ),
            (
                "ezk-sip-types",
                Box::new(|| {
                    use ezk_sip_types::Headers;
                    use ezk_sip_types::header::typed::{CSeq, CallID, FromTo, Via};
                    use ezk_sip_types::msg::{Line, MessageLine, PullParser};
                    use bytesstr::BytesStr;
                    let mut parser = PullParser::new(black_box(&bytes), 0);
                    let first = parser.next().expect("a line").expect("a line");
                    let first = BytesStr::from_parse(&bytes, std::str::from_utf8(first).expect("text"));
                    let line: MessageLine = AsRef::<str>::as_ref(&first).parse().expect("a start line");
                    let mut headers = Headers::new();
                    for raw in parser {
                        let raw = raw.expect("a line");
                        if raw.is_empty() {
                            break;
                        }
                        let (_, line) = Line::parse(&bytes, std::str::from_utf8(raw).expect("text")).expect("a field");
                        headers.insert(line.name, line.value);
                    }
                    let via: Via = headers.get_named().expect("a Via");
                    let from: FromTo = headers.get(ezk_sip_types::Name::FROM).expect("From");
                    let call_id: CallID = headers.get_named().expect("Call-ID");
                    let cseq: CSeq = headers.get_named().expect("CSeq");
                    black_box((line, via.params.get_val("branch").is_some(), from.tag.is_some(), call_id.0.len(), cseq.cseq));
                }),
            ),
        ],
    );

    for size in [700usize, 16_000] {
        let payload: String = text.chars().cycle().take(size).collect();
        let count = 64;
        let mut masked = Vec::new();
        for n in 0..count {
            encode_frame(Opcode::Text, payload.as_bytes(), Some([1, 2, n as u8, 4]), &mut masked);
        }
        println!("WebSocket: {count} masked text frames of {size} bytes, read and checked for UTF-8");
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        compare(
            40,
            &mut [
                (
                    "fawnrouter-ws",
                    Box::new(|| {
                        let mut decoder = FrameDecoder::new(Role::Server, 1 << 20);
                        let mut received = 0;
                        // In pieces of 16 KiB, as read from a socket.
                        for chunk in black_box(&masked).chunks(16 * 1024) {
                            let mut chunk = chunk;
                            while let Ok(Some(Event::Text(text))) = decoder.feed(&mut chunk) {
                                received += usize::from(text.len() == size);
                            }
                        }
                        assert_eq!(received, count);
                    }),
                ),
                (
                    "tungstenite",
                    Box::new(|| {
                        use tungstenite::protocol::{Role, WebSocket};
                        let stream = ChunkedReader(black_box(&masked));
                        let mut socket = WebSocket::from_raw_socket(stream, Role::Server, None);
                        let mut received = 0;
                        while let Ok(tungstenite::Message::Text(text)) = socket.read() {
                            received += usize::from(text.len() == size);
                        }
                        assert_eq!(received, count);
                    }),
                ),
                (
                    "fastwebsockets",
                    Box::new(|| {
                        use fastwebsockets::{OpCode, Role, WebSocket};
                        let stream = tokio::io::join(black_box(&masked[..]), tokio::io::sink());
                        let received = runtime.block_on(async {
                            let mut socket = WebSocket::after_handshake(stream, Role::Server);
                            socket.set_auto_close(false);
                            let mut received = 0;
                            while let Ok(frame) = socket.read_frame().await {
                                let whole = frame.opcode == OpCode::Text && frame.payload.len() == size;
                                received += usize::from(whole && std::str::from_utf8(&frame.payload).is_ok());
                            }
                            received
                        });
                        assert_eq!(received, count);
                    }),
                ),
            ],
        );
        println!("WebSocket: {count} unmasked text frames of {size} bytes, written");
        let mut out = Vec::with_capacity(masked.len() + 1024);
        let mut buffer = Vec::with_capacity(masked.len() + 1024);
        compare(
            200,
            &mut [
                (
                    "fawnrouter-ws",
                    Box::new(|| {
                        out.clear();
                        for _ in 0..count {
                            encode_frame(Opcode::Text, black_box(payload.as_bytes()), None, &mut out);
                        }
                        black_box(&out);
                    }),
                ),
                (
                    "tungstenite",
                    Box::new(|| {
                        use tungstenite::protocol::frame::{Frame, coding::{Data, OpCode}};
                        buffer.clear();
                        for _ in 0..count {
                            let payload = black_box(payload.as_bytes()).to_vec();
                            let frame = Frame::message(payload, OpCode::Data(Data::Text), true);
                            frame.format(&mut buffer).expect("written");
                        }
                        black_box(&buffer);
                    }),
                ),
            ],
        );
    }
}

/// A stream that returns at most 16 KiB per read and accepts all writes.
struct ChunkedReader<'a>(&'a [u8]);

impl std::io::Read for ChunkedReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let n = buffer.len().min(self.0.len()).min(16 * 1024);
        buffer[..n].copy_from_slice(&self.0[..n]);
        self.0 = &self.0[n..];
        Ok(n)
    }
}

impl std::io::Write for ChunkedReader<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
