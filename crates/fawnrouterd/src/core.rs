//! The event core: the engine with the connections that its outputs go to.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use fawnrouter_admission::{BufferLimits, BufferOwner};
use fawnrouter_config::Settings;
use fawnrouter_engine::fawnrouter::ServerId;
use fawnrouter_engine::{Engine, Input, Output};
use fawnrouter_sip::Limits;
use fawnrouter_ws::{CloseCode, Opcode, encode_frame};

use crate::clock::Clock;
use crate::connection_admission::ConnectionAdmission;
use crate::connections::{Connections, goodbye};
use crate::flag::Flag;
use crate::log::Spans;
use crate::outbox::Outbox;
use crate::pump::Pump;
use crate::share::{BufferBudget, Share, buffer_budget};

/// Opens a connection to a switch. The core is told at its start who does that, so that it knows no driver.
pub type Opener = fn(Rc<Core>, ServerId, SocketAddr, Rc<Outbox>);

/// What all tasks of the gateway share.
pub struct Core {
    pump: Pump<Engine>,
    spans: RefCell<Spans>,
    pub connections: RefCell<Connections>,
    pub connection_admission: RefCell<ConnectionAdmission>,
    /// Memory for bytes that wait to be written or to be a whole message.
    pub buffer_budget: BufferBudget,
    /// Where reads go first: one buffer for all connections, as nothing awaits while it holds something.
    pub scratch: RefCell<Vec<u8>>,
    pub settings: Settings,
    open_trunk: Opener,
    executor: Weak<LocalExecutor<'static>>,
    drained: Flag,
}

impl Core {
    pub fn new(
        settings: Settings,
        engine: Engine,
        connection_admission: ConnectionAdmission,
        open_trunk: Opener,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let limits = &settings.limits;
        let bytes = BufferLimits {
            total: limits.buffer_bytes,
            max_per_connection: limits.write_backlog_bytes.max(limits.head_bytes + limits.body_bytes),
            // A message of the usual size passes whatever the others hold.
            min_per_connection: limits.head_bytes.min(4096),
        };
        Rc::new(Self {
            pump: Pump::new(engine),
            spans: RefCell::default(),
            connections: RefCell::default(),
            connection_admission: RefCell::new(connection_admission),
            buffer_budget: buffer_budget(bytes),
            scratch: RefCell::new(vec![0; 64 * 1024]),
            settings,
            open_trunk,
            executor: Rc::downgrade(executor),
            drained: Flag::default(),
        })
    }

    /// Runs a task beside the others. The tasks hold the core and the executor holds the tasks, so the core holds
    /// the executor weakly: all go when the gateway ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Limits of SIP messages.
    pub fn sip_limits(&self) -> Limits {
        let limits = &self.settings.limits;
        Limits { head_bytes: limits.head_bytes, fields: limits.fields, body_bytes: limits.body_bytes }
    }

    /// A fresh outbox.
    pub fn outbox(&self, whose: BufferOwner) -> Outbox {
        Outbox::with_budget_share(
            self.settings.limits.write_backlog_bytes,
            Share::of(&self.buffer_budget, whose),
        )
    }

    /// Gives the engine an input and carries out what it says.
    pub fn input(self: &Rc<Self>, input: Input) {
        let mut opened = Vec::new();
        let (mut connections, mut connection_admission) =
            (self.connections.borrow_mut(), self.connection_admission.borrow_mut());
        let (connections_now, admission_now) = (&mut *connections, &mut *connection_admission);
        self.pump.input(input, |now, engine, output| match output {
            Output::ToClient { client, bytes } => {
                if let Some((conn, outbox)) = connections_now.client(client) {
                    // A message to a client means that one of its calls has changed.
                    admission_now.active(now, conn, engine.client_call_count(client));
                    outbox.push(|out| encode_frame(Opcode::Text, &bytes, None, out));
                }
            }
            Output::ToTrunk { server, bytes } => {
                if let Some(outbox) = connections_now.trunk(server) {
                    outbox.push(|out| out.extend_from_slice(&bytes));
                }
            }
            Output::OpenTrunk { server, address } => {
                let outbox = Rc::new(self.outbox(BufferOwner::Trunk));
                connections_now.insert_trunk(server, outbox.clone());
                opened.push((server, address, outbox));
            }
            Output::CloseTrunk { server } => {
                if let Some(outbox) = connections_now.remove_trunk(server) {
                    outbox.finish();
                }
            }
            Output::ClientIdentified { client, name } => {
                let Some((conn, outbox)) = connections_now.client(client) else { return };
                let outbox = outbox.clone();
                tracing::debug!(client = client.0, name = &*name, "client known");
                if let Err(reason) = admission_now.known(now, connections_now, conn, &name) {
                    goodbye(&outbox, CloseCode::TRY_AGAIN_LATER, reason.text());
                }
            }
            Output::CloseClient { client, reason } => {
                if let Some((_, outbox)) = connections_now.client(client) {
                    tracing::warn!(client = client.0, "connection closed: {reason}");
                    goodbye(outbox, CloseCode::POLICY_VIOLATION, reason);
                }
            }
            Output::Log(line) => tracing::info!("{line}"),
            Output::CallEvent { call, event: word } => self.spans.borrow_mut().word(call, word),
            Output::Drained => {
                self.drained.raise();
            }
        });
        drop((connections, connection_admission));
        for (server, address, outbox) in opened {
            (self.open_trunk)(self.clone(), server, address, outbox);
        }
    }

    /// The gateway's clock.
    pub fn clock(&self) -> Clock {
        self.pump.clock
    }

    /// Wakes the engine when it asks for it, for ever.
    pub async fn wake_engine(self: &Rc<Self>) {
        self.pump.wake_with(|input| self.input(input)).await;
    }

    /// Ends when the engine has no call left after a drain.
    pub async fn drained(&self) {
        self.drained.raised().await;
    }

    /// Looks at the engine.
    pub fn with_engine<T>(&self, look: impl FnOnce(&Engine) -> T) -> T {
        self.pump.with(look)
    }

    /// Closes who is to go, and writes what changed, for ever.
    pub async fn keep_house(&self) {
        loop {
            Timer::after(HOUSE).await;
            let now = self.clock().now();
            let mut connection_admission = self.connection_admission.borrow_mut();
            connection_admission.sweep(now, &mut self.connections.borrow_mut());
            self.with_engine(|engine| {
                if let Some(set_ups) = engine.set_up_admission() {
                    connection_admission.tell(now, set_ups.refused());
                } else {
                    connection_admission.tell(now, &Default::default());
                }
            });
        }
    }

    /// A line of counts for the log.
    pub fn log_counts(&self) {
        let (connections, buffer_budget) = (self.connections.borrow(), self.buffer_budget.borrow());
        let (c, live) = self.with_engine(|engine| (engine.counters(), engine.live_calls()));
        tracing::info!(
            taken = c.accepted,
            not_taken = c.rejected,
            stood = c.established,
            refused = c.refused,
            failed = c.failed,
            abandoned = c.abandoned,
            cut = c.cut,
            invalid = c.invalid,
            attempts = c.attempts,
            live,
            connections = connections.clients(),
            buffered_bytes = buffer_budget.used(),
            "counts"
        );
    }
}

/// Between two looks at who is to go.
const HOUSE: Duration = Duration::from_millis(250);
