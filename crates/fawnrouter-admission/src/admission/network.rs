//! Networks: an address prefix and its length.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The addresses that share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Network {
    prefix: IpAddr,
    bits: u8,
}

impl Network {
    /// The network that contains an address, with a prefix of `bits` bits.
    pub(super) fn containing(address: IpAddr, bits: u8) -> Self {
        Self { prefix: prefix_of(address, bits), bits }
    }

    /// Whether an address lies in this network.
    pub(super) fn contains(self, address: IpAddr) -> bool {
        self == Self::containing(address, self.bits)
    }
}

/// The length in bits of an address.
pub(super) fn address_bits(address: IpAddr) -> u8 {
    if address.is_ipv4() { 32 } else { 128 }
}

/// The address with all bits after the prefix cleared.
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
