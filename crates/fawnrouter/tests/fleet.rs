//! Hundreds of independent gateways: what they send together to cold servers, and the delays they report to
//! each other.
mod common;

use common::*;
use fawnrouter::*;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

const GATEWAYS: u32 = 250;
const SERVERS: u32 = 10;
/// Calls a second at each gateway.
const CALLS_PER_S: f64 = 3.5;
const STEP_MS: u64 = 20;

/// All gateways learn at the same moment, after 10 s, that the servers `restarted` have restarted. Every
/// set-up that reaches a server is established. At that moment `fresh_in_ten` in ten gateways start anew,
/// without any state. Returns the times of the set-ups to server 70 after its restart, in milliseconds since
/// the restart.
fn sends_to_cold_70(restarted: &[u32], steps_after: u64, fresh_in_ten: u32) -> Vec<u64> {
    let mut sends = Vec::new();
    for me in 0..GATEWAYS {
        let mut s = settings();
        (s.gateways, s.own_id, s.limits.peers) = (GATEWAYS, PeerId(me), false);
        let mut g = Gateway::with_servers(s.clone(), 0);
        g.controller = Controller::new(s.clone(), u64::from(me) + 1).unwrap();
        let entries = (0..SERVERS).map(|n| entry(70 + n, ServerState::Ready)).collect();
        g.handle(Event::List { kind: ListKind::Cached, entries });
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(me));
        let (mut open, warm) = (Vec::new(), 500);
        for step in 0..warm + steps_after {
            let mut done = Vec::new();
            if step == warm {
                let cold = |n: &u32| ServerEntry { up_since: Some(g.now), ..entry(*n, ServerState::Ready) };
                let mut entries: Vec<ServerEntry> = restarted.iter().map(cold).collect();
                let mut kind = ListKind::Changes;
                if me % 10 < fresh_in_ten {
                    g.controller = Controller::new(s.clone(), u64::from(me) + 1_000).unwrap();
                    open.clear();
                    let warm = (70..70 + SERVERS).filter(|n| !restarted.contains(n));
                    entries.extend(warm.map(|n| entry(n, ServerState::Ready)));
                    kind = ListKind::Cached;
                }
                done.extend(g.handle(Event::List { kind, entries }));
            }
            for (call, server) in open.drain(..) {
                done.extend(g.establish(call, 0, server, ms(STEP_MS)));
                done.extend(g.close(call, 0, server, Outcome::Ended));
            }
            if f64::from(rng.next_u32()) < CALLS_PER_S * 0.001 * STEP_MS as f64 * f64::from(u32::MAX) {
                done.extend(g.handle(Event::Call(call(step, 0, rng.next_u32() % SERVERS))));
            }
            done.extend(g.advance(ms(STEP_MS)).into_iter().map(|(_, a)| a));
            open = issued(&done);
            let to_70 = open.iter().filter(|(_, server)| step >= warm && *server == 70).count();
            sends.extend(std::iter::repeat_n((step.saturating_sub(warm)) * STEP_MS, to_70));
        }
    }
    sends.sort_unstable();
    sends
}

/// Checks the cold-start rule: in any second at most 2 times the server's present capacity, where its full
/// capacity is the load that it had before. Returns the number of set-ups.
fn check_cold_budget(restarted: &[u32], fresh_in_ten: u32) -> usize {
    let sends = sends_to_cold_70(restarted, 300, fresh_in_ten);
    let warm = f64::from(GATEWAYS) * CALLS_PER_S / f64::from(SERVERS);
    for from in &sends {
        let count = sends.iter().filter(|t| **t >= *from && **t < from + 1000).count();
        let capacity = 0.3 + 0.7 * *from as f64 / 14_000.0;
        assert!(
            count as f64 <= 2.0 * capacity * warm,
            "{count} in the second from {from} ms, {restarted:?} cold"
        );
    }
    assert!(sends.len() > 60, "hardly used while cold: {}", sends.len());
    sends.len()
}

#[test]
fn all_gateways_together_keep_the_budget_of_a_cold_server_reported_to_all_at_once() {
    check_cold_budget(&[70], 0);
}

#[test]
fn budgets_are_kept_when_half_of_the_servers_are_cold() {
    check_cold_budget(&[70, 71, 72, 73, 74], 0);
}

#[test]
fn restarted_gateways_use_their_share_of_cold_servers_and_no_more() {
    for restarted in [&[70][..], &[70, 71, 72, 73, 74]] {
        let (with, without) = (check_cold_budget(restarted, 7), check_cold_budget(restarted, 0));
        assert!(
            with as f64 > 0.7 * without as f64,
            "{with} set-ups instead of {without}, {restarted:?} cold"
        );
    }
}

fn gateway_in_fleet(peers: bool) -> Gateway {
    let mut s = settings();
    (s.gateways, s.limits.peers) = (GATEWAYS, peers);
    Gateway::with_servers(s, 2)
}

/// The texts of all messages to other gateways.
fn messages(actions: &[(Time, Action)]) -> Vec<String> {
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
fn delays_are_reported_to_a_few_gateways_unless_messages_are_not_allowed() {
    let mut g = gateway_in_fleet(true);
    assert!(messages(&g.advance(ms(3000))).is_empty(), "no delays, no report");
    assert!(g.run_call(1, 70, ms(80)));
    let texts = messages(&g.advance(ms(1500)));
    assert!((1..=8).contains(&texts.len()) && texts.iter().all(|t| t == "1 70:80"), "{texts:?}");
    let mut alone = gateway_in_fleet(false);
    assert!(alone.run_call(1, 70, ms(80)));
    assert!(messages(&alone.advance(ms(1500))).is_empty());
}

/// Number of ten calls for server 70 that go there at once, after gateway `from` has sent `texts` in each of
/// 40 ticks.
fn calls_sent_after(from: u32, texts: &[&str]) -> usize {
    let mut g = gateway_in_fleet(true);
    assert!(g.run_call(1, 70, ms(40)));
    for _ in 0..40 {
        for text in texts {
            assert_eq!(g.handle(Event::PeerMessage { from: PeerId(from), text: (*text).into() }), []);
        }
        g.advance(ms(200));
    }
    (100..110).filter(|id| issued(&g.handle(Event::Call(call(*id, 0, 0)))).contains(&(*id, 70))).count()
}

#[test]
fn reported_delays_throttle_a_slow_server_before_own_samples_do() {
    assert!(calls_sent_after(9, &["1 70:40"]) >= 1);
    assert_eq!(calls_sent_after(9, &["1 70:3000"]), 0);
}

#[test]
fn invalid_messages_change_nothing() {
    let without_messages = calls_sent_after(9, &[]);
    for text in ["", "1", "1 ", "2 70:3000", "1 70", "1 70:", "1 70:-5", "1 70:NaN", "1 70:inf", "1 70:9e9"] {
        assert_eq!(calls_sent_after(9, &[text]), without_messages, "{text:?}");
    }
    for text in ["1 70:99999999999", "1 70:60001", "1 99:3000", "1 :3000", "1  :  ", "\u{1F98C} 70:3000"] {
        assert_eq!(calls_sent_after(9, &[text]), without_messages, "{text:?}");
    }
    assert_eq!(calls_sent_after(GATEWAYS, &["1 70:3000"]), without_messages, "an unknown sender");
    assert_eq!(calls_sent_after(0, &["1 70:3000"]), without_messages, "its own number");
}
