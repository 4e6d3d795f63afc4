//! How the descriptors that the process may hold are divided, before any is taken.
//!
//! A crowd that connects and says nothing can take its own share and no other's: the name server is asked, the
//! configuration read and core switches are dialled whatever callers do.

/// Descriptors that are nobody's share: three standard streams, three of the reactor's, two of the signals', the listener,
/// the name server's socket and the next one at SIGHUP, the configuration file, the connection that is just being
/// accepted, and three more.
const RESERVED: usize = 16;

/// What each part may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Callers' connections that are served: a half, as callers keep to a third; less where the reserve needs it.
    pub clients: usize,
    /// Connections to core switches: a quarter.
    pub links: usize,
    /// Callers' connections on their way out: an eighth.
    pub closing: usize,
}

impl DescriptorShares {
    /// The division of this many.
    #[must_use]
    pub fn divide(descriptors: usize) -> Self {
        let (links, closing) = (descriptors / 4, descriptors / 8);
        let rest = descriptors.saturating_sub(links + closing + RESERVED);
        Self { clients: (descriptors / 2).min(rest).max(1), links: links.max(1), closing }
    }

    /// Callers' connections at once, served or on their way out.
    #[must_use]
    pub fn max_client_connections(&self) -> usize {
        self.clients + self.closing
    }
}
