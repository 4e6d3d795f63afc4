//! A client's connection: the handshake, then SIP in WebSocket messages (RFC 7118).

use std::cell::Cell;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use fawnrouter_admission::{Conn, Reason};
use fawnrouter_engine::{Input, whole_seconds};
use fawnrouter_sip::{Limits, Message};
use fawnrouter_ws::{
    CloseCode, Decoder, Event, HttpLimits, Opcode, Origins, Role, Terms, accept, close_payload, encode,
    refuse,
};
use futures_lite::{AsyncWriteExt, future};

use crate::core::Core;
use crate::outbox::Outbox;

/// How long a connection that ends may take to write its last bytes.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// Reads once into the shared buffer and hands the bytes on; `None` at the end of the stream.
async fn read_some<T>(
    core: &Core,
    stream: &Async<TcpStream>,
    take: impl FnOnce(&[u8]) -> T,
) -> io::Result<Option<T>> {
    let n = stream.read_with(|mut s| s.read(&mut core.scratch.borrow_mut())).await?;
    Ok((n > 0).then(|| take(&core.scratch.borrow()[..n])))
}

pub fn sip_limits(core: &Core) -> Limits {
    let limits = &core.settings.limits;
    Limits { head: limits.head_bytes, fields: limits.fields, body: limits.body_bytes }
}

/// The terms of the handshake.
pub fn terms(core: &Core) -> Terms {
    let listen = &core.settings.listen;
    Terms {
        limits: HttpLimits { head: core.settings.limits.head_bytes, fields: core.settings.limits.fields },
        protocols: vec!["sip".into()],
        origins: if listen.origins.is_empty() {
            Origins::Any
        } else {
            Origins::Listed(listen.origins.clone())
        },
        paths: vec![listen.path.clone()],
    }
}

/// Serves one connection to its end.
pub async fn drive(core: Rc<Core>, conn: Conn, stream: Async<TcpStream>, peer: SocketAddr, terms: Rc<Terms>) {
    serve(&core, conn, stream, peer, &terms).await;
    core.gone(conn);
}

/// Tells a connection that does not get in when to come back. The answer goes out before its request is read, and
/// what it sends is read for a moment, so that the answer is not lost to a reset.
pub async fn turn_away(core: Rc<Core>, stream: Async<TcpStream>, reason: Reason, wait: Duration) {
    let answer = refuse(503, reason.text(), Some(whole_seconds(wait)));
    future::or(tell_and_end(&core, &stream, &answer), async {
        Timer::after(LAST_WORDS).await;
    })
    .await;
}

/// Writes the last answer and reads what still comes, so that the answer is not lost to a reset. Ends when the peer
/// does; whoever calls it sets a time.
async fn tell_and_end(core: &Core, mut stream: &Async<TcpStream>, answer: &[u8]) {
    let _ = stream.write_all(answer).await;
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    while let Ok(Some(())) = read_some(core, stream, |_| ()).await {}
}

async fn serve(core: &Rc<Core>, conn: Conn, stream: Async<TcpStream>, peer: SocketAddr, terms: &Terms) {
    let _ = stream.get_ref().set_nodelay(true);
    let limit = Duration::from_millis(core.settings.listen.handshake_ms);
    let shaken = future::or(handshake(core, conn, &stream, terms), async {
        Timer::after(limit).await;
        None
    });
    let Some(rest) = shaken.await else { return };
    let outbox = Rc::new(Outbox::new(core.settings.limits.write_backlog_bytes));
    let client = core.add_client(conn, outbox.clone());
    core.input(Input::ClientUp { client, peer });
    tracing::debug!(client = client.0, %peer, "client connected");
    let heard = Cell::new(Instant::now());
    let reading = async {
        let limits = &core.settings.limits;
        let mut decoder = Decoder::new(Role::Server, limits.head_bytes + limits.body_bytes);
        let mut session = Session { core, client, outbox: &outbox, bad_in_a_row: 0 };
        let mut goes_on = session.take_all(&mut decoder, &rest);
        drop(rest);
        while goes_on {
            // One client's stream of messages must not keep the others waiting.
            future::yield_now().await;
            let read = read_some(core, &stream, |bytes| session.take_all(&mut decoder, bytes));
            match read.await {
                Ok(Some(more)) => goes_on = more,
                _ => return outbox.kill(),
            }
            heard.set(Instant::now());
        }
    };
    let writing = async {
        let _ = outbox.write_to(&stream).await;
    };
    let watching = future::or(outbox.killed(), keep_alive(core, &outbox, &heard));
    future::or(future::or(reading, writing), watching).await;
    core.remove_client(client);
    core.input(Input::ClientDown { client });
    outbox.finish();
    let last = async {
        let _ = outbox.write_to(&stream).await;
    };
    future::or(last, async {
        Timer::after(LAST_WORDS).await;
    })
    .await;
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    tracing::debug!(client = client.0, "client gone");
}

/// Agrees with the client; `Some` with the bytes that came behind its request.
async fn handshake(core: &Core, conn: Conn, stream: &Async<TcpStream>, terms: &Terms) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    loop {
        let more = read_some(core, stream, |b| bytes.extend_from_slice(b)).await;
        if !matches!(more, Ok(Some(()))) {
            return None;
        }
        let answer =
            match accept(&bytes, terms).map(|done| done.map(|accepted| (accepted, core.shaken(conn)))) {
                Ok(None) => continue,
                Ok(Some((_, Err((reason, wait))))) => refuse(503, reason.text(), Some(whole_seconds(wait))),
                Ok(Some((accepted, Ok(())))) => {
                    let mut stream = stream;
                    stream.write_all(&accepted.response).await.ok()?;
                    return Some(bytes.split_off(accepted.consumed));
                }
                Err(error) => refuse(error.status(), &error.to_string(), None),
            };
        tell_and_end(core, stream, &answer).await;
        return None;
    }
}

/// Pings a silent client; ends when it stays silent.
async fn keep_alive(core: &Core, outbox: &Outbox, heard: &Cell<Instant>) {
    let pause = Duration::from_millis(core.settings.listen.ping_ms);
    loop {
        let silent = heard.get().elapsed();
        if silent >= pause * 2 {
            return outbox.kill();
        }
        if silent >= pause {
            outbox.push(|out| encode(Opcode::Ping, b"", None, out));
            Timer::at(heard.get() + pause * 2).await;
        } else {
            Timer::at(heard.get() + pause).await;
        }
    }
}

struct Session<'a> {
    core: &'a Rc<Core>,
    client: fawnrouter_engine::ClientId,
    outbox: &'a Outbox,
    bad_in_a_row: usize,
}

impl Session<'_> {
    /// Works on all that is there; `false` when the connection is to end.
    fn take_all(&mut self, decoder: &mut Decoder, mut input: &[u8]) -> bool {
        loop {
            let (code, reason) = match decoder.feed(&mut input) {
                Ok(None) => return true,
                Ok(Some(Event::Text(text))) => match self.message(text.as_bytes()) {
                    Some(reason) => (CloseCode::POLICY, reason),
                    None => continue,
                },
                Ok(Some(Event::Binary(bytes))) => match self.message(bytes) {
                    Some(reason) => (CloseCode::POLICY, reason),
                    None => continue,
                },
                Ok(Some(Event::Ping(payload))) => {
                    self.outbox.push(|out| encode(Opcode::Pong, payload, None, out));
                    continue;
                }
                Ok(Some(Event::Pong(_))) => continue,
                Ok(Some(Event::Close(code))) => (code.unwrap_or(CloseCode::NORMAL), String::new()),
                Err(error) => (error.close_code(), error.to_string()),
            };
            if !reason.is_empty() {
                tracing::warn!(client = self.client.0, code = code.0, "connection closed: {reason}");
            }
            let payload = close_payload(code, &reason);
            self.outbox.push(|out| encode(Opcode::Close, &payload, None, out));
            return false;
        }
    }

    /// One WebSocket message; a reason when the client has sent too much that is no SIP.
    fn message(&mut self, bytes: &[u8]) -> Option<String> {
        // A keep-alive of clients that follow RFC 5626 §3.5.1.
        if bytes == b"\r\n\r\n" || bytes == b"\r\n" {
            self.outbox.push(|out| encode(Opcode::Text, b"\r\n", None, out));
            return None;
        }
        match Message::parse(bytes, &sip_limits(self.core)) {
            Ok(message) => {
                self.bad_in_a_row = 0;
                self.core.input(Input::ClientMessage { client: self.client, message: Box::new(message) });
                None
            }
            // What is no SIP cannot be answered in SIP. It is dropped, as one bad message must not end the calls of
            // the rest; a client that sends nothing else is told by the close.
            Err(error) => {
                self.bad_in_a_row += 1;
                tracing::debug!(client = self.client.0, "message dropped: {error}");
                let most = self.core.settings.limits.bad_messages;
                (self.bad_in_a_row >= most).then(|| format!("not SIP: {error}"))
            }
        }
    }
}
