//! Asks the name server for the list, for ever.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_node::{Ask, Input};
use futures_lite::future;

use super::gateway::Gateway;

/// "Answers run to at most 8,000 bytes"; a longer datagram is cut and then does not read.
const MAX_ANSWER_BYTES: usize = 9000;

/// After a socket that could not be had or used.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Asks for ever. A new address is asked through a new socket, which is had before the old one is let go; a socket that
/// fails is replaced.
pub async fn poll_nameserver(gateway: Rc<Gateway>) {
    let mut current = None;
    loop {
        let server = gateway.nameserver.get();
        let query = match open_socket(server) {
            Ok(socket) => poll_server(&gateway, server, current.insert(socket)).await,
            Err(error) => Err(error),
        };
        if let Err(error) = query {
            gateway.log_limited(
                gateway.driver.clock.now(),
                &format!("the name server at {server} cannot be asked: {error}"),
            );
            Timer::after(RETRY_DELAY).await;
        }
    }
}

/// A socket for one name server: only its datagrams are received.
fn open_socket(server: SocketAddr) -> io::Result<Async<UdpSocket>> {
    let any = match server {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = Async::<UdpSocket>::bind(any)?;
    socket.get_ref().connect(server)?;
    Ok(socket)
}

/// Asks one name server until another is to be asked.
async fn poll_server(gateway: &Rc<Gateway>, server: SocketAddr, socket: &Async<UdpSocket>) -> io::Result<()> {
    let mut ask = Ask::new();
    let mut buffer = vec![0; MAX_ANSWER_BYTES];
    while gateway.nameserver.get() == server {
        let mut id = [0; 2];
        getrandom::fill(&mut id).map_err(|e| io::Error::other(e.to_string()))?;
        let query = ask.ask(gateway.driver.clock.now(), u16::from_ne_bytes(id));
        // A refusal of the last datagram may be told here; the next question is asked all the same.
        let _ = socket.send(&query.datagram).await;
        let next = gateway.driver.clock.instant(query.next);
        loop {
            let received = async { Some(socket.recv(&mut buffer).await) };
            let due = async {
                Timer::at(next).await;
                None
            };
            match future::or(received, due).await {
                None => break,
                Some(Ok(n)) => match ask.answer(&buffer[..n]) {
                    Ok(answer) => gateway.input(Input::Answer(answer)),
                    Err(error) => gateway
                        .log_limited(gateway.driver.clock.now(), &format!("a datagram is not used: {error}")),
                },
                // Nobody listens there just now (ICMP): wait for the next question's time.
                Some(Err(_)) => {
                    Timer::at(next).await;
                    break;
                }
            }
        }
    }
    Ok(())
}
