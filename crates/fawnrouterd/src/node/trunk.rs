//! A connection to a core switch, which carries JSON lines in both directions.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_node::jsonl::Decoder;
use fawnrouter_node::{Input, LinkEnd, LinkId};
use futures_lite::future;

use super::gateway::Gateway;
use crate::outbox::Outbox;

/// How long remaining bytes may take to be written when a connection is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts opening a connection.
pub fn open(gateway: Rc<Gateway>, link: LinkId, address: SocketAddr, within: Duration, outbox: Rc<Outbox>) {
    gateway.spawn(connect_and_serve(gateway.clone(), link, address, within, outbox));
}

async fn connect_and_serve(
    gateway: Rc<Gateway>,
    link: LinkId,
    address: SocketAddr,
    within: Duration,
    outbox: Rc<Outbox>,
) {
    let connecting = async { Async::<TcpStream>::connect(address).await.map_err(|e| e.kind()) };
    let late = async {
        Timer::after(within).await;
        Err(ErrorKind::TimedOut)
    };
    // The node may drop the connection before it is established.
    let dropped = async {
        outbox.finished().await;
        Err(ErrorKind::Interrupted)
    };
    let end = match future::or(future::or(connecting, late), dropped).await {
        Ok(stream) => {
            serve(&gateway, link, &stream, &outbox).await;
            LinkEnd::Broken
        }
        Err(ErrorKind::ConnectionRefused) => LinkEnd::Refused,
        Err(_) => LinkEnd::Unreachable,
    };
    if gateway.has_link(link) {
        gateway.drop_link(link);
        gateway.input(Input::LinkDown { link, end });
    }
}

async fn serve(gateway: &Rc<Gateway>, link: LinkId, stream: &Async<TcpStream>, outbox: &Rc<Outbox>) {
    let _ = stream.get_ref().set_nodelay(true);
    gateway.input(Input::LinkUp { link });
    let writing = async {
        let _ = outbox.write_to(stream).await;
    };
    let late = async {
        outbox.finished().await;
        Timer::after(FLUSH_TIMEOUT).await;
    };
    let ends = future::or(late, outbox.aborted());
    future::or(future::or(writing, read(gateway, link, stream)), ends).await;
}

/// Reads until the core switch closes the connection or sends an invalid message.
async fn read(gateway: &Rc<Gateway>, link: LinkId, stream: &Async<TcpStream>) {
    let mut decoder = Decoder::new();
    loop {
        let n = stream.read_with(|mut s| s.read(&mut gateway.read_buffer.scratch.borrow_mut())).await;
        let Some(n) = n.ok().filter(|n| *n > 0) else { return };
        decoder.push(&gateway.read_buffer.scratch.borrow()[..n]);
        while gateway.has_link(link) {
            match decoder.next_message() {
                Ok(Some(message)) => gateway.input(Input::LinkMessage { link, message }),
                Ok(None) => break,
                Err(fault) => return gateway.input(Input::LinkDecodeError { link, error: fault }),
            }
        }
        future::yield_now().await;
    }
}
