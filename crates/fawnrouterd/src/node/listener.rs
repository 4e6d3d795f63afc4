//! Takes clients' connections from the kernel. Who keeps a seat is decided by the node.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::gateway::Gate;

/// Serves one connection. The listener is told at its start who does that.
pub type Server = fn(Rc<Gate>, Async<TcpStream>);

/// After an accept that failed for want of descriptors or memory: others must end first.
const PAUSE: Duration = Duration::from_millis(20);
/// Turns of the other tasks that a newcomer waits for room: being told, flushed and closed takes one each.
const TURNS: usize = 8;
/// Connections that are taken from the kernel's queue at the end at the most: more than it holds (`somaxconn`, 4096).
const LAST_ACCEPTS: usize = 5000;

/// Accepts for ever.
pub async fn accept(gate: Rc<Gate>, listener: Rc<Async<TcpListener>>, serve: Server) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                make_room(&gate).await;
                serve(gate.clone(), stream);
            }
            // What goes wrong with one connection before it is accepted concerns that one only (accept(2)); the
            // pause is for the other errors and does no harm to this one.
            Err(error) => {
                gate.log(gate.pump.clock.now(), &format!("a connection could not be accepted: {error}"));
                Timer::after(PAUSE).await;
            }
        }
        future::yield_now().await;
    }
}

/// Connections that had to make room are gone within a few turns, unless they hold what they are told.
async fn make_room(gate: &Gate) {
    for _ in 0..TURNS {
        if gate.has_room() {
            return;
        }
        future::yield_now().await;
    }
}

/// Takes what lies in the kernel's queue, and closes the listener. Who connected before the end may have sent a set-up,
/// which counts as taken; a listener closed over it would reset it.
pub async fn close(gate: &Rc<Gate>, listener: Rc<Async<TcpListener>>, serve: Server) {
    for _ in 0..LAST_ACCEPTS {
        let Ok((stream, _)) = listener.get_ref().accept() else { break };
        make_room(gate).await;
        if let Ok(stream) = Async::new(stream) {
            serve(gate.clone(), stream);
        }
    }
}
