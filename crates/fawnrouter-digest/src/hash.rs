//! The digests of RFC 7616 §3.4, with the first and the last of the algorithms that RFC 8760 §2.1 lists.

use std::fmt;

use md5::Md5;
use sha2::{Digest as _, Sha256};

/// A hash algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Algorithm {
    /// SHA-256, which every client of RFC 8760 supports.
    Sha256,
    /// MD5, for old clients. It is broken, and refused unless the settings allow it.
    Md5,
}

impl Algorithm {
    /// Its name in header fields.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Sha256 => "SHA-256",
            Self::Md5 => "MD5",
        }
    }

    /// Parses the `algorithm` parameter. A field without it means MD5 (RFC 7616 §3.3).
    #[must_use]
    pub fn from_token(text: Option<&str>) -> Option<Self> {
        match text {
            None => Some(Self::Md5),
            Some(t) if t.eq_ignore_ascii_case("SHA-256") => Some(Self::Sha256),
            Some(t) if t.eq_ignore_ascii_case("MD5") => Some(Self::Md5),
            Some(_) => None,
        }
    }

    /// The hash of the parts joined by colons, as hex digits.
    fn hash_parts(self, parts: &[&str]) -> String {
        let text = parts.join(":");
        match self {
            Self::Sha256 => hex(&Sha256::digest(text.as_bytes())),
            Self::Md5 => hex(&Md5::digest(text.as_bytes())),
        }
    }

    /// The number of hex digits of a hash.
    #[must_use]
    pub const fn hex_length(self) -> usize {
        match self {
            Self::Sha256 => 64,
            Self::Md5 => 32,
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    use fmt::Write as _;
    bytes.iter().fold(String::new(), |mut out, b| {
        let _ = write!(out, "{b:02x}");
        out
    })
}

/// The text is not a hash of its algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a hash of {} has {} hex digits", .0.text(), .0.hex_length())]
pub struct HashError(pub Algorithm);

/// H(A1): the hash of name, realm and password. Within its realm it is equivalent to the password, so it must
/// never appear in a log.
#[derive(Clone, PartialEq, Eq)]
pub struct Ha1(String);

impl Ha1 {
    /// Parses the hex digits.
    ///
    /// # Errors
    /// If the text is not a hash of that algorithm.
    pub fn parse(algorithm: Algorithm, text: &str) -> Result<Self, HashError> {
        let valid = text.len() == algorithm.hex_length() && text.bytes().all(|b| b.is_ascii_hexdigit());
        if valid { Ok(Self(text.to_ascii_lowercase())) } else { Err(HashError(algorithm)) }
    }

    /// The hex digits, as they are written in the clients file.
    #[must_use]
    pub fn as_hex(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Ha1 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Ha1(hidden)")
    }
}

/// Computes H(A1) from a password (§3.4.2).
#[must_use]
pub fn ha1(algorithm: Algorithm, name: &str, realm: &str, password: &str) -> Ha1 {
    Ha1(algorithm.hash_parts(&[name, realm, password]))
}

/// The request digest with qop "auth" (§3.4.1): the hash of H(A1), the nonces and H(A2).
fn request_digest(
    algorithm: Algorithm,
    ha1: &Ha1,
    a2: &[&str],
    nonce: &str,
    nc: &str,
    cnonce: &str,
) -> String {
    let ha2 = algorithm.hash_parts(a2);
    algorithm.hash_parts(&[&ha1.0, nonce, nc, cnonce, "auth", &ha2])
}

/// The client's `response` to a challenge with qop "auth" (§3.4.1).
#[must_use]
pub fn client_response(
    algorithm: Algorithm,
    ha1: &Ha1,
    (method, uri): (&str, &str),
    nonce: &str,
    nc: &str,
    cnonce: &str,
) -> String {
    request_digest(algorithm, ha1, &[method, uri], nonce, nc, cnonce)
}

/// The server's `rspauth`, which proves that it knows the secret too (§3.5).
#[must_use]
pub fn server_response(
    algorithm: Algorithm,
    ha1: &Ha1,
    uri: &str,
    nonce: &str,
    nc: &str,
    cnonce: &str,
) -> String {
    request_digest(algorithm, ha1, &["", uri], nonce, nc, cnonce)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The example of RFC 7616 §3.9.1.
    #[test]
    fn the_example_of_rfc_7616_is_reproduced() {
        let nonce = "7ypf/xlj9XXwfDPEoM4URrv/xwf94BcCAzFZH4GiTo0v";
        let cnonce = "f2/wE4q74E6zIJEtWaHKaf5wv/H5QzzpXusqGemxURZJ";
        let rows = [
            (Algorithm::Sha256, "753927fa0e85d155564e2e272a28d1802ca10daf4496794697cf8db5856cb6c1"),
            (Algorithm::Md5, "8ca523f5e9506fed4657c9700eebdbec"),
        ];
        for (algorithm, expected) in rows {
            let ha1 = ha1(algorithm, "Mufasa", "http-auth@example.org", "Circle of Life");
            let response =
                client_response(algorithm, &ha1, ("GET", "/dir/index.html"), nonce, "00000001", cnonce);
            assert_eq!(response, expected, "{algorithm:?}");
            assert_eq!(Ha1::parse(algorithm, &ha1.as_hex().to_uppercase()), Ok(ha1.clone()));
            assert_eq!(format!("{ha1:?}"), "Ha1(hidden)");
        }
        assert_eq!(Ha1::parse(Algorithm::Sha256, "12ab"), Err(HashError(Algorithm::Sha256)));
    }
}
