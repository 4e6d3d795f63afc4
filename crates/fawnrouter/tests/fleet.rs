//! Hundreds of gateways that share nothing: what they do together, and what they tell each other.
mod common;

use common::*;
use fawnrouter::*;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

const GATEWAYS: u32 = 250;
const SERVERS: u32 = 10;
/// Calls a second at a gateway.
const CALLS: f64 = 3.5;
const STEP: u64 = 20;

/// All gateways learn in the same instant, after 10 s, that `struck` have restarted. Every set-up that reaches a
/// server stands. `anew` in ten gateways begin anew in that instant, and know nothing. Returns when set-ups went to server
/// 70 after the restart, since the restart, in milliseconds.
fn sends_to_cold_70(struck: &[u32], steps_after: u64, anew: u32) -> Vec<u64> {
    let mut sends = Vec::new();
    for me in 0..GATEWAYS {
        let mut s = settings();
        (s.gateways, s.own_id, s.limits.peers) = (GATEWAYS, PeerId(me), false);
        let mut g = Gateway::with_servers(s.clone(), 0);
        g.controller = Controller::new(s.clone(), u64::from(me) + 1).unwrap();
        let entries = (0..SERVERS).map(|n| entry(70 + n, ServerState::Ready)).collect();
        g.tell(Event::List { kind: ListKind::Cached, entries });
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(me));
        let (mut open, warm) = (Vec::new(), 500);
        for step in 0..warm + steps_after {
            let mut done = Vec::new();
            if step == warm {
                let cold = |n: &u32| ServerEntry { up_since: Some(g.now), ..entry(*n, ServerState::Ready) };
                let mut entries: Vec<ServerEntry> = struck.iter().map(cold).collect();
                let mut kind = ListKind::Changes;
                if me % 10 < anew {
                    g.controller = Controller::new(s.clone(), u64::from(me) + 1_000).unwrap();
                    open.clear();
                    let warm = (70..70 + SERVERS).filter(|n| !struck.contains(n));
                    entries.extend(warm.map(|n| entry(n, ServerState::Ready)));
                    kind = ListKind::Cached;
                }
                done.extend(g.tell(Event::List { kind, entries }));
            }
            for (call, server) in open.drain(..) {
                done.extend(g.stands(call, 0, server, ms(STEP)));
                done.extend(g.closes(call, 0, server, Outcome::Ended));
            }
            if f64::from(rng.next_u32()) < CALLS * 0.001 * STEP as f64 * f64::from(u32::MAX) {
                done.extend(g.tell(Event::Call(call(step, 0, rng.next_u32() % SERVERS))));
            }
            done.extend(g.pass(ms(STEP)).into_iter().map(|(_, a)| a));
            open = issued(&done);
            let to_70 = open.iter().filter(|(_, server)| step >= warm && *server == 70).count();
            sends.extend(std::iter::repeat_n((step.saturating_sub(warm)) * STEP, to_70));
        }
    }
    sends.sort_unstable();
    sends
}

/// The rule: at most 2 times what the server can then do, in any second; warm it takes what it took before.
fn check_the_cold_budget(struck: &[u32], anew: u32) -> usize {
    let sends = sends_to_cold_70(struck, 300, anew);
    let warm = f64::from(GATEWAYS) * CALLS / f64::from(SERVERS);
    for from in &sends {
        let count = sends.iter().filter(|t| **t >= *from && **t < from + 1000).count();
        let part = 0.3 + 0.7 * *from as f64 / 14_000.0;
        assert!(count as f64 <= 2.0 * part * warm, "{count} in the second from {from} ms, {struck:?} cold");
    }
    assert!(sends.len() > 60, "hardly used while cold: {}", sends.len());
    sends.len()
}

#[test]
fn together_all_gateways_keep_the_budget_of_a_cold_server_told_to_all_at_once() {
    check_the_cold_budget(&[70], 0);
}

#[test]
fn half_of_the_servers_cold_at_once_keep_their_budgets_too() {
    check_the_cold_budget(&[70, 71, 72, 73, 74], 0);
}

#[test]
fn gateways_that_begin_anew_use_their_share_of_cold_servers_and_no_more() {
    for struck in [&[70][..], &[70, 71, 72, 73, 74]] {
        let (with, without) = (check_the_cold_budget(struck, 7), check_the_cold_budget(struck, 0));
        assert!(with as f64 > 0.7 * without as f64, "{with} set-ups instead of {without}, {struck:?} cold");
    }
}

fn in_a_fleet(peers: bool) -> Gateway {
    let mut s = settings();
    (s.gateways, s.limits.peers) = (GATEWAYS, peers);
    Gateway::with_servers(s, 2)
}

fn told(actions: &[(Time, Action)]) -> Vec<String> {
    let texts = actions.iter().filter_map(|(_, a)| match a {
        Action::SendToPeer { to: Some(to), text } => {
            assert!(to.0 != 0 && to.0 < GATEWAYS && text.len() <= 256);
            Some(text.clone())
        }
        _ => None,
    });
    texts.collect()
}

#[test]
fn delays_seen_here_are_told_to_a_few_others_and_never_where_that_is_not_allowed() {
    let mut g = in_a_fleet(true);
    assert!(told(&g.pass(ms(3000))).is_empty(), "nothing seen, nothing told");
    assert!(g.runs(1, 70, ms(80)));
    let texts = told(&g.pass(ms(1500)));
    assert!((1..=8).contains(&texts.len()) && texts.iter().all(|t| t == "1 70:80"), "{texts:?}");
    let mut alone = in_a_fleet(false);
    assert!(alone.runs(1, 70, ms(80)));
    assert!(told(&alone.pass(ms(1500))).is_empty());
}

/// Share of calls for server 70 that go there at once, after `texts` came from `from` in each of 40 ticks.
fn share_after(from: u32, texts: &[&str]) -> usize {
    let mut g = in_a_fleet(true);
    assert!(g.runs(1, 70, ms(40)));
    for _ in 0..40 {
        for text in texts {
            assert_eq!(g.tell(Event::PeerMessage { from: PeerId(from), text: (*text).into() }), []);
        }
        g.pass(ms(200));
    }
    (100..110).filter(|id| issued(&g.tell(Event::Call(call(*id, 0, 0)))).contains(&(*id, 70))).count()
}

#[test]
fn news_of_a_slow_server_throttles_it_before_own_samples_do() {
    assert!(share_after(9, &["1 70:40"]) >= 1);
    assert_eq!(share_after(9, &["1 70:3000"]), 0);
}

#[test]
fn messages_that_make_no_sense_change_nothing() {
    let sound = share_after(9, &[]);
    for text in ["", "1", "1 ", "2 70:3000", "1 70", "1 70:", "1 70:-5", "1 70:NaN", "1 70:inf", "1 70:9e9"] {
        assert_eq!(share_after(9, &[text]), sound, "{text:?}");
    }
    for text in ["1 70:99999999999", "1 70:60001", "1 99:3000", "1 :3000", "1  :  ", "\u{1F98C} 70:3000"] {
        assert_eq!(share_after(9, &[text]), sound, "{text:?}");
    }
    assert_eq!(share_after(GATEWAYS, &["1 70:3000"]), sound, "an unknown sender");
    assert_eq!(share_after(0, &["1 70:3000"]), sound, "this gateway itself");
}
