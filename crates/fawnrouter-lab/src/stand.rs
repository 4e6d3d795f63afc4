//! A stand-in switch on a loopback socket: the processor with its connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use fawnrouter_audit::{Seen, Side, Way};
use fawnrouter_sip::{Chunk, Limits, StreamDecoder};
use fawnrouterd::Outbox;
use futures_lite::future;

use crate::switch::{Make, Processor, Step};
use crate::tap::Tap;

/// Bytes that wait for one gateway; more means a gateway that does not read.
const BACKLOG: usize = 16 * 1024 * 1024;

/// A switch in the lab.
pub struct Stand {
    pub id: u32,
    pub address: SocketAddr,
    make: Make,
    tap: Rc<Tap>,
    executor: Rc<LocalExecutor<'static>>,
    processor: RefCell<Processor>,
    conns: RefCell<BTreeMap<u64, Rc<Outbox>>>,
    accepting: RefCell<Option<Task<()>>>,
    fallen: Cell<bool>,
}

impl Stand {
    /// Opens one on a free port. A cold one tells the auditor so.
    pub fn open(
        id: u32,
        mut make: Make,
        cold: bool,
        tap: &Rc<Tap>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        make.contact = format!("<sip:switch{id}@{address};transport=tcp>");
        let processor = RefCell::new(Processor::new(make.clone(), cold.then(|| tap.now())));
        let stand = Rc::new(Self {
            id,
            address,
            make,
            tap: tap.clone(),
            executor: executor.clone(),
            processor,
            conns: RefCell::default(),
            accepting: RefCell::new(None),
            fallen: Cell::new(false),
        });
        if cold {
            stand.tell_start();
        }
        stand.accept(listener);
        executor.spawn(tick(stand.clone())).detach();
        Ok(stand)
    }

    /// Whether it was pushed over.
    pub fn fallen(&self) -> bool {
        self.fallen.get()
    }

    pub fn with(&self, change: impl FnOnce(&mut Processor)) {
        change(&mut self.processor.borrow_mut());
    }

    /// Stands still for a while.
    pub fn stand_still(&self, span: Duration) {
        let now = self.tap.now();
        self.processor.borrow_mut().stand_still(now, span);
    }

    /// Stops: connections close and new ones are refused.
    pub fn stop(&self) {
        self.accepting.borrow_mut().take();
        for (conn, outbox) in std::mem::take(&mut *self.conns.borrow_mut()) {
            self.tap.closed(conn);
            outbox.kill();
        }
        self.processor.borrow_mut().silent = true;
    }

    /// Starts again, cold, on the same port.
    pub async fn start_cold(self: &Rc<Self>) -> io::Result<()> {
        let accepting = self.accepting.borrow_mut().take();
        if let Some(task) = accepting {
            // The old listener must be closed before the port is free.
            task.cancel().await;
        }
        self.stop();
        let listener = Async::<TcpListener>::bind(self.address)?;
        *self.processor.borrow_mut() = Processor::new(self.make.clone(), Some(self.tap.now()));
        self.tell_start();
        self.accept(listener);
        Ok(())
    }

    fn tell_start(&self) {
        self.tap.fact(Seen::Started {
            switch: self.id,
            capacity_per_s: self.make.capacity_per_s,
            from: self.make.cold_from,
            ramp: self.make.ramp,
        });
    }

    fn accept(self: &Rc<Self>, listener: Async<TcpListener>) {
        let stand = self.clone();
        let task = self.executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let conn = stand.tap.opened(Side::Trunk { switch: stand.id });
                let outbox = Rc::new(Outbox::new(BACKLOG));
                stand.conns.borrow_mut().insert(conn, outbox.clone());
                stand.executor.spawn(serve(stand.clone(), conn, stream, outbox)).detach();
            }
        });
        *self.accepting.borrow_mut() = Some(task);
    }

    fn carry_out(self: &Rc<Self>, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Send(conn, bytes) => {
                    let outbox = self.conns.borrow().get(&conn).cloned();
                    if let Some(outbox) = outbox {
                        self.tap.bytes(conn, Way::In, &bytes);
                        outbox.push(|out| out.extend_from_slice(&bytes));
                    }
                }
                Step::Fallen => {
                    self.fallen.set(true);
                    self.stop();
                }
            }
        }
    }
}

async fn serve(stand: Rc<Stand>, conn: u64, stream: Async<TcpStream>, outbox: Rc<Outbox>) {
    let _ = stream.get_ref().set_nodelay(true);
    let reading = async {
        let mut decoder = StreamDecoder::new(Limits::default());
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(n @ 1..) = stream.read_with(|mut s| s.read(&mut buffer)).await {
            // After a stop, bytes that were on the way have reached nobody.
            if !stand.conns.borrow().contains_key(&conn) {
                return;
            }
            stand.tap.bytes(conn, Way::Out, &buffer[..n]);
            decoder.push(&buffer[..n]);
            let mut steps = Vec::new();
            while let Ok(Some(chunk)) = decoder.next_chunk() {
                if let Chunk::Message(message) = chunk {
                    let now = stand.tap.now();
                    stand.processor.borrow_mut().take(now, conn, message, &mut steps);
                }
            }
            stand.carry_out(steps);
        }
    };
    let writing = async {
        let _ = outbox.write_to(&stream).await;
    };
    future::or(future::or(reading, writing), outbox.killed()).await;
    if stand.conns.borrow_mut().remove(&conn).is_some() {
        stand.tap.closed(conn);
    }
    stand.processor.borrow_mut().disconnected(conn);
}

/// Lets the processor do what is due. A millisecond's step is far below the times that matter.
async fn tick(stand: Rc<Stand>) {
    loop {
        let now = stand.tap.now();
        let due = stand.processor.borrow().next_due();
        let wait = due.map_or(Duration::from_millis(2), |d| d.saturating_sub(now));
        Timer::after(wait.min(Duration::from_millis(2))).await;
        let mut steps = Vec::new();
        stand.processor.borrow_mut().pass(stand.tap.now(), &mut steps);
        stand.carry_out(steps);
    }
}
