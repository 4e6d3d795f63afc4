//! Before the controller: who a client is, and whose set-up is next.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::*;
use fawnrouter_engine::admission::{ClientLimits, Rate, SetUpSettings};
use fawnrouter_engine::digest::{
    Algorithm, AuthenticatorSettings, Credentials, Secret, client_response, ha1,
};
use fawnrouter_engine::fawnrouter::{Action, CallId, Event, ListKind, ServerId, Time};
use fawnrouter_engine::sip::{Draft, Message, Method, Name, Start};
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

fn guarded(strangers: UnknownClients) -> EngineSettings {
    let guard = AuthenticatorSettings {
        realm: REALM.into(),
        md5: false,
        nonce_lifetime: ms(60_000),
        max_failures: 3,
    };
    EngineSettings {
        auth: Some(AuthSettings { guard, key: [3; 32], unknown_clients: strangers }),
        ..settings()
    }
}

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
    rig.take();
    rig
}

/// The nonce of the last challenge.
fn nonce(rig: &Rig) -> String {
    let asked = rig.sent.iter().rev().find_map(|s| match s {
        Sent::Client(_, m) => m.get(Name::WwwAuthenticate).map(str::to_owned),
        _ => None,
    });
    let asked = asked.expect("a challenge");
    asked.split("nonce=\"").nth(1).and_then(|r| r.split('"').next()).expect("a nonce").to_owned()
}

/// The request once more, with credentials and the next CSeq (RFC 3261 §22.2).
fn with_credentials(request: &Message, name: &str, password: &str, nonce: &str, nc: u32) -> Message {
    let Start::Request { name: method, uri, .. } = request.start() else { panic!("a request") };
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
    let mut draft = Draft::request(Method::of(method), uri);
    draft.field(Name::Via, &format!("SIP/2.0/WS c1.invalid;branch={branch}.{nc}"));
    for (field, raw, value) in request.fields() {
        if !matches!(field, Name::Via | Name::CSeq | Name::ContentLength) {
            draft.named(raw, value);
        }
    }
    draft.field(Name::CSeq, &format!("{} {method}", nc + 1)).field(Name::Authorization, &credentials.write());
    parse(&draft.finish(request.body()))
}

#[test]
fn a_call_is_challenged_comes_again_with_its_proof_and_later_ones_need_none() {
    let mut rig = rig(guarded(UnknownClients::Challenged));
    let invite = rig.call(9);
    assert_eq!(rig.finals(&invite), [401]);
    assert!(rig.to_switches(Method::Invite).is_empty(), "nothing goes out for it");
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.client_says(&proven);
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::Known(C, name) if name == "branch")));
    let (server, out) = rig.last_to_switch(Method::Invite);
    assert_eq!(out.get_named("Authorization"), None, "the proof stays here");
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.finals(&proven), [200]);
    let next = rig.call(9);
    assert_eq!(rig.statuses(&next), [100]);
    let c = rig.engine.counters();
    assert_eq!((c.authenticated, c.challenged, c.auth_failures), (1, 1, 0));
}

#[test]
fn a_thief_of_the_proof_a_wrong_secret_and_another_name_get_nowhere() {
    let mut rig = rig(guarded(UnknownClients::Challenged));
    let invite = rig.call(9);
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.client_says(&proven);
    let thief = ClientId(2);
    rig.client_up(thief, [127, 0, 0, 1]);
    rig.take();
    rig.says(thief, &proven);
    assert_eq!(rig.finals(&proven), [401], "the nonce is good on its own connection only");
    // One connection, one client.
    let other = with_credentials(&invite, "app", "beans", &nonce_on(&mut rig, C, &invite), 2);
    rig.take();
    rig.client_says(&other);
    assert_eq!(rig.finals(&other), [403]);
    for n in 1..=3 {
        rig.take();
        let guess = with_credentials(&invite, "branch", "guess", &nonce_on(&mut rig, thief, &invite), n);
        rig.take();
        rig.says(thief, &guess);
        assert_eq!(rig.finals(&guess), [if n < 3 { 401 } else { 403 }]);
    }
    assert!(rig.sent.iter().any(|s| matches!(s, Sent::CloseClient(c) if *c == thief)));
    assert_eq!(rig.engine.counters().auth_failures, 1);
}

/// A fresh nonce for a connection, asked for with an empty one.
fn nonce_on(rig: &mut Rig, client: ClientId, like: &Message) -> String {
    let mut draft = Draft::request(Method::Options, "sip:gw.example");
    draft.field(Name::Via, "SIP/2.0/WS c1.invalid;branch=z9hG4bKask").copy(like, Name::MaxForwards);
    draft
        .copy(like, Name::From)
        .copy(like, Name::To)
        .field(Name::CallId, "ask")
        .field(Name::CSeq, "1 OPTIONS");
    let empty = format!("Digest username=\"x\", realm=\"{REALM}\", nonce=\"\", uri=\"\", response=\"\"");
    draft.field(Name::Authorization, &empty);
    rig.says(client, &parse(&draft.finish(b"")));
    nonce(rig)
}

#[test]
fn where_strangers_may_call_a_client_can_still_show_who_it_is_and_is_told_by_its_options() {
    let mut rig = rig(guarded(UnknownClients::Allowed));
    let invite = rig.call(9);
    assert_eq!(rig.statuses(&invite), [100]);
    let nonce = nonce_on(&mut rig, C, &invite);
    let mut draft = Draft::request(Method::Options, "sip:gw.example");
    draft.field(Name::Via, "SIP/2.0/WS c1.invalid;branch=z9hG4bKo").copy(&invite, Name::MaxForwards);
    draft
        .copy(&invite, Name::From)
        .copy(&invite, Name::To)
        .field(Name::CallId, "o")
        .field(Name::CSeq, "1 OPTIONS");
    let options = with_credentials(&parse(&draft.finish(b"")), "branch", "tellers", &nonce, 1);
    rig.client_says(&options);
    let told = rig.answers(&options).pop().expect("an answer");
    assert_eq!(told.status(), Some(200));
    assert!(told.get(Name::AuthenticationInfo).is_some_and(|i| i.contains("rspauth=")));
    assert_eq!(rig.engine.client_name(C).map(|n| &**n), Some("branch"));
}

#[test]
fn one_on_probation_gets_nothing_until_it_has_shown_who_it_is() {
    let mut rig = rig(guarded(UnknownClients::Allowed));
    let late = ClientId(7);
    let peer = std::net::SocketAddr::from(([127, 0, 0, 7], 7));
    rig.input(Input::ClientUp { client: late, peer, origin: peer.ip(), must_authenticate: true });
    let invite = rig.invite(Some(9), &[]);
    rig.says(late, &invite);
    assert_eq!(rig.finals(&invite), [401]);
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.says(late, &proven);
    assert_eq!(rig.statuses(&proven), [100]);
}

#[test]
fn a_client_whose_secret_changed_shows_again_who_it_is_and_keeps_its_calls() {
    let mut rig = rig(guarded(UnknownClients::Challenged));
    let invite = rig.call(9);
    let proven = with_credentials(&invite, "branch", "tellers", &nonce(&rig), 1);
    rig.client_says(&proven);
    let (server, out) = rig.last_to_switch(Method::Invite);
    rig.answer(server, &out, 200, &[]);
    rig.input(Input::KnownClients(vec![known("branch", "new", 100)]));
    assert_eq!(rig.engine.live_calls(), 1);
    let next = rig.call(9);
    assert_eq!(rig.finals(&next), [401]);
    let proven = with_credentials(&next, "branch", "new", &nonce(&rig), 2);
    rig.client_says(&proven);
    assert_eq!(rig.statuses(&proven), [100]);
}

/// Decides nothing but to hold each call until the test lets the first one go, by a list.
#[derive(Debug, Default)]
struct Holds {
    held: VecDeque<CallId>,
    heard: BTreeSet<CallId>,
}

impl Decide for Holds {
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Call(call) => {
                self.held.push_back(call.id);
                self.heard.insert(call.id);
            }
            Event::Abandoned(call) => {
                assert!(self.heard.contains(&call), "the controller was never told of it");
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

/// An engine whose controller holds what it gets, with room for so many.
fn holding(room: usize) -> Rig {
    let settings = EngineSettings { set_ups: Some(queued(room)), ..settings() };
    let mut rig = Rig::around(Engine::with_controller(settings, Box::new(Holds::default())));
    let_go(&mut rig);
    rig
}

/// The first call that is held goes out.
fn let_go(rig: &mut Rig) {
    rig.list(ListKind::Snapshot, vec![switch(70)]);
}

#[test]
fn one_clients_burst_waits_behind_itself_and_each_gets_one_answer_in_time() {
    let mut rig = holding(2);
    let calm = ClientId(2);
    rig.client_up(calm, [127, 0, 0, 2]);
    let burst: Vec<Message> = (0..20).map(|_| rig.call(9)).collect();
    let one = rig.invite(Some(9), &[]);
    rig.says(calm, &one);
    let seen = rig.engine.set_up_admission().expect("on");
    assert_eq!((seen.routing(), seen.waiting()), (2, 19));
    assert!(burst.iter().all(|i| rig.statuses(i) == [100]), "each is told that it is worked on");
    // Three go out: the two that were held, and the first of the burst that waited. Then it is the other's turn.
    (0..4).for_each(|_| let_go(&mut rig));
    let (server, out) = rig.last_to_switch(Method::Invite);
    assert_eq!(out.get(Name::To), one.get(Name::To));
    rig.answer(server, &out, 200, &[]);
    assert_eq!(rig.finals(&one), [200]);
    rig.pass(ms(500));
    let late = burst.iter().filter(|i| rig.finals(i) == [503]).count();
    assert_eq!(
        (late, rig.engine.set_up_admission().expect("on").waiting()),
        (15, 0),
        "no turn came for them in time"
    );
    let told: Vec<u64> = burst
        .iter()
        .filter(|i| rig.finals(i) == [503])
        .filter_map(|i| rig.answers(i).pop()?.get(Name::RetryAfter)?.parse().ok())
        .collect();
    assert!(told.len() == 15 && told.iter().all(|s| (1..=2).contains(s)), "{told:?}");
    rig.pass(ms(10_000));
    assert!(burst.iter().all(|i| rig.finals(i).len() == 1), "exactly one final answer each");
}

#[test]
fn turns_go_round_among_clients_as_set_ups_go_out() {
    let mut rig = holding(1);
    for client in 2..5u8 {
        rig.client_up(ClientId(client.into()), [127, 0, 0, client]);
    }
    let mut order = Vec::new();
    for client in [2u64, 2, 2, 2, 3, 3, 4] {
        let invite = rig.invite(Some(9), &[]);
        rig.says(ClientId(client), &invite);
        order.push((invite.get(Name::To).expect("a To").to_owned(), client));
    }
    (0..7).for_each(|_| let_go(&mut rig));
    let whose = |m: &Message| order.iter().find(|(to, _)| m.get(Name::To) == Some(to)).map(|o| o.1);
    let sent: Vec<u64> = rig.to_switches(Method::Invite).iter().filter_map(|(_, m)| whose(m)).collect();
    assert_eq!(sent, [2, 2, 3, 4, 2, 3, 2], "the first was held already, then turn by turn");
}

#[test]
fn a_caller_that_leaves_while_it_waits_is_answered_and_the_controller_hears_nothing_of_it() {
    let mut rig = holding(1);
    let (held, waits, gone) = (rig.call(9), rig.call(9), rig.call(9));
    rig.client_says(&cancel(&waits));
    assert_eq!((rig.finals(&held), rig.finals(&waits)), (vec![], vec![487]));
    assert_eq!(rig.engine.set_up_admission().expect("on").waiting(), 1);
    rig.input(Input::ClientDown { client: C });
    assert_eq!(rig.engine.live_calls(), 0);
    assert!(rig.finals(&gone).is_empty(), "nobody is there to be told");
    (0..3).for_each(|_| let_go(&mut rig));
    rig.pass(ms(5000));
    assert!(rig.to_switches(Method::Invite).is_empty());
}

#[test]
fn a_call_whose_time_is_nearly_up_when_its_turn_comes_has_only_what_is_left() {
    let mut rig = holding(1);
    let (first, second) = (rig.call(9), rig.call(1));
    rig.pass(ms(400));
    let_go(&mut rig);
    rig.pass(ms(599));
    assert_eq!((rig.finals(&first), rig.finals(&second)), (vec![], vec![]));
    rig.pass(ms(1));
    assert_eq!(rig.finals(&second), [504], "one second after it came, not one after its turn");
}

#[test]
fn a_gate_that_is_off_and_one_with_room_for_all_give_the_same_outputs_to_the_byte() {
    let outputs = |settings: EngineSettings| {
        let mut rig = Rig::new(settings);
        rig.list(ListKind::Snapshot, (70..73).map(switch).collect());
        for n in 0..200 {
            rig.call(3);
            if let Some((server, out)) = rig.to_switches(Method::Invite).pop() {
                rig.answer(server, &out, [503, 200, 486, 200, 408][n % 5], &[]);
            }
            if n % 40 == 20 {
                rig.trunk_down(70 + (n as u32 / 40) % 3);
            }
            rig.pass(ms(17));
        }
        rig.pass(ms(5000));
        rig.input(Input::ClientDown { client: C });
        rig.pass(ms(40_000));
        format!("{:?}", rig.sent)
    };
    let wide = SetUpSettings { min_routing: 100_000, unknown: limits(10_000), ..queued(1) };
    let off = outputs(settings());
    assert!(off.len() > 100_000, "something happened");
    assert!(off == outputs(EngineSettings { set_ups: Some(wide), ..settings() }));
}
