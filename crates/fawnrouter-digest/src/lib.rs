#![forbid(unsafe_code)]
//! Who a client is: digest access authentication (RFC 7616) as SIP uses it (RFC 3261 §22, RFC 8760). No socket and no
//! clock: each call gets the time, and the same calls give the same answers.
//!
//! | module | what is in it |
//! | --- | --- |
//! | `credentials` | the Authorization field, with limits |
//! | `hash` | the algorithms, and what they make of a password |
//! | `nonce` | nonces that nobody has to remember |
//! | `authenticator` | the decision: known, challenged, refused |

mod authenticator;
mod credentials;
mod hash;
mod nonce;

pub use authenticator::{
    AuthOutcome, AuthState, Authenticator, AuthenticatorSettings, ChallengeReason, Request, Secret,
};
pub use credentials::{Credentials, CredentialsError};
pub use hash::{Algorithm, Ha1, HashError, client_response, ha1, server_response};
pub use nonce::{NonceError, NonceIssuer};
