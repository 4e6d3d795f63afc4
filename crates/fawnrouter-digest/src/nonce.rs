//! Nonces that need no server state (RFC 7616 §3.3, §5.4): the time, and a keyed hash of the time and of the
//! connection that the nonce was issued for. A flood of requests for nonces therefore takes no memory, and an
//! intercepted nonce is of no use on another connection.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Why a nonce is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NonceError {
    /// Not issued here, or issued for another connection, or dated in the future.
    #[error("the nonce was not issued here for this connection")]
    Invalid,
    /// Issued here, but too long ago.
    #[error("the nonce is too old")]
    Expired,
}

/// The length of the keyed hash in a nonce. The hash is truncated to it.
const MAC_BYTES: usize = 16;

/// Issues and checks nonces.
#[derive(Clone)]
pub struct NonceIssuer {
    key: [u8; 32],
    lifetime: Duration,
}

impl std::fmt::Debug for NonceIssuer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NonceIssuer").field("lifetime", &self.lifetime).finish_non_exhaustive()
    }
}

impl NonceIssuer {
    /// An issuer with this key, which must be secret and new at each start, and a lifetime of its nonces.
    #[must_use]
    pub const fn new(key: [u8; 32], lifetime: Duration) -> Self {
        Self { key, lifetime }
    }

    /// How long a nonce is valid.
    #[must_use]
    pub const fn lifetime(&self) -> Duration {
        self.lifetime
    }

    fn mac(&self, issued_ms: u64, connection: u64) -> [u8; MAC_BYTES] {
        let mut out = [0; MAC_BYTES];
        // HMAC accepts keys of any length, so this cannot fail.
        if let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.key) {
            mac.update(&issued_ms.to_be_bytes());
            mac.update(&connection.to_be_bytes());
            out.copy_from_slice(&mac.finalize().into_bytes()[..MAC_BYTES]);
        }
        out
    }

    /// Issues a nonce for a connection.
    #[must_use]
    pub fn issue(&self, now: Duration, connection: u64) -> String {
        let issued_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let mut bytes = issued_ms.to_be_bytes().to_vec();
        bytes.extend(self.mac(issued_ms, connection));
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The time in milliseconds at which a valid nonce was issued.
    ///
    /// # Errors
    /// See [`NonceError`].
    pub fn check(&self, now: Duration, connection: u64, nonce: &str) -> Result<u64, NonceError> {
        // Texts of another length are rejected without decoding.
        if nonce.len() != (8 + MAC_BYTES).div_ceil(3) * 4 {
            return Err(NonceError::Invalid);
        }
        let bytes = URL_SAFE_NO_PAD.decode(nonce).map_err(|_| NonceError::Invalid)?;
        let (time, mac) = bytes.split_at_checked(8).ok_or(NonceError::Invalid)?;
        let issued_ms = u64::from_be_bytes(time.try_into().map_err(|_| NonceError::Invalid)?);
        let matches = subtle::ConstantTimeEq::ct_eq(mac, &self.mac(issued_ms, connection)[..]);
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        if !bool::from(matches) || issued_ms > now_ms {
            return Err(NonceError::Invalid);
        }
        let lifetime_ms = u64::try_from(self.lifetime.as_millis()).unwrap_or(u64::MAX);
        if now_ms - issued_ms > lifetime_ms { Err(NonceError::Expired) } else { Ok(issued_ms) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_nonce_is_valid_for_its_lifetime_on_its_connection_under_its_key() {
        let s = Duration::from_secs;
        let nonces = NonceIssuer::new([7; 32], s(300));
        let nonce = nonces.issue(s(1000), 5);
        assert_eq!(nonces.check(s(1000), 5, &nonce), Ok(1_000_000));
        assert_eq!(nonces.check(s(1300), 5, &nonce), Ok(1_000_000));
        assert_eq!(nonces.check(s(1301), 5, &nonce), Err(NonceError::Expired));
        assert_eq!(nonces.check(s(1000), 6, &nonce), Err(NonceError::Invalid));
        assert_eq!(nonces.check(s(999), 5, &nonce), Err(NonceError::Invalid), "issued in the future");
        assert_eq!(NonceIssuer::new([8; 32], s(300)).check(s(1000), 5, &nonce), Err(NonceError::Invalid));
        for index in 0..nonce.len() {
            let mut bytes = nonce.clone().into_bytes();
            bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
            let forged = String::from_utf8(bytes).expect("ASCII");
            assert!(nonces.check(s(1000), 5, &forged).is_err(), "{index}");
        }
        assert_eq!(nonces.check(s(1000), 5, ""), Err(NonceError::Invalid));
    }
}
