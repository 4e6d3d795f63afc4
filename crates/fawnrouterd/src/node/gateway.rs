//! State shared by the drivers: the state machine, and the connections that its outputs go to.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use fawnrouter_admission::{BufferLimits, BufferOwner};
use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::jsonl::{MAX_LINE_BYTES, Tag};
use fawnrouter_node::{ClientId, DescriptorShares, Input, LinkId, MemoryShares, Node, Output};

use super::reader::{ReadBuffer, Reader};
use crate::buffer_share::{BufferBudget, BufferShare, new_buffer_budget};
use crate::flag::Flag;
use crate::machine_driver::MachineDriver;
use crate::outbox::Outbox;

/// Most unwritten bytes per connection; a peer that reads too slowly is disconnected beyond this. Room for
/// four lines of the greatest length, or some hundred answers.
const MAX_BACKLOG_BYTES: usize = 64 * 1024;
/// Unwritten bytes that a connection may have however much memory is used: one line of the greatest length.
const MIN_BACKLOG_BYTES: usize = MAX_LINE_BYTES;
/// Further lines in the same second are only counted.
const MAX_LOG_LINES_PER_SECOND: u32 = 40;

/// Opens a connection to a core switch. Passed to [`Gateway::new`], so that the gateway does not depend on a
/// driver.
pub type OpenLink = fn(Rc<Gateway>, LinkId, SocketAddr, Duration, Rc<Outbox>);

/// A client connection, as its driver uses it.
pub struct ClientConnection {
    pub stream: Async<TcpStream>,
    pub outbox: Outbox,
    /// Input that has been read and not yet processed.
    pub reader: RefCell<Reader>,
    /// Set when input was read outside the driver. The driver must process it, as the socket will not become
    /// readable for it again.
    pub input_pending: Flag,
    /// Set when the node closes the connection: input already received is still processed and the outbox is
    /// written, before the socket is closed.
    pub close_requested: Flag,
}

/// The next step in processing an input and its consequences.
enum Step {
    Input(Input),
    /// Check what a client has sent.
    CheckClient(ClientId),
}

/// Counts of log lines in the present second.
#[derive(Default)]
struct LogRate {
    second: u64,
    lines: u32,
    dropped: u64,
}

/// State shared by all tasks of the gateway.
pub struct Gateway {
    pub driver: MachineDriver<Node>,
    clients: RefCell<BTreeMap<ClientId, Rc<ClientConnection>>>,
    links: RefCell<BTreeMap<LinkId, Rc<Outbox>>>,
    next_client: Cell<u64>,
    /// Read buffer of all connections.
    pub read_buffer: ReadBuffer,
    pub nameserver: Cell<SocketAddr>,
    /// Client connections in a graceful close.
    closing: Cell<usize>,
    /// Client connections that a task still serves or closes.
    client_tasks: Cell<usize>,
    shares: DescriptorShares,
    /// Budget for unwritten bytes.
    outbox_budget: BufferBudget,
    open_link: OpenLink,
    executor: Weak<LocalExecutor<'static>>,
    log: RefCell<LogRate>,
    done: Flag,
}

impl Gateway {
    pub fn new(
        node: Node,
        shares: DescriptorShares,
        memory: MemoryShares,
        nameserver: SocketAddr,
        open_link: OpenLink,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            driver: MachineDriver::new(node),
            clients: RefCell::default(),
            links: RefCell::default(),
            next_client: Cell::new(0),
            read_buffer: ReadBuffer::new(32 * 1024),
            nameserver: Cell::new(nameserver),
            closing: Cell::new(0),
            client_tasks: Cell::new(0),
            shares,
            outbox_budget: new_buffer_budget(BufferLimits {
                total: memory.outboxes,
                max_per_connection: MAX_BACKLOG_BYTES,
                min_per_connection: MIN_BACKLOG_BYTES,
            }),
            open_link,
            executor: Rc::downgrade(executor),
            log: RefCell::default(),
            done: Flag::default(),
        })
    }

    /// Spawns a task. The executor owns the tasks and the tasks own the gateway, so the gateway refers to the
    /// executor weakly; otherwise nothing would be freed when the gateway ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Registers a client that has connected.
    pub fn add_client(&self, stream: Async<TcpStream>) -> (ClientId, Rc<ClientConnection>) {
        self.next_client.set(self.next_client.get() + 1);
        let client = ClientId(self.next_client.get());
        let connection = Rc::new(ClientConnection {
            stream,
            outbox: self.new_outbox(BufferOwner::Client),
            reader: RefCell::default(),
            input_pending: Flag::default(),
            close_requested: Flag::default(),
        });
        self.clients.borrow_mut().insert(client, connection.clone());
        (client, connection)
    }

    fn new_outbox(&self, owner: BufferOwner) -> Outbox {
        Outbox::with_budget_share(MAX_BACKLOG_BYTES, BufferShare::of_budget(&self.outbox_budget, owner))
    }

    /// Whether one more client connection can be served, its graceful close included.
    pub fn has_client_capacity(&self) -> bool {
        self.client_tasks.get() < self.shares.max_client_connections()
    }

    /// A client has closed its side, or its connection cannot be written to: lines not yet written are
    /// undeliverable.
    pub fn client_ended(self: &Rc<Self>, client: ClientId) {
        self.remove_client(client).into_iter().for_each(|input| self.input(input));
    }

    /// Removes a client. Returns the inputs that report its end and its undelivered lines.
    fn remove_client(&self, client: ClientId) -> Vec<Input> {
        let connection = self.clients.borrow_mut().remove(&client);
        let marks = connection.into_iter().flat_map(|connection| connection.outbox.unwritten_marks());
        // The answer and the release of a call may both be unwritten.
        let undelivered: BTreeSet<u64> = marks.collect();
        let undelivered = undelivered.into_iter().map(|tag| Input::NotDelivered { tag: Tag(tag) });
        std::iter::once(Input::ClientHalfClosed { client }).chain(undelivered).collect()
    }

    /// A client connection is closed in both directions.
    pub fn client_closed(self: &Rc<Self>, client: ClientId) {
        self.client_ended(client);
        self.input(Input::ClientDisconnected { client });
    }

    /// Whether this connection to a core switch is still in use.
    pub fn has_link(&self, link: LinkId) -> bool {
        self.links.borrow().contains_key(&link)
    }

    /// Gives the node an input, carries out its outputs, and processes the inputs that result from them.
    pub fn input(self: &Rc<Self>, input: Input) {
        let mut next = VecDeque::from([Step::Input(input)]);
        while let Some(step) = next.pop_front() {
            match step {
                Step::Input(input) => self.process_input(input, &mut next),
                Step::CheckClient(client) => self.check_client(client, &mut next),
            }
        }
    }

    /// Checks whether a client has given up a call or closed its connection before a line that depends on it
    /// goes out. Otherwise set-ups and answers could be sent for callers who left while this process did
    /// other things, because sockets do not become readable in the order in which their data arrived.
    fn check_client(&self, client: ClientId, next: &mut VecDeque<Step>) {
        let Some(connection) = self.clients.borrow().get(&client).cloned() else { return };
        let mut reader = connection.reader.borrow_mut();
        reader.fill(&self.read_buffer, connection.stream.get_ref());
        if reader.has_unprocessed_input() {
            connection.input_pending.set();
        }
        next.extend(
            std::iter::from_fn(|| reader.next_call_end())
                .map(|message| Step::Input(Input::ClientMessage { client, message })),
        );
        if reader.take_end() {
            drop(reader);
            next.extend(self.remove_client(client).into_iter().map(Step::Input));
        }
    }

    /// Gives the node an input and carries out its outputs. Resulting steps are appended to `next`.
    fn process_input(self: &Rc<Self>, input: Input, next: &mut VecDeque<Step>) {
        let mut opened = Vec::new();
        self.driver.input(input, |now, _, output| match output {
            Output::ToClient { client, line } => {
                if let Some(connection) = self.clients.borrow().get(&client) {
                    connection.outbox.push(|out| out.extend_from_slice(&line));
                }
            }
            Output::ToCaller { client, tag, line } => match self.clients.borrow().get(&client) {
                Some(connection) => {
                    connection.outbox.push_marked(tag.0, &line);
                    next.push_back(Step::CheckClient(client));
                }
                None => next.push_back(Step::Input(Input::NotDelivered { tag })),
            },
            Output::CloseClient { client } => {
                if let Some(connection) = self.clients.borrow().get(&client) {
                    connection.close_requested.set();
                }
            }
            Output::OpenLink { link, address, within } => {
                let outbox = Rc::new(self.new_outbox(BufferOwner::Trunk));
                self.links.borrow_mut().insert(link, outbox.clone());
                opened.push((link, address, within, outbox));
            }
            Output::ToLink { link, line } => {
                if let Some(outbox) = self.links.borrow().get(&link) {
                    outbox.push(|out| out.extend_from_slice(&line));
                }
            }
            Output::SetUp { client, link, tag, line } => {
                if let Some(outbox) = self.links.borrow().get(&link) {
                    outbox.push_marked(tag.0, &line);
                    next.push_back(Step::CheckClient(client));
                }
            }
            Output::CancelSetUp { link, tag, line } => {
                if let Some(outbox) = self.links.borrow().get(&link)
                    && !outbox.remove_unwritten(tag.0)
                {
                    outbox.push(|out| out.extend_from_slice(&line));
                }
            }
            Output::RecallSetUps { link } => {
                let removed = self.links.borrow().get(&link).map(|outbox| outbox.remove_all_unwritten());
                let marks = removed.into_iter().flatten();
                next.extend(marks.map(|mark| Step::Input(Input::SetUpRecalled { link, tag: Tag(mark) })));
            }
            Output::CloseLink { link } => self.drop_link(link),
            Output::Log(line) => self.log_limited(now, &line),
            Output::Done => {
                self.done.set();
            }
        });
        for (link, address, within, outbox) in opened {
            (self.open_link)(self.clone(), link, address, within, outbox);
        }
    }

    /// Closes the connection to a core switch. Set-ups of which nothing is written yet count as ended, so
    /// that their calls may go elsewhere; cancels and releases of others are still written.
    pub fn drop_link(&self, link: LinkId) {
        if let Some(outbox) = self.links.borrow_mut().remove(&link) {
            outbox.remove_all_unwritten();
            outbox.finish();
        }
    }

    /// Runs the node's timer until the task is dropped.
    pub async fn run_node_timer(self: &Rc<Self>) {
        self.driver.run_timer(|input| self.input(input)).await;
    }

    /// Waits until the node has answered everything after a signal to end.
    pub async fn done(&self) {
        self.done.wait().await;
    }

    /// Starts a graceful close; `false` if too many are under way.
    pub fn begin_closing(&self) -> bool {
        let allowed = self.closing.get() < self.shares.closing;
        self.closing.set(self.closing.get() + usize::from(allowed));
        allowed
    }

    /// A graceful close has ended.
    pub fn end_closing(&self) {
        self.closing.set(self.closing.get().saturating_sub(1));
    }

    /// Counts a task that starts (`true`) or ends (`false`) serving a client connection.
    pub fn count_client_task(&self, started: bool) {
        let client_tasks = self.client_tasks.get();
        self.client_tasks.set(if started { client_tasks + 1 } else { client_tasks.saturating_sub(1) });
    }

    /// Whether a client connection is not closed yet, or bytes wait to be written to a core switch.
    pub fn has_open_work(&self) -> bool {
        self.client_tasks.get() > 0 || self.links.borrow().values().any(|o| o.backlog() > 0)
    }

    /// Logs a line, unless too many were logged in this second.
    pub fn log_limited(&self, now: Time, line: &str) {
        let rate = &mut *self.log.borrow_mut();
        let second = now.0.as_secs();
        if rate.second != second {
            if rate.dropped > 0 {
                tracing::info!(lines = rate.dropped, "lines left out of the log");
            }
            *rate = LogRate { second, ..LogRate::default() };
        }
        if rate.lines < MAX_LOG_LINES_PER_SECOND {
            rate.lines += 1;
            tracing::info!("{line}");
        } else {
            rate.dropped += 1;
        }
    }

    /// Logs the line of counts.
    pub fn log_counts(&self) {
        let (c, held) = self.driver.with_machine(|node| (node.counters(), node.state_sizes()));
        let [open, standing, clients, links, switches] = held;
        tracing::info!(
            taken = c.accepted,
            stood = c.established,
            refused = c.refused,
            beyond_share = c.beyond_share,
            failed = c.failed,
            lapsed = c.abandoned,
            invalid = c.invalid,
            reports_dropped = c.reports_dropped,
            attempts = c.attempts,
            cut = c.calls_lost,
            spoilt = c.invalid_responses,
            opened = c.links_opened,
            probes = c.probes,
            dead = c.dead_links,
            unseated = c.rejected_or_evicted_clients,
            open,
            standing,
            clients,
            links,
            switches,
            "counts"
        );
    }
}
