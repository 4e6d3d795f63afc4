//! A client connection: the WebSocket handshake, then SIP in WebSocket messages (RFC 7118).

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

use crate::buffer_share::BufferShare;
use crate::connection_admission::Refusal;
use crate::core::Core;
use crate::outbox::Outbox;

/// How long a closing connection may take to write its remaining bytes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads once into the shared buffer and passes the bytes to `take`; `None` at the end of the stream.
async fn read_some<T>(
    core: &Core,
    stream: &Async<TcpStream>,
    take: impl FnOnce(&[u8]) -> T,
) -> io::Result<Option<T>> {
    read_at_most(core, stream, usize::MAX, take).await
}

/// As [`read_some`], limited to `max_bytes`.
async fn read_at_most<T>(
    core: &Core,
    stream: &Async<TcpStream>,
    max_bytes: usize,
    take: impl FnOnce(&[u8]) -> T,
) -> io::Result<Option<T>> {
    let read = |mut s: &TcpStream| {
        let scratch = &mut *core.scratch.borrow_mut();
        let max_bytes = max_bytes.min(scratch.len());
        s.read(&mut scratch[..max_bytes])
    };
    let n = stream.read_with(read).await?;
    Ok((n > 0).then(|| take(&core.scratch.borrow()[..n])))
}

/// The options with which handshakes are accepted.
pub fn server_options(core: &Core) -> ServerOptions {
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

/// Serves one connection until it ends.
pub async fn serve_connection(
    core: Rc<Core>,
    (conn, outbox): (ConnectionId, Rc<Outbox>),
    stream: Async<TcpStream>,
    peer: SocketAddr,
    options: Rc<ServerOptions>,
) {
    serve(&core, conn, &outbox, stream, peer, &options).await;
    core.connections.borrow_mut().remove(conn);
    core.connection_admission.borrow_mut().connection_closed(core.clock().now(), conn);
}

/// The HTTP response to a refused connection.
pub fn connection_refusal(reason: RefusalReason, wait: Duration) -> Vec<u8> {
    refusal_response(503, reason.text(), Some(retry_after_seconds(wait)))
}

/// Refuses a connection with a Retry-After. The response is sent before the request is read. Then the
/// client's input is read for a moment, because closing with unread data would send a reset and lose the
/// response.
pub async fn refuse_connection(
    core: Rc<Core>,
    outbox: Rc<Outbox>,
    stream: Async<TcpStream>,
    reason: RefusalReason,
    wait: Duration,
) {
    let answer = connection_refusal(reason, wait);
    let refused = future::or(send_final_response(&core, &stream, &answer), async {
        Timer::after(FLUSH_TIMEOUT).await;
    });
    future::or(refused, outbox.aborted()).await;
    core.connection_admission.borrow_mut().refusal_finished(&outbox);
}

/// Writes a final response and reads until the peer closes, because closing with unread data would send a
/// reset and lose the response. The caller sets a timeout.
async fn send_final_response(core: &Core, mut stream: &Async<TcpStream>, answer: &[u8]) {
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
    options: &ServerOptions,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let limit = Duration::from_millis(core.settings.listen.handshake_ms);
    let timed_out = async {
        Timer::after(limit).await;
        Err(refusal_response(408, "the handshake took too long", None))
    };
    // The connection may be closed during the handshake to make room for another.
    let evicted = async {
        let reason = outbox.finished().await.unwrap_or("the gateway ends");
        Err(refusal_response(
            503,
            reason,
            Some(retry_after_seconds(Duration::from_millis(core.settings.limits.retry_after_ms))),
        ))
    };
    let handshake_result =
        future::or(handshake(core, conn, &stream, peer, options), future::or(evicted, timed_out)).await;
    let completed = match handshake_result {
        Ok(Some(completed)) => completed,
        Ok(None) => return,
        Err(response_to) => {
            return future::or(send_final_response(core, &stream, &response_to), async {
                Timer::after(FLUSH_TIMEOUT).await;
            })
            .await;
        }
    };
    let CompletedHandshake { rest, origin, must_authenticate } = completed;
    // The connection was closed to make room while its 101 response was being written. Its place is given
    // away and it is no longer counted, so only the reason is still sent.
    if !outbox.is_open() {
        let mut close_frame = Vec::new();
        encode_frame(
            Opcode::Close,
            &close_payload(CloseCode::TRY_AGAIN_LATER, "others want in"),
            None,
            &mut close_frame,
        );
        return future::or(send_final_response(core, &stream, &close_frame), async {
            Timer::after(FLUSH_TIMEOUT).await;
        })
        .await;
    }
    let client = core.connections.borrow_mut().handshake_done(conn, outbox.clone());
    core.input(Input::ClientUp { client, peer, origin, must_authenticate });
    tracing::debug!(client = client.0, %peer, "client connected");
    let last_received = Cell::new(Instant::now());
    let reading = async {
        let limits = &core.settings.limits;
        let mut decoder = FrameDecoder::new(Role::Server, limits.head_bytes + limits.body_bytes);
        let held = BufferShare::of_budget(&core.buffer_budget, BufferOwner::Client);
        let mut session = Session { core, client, outbox, held: &held, consecutive_invalid: 0, messages: 0 };
        let mut stays_open = session.process_input(&mut decoder, &rest);
        drop(rest);
        while stays_open {
            // One client's stream of messages must not delay the others.
            future::yield_now().await;
            let turn = core.connection_admission.borrow().read_quota(conn);
            let read = read_at_most(core, &stream, turn, |bytes| session.process_input(&mut decoder, bytes));
            match read.await {
                Ok(Some(more)) => stays_open = more,
                _ => return outbox.abort(),
            }
            last_received.set(Instant::now());
            let messages = std::mem::take(&mut session.messages);
            let pause = core.connection_admission.borrow_mut().read_pause(core.clock().now(), conn, messages);
            if !pause.is_zero() {
                Timer::after(pause).await;
                last_received.set(Instant::now());
            }
        }
    };
    let writing = async {
        let _ = outbox.write_to(&stream).await;
    };
    let watching = future::or(outbox.aborted(), keep_alive(core, outbox, &last_received));
    future::or(future::or(reading, writing), watching).await;
    core.connections.borrow_mut().remove_client(client);
    core.input(Input::ClientDown { client });
    outbox.finish();
    let last = async {
        let _ = outbox.write_to(&stream).await;
    };
    future::or(last, async {
        Timer::after(FLUSH_TIMEOUT).await;
    })
    .await;
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    tracing::debug!(client = client.0, "client gone");
}

/// Result of a completed handshake.
struct CompletedHandshake {
    /// Bytes received after the request.
    rest: Vec<u8>,
    /// Address of the client, behind trusted proxies if any.
    origin: IpAddr,
    /// The client has to authenticate before it is served.
    must_authenticate: bool,
}

/// Performs the handshake. `Ok(None)` if the client closed the connection; an error is the HTTP response that
/// refuses it.
async fn handshake(
    core: &Core,
    conn: ConnectionId,
    stream: &Async<TcpStream>,
    peer: SocketAddr,
    options: &ServerOptions,
) -> Result<Option<CompletedHandshake>, Vec<u8>> {
    let mut bytes = Vec::new();
    let held = BufferShare::of_budget(&core.buffer_budget, BufferOwner::Client);
    let accepted = loop {
        let more = read_some(core, stream, |b| bytes.extend_from_slice(b)).await;
        if !matches!(more, Ok(Some(()))) {
            return Ok(None);
        }
        if !held.resize(bytes.len()) {
            return Err(refusal_response(503, "no memory is left for the request", Some(1)));
        }
        match accept(&bytes, options) {
            Ok(None) => {}
            Ok(Some(accepted)) => break accepted,
            Err(error) => return Err(refusal_response(error.status(), &error.to_string(), None)),
        }
    };
    let refused = |(reason, wait): Refusal| connection_refusal(reason, wait);
    let now = core.clock().now();
    let mut origin = peer.ip();
    if core.connection_admission.borrow().is_forwarder(origin) {
        let hops = forwarded_for(accepted.forwarded.iter().map(String::as_str));
        let hops = hops.map_err(|error| refusal_response(400, &error.to_string(), None))?;
        let believed =
            core.connection_admission.borrow_mut().apply_forwarded(now, conn, &hops).map_err(refused)?;
        origin = believed.unwrap_or(origin);
    }
    let must_authenticate = core
        .connection_admission
        .borrow_mut()
        .handshake_done(now, &mut core.connections.borrow_mut(), conn)
        .map_err(refused)?;
    let mut stream = stream;
    if stream.write_all(&accepted.response).await.is_err() {
        return Ok(None);
    }
    Ok(Some(CompletedHandshake { rest: bytes.split_off(accepted.consumed), origin, must_authenticate }))
}

/// Pings a silent client, and aborts the connection if it stays silent.
async fn keep_alive(core: &Core, outbox: &Outbox, last_received: &Cell<Instant>) {
    let pause = Duration::from_millis(core.settings.listen.ping_ms);
    loop {
        let silent = last_received.get().elapsed();
        if silent >= pause * 2 {
            return outbox.abort();
        }
        if silent >= pause {
            outbox.push(|out| encode_frame(Opcode::Ping, b"", None, out));
            Timer::at(last_received.get() + pause * 2).await;
        } else {
            Timer::at(last_received.get() + pause).await;
        }
    }
}

/// Processes the messages of one connection after its handshake.
struct Session<'a> {
    core: &'a Rc<Core>,
    client: fawnrouter_engine::ClientId,
    outbox: &'a Outbox,
    /// Buffered bytes of an incomplete message.
    held: &'a BufferShare,
    /// Consecutive messages that were not SIP.
    consecutive_invalid: usize,
    /// Messages since the read pause was last computed.
    messages: u32,
}

impl Session<'_> {
    /// Processes all input; `false` if the connection is to be closed.
    fn process_input(&mut self, decoder: &mut FrameDecoder, mut input: &[u8]) -> bool {
        loop {
            if input.is_empty() {
                if self.held.resize(decoder.buffered_bytes()) {
                    return true;
                }
                return self.close(CloseCode::TRY_AGAIN_LATER, "no memory is left for the message");
            }
            self.messages += 1;
            let (code, reason) = match decoder.feed(&mut input) {
                Ok(None) => {
                    self.messages -= 1;
                    return true;
                }
                Ok(Some(Event::Text(text))) => match self.handle_message(text.as_bytes()) {
                    Some(reason) => (CloseCode::POLICY_VIOLATION, reason),
                    None => continue,
                },
                Ok(Some(Event::Binary(bytes))) => match self.handle_message(bytes) {
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
            return self.close(code, &reason);
        }
    }

    /// Sends a close frame with the reason. Always `false`, as no more input is processed.
    fn close(&self, code: CloseCode, reason: &str) -> bool {
        if !reason.is_empty() {
            tracing::warn!(client = self.client.0, code = code.0, "connection closed: {reason}");
        }
        let payload = close_payload(code, reason);
        self.outbox.push(|out| encode_frame(Opcode::Close, &payload, None, out));
        false
    }

    /// Processes one WebSocket message. Returns a reason to close the connection after too many messages that
    /// are not SIP.
    fn handle_message(&mut self, bytes: &[u8]) -> Option<String> {
        // Keep-alive of clients that follow RFC 5626 §3.5.1.
        if bytes == b"\r\n\r\n" || bytes == b"\r\n" {
            self.outbox.push(|out| encode_frame(Opcode::Text, b"\r\n", None, out));
            return None;
        }
        match Message::parse(bytes, &self.core.sip_limits()) {
            Ok(message) => {
                self.consecutive_invalid = 0;
                self.core.input(Input::ClientMessage { client: self.client, message: Box::new(message) });
                None
            }
            // A message that is not SIP cannot be answered in SIP. It is dropped, because one bad message
            // must not end the connection's calls. A client that sends nothing else learns the reason from
            // the close frame.
            Err(error) => {
                self.consecutive_invalid += 1;
                tracing::debug!(client = self.client.0, "message dropped: {error}");
                let limit = self.core.settings.limits.bad_messages;
                (self.consecutive_invalid >= limit).then(|| format!("not SIP: {error}"))
            }
        }
    }
}
