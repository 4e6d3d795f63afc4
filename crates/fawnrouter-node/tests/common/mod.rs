//! A test harness around the gateway without sockets: the tests act as clients, core switches and the name
//! server.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fawnrouter_node::fawnrouter::Time;
use fawnrouter_node::jsonl::{Decoder, Message, Tag, Verb};
use fawnrouter_node::{Boot, ClientId, Input, LinkEnd, LinkId, Node, NodeSettings, Output, Pool};

/// Unix time at the start of each test.
pub const START_MS: u64 = 1_800_000_000_000;

/// A line of the list: id, port, state, start time in ms.
pub type Line<'a> = (&'a str, u16, &'a str, u64);

pub fn known(serial: u32, lines: &[Line<'_>]) -> String {
    let instances: Vec<String> = lines
        .iter()
        .map(|(id, port, state, started)| {
            format!(
                r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:{port}","zone":"kochi","machineType":"std","cell":{},
                   "lifecycle":"{state}","weight":1,"startedAtMs":{started}}}"#,
                port % 10
            )
        })
        .collect();
    format!(
        r#"{{"seq":{serial},"results":[{{"seq":{serial},"fleet":{{"generation":1,"reset":true,"instances":[{}]}}}}]}}"#,
        instances.join(",")
    )
}

pub fn config(known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:5060","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"nameserver":"127.0.0.1:5300","known":{known},
            "settings":{{"balancers":2,"me":0,"tickNs":5000000,
              "classes":[{{"name":"voice","onTimeNs":2000000000,"hardLimitNs":9000000000,"points":1.0,
                           "lateShare":0.25,"effect":"read_like"}}],
              "contract":{{"coldFrom":0.33,"coldNs":14000000000,"drainGraceNs":1000000000,"fallMultiple":4.0,
                           "fallNs":1000000000}},
              "familyInfo":{{"guardNs":200000000,"topology":"pools"}},
              "policyLimits":{{"cancel":true,"connIdleNs":60000000000,"dialTimeoutNs":500000000,"maxAttempts":5,
                               "maxOpen":1000,"maxRetryAfterNs":2000000000,"multiplex":100,"retryAfter":true}}}}}}"#
    )
}

pub fn pool(serial: u32, lines: &[Line<'_>]) -> Pool {
    Pool::from_configuration(&serde_json::from_str(&known(serial, lines)).unwrap()).unwrap()
}

pub struct Harness {
    pub node: Node,
    pub now_ms: u64,
    /// All outputs so far, with their times.
    pub outputs: Vec<(u64, Output)>,
    /// Open connections with the ports they go to, and those of them that are up.
    pub links: BTreeMap<LinkId, u16>,
    pub links_up: BTreeMap<LinkId, bool>,
    /// Ports that refuse connections, and ports to which connections never come up.
    pub refusing_ports: Vec<u16>,
    pub hanging_ports: Vec<u16>,
    /// When each connection was started.
    dialled_at: BTreeMap<LinkId, u64>,
    next_client: u64,
}

impl Harness {
    /// With this many ready switches at port 7001 and up, all connections up.
    pub fn new(switches: u16) -> Self {
        let ids: Vec<String> = (1..=switches).map(|n| format!("s-{n}")).collect();
        let lines: Vec<Line<'_>> =
            ids.iter().zip(7001..).map(|(id, port)| (id.as_str(), port, "Ready", 0)).collect();
        Self::with_switches(&lines)
    }

    pub fn with_switches(lines: &[Line<'_>]) -> Self {
        Self::with_config(&config(&known(1, lines)))
    }

    /// A gateway with this configuration.
    pub fn with_config(config: &str) -> Self {
        let boot = Boot::read(config.as_bytes()).unwrap();
        let node = Node::new(NodeSettings::new(&boot)).unwrap();
        let mut harness = Self {
            node,
            now_ms: START_MS,
            outputs: Vec::new(),
            links: BTreeMap::new(),
            links_up: BTreeMap::new(),
            refusing_ports: Vec::new(),
            hanging_ports: Vec::new(),
            dialled_at: BTreeMap::new(),
            next_client: 0,
        };
        harness.input(Input::ConfiguredList(boot.known));
        harness
    }

    pub fn now(&self) -> Time {
        Time(Duration::from_millis(self.now_ms))
    }

    /// Passes an input; connections that are opened come up, are refused or hang as the test has set their
    /// ports.
    pub fn input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.node.handle(self.now(), input, &mut out);
            for output in out {
                match &output {
                    Output::OpenLink { link, address, .. } => {
                        let port = address.port();
                        self.links.insert(*link, port);
                        self.dialled_at.insert(*link, self.now_ms);
                        if self.refusing_ports.contains(&port) {
                            self.links.remove(link);
                            inputs.insert(0, Input::LinkDown { link: *link, end: LinkEnd::Refused });
                        } else if !self.hanging_ports.contains(&port) {
                            self.links_up.insert(*link, true);
                            inputs.insert(0, Input::LinkUp { link: *link });
                        }
                    }
                    Output::CloseLink { link } => {
                        self.links.remove(link);
                        self.links_up.remove(link);
                    }
                    _ => {}
                }
                self.outputs.push((self.now_ms, output));
            }
        }
    }

    /// Lets time pass; the node is woken when it asks for it. Connections that have hung for 500 ms fail.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        loop {
            let wake = self.node.next_wake().map(|t| t.0.as_nanos().div_ceil(1_000_000) as u64);
            match wake.filter(|w| *w <= end) {
                Some(wake) => {
                    self.now_ms = self.now_ms.max(wake);
                    self.input(Input::Wake);
                }
                None => break,
            }
        }
        self.now_ms = end;
        let hangs = |l: &LinkId| {
            !self.links_up.contains_key(l) && self.dialled_at.get(l).is_none_or(|at| at + 500 <= end)
        };
        let hanging: Vec<LinkId> = self.links.keys().copied().filter(hangs).collect();
        for link in hanging {
            self.links.remove(&link);
            self.input(Input::LinkDown { link, end: LinkEnd::Unreachable });
        }
    }

    pub fn connect(&mut self) -> ClientId {
        self.next_client += 1;
        let client = ClientId(self.next_client);
        self.input(Input::ClientConnected { client });
        client
    }

    pub fn client_sends(&mut self, client: ClientId, line: &str) {
        match parse(line.as_bytes()) {
            Ok(message) => self.input(Input::ClientMessage { client, message }),
            Err(error) => self.input(Input::ClientDecodeError { client, error }),
        }
    }

    pub fn start_call(&mut self, client: ClientId, tag: u64, left_ms: u64) {
        self.client_sends(client, &start_line(tag, left_ms));
    }

    /// A core switch sends a line on a connection.
    pub fn switch_sends(&mut self, link: LinkId, line: &str) {
        match parse(line.as_bytes()) {
            Ok(message) => self.input(Input::LinkMessage { link, message }),
            Err(error) => self.input(Input::LinkDecodeError { link, error }),
        }
    }

    pub fn answer_call(&mut self, link: LinkId, tag: u64) {
        self.switch_sends(
            link,
            &format!(r#"{{"verb":"STARTED","tag":"{tag:016x}","opts":{{}},"blob":"answer {tag}"}}"#),
        );
    }

    pub fn release_call(&mut self, link: LinkId, tag: u64, rc: i64) {
        self.switch_sends(link, &finish_line(tag, rc));
    }

    /// Breaks the connection.
    pub fn break_link(&mut self, link: LinkId) {
        self.links.remove(&link);
        self.links_up.remove(&link);
        self.input(Input::LinkDown { link, end: LinkEnd::Broken });
    }

    /// Breaks all connections to a port.
    pub fn break_links_to(&mut self, port: u16) {
        let links: Vec<LinkId> =
            self.links_up.keys().copied().filter(|l| self.links.get(l) == Some(&port)).collect();
        links.into_iter().for_each(|link| self.break_link(link));
    }

    /// Messages sent to core switches: time, connection, message.
    pub fn sent_to_switches(&self) -> Vec<(u64, LinkId, Message)> {
        let written = self.outputs.iter().filter_map(|(at, o)| match o {
            Output::ToLink { link, line }
            | Output::SetUp { link, line, .. }
            | Output::CancelSetUp { link, line, .. } => Some((*at, *link, parse(line).unwrap())),
            _ => None,
        });
        written.collect()
    }

    /// Set-ups sent for this call: time and connection.
    pub fn set_ups_sent(&self, tag: u64) -> Vec<(u64, LinkId)> {
        let all = self.sent_to_switches().into_iter();
        all.filter(|(_, _, m)| m.verb == Verb::Start && m.tag == Tag(tag))
            .map(|(at, link, _)| (at, link))
            .collect()
    }

    /// Releases sent for this call: time and connection.
    pub fn releases_sent(&self, tag: u64) -> Vec<(u64, LinkId)> {
        let all = self.sent_to_switches().into_iter();
        all.filter(|(_, _, m)| m.verb == Verb::Finish && m.tag == Tag(tag))
            .map(|(at, link, _)| (at, link))
            .collect()
    }

    /// Messages with a tag sent to clients: time, client, message.
    pub fn sent_to_clients(&self) -> Vec<(u64, ClientId, Message)> {
        let written = self.outputs.iter().filter_map(|(at, o)| match o {
            Output::ToClient { client, line } | Output::ToCaller { client, line, .. } => {
                parse(line).ok().map(|m| (*at, *client, m))
            }
            _ => None,
        });
        written.collect()
    }

    /// Messages about this call sent to clients: type and cause.
    pub fn messages_about(&self, tag: u64) -> Vec<(Verb, Option<i64>)> {
        self.sent_to_clients()
            .into_iter()
            .filter(|(_, _, m)| m.tag == Tag(tag))
            .map(|(_, _, m)| (m.verb, m.rc))
            .collect()
    }

    pub fn is_closed(&self, client: ClientId) -> bool {
        self.outputs.iter().any(|(_, o)| *o == Output::CloseClient { client })
    }

    pub fn is_done(&self) -> bool {
        self.outputs.iter().any(|(_, o)| *o == Output::Done)
    }

    /// Establishes a call and returns the connection that its set-up was sent on.
    pub fn establish_call(&mut self, client: ClientId, tag: u64) -> LinkId {
        self.start_call(client, tag, 3000);
        let (_, link) = *self.set_ups_sent(tag).last().expect("the call was sent to a switch");
        self.answer_call(link, tag);
        assert_eq!(self.messages_about(tag), [(Verb::Started, None)]);
        link
    }
}

pub fn parse(line: &[u8]) -> Result<Message, fawnrouter_node::jsonl::DecodeError> {
    let mut decoder = Decoder::new();
    decoder.push(line);
    if !line.ends_with(b"\n") {
        decoder.push(b"\n");
    }
    decoder.next_message().map(|m| m.expect("a line"))
}

pub fn start_line(tag: u64, left_ms: u64) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"voice","left":"{left_ms}","key":"7f3a","extras":"dest:1;width:1;via:-1"}},"blob":"offer {tag}"}}"#
    )
}

pub fn finish_line(tag: u64, rc: i64) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":{rc}}}"#)
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
