//! Takes clients' connections from the kernel. Who keeps a seat is decided by the node.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};

use super::gate::Gate;

/// Serves one connection. The listener is told at its start who does that.
pub type Server = fn(Rc<Gate>, Async<TcpStream>);

/// After an accept that failed for want of descriptors or memory: others must end first.
const PAUSE: Duration = Duration::from_millis(20);

/// Accepts for ever.
pub async fn accept(gate: Rc<Gate>, listener: Async<TcpListener>, serve: Server) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(gate.clone(), stream),
            // What goes wrong with one connection before it is accepted concerns that one only (accept(2)); the
            // pause is for the other errors and does no harm to this one.
            Err(error) => {
                gate.log(gate.pump.clock.now(), &format!("a connection could not be accepted: {error}"));
                Timer::after(PAUSE).await;
            }
        }
        futures_lite::future::yield_now().await;
    }
}
