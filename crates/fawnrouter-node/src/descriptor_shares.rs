//! How the process's descriptors are divided, before any is used.
//!
//! Clients that connect and send nothing can use up the clients' share and no other: the name server can be
//! queried, the configuration read and core switches dialled whatever clients do.

/// Descriptors outside the shares: three standard streams, three of the reactor, two for signals, the
/// listener, the name server's socket and its replacement at SIGHUP, the configuration file, the connection
/// that is being accepted, and three spare ones.
const RESERVED_DESCRIPTORS: usize = 16;

/// How many descriptors each use may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Clients' connections that are served: half, as callers keep to a third; fewer where the reserve needs
    /// them.
    pub clients: usize,
    /// Connections to core switches: a quarter.
    pub links: usize,
    /// Clients' connections that are being closed: an eighth.
    pub closing: usize,
}

impl DescriptorShares {
    /// Divides this many descriptors.
    #[must_use]
    pub fn divide(descriptors: usize) -> Self {
        let (links, closing) = (descriptors / 4, descriptors / 8);
        let rest = descriptors.saturating_sub(links + closing + RESERVED_DESCRIPTORS);
        Self { clients: (descriptors / 2).min(rest).max(1), links: links.max(1), closing }
    }

    /// Most client connections, served or being closed.
    #[must_use]
    pub fn max_client_connections(&self) -> usize {
        self.clients + self.closing
    }
}
