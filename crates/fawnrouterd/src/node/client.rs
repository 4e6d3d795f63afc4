//! One client's connection: lines in, lines out.

use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_node::jsonl::Decoder;
use fawnrouter_node::{ClientId, Input};
use futures_lite::future;

use super::gate::Gate;
use crate::outbox::Outbox;

/// Lines of one connection that are taken before the others have their turn.
const TURN: usize = 8;
/// What is still to be written at the end gets this long, and so does the client to end its side.
const LAST_WORDS: Duration = Duration::from_millis(300);
/// Bytes that are read away at the end, so that the close does not turn into a reset that eats the last words.
const READ_AWAY: usize = 128 * 1024;

/// Serves a connection that has been accepted.
pub fn serve(gate: Rc<Gate>, stream: Async<TcpStream>) {
    let (client, outbox) = gate.client();
    gate.input(Input::ClientUp { client });
    gate.drives(true);
    gate.spawn(drive(gate.clone(), client, stream, outbox));
}

async fn drive(gate: Rc<Gate>, client: ClientId, stream: Async<TcpStream>, outbox: Rc<Outbox>) {
    let _ = stream.get_ref().set_nodelay(true);
    let writing = async { outbox.write_to(&stream).await.is_ok() };
    let reading = async {
        read(&gate, client, &stream).await;
        false
    };
    let late = async {
        outbox.ended().await;
        Timer::after(LAST_WORDS).await;
        false
    };
    let killed = async {
        outbox.killed().await;
        false
    };
    // Writing goes first: what has been said by the end is written.
    let in_order = future::or(future::or(writing, reading), future::or(late, killed)).await;
    gate.client_gone(client);
    if in_order && gate.begin_closing() {
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        future::or(read_away(&gate, &stream), async {
            Timer::after(LAST_WORDS).await;
        })
        .await;
        gate.end_closing();
    }
    drop(stream);
    gate.drives(false);
}

/// Reads until the client's end. After a fault nothing more is read: the node closes the connection.
async fn read(gate: &Rc<Gate>, client: ClientId, stream: &Async<TcpStream>) {
    let mut decoder = Decoder::new();
    let mut half = false;
    loop {
        let n = stream.read_with(|mut s| s.read(&mut gate.scratch.borrow_mut())).await;
        let Some(n) = n.ok().filter(|n| *n > 0) else { return };
        decoder.push(&gate.scratch.borrow()[..n]);
        let mut taken = 0;
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    gate.input(Input::ClientMessage { client, message });
                    taken += 1;
                    if taken % TURN == 0 {
                        future::yield_now().await;
                    }
                }
                Ok(None) => break,
                Err(fault) => {
                    gate.input(Input::ClientFault { client, fault });
                    return future::pending().await;
                }
            }
        }
        let lies = decoder.held() > 0;
        if lies || half {
            gate.input(Input::ClientRead { client, half: lies });
        }
        half = lies;
        future::yield_now().await;
    }
}

async fn read_away(gate: &Rc<Gate>, stream: &Async<TcpStream>) {
    let mut left = READ_AWAY;
    while left > 0 {
        let n = stream.read_with(|mut s| s.read(&mut gate.scratch.borrow_mut())).await;
        let Some(n) = n.ok().filter(|n| *n > 0) else { return };
        left = left.saturating_sub(n);
        future::yield_now().await;
    }
}
