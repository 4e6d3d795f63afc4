//! What the drivers share: the state machine and the connections that its outputs go to.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Duration;

use async_executor::LocalExecutor;
use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::{ClientId, Input, LinkId, Node, Output};

use crate::outbox::Outbox;
use crate::pump::Pump;

/// Bytes that may wait for one connection; a peer that does not read is given up beyond it. Four lines of the
/// longest kind, or some hundred answers.
const BACKLOG: usize = 64 * 1024;
/// Lines in the log a second; what is beyond is counted.
const LOG_LINES: u32 = 40;

/// Opens a connection to a core switch. The gate is told at its start who does that, so that it knows no driver.
pub type Opener = fn(Rc<Gate>, LinkId, SocketAddr, Duration, Rc<Outbox>);

/// Lines that went to the log in this second, and those that did not.
#[derive(Default)]
struct LogRate {
    second: u64,
    lines: u32,
    dropped: u64,
}

pub struct Gate {
    pub pump: Pump<Node>,
    clients: RefCell<BTreeMap<ClientId, Rc<Outbox>>>,
    links: RefCell<BTreeMap<LinkId, Rc<Outbox>>>,
    next_client: Cell<u64>,
    /// Where reads go first: one buffer for all connections, as nothing awaits while it holds something.
    pub scratch: RefCell<Vec<u8>>,
    pub nameserver: Cell<SocketAddr>,
    /// Clients' connections that are being closed in order, and how many may be at once.
    closing: Cell<usize>,
    most_closing: usize,
    /// Clients' connections that a task still serves or closes.
    driven: Cell<usize>,
    open_trunk: Opener,
    executor: Weak<LocalExecutor<'static>>,
    log: RefCell<LogRate>,
    done: Cell<bool>,
    on_done: Cell<Option<Waker>>,
}

impl Gate {
    pub fn new(
        node: Node,
        descriptors: usize,
        nameserver: SocketAddr,
        open_trunk: Opener,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            pump: Pump::new(node),
            clients: RefCell::default(),
            links: RefCell::default(),
            next_client: Cell::new(0),
            scratch: RefCell::new(vec![0; 32 * 1024]),
            nameserver: Cell::new(nameserver),
            closing: Cell::new(0),
            most_closing: descriptors / 8,
            driven: Cell::new(0),
            open_trunk,
            executor: Rc::downgrade(executor),
            log: RefCell::default(),
            done: Cell::new(false),
            on_done: Cell::new(None),
        })
    }

    /// Runs a task beside the others. The tasks hold the gate and the executor holds the tasks, so the gate holds the
    /// executor weakly: all go when the gateway ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// A number and an outbox for a client that has connected.
    pub fn client(&self) -> (ClientId, Rc<Outbox>) {
        self.next_client.set(self.next_client.get() + 1);
        let (client, outbox) = (ClientId(self.next_client.get()), Rc::new(Outbox::new(BACKLOG)));
        self.clients.borrow_mut().insert(client, outbox.clone());
        (client, outbox)
    }

    /// A client's connection takes nothing more.
    pub fn client_gone(self: &Rc<Self>, client: ClientId) {
        self.clients.borrow_mut().remove(&client);
        self.input(Input::ClientDown { client });
    }

    /// Whether this is still a connection of the gateway's.
    pub fn has_link(&self, link: LinkId) -> bool {
        self.links.borrow().contains_key(&link)
    }

    /// Gives the node an input and carries out what it says.
    pub fn input(self: &Rc<Self>, input: Input) {
        let mut opened = Vec::new();
        self.pump.input(input, |now, _, output| match output {
            Output::ToClient { client, line } => {
                if let Some(outbox) = self.clients.borrow().get(&client) {
                    outbox.push(|out| out.extend_from_slice(&line));
                }
            }
            Output::CloseClient { client } => {
                if let Some(outbox) = self.clients.borrow_mut().remove(&client) {
                    outbox.finish();
                }
            }
            Output::OpenLink { link, address, within } => {
                let outbox = Rc::new(Outbox::new(BACKLOG));
                self.links.borrow_mut().insert(link, outbox.clone());
                opened.push((link, address, within, outbox));
            }
            Output::ToLink { link, line } => {
                if let Some(outbox) = self.links.borrow().get(&link) {
                    outbox.push(|out| out.extend_from_slice(&line));
                }
            }
            Output::CloseLink { link } => self.drop_link(link),
            Output::Log(line) => self.log(now, &line),
            Output::Done => {
                self.done.set(true);
                if let Some(waker) = self.on_done.take() {
                    waker.wake();
                }
            }
        });
        for (link, address, within, outbox) in opened {
            (self.open_trunk)(self.clone(), link, address, within, outbox);
        }
    }

    /// Nothing more is written to this core switch's connection.
    pub fn drop_link(&self, link: LinkId) {
        if let Some(outbox) = self.links.borrow_mut().remove(&link) {
            outbox.finish();
        }
    }

    /// Wakes the node when it asks for it, for ever.
    pub async fn wake(self: &Rc<Self>) {
        self.pump.wake_with(|input| self.input(input)).await;
    }

    /// Ends when nothing is owed any more after a signal to end.
    pub async fn done(&self) {
        poll_fn(|cx| {
            if self.done.get() {
                return Poll::Ready(());
            }
            self.on_done.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// One more connection is being closed in order; `false` if too many are.
    pub fn begin_closing(&self) -> bool {
        let room = self.closing.get() < self.most_closing;
        self.closing.set(self.closing.get() + usize::from(room));
        room
    }

    pub fn end_closing(&self) {
        self.closing.set(self.closing.get().saturating_sub(1));
    }

    /// A task serves one more client's connection, or one less.
    pub fn drives(&self, more: bool) {
        let driven = self.driven.get();
        self.driven.set(if more { driven + 1 } else { driven.saturating_sub(1) });
    }

    /// Whether something waits to be written, or a client's connection is not closed yet.
    pub fn is_winding_up(&self) -> bool {
        self.driven.get() > 0 || self.links.borrow().values().any(|o| o.backlog() > 0)
    }

    /// A line for the operators, unless there were too many in this second.
    pub fn log(&self, now: Time, line: &str) {
        let rate = &mut *self.log.borrow_mut();
        let second = now.0.as_secs();
        if rate.second != second {
            if rate.dropped > 0 {
                tracing::info!(lines = rate.dropped, "lines left out of the log");
            }
            *rate = LogRate { second, ..LogRate::default() };
        }
        if rate.lines < LOG_LINES {
            rate.lines += 1;
            tracing::info!("{line}");
        } else {
            rate.dropped += 1;
        }
    }

    /// A line of counts for the log.
    pub fn log_counts(&self) {
        let (c, held) = self.pump.with(|node| (node.counters(), node.held()));
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
