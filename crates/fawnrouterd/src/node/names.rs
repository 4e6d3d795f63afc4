//! Asks the name server for the list, for ever.

use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

use async_io::{Async, Timer};
use fawnrouter_node::{Ask, Input};
use futures_lite::future;

use super::gate::Gate;

/// "Answers run to at most 8,000 bytes"; a longer datagram is cut and then does not read.
const MAX_ANSWER: usize = 9000;

/// Asks for ever. A new address is asked through a new socket; a socket that fails is replaced.
pub async fn ask(gate: Rc<Gate>) {
    loop {
        let server = gate.nameserver.get();
        if let Err(error) = ask_one(&gate, server).await {
            let now = gate.pump.clock.now();
            gate.log(now, &format!("the name server at {server} cannot be asked: {error}"));
        }
        Timer::after(std::time::Duration::from_millis(100)).await;
    }
}

/// Asks one name server until another is to be asked.
async fn ask_one(gate: &Rc<Gate>, server: SocketAddr) -> io::Result<()> {
    let any = match server {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = Async::<UdpSocket>::bind(any)?;
    // Only the name server's datagrams are received.
    socket.get_ref().connect(server)?;
    let mut ask = Ask::new();
    let mut buffer = vec![0; MAX_ANSWER];
    while gate.nameserver.get() == server {
        let mut id = [0; 2];
        getrandom::fill(&mut id).map_err(|e| io::Error::other(e.to_string()))?;
        let asked = ask.ask(gate.pump.clock.now(), u16::from_ne_bytes(id));
        // A refusal of the last datagram may be told here; the next question is asked all the same.
        let _ = socket.send(&asked.datagram).await;
        let next = gate.pump.clock.instant(asked.next);
        loop {
            let received = async { Some(socket.recv(&mut buffer).await) };
            let due = async {
                Timer::at(next).await;
                None
            };
            match future::or(received, due).await {
                None => break,
                Some(Ok(n)) => match ask.answer(&buffer[..n]) {
                    Ok(answer) => gate.input(Input::Answer(answer)),
                    Err(error) => {
                        gate.log(gate.pump.clock.now(), &format!("a datagram is not used: {error}"))
                    }
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
