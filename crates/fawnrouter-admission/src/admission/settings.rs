//! The settings of connection admission.

use std::net::IpAddr;
use std::time::Duration;

use super::network::{Network, address_bits};
use crate::descriptors::Descriptors;
use crate::rate_limiter::Rate;
use crate::reserve::ReserveSettings;

/// Prefix lengths, in bits, of the networks that addresses are counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixLengths {
    /// For IPv4, 32 at most.
    pub v4: u8,
    /// For IPv6, 128 at most.
    pub v6: u8,
}

/// The settings of connection admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// The most connections in total, not counting those in handshake or on probation (`handshakes`).
    pub total: usize,
    /// The most unknown clients' connections from one address.
    pub per_address: usize,
    /// The most unknown clients' connections from one network.
    pub per_network: usize,
    /// The prefix lengths of networks.
    pub prefixes: PrefixLengths,
    /// Networks (address, prefix length) with a connection limit of their own, as a branch office behind one
    /// address needs it. The longest match applies, to each single address in the network too.
    pub exceptions: Vec<(IpAddr, u8, usize)>,
    /// The rate of new connections from one address.
    pub rate: Rate,
    /// The number of addresses whose rate is tracked exactly.
    pub tracked_addresses: usize,
    /// The most handshakes and connections on probation, from all addresses.
    pub handshakes: usize,
    /// The most handshakes and connections on probation, from one address.
    pub handshakes_per_address: usize,
    /// Networks of forwarders that are trusted to name the source of a connection (RFC 7239). Their own
    /// addresses have no limit and no rate; the addresses that they name have.
    pub forwarders: Vec<(IpAddr, u8)>,
    /// How long a connection may stay to authenticate as a known client when there is no slot for unknown
    /// clients. Zero where clients cannot authenticate.
    pub probation_time: Duration,
    /// An unknown client's connection without a call is closed after this idle time; zero: never.
    pub idle_timeout: Duration,
    /// A connection without a call is closed when the peer has taken none of the waiting bytes for this long;
    /// zero: never.
    pub slow_reader_timeout: Duration,
    /// Message rates of an unknown client's connection and of a known client's. A connection that exceeds its
    /// rate is not read for a while.
    pub message_rates: (Rate, Rate),
    /// The slots reserved for known clients.
    pub reserve: ReserveSettings,
    /// The most connections of a known client that has no limit of its own.
    pub per_client: usize,
    /// The shortest retry time of a refusal for a limit. Retry times are spread over as much again.
    pub retry_after: Duration,
    /// Seeds the rate limiter's sketch and the spread of retry times.
    pub seed: u64,
}

impl AdmissionSettings {
    /// Limits connections and handshakes to the available descriptors. The bounds of the reserve are scaled
    /// with the connections.
    #[must_use]
    pub fn within(mut self, descriptors: &Descriptors) -> Self {
        let (total, handshakes) = descriptors.divide(self.total, self.handshakes);
        let scaled = |n: usize| (n as u128 * total as u128 / self.total.max(1) as u128) as usize;
        (self.reserve.min, self.reserve.max) = (scaled(self.reserve.min), scaled(self.reserve.max));
        (self.total, self.handshakes) = (total, handshakes);
        self
    }

    /// Validates the settings.
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        self.check_limits()?;
        self.check_prefixes()?;
        if self.reserve.max.max(self.reserve.min) >= self.total {
            return Err(SettingsError::Reserve);
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = [
            (self.total, "total"),
            (self.per_address, "per_address"),
            // The error text has another name for this field.
            (self.per_network, "per_prefix"),
            (self.handshakes, "handshakes"),
            (self.handshakes_per_address, "handshakes_per_address"),
            (self.per_client, "per_client"),
        ];
        match limits.into_iter().find(|(limit, _)| *limit == 0) {
            Some((_, name)) => Err(SettingsError::Zero(name)),
            None => Ok(()),
        }
    }

    fn check_prefixes(&self) -> Result<(), SettingsError> {
        let too_long = |address: IpAddr, bits: u8| bits > address_bits(address);
        let invalid = self.prefixes.v4 > 32
            || self.prefixes.v6 > 128
            || self.exceptions.iter().any(|(address, bits, _)| too_long(*address, *bits))
            || self.forwarders.iter().any(|(address, bits)| too_long(*address, *bits));
        if invalid { Err(SettingsError::Prefix) } else { Ok(()) }
    }

    /// The network that an address counts against.
    pub(super) fn network(&self, address: IpAddr) -> Network {
        let bits = if address.is_ipv4() { self.prefixes.v4 } else { self.prefixes.v6 };
        Network::containing(address, bits)
    }

    /// The connection limit of the exception with the longest prefix that contains an address, if any.
    pub(super) fn exception(&self, address: IpAddr) -> Option<usize> {
        let matches =
            |(prefix, bits, _): &&(IpAddr, u8, usize)| Network::containing(*prefix, *bits).contains(address);
        self.exceptions.iter().filter(matches).max_by_key(|(_, bits, _)| *bits).map(|(_, _, limit)| *limit)
    }

    /// Whether the address belongs to a trusted forwarder.
    pub(super) fn is_forwarder(&self, address: IpAddr) -> bool {
        self.forwarders.iter().any(|(prefix, bits)| Network::containing(*prefix, *bits).contains(address))
    }
}

/// Invalid settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A limit is zero.
    #[error("{0} is zero: nobody could connect")]
    Zero(&'static str),
    /// A prefix is longer than its address.
    #[error("a prefix is longer than an address")]
    Prefix,
    /// The reserve leaves no slot for connections that have yet to authenticate.
    #[error("the reserve takes all connections and leaves none for clients that have yet to authenticate")]
    Reserve,
}
