//! Takes clients' connections from the kernel. Who keeps a seat is decided by the node.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::gateway::Gateway;

/// Serves one connection. The listener is told at its start who does that.
pub type ServeConnection = fn(Rc<Gateway>, Async<TcpStream>);

/// After an accept that failed for want of descriptors or memory: others must end first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Turns of the other tasks that a newcomer waits for room: being told, flushed and closed takes one each.
const MAX_YIELDS_FOR_CAPACITY: usize = 8;
/// Connections that are taken from the kernel's queue at the end at the most: more than it holds (`somaxconn`, 4096).
const MAX_FINAL_ACCEPTS: usize = 5000;

/// Accepts for ever.
pub async fn accept(gateway: Rc<Gateway>, listener: Rc<Async<TcpListener>>, serve: ServeConnection) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                wait_for_capacity(&gateway).await;
                serve(gateway.clone(), stream);
            }
            // What goes wrong with one connection before it is accepted concerns that one only (accept(2)); the
            // pause is for the other errors and does no harm to this one.
            Err(error) => {
                gateway.log_limited(
                    gateway.driver.clock.now(),
                    &format!("a connection could not be accepted: {error}"),
                );
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
        future::yield_now().await;
    }
}

/// Connections that had to make room are gone within a few turns, unless they hold what they are told.
async fn wait_for_capacity(gateway: &Gateway) {
    for _ in 0..MAX_YIELDS_FOR_CAPACITY {
        if gateway.has_client_capacity() {
            return;
        }
        future::yield_now().await;
    }
}

/// Takes what lies in the kernel's queue, and closes the listener. Who connected before the end may have sent a set-up,
/// which counts as taken; a listener closed over it would reset it.
pub async fn accept_remaining(
    gateway: &Rc<Gateway>,
    listener: Rc<Async<TcpListener>>,
    serve: ServeConnection,
) {
    for _ in 0..MAX_FINAL_ACCEPTS {
        let Ok((stream, _)) = listener.get_ref().accept() else { break };
        wait_for_capacity(gateway).await;
        if let Ok(stream) = Async::new(stream) {
            serve(gateway.clone(), stream);
        }
    }
}
