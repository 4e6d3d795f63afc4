//! A connection to a core switch: SIP over TCP (RFC 3261 §18).

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use fawnrouter_admission::BufferOwner;
use fawnrouter_engine::Input;
use fawnrouter_engine::fawnrouter::ServerId;
use fawnrouter_sip::{StreamDecoder, StreamItem};
use futures_lite::future;

use crate::buffer_share::BufferShare;
use crate::core::Core;
use crate::outbox::Outbox;

/// Starts opening a connection.
pub fn open(core: Rc<Core>, server: ServerId, address: SocketAddr, outbox: Rc<Outbox>) {
    core.spawn(connect_and_serve(core.clone(), server, address, outbox));
}

/// Opens a connection and serves it until it ends.
async fn connect_and_serve(core: Rc<Core>, server: ServerId, address: SocketAddr, outbox: Rc<Outbox>) {
    let limit = Duration::from_millis(core.settings.trunk.connect_ms);
    let connecting = async { Async::<TcpStream>::connect(address).await.ok() };
    let connected = future::or(connecting, async {
        Timer::after(limit).await;
        None
    });
    if let Some(stream) = connected.await
        && core.connections.borrow().is_current(server, &outbox)
    {
        let _ = stream.get_ref().set_nodelay(true);
        core.input(Input::TrunkUp { server });
        let writing = async {
            let _ = outbox.write_to(&stream).await;
        };
        let reading = read(&core, server, &stream, &outbox);
        future::or(future::or(reading, writing), outbox.aborted()).await;
    }
    if core.connections.borrow().is_current(server, &outbox) {
        core.connections.borrow_mut().remove_trunk(server);
        core.input(Input::TrunkDown { server });
    }
}

async fn read(core: &Rc<Core>, server: ServerId, stream: &Async<TcpStream>, outbox: &Rc<Outbox>) {
    let held = BufferShare::of_budget(&core.buffer_budget, BufferOwner::Trunk);
    let mut decoder = StreamDecoder::new(core.sip_limits());
    loop {
        let n = stream.read_with(|mut s| s.read(&mut core.scratch.borrow_mut())).await;
        let Some(n) = n.ok().filter(|n| *n > 0) else { return };
        decoder.push(&core.scratch.borrow()[..n]);
        loop {
            match decoder.next_item() {
                Ok(None) if held.resize(decoder.buffered_bytes()) => break,
                Ok(None) => {
                    return tracing::warn!(
                        switch = server.0,
                        "connection closed: no memory left for its message"
                    );
                }
                Ok(Some(StreamItem::Ping)) => outbox.push(|out| out.extend_from_slice(b"\r\n")),
                Ok(Some(StreamItem::Message(message))) => {
                    // The switch may have left the list while these bytes were in transit.
                    if core.connections.borrow().is_current(server, outbox) {
                        core.input(Input::TrunkMessage { server, message });
                    }
                }
                Err(error) => {
                    tracing::warn!(switch = server.0, "connection closed: {error}");
                    return;
                }
            }
        }
        future::yield_now().await;
    }
}
