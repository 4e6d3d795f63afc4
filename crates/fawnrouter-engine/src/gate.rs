//! The decisions that stand before the controller: who a client is, and whether its set-up's turn has come. Both are
//! made elsewhere (`fawnrouter_digest`, `fawnrouter_admission`); `identify` and `set_up_admission` bring them about.

use fawnrouter_admission::{SetUpAdmission, SetUpSettings};
use fawnrouter_digest::Authenticator;

use crate::identity::{AuthSettings, UnknownClients};

/// The decisions that stand before the controller; each may be off.
#[derive(Debug)]
pub(crate) struct Gate {
    pub guard: Option<(Authenticator, UnknownClients)>,
    pub set_ups: Option<SetUpAdmission>,
}

impl Gate {
    pub fn new(auth: Option<AuthSettings>, set_ups: Option<SetUpSettings>) -> Self {
        let guard = auth.map(|a| (Authenticator::new(a.guard, a.key), a.unknown_clients));
        Self { guard, set_ups: set_ups.map(SetUpAdmission::new) }
    }
}
