//! Queries the name server for the list of core switches.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_node::{Ask, Input};
use futures_lite::future;

use super::gateway::Gateway;

/// Answers have at most 8,000 bytes by specification. A longer datagram is truncated and fails to parse.
const MAX_ANSWER_BYTES: usize = 9000;

/// Pause after a socket could not be opened or used.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Queries the name server until the task is dropped. A new address of the server gets a new socket, opened
/// before the old one is closed; a socket that fails is replaced.
pub async fn poll_nameserver(gateway: Rc<Gateway>) {
    let mut current = None;
    loop {
        let server = gateway.nameserver.get();
        let polled = match open_socket(server) {
            Ok(socket) => poll_server(&gateway, server, current.insert(socket)).await,
            Err(error) => Err(error),
        };
        if let Err(error) = polled {
            gateway.log_limited(
                gateway.driver.clock.now(),
                &format!("the name server at {server} cannot be asked: {error}"),
            );
            Timer::after(RETRY_DELAY).await;
        }
    }
}

/// Opens a socket connected to one name server, so that only datagrams of this server are received.
fn open_socket(server: SocketAddr) -> io::Result<Async<UdpSocket>> {
    let any = match server {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = Async::<UdpSocket>::bind(any)?;
    socket.get_ref().connect(server)?;
    Ok(socket)
}

/// Queries one name server until its address changes.
async fn poll_server(gateway: &Rc<Gateway>, server: SocketAddr, socket: &Async<UdpSocket>) -> io::Result<()> {
    let mut ask = Ask::new();
    let mut buffer = vec![0; MAX_ANSWER_BYTES];
    while gateway.nameserver.get() == server {
        let mut id = [0; 2];
        getrandom::fill(&mut id).map_err(|e| io::Error::other(e.to_string()))?;
        let query = ask.next_query(gateway.driver.clock.now(), u16::from_ne_bytes(id));
        // Sending may report an ICMP error of the previous datagram, which does not prevent further queries.
        let _ = socket.send(&query.datagram).await;
        let next = gateway.driver.clock.instant(query.next_at);
        loop {
            let received = async { Some(socket.recv(&mut buffer).await) };
            let due = async {
                Timer::at(next).await;
                None
            };
            match future::or(received, due).await {
                None => break,
                Some(Ok(n)) => match ask.accept_response(&buffer[..n]) {
                    Ok(answer) => gateway.input(Input::ListResponse(answer)),
                    Err(error) => gateway
                        .log_limited(gateway.driver.clock.now(), &format!("a datagram is not used: {error}")),
                },
                // Nothing listens at the address at present (ICMP): wait until the next query is due.
                Some(Err(_)) => {
                    Timer::at(next).await;
                    break;
                }
            }
        }
    }
    Ok(())
}
