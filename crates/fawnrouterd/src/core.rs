//! The event core: the engine with the connections that its outputs go to.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime};

use async_executor::LocalExecutor;
use async_io::Timer;
use fawnrouter_admission::{Admission, Arrival, Conn, Reason, Verdict};
use fawnrouter_config::Settings;
use fawnrouter_engine::fawnrouter::{ServerId, Time};
use fawnrouter_engine::{ClientId, Engine, Input, Output};
use fawnrouter_ws::{CloseCode, Opcode, close_payload, encode};
use futures_lite::future;

use crate::log::Spans;
use crate::outbox::Outbox;

/// Unix time at the start and what has passed since on a clock that only moves forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { unix, start: Instant::now() }
    }

    /// The reading now.
    pub fn now(&self) -> Time {
        Time(self.unix + self.start.elapsed())
    }

    fn instant(&self, time: Time) -> Instant {
        self.start + time.0.saturating_sub(self.unix)
    }
}

struct State {
    engine: Engine,
    /// Who gets in; `None` leaves it to the limit of connections.
    admission: Option<Admission>,
    /// Connections from their arrival on: the outbox from the end of the handshake.
    conns: BTreeMap<Conn, Option<Rc<Outbox>>>,
    next_conn: u64,
    outputs: Vec<Output>,
    clients: BTreeMap<ClientId, (Conn, Rc<Outbox>)>,
    trunks: BTreeMap<ServerId, Rc<Outbox>>,
    spans: Spans,
    next_client: u64,
}

/// What all tasks of the gateway share.
pub struct Core {
    state: RefCell<State>,
    /// Where reads go first: one buffer for all connections, as nothing awaits while it holds something.
    pub scratch: RefCell<Vec<u8>>,
    pub clock: Clock,
    pub settings: Settings,
    executor: Weak<LocalExecutor<'static>>,
    /// For when the timer's task sleeps, and what wakes it for an earlier time.
    armed: Cell<Option<Time>>,
    rearm: Cell<Option<Waker>>,
    drained: Cell<bool>,
    on_drained: Cell<Option<Waker>>,
}

impl Core {
    pub fn new(
        settings: Settings,
        engine: Engine,
        admission: Option<Admission>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let state = State {
            engine,
            admission,
            conns: BTreeMap::new(),
            next_conn: 0,
            outputs: Vec::new(),
            clients: BTreeMap::new(),
            trunks: BTreeMap::new(),
            spans: Spans::default(),
            next_client: 0,
        };
        Rc::new(Self {
            state: RefCell::new(state),
            scratch: RefCell::new(vec![0; 64 * 1024]),
            clock: Clock::new(),
            settings,
            executor: Rc::downgrade(executor),
            armed: Cell::new(None),
            rearm: Cell::new(None),
            drained: Cell::new(false),
            on_drained: Cell::new(None),
        })
    }

    /// Runs a task beside the others. The tasks hold the core and the executor holds the tasks, so the core holds
    /// the executor weakly: all go when the gateway ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Gives the engine an input and carries out what it says.
    pub fn input(self: &Rc<Self>, input: Input) {
        let mut opened = Vec::new();
        let next = {
            let state = &mut *self.state.borrow_mut();
            let mut outputs = std::mem::take(&mut state.outputs);
            state.engine.handle(self.clock.now(), input, &mut outputs);
            for output in outputs.drain(..) {
                match output {
                    Output::ToClient { client, bytes } => {
                        if let Some((conn, outbox)) = state.clients.get(&client) {
                            // A message to a client means that one of its calls has changed.
                            if let Some(admission) = &mut state.admission {
                                let calls = u32::try_from(state.engine.calls_of(client)).unwrap_or(u32::MAX);
                                admission.active(self.clock.now().0, *conn, calls);
                            }
                            outbox.push(|out| encode(Opcode::Text, &bytes, None, out));
                        }
                    }
                    Output::ToTrunk { server, bytes } => {
                        if let Some(outbox) = state.trunks.get(&server) {
                            outbox.push(|out| out.extend_from_slice(&bytes));
                        }
                    }
                    Output::OpenTrunk { server, address } => {
                        let outbox = Rc::new(Outbox::new(self.settings.limits.write_backlog_bytes));
                        state.trunks.insert(server, outbox.clone());
                        opened.push((server, address, outbox));
                    }
                    Output::CloseTrunk { server } => {
                        if let Some(outbox) = state.trunks.remove(&server) {
                            outbox.finish();
                        }
                    }
                    Output::Log(line) => tracing::info!("{line}"),
                    Output::Word { call, word } => state.spans.word(call, word),
                    Output::Drained => {
                        self.drained.set(true);
                        if let Some(waker) = self.on_drained.take() {
                            waker.wake();
                        }
                    }
                }
            }
            state.outputs = outputs;
            state.engine.next_wake()
        };
        for (server, address, outbox) in opened {
            self.spawn(crate::trunk::drive(self.clone(), server, address, outbox));
        }
        let earlier = next.is_some_and(|next| self.armed.get().is_none_or(|armed| next < armed));
        if earlier && let Some(waker) = self.rearm.take() {
            waker.wake();
        }
    }

    /// Wakes the engine when it asks for it, for ever.
    pub async fn wake_engine(self: &Rc<Self>) {
        loop {
            let due = self.state.borrow().engine.next_wake();
            self.armed.set(due);
            let mut asked = false;
            let rearmed = poll_fn(|cx| {
                if std::mem::replace(&mut asked, true) && self.rearm.take().is_none() {
                    return Poll::Ready(());
                }
                self.rearm.set(Some(cx.waker().clone()));
                Poll::Pending
            });
            match due {
                Some(due) => {
                    let timer = async {
                        Timer::at(self.clock.instant(due)).await;
                    };
                    future::or(timer, rearmed).await;
                }
                None => rearmed.await,
            }
            self.armed.set(None);
            let due = self.state.borrow().engine.next_wake();
            if due.is_some_and(|due| due <= self.clock.now()) {
                self.input(Input::Wake);
            }
        }
    }

    /// Ends when the engine has no call left after a drain.
    pub async fn drained(&self) {
        poll_fn(|cx| {
            if self.drained.get() {
                return Poll::Ready(());
            }
            self.on_drained.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// Calls held, out or standing.
    pub fn live_calls(&self) -> usize {
        self.state.borrow().engine.live_calls()
    }

    /// A connection has been accepted by the kernel: whether it gets in.
    pub fn arrive(&self, address: IpAddr) -> Result<Conn, (Reason, Duration)> {
        let state = &mut *self.state.borrow_mut();
        state.next_conn += 1;
        let conn = Conn(state.next_conn);
        if let Some(admission) = &mut state.admission {
            match admission.arrive(self.clock.now().0, Arrival { conn, address }) {
                Verdict::Accept => {}
                Verdict::Replace(victim) => {
                    if let Some(outbox) = state.conns.remove(&victim).flatten() {
                        close(&outbox, CloseCode::LATER, MADE_ROOM);
                    }
                }
                Verdict::Refuse { reason, retry_after } => return Err((reason, retry_after)),
            }
        }
        state.conns.insert(conn, None);
        Ok(conn)
    }

    /// Its handshake is done: whether it stays.
    pub fn shaken(&self, conn: Conn) -> Result<(), (Reason, Duration)> {
        let state = &mut *self.state.borrow_mut();
        match state.admission.as_mut().map(|a| a.shaken(self.clock.now().0, conn)) {
            Some(Verdict::Refuse { reason, retry_after }) => Err((reason, retry_after)),
            Some(_) => Ok(()),
            // Without admission the limit on connections is all there is.
            None if state.clients.len() >= self.settings.limits.connections => {
                Err((Reason::Full, Duration::from_millis(self.settings.limits.retry_after_ms)))
            }
            None => Ok(()),
        }
    }

    /// A connection is gone, at whatever stage.
    pub fn gone(&self, conn: Conn) {
        let state = &mut *self.state.borrow_mut();
        state.conns.remove(&conn);
        if let Some(admission) = &mut state.admission {
            admission.closed(self.clock.now().0, conn);
        }
    }

    pub fn add_client(&self, conn: Conn, outbox: Rc<Outbox>) -> ClientId {
        let state = &mut *self.state.borrow_mut();
        state.next_client += 1;
        let id = ClientId(state.next_client);
        match state.conns.get_mut(&conn) {
            Some(known) => *known = Some(outbox.clone()),
            // Guards against a connection that had to make room while its 101 was being written: nobody would count
            // it. It could harm nobody else, as its place has been given away.
            None => close(&outbox, CloseCode::LATER, MADE_ROOM),
        }
        state.clients.insert(id, (conn, outbox));
        id
    }

    pub fn remove_client(&self, client: ClientId) {
        self.state.borrow_mut().clients.remove(&client);
    }

    /// Whether this is still the connection to that switch.
    pub fn is_current(&self, server: ServerId, outbox: &Rc<Outbox>) -> bool {
        self.state.borrow().trunks.get(&server).is_some_and(|current| Rc::ptr_eq(current, outbox))
    }

    pub fn remove_trunk(&self, server: ServerId) {
        self.state.borrow_mut().trunks.remove(&server);
    }

    /// Bytes that wait to be written, over all connections.
    pub fn backlog(&self) -> usize {
        let state = self.state.borrow();
        state.clients.values().map(|(_, o)| o).chain(state.trunks.values()).map(|o| o.backlog()).sum()
    }

    /// Writes what waits and closes all connections of clients with this close code.
    pub fn finish_clients(&self, code: CloseCode, reason: &str) {
        for (_, outbox) in self.state.borrow().clients.values() {
            close(outbox, code, reason);
        }
    }

    /// A line of counts for the log.
    pub fn log_counts(&self) {
        let state = self.state.borrow();
        let c = state.engine.counters();
        tracing::info!(
            taken = c.taken,
            not_taken = c.not_taken,
            stood = c.stood,
            refused = c.refused,
            failed = c.failed,
            abandoned = c.abandoned,
            cut = c.cut,
            invalid = c.invalid,
            attempts = c.attempts,
            live = state.engine.live_calls(),
            connections = state.clients.len(),
            "counts"
        );
        if let Some(admission) = &state.admission {
            let seen = admission.snapshot(3);
            for (reason, count) in &seen.refused {
                tracing::info!(
                    count,
                    open = seen.open,
                    handshakes = seen.handshakes,
                    "refused: {}",
                    reason.text()
                );
            }
        }
    }
}

/// Told to a connection that is closed so that another gets in.
const MADE_ROOM: &str = "idle, and others want in";

/// Says goodbye to a client, and takes nothing more for it.
fn close(outbox: &Outbox, code: CloseCode, reason: &str) {
    let payload = close_payload(code, reason);
    outbox.push(|out| encode(Opcode::Close, &payload, None, out));
    outbox.finish();
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_connection_that_made_room_before_its_upgrade_was_written_is_closed() {
        let text = "gateway: { number: 0, count: 1, seed: 1 }\nlisten: { address: '127.0.0.1:0' }\n\
                    switches: { file: s.yaml }\nclasses: [{ name: a, aim_ms: 1, deadline_ms: 2 }]\n\
                    limits: { connections: 1 }\nadmission: {}\n";
        let settings = fawnrouter_config::parse("t.yaml", text).expect("sound settings");
        let engine = Engine::new(settings.engine(1, false)).expect("sound settings");
        let admission = settings.admission(1).map(|a| Admission::new(a).expect("sound settings"));
        let core = Core::new(settings, engine, admission, &Rc::new(LocalExecutor::new()));
        let address = IpAddr::from([127, 0, 0, 1]);
        let first = core.arrive(address).expect("room");
        core.shaken(first).expect("room");
        let second = core.arrive(address).expect("the idle one makes room");
        let outboxes = [first, second].map(|conn| {
            let outbox = Rc::new(Outbox::new(1000));
            core.add_client(conn, outbox.clone());
            outbox.backlog()
        });
        assert!(outboxes[0] > 0 && outboxes[1] == 0, "{outboxes:?}");
    }
}
