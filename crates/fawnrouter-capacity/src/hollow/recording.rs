//! Records the inputs of one gateway of a fleet and replays them alone.
//!
//! Hundreds of gateways in one process contend for its caches: a call then costs up to three times of what it
//! costs a gateway with a core to itself. So the work of a gateway of a fleet is measured in a replay of its
//! inputs. The replay is exact, as equal inputs give equal outputs; if it writes another number of bytes,
//! that is an error.

use std::collections::BTreeMap;

use fawnrouter_jsonl::{DecodeError, Decoder, Message, Tag};
use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::{Ask, Boot, ClientId, Input, LinkEnd, LinkId, Node, NodeSettings, Output};

use super::HollowError;
use super::cost::{Cost, CostRecorder};
use super::members::{HeldState, cause_of_verb};
use super::meter::Meter;
use super::outcome::RoleOutcome;
use crate::figures::Cause;

/// A recorded event at the gateway.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Its process started with this configuration.
    Boot(String),
    /// Its process ended.
    Exit,
    ListQuery(u16),
    ListResponse(Vec<u8>),
    ClientLine(ClientId, Vec<u8>),
    LinkLine(LinkId, Vec<u8>),
    ClientConnected(ClientId),
    ClientFullyRead(ClientId),
    ClientDisconnected(ClientId),
    NotDelivered(Tag),
    LinkUp(LinkId),
    LinkDown(LinkId, LinkEnd),
    Stop,
    Wake,
}

impl Step {
    /// Converts the inputs that need no decoding; `None` for lines, list responses and configurations, which
    /// are recorded as bytes.
    pub fn from_input(input: &Input) -> Option<Self> {
        Some(match input {
            Input::ClientConnected { client } => Self::ClientConnected(*client),
            Input::ClientFullyRead { client } => Self::ClientFullyRead(*client),
            Input::ClientDisconnected { client } => Self::ClientDisconnected(*client),
            Input::NotDelivered { tag } => Self::NotDelivered(*tag),
            Input::LinkUp { link } => Self::LinkUp(*link),
            Input::LinkDown { link, end } => Self::LinkDown(*link, *end),
            Input::Stop => Self::Stop,
            Input::Wake => Self::Wake,
            _ => return None,
        })
    }
}

#[derive(Clone, Debug)]
struct RecordedStep {
    at: Time,
    /// The second of the measurement, if the step falls into it.
    second: Option<u64>,
    step: Step,
}

/// All recorded steps of one gateway, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recording {
    steps: Vec<RecordedStep>,
    /// Bytes of all lines that the gateway wrote.
    bytes_written: u64,
}

impl Recording {
    pub fn add(&mut self, at: Time, second: Option<u64>, step: Step) {
        self.steps.push(RecordedStep { at, second, step });
    }

    pub fn count_written(&mut self, outputs: &[Output]) {
        self.bytes_written += bytes_written(outputs);
    }

    /// Replays all steps and measures the work.
    pub fn replay(&self, meter: Meter) -> Result<ReplayCosts, HollowError> {
        let mut replay = Replay { meter, ..Replay::default() };
        for recorded in &self.steps {
            replay.apply(recorded)?;
        }
        if replay.bytes_written != self.bytes_written {
            return Err(HollowError::ReplayMismatch {
                recorded: self.bytes_written,
                replayed: replay.bytes_written,
            });
        }
        let outcome =
            |costs: &mut CostRecorder| RoleOutcome::new([(costs, HeldState::default())].into_iter());
        Ok(ReplayCosts {
            calls: outcome(&mut replay.call_costs),
            control: outcome(&mut replay.control_costs),
        })
    }
}

/// Costs of the replayed gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayCosts {
    pub calls: RoleOutcome,
    pub control: RoleOutcome,
}

fn bytes_written(outputs: &[Output]) -> u64 {
    let length = |output: &Output| match output {
        Output::ToClient { line, .. }
        | Output::ToCaller { line, .. }
        | Output::ToLink { line, .. }
        | Output::SetUp { line, .. }
        | Output::CancelSetUp { line, .. } => line.len() as u64,
        _ => 0,
    };
    outputs.iter().map(length).sum()
}

/// The replayed gateway process.
#[derive(Default)]
struct Replay {
    meter: Meter,
    process: Option<(Node, Ask)>,
    clients: BTreeMap<ClientId, Decoder>,
    links: BTreeMap<LinkId, Decoder>,
    outputs: Vec<Output>,
    bytes_written: u64,
    call_costs: CostRecorder,
    control_costs: CostRecorder,
}

impl Replay {
    fn apply(&mut self, recorded: &RecordedStep) -> Result<(), HollowError> {
        let RecordedStep { at, second, step } = recorded;
        match step {
            Step::Boot(text) => self.start(*at, *second, text)?,
            Step::Exit => {
                self.process = None;
                self.clients.clear();
                self.links.clear();
            }
            Step::ListQuery(id) => {
                if let Some((_, queries)) = &mut self.process {
                    let (_, cost) = self.meter.measure(|| queries.next_query(*at, *id));
                    self.record_cost(*second, Cause::List, cost);
                }
            }
            Step::ListResponse(datagram) => self.receive_list_response(*at, *second, datagram),
            Step::ClientLine(client, line) => {
                let decoder = self.clients.entry(*client).or_default();
                let (read, cost) = measure_decode(self.meter, decoder, line);
                let input = read.map(|read| match read {
                    Ok(message) => {
                        (cause_of_verb(message.verb), Input::ClientMessage { client: *client, message })
                    }
                    Err(error) => (Cause::Calls, Input::ClientDecodeError { client: *client, error }),
                });
                self.deliver_line(*at, *second, cost, input);
            }
            Step::LinkLine(link, line) => {
                let decoder = self.links.entry(*link).or_default();
                let (read, cost) = measure_decode(self.meter, decoder, line);
                let input = read.map(|read| match read {
                    Ok(message) => (cause_of_verb(message.verb), Input::LinkMessage { link: *link, message }),
                    Err(error) => (Cause::Calls, Input::LinkDecodeError { link: *link, error }),
                });
                self.deliver_line(*at, *second, cost, input);
            }
            Step::ClientConnected(client) => {
                self.deliver(*at, *second, Cause::Connections, Input::ClientConnected { client: *client });
            }
            Step::ClientFullyRead(client) => {
                self.deliver(*at, *second, Cause::Connections, Input::ClientFullyRead { client: *client });
            }
            Step::ClientDisconnected(client) => {
                self.deliver(*at, *second, Cause::Connections, Input::ClientDisconnected { client: *client });
                self.clients.remove(client);
            }
            Step::NotDelivered(tag) => {
                self.deliver(*at, *second, Cause::Calls, Input::NotDelivered { tag: *tag })
            }
            Step::LinkUp(link) => {
                self.deliver(*at, *second, Cause::Connections, Input::LinkUp { link: *link })
            }
            Step::LinkDown(link, end) => {
                self.links.remove(link);
                self.deliver(*at, *second, Cause::Connections, Input::LinkDown { link: *link, end: *end });
            }
            Step::Stop => self.deliver(*at, *second, Cause::Connections, Input::Stop),
            Step::Wake => self.deliver(*at, *second, Cause::Timers, Input::Wake),
        }
        Ok(())
    }

    fn start(&mut self, at: Time, second: Option<u64>, text: &str) -> Result<(), HollowError> {
        let (built, cost) = self.meter.measure(|| build_gateway(text));
        let (node, first_list) = built?;
        self.record_cost(second, Cause::Configuration, cost);
        self.process = Some((node, Ask::new()));
        self.deliver(at, second, Cause::Configuration, first_list);
        Ok(())
    }

    fn receive_list_response(&mut self, at: Time, second: Option<u64>, datagram: &[u8]) {
        let Some((_, queries)) = &mut self.process else { return };
        let (read, cost) = self.meter.measure(|| queries.accept_response(datagram));
        self.record_cost(second, Cause::List, cost);
        if let Ok(list) = read {
            self.deliver(at, second, Cause::List, Input::ListResponse(list));
        }
    }

    fn deliver_line(&mut self, at: Time, second: Option<u64>, cost: Cost, input: Option<(Cause, Input)>) {
        let cause = input.as_ref().map_or(Cause::Calls, |(cause, _)| *cause);
        self.record_cost(second, cause, cost);
        if let Some((cause, input)) = input {
            self.deliver(at, second, cause, input);
        }
    }

    fn deliver(&mut self, at: Time, second: Option<u64>, cause: Cause, input: Input) {
        let Some((node, _)) = &mut self.process else { return };
        let outputs = &mut self.outputs;
        let ((), cost) = self.meter.measure(|| node.handle(at, input, outputs));
        self.bytes_written += bytes_written(&self.outputs);
        self.outputs.clear();
        self.record_cost(second, cause, cost);
    }

    fn record_cost(&mut self, second: Option<u64>, cause: Cause, cost: Cost) {
        let Some(second) = second else { return };
        let costs = match cause {
            Cause::List | Cause::Configuration => &mut self.control_costs,
            _ => &mut self.call_costs,
        };
        costs.add(second, cause, cost);
    }
}

/// Builds a gateway from its configuration. Returns it with the input that gives it its first list.
pub(crate) fn build_gateway(text: &str) -> Result<(Node, Input), HollowError> {
    let boot = Boot::read(text.as_bytes())?;
    let node = Node::new(NodeSettings::new(&boot))?;
    Ok((node, Input::ConfiguredList(boot.known)))
}

/// Decodes a line with the decoder of its connection and measures the cost.
pub(crate) fn measure_decode(
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
