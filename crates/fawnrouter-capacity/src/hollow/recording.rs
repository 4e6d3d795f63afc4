//! What one gateway of a fleet was given, and the same given to it again, alone.
//!
//! Hundreds of gateways in one process contend for its caches: each call costs up to three times of what it costs a gateway
//! that has a core for itself. So the work of a gateway in a fleet is measured by playing its inputs again, which is exact:
//! the same inputs bring the same outputs, and a replay that says other bytes is an error.

use std::collections::BTreeMap;

use fawnrouter_jsonl::{DecodeError, Decoder, Message, Tag};
use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::{Ask, Boot, ClientId, Input, LinkEnd, LinkId, Node, NodeSettings, Output};

use super::HollowError;
use super::cost::{Cost, Ledger};
use super::members::{Held, cause_of};
use super::meter::Meter;
use super::outcome::RoleOutcome;
use crate::figures::Cause;

/// One thing that happened to the gateway.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Its process started with this configuration.
    Boot(String),
    /// Its process ended.
    Exit,
    Ask(u16),
    Answer(Vec<u8>),
    ClientLine(ClientId, Vec<u8>),
    LinkLine(LinkId, Vec<u8>),
    ClientUp(ClientId),
    ClientReadOut(ClientId),
    ClientDown(ClientId),
    Unheard(Tag),
    LinkUp(LinkId),
    LinkDown(LinkId, LinkEnd),
    Stop,
    Wake,
}

impl Step {
    /// An input that is told in one piece; the others are lines, answers and configurations.
    pub fn of(input: &Input) -> Option<Self> {
        Some(match input {
            Input::ClientConnected { client } => Self::ClientUp(*client),
            Input::ClientFullyRead { client } => Self::ClientReadOut(*client),
            Input::ClientDisconnected { client } => Self::ClientDown(*client),
            Input::NotDelivered { tag } => Self::Unheard(*tag),
            Input::LinkUp { link } => Self::LinkUp(*link),
            Input::LinkDown { link, end } => Self::LinkDown(*link, *end),
            Input::Stop => Self::Stop,
            Input::Wake => Self::Wake,
            _ => return None,
        })
    }
}

#[derive(Clone, Debug)]
struct Recorded {
    at: Time,
    /// The second of what is measured.
    second: Option<u64>,
    step: Step,
}

/// All that happened to one gateway, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recording {
    steps: Vec<Recorded>,
    /// Bytes of all lines that it wrote.
    written: u64,
}

impl Recording {
    pub fn add(&mut self, at: Time, second: Option<u64>, step: Step) {
        self.steps.push(Recorded { at, second, step });
    }

    pub fn note_written(&mut self, outputs: &[Output]) {
        self.written += written(outputs);
    }

    /// Plays it again and measures the work.
    pub fn replay(&self, meter: Meter) -> Result<Replayed, HollowError> {
        let mut replay = Replay { meter, ..Replay::default() };
        for recorded in &self.steps {
            replay.step(recorded)?;
        }
        if replay.written != self.written {
            return Err(HollowError::ReplayMismatch { first: self.written, again: replay.written });
        }
        let role = |ledger: &mut Ledger| RoleOutcome::new([(ledger, Held::default())].into_iter());
        Ok(Replayed { calls: role(&mut replay.calls), control: role(&mut replay.control) })
    }
}

/// What the work of one gateway cost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replayed {
    pub calls: RoleOutcome,
    pub control: RoleOutcome,
}

fn written(outputs: &[Output]) -> u64 {
    let length = |output: &Output| match output {
        Output::ToClient { line, .. }
        | Output::NotifyCaller { line, .. }
        | Output::ToLink { line, .. }
        | Output::SetUp { line, .. }
        | Output::CancelSetUp { line, .. } => line.len() as u64,
        _ => 0,
    };
    outputs.iter().map(length).sum()
}

/// The gateway's process once more.
#[derive(Default)]
struct Replay {
    meter: Meter,
    process: Option<(Node, Ask)>,
    clients: BTreeMap<ClientId, Decoder>,
    links: BTreeMap<LinkId, Decoder>,
    outputs: Vec<Output>,
    written: u64,
    calls: Ledger,
    control: Ledger,
}

impl Replay {
    fn step(&mut self, recorded: &Recorded) -> Result<(), HollowError> {
        let Recorded { at, second, step } = recorded;
        match step {
            Step::Boot(text) => self.boot(*at, *second, text)?,
            Step::Exit => {
                self.process = None;
                self.clients.clear();
                self.links.clear();
            }
            Step::Ask(id) => {
                if let Some((_, ask)) = &mut self.process {
                    let (_, cost) = self.meter.measure(|| ask.next_query(*at, *id));
                    self.note(*second, Cause::List, cost);
                }
            }
            Step::Answer(datagram) => self.answer(*at, *second, datagram),
            Step::ClientLine(client, line) => {
                let decoder = self.clients.entry(*client).or_default();
                let (read, cost) = read(self.meter, decoder, line);
                let input = read.map(|read| match read {
                    Ok(message) => {
                        (cause_of(message.verb), Input::ClientMessage { client: *client, message })
                    }
                    Err(fault) => (Cause::Calls, Input::ClientDecodeError { client: *client, error: fault }),
                });
                self.line(*at, *second, cost, input);
            }
            Step::LinkLine(link, line) => {
                let decoder = self.links.entry(*link).or_default();
                let (read, cost) = read(self.meter, decoder, line);
                let input = read.map(|read| match read {
                    Ok(message) => (cause_of(message.verb), Input::LinkMessage { link: *link, message }),
                    Err(fault) => (Cause::Calls, Input::LinkDecodeError { link: *link, error: fault }),
                });
                self.line(*at, *second, cost, input);
            }
            Step::ClientUp(client) => {
                self.feed(*at, *second, Cause::Connections, Input::ClientConnected { client: *client });
            }
            Step::ClientReadOut(client) => {
                self.feed(*at, *second, Cause::Connections, Input::ClientFullyRead { client: *client });
            }
            Step::ClientDown(client) => {
                self.feed(*at, *second, Cause::Connections, Input::ClientDisconnected { client: *client });
                self.clients.remove(client);
            }
            Step::Unheard(tag) => self.feed(*at, *second, Cause::Calls, Input::NotDelivered { tag: *tag }),
            Step::LinkUp(link) => self.feed(*at, *second, Cause::Connections, Input::LinkUp { link: *link }),
            Step::LinkDown(link, end) => {
                self.links.remove(link);
                self.feed(*at, *second, Cause::Connections, Input::LinkDown { link: *link, end: *end });
            }
            Step::Stop => self.feed(*at, *second, Cause::Connections, Input::Stop),
            Step::Wake => self.feed(*at, *second, Cause::Timers, Input::Wake),
        }
        Ok(())
    }

    fn boot(&mut self, at: Time, second: Option<u64>, text: &str) -> Result<(), HollowError> {
        let (built, cost) = self.meter.measure(|| build(text));
        let (node, known) = built?;
        self.note(second, Cause::Configuration, cost);
        self.process = Some((node, Ask::new()));
        self.feed(at, second, Cause::Configuration, known);
        Ok(())
    }

    fn answer(&mut self, at: Time, second: Option<u64>, datagram: &[u8]) {
        let Some((_, ask)) = &mut self.process else { return };
        let (read, cost) = self.meter.measure(|| ask.accept_response(datagram));
        self.note(second, Cause::List, cost);
        if let Ok(list) = read {
            self.feed(at, second, Cause::List, Input::ListResponse(list));
        }
    }

    fn line(&mut self, at: Time, second: Option<u64>, cost: Cost, input: Option<(Cause, Input)>) {
        let cause = input.as_ref().map_or(Cause::Calls, |(cause, _)| *cause);
        self.note(second, cause, cost);
        if let Some((cause, input)) = input {
            self.feed(at, second, cause, input);
        }
    }

    fn feed(&mut self, at: Time, second: Option<u64>, cause: Cause, input: Input) {
        let Some((node, _)) = &mut self.process else { return };
        let outputs = &mut self.outputs;
        let ((), cost) = self.meter.measure(|| node.handle(at, input, outputs));
        self.written += written(&self.outputs);
        self.outputs.clear();
        self.note(second, cause, cost);
    }

    fn note(&mut self, second: Option<u64>, cause: Cause, cost: Cost) {
        let Some(second) = second else { return };
        let ledger = match cause {
            Cause::List | Cause::Configuration => &mut self.control,
            _ => &mut self.calls,
        };
        ledger.add(second, cause, cost);
    }
}

/// A gateway from its configuration, and the list that it is given first.
pub(crate) fn build(text: &str) -> Result<(Node, Input), HollowError> {
    let boot = Boot::read(text.as_bytes())?;
    let node = Node::new(NodeSettings::new(&boot))?;
    Ok((node, Input::ConfiguredList(boot.known)))
}

/// Reads a line by the decoder of its connection.
pub(crate) fn read(
    meter: Meter,
    decoder: &mut Decoder,
    line: &[u8],
) -> (Option<Result<Message, DecodeError>>, Cost) {
    let (read, cost) = meter.measure(|| {
        decoder.push(line);
        decoder.next_message()
    });
    (read.transpose(), cost)
}
