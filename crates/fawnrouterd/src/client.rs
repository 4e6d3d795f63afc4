//! A client's connection: the handshake, then SIP in WebSocket messages (RFC 7118).

use std::cell::Cell;
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use fawnrouter_admission::{BufferOwner, ConnectionId, RefusalReason};
use fawnrouter_engine::{Input, retry_after_seconds};
use fawnrouter_sip::Message;
use fawnrouter_ws::{
    CloseCode, Event, FrameDecoder, HttpLimits, Opcode, Origins, Role, ServerOptions, accept, close_payload,
    encode_frame, forwarded_for, refusal_response,
};
use futures_lite::{AsyncWriteExt, future};

use crate::connection_admission::Refusal;
use crate::core::Core;
use crate::outbox::Outbox;
use crate::share::Share;

/// How long a connection that ends may take to write its last bytes.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// Reads once into the shared buffer and hands the bytes on; `None` at the end of the stream.
async fn read_some<T>(
    core: &Core,
    stream: &Async<TcpStream>,
    take: impl FnOnce(&[u8]) -> T,
) -> io::Result<Option<T>> {
    read_at_most(core, stream, usize::MAX, take).await
}

/// As [`read_some`], with so many bytes at the most.
async fn read_at_most<T>(
    core: &Core,
    stream: &Async<TcpStream>,
    most: usize,
    take: impl FnOnce(&[u8]) -> T,
) -> io::Result<Option<T>> {
    let read = |mut s: &TcpStream| {
        let scratch = &mut *core.scratch.borrow_mut();
        let most = most.min(scratch.len());
        s.read(&mut scratch[..most])
    };
    let n = stream.read_with(read).await?;
    Ok((n > 0).then(|| take(&core.scratch.borrow()[..n])))
}

/// The terms of the handshake.
pub fn terms(core: &Core) -> ServerOptions {
    let listen = &core.settings.listen;
    ServerOptions {
        limits: HttpLimits {
            head_bytes: core.settings.limits.head_bytes,
            fields: core.settings.limits.fields,
        },
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
pub async fn drive(
    core: Rc<Core>,
    (conn, outbox): (ConnectionId, Rc<Outbox>),
    stream: Async<TcpStream>,
    peer: SocketAddr,
    terms: Rc<ServerOptions>,
) {
    serve(&core, conn, &outbox, stream, peer, &terms).await;
    core.connections.borrow_mut().gone(conn);
    core.connection_admission.borrow_mut().gone(core.clock().now(), conn);
}

/// The answer to a connection that does not get in.
pub fn refusal(reason: RefusalReason, wait: Duration) -> Vec<u8> {
    refusal_response(503, reason.text(), Some(retry_after_seconds(wait)))
}

/// Tells a connection that does not get in when to come back. The answer goes out before its request is read, and
/// what it sends is read for a moment, so that the answer is not lost to a reset.
pub async fn turn_away(
    core: Rc<Core>,
    outbox: Rc<Outbox>,
    stream: Async<TcpStream>,
    reason: RefusalReason,
    wait: Duration,
) {
    let answer = refusal(reason, wait);
    let told = future::or(tell_and_end(&core, &stream, &answer), async {
        Timer::after(LAST_WORDS).await;
    });
    future::or(told, outbox.aborted()).await;
    core.connection_admission.borrow_mut().refused(&outbox);
}

/// Writes the last answer and reads what still comes, so that the answer is not lost to a reset. Ends when the peer
/// does; whoever calls it sets a time.
async fn tell_and_end(core: &Core, mut stream: &Async<TcpStream>, answer: &[u8]) {
    let _ = stream.write_all(answer).await;
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    while let Ok(Some(())) = read_some(core, stream, |_| ()).await {}
}

async fn serve(
    core: &Rc<Core>,
    conn: ConnectionId,
    outbox: &Rc<Outbox>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    terms: &ServerOptions,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let limit = Duration::from_millis(core.settings.listen.handshake_ms);
    let too_late = async {
        Timer::after(limit).await;
        Err(refusal_response(408, "the handshake took too long", None))
    };
    // It may have to make room for another before it is done.
    let made_room = async {
        let why = outbox.finished().await.unwrap_or("the gateway ends");
        Err(refusal_response(
            503,
            why,
            Some(retry_after_seconds(Duration::from_millis(core.settings.limits.retry_after_ms))),
        ))
    };
    let shaken =
        future::or(handshake(core, conn, &stream, peer, terms), future::or(made_room, too_late)).await;
    let shaken = match shaken {
        Ok(Some(shaken)) => shaken,
        Ok(None) => return,
        Err(answer) => {
            return future::or(tell_and_end(core, &stream, &answer), async {
                Timer::after(LAST_WORDS).await;
            })
            .await;
        }
    };
    let Shaken { rest, origin, must_prove } = shaken;
    // Guards against a connection that had to make room while its 101 was being written: nobody counts it any more,
    // so it is told and ended. It could harm nobody else, as its place has been given away.
    if !outbox.is_open() {
        let mut goodbye = Vec::new();
        encode_frame(
            Opcode::Close,
            &close_payload(CloseCode::TRY_AGAIN_LATER, "others want in"),
            None,
            &mut goodbye,
        );
        return future::or(tell_and_end(core, &stream, &goodbye), async {
            Timer::after(LAST_WORDS).await;
        })
        .await;
    }
    let client = core.connections.borrow_mut().shaken(conn, outbox.clone());
    core.input(Input::ClientUp { client, peer, origin, must_authenticate: must_prove });
    tracing::debug!(client = client.0, %peer, "client connected");
    let heard = Cell::new(Instant::now());
    let reading = async {
        let limits = &core.settings.limits;
        let mut decoder = FrameDecoder::new(Role::Server, limits.head_bytes + limits.body_bytes);
        let held = Share::of(&core.buffer_budget, BufferOwner::Client);
        let mut session = Session { core, client, outbox, held: &held, bad_in_a_row: 0, messages: 0 };
        let mut goes_on = session.take_all(&mut decoder, &rest);
        drop(rest);
        while goes_on {
            // One client's stream of messages must not keep the others waiting.
            future::yield_now().await;
            let turn = core.connection_admission.borrow().turn(conn);
            let read = read_at_most(core, &stream, turn, |bytes| session.take_all(&mut decoder, bytes));
            match read.await {
                Ok(Some(more)) => goes_on = more,
                _ => return outbox.abort(),
            }
            heard.set(Instant::now());
            let messages = std::mem::take(&mut session.messages);
            let pause = core.connection_admission.borrow_mut().pace(core.clock().now(), conn, messages);
            if !pause.is_zero() {
                Timer::after(pause).await;
                heard.set(Instant::now());
            }
        }
    };
    let writing = async {
        let _ = outbox.write_to(&stream).await;
    };
    let watching = future::or(outbox.aborted(), keep_alive(core, outbox, &heard));
    future::or(future::or(reading, writing), watching).await;
    core.connections.borrow_mut().remove_client(client);
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

/// A handshake that is done.
struct Shaken {
    /// Bytes that came behind the request.
    rest: Vec<u8>,
    /// Where the client is.
    origin: IpAddr,
    /// It has to show who it is before it gets anything.
    must_prove: bool,
}

/// Agrees with the client. `Ok(None)` if it went away, an error is the answer to one that does not get in.
async fn handshake(
    core: &Core,
    conn: ConnectionId,
    stream: &Async<TcpStream>,
    peer: SocketAddr,
    terms: &ServerOptions,
) -> Result<Option<Shaken>, Vec<u8>> {
    let mut bytes = Vec::new();
    let held = Share::of(&core.buffer_budget, BufferOwner::Client);
    let accepted = loop {
        let more = read_some(core, stream, |b| bytes.extend_from_slice(b)).await;
        if !matches!(more, Ok(Some(()))) {
            return Ok(None);
        }
        if !held.set(bytes.len()) {
            return Err(refusal_response(503, "no memory is left for the request", Some(1)));
        }
        match accept(&bytes, terms) {
            Ok(None) => {}
            Ok(Some(accepted)) => break accepted,
            Err(error) => return Err(refusal_response(error.status(), &error.to_string(), None)),
        }
    };
    let refused = |(reason, wait): Refusal| refusal(reason, wait);
    let now = core.clock().now();
    let mut origin = peer.ip();
    if core.connection_admission.borrow().is_forwarder(origin) {
        let hops = forwarded_for(accepted.forwarded.iter().map(String::as_str));
        let hops = hops.map_err(|error| refusal_response(400, &error.to_string(), None))?;
        let believed = core.connection_admission.borrow_mut().forwarded(now, conn, &hops).map_err(refused)?;
        origin = believed.unwrap_or(origin);
    }
    let must_prove = core
        .connection_admission
        .borrow_mut()
        .shaken(now, &mut core.connections.borrow_mut(), conn)
        .map_err(refused)?;
    let mut stream = stream;
    if stream.write_all(&accepted.response).await.is_err() {
        return Ok(None);
    }
    Ok(Some(Shaken { rest: bytes.split_off(accepted.consumed), origin, must_prove }))
}

/// Pings a silent client; ends when it stays silent.
async fn keep_alive(core: &Core, outbox: &Outbox, heard: &Cell<Instant>) {
    let pause = Duration::from_millis(core.settings.listen.ping_ms);
    loop {
        let silent = heard.get().elapsed();
        if silent >= pause * 2 {
            return outbox.abort();
        }
        if silent >= pause {
            outbox.push(|out| encode_frame(Opcode::Ping, b"", None, out));
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
    /// Bytes of a message that is not whole yet.
    held: &'a Share,
    bad_in_a_row: usize,
    /// Messages since they were last counted.
    messages: u32,
}

impl Session<'_> {
    /// Works on all that is there; `false` when the connection is to end.
    fn take_all(&mut self, decoder: &mut FrameDecoder, mut input: &[u8]) -> bool {
        loop {
            if input.is_empty() {
                if self.held.set(decoder.buffered_bytes()) {
                    return true;
                }
                return self.end(CloseCode::TRY_AGAIN_LATER, "no memory is left for the message");
            }
            self.messages += 1;
            let (code, reason) = match decoder.feed(&mut input) {
                Ok(None) => {
                    self.messages -= 1;
                    return true;
                }
                Ok(Some(Event::Text(text))) => match self.message(text.as_bytes()) {
                    Some(reason) => (CloseCode::POLICY_VIOLATION, reason),
                    None => continue,
                },
                Ok(Some(Event::Binary(bytes))) => match self.message(bytes) {
                    Some(reason) => (CloseCode::POLICY_VIOLATION, reason),
                    None => continue,
                },
                Ok(Some(Event::Ping(payload))) => {
                    self.outbox.push(|out| encode_frame(Opcode::Pong, payload, None, out));
                    continue;
                }
                Ok(Some(Event::Pong(_))) => continue,
                Ok(Some(Event::Close(code))) => (code.unwrap_or(CloseCode::NORMAL), String::new()),
                Err(error) => (error.close_code(), error.to_string()),
            };
            return self.end(code, &reason);
        }
    }

    /// Says why the connection ends; always `false`, as nothing more is taken.
    fn end(&self, code: CloseCode, reason: &str) -> bool {
        if !reason.is_empty() {
            tracing::warn!(client = self.client.0, code = code.0, "connection closed: {reason}");
        }
        let payload = close_payload(code, reason);
        self.outbox.push(|out| encode_frame(Opcode::Close, &payload, None, out));
        false
    }

    /// One WebSocket message; a reason when the client has sent too much that is no SIP.
    fn message(&mut self, bytes: &[u8]) -> Option<String> {
        // A keep-alive of clients that follow RFC 5626 §3.5.1.
        if bytes == b"\r\n\r\n" || bytes == b"\r\n" {
            self.outbox.push(|out| encode_frame(Opcode::Text, b"\r\n", None, out));
            return None;
        }
        match Message::parse(bytes, &self.core.sip_limits()) {
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
