//! A client connection, which carries JSON lines in both directions.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_node::{ClientId, Input, QueuedMessage};
use futures_lite::future;

use super::gateway::{ClientConnection, Gateway};

/// Most lines of one connection that are processed before other tasks run.
const LINES_PER_TURN: usize = 8;
/// How long remaining bytes may take to be written at the end, and then the client to close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Most bytes read at the end, so that closing with unread data does not send a reset and lose the last
/// lines.
const MAX_DRAINED_BYTES: usize = 128 * 1024;
/// Response to a connection beyond the gateway's share of descriptors.
const NO_ROOM_RESPONSE: &[u8] =
    b"{\"verb\":\"FINISH\",\"opts\":{\"error\":\"no room for another connection\"},\"rc\":42}\n";

/// Serves an accepted connection. A connection beyond the share of descriptors for clients is refused,
/// because it would take a descriptor reserved for the name server, the configuration or the core switches.
pub fn serve(gateway: Rc<Gateway>, stream: Async<TcpStream>) {
    if !gateway.has_client_capacity() {
        // Nothing has been written yet, so a short line fits into the socket's buffer. What the client has
        // sent is read, so that closing does not send a reset.
        let mut socket = stream.get_ref();
        let _ = socket.write(NO_ROOM_RESPONSE);
        let _ = socket.read(&mut gateway.read_buffer.scratch.borrow_mut());
        return;
    }
    let _ = stream.get_ref().set_nodelay(true);
    let (client, connection) = gateway.add_client(stream);
    gateway.count_client_task(true);
    gateway.input(Input::ClientConnected { client });
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
    // Reading is polled first: once the caller has closed its side, lines to it are known to be undelivered,
    // rather than lost in a write.
    let written = future::or(future::or(reading, writing), future::or(late, aborted)).await;
    if written && gateway.begin_closing() {
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

/// Processes input until the client closes its side. When the node closes the connection, input already
/// received is processed first, as the client sent it before it could know.
async fn serve_until_end(gateway: &Rc<Gateway>, client: ClientId, connection: &ClientConnection) {
    let mut final_read = false;
    loop {
        connection.input_pending.clear();
        // After a close request the socket is read only once more, so that a client that goes on sending does
        // not delay the close.
        if !final_read {
            final_read = connection.close_requested.is_set();
            if read_ahead(gateway, connection, final_read) {
                future::yield_now().await;
                continue;
            }
        }
        // A client that has closed its side waits for no answers; the node learns this before it processes
        // the rest.
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
            gateway.input(Input::ClientFullyRead { client });
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

/// Reads ahead, one turn's part or, if this is the last read, all that has arrived. Returns whether there may be
/// more to read before messages are processed.
fn read_ahead(gateway: &Gateway, connection: &ClientConnection, is_last: bool) -> bool {
    let mut reader = connection.reader.borrow_mut();
    let socket = connection.stream.get_ref();
    if is_last {
        reader.fill(&gateway.read_buffer, socket);
        return false;
    }
    reader.fill_some(&gateway.read_buffer, socket)
}

/// Passes some of the messages read to the node; `false` if there were none.
fn forward_messages(gateway: &Rc<Gateway>, client: ClientId, connection: &ClientConnection) -> bool {
    let mut forwarded = false;
    for _ in 0..LINES_PER_TURN {
        let Some(next) = connection.reader.borrow_mut().next() else { break };
        forwarded = true;
        gateway.input(match next {
            QueuedMessage::Live(message) => Input::ClientMessage { client, message },
            QueuedMessage::Withdrawn(message) => Input::SetUpWithdrawn { client, message },
        });
    }
    if connection.reader.borrow().is_empty() {
        let (fault, partial_line) = {
            let mut reader = connection.reader.borrow_mut();
            reader.release(&gateway.read_buffer);
            (reader.take_fault(), reader.take_partial_line_change())
        };
        if let Some(fault) = fault {
            gateway.input(Input::ClientDecodeError { client, error: fault });
        } else if let Some(partial_line) = partial_line {
            gateway.input(Input::ClientBytesRead { client, partial_line });
        }
    }
    forwarded
}

/// After this side is closed, reads until the client closes its side. Releases that crossed the close still
/// count; everything else is sent again elsewhere. Input that cannot be decoded is read and
/// discarded.
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
