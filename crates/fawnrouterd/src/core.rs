//! The event core: the engine, and the connections that its outputs go to.

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

use crate::buffer_share::{BufferBudget, BufferShare, new_buffer_budget};
use crate::clock::Clock;
use crate::connection_admission::ConnectionAdmission;
use crate::connections::{Connections, send_close};
use crate::flag::Flag;
use crate::log::CallSpans;
use crate::machine_driver::MachineDriver;
use crate::outbox::Outbox;

/// Interval of [`Core::run_maintenance`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a connection to a core switch. Passed to [`Core::new`], so that the core does not depend on a
/// driver.
pub type OpenTrunk = fn(Rc<Core>, ServerId, SocketAddr, Rc<Outbox>);

/// State shared by all tasks of the gateway.
pub struct Core {
    driver: MachineDriver<Engine>,
    spans: RefCell<CallSpans>,
    pub connections: RefCell<Connections>,
    pub connection_admission: RefCell<ConnectionAdmission>,
    /// Budget for unwritten bytes and for bytes of incomplete messages.
    pub buffer_budget: BufferBudget,
    /// Read buffer. One suffices for all connections, because no task awaits while it holds data.
    pub scratch: RefCell<Vec<u8>>,
    pub settings: Settings,
    open_trunk: OpenTrunk,
    executor: Weak<LocalExecutor<'static>>,
    drained: Flag,
}

impl Core {
    pub fn new(
        settings: Settings,
        engine: Engine,
        connection_admission: ConnectionAdmission,
        open_trunk: OpenTrunk,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let limits = &settings.limits;
        let bytes = BufferLimits {
            total: limits.buffer_bytes,
            max_per_connection: limits.write_backlog_bytes.max(limits.head_bytes + limits.body_bytes),
            // A message of usual size is always accepted, however much the others hold.
            min_per_connection: limits.head_bytes.min(4096),
        };
        Rc::new(Self {
            driver: MachineDriver::new(engine),
            spans: RefCell::default(),
            connections: RefCell::default(),
            connection_admission: RefCell::new(connection_admission),
            buffer_budget: new_buffer_budget(bytes),
            scratch: RefCell::new(vec![0; 64 * 1024]),
            settings,
            open_trunk,
            executor: Rc::downgrade(executor),
            drained: Flag::default(),
        })
    }

    /// Spawns a task. The executor owns the tasks and the tasks own the core, so the core refers to the
    /// executor weakly; otherwise nothing would be freed when the gateway ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Size limits of SIP messages.
    pub fn sip_limits(&self) -> Limits {
        let limits = &self.settings.limits;
        Limits { head_bytes: limits.head_bytes, fields: limits.fields, body_bytes: limits.body_bytes }
    }

    /// Creates an outbox for a connection.
    pub fn new_outbox(&self, owner: BufferOwner) -> Outbox {
        Outbox::with_budget_share(
            self.settings.limits.write_backlog_bytes,
            BufferShare::of_budget(&self.buffer_budget, owner),
        )
    }

    /// Gives the engine an input and carries out its outputs.
    pub fn input(self: &Rc<Self>, input: Input) {
        let mut opened = Vec::new();
        let (mut connections, mut connection_admission) =
            (self.connections.borrow_mut(), self.connection_admission.borrow_mut());
        let (connections_ref, admission_ref) = (&mut *connections, &mut *connection_admission);
        self.driver.input(input, |now, engine, output| match output {
            Output::ToClient { client, bytes } => {
                if let Some((conn, outbox)) = connections_ref.client(client) {
                    // A message to a client means that the state of one of its calls has changed.
                    admission_ref.record_activity(now, conn, engine.client_call_count(client));
                    outbox.push(|out| encode_frame(Opcode::Text, &bytes, None, out));
                }
            }
            Output::ToTrunk { server, bytes } => {
                if let Some(outbox) = connections_ref.trunk(server) {
                    outbox.push(|out| out.extend_from_slice(&bytes));
                }
            }
            Output::OpenTrunk { server, address } => {
                let outbox = Rc::new(self.new_outbox(BufferOwner::Trunk));
                connections_ref.insert_trunk(server, outbox.clone());
                opened.push((server, address, outbox));
            }
            Output::CloseTrunk { server } => {
                if let Some(outbox) = connections_ref.remove_trunk(server) {
                    outbox.finish();
                }
            }
            Output::ClientIdentified { client, name } => {
                let Some((conn, outbox)) = connections_ref.client(client) else { return };
                let outbox = outbox.clone();
                tracing::debug!(client = client.0, name = &*name, "client known");
                if let Err(reason) = admission_ref.client_identified(now, connections_ref, conn, &name) {
                    send_close(&outbox, CloseCode::TRY_AGAIN_LATER, reason.text());
                }
            }
            Output::CloseClient { client, reason } => {
                if let Some((_, outbox)) = connections_ref.client(client) {
                    tracing::warn!(client = client.0, "connection closed: {reason}");
                    send_close(outbox, CloseCode::POLICY_VIOLATION, reason);
                }
            }
            Output::Log(line) => tracing::info!("{line}"),
            Output::CallEvent { call, event } => self.spans.borrow_mut().record(call, event),
            Output::Drained => {
                self.drained.set();
            }
        });
        drop((connections, connection_admission));
        for (server, address, outbox) in opened {
            (self.open_trunk)(self.clone(), server, address, outbox);
        }
    }

    /// The gateway's clock.
    pub fn clock(&self) -> Clock {
        self.driver.clock
    }

    /// Runs the engine's timer until the task is dropped.
    pub async fn run_engine_timer(self: &Rc<Self>) {
        self.driver.run_timer(|input| self.input(input)).await;
    }

    /// Waits until a draining engine has no call left.
    pub async fn drained(&self) {
        self.drained.wait().await;
    }

    /// Calls `read` with the engine.
    pub fn with_engine<T>(&self, read: impl FnOnce(&Engine) -> T) -> T {
        self.driver.with_machine(read)
    }

    /// Closes idle, slow and unauthenticated connections and logs changes of state, until the task is
    /// dropped.
    pub async fn run_maintenance(&self) {
        loop {
            Timer::after(MAINTENANCE_INTERVAL).await;
            let now = self.clock().now();
            let mut connection_admission = self.connection_admission.borrow_mut();
            connection_admission.close_evicted(now, &mut self.connections.borrow_mut());
            self.with_engine(|engine| {
                if let Some(set_ups) = engine.set_up_admission() {
                    connection_admission.log_changes(now, set_ups.refused());
                } else {
                    connection_admission.log_changes(now, &Default::default());
                }
            });
        }
    }

    /// Logs the line of counts.
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
            connections = connections.client_count(),
            buffered_bytes = buffer_budget.used(),
            "counts"
        );
    }
}
