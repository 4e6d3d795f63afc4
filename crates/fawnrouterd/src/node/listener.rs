//! Accepts client connections. The node decides which of them are kept.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

use super::gateway::Gateway;

/// Serves one connection. Passed to the listener, so that it does not depend on a driver.
pub type ServeConnection = fn(Rc<Gateway>, Async<TcpStream>);

/// Pause after an accept failed for lack of descriptors or memory, as others must end first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a new connection yields to the other tasks while it waits for capacity. A connection that makes
/// room takes one turn each to be notified, flushed and closed.
const MAX_YIELDS_FOR_CAPACITY: usize = 8;
/// Most connections accepted from the listen queue at shutdown; more than the queue holds (`somaxconn`,
/// 4096).
const MAX_FINAL_ACCEPTS: usize = 5000;

/// Accepts connections until the task is dropped.
pub async fn accept(gateway: Rc<Gateway>, listener: Rc<Async<TcpListener>>, serve: ServeConnection) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                wait_for_capacity(&gateway).await;
                serve(gateway.clone(), stream);
            }
            // accept(2) also reports errors of the pending connection, which concern that connection only.
            // The pause is meant for the other errors and does no harm here.
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

/// Waits for capacity. Connections that make room are gone within a few turns, unless their clients do not
/// read the notification.
async fn wait_for_capacity(gateway: &Gateway) {
    for _ in 0..MAX_YIELDS_FOR_CAPACITY {
        if gateway.has_client_capacity() {
            return;
        }
        future::yield_now().await;
    }
}

/// Accepts the connections in the listen queue, and closes the listener. Clients that connected before the
/// shutdown may have sent a set-up, which counts as accepted; closing the listener first would reset their
/// connections.
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
