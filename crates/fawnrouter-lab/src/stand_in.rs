//! A stand-in switch on a loopback socket: the processor with its connections.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use fawnrouter_audit::{Direction, Observation, Side};
use fawnrouter_sip::{Limits, Message, StreamDecoder, StreamItem};
use fawnrouterd::Outbox;
use futures_lite::future;

use crate::switch::{Make, Processor, Step};
use crate::tap::Tap;

/// Bytes that wait for one gateway; more means a gateway that does not read.
const BACKLOG: usize = 16 * 1024 * 1024;

/// How far a stand-in is from gateways of other zones.
#[derive(Clone, Debug, Default)]
pub struct Distance {
    /// Its zone.
    pub zone: String,
    /// The gateways' zones, in turn.
    pub gateways: Vec<String>,
    /// One way to another zone.
    pub cross: Duration,
}

impl Distance {
    /// Whether a request comes from another zone, by the gateway's host in its Via.
    fn is_far(&self, message: &Message) -> bool {
        let host = message.via().ok().map(|via| via.sent_by.to_owned()).unwrap_or_default();
        let number =
            host.strip_prefix("gw").and_then(|r| r.split('.').next()).and_then(|n| n.parse::<usize>().ok());
        let zone =
            number.filter(|_| !self.gateways.is_empty()).map(|n| &self.gateways[n % self.gateways.len()]);
        !self.cross.is_zero() && zone.is_some_and(|zone| *zone != self.zone)
    }
}

/// A switch in the lab.
pub struct StandIn {
    pub id: u32,
    pub address: SocketAddr,
    make: Make,
    tap: Rc<Tap>,
    executor: Rc<LocalExecutor<'static>>,
    processor: RefCell<Processor>,
    conns: RefCell<BTreeMap<u64, Rc<Outbox>>>,
    distance: Distance,
    /// Connections from other zones, and what is on its way from them and to them, in order of time.
    far: RefCell<BTreeSet<u64>>,
    coming: RefCell<VecDeque<(Duration, u64, Box<Message>)>>,
    going: RefCell<VecDeque<(Duration, u64, Vec<u8>)>>,
    accepting: RefCell<Option<Task<()>>>,
    fallen: Cell<bool>,
}

impl StandIn {
    /// Opens one on a free port. A cold one tells the auditor so.
    pub fn open(
        id: u32,
        (mut make, distance): (Make, Distance),
        cold: bool,
        tap: &Rc<Tap>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        make.contact = format!("<sip:switch{id}@{address};transport=tcp>");
        let processor = RefCell::new(Processor::new(make.clone(), cold.then(|| tap.now())));
        let stand_in = Rc::new(Self {
            id,
            address,
            make,
            tap: tap.clone(),
            executor: executor.clone(),
            processor,
            conns: RefCell::default(),
            distance,
            far: RefCell::default(),
            coming: RefCell::default(),
            going: RefCell::default(),
            accepting: RefCell::new(None),
            fallen: Cell::new(false),
        });
        if cold {
            stand_in.tell_start();
        }
        stand_in.accept(listener);
        executor.spawn(tick(stand_in.clone())).detach();
        Ok(stand_in)
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
            outbox.abort();
        }
        self.coming.borrow_mut().clear();
        self.going.borrow_mut().clear();
        self.far.borrow_mut().clear();
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
        self.tap.fact(Observation::ColdStart {
            switch: self.id,
            capacity_per_s: self.make.capacity_per_s,
            initial_share: self.make.cold_from,
            ramp: self.make.ramp,
        });
    }

    fn accept(self: &Rc<Self>, listener: Async<TcpListener>) {
        let stand_in = self.clone();
        let task = self.executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let conn = stand_in.tap.opened(Side::Trunk { switch: stand_in.id });
                let outbox = Rc::new(Outbox::new(BACKLOG));
                stand_in.conns.borrow_mut().insert(conn, outbox.clone());
                stand_in.executor.spawn(serve(stand_in.clone(), conn, stream, outbox)).detach();
            }
        });
        *self.accepting.borrow_mut() = Some(task);
    }

    fn send(&self, conn: u64, bytes: &[u8]) {
        let outbox = self.conns.borrow().get(&conn).cloned();
        if let Some(outbox) = outbox {
            self.tap.bytes(conn, Direction::ToGateway, bytes);
            outbox.push(|out| out.extend_from_slice(bytes));
        }
    }

    /// What was on its way between zones and has arrived.
    fn arrive(&self, now: Duration, steps: &mut Vec<Step>) {
        let first = |at: Option<Duration>| at.is_some_and(|at| at <= now);
        while first(self.going.borrow().front().map(|g| g.0)) {
            let Some((_, conn, bytes)) = self.going.borrow_mut().pop_front() else { break };
            self.send(conn, &bytes);
        }
        while first(self.coming.borrow().front().map(|c| c.0)) {
            let Some((_, conn, message)) = self.coming.borrow_mut().pop_front() else { break };
            self.processor.borrow_mut().take(now, conn, message, steps);
        }
    }

    fn carry_out(self: &Rc<Self>, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Send(conn, bytes) if self.far.borrow().contains(&conn) => {
                    let due = self.tap.now() + self.distance.cross;
                    self.going.borrow_mut().push_back((due, conn, bytes));
                }
                Step::Send(conn, bytes) => self.send(conn, &bytes),
                Step::Fallen => {
                    self.fallen.set(true);
                    self.stop();
                }
            }
        }
    }
}

async fn serve(stand_in: Rc<StandIn>, conn: u64, stream: Async<TcpStream>, outbox: Rc<Outbox>) {
    let _ = stream.get_ref().set_nodelay(true);
    let reading = async {
        let mut decoder = StreamDecoder::new(Limits::default());
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(n @ 1..) = stream.read_with(|mut s| s.read(&mut buffer)).await {
            // After a stop, bytes that were on the way have reached nobody.
            if !stand_in.conns.borrow().contains_key(&conn) {
                return;
            }
            stand_in.tap.bytes(conn, Direction::FromGateway, &buffer[..n]);
            decoder.push(&buffer[..n]);
            let mut steps = Vec::new();
            while let Ok(Some(chunk)) = decoder.next_item() {
                if let StreamItem::Message(message) = chunk {
                    let now = stand_in.tap.now();
                    if stand_in.distance.is_far(&message) {
                        stand_in.far.borrow_mut().insert(conn);
                    }
                    if stand_in.far.borrow().contains(&conn) {
                        let due = now + stand_in.distance.cross;
                        stand_in.coming.borrow_mut().push_back((due, conn, message));
                    } else {
                        stand_in.processor.borrow_mut().take(now, conn, message, &mut steps);
                    }
                }
            }
            stand_in.carry_out(steps);
        }
    };
    let writing = async {
        let _ = outbox.write_to(&stream).await;
    };
    future::or(future::or(reading, writing), outbox.aborted()).await;
    if stand_in.conns.borrow_mut().remove(&conn).is_some() {
        stand_in.tap.closed(conn);
    }
    stand_in.processor.borrow_mut().disconnected(conn);
}

/// Lets the processor do what is due. A millisecond's step is far below the times that matter.
async fn tick(stand_in: Rc<StandIn>) {
    loop {
        let now = stand_in.tap.now();
        let due = stand_in.processor.borrow().next_due();
        let wait = due.map_or(Duration::from_millis(2), |d| d.saturating_sub(now));
        Timer::after(wait.min(Duration::from_millis(2))).await;
        let mut steps = Vec::new();
        stand_in.arrive(stand_in.tap.now(), &mut steps);
        stand_in.processor.borrow_mut().pass(stand_in.tap.now(), &mut steps);
        stand_in.carry_out(steps);
    }
}
