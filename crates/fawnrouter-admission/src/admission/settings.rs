//! The settings of the decision on connections.

use std::net::IpAddr;
use std::time::Duration;

use super::network::{Network, bits_of};
use crate::descriptors::Descriptors;
use crate::rate_limiter::Rate;
use crate::reserve::ReserveSettings;

/// Bits of an address that make its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixLengths {
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
    pub prefixes: PrefixLengths,
    /// Prefixes with a cap of their own, as a branch office behind one address needs it; the longest match counts,
    /// for the addresses in it too.
    pub exceptions: Vec<(IpAddr, u8, usize)>,
    /// New connections of one address.
    pub rate: Rate,
    /// Addresses whose rate is kept exactly.
    pub tracked_addresses: usize,
    /// Handshakes under way, and connections on probation, of all addresses.
    pub handshakes: usize,
    /// The same of one address.
    pub handshakes_per_address: usize,
    /// Networks of forwarders that are believed when they say where a connection comes from (RFC 7239). Their own
    /// addresses have no cap and no rate; what they name has.
    pub forwarders: Vec<(IpAddr, u8)>,
    /// A connection for which strangers have no place may stay this long to show that it is a known client's; zero
    /// where nobody can.
    pub probation_time: Duration,
    /// A stranger without a call that does nothing for this long is closed; zero: never.
    pub idle_timeout: Duration,
    /// A connection without a call that takes none of the bytes that wait for it for this long is closed; zero: never.
    pub slow_reader_timeout: Duration,
    /// Messages of a stranger's connection, and of a known client's; beyond it a connection is not read for a while.
    pub message_rates: (Rate, Rate),
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
        (self.reserve.min, self.reserve.max) = (part(self.reserve.min), part(self.reserve.max));
        (self.total, self.handshakes) = (total, handshakes);
        self
    }

    /// Whether a gateway can work with these settings.
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        self.check_caps()?;
        self.check_prefixes()?;
        if self.reserve.max.max(self.reserve.min) >= self.total {
            return Err(SettingsError::Reserve);
        }
        Ok(())
    }

    fn check_caps(&self) -> Result<(), SettingsError> {
        let caps = [
            (self.total, "total"),
            (self.per_address, "per_address"),
            (self.per_prefix, "per_prefix"),
            (self.handshakes, "handshakes"),
            (self.handshakes_per_address, "handshakes_per_address"),
            (self.per_client, "per_client"),
        ];
        match caps.into_iter().find(|(cap, _)| *cap == 0) {
            Some((_, name)) => Err(SettingsError::Zero(name)),
            None => Ok(()),
        }
    }

    fn check_prefixes(&self) -> Result<(), SettingsError> {
        let too_long = |address: IpAddr, bits: u8| bits > bits_of(address);
        let wrong = self.prefixes.v4 > 32
            || self.prefixes.v6 > 128
            || self.exceptions.iter().any(|(address, bits, _)| too_long(*address, *bits))
            || self.forwarders.iter().any(|(address, bits)| too_long(*address, *bits));
        if wrong { Err(SettingsError::Prefix) } else { Ok(()) }
    }

    /// The network that an address counts against.
    pub(super) fn network(&self, address: IpAddr) -> Network {
        let bits = if address.is_ipv4() { self.prefixes.v4 } else { self.prefixes.v6 };
        Network::of(address, bits)
    }

    /// The cap of an address's own exception, if it lies in one.
    pub(super) fn exception(&self, address: IpAddr) -> Option<usize> {
        let fits = |(prefix, bits, _): &&(IpAddr, u8, usize)| Network::of(*prefix, *bits).contains(address);
        self.exceptions.iter().filter(fits).max_by_key(|(_, bits, _)| *bits).map(|(_, _, cap)| *cap)
    }

    /// Whether an address is a forwarder's.
    pub(super) fn is_forwarder(&self, address: IpAddr) -> bool {
        self.forwarders.iter().any(|(prefix, bits)| Network::of(*prefix, *bits).contains(address))
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
