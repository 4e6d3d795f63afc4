//! Takes connections from the kernel. Who gets in is decided in [`crate::connection_admission`].

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};
use fawnrouter_admission::ExhaustionAction;
use rustix::io::Errno;

use crate::client;
use crate::connection_admission::Entry;
use crate::core::Core;

/// A descriptor that is kept to be able to refuse politely when there is no other.
enum Spare {
    /// It is there.
    Kept(File),
    /// It is a connection that was refused, which ends when the next one needs it.
    Lent(TcpStream),
    /// Somebody else got it.
    Lost,
}

impl Spare {
    fn take() -> Self {
        // Nothing is read from it; it holds a descriptor.
        File::open("/dev/null").map_or(Self::Lost, Self::Kept)
    }
}

/// Whether the process or the system is out of descriptors (or of memory for them).
fn exhausted(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Accepts for ever.
pub async fn accept(core: Rc<Core>, listener: Async<TcpListener>) {
    let terms = Rc::new(client::terms(&core));
    let mut spare = Spare::take();
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let now = core.clock().now();
                if !matches!(spare, Spare::Kept(_)) {
                    drop(spare);
                    spare = Spare::take();
                }
                let entry = {
                    let mut connection_admission = core.connection_admission.borrow_mut();
                    connection_admission.accepted(now);
                    let outbox = || core.outbox(fawnrouter_admission::BufferOwner::Client);
                    connection_admission.arrive(now, &mut core.connections.borrow_mut(), peer.ip(), outbox)
                };
                match entry {
                    Entry::In(conn, outbox) => {
                        let served = (conn, outbox);
                        core.spawn(client::drive(core.clone(), served, stream, peer, terms.clone()));
                    }
                    Entry::Out(reason, wait, outbox) => {
                        core.spawn(client::turn_away(core.clone(), outbox, stream, reason, wait));
                    }
                }
            }
            Err(error) if exhausted(&error) => {
                let step = core
                    .connection_admission
                    .borrow_mut()
                    .exhausted(core.clock().now(), !matches!(spare, Spare::Lost));
                match step {
                    ExhaustionAction::UseSpare => spare = refuse_one(&core, spare, listener.get_ref()),
                    ExhaustionAction::Pause(pause) => {
                        Timer::after(pause).await;
                        spare = Spare::take();
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
fn refuse_one(core: &Core, spare: Spare, listener: &TcpListener) -> Spare {
    match spare {
        Spare::Lent(mut told) => read_away(&mut told),
        Spare::Kept(file) => drop(file),
        Spare::Lost => {}
    }
    match listener.accept() {
        Ok((mut stream, _)) => {
            let (reason, wait) = core.connection_admission.borrow_mut().refuse_with_spare(core.clock().now());
            // The answer fits into the socket's own buffer, so that this does not block.
            let _ = stream.set_nonblocking(true);
            let _ = stream.write_all(&client::refusal(reason, wait));
            let _ = stream.shutdown(Shutdown::Write);
            read_away(&mut stream);
            Spare::Lent(stream)
        }
        Err(_) => Spare::take(),
    }
}

/// Reads what a refused client has sent: what is unread at the close would turn it into a reset.
fn read_away(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    for _ in 0..16 {
        if !matches!(stream.read(&mut buffer), Ok(n) if n > 0) {
            return;
        }
    }
}
