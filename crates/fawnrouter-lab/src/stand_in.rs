//! A stand-in core switch on a loopback socket: connections in front of a simulated [`Processor`].

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

use crate::switch::{Processor, SwitchEffect, SwitchModel};
use crate::tap::Tap;

/// Limit of unsent bytes for one gateway. Beyond it the gateway counts as not reading.
const MAX_BACKLOG_BYTES: usize = 16 * 1024 * 1024;

/// Transmission delay between a stand-in and gateways of other zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneLatency {
    /// Zone of the stand-in.
    pub zone: String,
    /// Zones of the gateways: gateway `n` is in zone `n` modulo the length.
    pub gateway_zones: Vec<String>,
    /// One-way delay to another zone.
    pub one_way: Duration,
}

impl ZoneLatency {
    /// Whether a request comes from another zone, judged by the gateway's host in its Via.
    fn is_from_other_zone(&self, message: &Message) -> bool {
        let host = message.via().ok().map(|via| via.sent_by.to_owned()).unwrap_or_default();
        let number =
            host.strip_prefix("gw").and_then(|r| r.split('.').next()).and_then(|n| n.parse::<usize>().ok());
        let zone = number
            .filter(|_| !self.gateway_zones.is_empty())
            .map(|n| &self.gateway_zones[n % self.gateway_zones.len()]);
        !self.one_way.is_zero() && zone.is_some_and(|zone| *zone != self.zone)
    }
}

/// A stand-in switch that gateways connect to over TCP.
pub struct StandIn {
    pub id: u32,
    pub address: SocketAddr,
    model: SwitchModel,
    tap: Rc<Tap>,
    executor: Rc<LocalExecutor<'static>>,
    processor: RefCell<Processor>,
    connections: RefCell<BTreeMap<u64, Rc<Outbox>>>,
    latency: ZoneLatency,
    /// Connections from other zones. Messages from and to them are delayed in `inbound` and `outbound`,
    /// ordered by delivery time.
    remote_connections: RefCell<BTreeSet<u64>>,
    inbound: RefCell<VecDeque<(Duration, u64, Box<Message>)>>,
    outbound: RefCell<VecDeque<(Duration, u64, Vec<u8>)>>,
    accept_task: RefCell<Option<Task<()>>>,
    collapsed: Cell<bool>,
}

impl StandIn {
    /// Listens on a free port. A cold start is recorded for the auditor.
    pub fn open(
        id: u32,
        (mut model, latency): (SwitchModel, ZoneLatency),
        cold: bool,
        tap: &Rc<Tap>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        model.contact = format!("<sip:switch{id}@{address};transport=tcp>");
        let processor = RefCell::new(Processor::new(model.clone(), cold.then(|| tap.now())));
        let stand_in = Rc::new(Self {
            id,
            address,
            model,
            tap: tap.clone(),
            executor: executor.clone(),
            processor,
            connections: RefCell::default(),
            latency,
            remote_connections: RefCell::default(),
            inbound: RefCell::default(),
            outbound: RefCell::default(),
            accept_task: RefCell::new(None),
            collapsed: Cell::new(false),
        });
        if cold {
            stand_in.record_start();
        }
        stand_in.accept(listener);
        executor.spawn(run_processor(stand_in.clone())).detach();
        Ok(stand_in)
    }

    /// Whether it collapsed under too many set-ups while cold.
    pub fn collapsed(&self) -> bool {
        self.collapsed.get()
    }

    pub fn with_processor(&self, change: impl FnOnce(&mut Processor)) {
        change(&mut self.processor.borrow_mut());
    }

    /// Stops all processing for a time.
    pub fn stall(&self, span: Duration) {
        let now = self.tap.now();
        self.processor.borrow_mut().stall(now, span);
    }

    /// Closes all connections and refuses new ones.
    pub fn stop(&self) {
        self.accept_task.borrow_mut().take();
        for (conn, outbox) in std::mem::take(&mut *self.connections.borrow_mut()) {
            self.tap.connection_closed(conn);
            outbox.abort();
        }
        self.inbound.borrow_mut().clear();
        self.outbound.borrow_mut().clear();
        self.remote_connections.borrow_mut().clear();
        self.processor.borrow_mut().silent = true;
    }

    /// Restarts cold on the same port.
    pub async fn start_cold(self: &Rc<Self>) -> io::Result<()> {
        let accept_task = self.accept_task.borrow_mut().take();
        if let Some(task) = accept_task {
            // The port is free only after the old listener has been closed.
            task.cancel().await;
        }
        self.stop();
        let listener = Async::<TcpListener>::bind(self.address)?;
        *self.processor.borrow_mut() = Processor::new(self.model.clone(), Some(self.tap.now()));
        self.record_start();
        self.accept(listener);
        Ok(())
    }

    fn record_start(&self) {
        self.tap.record(Observation::ColdStart {
            switch: self.id,
            capacity_per_s: self.model.capacity_per_s,
            initial_share: self.model.cold_start_share,
            ramp: self.model.warm_up,
        });
    }

    fn accept(self: &Rc<Self>, listener: Async<TcpListener>) {
        let stand_in = self.clone();
        let task = self.executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let conn = stand_in.tap.connection_opened(Side::Trunk { switch: stand_in.id });
                let outbox = Rc::new(Outbox::new(MAX_BACKLOG_BYTES));
                stand_in.connections.borrow_mut().insert(conn, outbox.clone());
                stand_in.executor.spawn(serve(stand_in.clone(), conn, stream, outbox)).detach();
            }
        });
        *self.accept_task.borrow_mut() = Some(task);
    }

    fn send(&self, conn: u64, bytes: &[u8]) {
        let outbox = self.connections.borrow().get(&conn).cloned();
        if let Some(outbox) = outbox {
            self.tap.record_bytes(conn, Direction::ToGateway, bytes);
            outbox.push(|out| out.extend_from_slice(bytes));
        }
    }

    /// Delivers the delayed messages between zones that are due.
    fn deliver_delayed(&self, now: Duration, effects: &mut Vec<SwitchEffect>) {
        let first = |at: Option<Duration>| at.is_some_and(|at| at <= now);
        while first(self.outbound.borrow().front().map(|g| g.0)) {
            let Some((_, conn, bytes)) = self.outbound.borrow_mut().pop_front() else { break };
            self.send(conn, &bytes);
        }
        while first(self.inbound.borrow().front().map(|c| c.0)) {
            let Some((_, conn, message)) = self.inbound.borrow_mut().pop_front() else { break };
            self.processor.borrow_mut().receive(now, conn, message, effects);
        }
    }

    fn apply(self: &Rc<Self>, effects: Vec<SwitchEffect>) {
        for effect in effects {
            match effect {
                SwitchEffect::Send(conn, bytes) if self.remote_connections.borrow().contains(&conn) => {
                    let due = self.tap.now() + self.latency.one_way;
                    self.outbound.borrow_mut().push_back((due, conn, bytes));
                }
                SwitchEffect::Send(conn, bytes) => self.send(conn, &bytes),
                SwitchEffect::Collapsed => {
                    self.collapsed.set(true);
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
            // Bytes that arrive after a stop have reached no switch, so they are neither recorded for the
            // auditor nor processed.
            if !stand_in.connections.borrow().contains_key(&conn) {
                return;
            }
            stand_in.tap.record_bytes(conn, Direction::FromGateway, &buffer[..n]);
            decoder.push(&buffer[..n]);
            let mut effects = Vec::new();
            while let Ok(Some(chunk)) = decoder.next_item() {
                if let StreamItem::Message(message) = chunk {
                    let now = stand_in.tap.now();
                    if stand_in.latency.is_from_other_zone(&message) {
                        stand_in.remote_connections.borrow_mut().insert(conn);
                    }
                    if stand_in.remote_connections.borrow().contains(&conn) {
                        let due = now + stand_in.latency.one_way;
                        stand_in.inbound.borrow_mut().push_back((due, conn, message));
                    } else {
                        stand_in.processor.borrow_mut().receive(now, conn, message, &mut effects);
                    }
                }
            }
            stand_in.apply(effects);
        }
    };
    let writing = async {
        let _ = outbox.write_to(&stream).await;
    };
    future::or(future::or(reading, writing), outbox.aborted()).await;
    if stand_in.connections.borrow_mut().remove(&conn).is_some() {
        stand_in.tap.connection_closed(conn);
    }
    stand_in.processor.borrow_mut().disconnected(conn);
}

/// Runs due work of the processor, at least every 2 ms; the times that the lab measures are far longer.
async fn run_processor(stand_in: Rc<StandIn>) {
    loop {
        let now = stand_in.tap.now();
        let due = stand_in.processor.borrow().next_due();
        let wait = due.map_or(Duration::from_millis(2), |d| d.saturating_sub(now));
        Timer::after(wait.min(Duration::from_millis(2))).await;
        let mut effects = Vec::new();
        stand_in.deliver_delayed(stand_in.tap.now(), &mut effects);
        stand_in.processor.borrow_mut().run_due(stand_in.tap.now(), &mut effects);
        stand_in.apply(effects);
    }
}
