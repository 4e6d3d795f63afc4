//! Which set-up reaches the decisions on routes, and when: a rate and a number of calls by client, and when more is
//! held there than is soon sent, a queue that is fair among clients (see [`Fair`]). What is turned away here gets its
//! final answer at once, so that a client's burst costs that client and nobody else.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fair::{Fair, FairSettings, Turned};
use crate::limiter::{Gcra, Limiter, Rate};
use crate::spread::Spread;

/// Whose set-up it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    /// A known client, whatever address it comes from.
    Known(Arc<str>),
    /// Somebody who has not shown who it is, by address.
    Stranger(IpAddr),
}

/// What one client may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Set-ups in one turn, against the other clients'.
    pub weight: u32,
    /// Set-ups a second, and at once.
    pub rate: Rate,
    /// Set-ups without a final answer.
    pub pending: usize,
    /// Calls in all, standing ones too.
    pub calls: usize,
}

/// All that the decision goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpSettings {
    /// Known clients without limits of their own.
    pub known: ClientLimits,
    /// Each address of strangers. Its weight counts among strangers only.
    pub stranger: ClientLimits,
    /// The weight of all strangers together, against one known client's.
    pub strangers_weight: u32,
    /// Set-ups a second of all strangers, and at once; `None`: as many as there is room for.
    pub strangers_rate: Option<Rate>,
    /// Of what the decisions may hold, the share that may be strangers': what is held there delays everybody.
    pub strangers_share: f64,
    /// Set-ups that the decisions may hold, whatever is sent.
    pub held_least: usize,
    /// Beyond that they may hold what is sent in this time, as it went lately.
    pub held_span: Duration,
    /// Set-ups that may wait here.
    pub waiting: usize,
    /// The longest that one waits here.
    pub wait: Duration,
    /// Strangers' addresses whose rate is kept exactly.
    pub addresses: usize,
    /// The shortest time that those refused are told to stay away.
    pub retry_after: Duration,
    /// Keys what is spread and hashed.
    pub seed: u64,
}

/// Why a set-up is refused here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SetUpRefusal {
    /// Its client's rate.
    Rate,
    /// The rate of all strangers together.
    Strangers,
    /// Its client has as many without an answer as it may.
    Pending,
    /// Its client has as many calls as it may.
    Calls,
    /// As many wait as may, and others hold less than its client.
    Full,
    /// It waited as long as one may.
    Waited,
}

impl SetUpRefusal {
    /// The text of its Reason header.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Rate => "too many set-ups of this client",
            Self::Strangers => "too many set-ups of unknown clients",
            Self::Pending => "too many calls of this client in set-up",
            Self::Calls => "too many calls of this client",
            Self::Full => "too many set-ups wait, and this client holds most",
            Self::Waited => "no turn came in time",
        }
    }
}

/// The decision on a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It goes on to the decisions on routes.
    Go,
    /// It waits here until [`SetUps::next`] names it, for [`SetUpSettings::wait`] at the most.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        why: SetUpRefusal,
        /// How long its caller should stay away.
        retry_after: Duration,
    },
}

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stay {
    /// It waits here.
    Waiting,
    /// The decisions hold it: no attempt is out.
    Held,
    /// An attempt is out.
    Out,
    /// It stands.
    Standing,
}

#[derive(Debug)]
struct Entry {
    who: Who,
    stay: Stay,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    pending: usize,
    calls: usize,
}

/// Known clients one by one, and all strangers together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    Known(Arc<str>),
    Strangers,
}

/// The decisions on set-ups of one gateway. Calls go by the embedder's numbers `u64`.
#[derive(Debug)]
pub struct SetUps {
    settings: SetUpSettings,
    limits: BTreeMap<Arc<str>, ClientLimits>,
    /// Known clients' theoretical arrival times; a client that is no longer known loses its own.
    rates: BTreeMap<Arc<str>, Gcra>,
    strangers: Limiter,
    all_strangers: Gcra,
    /// Whose turn it is: a call of a known client, or `None` for the next stranger's.
    lanes: Fair<Lane, Option<u64>>,
    /// Whose turn it is among strangers.
    inner: Fair<IpAddr, u64>,
    entries: BTreeMap<u64, Entry>,
    holders: BTreeMap<Who, Holder>,
    held: usize,
    /// Of these, strangers'.
    held_strangers: usize,
    /// Set-ups sent a second, a running mean.
    sent_per_s: f64,
    sent_at: Duration,
    spread: Spread,
    refused: BTreeMap<SetUpRefusal, u64>,
    now: Duration,
}

/// The running mean of what is sent forgets with this time constant: long against a stall of a switch, short against
/// a change of load.
const MEAN_OVER_S: f64 = 2.0;

impl SetUps {
    /// Begins with no calls.
    #[must_use]
    pub fn new(settings: SetUpSettings) -> Self {
        let fair = FairSettings { waiting: settings.waiting, waiting_per_client: settings.waiting };
        Self {
            strangers: Limiter::new(settings.stranger.rate, settings.addresses, settings.seed),
            lanes: Fair::new(fair),
            inner: Fair::new(fair),
            spread: Spread::new(settings.seed),
            settings,
            limits: BTreeMap::new(),
            rates: BTreeMap::new(),
            entries: BTreeMap::new(),
            holders: BTreeMap::new(),
            held: 0,
            held_strangers: 0,
            all_strangers: Gcra::default(),
            sent_per_s: 0.0,
            sent_at: Duration::ZERO,
            refused: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    /// The clients that are known now, with their limits. Calls that they have go on.
    pub fn set_clients(&mut self, limits: impl IntoIterator<Item = (Arc<str>, ClientLimits)>) {
        self.limits = limits.into_iter().collect();
        self.rates.retain(|name, _| self.limits.contains_key(name));
    }

    fn limits_of(&self, who: &Who) -> ClientLimits {
        match who {
            Who::Known(name) => self.limits.get(name).copied().unwrap_or(self.settings.known),
            Who::Stranger(_) => self.settings.stranger,
        }
    }

    fn refuse(&mut self, why: SetUpRefusal, least: Duration) -> Turn {
        *self.refused.entry(why).or_default() += 1;
        Turn::Refuse { why, retry_after: self.spread.next(least, self.settings.retry_after) }
    }

    /// Judges a new set-up. The second part is a call that waited and is refused in this one's favour.
    pub fn offer(&mut self, now: Duration, who: Who, call: u64) -> (Turn, Option<(u64, Turn)>) {
        self.now = self.now.max(now);
        let limits = self.limits_of(&who);
        let holder = self.holders.get(&who).copied().unwrap_or_default();
        if holder.calls >= limits.calls {
            return (self.refuse(SetUpRefusal::Calls, Duration::ZERO), None);
        }
        if holder.pending >= limits.pending {
            return (self.refuse(SetUpRefusal::Pending, Duration::ZERO), None);
        }
        // Last of the checks that concern its client alone: a refusal above must not use up its rate.
        let in_rate = match &who {
            Who::Known(name) => self.rates.entry(name.clone()).or_default().arrive(self.now, &limits.rate),
            Who::Stranger(address) => {
                let all = self.settings.strangers_rate;
                if let Some(Err(wait)) = all.map(|rate| self.all_strangers.would(self.now, &rate)) {
                    return (self.refuse(SetUpRefusal::Strangers, wait), None);
                }
                let own = self.strangers.arrive(self.now, *address);
                if let (Ok(()), Some(rate)) = (own, all) {
                    let _ = self.all_strangers.arrive(self.now, &rate);
                }
                own
            }
        };
        if let Err(wait) = in_rate {
            return (self.refuse(SetUpRefusal::Rate, wait), None);
        }
        // Nobody waits while there is room; while somebody waits, nobody of his kind goes past.
        let (waits_before_it, room) = match &who {
            Who::Known(_) => (self.lanes.waiting() - self.inner.waiting(), self.has_room()),
            Who::Stranger(_) => (self.lanes.waiting(), self.has_room() && self.has_room_for_strangers()),
        };
        if waits_before_it == 0 && room {
            self.enter(call, who, Stay::Held);
            return (Turn::Go, None);
        }
        match self.line_up(&who, limits.weight, call) {
            Ok(pushed) => {
                self.enter(call, who, Stay::Waiting);
                let pushed = pushed.map(|other| {
                    self.forget(other);
                    (other, self.refuse(SetUpRefusal::Full, Duration::ZERO))
                });
                (Turn::Wait, pushed)
            }
            Err(()) => (self.refuse(SetUpRefusal::Full, Duration::ZERO), None),
        }
    }

    /// Puts a call into its queue. `Ok` with the call that had to make room.
    fn line_up(&mut self, who: &Who, weight: u32, call: u64) -> Result<Option<u64>, ()> {
        let pushed = match who {
            Who::Known(name) => self.lanes.offer(Lane::Known(name.clone()), weight, Some(call)),
            Who::Stranger(address) => {
                // The places of strangers are theirs to divide: the address that holds most gives one up.
                if self.inner.offer(*address, weight, call).is_err() {
                    return Err(());
                }
                self.lanes.offer(Lane::Strangers, self.settings.strangers_weight, None)
            }
        };
        match pushed {
            Ok(None) => Ok(None),
            Ok(Some(Some(known))) => Ok(Some(known)),
            // A stranger's place was taken from them, or they may have no more: one of them goes.
            Ok(Some(None)) | Err((None, Turned::Full | Turned::ClientFull)) => match self.inner.shed() {
                Some((_, shed)) if shed == call => Err(()),
                shed => Ok(shed.map(|(_, call)| call)),
            },
            Err((Some(_), _)) => Err(()),
        }
    }

    fn enter(&mut self, call: u64, who: Who, stay: Stay) {
        let holder = self.holders.entry(who.clone()).or_default();
        holder.calls += 1;
        holder.pending += 1;
        let held = usize::from(stay == Stay::Held);
        self.held += held;
        self.held_strangers += if matches!(who, Who::Stranger(_)) { held } else { 0 };
        self.entries.insert(call, Entry { who, stay });
    }

    /// Takes a call out of all counts.
    fn forget(&mut self, call: u64) -> Option<Entry> {
        let entry = self.entries.remove(&call)?;
        let held = usize::from(entry.stay == Stay::Held);
        self.held -= held;
        self.held_strangers -= if matches!(entry.who, Who::Stranger(_)) { held } else { 0 };
        if let Some(holder) = self.holders.get_mut(&entry.who) {
            holder.calls -= 1;
            holder.pending -= usize::from(entry.stay != Stay::Standing);
            if holder.calls == 0 {
                self.holders.remove(&entry.who);
            }
        }
        Some(entry)
    }

    /// Set-ups that the decisions may hold now.
    #[must_use]
    pub fn room(&self) -> usize {
        let sent = self.sent_per_s * self.settings.held_span.as_secs_f64();
        self.settings.held_least.saturating_add(sent as usize)
    }

    fn has_room(&self) -> bool {
        self.held < self.room()
    }

    fn has_room_for_strangers(&self) -> bool {
        let room = (self.room() as f64 * self.settings.strangers_share) as usize;
        self.held_strangers < room.max(1)
    }

    /// A call has come to another place. A call that is not known here stays so.
    pub fn moved(&mut self, now: Duration, call: u64, to: Stay) {
        self.now = self.now.max(now);
        let Some(entry) = self.entries.get_mut(&call) else { return };
        let from = std::mem::replace(&mut entry.stay, to);
        if from == to {
            return;
        }
        let (before, after) = (usize::from(from == Stay::Held), usize::from(to == Stay::Held));
        self.held = self.held + after - before;
        if matches!(entry.who, Who::Stranger(_)) {
            self.held_strangers = self.held_strangers + after - before;
        }
        if let Some(holder) = self.holders.get_mut(&entry.who) {
            holder.pending -= usize::from(to == Stay::Standing);
        }
        if to == Stay::Out {
            let passed = (self.now - self.sent_at).as_secs_f64();
            self.sent_per_s = self.sent_per_s * (-passed / MEAN_OVER_S).exp() + 1.0 / MEAN_OVER_S;
            self.sent_at = self.now;
        }
    }

    /// A call is over, wherever it was.
    pub fn over(&mut self, now: Duration, call: u64) {
        self.now = self.now.max(now);
        let Some(entry) = self.forget(call) else { return };
        if entry.stay == Stay::Waiting {
            self.leave(&entry.who, call);
        }
    }

    fn leave(&mut self, who: &Who, call: u64) {
        match who {
            Who::Known(name) => self.lanes.remove(&Lane::Known(name.clone()), |c| *c == Some(call)),
            Who::Stranger(address) => {
                self.inner.remove(address, |c| *c == call);
                self.lanes.drop_one(&Lane::Strangers);
            }
        }
    }

    /// A call has waited for as long as one may: what it is told. `None` if it does not wait.
    pub fn waited(&mut self, now: Duration, call: u64) -> Option<Turn> {
        let waits = self.entries.get(&call).is_some_and(|e| e.stay == Stay::Waiting);
        if !waits {
            return None;
        }
        self.over(now, call);
        Some(self.refuse(SetUpRefusal::Waited, Duration::ZERO))
    }

    /// The next call that goes on to the decisions, if there is room.
    pub fn next(&mut self, now: Duration) -> Option<u64> {
        self.now = self.now.max(now);
        while self.has_room() {
            let strangers = self.has_room_for_strangers();
            let (_, call) = self.lanes.take_of(|lane| strangers || *lane != Lane::Strangers)?;
            let call = match call {
                Some(call) => Some(call),
                None => self.inner.take().map(|(_, call)| call),
            };
            let Some(call) = call else { continue };
            self.moved(now, call, Stay::Held);
            return Some(call);
        }
        None
    }

    /// Set-ups that wait here.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lanes.waiting()
    }

    /// Set-ups that the decisions hold.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Refusals by reason.
    #[must_use]
    pub const fn refused(&self) -> &BTreeMap<SetUpRefusal, u64> {
        &self.refused
    }

    /// Those who have most calls, most first, with calls in set-up and in all.
    #[must_use]
    pub fn largest(&self, most: usize) -> Vec<(Who, usize, usize)> {
        let mut all: Vec<_> = self.holders.iter().map(|(who, h)| (who.clone(), h.pending, h.calls)).collect();
        all.sort_by(|a, b| b.2.cmp(&a.2).then_with(|| a.0.cmp(&b.0)));
        all.truncate(most);
        all
    }

    /// How long one may wait here.
    #[must_use]
    pub const fn wait(&self) -> Duration {
        self.settings.wait
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn limits(pending: usize) -> ClientLimits {
        ClientLimits { weight: 1, rate: Rate::per_second(1e6, 1000), pending, calls: 1000 }
    }

    fn settings() -> SetUpSettings {
        SetUpSettings {
            known: limits(100),
            stranger: limits(50),
            strangers_weight: 1,
            strangers_rate: None,
            strangers_share: 1.0,
            held_least: 4,
            held_span: ms(100),
            waiting: 40,
            wait: ms(500),
            addresses: 100,
            retry_after: ms(1000),
            seed: 1,
        }
    }

    fn known(name: &str) -> Who {
        Who::Known(name.into())
    }

    fn stranger(n: u8) -> Who {
        Who::Stranger(IpAddr::from([127, 0, 0, n]))
    }

    fn refused(turn: Turn) -> Option<SetUpRefusal> {
        match turn {
            Turn::Refuse { why, .. } => Some(why),
            _ => None,
        }
    }

    /// One of the calls with which another client fills the room.
    fn fill(s: &mut SetUps, call: u64) {
        assert_eq!(s.offer(ms(0), known("full"), call).0, Turn::Go);
    }

    #[test]
    fn set_ups_go_on_at_once_while_there_is_room_and_wait_their_turn_beyond_it() {
        let mut s = SetUps::new(settings());
        let turns: Vec<Turn> = (0..8).map(|n| s.offer(ms(0), known("a"), n).0).collect();
        assert_eq!(turns[..4], [Turn::Go; 4]);
        assert_eq!(turns[4..], [Turn::Wait; 4]);
        assert_eq!(s.offer(ms(0), known("b"), 100).0, Turn::Wait);
        assert_eq!((s.next(ms(1)), s.held(), s.waiting()), (None, 4, 5));
        // Each that is sent makes room for another, and b's comes second.
        let mut order = Vec::new();
        for sent in 0..4 {
            s.moved(ms(2), sent, Stay::Out);
            order.extend(std::iter::from_fn(|| s.next(ms(2))));
        }
        assert_eq!(order, [4, 100, 5, 6], "{order:?}");
    }

    #[test]
    fn what_may_be_held_follows_what_is_sent() {
        let mut s = SetUps::new(SetUpSettings { held_span: ms(500), ..settings() });
        assert_eq!(s.room(), 4);
        for n in 0..2000 {
            let now = ms(10 * n);
            assert_eq!(s.offer(now, known("a"), n).0, Turn::Go);
            s.moved(now, n, Stay::Out);
            s.over(now, n);
        }
        assert!((50..=58).contains(&s.room()), "100 a second for half a second: {}", s.room());
    }

    #[test]
    fn a_call_that_comes_back_from_an_attempt_is_held_again_and_never_asked_to_wait() {
        let mut s = SetUps::new(settings());
        for n in 0..4 {
            let _ = s.offer(ms(0), known("a"), n);
            s.moved(ms(1), n, Stay::Out);
        }
        for n in 0..4 {
            s.moved(ms(2), n, Stay::Held);
        }
        assert_eq!(s.held(), 4);
        s.moved(ms(3), 0, Stay::Out);
        s.moved(ms(4), 0, Stay::Standing);
        s.over(ms(5), 1);
        assert_eq!(s.held(), 2);
        assert_eq!(s.largest(9), [(known("a"), 2, 3)]);
    }

    #[test]
    fn each_limit_of_a_client_refuses_under_its_own_name() {
        let mut s = SetUps::new(settings());
        let own = ClientLimits { weight: 1, rate: Rate::per_second(1.0, 3), pending: 2, calls: 3 };
        s.set_clients([("small".into(), own)]);
        let offer = |s: &mut SetUps, now: u64, n: u64| refused(s.offer(ms(now), known("small"), n).0);
        assert_eq!((offer(&mut s, 0, 1), offer(&mut s, 0, 2)), (None, None));
        assert_eq!(offer(&mut s, 0, 3), Some(SetUpRefusal::Pending));
        s.moved(ms(0), 1, Stay::Standing);
        s.moved(ms(0), 2, Stay::Standing);
        assert_eq!(offer(&mut s, 0, 3), None);
        s.moved(ms(0), 3, Stay::Standing);
        assert_eq!(offer(&mut s, 0, 4), Some(SetUpRefusal::Calls));
        (1..4).for_each(|n| s.over(ms(0), n));
        assert_eq!(offer(&mut s, 0, 5), Some(SetUpRefusal::Rate));
        assert_eq!(offer(&mut s, 1000, 5), None, "refusals did not use up its rate");
        assert_eq!(refused(s.offer(ms(1000), known("other"), 6).0), None);
        assert_eq!(s.refused().values().sum::<u64>(), 3);
    }

    #[test]
    fn strangers_share_one_lane_and_divide_it_by_address() {
        let mut s = SetUps::new(settings());
        (0..4).for_each(|n| fill(&mut s, n));
        // Nine strangers and one known client, each with two that wait.
        for n in 0..9u8 {
            let _ = s.offer(ms(0), stranger(n), 100 + u64::from(n));
            let _ = s.offer(ms(0), stranger(n), 200 + u64::from(n));
        }
        let _ = s.offer(ms(0), known("a"), 1000);
        let _ = s.offer(ms(0), known("a"), 1001);
        let mut order = Vec::new();
        (0..4).for_each(|n| s.over(ms(1), n));
        for _ in 0..20 {
            let Some(next) = s.next(ms(1)) else { break };
            s.over(ms(1), next);
            order.push(next);
        }
        assert_eq!(order[..6], [100, 1000, 101, 1001, 102, 103]);
        assert_eq!((order.len(), s.waiting(), s.held()), (20, 0, 0));
        assert!(s.largest(9).is_empty());
    }

    #[test]
    fn a_flood_of_strangers_cannot_take_the_places_of_a_known_client() {
        let mut s = SetUps::new(settings());
        (0..4).for_each(|n| fill(&mut s, n));
        let mut pushed = 0;
        for n in 0..500u64 {
            let (_, out) = s.offer(ms(0), stranger((n % 250) as u8), 1000 + n);
            pushed += usize::from(out.is_some());
        }
        assert_eq!((s.waiting(), pushed), (40, 0), "all of them alike: the newcomers are turned away");
        for n in 0..10 {
            let (turn, out) = s.offer(ms(0), known("a"), 5000 + n);
            assert_eq!(turn, Turn::Wait);
            assert!(out.is_some_and(|(call, _)| (1000..2000).contains(&call)), "{out:?}");
        }
        assert_eq!(s.waiting(), 40);
    }

    #[test]
    fn what_strangers_may_have_held_leaves_room_for_known_clients() {
        let mut s = SetUps::new(SetUpSettings { held_least: 8, strangers_share: 0.25, ..settings() });
        let turns: Vec<Turn> = (0..5).map(|n| s.offer(ms(0), stranger(n as u8), n).0).collect();
        assert_eq!(turns, [Turn::Go, Turn::Go, Turn::Wait, Turn::Wait, Turn::Wait]);
        let turns: Vec<Turn> = (10..17).map(|n| s.offer(ms(0), known("a"), n).0).collect();
        assert_eq!(turns[..6], [Turn::Go; 6], "past the strangers that wait");
        assert_eq!(turns[6], Turn::Wait);
        s.over(ms(1), 10);
        assert_eq!((s.next(ms(1)), s.next(ms(1))), (Some(16), None), "the strangers keep their places");
        s.moved(ms(2), 0, Stay::Out);
        assert_eq!(s.next(ms(2)), Some(2));
    }

    #[test]
    fn all_strangers_together_are_held_to_their_rate_and_known_clients_are_not() {
        let rate = Rate::per_second(10.0, 5);
        let mut s = SetUps::new(SetUpSettings { strangers_rate: Some(rate), held_least: 1000, ..settings() });
        let mut went = (0, 0);
        for n in 0..1000u64 {
            let now = ms(n);
            went.0 += usize::from(s.offer(now, stranger((n % 200) as u8), n).0 == Turn::Go);
            went.1 += usize::from(n % 100 == 0 && s.offer(now, known("a"), 10_000 + n).0 == Turn::Go);
            s.over(now, n);
            s.over(now, 10_000 + n);
        }
        assert_eq!(went, (14, 10));
        assert_eq!(s.refused()[&SetUpRefusal::Strangers], 986);
    }

    #[test]
    fn one_that_waited_too_long_or_whose_caller_left_leaves_nothing_behind() {
        let mut s = SetUps::new(settings());
        (0..4).for_each(|n| fill(&mut s, n));
        for (n, who) in [known("a"), stranger(1), stranger(2)].into_iter().enumerate() {
            assert_eq!(s.offer(ms(0), who, 10 + n as u64).0, Turn::Wait);
        }
        s.over(ms(1), 11);
        assert_eq!(s.waited(ms(500), 10).and_then(refused), Some(SetUpRefusal::Waited));
        assert_eq!(s.waited(ms(500), 0), None, "it is not waiting");
        (0..4).for_each(|n| s.over(ms(600), n));
        assert_eq!((s.next(ms(600)), s.next(ms(600))), (Some(12), None));
        s.over(ms(700), 12);
        assert!(s.largest(9).is_empty() && s.waiting() == 0 && s.held() == 0);
    }

    #[test]
    fn counts_hold_in_a_long_seeded_run() {
        let mut s = SetUps::new(SetUpSettings { strangers_share: 0.5, ..settings() });
        let (mut state, mut live, mut next) = (3u64, BTreeMap::<u64, Stay>::new(), 0u64);
        let mut taken = 0u64;
        for step in 0..60_000u64 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let (dice, now) = ((state >> 33) % 10, ms(step));
            let some = live.keys().nth((state >> 40) as usize % live.len().max(1)).copied();
            match dice {
                0..4 => {
                    next += 1;
                    let who = match (state >> 50) % 7 {
                        n @ 0..3 => known(["a", "b", "c"][n as usize]),
                        n => stranger(n as u8),
                    };
                    let (turn, pushed) = s.offer(now, who, next);
                    match turn {
                        Turn::Go => drop(live.insert(next, Stay::Held)),
                        Turn::Wait => drop(live.insert(next, Stay::Waiting)),
                        Turn::Refuse { .. } => {}
                    }
                    if let Some((call, _)) = pushed {
                        assert_eq!(live.remove(&call), Some(Stay::Waiting));
                    }
                }
                4..8 => {
                    if let Some(call) = some.filter(|c| live[c] != Stay::Waiting) {
                        let to = [Stay::Out, Stay::Held, Stay::Standing][(dice % 3) as usize];
                        if live[&call] != Stay::Standing {
                            live.insert(call, to);
                            s.moved(now, call, to);
                        }
                    }
                }
                _ => {
                    if let Some(call) = some {
                        live.remove(&call);
                        s.over(now, call);
                    }
                }
            }
            while let Some(call) = s.next(now) {
                assert_eq!(live.insert(call, Stay::Held), Some(Stay::Waiting));
                taken += 1;
            }
            let count = |stay| live.values().filter(|s| **s == stay).count();
            assert_eq!((s.waiting(), s.held()), (count(Stay::Waiting), count(Stay::Held)));
            assert!(s.waiting() <= 40 && (s.waiting() == 0 || s.held() >= s.room() || s.inner.waiting() > 0));
            let strangers = |e: &&Entry| e.stay == Stay::Held && matches!(e.who, Who::Stranger(_));
            assert_eq!(s.held_strangers, s.entries.values().filter(strangers).count());
            assert_eq!(
                s.inner.waiting(),
                s.entries
                    .values()
                    .filter(|e| { e.stay == Stay::Waiting && matches!(e.who, Who::Stranger(_)) })
                    .count()
            );
        }
        assert!(taken > 100, "{taken}");
        live.keys().for_each(|call| s.over(ms(60_000), *call));
        assert!(s.holders.is_empty() && s.entries.is_empty() && s.waiting() == 0 && s.held() == 0);
    }
}
