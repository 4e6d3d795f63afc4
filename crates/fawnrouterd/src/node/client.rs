//! One client's connection: lines in, lines out.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_node::{ClientId, Input, Next};
use futures_lite::future;

use super::gateway::{Gate, Peer};

/// Lines of one connection that are handed on before the others have their turn.
const TURN: usize = 8;
/// What is still to be written at the end gets this long, and so does the client to end its side.
const LAST_WORDS: Duration = Duration::from_millis(300);
/// Bytes that are read away at the end, so that the close does not turn into a reset that eats the last words.
const READ_AWAY: usize = 128 * 1024;
/// What a connection beyond the gateway's share is told.
const NO_ROOM: &[u8] =
    b"{\"verb\":\"FINISH\",\"opts\":{\"error\":\"no room for another connection\"},\"rc\":42}\n";

/// Serves a connection that has been accepted. One beyond the gateway's share of descriptors is told so and ended: that
/// share would be taken from the name server's, the configuration's or the core switches'.
pub fn serve(gate: Rc<Gate>, stream: Async<TcpStream>) {
    if !gate.has_room() {
        // Nothing has been written to it, so a short line fits; what it has sent is read, so that its close is no reset.
        let mut socket = stream.get_ref();
        let _ = socket.write(NO_ROOM);
        let _ = socket.read(&mut gate.room.scratch.borrow_mut());
        return;
    }
    let _ = stream.get_ref().set_nodelay(true);
    let (client, peer) = gate.client(stream);
    gate.drives(true);
    gate.input(Input::ClientUp { client });
    gate.spawn(drive(gate.clone(), client, peer));
}

async fn drive(gate: Rc<Gate>, client: ClientId, peer: Rc<Peer>) {
    let (outbox, stream) = (&peer.outbox, &peer.stream);
    let writing = async { outbox.write_to(stream).await.is_ok() };
    let reading = async {
        serve_until_the_end(&gate, client, &peer).await;
        false
    };
    let late = async {
        outbox.finished().await;
        Timer::after(LAST_WORDS).await;
        false
    };
    let killed = async {
        outbox.aborted().await;
        false
    };
    // Reading goes first: what is said to a caller that has ended is known to be unheard, and is not lost with it.
    let in_order = future::or(future::or(reading, writing), future::or(late, killed)).await;
    if in_order && gate.begin_closing() {
        let _ = stream.get_ref().shutdown(Shutdown::Write);
        future::or(read_away(&gate, client, &peer), async {
            Timer::after(LAST_WORDS).await;
        })
        .await;
        gate.end_closing();
    }
    peer.reader.borrow_mut().clear(&gate.room);
    gate.client_gone(client);
    drop(peer);
    gate.drives(false);
}

/// Takes what comes until the client's end. When the node lets go of the connection, what lies there is taken first: it
/// was sent before the client could know.
async fn serve_until_the_end(gate: &Rc<Gate>, client: ClientId, peer: &Peer) {
    let mut last_look = false;
    loop {
        peer.read.lower();
        // At the end one look is the last, so that a client that goes on sending does not put it off.
        if !last_look {
            last_look = peer.leaving.is_up();
            peer.reader.borrow_mut().fill(&gate.room, peer.stream.get_ref());
        }
        // Whoever has gone waits for nothing: that is known before the rest is looked at.
        if peer.reader.borrow_mut().end() {
            gate.client_ended(client);
        }
        let handed = hand(gate, client, peer);
        if peer.reader.borrow().has_ended() && peer.reader.borrow().is_empty() {
            return;
        }
        if handed {
            future::yield_now().await;
        } else if last_look {
            gate.input(Input::ClientReadOut { client });
            peer.outbox.finish();
            return future::pending().await;
        } else if peer.reader.borrow().has_told_fault() {
            peer.leaving.raised().await;
        } else {
            let more = async {
                let _ = peer.stream.readable().await;
            };
            future::or(future::or(peer.leaving.raised(), peer.read.raised()), more).await;
        }
    }
}

/// Hands some of what has been read on to the node; `false` if there was nothing.
fn hand(gate: &Rc<Gate>, client: ClientId, peer: &Peer) -> bool {
    let mut handed = false;
    for _ in 0..TURN {
        let Some(next) = peer.reader.borrow_mut().next() else { break };
        handed = true;
        gate.input(match next {
            Next::Message(message) => Input::ClientMessage { client, message },
            Next::Withdrawn(message) => Input::Withdrawn { client, message },
        });
    }
    if peer.reader.borrow().is_empty() {
        let (fault, half) = {
            let mut reader = peer.reader.borrow_mut();
            reader.clear(&gate.room);
            (reader.fault(), reader.half())
        };
        if let Some(fault) = fault {
            gate.input(Input::ClientFault { client, fault });
        } else if let Some(half) = half {
            gate.input(Input::ClientRead { client, half });
        }
    }
    handed
}

/// After this side's end, to the client's: releases that cross it still hold, all else has crossed a close and is sent again
/// elsewhere. What cannot be read is read away all the same.
async fn read_away(gate: &Rc<Gate>, client: ClientId, peer: &Peer) {
    let mut left = READ_AWAY;
    while left > 0 {
        let n = peer.stream.read_with(|mut s| s.read(&mut gate.room.scratch.borrow_mut())).await;
        let Some(n) = n.ok().filter(|n| *n > 0) else { return };
        left = left.saturating_sub(n);
        peer.reader.borrow_mut().push(&gate.room.scratch.borrow()[..n]);
        while hand(gate, client, peer) {}
        future::yield_now().await;
    }
}
