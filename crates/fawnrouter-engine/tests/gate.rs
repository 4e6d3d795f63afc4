//! Tests of the checks before the controller: authentication of clients and admission of set-ups.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::*;
use fawnrouter_engine::admission::{ClientLimits, Rate, SetUpSettings};
use fawnrouter_engine::digest::{
    Algorithm, AuthenticatorSettings, Credentials, Secret, client_response, ha1,
};
use fawnrouter_engine::fawnrouter::{Action, CallId, Event, ListKind, ServerId, Time};
use fawnrouter_engine::sip::{Message, MessageBuilder, Method, Name, StartLine};
use fawnrouter_engine::{
    AuthSettings, ClientId, Decide, Engine, EngineSettings, Input, KnownClient, UnknownClients,
};

const REALM: &str = "calls.example";

fn limits(pending: usize) -> ClientLimits {
    ClientLimits { weight: 1, rate: Rate::per_second(1e4, 1000), pending, calls: 1000 }
}

fn known(name: &str, password: &str, pending: usize) -> KnownClient {
    let secret = Secret { sha256: ha1(Algorithm::Sha256, name, REALM, password), md5: None };
    KnownClient { name: name.into(), secret, limits: limits(pending) }
}

/// Settings with authentication.
fn authenticating(unknown_clients: UnknownClients) -> EngineSettings {
    let authenticator = AuthenticatorSettings {
        realm: REALM.into(),
        md5: false,
        nonce_lifetime: ms(60_000),
        max_failures: 3,
    };
    EngineSettings { auth: Some(AuthSettings { authenticator, key: [3; 32], unknown_clients }), ..settings() }
}

/// Admission of set-ups with room for `held` of them at the controller.
fn queued(held: usize) -> SetUpSettings {
    SetUpSettings {
        known: limits(100),
        unknown: limits(100),
        unknown_weight: 1,
        unknown_rate: None,
        unknown_share: 1.0,
        min_routing: held,
        routing_span: ms(0),
        max_waiting: 100,
        max_wait: ms(500),
        tracked_addresses: 100,
        retry_after: ms(1000),
        seed: 1,
    }
}

fn rig(settings: EngineSettings) -> Rig {
    let mut rig = Rig::new(settings);
    rig.list(ListKind::Snapshot, vec![switch(70)]);
    rig.input(Input::KnownClients(vec![known("branch", "tellers", 100), known("app", "beans", 2)]));
    rig.take_sent();
    rig
}

/// The nonce of the last challenge.
fn nonce(rig: &Rig) -> String {
    let challenge = rig.sent.iter().rev().find_map(|s| match s {
        Sent::Client(_, m) => m.get(Name::WwwAuthenticate).map(str::to_owned),
        _ => None,
    });
    let challenge = challenge.expect("a challenge");
    challenge.split("nonce=\"").nth(1).and_then(|r| r.split('"').next()).expect("a nonce").to_owned()
}

/// The same request with credentials and the next CSeq (RFC 3261 §22.2).
fn with_credentials(request: &Message, name: &str, password: &str, nonce: &str, nc: u32) -> Message {
    let StartLine::Request { name: method, uri, .. } = request.start() else { panic!("a request") };
    let (nc_text, hash) = (format!("{nc:08x}"), ha1(Algorithm::Sha256, name, REALM, password));
    let response = client_response(Algorithm::Sha256, &hash, (method, uri), nonce, &nc_text, "c");
    let credentials = Credentials {
        username: name.into(),
        realm: REALM.into(),
        nonce: nonce.into(),
        uri: uri.into(),
        response: response.into(),
        algorithm: Algorithm::Sha256,
        cnonce: "c".into(),
        nc: (nc_text.into(), nc),
    };
    let branch = request.via().ok().and_then(|v| v.branch()).unwrap_or("").to_owned();
    let mut builder = MessageBuilder::request(Method::from_name(method), uri);
    builder.field(Name::Via, &format!("SIP/2.0/WS c1.invalid;branch={branch}.{nc}"));
    for (field, raw, value) in request.fields() {
        if !matches!(field, Name::Via | Name::CSeq | Name::ContentLength) {
            builder.named_field(raw, value);
        }
    }
    builder
        .field(Name::CSeq, &format!("{} {method}", nc + 1))
        .field(Name::Authorization, &credentials.write());
    parse(&builder.finish(request.body()))
}

#[test]
fn call_is_challenged_and_accepted_with_credentials_and_later_calls_need_none() {
    let mut rig = rig(authenticating(UnknownClients::Challenged));
    let invite = rig.call(9);
    assert_eq!(rig.final_statuses(&invite), [401]);
    assert!(rig.requests_to_switches(Method::Invite).is_empty(), "no set-up is sent without credentials");
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.send_from_client(&proven);
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::ClientIdentified(CLIENT, name) if name == "branch")));
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    assert_eq!(out.get_named("Authorization"), None, "the credentials are not forwarded");
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.final_statuses(&proven), [200]);
    let next = rig.call(9);
    assert_eq!(rig.statuses(&next), [100]);
    let c = rig.engine.counters();
    assert_eq!((c.authenticated, c.challenged, c.auth_failures), (1, 1, 0));
}

#[test]
fn stolen_credentials_wrong_secrets_and_another_clients_name_are_refused() {
    let mut rig = rig(authenticating(UnknownClients::Challenged));
    let invite = rig.call(9);
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.send_from_client(&proven);
    let thief = ClientId(2);
    rig.client_up(thief, [127, 0, 0, 1]);
    rig.take_sent();
    rig.send_from(thief, &proven);
    assert_eq!(rig.final_statuses(&proven), [401], "the nonce is valid on its own connection only");
    // A connection belongs to one client.
    let other = with_credentials(&invite, "app", "beans", &nonce_on(&mut rig, CLIENT, &invite), 2);
    rig.take_sent();
    rig.send_from_client(&other);
    assert_eq!(rig.final_statuses(&other), [403]);
    for n in 1..=3 {
        rig.take_sent();
        let guess = with_credentials(&invite, "branch", "guess", &nonce_on(&mut rig, thief, &invite), n);
        rig.take_sent();
        rig.send_from(thief, &guess);
        assert_eq!(rig.final_statuses(&guess), [if n < 3 { 401 } else { 403 }]);
    }
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::CloseClient(c) if *c == thief)));
    assert_eq!(rig.engine.counters().auth_failures, 1);
}

/// A new nonce for a connection, requested with an empty one.
fn nonce_on(rig: &mut Rig, client: ClientId, like: &Message) -> String {
    let mut builder = MessageBuilder::request(Method::Options, "sip:gw.example");
    builder.field(Name::Via, "SIP/2.0/WS c1.invalid;branch=z9hG4bKask").copy_fields(like, Name::MaxForwards);
    builder
        .copy_fields(like, Name::From)
        .copy_fields(like, Name::To)
        .field(Name::CallId, "ask")
        .field(Name::CSeq, "1 OPTIONS");
    let empty = format!("Digest username=\"x\", realm=\"{REALM}\", nonce=\"\", uri=\"\", response=\"\"");
    builder.field(Name::Authorization, &empty);
    rig.send_from(client, &parse(&builder.finish(b"")));
    nonce(rig)
}

#[test]
fn client_can_authenticate_with_options_where_unknown_clients_may_call() {
    let mut rig = rig(authenticating(UnknownClients::Allowed));
    let invite = rig.call(9);
    assert_eq!(rig.statuses(&invite), [100]);
    let nonce = nonce_on(&mut rig, CLIENT, &invite);
    let mut builder = MessageBuilder::request(Method::Options, "sip:gw.example");
    builder.field(Name::Via, "SIP/2.0/WS c1.invalid;branch=z9hG4bKo").copy_fields(&invite, Name::MaxForwards);
    builder
        .copy_fields(&invite, Name::From)
        .copy_fields(&invite, Name::To)
        .field(Name::CallId, "o")
        .field(Name::CSeq, "1 OPTIONS");
    let options = with_credentials(&parse(&builder.finish(b"")), "branch", "tellers", &nonce, 1);
    rig.send_from_client(&options);
    let response = rig.responses(&options).pop().expect("a response");
    assert_eq!(response.status(), Some(200));
    assert!(response.get(Name::AuthenticationInfo).is_some_and(|i| i.contains("rspauth=")));
    assert_eq!(rig.engine.client_name(CLIENT).map(|n| &**n), Some("branch"));
}

#[test]
fn connection_that_must_authenticate_is_not_served_before() {
    let mut rig = rig(authenticating(UnknownClients::Allowed));
    let late = ClientId(7);
    let peer = std::net::SocketAddr::from(([127, 0, 0, 7], 7));
    rig.input(Input::ClientUp { client: late, peer, origin: peer.ip(), must_authenticate: true });
    let invite = rig.invite(Some(9), &[]);
    rig.send_from(late, &invite);
    assert_eq!(rig.final_statuses(&invite), [401]);
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.send_from(late, &proven);
    assert_eq!(rig.statuses(&proven), [100]);
}

#[test]
fn client_whose_secret_changed_authenticates_again_and_keeps_its_calls() {
    let mut rig = rig(authenticating(UnknownClients::Challenged));
    let invite = rig.call(9);
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.send_from_client(&proven);
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    rig.answer(server, &out, 200, &[]);
    rig.input(Input::KnownClients(vec![known("branch", "new", 100)]));
    assert_eq!(rig.engine.live_calls(), 1);
    let next = rig.call(9);
    assert_eq!(rig.final_statuses(&next), [401]);
    let proven = with_credentials(&next, "branch", "new", &nonce(&rig), 2);
    rig.send_from_client(&proven);
    assert_eq!(rig.statuses(&proven), [100]);
}

/// A controller that holds each call, and sends out the first one whenever it gets a list.
#[derive(Debug, Default)]
struct HoldingController {
    held: VecDeque<CallId>,
    submitted: BTreeSet<CallId>,
}

impl Decide for HoldingController {
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Call(call) => {
                self.held.push_back(call.id);
                self.submitted.insert(call.id);
            }
            Event::Abandoned(call) => {
                assert!(self.submitted.contains(&call), "the call was never submitted to the controller");
                self.held.retain(|c| *c != call);
            }
            Event::List { .. } => {
                let (server, within) = (ServerId(70), ms(9000));
                let first = self.held.pop_front();
                actions.extend(first.map(|call| Action::Issue { call, server, within }));
            }
            _ => {}
        }
    }
}

/// An engine whose controller holds its calls, with room for `held` of them.
fn holding(held: usize) -> Rig {
    let settings = EngineSettings { set_ups: Some(queued(held)), ..settings() };
    let mut rig = Rig::with_engine(Engine::with_controller(settings, Box::new(HoldingController::default())));
    send_first_held(&mut rig);
    rig
}

/// Makes the controller send out the first call that it holds.
fn send_first_held(rig: &mut Rig) {
    rig.list(ListKind::Snapshot, vec![switch(70)]);
}

#[test]
fn burst_of_one_client_does_not_delay_others_and_each_call_gets_one_answer_in_time() {
    let mut rig = holding(2);
    let other = ClientId(2);
    rig.client_up(other, [127, 0, 0, 2]);
    let burst: Vec<Message> = (0..20).map(|_| rig.call(9)).collect();
    let single = rig.invite(Some(9), &[]);
    rig.send_from(other, &single);
    let set_ups = rig.engine.set_up_admission().expect("on");
    assert_eq!((set_ups.in_routing(), set_ups.waiting()), (2, 19));
    assert!(burst.iter().all(|i| rig.statuses(i) == [100]), "each waiting call has got its 100");
    // Three calls are sent first: the two that were held, and the first waiting one of the burst. Then it is
    // the other client's turn.
    (0..4).for_each(|_| send_first_held(&mut rig));
    let (server, out) = rig.last_request_to_switch(Method::Invite);
    assert_eq!(out.get(Name::To), single.get(Name::To));
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.final_statuses(&single), [200]);
    rig.advance(ms(500));
    let late = burst.iter().filter(|i| rig.final_statuses(i) == [503]).count();
    assert_eq!(
        (late, rig.engine.set_up_admission().expect("on").waiting()),
        (15, 0),
        "calls that were not admitted in time are refused"
    );
    let retry_after_s: Vec<u64> = burst
        .iter()
        .filter(|i| rig.final_statuses(i) == [503])
        .filter_map(|i| rig.responses(i).pop()?.get(Name::RetryAfter)?.parse().ok())
        .collect();
    assert!(
        retry_after_s.len() == 15 && retry_after_s.iter().all(|s| (1..=2).contains(s)),
        "{retry_after_s:?}"
    );
    rig.advance(ms(10_000));
    assert!(burst.iter().all(|i| rig.final_statuses(i).len() == 1), "exactly one final answer each");
}

#[test]
fn waiting_set_ups_are_admitted_round_robin_among_clients() {
    let mut rig = holding(1);
    for client in 2..5u8 {
        rig.client_up(ClientId(client.into()), [127, 0, 0, client]);
    }
    let mut order = Vec::new();
    for client in [2u64, 2, 2, 2, 3, 3, 4] {
        let invite = rig.invite(Some(9), &[]);
        rig.send_from(ClientId(client), &invite);
        order.push((invite.get(Name::To).expect("a To").to_owned(), client));
    }
    (0..7).for_each(|_| send_first_held(&mut rig));
    let client_of = |m: &Message| order.iter().find(|(to, _)| m.get(Name::To) == Some(to)).map(|o| o.1);
    let sent: Vec<u64> =
        rig.requests_to_switches(Method::Invite).iter().filter_map(|(_, m)| client_of(m)).collect();
    assert_eq!(sent, [2, 2, 3, 4, 2, 3, 2], "the first was held already, then the clients take turns");
}

#[test]
fn call_cancelled_while_it_waits_is_answered_and_never_submitted_to_the_controller() {
    let mut rig = holding(1);
    let (held, cancelled, disconnected) = (rig.call(9), rig.call(9), rig.call(9));
    rig.send_from_client(&cancel(&cancelled));
    assert_eq!((rig.final_statuses(&held), rig.final_statuses(&cancelled)), (vec![], vec![487]));
    assert_eq!(rig.engine.set_up_admission().expect("on").waiting(), 1);
    rig.input(Input::ClientDown { client: CLIENT });
    assert_eq!(rig.engine.live_calls(), 0);
    assert!(rig.final_statuses(&disconnected).is_empty(), "a disconnected caller gets no answer");
    (0..3).for_each(|_| send_first_held(&mut rig));
    rig.advance(ms(5000));
    assert!(rig.requests_to_switches(Method::Invite).is_empty());
}

#[test]
fn time_spent_waiting_counts_against_the_deadline_of_the_call() {
    let mut rig = holding(1);
    let (first, second) = (rig.call(9), rig.call(1));
    rig.advance(ms(400));
    send_first_held(&mut rig);
    rig.advance(ms(599));
    assert_eq!((rig.final_statuses(&first), rig.final_statuses(&second)), (vec![], vec![]));
    rig.advance(ms(1));
    assert_eq!(rig.final_statuses(&second), [504], "one second after its INVITE, not after its admission");
}

#[test]
fn admission_with_room_for_all_gives_the_same_outputs_as_none() {
    let outputs = |settings: EngineSettings| {
        let mut rig = Rig::new(settings);
        rig.list(ListKind::Snapshot, (70..73).map(switch).collect());
        for n in 0..200 {
            rig.call(3);
            if let Some((server, out)) = rig.requests_to_switches(Method::Invite).pop() {
                rig.answer(server, &out, [503, 200, 486, 200, 408][n % 5], &[]);
            }
            if n % 40 == 20 {
                rig.trunk_down(70 + (n as u32 / 40) % 3);
            }
            rig.advance(ms(17));
        }
        rig.advance(ms(5000));
        rig.input(Input::ClientDown { client: CLIENT });
        rig.advance(ms(40_000));
        format!("{:?}", rig.sent)
    };
    let wide = SetUpSettings { min_routing: 100_000, unknown: limits(10_000), ..queued(1) };
    let off = outputs(settings());
    assert!(off.len() > 100_000, "the scenario produces many outputs");
    assert!(off == outputs(EngineSettings { set_ups: Some(wide), ..settings() }));
}
