//! A test rig around an engine: a clock, clients, and switches that answer as the test demands.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::time::Duration;

use fawnrouter_engine::fawnrouter::*;
use fawnrouter_engine::sip::{Limits as SipLimits, Message, MessageBuilder, Method, Name};
use fawnrouter_engine::*;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn settings() -> EngineSettings {
    let class = |name: &str, points| ClassSettings {
        name: name.into(),
        aim: ms(2000),
        deadline: ms(9000),
        points,
        late_share: 0.25,
        effect: Effect::Safe,
        pools: None,
    };
    EngineSettings {
        controller: Settings {
            gateways: 1,
            own_id: PeerId(0),
            classes: vec![class("check", 1.0), class("transfer", 3.0)],
            tenants: vec![],
            over_share_worth: 1.0,
            rules: Rules {
                drain_grace: ms(1000),
                cold_from: 0.3,
                cold_time: ms(14_000),
                fall_multiple: 3.0,
                fall_time: ms(1000),
                release_guard: ms(300),
                subscribe_within: ms(10_000),
            },
            limits: fawnrouter_engine::fawnrouter::Limits {
                max_attempts: 5,
                cancel: true,
                peers: false,
                probes: false,
                retry_after: true,
                max_retry_after: ms(2000),
            },
            topology: Topology::Pools,
            discovery: Discovery::Push,
            resend: None,
            tick: ms(1),
        },
        seed: 5,
        host: "gw.example".into(),
        rules: CallRules {
            class: vec![
                CallRule {
                    when: CallMatch {
                        header: Some(("X-Class".into(), "transfer".into())),
                        ..CallMatch::default()
                    },
                    value: ClassId(1),
                },
                CallRule { when: CallMatch::default(), value: ClassId(0) },
            ],
            tenant: vec![],
            first_pool: vec![CallRule { when: CallMatch::default(), value: PoolChoice::Pool(Cell(0)) }],
        },
        intake: IntakeLimits { calls: 50_000, pending: 20_000, per_client: 20_000, retry_after: ms(2000) },
        backoff: BackoffSettings { initial: ms(100), max: ms(2000) },
        cut_after: ms(5000),
        max_expires: ms(60_000),
        auth: None,
        set_ups: None,
        zones: None,
        call_events: false,
    }
}

pub fn switch(id: u32) -> Switch {
    let entry =
        ServerEntry { id: ServerId(id), zone: "z".into(), cell: Cell(id % 10), ..ServerEntry::default() };
    Switch { entry, address: format!("127.0.0.1:{}", 5000 + id).parse().expect("an address") }
}

/// An output of the engine, with its message parsed.
#[derive(Clone, Debug)]
pub enum Sent {
    Client(ClientId, Message),
    Trunk(ServerId, Message),
    Open(ServerId),
    CloseTrunk(ServerId),
    ClientIdentified(ClientId, String),
    CloseClient(ClientId),
    Drained,
}

pub struct Rig {
    pub engine: Engine,
    pub now: Time,
    pub sent: Vec<Sent>,
    /// When each item of `sent` was sent.
    pub times: Vec<Time>,
    /// Switches that refuse connections. Connections to all others open at once when the engine asks for
    /// them.
    pub unreachable: BTreeSet<u32>,
    pub connected: BTreeSet<u32>,
    calls: u64,
}

pub const CLIENT: ClientId = ClientId(1);

impl Rig {
    pub fn new(settings: EngineSettings) -> Self {
        Self::with_engine(Engine::new(settings).expect("the settings are sound"))
    }

    pub fn with_engine(engine: Engine) -> Self {
        let now = Time::from_nanos(1_700_000_000_000_000_000);
        let (unreachable, connected) = (BTreeSet::new(), BTreeSet::new());
        let mut rig =
            Self { engine, now, sent: Vec::new(), times: Vec::new(), unreachable, connected, calls: 0 };
        rig.client_up(CLIENT, [127, 0, 0, 1]);
        rig
    }

    /// A rig with connected switches 70, 71, ... of pools 0, 1, ...
    pub fn with_switches(count: u32) -> Self {
        let mut rig = Self::new(settings());
        rig.list(ListKind::Snapshot, (70..70 + count).map(switch).collect());
        rig
    }

    pub fn list(&mut self, kind: ListKind, switches: Vec<Switch>) {
        self.input(Input::List { kind, switches });
    }

    /// Opens a client's connection from this address.
    pub fn client_up(&mut self, client: ClientId, address: [u8; 4]) {
        let peer = std::net::SocketAddr::from((address, 999));
        self.input(Input::ClientUp { client, peer, origin: peer.ip(), must_authenticate: false });
    }

    pub fn input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.engine.handle(self.now, input, &mut out);
        let mut opened = Vec::new();
        for output in out {
            let parse =
                |bytes: &[u8]| Message::parse(bytes, &SipLimits::default()).expect("the engine writes SIP");
            match output {
                Output::ToClient { client, bytes } => self.sent.push(Sent::Client(client, parse(&bytes))),
                Output::ToTrunk { server, bytes } => {
                    assert!(self.connected.contains(&server.0), "sent to a switch without a connection");
                    self.sent.push(Sent::Trunk(server, parse(&bytes)));
                }
                Output::OpenTrunk { server, .. } => {
                    self.sent.push(Sent::Open(server));
                    opened.push(server);
                }
                Output::CloseTrunk { server } => {
                    self.connected.remove(&server.0);
                    self.sent.push(Sent::CloseTrunk(server));
                }
                Output::ClientIdentified { client, name } => {
                    self.sent.push(Sent::ClientIdentified(client, name.to_string()))
                }
                Output::CloseClient { client, .. } => self.sent.push(Sent::CloseClient(client)),
                Output::Drained => self.sent.push(Sent::Drained),
                Output::Log(_) | Output::CallEvent { .. } => {}
            }
        }
        self.times.resize(self.sent.len(), self.now);
        for server in opened {
            if self.unreachable.contains(&server.0) {
                self.input(Input::TrunkDown { server });
            } else {
                self.connected.insert(server.0);
                self.input(Input::TrunkUp { server });
            }
        }
    }

    pub fn trunk_down(&mut self, server: u32) {
        self.connected.remove(&server);
        self.input(Input::TrunkDown { server: ServerId(server) });
    }

    /// Advances the clock and wakes the engine whenever it asks for it.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now.plus(time);
        while let Some(wake) = self.engine.next_wake().filter(|t| *t <= end) {
            self.now = self.now.max(wake);
            self.input(Input::Wake);
        }
        self.now = end;
    }

    /// A new INVITE; each has its own number.
    pub fn invite(&mut self, expires: Option<u64>, extra: &[(&str, &str)]) -> Message {
        self.calls += 1;
        let n = self.calls;
        let mut builder = MessageBuilder::request(Method::Invite, &format!("sip:+9148{n}@gw.example"));
        builder
            .field(Name::Via, &format!("SIP/2.0/WS c1.invalid;branch=z9hG4bKc{n}"))
            .field(Name::MaxForwards, "70")
            .field(Name::From, "<sip:desk@c1.invalid>;tag=f1")
            .field(Name::To, &format!("<sip:+9148{n}@gw.example>"))
            .field(Name::CallId, &format!("call-{n}"))
            .field(Name::CSeq, "1 INVITE")
            .field(Name::Contact, "<sip:desk@c1.invalid;transport=ws>")
            .field(Name::ContentType, "application/sdp");
        if let Some(seconds) = expires {
            builder.field(Name::Expires, &seconds.to_string());
        }
        for (name, value) in extra {
            builder.named_field(name, value);
        }
        parse(&builder.finish(b"v=0 offer"))
    }

    pub fn send_from_client(&mut self, message: &Message) {
        self.send_from(CLIENT, message);
    }

    pub fn send_from(&mut self, client: ClientId, message: &Message) {
        self.input(Input::ClientMessage { client, message: Box::new(message.clone()) });
    }

    /// Sends a new INVITE.
    pub fn call(&mut self, expires: u64) -> Message {
        let invite = self.invite(Some(expires), &[]);
        self.send_from_client(&invite);
        invite
    }

    pub fn send_from_switch(&mut self, server: ServerId, message: &Message) {
        self.input(Input::TrunkMessage { server, message: Box::new(message.clone()) });
    }

    /// Sends a switch's response to an INVITE or another request of the gateway.
    pub fn answer(&mut self, server: ServerId, request: &Message, status: u16, extra: &[(Name, &str)]) {
        let response = response(request, status, extra);
        self.send_from_switch(server, &response);
    }

    /// Takes everything that was sent so far.
    pub fn take_sent(&mut self) -> Vec<Sent> {
        self.times.clear();
        std::mem::take(&mut self.sent)
    }

    /// Requests of this method that were sent to switches so far, with the switch.
    pub fn requests_to_switches(&self, method: Method) -> Vec<(ServerId, Message)> {
        let requests = self.sent.iter().filter_map(|s| match s {
            Sent::Trunk(server, m) if m.method() == Some(method) => Some((*server, m.clone())),
            _ => None,
        });
        requests.collect()
    }

    /// The last request of this method that was sent to a switch.
    pub fn last_request_to_switch(&self, method: Method) -> (ServerId, Message) {
        self.requests_to_switches(method)
            .pop()
            .unwrap_or_else(|| panic!("no {method:?} was sent: {:#?}", self.sent))
    }

    /// Statuses of all responses to a request of a client.
    pub fn statuses(&self, invite: &Message) -> Vec<u16> {
        self.responses(invite).iter().filter_map(Message::status).collect()
    }

    pub fn responses(&self, invite: &Message) -> Vec<Message> {
        let responses = self.sent.iter().filter_map(|s| match s {
            Sent::Client(_, m)
                if m.status().is_some()
                    && m.get(Name::CallId) == invite.get(Name::CallId)
                    && m.get(Name::CSeq) == invite.get(Name::CSeq) =>
            {
                Some(m.clone())
            }
            _ => None,
        });
        responses.collect()
    }

    /// Statuses of all final responses to a request of a client.
    pub fn final_statuses(&self, invite: &Message) -> Vec<u16> {
        self.statuses(invite).into_iter().filter(|s| *s >= 200).collect()
    }

    /// Requests of this method that were sent to clients so far.
    pub fn requests_to_client(&self, method: Method) -> Vec<Message> {
        let requests = self.sent.iter().filter_map(|s| match s {
            Sent::Client(_, m) if m.method() == Some(method) => Some(m.clone()),
            _ => None,
        });
        requests.collect()
    }

    /// Establishes and acknowledges a call. Returns its INVITE, its 200, the switch and the INVITE sent
    /// there.
    pub fn establish_call(&mut self) -> (Message, Message, ServerId, Message) {
        let invite = self.call(9);
        let (server, out) = self.last_request_to_switch(Method::Invite);
        self.answer(server, &out, 200, &[]);
        let ok = self.responses(&invite).pop().expect("an answer");
        assert_eq!(ok.status(), Some(200));
        self.send_from_client(&in_dialog(&invite, &ok, Method::Ack, 1));
        (invite, ok, server, out)
    }
}

pub fn parse(bytes: &[u8]) -> Message {
    Message::parse(bytes, &SipLimits::default()).expect("a sound message")
}

/// A switch's response to a request.
pub fn response(request: &Message, status: u16, extra: &[(Name, &str)]) -> Message {
    let mut builder = MessageBuilder::response_to(request, status, None, "sw", None);
    if (200..300).contains(&status) {
        builder.field(Name::Contact, "<sip:sw@127.0.0.1:5070;transport=tcp>");
        builder.field(Name::ContentType, "application/sdp");
    }
    for (name, value) in extra {
        builder.field(*name, value);
    }
    let body: &[u8] = if (200..300).contains(&status) { b"v=0 answer" } else { b"" };
    parse(&builder.finish(body))
}

/// The caller's request in the dialog that the 200 established.
pub fn in_dialog(invite: &Message, ok: &Message, method: Method, cseq: u32) -> Message {
    let mut builder = MessageBuilder::request(method, "sip:gateway@gw.example;transport=ws");
    builder
        .field(Name::Via, &format!("SIP/2.0/WS c1.invalid;branch=z9hG4bKd{cseq}{}", method.name()))
        .field(Name::MaxForwards, "70")
        .copy_fields(invite, Name::From)
        .copy_fields(ok, Name::To)
        .copy_fields(invite, Name::CallId)
        .field(Name::CSeq, &format!("{cseq} {}", method.name()));
    parse(&builder.finish(b""))
}

/// The caller's CANCEL of its INVITE.
pub fn cancel(invite: &Message) -> Message {
    let mut builder = MessageBuilder::request(Method::Cancel, "sip:x@gw.example");
    builder
        .copy_fields(invite, Name::Via)
        .copy_fields(invite, Name::MaxForwards)
        .copy_fields(invite, Name::From);
    builder.copy_fields(invite, Name::To).copy_fields(invite, Name::CallId).field(Name::CSeq, "1 CANCEL");
    parse(&builder.finish(b""))
}

/// The caller's ACK of a final response of 300 or more.
pub fn ack_refusal(invite: &Message, refusal: &Message) -> Message {
    let mut builder = MessageBuilder::request(Method::Ack, "sip:x@gw.example");
    builder
        .copy_fields(invite, Name::Via)
        .copy_fields(invite, Name::MaxForwards)
        .copy_fields(invite, Name::From);
    builder.copy_fields(refusal, Name::To).copy_fields(invite, Name::CallId).field(Name::CSeq, "1 ACK");
    parse(&builder.finish(b""))
}
