//! What the drivers share: the state machine and the connections that its outputs go to.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::jsonl::Tag;
use fawnrouter_node::{ClientId, Input, LinkId, Node, Output, Shares};

use super::reader::{ReadBuffer, Reader};
use crate::flag::Flag;
use crate::machine_driver::MachineDriver;
use crate::outbox::Outbox;

/// Bytes that may wait for one connection; a connection that does not read is given up beyond it. Four lines of the
/// longest kind, or some hundred answers.
const MAX_BACKLOG_BYTES: usize = 64 * 1024;
/// Lines in the log a second; what is beyond is counted.
const MAX_LOG_LINES_PER_SECOND: u32 = 40;

/// Opens a connection to a core switch. The gateway is told at its start who does that, so that it knows no driver.
pub type OpenLink = fn(Rc<Gateway>, LinkId, SocketAddr, Duration, Rc<Outbox>);

/// A client's connection, for its driver.
pub struct ClientConnection {
    pub stream: Async<TcpStream>,
    pub outbox: Outbox,
    /// What has been read of it.
    pub reader: RefCell<Reader>,
    /// Something has been read beside the driver, which is to hand it on: the socket will not tell it.
    pub input_pending: Flag,
    /// The node lets go of it: what has come is to be taken, what is said to be written, and then it is closed.
    pub close_requested: Flag,
}

/// What the gateway does next.
enum Step {
    Input(Input),
    /// Look at what a client has sent.
    CheckClient(ClientId),
}

/// Lines that went to the log in this second, and those that did not.
#[derive(Default)]
struct LogRate {
    second: u64,
    lines: u32,
    dropped: u64,
}

pub struct Gateway {
    pub driver: MachineDriver<Node>,
    clients: RefCell<BTreeMap<ClientId, Rc<ClientConnection>>>,
    links: RefCell<BTreeMap<LinkId, Rc<Outbox>>>,
    next_client: Cell<u64>,
    /// Where reads go.
    pub read_buffer: ReadBuffer,
    pub nameserver: Cell<SocketAddr>,
    /// Clients' connections that are being closed in order, and how many may be at once.
    closing: Cell<usize>,
    /// Clients' connections that a task still serves or closes.
    client_tasks: Cell<usize>,
    shares: Shares,
    open_link: OpenLink,
    executor: Weak<LocalExecutor<'static>>,
    log: RefCell<LogRate>,
    done: Flag,
}

impl Gateway {
    pub fn new(
        node: Node,
        shares: Shares,
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
            open_link,
            executor: Rc::downgrade(executor),
            log: RefCell::default(),
            done: Flag::default(),
        })
    }

    /// Runs a task beside the others. The tasks hold the gateway and the executor holds the tasks, so the gateway holds the
    /// executor weakly: all go when the gateway ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// A number and an outbox for a client that has connected.
    pub fn add_client(&self, stream: Async<TcpStream>) -> (ClientId, Rc<ClientConnection>) {
        self.next_client.set(self.next_client.get() + 1);
        let client = ClientId(self.next_client.get());
        let connection = Rc::new(ClientConnection {
            stream,
            outbox: Outbox::new(MAX_BACKLOG_BYTES),
            reader: RefCell::default(),
            input_pending: Flag::default(),
            close_requested: Flag::default(),
        });
        self.clients.borrow_mut().insert(client, connection.clone());
        (client, connection)
    }

    /// Whether there is room for one more connection of a client's, its way out included.
    pub fn has_client_capacity(&self) -> bool {
        self.client_tasks.get() < self.shares.callers()
    }

    /// A client has ended its side, or its connection cannot be written to: what has not been said will not be heard.
    pub fn client_ended(self: &Rc<Self>, client: ClientId) {
        self.remove_client(client).into_iter().for_each(|input| self.input(input));
    }

    fn remove_client(&self, client: ClientId) -> Vec<Input> {
        let connection = self.clients.borrow_mut().remove(&client);
        let undelivered = connection.into_iter().flat_map(|connection| connection.outbox.unwritten_marks());
        let undelivered = undelivered.map(|tag| Input::Unheard { tag: Tag(tag) });
        std::iter::once(Input::ClientEnded { client }).chain(undelivered).collect()
    }

    /// A client's connection takes nothing more.
    pub fn client_closed(self: &Rc<Self>, client: ClientId) {
        self.client_ended(client);
        self.input(Input::ClientDown { client });
    }

    /// Whether this is still a connection of the gateway's.
    pub fn has_link(&self, link: LinkId) -> bool {
        self.links.borrow().contains_key(&link)
    }

    /// Gives the node an input and carries out what it says, and what follows from that.
    pub fn input(self: &Rc<Self>, input: Input) {
        let mut next = VecDeque::from([Step::Input(input)]);
        while let Some(step) = next.pop_front() {
            match step {
                Step::Input(input) => self.process_input(input, &mut next),
                Step::CheckClient(client) => self.check_client(client, &mut next),
            }
        }
    }

    /// Looks whether a client has given something up, or has gone, before anything goes out that depends on it. Guards
    /// against set-ups for callers, and answers to them, who had left while this process did other things: the order in
    /// which sockets are found readable is not that in which their bytes came.
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

    fn process_input(self: &Rc<Self>, input: Input, next: &mut VecDeque<Step>) {
        let mut opened = Vec::new();
        self.driver.input(input, |now, _, output| match output {
            Output::ToClient { client, line } => {
                if let Some(connection) = self.clients.borrow().get(&client) {
                    connection.outbox.push(|out| out.extend_from_slice(&line));
                }
            }
            Output::Tell { client, tag, line } => match self.clients.borrow().get(&client) {
                Some(connection) => {
                    connection.outbox.push_marked(tag.0, &line);
                    next.push_back(Step::CheckClient(client));
                }
                None => next.push_back(Step::Input(Input::Unheard { tag })),
            },
            Output::CloseClient { client } => {
                if let Some(connection) = self.clients.borrow().get(&client) {
                    connection.close_requested.set();
                }
            }
            Output::OpenLink { link, address, within } => {
                let outbox = Rc::new(Outbox::new(MAX_BACKLOG_BYTES));
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
            Output::GiveUp { link, tag, line } => {
                if let Some(outbox) = self.links.borrow().get(&link)
                    && !outbox.remove_unwritten(tag.0)
                {
                    outbox.push(|out| out.extend_from_slice(&line));
                }
            }
            Output::Recall { link } => {
                let back = self.links.borrow().get(&link).map(|outbox| outbox.remove_all_unwritten());
                let back = back.into_iter().flatten();
                next.extend(back.map(|mark| Step::Input(Input::Recalled { link, tag: Tag(mark) })));
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

    /// Nothing new is written to this core switch's connection: set-ups that have not begun count as ended, and their
    /// calls may go elsewhere. What gives up or releases others is written.
    pub fn drop_link(&self, link: LinkId) {
        if let Some(outbox) = self.links.borrow_mut().remove(&link) {
            outbox.remove_all_unwritten();
            outbox.finish();
        }
    }

    /// Wakes the node when it asks for it, for ever.
    pub async fn run_node_timer(self: &Rc<Self>) {
        self.driver.run_timer(|input| self.input(input)).await;
    }

    /// Ends when nothing is owed any more after a signal to end.
    pub async fn done(&self) {
        self.done.wait().await;
    }

    /// One more connection is being closed in order; `false` if too many are.
    pub fn begin_closing(&self) -> bool {
        let room = self.closing.get() < self.shares.closing;
        self.closing.set(self.closing.get() + usize::from(room));
        room
    }

    pub fn end_closing(&self) {
        self.closing.set(self.closing.get().saturating_sub(1));
    }

    /// A task serves one more client's connection, or one less.
    pub fn count_client_task(&self, more: bool) {
        let client_tasks = self.client_tasks.get();
        self.client_tasks.set(if more { client_tasks + 1 } else { client_tasks.saturating_sub(1) });
    }

    /// Whether something waits to be written, or a client's connection is not closed yet.
    pub fn has_open_work(&self) -> bool {
        self.client_tasks.get() > 0 || self.links.borrow().values().any(|o| o.backlog() > 0)
    }

    /// A line for the operators, unless there were too many in this second.
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

    /// A line of counts for the log.
    pub fn log_counts(&self) {
        let (c, held) = self.driver.with_machine(|node| (node.counters(), node.held()));
        let [open, standing, clients, links, switches] = held;
        tracing::info!(
            taken = c.taken,
            stood = c.stood,
            refused = c.refused,
            failed = c.failed,
            lapsed = c.lapsed,
            invalid = c.invalid,
            attempts = c.attempts,
            cut = c.cut,
            spoilt = c.spoilt,
            unseated = c.unseated,
            open,
            standing,
            clients,
            links,
            switches,
            "counts"
        );
    }
}
