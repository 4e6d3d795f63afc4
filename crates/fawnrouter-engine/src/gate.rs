//! The checks before the controller: who a client is, and whether its set-up may proceed now. They are
//! implemented in `fawnrouter_digest` and `fawnrouter_admission`; the modules `authenticate` and
//! `set_up_admission` apply them.

use fawnrouter_admission::{SetUpAdmission, SetUpSettings};
use fawnrouter_digest::Authenticator;

use crate::identity::{AuthSettings, UnknownClients};

/// The checks before the controller; each may be off.
#[derive(Debug)]
pub(crate) struct Gate {
    /// Digest authentication, and how unknown clients are treated.
    pub authenticator: Option<(Authenticator, UnknownClients)>,
    /// Admission of set-ups.
    pub set_ups: Option<SetUpAdmission>,
}

impl Gate {
    pub fn new(auth: Option<AuthSettings>, set_ups: Option<SetUpSettings>) -> Self {
        let authenticator = auth.map(|a| (Authenticator::new(a.authenticator, a.key), a.unknown_clients));
        Self { authenticator, set_ups: set_ups.map(SetUpAdmission::new) }
    }
}
