//! The decision on each connection.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::time::Duration;

use crate::limiter::{Limiter, Rate};
use crate::reserve::{Reserve, ReserveSettings};

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
    /// Connections in all.
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
    /// Handshakes under way, of all addresses.
    pub handshakes: usize,
    /// Handshakes under way of one address.
    pub handshakes_per_address: usize,
    /// The part kept for known clients.
    pub reserve: ReserveSettings,
    /// Connections of one known client, where it has no limit of its own.
    pub per_client: usize,
    /// The shortest time that those refused for a cap are told to stay away; they are spread over as much again.
    pub retry_after: Duration,
    /// Keys the sketch and the spread.
    pub seed: u64,
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
        }
    }
}

/// The decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It gets in.
    Accept,
    /// It gets in, and this one is closed to make room for it: a stranger without a call, idle for longest.
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
    Stranger,
    Known,
}

#[derive(Debug)]
struct Entry {
    address: IpAddr,
    stage: Stage,
    client: Option<Arc<str>>,
    /// Calls standing or out.
    calls: u32,
    /// Since when it has been idle.
    idle_since: Duration,
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
    /// Handshakes under way.
    pub handshakes: usize,
    /// Connections of known clients.
    pub known: usize,
    /// Places kept for known clients.
    pub reserve: usize,
    /// Refusals by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// The addresses that hold most, most first.
    pub addresses: Vec<Holding>,
    /// The known clients that hold most, most first.
    pub clients: Vec<Holding>,
    /// Addresses that an operator has blocked, with the time that is left.
    pub blocked: Vec<(IpAddr, Duration)>,
}

/// Addresses that an operator may block at once.
const MOST_BLOCKED: usize = 10_000;

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limiter: Limiter,
    reserve: Reserve,
    conns: BTreeMap<Conn, Entry>,
    by_address: BTreeMap<IpAddr, usize>,
    by_prefix: BTreeMap<(IpAddr, u8), usize>,
    handshakes_by_address: BTreeMap<IpAddr, usize>,
    by_client: BTreeMap<Arc<str>, usize>,
    client_limits: BTreeMap<Arc<str>, usize>,
    /// Strangers without a call, idle for longest first.
    idle: BTreeSet<(Duration, Conn)>,
    handshakes: usize,
    known: usize,
    blocked: BTreeMap<IpAddr, Duration>,
    refused: BTreeMap<Reason, u64>,
    spread: u64,
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
        let exceptions = settings.exceptions.iter().any(|(a, bits, _)| too_long(a, *bits));
        if settings.prefixes.v4 > 32 || settings.prefixes.v6 > 128 || exceptions {
            return Err(SettingsError::Prefix);
        }
        if settings.reserve.most.max(settings.reserve.least) >= settings.total {
            return Err(SettingsError::Reserve);
        }
        Ok(Self {
            limiter: Limiter::new(settings.rate, settings.addresses, settings.seed),
            reserve: Reserve::new(settings.reserve),
            settings,
            conns: BTreeMap::new(),
            by_address: BTreeMap::new(),
            by_prefix: BTreeMap::new(),
            handshakes_by_address: BTreeMap::new(),
            by_client: BTreeMap::new(),
            client_limits: BTreeMap::new(),
            idle: BTreeSet::new(),
            handshakes: 0,
            known: 0,
            blocked: BTreeMap::new(),
            refused: BTreeMap::new(),
            spread: 0,
            now: Duration::ZERO,
        })
    }

    /// Gives known clients limits of their own.
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
        // A low-discrepancy sequence (golden ratio): those refused together come back one after the other.
        self.spread = self.spread.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let part = (self.spread ^ self.settings.seed) as f64 / u64::MAX as f64;
        let retry_after = least.max(self.settings.retry_after) + self.settings.retry_after.mul_f64(part);
        Verdict::Refuse { reason, retry_after }
    }

    /// Places that strangers may use now.
    fn for_strangers(&self) -> usize {
        let unused = self.reserve.size().saturating_sub(self.known);
        self.settings.total.saturating_sub(self.known + unused)
    }

    /// A connection has come. If it gets in, it is in its handshake.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Verdict {
        self.now = self.now.max(now);
        self.reserve.note(self.now, self.known);
        let Arrival { conn, address } = arrival;
        if let Some(until) = self.blocked.get(&address).copied() {
            if until > self.now {
                return self.refuse(Reason::Blocked, until - self.now);
            }
            self.blocked.remove(&address);
        }
        let exception = self.exception(address);
        let of_address = self.by_address.get(&address).copied().unwrap_or(0);
        let prefix = self.prefix(address);
        let of_prefix = self.by_prefix.get(&prefix).copied().unwrap_or(0);
        let shaking = self.handshakes_by_address.get(&address).copied().unwrap_or(0);
        if of_address >= exception.unwrap_or(self.settings.per_address) {
            return self.refuse(Reason::Address, Duration::ZERO);
        }
        if of_prefix >= exception.unwrap_or(0).max(self.settings.per_prefix) {
            return self.refuse(Reason::Prefix, Duration::ZERO);
        }
        if shaking >= self.settings.handshakes_per_address || self.handshakes >= self.settings.handshakes {
            return self.refuse(Reason::Handshakes, Duration::ZERO);
        }
        // Last of the checks that concern the address alone: a refusal above must not use up its rate.
        if let Err(wait) = self.limiter.arrive(self.now, address) {
            return self.refuse(Reason::Rate, wait);
        }
        // Who it is shows only later: until then everybody is a stranger, and a handshake may use the whole room, or
        // known clients could not get as far as saying who they are.
        if self.conns.len() >= self.settings.total {
            let Some((_, victim)) = self.idle.first().copied() else {
                return self.refuse(Reason::Full, Duration::ZERO);
            };
            self.remove(victim);
            self.insert(conn, address);
            return Verdict::Replace(victim);
        }
        self.insert(conn, address);
        Verdict::Accept
    }

    fn insert(&mut self, conn: Conn, address: IpAddr) {
        let prefix = self.prefix(address);
        *self.by_address.entry(address).or_default() += 1;
        *self.by_prefix.entry(prefix).or_default() += 1;
        *self.handshakes_by_address.entry(address).or_default() += 1;
        self.handshakes += 1;
        let (stage, client, calls, idle_since) = (Stage::Handshake, None, 0, self.now);
        self.conns.insert(conn, Entry { address, stage, client, calls, idle_since });
    }

    /// A handshake is done without saying who it is: a stranger, who may use what is not kept for known clients.
    pub fn shaken(&mut self, now: Duration, conn: Conn) -> Verdict {
        self.now = self.now.max(now);
        let strangers = self.conns.len() - self.known - self.handshakes;
        let Some(entry) = self.conns.get(&conn).filter(|e| e.stage == Stage::Handshake) else {
            return Verdict::Accept;
        };
        let address = entry.address;
        if strangers >= self.for_strangers() {
            self.remove(conn);
            return self.refuse(Reason::Reserved, Duration::ZERO);
        }
        self.end_handshake(address);
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.stage = Stage::Stranger;
            entry.idle_since = self.now;
        }
        self.idle.insert((self.now, conn));
        Verdict::Accept
    }

    fn end_handshake(&mut self, address: IpAddr) {
        self.handshakes -= 1;
        count_down(&mut self.handshakes_by_address, &address);
    }

    /// A connection has shown that it is a known client's. It no longer counts against its address and prefix, so
    /// that a branch office behind one address is not shut out by its neighbours.
    pub fn known(&mut self, now: Duration, conn: Conn, client: &Arc<str>) -> Verdict {
        self.now = self.now.max(now);
        let Some(entry) = self.conns.get(&conn).filter(|e| e.stage != Stage::Known) else {
            return Verdict::Accept;
        };
        let (address, stage, idle_since) = (entry.address, entry.stage, entry.idle_since);
        let held = self.by_client.get(client).copied().unwrap_or(0);
        let limit = self.client_limits.get(client).copied().unwrap_or(self.settings.per_client);
        if held >= limit {
            self.remove(conn);
            return self.refuse(Reason::Client, Duration::ZERO);
        }
        if stage == Stage::Handshake {
            self.end_handshake(address);
        }
        self.idle.remove(&(idle_since, conn));
        self.uncount(address);
        *self.by_client.entry(client.clone()).or_default() += 1;
        self.known += 1;
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.stage = Stage::Known;
            entry.client = Some(client.clone());
        }
        self.reserve.note(self.now, self.known);
        Verdict::Accept
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
        self.idle.remove(&(entry.idle_since, conn));
        entry.idle_since = self.now;
        entry.calls = calls;
        if entry.stage == Stage::Stranger && calls == 0 {
            self.idle.insert((self.now, conn));
        }
    }

    /// A connection is gone.
    pub fn closed(&mut self, now: Duration, conn: Conn) {
        self.now = self.now.max(now);
        self.remove(conn);
    }

    fn remove(&mut self, conn: Conn) {
        let Some(entry) = self.conns.remove(&conn) else { return };
        self.idle.remove(&(entry.idle_since, conn));
        match entry.stage {
            Stage::Handshake => {
                self.end_handshake(entry.address);
                self.uncount(entry.address);
            }
            Stage::Stranger => self.uncount(entry.address),
            Stage::Known => {
                self.known -= 1;
                if let Some(client) = &entry.client {
                    count_down(&mut self.by_client, client);
                }
            }
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
            handshakes: self.handshakes,
            known: self.known,
            reserve: self.reserve.size(),
            refused: self.refused.clone(),
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
