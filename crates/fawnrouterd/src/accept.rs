//! Takes connections from the kernel. Who gets in is decided in [`crate::connection_admission`].

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};
use fawnrouter_admission::Step;
use rustix::io::Errno;

use crate::client;
use crate::connection_admission::AdmissionOutcome;
use crate::core::Core;

/// A descriptor that is kept to be able to refuse politely when there is no other.
enum SpareDescriptor {
    /// It is there.
    Available(File),
    /// It is a connection that was refused, which ends when the next one needs it.
    InUse(TcpStream),
    /// Somebody else got it.
    Missing,
}

impl SpareDescriptor {
    fn reserve() -> Self {
        // Nothing is read from it; it holds a descriptor.
        File::open("/dev/null").map_or(Self::Missing, Self::Available)
    }
}

/// Whether the process or the system is out of descriptors (or of memory for them).
fn is_descriptor_shortage(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Accepts for ever.
pub async fn accept(core: Rc<Core>, listener: Async<TcpListener>) {
    let terms = Rc::new(client::handshake_terms(&core));
    let mut spare = SpareDescriptor::reserve();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let now = core.clock().now();
                if !matches!(spare, SpareDescriptor::Available(_)) {
                    drop(spare);
                    spare = SpareDescriptor::reserve();
                }
                let entry = {
                    let mut connection_admission = core.connection_admission.borrow_mut();
                    connection_admission.descriptor_available(now);
                    let outbox = || core.new_outbox(fawnrouter_admission::For::Client);
                    connection_admission.admit(now, &mut core.connections.borrow_mut(), peer.ip(), outbox)
                };
                match entry {
                    AdmissionOutcome::Accepted(conn, outbox) => {
                        let served = (conn, outbox);
                        core.spawn(client::serve_connection(
                            core.clone(),
                            served,
                            stream,
                            peer,
                            terms.clone(),
                        ));
                    }
                    AdmissionOutcome::Refused(reason, wait, outbox) => {
                        core.spawn(client::refuse_connection(core.clone(), outbox, stream, reason, wait));
                    }
                }
            }
            Err(error) if is_descriptor_shortage(&error) => {
                let step = core
                    .connection_admission
                    .borrow_mut()
                    .descriptors_exhausted(core.clock().now(), !matches!(spare, SpareDescriptor::Missing));
                match step {
                    Step::UseSpare => spare = refuse_next_connection(&core, spare, listener.get_ref()),
                    Step::Pause(pause) => {
                        Timer::after(pause).await;
                        spare = SpareDescriptor::reserve();
                    }
                }
                // The others have their turn: a descriptor may come free.
                futures_lite::future::yield_now().await;
            }
            // What goes wrong with one connection before it is accepted concerns that one only (accept(2)).
            Err(error) => {
                tracing::debug!("a connection ended before it was accepted: {error}");
                futures_lite::future::yield_now().await;
            }
        }
    }
}

/// Frees the spare, accepts one connection with it, and tells that one to come back.
fn refuse_next_connection(core: &Core, spare: SpareDescriptor, listener: &TcpListener) -> SpareDescriptor {
    match spare {
        SpareDescriptor::InUse(mut previous) => discard_received(&mut previous),
        SpareDescriptor::Available(file) => drop(file),
        SpareDescriptor::Missing => {}
    }
    match listener.accept() {
        Ok((mut stream, _)) => {
            let (reason, wait) = core.connection_admission.borrow_mut().refuse_with_spare(core.clock().now());
            // The answer fits into the socket's own buffer, so that this does not block.
            let _ = stream.set_nonblocking(true);
            let _ = stream.write_all(&client::refusal_response(reason, wait));
            let _ = stream.shutdown(Shutdown::Write);
            discard_received(&mut stream);
            SpareDescriptor::InUse(stream)
        }
        Err(_) => SpareDescriptor::reserve(),
    }
}

/// Reads what a refused client has sent: what is unread at the close would turn it into a reset.
fn discard_received(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    for _ in 0..16 {
        if !matches!(stream.read(&mut buffer), Ok(n) if n > 0) {
            return;
        }
    }
}
