//! Whether a request shows that it is a known client's.
//!
//! A connection proves itself once and is then known; each further proof on it must use the nonce a further time
//! (`nc` rises), so that a recorded one is of no use even there. What has to be remembered is one [`AuthState`] a
//! connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use subtle::ConstantTimeEq;

use crate::credentials::{Credentials, quoted};
use crate::hash::{Algorithm, Ha1, client_response, ha1, server_response};
use crate::nonce::{NonceError, NonceIssuer};

/// How clients show who they are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthenticatorSettings {
    /// The realm (RFC 3261 §22.1): it is shown to people and is part of each hash.
    pub realm: String,
    /// Whether MD5 is taken from clients that have such a hash.
    pub md5: bool,
    /// How long a nonce is good for.
    pub nonce_lifetime: Duration,
    /// Wrong answers of one connection before it is refused for good.
    pub max_failures: u32,
}

/// A known client's secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secret {
    /// Its hash by SHA-256.
    pub sha256: Ha1,
    /// Its hash by MD5, for old clients.
    pub md5: Option<Ha1>,
}

/// What one connection has shown so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AuthState {
    /// The last nonce's time and its last count.
    last: Option<(u64, u32)>,
    failures: u32,
}

/// The request that credentials come with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its URI, as sent.
    pub uri: &'a str,
}

/// Why a client is not known, for counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChallengeReason {
    /// It said nothing of itself, or asked for a nonce.
    NoCredentials,
    /// The nonce was ours once.
    Stale,
    /// The count did not rise: a replay.
    Replay,
    /// A name that is not known, or a wrong secret: which of the two is not told.
    WrongCredentials,
    /// An algorithm that is not allowed.
    WeakAlgorithm,
    /// The field cannot be used, or names another request.
    Unusable,
}

/// The decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthOutcome {
    /// It is this client. The text is the Authentication-Info of the answer (RFC 7616 §3.5).
    Known {
        /// Its name.
        client: Arc<str>,
        /// The field's value.
        info: String,
    },
    /// It is to be asked (again): 401.
    Challenge {
        /// The nonce was the only thing at fault, so that the client need not ask its user.
        stale: bool,
        /// Why.
        reason: ChallengeReason,
    },
    /// Too many wrong answers: 403, and the connection is not worth keeping.
    Refuse,
}

/// The decisions.
#[derive(Clone, Debug)]
pub struct Authenticator {
    settings: AuthenticatorSettings,
    nonces: NonceIssuer,
    secrets: BTreeMap<Arc<str>, Secret>,
    /// Checked in place of an unknown client's, so that the time taken does not tell which names there are.
    nobody: (Ha1, Ha1),
}

impl Authenticator {
    /// A guard who knows nobody yet; `key` is to be secret and fresh at each start.
    #[must_use]
    pub fn new(settings: AuthenticatorSettings, key: [u8; 32]) -> Self {
        let nobody = |algorithm| ha1(algorithm, "", &settings.realm, "");
        let nobody = (nobody(Algorithm::Sha256), nobody(Algorithm::Md5));
        let nonces = NonceIssuer::new(key, settings.nonce_lifetime);
        Self { settings, nonces, secrets: BTreeMap::new(), nobody }
    }

    /// Replaces the secrets; the names that are gone or have another secret now are returned.
    pub fn set_secrets(&mut self, secrets: BTreeMap<Arc<str>, Secret>) -> Vec<Arc<str>> {
        let old = std::mem::replace(&mut self.secrets, secrets);
        let changed = |(name, secret): &(Arc<str>, Secret)| self.secrets.get(name) != Some(secret);
        old.into_iter().filter(changed).map(|(name, _)| name).collect()
    }

    /// The values of WWW-Authenticate, best algorithm first (RFC 8760 §2.3), a field for each.
    #[must_use]
    pub fn challenge(&self, now: Duration, connection: u64, stale: bool) -> Vec<String> {
        let nonce = self.nonces.issue(now, connection);
        let stale = if stale { ", stale=true" } else { "" };
        let algorithms = [Some(Algorithm::Sha256), self.settings.md5.then_some(Algorithm::Md5)];
        let write = |algorithm: Algorithm| {
            let (realm, name) = (quoted(&self.settings.realm), algorithm.text());
            format!("Digest realm=\"{realm}\", nonce=\"{nonce}\", qop=\"auth\", algorithm={name}{stale}")
        };
        algorithms.into_iter().flatten().map(write).collect()
    }

    /// Judges the credentials of a request on a connection: the values of its Authorization fields.
    pub fn check<'v>(
        &self,
        now: Duration,
        connection: u64,
        proof: &mut AuthState,
        request: Request<'_>,
        values: impl Iterator<Item = &'v str>,
    ) -> AuthOutcome {
        let ask = |reason| AuthOutcome::Challenge { stale: matches!(reason, ChallengeReason::Stale), reason };
        if proof.failures >= self.settings.max_failures {
            return AuthOutcome::Refuse;
        }
        let mut seen = values.map(Credentials::parse).filter_map(|parsed| match parsed {
            // Credentials for somebody else (§22.3) and other schemes are passed over.
            Ok(credentials) => (*credentials.realm == self.settings.realm).then_some(Ok(credentials)),
            Err(crate::CredentialsError::Scheme) => None,
            Err(error) => Some(Err(error)),
        });
        let credentials = match seen.next() {
            None => return ask(ChallengeReason::NoCredentials),
            Some(Err(_)) => return self.wrong(proof, ChallengeReason::Unusable),
            Some(Ok(credentials)) => credentials,
        };
        if credentials.nonce.is_empty() {
            return ask(ChallengeReason::NoCredentials);
        }
        if credentials.uri != request.uri {
            return self.wrong(proof, ChallengeReason::Unusable);
        }
        if credentials.algorithm == Algorithm::Md5 && !self.settings.md5 {
            return self.wrong(proof, ChallengeReason::WeakAlgorithm);
        }
        let made = match self.nonces.check(now, connection, &credentials.nonce) {
            Ok(made) => made,
            Err(NonceError::Expired) => return ask(ChallengeReason::Stale),
            // As after a reconnection, where the client still holds the nonce of the connection before.
            Err(NonceError::Invalid) => return ask(ChallengeReason::Stale),
        };
        let known = self.secrets.get_key_value(&*credentials.username);
        let ha1 = match (known, credentials.algorithm) {
            (Some((_, secret)), Algorithm::Sha256) => Some(&secret.sha256),
            (Some((_, secret)), Algorithm::Md5) => secret.md5.as_ref(),
            (None, _) => None,
        };
        let nobody = if credentials.algorithm == Algorithm::Md5 { &self.nobody.1 } else { &self.nobody.0 };
        let (algorithm, nonce, nc) = (credentials.algorithm, &*credentials.nonce, &*credentials.nc.0);
        let cnonce = &*credentials.cnonce;
        let wanted = client_response(
            algorithm,
            ha1.unwrap_or(nobody),
            (request.method, request.uri),
            nonce,
            nc,
            cnonce,
        );
        let given = credentials.response.to_ascii_lowercase();
        let same = bool::from(wanted.as_bytes().ct_eq(given.as_bytes()));
        let (Some((client, _)), Some(ha1), true) = (known, ha1, same) else {
            return self.wrong(proof, ChallengeReason::WrongCredentials);
        };
        // After the secret, so that a forged count cannot shut out the client itself.
        let use_now = (made, credentials.nc.1);
        if credentials.nc.1 == 0 || proof.last.is_some_and(|last| use_now <= last) {
            return self.wrong(proof, ChallengeReason::Replay);
        }
        *proof = AuthState { last: Some(use_now), failures: 0 };
        let server_response = server_response(algorithm, ha1, request.uri, nonce, nc, cnonce);
        let mut info =
            format!("qop=auth, rspauth=\"{server_response}\", cnonce=\"{}\", nc={nc}", quoted(cnonce));
        // A nonce past half of its life is replaced before it fails.
        let age = now.saturating_sub(Duration::from_millis(made));
        if age > self.nonces.lifetime() / 2 {
            info += &format!(", nextnonce=\"{}\"", self.nonces.issue(now, connection));
        }
        AuthOutcome::Known { client: client.clone(), info }
    }

    fn wrong(&self, proof: &mut AuthState, reason: ChallengeReason) -> AuthOutcome {
        proof.failures += 1;
        if proof.failures >= self.settings.max_failures {
            return AuthOutcome::Refuse;
        }
        AuthOutcome::Challenge { stale: false, reason }
    }
}
