//! The decision on each connection.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::time::Duration;

use crate::descriptors::Descriptors;
use crate::limiter::{Gcra, Limiter, Rate};
use crate::reserve::{Reserve, ReserveSettings};
use crate::spread::Spread;

/// Bits of an address that make its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefixes {
    /// Of IPv4, 32 at the most.
    pub v4: u8,
    /// Of IPv6, 128 at the most.
    pub v6: u8,
}

/// All that the decision goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Connections in all, beside those that have yet to show what they are (`handshakes`).
    pub total: usize,
    /// Strangers' connections of one address.
    pub per_address: usize,
    /// Strangers' connections of one prefix.
    pub per_prefix: usize,
    /// What a prefix is.
    pub prefixes: Prefixes,
    /// Prefixes with a cap of their own, as a branch office behind one address needs it; the longest match counts,
    /// for the addresses in it too.
    pub exceptions: Vec<(IpAddr, u8, usize)>,
    /// New connections of one address.
    pub rate: Rate,
    /// Addresses whose rate is kept exactly.
    pub addresses: usize,
    /// Handshakes under way, and connections on probation, of all addresses.
    pub handshakes: usize,
    /// The same of one address.
    pub handshakes_per_address: usize,
    /// Networks of forwarders that are believed when they say where a connection comes from (RFC 7239). Their own
    /// addresses have no cap and no rate; what they name has.
    pub forwarders: Vec<(IpAddr, u8)>,
    /// A connection for which strangers have no place may stay this long to show that it is a known client's; zero
    /// where nobody can.
    pub prove: Duration,
    /// A stranger without a call that does nothing for this long is closed; zero: never.
    pub idle: Duration,
    /// A connection without a call that takes none of the bytes that wait for it for this long is closed; zero: never.
    pub slow: Duration,
    /// Messages of a stranger's connection, and of a known client's; beyond it a connection is not read for a while.
    pub pace: (Rate, Rate),
    /// The part kept for known clients.
    pub reserve: ReserveSettings,
    /// Connections of one known client, where it has no limit of its own.
    pub per_client: usize,
    /// The shortest time that those refused for a cap are told to stay away; they are spread over as much again.
    pub retry_after: Duration,
    /// Keys the sketch and the spread.
    pub seed: u64,
}

impl AdmissionSettings {
    /// The same with no more connections and handshakes than there are descriptors for; the reserve keeps its shares.
    #[must_use]
    pub fn within(mut self, descriptors: &Descriptors) -> Self {
        let (total, handshakes) = descriptors.divide(self.total, self.handshakes);
        let part = |n: usize| (n as u128 * total as u128 / self.total.max(1) as u128) as usize;
        (self.reserve.least, self.reserve.most) = (part(self.reserve.least), part(self.reserve.most));
        (self.total, self.handshakes) = (total, handshakes);
        self
    }
}

/// Settings that no gateway can work with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A cap is zero.
    #[error("{0} is zero: nobody could connect")]
    Zero(&'static str),
    /// A prefix is longer than its addresses.
    #[error("a prefix is longer than an address")]
    Prefix,
    /// The reserve leaves nothing to those who have yet to say who they are.
    #[error("the reserve takes all connections: nobody could get as far as being known")]
    Reserve,
}

/// A connection, as the embedder numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Conn(pub u64);

/// A connection that wants in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its number; never used again.
    pub conn: Conn,
    /// Where it comes from; behind a trusted forwarder, what that says.
    pub address: IpAddr,
}

/// Why a connection does not get in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// An operator has blocked the address.
    Blocked,
    /// The rate of its address.
    Rate,
    /// The cap of its address.
    Address,
    /// The cap of its prefix.
    Prefix,
    /// Too many handshakes are under way, in all or of its address.
    Handshakes,
    /// All that strangers may use is taken; the rest is kept for known clients.
    Reserved,
    /// Everything is taken.
    Full,
    /// The cap of its client.
    Client,
    /// The process has no descriptor left for it.
    Descriptors,
}

impl Reason {
    /// A word for logs and answers.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Blocked => "the address is blocked",
            Self::Rate => "too many new connections of this address",
            Self::Address => "too many connections of this address",
            Self::Prefix => "too many connections of this network",
            Self::Handshakes => "too many handshakes under way",
            Self::Reserved => "the places for unknown clients are taken",
            Self::Full => "all places are taken",
            Self::Client => "too many connections of this client",
            Self::Descriptors => "no descriptor is left",
        }
    }
}

/// Why a connection that was in is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// It was idle, and another needed the place.
    MadeRoom,
    /// It did nothing for too long.
    Idle,
    /// It did not read.
    Slow,
    /// It did not show in time that it is a known client's.
    Unproven,
}

impl Eviction {
    /// A word for logs and the close frame.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::MadeRoom => "idle, and others want in",
            Self::Idle => "idle for too long",
            Self::Slow => "does not read",
            Self::Unproven => "places for unknown clients are taken",
        }
    }
}

/// The decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It gets in.
    Accept,
    /// It gets in for a time ([`AdmissionSettings::prove`]), in which it may show that it is a known client's; as a
    /// stranger it gets nothing.
    Probation,
    /// It gets in, and this one is closed to make room for it: one without a call, idle for longest, or the handshake
    /// that takes longest.
    Replace(Conn),
    /// It does not.
    Refuse {
        /// Why.
        reason: Reason,
        /// How long it should stay away.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Handshake,
    Probation,
    Stranger,
    Known,
}

impl Stage {
    /// It has yet to show what it is.
    const fn unproven(self) -> bool {
        matches!(self, Self::Handshake | Self::Probation)
    }
}

#[derive(Debug)]
struct Entry {
    address: IpAddr,
    /// It counts against its address: not if a forwarder has yet to say where it comes from, nor once it is known.
    counted: bool,
    stage: Stage,
    client: Option<Arc<str>>,
    /// Calls standing or out.
    calls: u32,
    /// Since when it has been idle.
    idle_since: Duration,
    /// What it owes for its messages.
    pace: Gcra,
    /// Bytes that it had taken in all when it last took some, and when that was; `None` if none wait.
    stuck: Option<(u64, Duration)>,
}

/// What one address or client holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The address, or the client's name.
    pub who: String,
    /// Open connections.
    pub open: usize,
}

/// What is held and was refused, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Open connections, handshakes included.
    pub open: usize,
    /// Handshakes under way, and connections on probation.
    pub handshakes: usize,
    /// Connections of known clients.
    pub known: usize,
    /// Places kept for known clients.
    pub reserve: usize,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Connections that were in and were closed, by reason.
    pub evicted: BTreeMap<Eviction, u64>,
    /// The addresses that hold most, most first.
    pub addresses: Vec<Holding>,
    /// The known clients that hold most, most first.
    pub clients: Vec<Holding>,
    /// Addresses that an operator has blocked, with the time that is left.
    pub blocked: Vec<(IpAddr, Duration)>,
}

/// Addresses that an operator may block at once.
const MOST_BLOCKED: usize = 10_000;
/// A handshake this old gives way to a newcomer when all places for handshakes are taken: an honest one takes a few
/// round trips, and those that are drawn out on purpose are the oldest. Harms honest clients whose round trip is
/// longer, while such a flood lasts.
const SLOW_HANDSHAKE: Duration = Duration::from_millis(200);

/// Bytes of one turn: a few messages of a stranger, as many of a known client as the driver reads at once.
const STRANGER_TURN: usize = 4 * 1024;
const KNOWN_TURN: usize = 64 * 1024;

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limiter: Limiter,
    reserve: Reserve,
    conns: BTreeMap<Conn, Entry>,
    by_address: BTreeMap<IpAddr, usize>,
    by_prefix: BTreeMap<(IpAddr, u8), usize>,
    unproven_by_address: BTreeMap<IpAddr, usize>,
    by_client: BTreeMap<Arc<str>, usize>,
    client_limits: BTreeMap<Arc<str>, usize>,
    /// Strangers without a call, idle for longest first.
    idle: BTreeSet<(Duration, Conn)>,
    /// Known clients' connections without a call, by client, idle for longest first.
    idle_known: BTreeSet<(Arc<str>, Duration, Conn)>,
    /// Those that have yet to show what they are, oldest first.
    unproven: BTreeSet<(Duration, Conn)>,
    known: usize,
    blocked: BTreeMap<IpAddr, Duration>,
    refused: BTreeMap<Reason, u64>,
    evicted: BTreeMap<Eviction, u64>,
    spread: Spread,
    now: Duration,
}

/// The prefix of an address.
fn prefix_of(address: IpAddr, bits: u8) -> IpAddr {
    match address {
        IpAddr::V4(a) => {
            let mask = u32::MAX.checked_shl(32 - u32::from(bits.min(32))).unwrap_or(0);
            IpAddr::V4(Ipv4Addr::from(u32::from(a) & mask))
        }
        IpAddr::V6(a) => {
            let mask = u128::MAX.checked_shl(128 - u32::from(bits.min(128))).unwrap_or(0);
            IpAddr::V6(Ipv6Addr::from(u128::from(a) & mask))
        }
    }
}

fn count_down<K: Ord>(map: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(n) = map.get_mut(key) {
        *n -= 1;
        if *n == 0 {
            map.remove(key);
        }
    }
}

impl Admission {
    /// Checks the settings and begins with nobody connected.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn new(settings: AdmissionSettings) -> Result<Self, SettingsError> {
        let caps = [
            (settings.total, "total"),
            (settings.per_address, "per_address"),
            (settings.per_prefix, "per_prefix"),
            (settings.handshakes, "handshakes"),
            (settings.handshakes_per_address, "handshakes_per_address"),
            (settings.per_client, "per_client"),
        ];
        if let Some((_, name)) = caps.into_iter().find(|(cap, _)| *cap == 0) {
            return Err(SettingsError::Zero(name));
        }
        let too_long = |address: &IpAddr, bits: u8| bits > if address.is_ipv4() { 32 } else { 128 };
        let exceptions = settings.exceptions.iter().any(|(a, bits, _)| too_long(a, *bits))
            || settings.forwarders.iter().any(|(a, bits)| too_long(a, *bits));
        if settings.prefixes.v4 > 32 || settings.prefixes.v6 > 128 || exceptions {
            return Err(SettingsError::Prefix);
        }
        if settings.reserve.most.max(settings.reserve.least) >= settings.total {
            return Err(SettingsError::Reserve);
        }
        Ok(Self {
            limiter: Limiter::new(settings.rate, settings.addresses, settings.seed),
            reserve: Reserve::new(settings.reserve),
            spread: Spread::new(settings.seed),
            settings,
            conns: BTreeMap::new(),
            by_address: BTreeMap::new(),
            by_prefix: BTreeMap::new(),
            unproven_by_address: BTreeMap::new(),
            by_client: BTreeMap::new(),
            client_limits: BTreeMap::new(),
            idle: BTreeSet::new(),
            idle_known: BTreeSet::new(),
            unproven: BTreeSet::new(),
            known: 0,
            blocked: BTreeMap::new(),
            refused: BTreeMap::new(),
            evicted: BTreeMap::new(),
            now: Duration::ZERO,
        })
    }

    /// Gives known clients limits of their own. Connections that are open stay.
    pub fn set_client_limits(&mut self, limits: impl IntoIterator<Item = (Arc<str>, usize)>) {
        self.client_limits = limits.into_iter().collect();
    }

    fn prefix(&self, address: IpAddr) -> (IpAddr, u8) {
        let bits = if address.is_ipv4() { self.settings.prefixes.v4 } else { self.settings.prefixes.v6 };
        (prefix_of(address, bits), bits)
    }

    /// The cap of an address's own exception, if it lies in one.
    fn exception(&self, address: IpAddr) -> Option<usize> {
        let fits = |(prefix, bits, _): &&(IpAddr, u8, usize)| {
            prefix.is_ipv4() == address.is_ipv4() && prefix_of(*prefix, *bits) == prefix_of(address, *bits)
        };
        self.settings.exceptions.iter().filter(fits).max_by_key(|(_, bits, _)| *bits).map(|(_, _, cap)| *cap)
    }

    fn refuse(&mut self, reason: Reason, least: Duration) -> Verdict {
        *self.refused.entry(reason).or_default() += 1;
        Verdict::Refuse { reason, retry_after: self.spread.next(least, self.settings.retry_after) }
    }

    /// Refuses a connection for a cause outside this decision, such as missing descriptors, and counts it here.
    pub fn refuse_for(&mut self, now: Duration, reason: Reason) -> Duration {
        self.now = self.now.max(now);
        match self.refuse(reason, Duration::ZERO) {
            Verdict::Refuse { retry_after, .. } => retry_after,
            _ => self.settings.retry_after,
        }
    }

    fn evict(&mut self, conn: Conn, why: Eviction) {
        *self.evicted.entry(why).or_default() += 1;
        self.remove(conn);
    }

    /// Places taken by those who have shown what they are.
    fn placed(&self) -> usize {
        self.conns.len() - self.unproven.len()
    }

    /// Places that strangers may use now.
    fn for_strangers(&self) -> usize {
        let unused = self.reserve.size().saturating_sub(self.known);
        self.settings.total.saturating_sub(self.known + unused)
    }

    /// Whether this address is a forwarder's, who will say where the connection comes from.
    #[must_use]
    pub fn is_forwarder(&self, address: IpAddr) -> bool {
        self.settings.forwarders.iter().any(|(network, bits)| {
            network.is_ipv4() == address.is_ipv4() && prefix_of(*network, *bits) == prefix_of(address, *bits)
        })
    }

    /// Where a connection comes from, by what the forwarders on its way said, the last one last: the nearest address
    /// that is no forwarder's. Nothing beyond a hop that hides itself is believed, as anybody may have written it.
    #[must_use]
    pub fn believed(&self, hops: &[Option<IpAddr>]) -> Option<IpAddr> {
        hops.iter()
            .rev()
            .find(|hop| !hop.is_some_and(|address| self.is_forwarder(address)))
            .copied()
            .flatten()
    }

    /// The checks that go by the address alone.
    fn judge_address(&mut self, address: IpAddr) -> Result<(), (Reason, Duration)> {
        if let Some(until) = self.blocked.get(&address).copied() {
            if until > self.now {
                return Err((Reason::Blocked, until - self.now));
            }
            self.blocked.remove(&address);
        }
        let exception = self.exception(address);
        let of_address = self.by_address.get(&address).copied().unwrap_or(0);
        let prefix = self.prefix(address);
        let of_prefix = self.by_prefix.get(&prefix).copied().unwrap_or(0);
        let unproven = self.unproven_by_address.get(&address).copied().unwrap_or(0);
        if of_address >= exception.unwrap_or(self.settings.per_address) {
            return Err((Reason::Address, Duration::ZERO));
        }
        if of_prefix >= exception.unwrap_or(0).max(self.settings.per_prefix) {
            return Err((Reason::Prefix, Duration::ZERO));
        }
        if unproven >= self.settings.handshakes_per_address {
            return Err((Reason::Handshakes, Duration::ZERO));
        }
        Ok(())
    }

    /// A connection has come. If it gets in, it is in its handshake.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Verdict {
        self.now = self.now.max(now);
        self.reserve.note(self.now, self.known);
        let Arrival { conn, address } = arrival;
        let forwarder = self.is_forwarder(address);
        if !forwarder && let Err((reason, least)) = self.judge_address(address) {
            return self.refuse(reason, least);
        }
        let victim = self.unproven.first().copied();
        let full = self.unproven.len() >= self.settings.handshakes;
        let victim = victim.filter(|(since, _)| full && self.now - *since >= SLOW_HANDSHAKE);
        if full && victim.is_none() {
            return self.refuse(Reason::Handshakes, Duration::ZERO);
        }
        // Last of the checks that concern the address: a refusal above must not use up its rate.
        if !forwarder && let Err(wait) = self.limiter.arrive(self.now, address) {
            return self.refuse(Reason::Rate, wait);
        }
        if let Some((_, slow)) = victim {
            self.evict(slow, Eviction::MadeRoom);
        }
        self.insert(conn, address, !forwarder);
        victim.map_or(Verdict::Accept, |(_, slow)| Verdict::Replace(slow))
    }

    fn insert(&mut self, conn: Conn, address: IpAddr, counted: bool) {
        if counted {
            self.count(address);
        }
        self.unproven.insert((self.now, conn));
        let (stage, client, calls, idle_since, stuck) = (Stage::Handshake, None, 0, self.now, None);
        let pace = Gcra::default();
        self.conns.insert(conn, Entry { address, counted, stage, client, calls, idle_since, pace, stuck });
    }

    fn count(&mut self, address: IpAddr) {
        let prefix = self.prefix(address);
        *self.by_address.entry(address).or_default() += 1;
        *self.by_prefix.entry(prefix).or_default() += 1;
        *self.unproven_by_address.entry(address).or_default() += 1;
    }

    /// A forwarder has said where a connection in its handshake comes from. Ignored unless the connection came from
    /// a forwarder: what anybody else says of itself is not believed.
    pub fn forwarded(&mut self, now: Duration, conn: Conn, address: IpAddr) -> Verdict {
        self.now = self.now.max(now);
        let waits = |e: &Entry| e.stage == Stage::Handshake && !e.counted;
        if !self.conns.get(&conn).is_some_and(waits) || self.is_forwarder(address) {
            return Verdict::Accept;
        }
        let judged = self
            .judge_address(address)
            .and_then(|()| self.limiter.arrive(self.now, address).map_err(|wait| (Reason::Rate, wait)));
        if let Err((reason, least)) = judged {
            self.remove(conn);
            return self.refuse(reason, least);
        }
        self.count(address);
        if let Some(entry) = self.conns.get_mut(&conn) {
            (entry.address, entry.counted) = (address, true);
        }
        Verdict::Accept
    }

    /// A handshake is done without saying who it is. A stranger may use what is not kept for known clients; where
    /// nothing of that is left, the stranger without a call that was idle for longest makes room.
    pub fn shaken(&mut self, now: Duration, conn: Conn) -> Verdict {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get(&conn).filter(|e| e.stage == Stage::Handshake) else {
            return Verdict::Accept;
        };
        let (since, address, counted) = (entry.idle_since, entry.address, entry.counted);
        let full = self.placed() >= self.settings.total;
        let mut victim = None;
        if full || self.placed() - self.known >= self.for_strangers() {
            // Only a full house drives out: in a reserve that nobody uses yet, an idle stranger harms nobody.
            victim = self.idle.first().map(|(_, conn)| *conn).filter(|_| full);
            if victim.is_none() && !self.settings.prove.is_zero() {
                self.unproven.remove(&(since, conn));
                self.unproven.insert((self.now, conn));
                if let Some(entry) = self.conns.get_mut(&conn) {
                    (entry.stage, entry.idle_since) = (Stage::Probation, self.now);
                }
                return Verdict::Probation;
            }
            let Some(victim) = victim else {
                self.remove(conn);
                return self.refuse(if full { Reason::Full } else { Reason::Reserved }, Duration::ZERO);
            };
            self.evict(victim, Eviction::MadeRoom);
        }
        self.end_unproven(since, conn, address, counted);
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.stage = Stage::Stranger;
            entry.idle_since = self.now;
        }
        self.idle.insert((self.now, conn));
        victim.map_or(Verdict::Accept, Verdict::Replace)
    }

    fn end_unproven(&mut self, since: Duration, conn: Conn, address: IpAddr, counted: bool) {
        self.unproven.remove(&(since, conn));
        if counted {
            count_down(&mut self.unproven_by_address, &address);
        }
    }

    /// A connection has shown that it is a known client's. It no longer counts against its address and prefix, so
    /// that a branch office behind one address is not shut out by its neighbours. In a full house of known clients
    /// the one that holds most gives up the connection without a call that was idle for longest, if it holds more
    /// than this one then does.
    pub fn known(&mut self, now: Duration, conn: Conn, client: &Arc<str>) -> Verdict {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get(&conn).filter(|e| e.stage != Stage::Known) else {
            return Verdict::Accept;
        };
        let (address, counted, stage, since) = (entry.address, entry.counted, entry.stage, entry.idle_since);
        let calls = entry.calls;
        let held = self.by_client.get(client).copied().unwrap_or(0);
        let limit = self.client_limits.get(client).copied().unwrap_or(self.settings.per_client);
        if held >= limit {
            self.remove(conn);
            return self.refuse(Reason::Client, Duration::ZERO);
        }
        let mut victim = None;
        if stage.unproven() && self.placed() >= self.settings.total {
            victim = self.idle.first().map(|(_, conn)| *conn).or_else(|| self.idle_of_largest(held + 1));
            let Some(victim) = victim else {
                self.remove(conn);
                return self.refuse(Reason::Full, Duration::ZERO);
            };
            self.evict(victim, Eviction::MadeRoom);
        }
        if stage.unproven() {
            self.end_unproven(since, conn, address, counted);
        }
        self.idle.remove(&(since, conn));
        if counted {
            self.uncount(address);
        }
        *self.by_client.entry(client.clone()).or_default() += 1;
        self.known += 1;
        if let Some(entry) = self.conns.get_mut(&conn) {
            (entry.stage, entry.counted, entry.idle_since) = (Stage::Known, false, self.now);
            entry.client = Some(client.clone());
        }
        if calls == 0 {
            self.idle_known.insert((client.clone(), self.now, conn));
        }
        self.reserve.note(self.now, self.known);
        victim.map_or(Verdict::Accept, Verdict::Replace)
    }

    /// The longest idle connection of the client that holds most, if it holds more than so many.
    fn idle_of_largest(&self, more_than: usize) -> Option<Conn> {
        let by_open = self.by_client.iter().filter(|(_, open)| **open > more_than);
        let mut clients: Vec<_> = by_open.collect();
        clients.sort_by(|a, b| b.1.cmp(a.1).then_with(|| a.0.cmp(b.0)));
        let first = |client: &Arc<str>| {
            let from = (client.clone(), Duration::ZERO, Conn(0));
            self.idle_known.range(from..).next().filter(|e| e.0 == *client).map(|e| e.2)
        };
        clients.into_iter().find_map(|(client, _)| first(client))
    }

    fn uncount(&mut self, address: IpAddr) {
        count_down(&mut self.by_address, &address);
        let prefix = self.prefix(address);
        count_down(&mut self.by_prefix, &prefix);
    }

    /// A connection does something: it has so many calls standing or out.
    pub fn active(&mut self, now: Duration, conn: Conn, calls: u32) {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        // One on probation shows what it is or goes; whatever else it does changes nothing.
        if entry.stage.unproven() {
            return;
        }
        let before = std::mem::replace(&mut entry.idle_since, self.now);
        entry.calls = calls;
        match (&entry.stage, &entry.client) {
            (Stage::Known, Some(client)) => {
                let client = client.clone();
                let was = (client, before, conn);
                self.idle_known.remove(&was);
                if calls == 0 {
                    self.idle_known.insert((was.0, self.now, conn));
                }
            }
            _ => {
                self.idle.remove(&(before, conn));
                if calls == 0 {
                    self.idle.insert((self.now, conn));
                }
            }
        }
    }

    /// A connection has sent so many messages: how long it is not to be read. What it sends meanwhile waits in the
    /// sockets, and so with its sender.
    pub fn pace(&mut self, now: Duration, conn: Conn, messages: u32) -> Duration {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get_mut(&conn) else { return Duration::ZERO };
        let rate = if entry.stage == Stage::Known { &self.settings.pace.1 } else { &self.settings.pace.0 };
        entry.pace.charge(self.now, rate, messages)
    }

    /// Bytes that a connection may have worked on in one turn. One that sends more than it is worth has short turns,
    /// so that a hundred of them do not make a long round for those who wait.
    #[must_use]
    pub fn turn(&self, conn: Conn) -> usize {
        let known = self.conns.get(&conn).is_some_and(|e| e.stage == Stage::Known);
        if known { KNOWN_TURN } else { STRANGER_TURN }
    }

    /// So many bytes wait for a connection, which has taken so many in all.
    pub fn reads(&mut self, now: Duration, conn: Conn, waiting: usize, taken: u64) {
        self.now = self.now.max(now);
        let now = self.now;
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        entry.stuck = match entry.stuck {
            _ if waiting == 0 => None,
            Some((before, since)) if before == taken => Some((before, since)),
            _ => Some((taken, now)),
        };
    }

    /// Who is to be closed now: strangers that were idle for too long, those that do not read, and those whose time
    /// to show what they are is up. A connection with a call is never among them.
    pub fn sweep(&mut self, now: Duration) -> Vec<(Conn, Eviction)> {
        self.now = self.now.max(now);
        let now = self.now;
        let over = |since: Duration, limit: Duration| !limit.is_zero() && now - since >= limit;
        let settings = &self.settings;
        let idle = self.idle.iter().take_while(|(since, _)| over(*since, settings.idle));
        let mut out: Vec<(Conn, Eviction)> = idle.map(|(_, conn)| (*conn, Eviction::Idle)).collect();
        let on_probation = |conn: &Conn| self.conns.get(conn).is_some_and(|e| e.stage == Stage::Probation);
        let unproven = self.unproven.iter().take_while(|(since, _)| over(*since, settings.prove));
        let unproven = unproven.filter(|(_, conn)| on_probation(conn));
        out.extend(unproven.map(|(_, conn)| (*conn, Eviction::Unproven)));
        let stuck = |e: &Entry| e.calls == 0 && e.stuck.is_some_and(|(_, since)| over(since, settings.slow));
        let slow = self.conns.iter().filter(|(_, e)| stuck(e)).map(|(conn, _)| (*conn, Eviction::Slow));
        out.extend(slow.collect::<Vec<_>>());
        out.sort_unstable();
        out.dedup_by_key(|(conn, _)| *conn);
        for (conn, why) in &out {
            self.evict(*conn, *why);
        }
        out
    }

    /// A connection is gone.
    pub fn closed(&mut self, now: Duration, conn: Conn) {
        self.now = self.now.max(now);
        self.remove(conn);
    }

    fn remove(&mut self, conn: Conn) {
        let Some(entry) = self.conns.remove(&conn) else { return };
        match (entry.stage, &entry.client) {
            (Stage::Handshake | Stage::Probation, _) => {
                self.end_unproven(entry.idle_since, conn, entry.address, entry.counted);
            }
            (Stage::Known, Some(client)) => {
                self.known -= 1;
                count_down(&mut self.by_client, client);
                self.idle_known.remove(&(client.clone(), entry.idle_since, conn));
            }
            _ => drop(self.idle.remove(&(entry.idle_since, conn))),
        }
        if entry.counted {
            self.uncount(entry.address);
        }
    }

    /// Blocks an address for a time; `false` if too many are blocked already. Those that are open stay.
    pub fn block(&mut self, now: Duration, address: IpAddr, span: Duration) -> bool {
        self.now = self.now.max(now);
        let now = self.now;
        if self.blocked.len() >= MOST_BLOCKED {
            self.blocked.retain(|_, until| *until > now);
        }
        let room = self.blocked.len() < MOST_BLOCKED || self.blocked.contains_key(&address);
        if room {
            self.blocked.insert(address, now.saturating_add(span));
        }
        room
    }

    /// Frees an address: it is no longer blocked and owes nothing.
    pub fn free(&mut self, address: IpAddr) {
        self.blocked.remove(&address);
        self.limiter.forgive(address);
    }

    /// What is held and was refused, with the `most` largest holders of each kind.
    #[must_use]
    pub fn snapshot(&self, most: usize) -> Snapshot {
        fn largest<'a, K: ToString + 'a>(
            map: impl Iterator<Item = (&'a K, &'a usize)>,
            most: usize,
        ) -> Vec<Holding> {
            let mut all: Vec<Holding> =
                map.map(|(who, open)| Holding { who: who.to_string(), open: *open }).collect();
            all.sort_by(|a, b| b.open.cmp(&a.open).then_with(|| a.who.cmp(&b.who)));
            all.truncate(most);
            all
        }
        let left = |until: &Duration| until.checked_sub(self.now).filter(|left| !left.is_zero());
        Snapshot {
            open: self.conns.len(),
            handshakes: self.unproven.len(),
            known: self.known,
            reserve: self.reserve.size(),
            refused: self.refused.clone(),
            evicted: self.evicted.clone(),
            addresses: largest(self.by_address.iter(), most),
            clients: largest(self.by_client.iter(), most),
            blocked: self
                .blocked
                .iter()
                .filter_map(|(a, until)| left(until).map(|l| (*a, l)))
                .take(most)
                .collect(),
        }
    }

    /// Addresses whose rate is kept exactly now.
    #[must_use]
    pub fn addresses_held(&self) -> usize {
        self.limiter.held()
    }
}
