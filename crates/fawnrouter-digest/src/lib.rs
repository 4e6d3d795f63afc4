#![forbid(unsafe_code)]
//! Authenticates clients by digest access authentication (RFC 7616) as SIP uses it (RFC 3261 §22, RFC 8760).
//! No socket and no clock: each call gets the time, and the same calls give the same results.
//!
//! | module | contents |
//! | --- | --- |
//! | `credentials` | the Authorization header field, with size limits |
//! | `hash` | the hash algorithms and the digests of RFC 7616 |
//! | `nonce` | nonces that need no server state |
//! | `authenticator` | the decision on a request: known client, challenge or refusal |

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
