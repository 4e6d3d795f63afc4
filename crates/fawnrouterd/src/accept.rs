//! Accepts client connections. [`crate::connection_admission`] decides which of them are served.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};
use fawnrouter_admission::ExhaustionAction;
use rustix::io::Errno;

use crate::client;
use crate::connection_admission::AdmissionOutcome;
use crate::core::Core;

/// A file descriptor held in reserve, so that a connection can be answered with a refusal when no other is
/// left.
enum SpareDescriptor {
    /// The reserve is held.
    Available(File),
    /// It serves a refused connection, which is closed when the next one needs the descriptor.
    InUse(TcpStream),
    /// No descriptor could be reserved, because others took the one that was freed.
    Missing,
}

impl SpareDescriptor {
    fn reserve() -> Self {
        // The file is not read; it only occupies a descriptor.
        File::open("/dev/null").map_or(Self::Missing, Self::Available)
    }
}

/// Whether the process or the system is out of descriptors, or of memory for them.
fn is_descriptor_shortage(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Accepts connections until the task is dropped.
pub async fn accept(core: Rc<Core>, listener: Async<TcpListener>) {
    let options = Rc::new(client::server_options(&core));
    let mut spare = SpareDescriptor::reserve();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let now = core.clock().now();
                if !matches!(spare, SpareDescriptor::Available(_)) {
                    drop(spare);
                    spare = SpareDescriptor::reserve();
                }
                let outcome = {
                    let mut connection_admission = core.connection_admission.borrow_mut();
                    connection_admission.descriptor_available(now);
                    let outbox = || core.new_outbox(fawnrouter_admission::BufferOwner::Client);
                    connection_admission.admit(now, &mut core.connections.borrow_mut(), peer.ip(), outbox)
                };
                match outcome {
                    AdmissionOutcome::Accepted(conn, outbox) => {
                        let served = (conn, outbox);
                        core.spawn(client::serve_connection(
                            core.clone(),
                            served,
                            stream,
                            peer,
                            options.clone(),
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
                    ExhaustionAction::UseSpare => {
                        spare = refuse_next_connection(&core, spare, listener.get_ref())
                    }
                    ExhaustionAction::Pause(pause) => {
                        Timer::after(pause).await;
                        spare = SpareDescriptor::reserve();
                    }
                }
                // Other tasks run meanwhile and may free a descriptor.
                futures_lite::future::yield_now().await;
            }
            // accept(2) also reports errors of the pending connection, which concern that connection only.
            Err(error) => {
                tracing::debug!("a connection ended before it was accepted: {error}");
                futures_lite::future::yield_now().await;
            }
        }
    }
}

/// Frees the reserved descriptor and accepts one connection with it, which is refused with a Retry-After.
fn refuse_next_connection(core: &Core, spare: SpareDescriptor, listener: &TcpListener) -> SpareDescriptor {
    match spare {
        SpareDescriptor::InUse(mut previous) => discard_received(&mut previous),
        SpareDescriptor::Available(file) => drop(file),
        SpareDescriptor::Missing => {}
    }
    match listener.accept() {
        Ok((mut stream, _)) => {
            let (reason, wait) = core.connection_admission.borrow_mut().refuse_with_spare(core.clock().now());
            // The response fits into the socket's buffer, so this does not block.
            let _ = stream.set_nonblocking(true);
            let _ = stream.write_all(&client::connection_refusal(reason, wait));
            let _ = stream.shutdown(Shutdown::Write);
            discard_received(&mut stream);
            SpareDescriptor::InUse(stream)
        }
        Err(_) => SpareDescriptor::reserve(),
    }
}

/// Discards what a refused client has sent: closing with unread data would send a reset.
fn discard_received(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    for _ in 0..16 {
        if !matches!(stream.read(&mut buffer), Ok(n) if n > 0) {
            return;
        }
    }
}
