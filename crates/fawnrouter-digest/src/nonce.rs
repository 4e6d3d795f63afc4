//! Nonces that nobody has to remember (RFC 7616 §3.3, §5.4): the time, and a keyed hash of it with the connection that
//! the nonce was made for. A flood of requests for nonces so takes no memory, and a nonce that was overheard is of no
//! use on another connection.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Why a nonce is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NonceError {
    /// Not one of ours, or of another connection, or of a time to come.
    #[error("the nonce is not ours")]
    Invalid,
    /// Ours, and too old.
    #[error("the nonce is too old")]
    Expired,
}

/// Bytes of the keyed hash that go into a nonce.
const MAC_BYTES: usize = 16;

/// Makes nonces and knows them again.
#[derive(Clone)]
pub struct NonceIssuer {
    key: [u8; 32],
    life: Duration,
}

impl std::fmt::Debug for NonceIssuer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NonceIssuer").field("life", &self.life).finish_non_exhaustive()
    }
}

impl NonceIssuer {
    /// Nonces under this key, which is to be secret and fresh at each start.
    #[must_use]
    pub const fn new(key: [u8; 32], life: Duration) -> Self {
        Self { key, life }
    }

    /// How long a nonce is good for.
    #[must_use]
    pub const fn lifetime(&self) -> Duration {
        self.life
    }

    fn mac(&self, at_ms: u64, connection: u64) -> [u8; MAC_BYTES] {
        let mut out = [0; MAC_BYTES];
        // HMAC takes keys of any length, so that this cannot fail.
        if let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.key) {
            mac.update(&at_ms.to_be_bytes());
            mac.update(&connection.to_be_bytes());
            out.copy_from_slice(&mac.finalize().into_bytes()[..MAC_BYTES]);
        }
        out
    }

    /// A nonce for a connection.
    #[must_use]
    pub fn issue(&self, now: Duration, connection: u64) -> String {
        let at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let mut bytes = at_ms.to_be_bytes().to_vec();
        bytes.extend(self.mac(at_ms, connection));
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// When a nonce was made, milliseconds, if it is ours and good.
    ///
    /// # Errors
    /// See [`NonceError`].
    pub fn check(&self, now: Duration, connection: u64, nonce: &str) -> Result<u64, NonceError> {
        // A text of another length is not worth decoding.
        if nonce.len() != (8 + MAC_BYTES).div_ceil(3) * 4 {
            return Err(NonceError::Invalid);
        }
        let bytes = URL_SAFE_NO_PAD.decode(nonce).map_err(|_| NonceError::Invalid)?;
        let (time, mac) = bytes.split_at_checked(8).ok_or(NonceError::Invalid)?;
        let at_ms = u64::from_be_bytes(time.try_into().map_err(|_| NonceError::Invalid)?);
        let same = subtle::ConstantTimeEq::ct_eq(mac, &self.mac(at_ms, connection)[..]);
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        if !bool::from(same) || at_ms > now_ms {
            return Err(NonceError::Invalid);
        }
        let life = u64::try_from(self.life.as_millis()).unwrap_or(u64::MAX);
        if now_ms - at_ms > life { Err(NonceError::Expired) } else { Ok(at_ms) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_nonce_is_good_for_its_time_on_its_connection_under_its_key() {
        let s = Duration::from_secs;
        let nonces = NonceIssuer::new([7; 32], s(300));
        let nonce = nonces.issue(s(1000), 5);
        assert_eq!(nonces.check(s(1000), 5, &nonce), Ok(1_000_000));
        assert_eq!(nonces.check(s(1300), 5, &nonce), Ok(1_000_000));
        assert_eq!(nonces.check(s(1301), 5, &nonce), Err(NonceError::Expired));
        assert_eq!(nonces.check(s(1000), 6, &nonce), Err(NonceError::Invalid));
        assert_eq!(nonces.check(s(999), 5, &nonce), Err(NonceError::Invalid), "of a time to come");
        assert_eq!(NonceIssuer::new([8; 32], s(300)).check(s(1000), 5, &nonce), Err(NonceError::Invalid));
        for at in 0..nonce.len() {
            let mut bytes = nonce.clone().into_bytes();
            bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
            let forged = String::from_utf8(bytes).expect("ASCII");
            assert!(nonces.check(s(1000), 5, &forged).is_err(), "{at}");
        }
        assert_eq!(nonces.check(s(1000), 5, ""), Err(NonceError::Invalid));
    }
}
