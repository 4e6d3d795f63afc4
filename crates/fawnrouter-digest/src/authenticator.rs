//! Decides whether a request authenticates as a known client.
//!
//! A connection authenticates once and then belongs to that client. Each further authentication on it must
//! use a higher nonce count (`nc`) or a newer nonce, so that recorded credentials cannot be replayed even on
//! the same connection. The only state needed is one [`AuthState`] per connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use subtle::ConstantTimeEq;

use crate::credentials::{Credentials, escape_quoted};
use crate::hash::{Algorithm, Ha1, client_response, ha1, server_response};
use crate::nonce::{NonceError, NonceIssuer};

/// How clients authenticate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthenticatorSettings {
    /// The realm (RFC 3261 §22.1). It is shown to users and is part of each hash.
    pub realm: String,
    /// Whether to accept MD5 from clients that have an MD5 hash.
    pub md5: bool,
    /// How long a nonce is valid.
    pub nonce_lifetime: Duration,
    /// The number of failed attempts of one connection after which it is refused for good.
    pub max_failures: u32,
}

/// A known client's secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secret {
    /// Its SHA-256 hash.
    pub sha256: Ha1,
    /// Its MD5 hash, for old clients.
    pub md5: Option<Ha1>,
}

/// The authentication state of one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AuthState {
    /// The issue time in milliseconds of the last nonce used, and its last nonce count.
    last: Option<(u64, u32)>,
    failures: u32,
}

/// The request that carries the credentials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its URI, as sent.
    pub uri: &'a str,
}

/// Why a client is challenged, for counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChallengeReason {
    /// It sent no credentials, or requested a nonce.
    NoCredentials,
    /// Its nonce has expired, or was not issued here for this connection.
    Stale,
    /// The nonce count did not increase: a replay.
    Replay,
    /// The name is unknown or the secret is wrong. The client is not told which.
    WrongCredentials,
    /// The algorithm is not allowed.
    WeakAlgorithm,
    /// The header field is malformed, or belongs to another request.
    Unusable,
}

/// The decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthOutcome {
    /// The request comes from a known client.
    Known {
        /// The client's name.
        client: Arc<str>,
        /// The value of the Authentication-Info field for the response (RFC 7616 §3.5).
        info: String,
    },
    /// The client is to be challenged (again): 401.
    Challenge {
        /// Only the nonce was at fault, so that the client need not ask its user for the password.
        stale: bool,
        /// Why.
        reason: ChallengeReason,
    },
    /// Too many failed attempts: 403, and the connection should be closed.
    Refuse,
}

/// Authenticates requests.
#[derive(Clone, Debug)]
pub struct Authenticator {
    settings: AuthenticatorSettings,
    nonces: NonceIssuer,
    secrets: BTreeMap<Arc<str>, Secret>,
    /// SHA-256 and MD5 hashes that are checked for an unknown name, so that response times do not reveal
    /// which names exist.
    dummy_hashes: (Ha1, Ha1),
}

impl Authenticator {
    /// An authenticator without clients. `key` must be secret and new at each start.
    #[must_use]
    pub fn new(settings: AuthenticatorSettings, key: [u8; 32]) -> Self {
        let dummy_hash = |algorithm| ha1(algorithm, "", &settings.realm, "");
        let dummy_hashes = (dummy_hash(Algorithm::Sha256), dummy_hash(Algorithm::Md5));
        let nonces = NonceIssuer::new(key, settings.nonce_lifetime);
        Self { settings, nonces, secrets: BTreeMap::new(), dummy_hashes }
    }

    /// Replaces the secrets. Returns the names that were removed or now have another secret.
    pub fn set_secrets(&mut self, secrets: BTreeMap<Arc<str>, Secret>) -> Vec<Arc<str>> {
        let old = std::mem::replace(&mut self.secrets, secrets);
        let changed = |(name, secret): &(Arc<str>, Secret)| self.secrets.get(name) != Some(secret);
        old.into_iter().filter(changed).map(|(name, _)| name).collect()
    }

    /// The values of the WWW-Authenticate fields, one per algorithm, best algorithm first (RFC 8760 §2.3).
    #[must_use]
    pub fn challenge(&self, now: Duration, connection: u64, stale: bool) -> Vec<String> {
        let nonce = self.nonces.issue(now, connection);
        let stale = if stale { ", stale=true" } else { "" };
        let algorithms = [Some(Algorithm::Sha256), self.settings.md5.then_some(Algorithm::Md5)];
        let write = |algorithm: Algorithm| {
            let (realm, name) = (escape_quoted(&self.settings.realm), algorithm.text());
            format!("Digest realm=\"{realm}\", nonce=\"{nonce}\", qop=\"auth\", algorithm={name}{stale}")
        };
        algorithms.into_iter().flatten().map(write).collect()
    }

    /// Checks the credentials of a request: the values of its Authorization fields.
    pub fn check<'v>(
        &self,
        now: Duration,
        connection: u64,
        state: &mut AuthState,
        request: Request<'_>,
        values: impl Iterator<Item = &'v str>,
    ) -> AuthOutcome {
        let challenge =
            |reason| AuthOutcome::Challenge { stale: matches!(reason, ChallengeReason::Stale), reason };
        if state.failures >= self.settings.max_failures {
            return AuthOutcome::Refuse;
        }
        let mut candidates = values.map(Credentials::parse).filter_map(|parsed| match parsed {
            // Credentials for another realm (§22.3) and of other schemes are skipped.
            Ok(credentials) => (*credentials.realm == self.settings.realm).then_some(Ok(credentials)),
            Err(crate::CredentialsError::Scheme) => None,
            Err(error) => Some(Err(error)),
        });
        let credentials = match candidates.next() {
            None => return challenge(ChallengeReason::NoCredentials),
            Some(Err(_)) => return self.fail(state, ChallengeReason::Unusable),
            Some(Ok(credentials)) => credentials,
        };
        if credentials.nonce.is_empty() {
            return challenge(ChallengeReason::NoCredentials);
        }
        if credentials.uri != request.uri {
            return self.fail(state, ChallengeReason::Unusable);
        }
        if credentials.algorithm == Algorithm::Md5 && !self.settings.md5 {
            return self.fail(state, ChallengeReason::WeakAlgorithm);
        }
        let issued_ms = match self.nonces.check(now, connection, &credentials.nonce) {
            Ok(issued_ms) => issued_ms,
            Err(NonceError::Expired) => return challenge(ChallengeReason::Stale),
            // Happens after a reconnection, when the client still uses the nonce of the earlier connection.
            Err(NonceError::Invalid) => return challenge(ChallengeReason::Stale),
        };
        let known = self.secrets.get_key_value(&*credentials.username);
        let ha1 = match (known, credentials.algorithm) {
            (Some((_, secret)), Algorithm::Sha256) => Some(&secret.sha256),
            (Some((_, secret)), Algorithm::Md5) => secret.md5.as_ref(),
            (None, _) => None,
        };
        let (dummy_sha256, dummy_md5) = &self.dummy_hashes;
        let dummy = if credentials.algorithm == Algorithm::Md5 { dummy_md5 } else { dummy_sha256 };
        let (algorithm, nonce, nc) = (credentials.algorithm, &*credentials.nonce, &*credentials.nc.0);
        let cnonce = &*credentials.cnonce;
        let method_and_uri = (request.method, request.uri);
        let expected = client_response(algorithm, ha1.unwrap_or(dummy), method_and_uri, nonce, nc, cnonce);
        let given = credentials.response.to_ascii_lowercase();
        let matches = bool::from(expected.as_bytes().ct_eq(given.as_bytes()));
        let (Some((client, _)), Some(ha1), true) = (known, ha1, matches) else {
            return self.fail(state, ChallengeReason::WrongCredentials);
        };
        // Checked after the secret, so that a forged nonce count cannot lock out the client itself.
        let nonce_use = (issued_ms, credentials.nc.1);
        if credentials.nc.1 == 0 || state.last.is_some_and(|last| nonce_use <= last) {
            return self.fail(state, ChallengeReason::Replay);
        }
        *state = AuthState { last: Some(nonce_use), failures: 0 };
        let rspauth = server_response(algorithm, ha1, request.uri, nonce, nc, cnonce);
        let cnonce = escape_quoted(cnonce);
        let mut info = format!("qop=auth, rspauth=\"{rspauth}\", cnonce=\"{cnonce}\", nc={nc}");
        // A nonce past half of its lifetime is replaced before it expires.
        let age = now.saturating_sub(Duration::from_millis(issued_ms));
        if age > self.nonces.lifetime() / 2 {
            info += &format!(", nextnonce=\"{}\"", self.nonces.issue(now, connection));
        }
        AuthOutcome::Known { client: client.clone(), info }
    }

    /// Counts a failed attempt.
    fn fail(&self, state: &mut AuthState, reason: ChallengeReason) -> AuthOutcome {
        state.failures += 1;
        if state.failures >= self.settings.max_failures {
            return AuthOutcome::Refuse;
        }
        AuthOutcome::Challenge { stale: false, reason }
    }
}
