//! Codec throughput beside well-known crates: the same inputs, in turns, in one run. Each figure is the median of
//! many rounds; the last column is the time of a peer over ours.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use fawnrouter_sip::{Limits, Message, Name};
use fawnrouter_ws::{Event, FrameDecoder, Opcode, Role, encode_frame};

const ROUNDS: usize = 61;

/// Median nanoseconds a call of each, measured in turns so that all see the same machine.
fn race(n: usize, entries: &mut [(&str, Box<dyn FnMut() + '_>)]) {
    let mut times = vec![Vec::new(); entries.len()];
    for _ in 0..ROUNDS {
        for (place, (_, run)) in entries.iter_mut().enumerate() {
            let begin = Instant::now();
            for _ in 0..n {
                run();
            }
            times[place].push(begin.elapsed().as_nanos() as f64 / n as f64);
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
    race(
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
        race(
            40,
            &mut [
                (
                    "fawnrouter-ws",
                    Box::new(|| {
                        let mut decoder = FrameDecoder::new(Role::Server, 1 << 20);
                        let mut seen = 0;
                        // As a socket gives them: 16 KiB at a time.
                        for part in black_box(&masked).chunks(16 * 1024) {
                            let mut part = part;
                            while let Ok(Some(Event::Text(text))) = decoder.feed(&mut part) {
                                seen += usize::from(text.len() == size);
                            }
                        }
                        assert_eq!(seen, count);
                    }),
                ),
                (
                    "tungstenite",
                    Box::new(|| {
                        use tungstenite::protocol::{Role, WebSocket};
                        let stream = Parts(black_box(&masked));
                        let mut socket = WebSocket::from_raw_socket(stream, Role::Server, None);
                        let mut seen = 0;
                        while let Ok(tungstenite::Message::Text(text)) = socket.read() {
                            seen += usize::from(text.len() == size);
                        }
                        assert_eq!(seen, count);
                    }),
                ),
                (
                    "fastwebsockets",
                    Box::new(|| {
                        use fastwebsockets::{OpCode, Role, WebSocket};
                        let stream = tokio::io::join(black_box(&masked[..]), tokio::io::sink());
                        let seen = runtime.block_on(async {
                            let mut socket = WebSocket::after_handshake(stream, Role::Server);
                            socket.set_auto_close(false);
                            let mut seen = 0;
                            while let Ok(frame) = socket.read_frame().await {
                                let whole = frame.opcode == OpCode::Text && frame.payload.len() == size;
                                seen += usize::from(whole && std::str::from_utf8(&frame.payload).is_ok());
                            }
                            seen
                        });
                        assert_eq!(seen, count);
                    }),
                ),
            ],
        );
        println!("WebSocket: {count} unmasked text frames of {size} bytes, written");
        let mut out = Vec::with_capacity(masked.len() + 1024);
        let mut buffer = Vec::with_capacity(masked.len() + 1024);
        race(
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

/// A stream that gives 16 KiB at a time and takes everything.
struct Parts<'a>(&'a [u8]);

impl std::io::Read for Parts<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let n = buffer.len().min(self.0.len()).min(16 * 1024);
        buffer[..n].copy_from_slice(&self.0[..n]);
        self.0 = &self.0[n..];
        Ok(n)
    }
}

impl std::io::Write for Parts<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
