//! One client's connection: lines in, lines out.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_node::{ClientId, Input, Next};
use futures_lite::future;

use super::gateway::{ClientConnection, Gateway};

/// Lines of one connection that are handed on before the others have their turn.
const LINES_PER_TURN: usize = 8;
/// What is still to be written at the end gets this long, and so does the client to end its side.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes that are read away at the end, so that the close does not turn into a reset that eats the last words.
const MAX_DRAINED_BYTES: usize = 128 * 1024;
/// What a connection beyond the gateway's share is told.
const NO_ROOM_RESPONSE: &[u8] =
    b"{\"verb\":\"FINISH\",\"opts\":{\"error\":\"no room for another connection\"},\"rc\":42}\n";

/// Serves a connection that has been accepted. One beyond the gateway's share of descriptors is told so and ended: that
/// share would be taken from the name server's, the configuration's or the core switches'.
pub fn serve(gateway: Rc<Gateway>, stream: Async<TcpStream>) {
    if !gateway.has_client_capacity() {
        // Nothing has been written to it, so a short line fits; what it has sent is read, so that its close is no reset.
        let mut socket = stream.get_ref();
        let _ = socket.write(NO_ROOM_RESPONSE);
        let _ = socket.read(&mut gateway.read_buffer.scratch.borrow_mut());
        return;
    }
    let _ = stream.get_ref().set_nodelay(true);
    let (client, connection) = gateway.add_client(stream);
    gateway.count_client_task(true);
    gateway.input(Input::ClientUp { client });
    gateway.spawn(serve_connection(gateway.clone(), client, connection));
}

async fn serve_connection(gateway: Rc<Gateway>, client: ClientId, connection: Rc<ClientConnection>) {
    let (outbox, stream) = (&connection.outbox, &connection.stream);
    let writing = async { outbox.write_to(stream).await.is_ok() };
    let reading = async {
        serve_until_end(&gateway, client, &connection).await;
        false
    };
    let late = async {
        outbox.finished().await;
        Timer::after(CLOSE_TIMEOUT).await;
        false
    };
    let aborted = async {
        outbox.aborted().await;
        false
    };
    // Reading goes first: what is said to a caller that has ended is known to be unheard, and is not lost with it.
    let in_order = future::or(future::or(reading, writing), future::or(late, aborted)).await;
    if in_order && gateway.begin_closing() {
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        future::or(drain_input(&gateway, client, &connection), async {
            Timer::after(CLOSE_TIMEOUT).await;
        })
        .await;
        gateway.end_closing();
    }
    connection.reader.borrow_mut().release(&gateway.read_buffer);
    gateway.client_closed(client);
    drop(connection);
    gateway.count_client_task(false);
}

/// Takes what comes until the client's end. When the node lets go of the connection, what lies there is taken first: it
/// was sent before the client could know.
async fn serve_until_end(gateway: &Rc<Gateway>, client: ClientId, connection: &ClientConnection) {
    let mut final_read = false;
    loop {
        connection.input_pending.clear();
        // At the end one look is the last, so that a client that goes on sending does not put it off.
        if !final_read {
            final_read = connection.close_requested.is_set();
            connection.reader.borrow_mut().fill(&gateway.read_buffer, connection.stream.get_ref());
        }
        // Whoever has gone waits for nothing: that is known before the rest is looked at.
        if connection.reader.borrow_mut().take_end() {
            gateway.client_ended(client);
        }
        let forwarded = forward_messages(gateway, client, connection);
        if connection.reader.borrow().has_ended() && connection.reader.borrow().is_empty() {
            return;
        }
        if forwarded {
            future::yield_now().await;
        } else if final_read {
            gateway.input(Input::ClientReadOut { client });
            connection.outbox.finish();
            return future::pending().await;
        } else if connection.reader.borrow().is_fault_reported() {
            connection.close_requested.wait().await;
        } else {
            let more = async {
                let _ = connection.stream.readable().await;
            };
            future::or(future::or(connection.close_requested.wait(), connection.input_pending.wait()), more)
                .await;
        }
    }
}

/// Hands some of what has been read on to the node; `false` if there was nothing.
fn forward_messages(gateway: &Rc<Gateway>, client: ClientId, connection: &ClientConnection) -> bool {
    let mut forwarded = false;
    for _ in 0..LINES_PER_TURN {
        let Some(next) = connection.reader.borrow_mut().next() else { break };
        forwarded = true;
        gateway.input(match next {
            Next::Message(message) => Input::ClientMessage { client, message },
            Next::Withdrawn(message) => Input::Withdrawn { client, message },
        });
    }
    if connection.reader.borrow().is_empty() {
        let (fault, half) = {
            let mut reader = connection.reader.borrow_mut();
            reader.release(&gateway.read_buffer);
            (reader.take_fault(), reader.take_partial_line_change())
        };
        if let Some(fault) = fault {
            gateway.input(Input::ClientFault { client, fault });
        } else if let Some(half) = half {
            gateway.input(Input::ClientRead { client, half });
        }
    }
    forwarded
}

/// After this side's end, to the client's: releases that cross it still hold, all else has crossed a close and is sent again
/// elsewhere. What cannot be read is read away all the same.
async fn drain_input(gateway: &Rc<Gateway>, client: ClientId, connection: &ClientConnection) {
    let mut left = MAX_DRAINED_BYTES;
    while left > 0 {
        let n =
            connection.stream.read_with(|mut s| s.read(&mut gateway.read_buffer.scratch.borrow_mut())).await;
        let Some(n) = n.ok().filter(|n| *n > 0) else { return };
        left = left.saturating_sub(n);
        connection.reader.borrow_mut().push(&gateway.read_buffer.scratch.borrow()[..n]);
        while forward_messages(gateway, client, connection) {}
        future::yield_now().await;
    }
}
