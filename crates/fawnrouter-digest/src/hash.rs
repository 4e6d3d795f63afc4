//! Hashes of RFC 7616 §3.4, with the algorithms that RFC 8760 §2.1 lists first and last.

use std::fmt;

use md5::Md5;
use sha2::{Digest as _, Sha256};

/// An algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Algorithm {
    /// SHA-256, which every client of RFC 8760 knows.
    Sha256,
    /// MD5, for old clients; broken, and refused unless the settings ask for it.
    Md5,
}

impl Algorithm {
    /// As it is written in a field.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Sha256 => "SHA-256",
            Self::Md5 => "MD5",
        }
    }

    /// Reads it; a field without one means MD5 (RFC 7616 §3.3).
    #[must_use]
    pub fn from_token(text: Option<&str>) -> Option<Self> {
        match text {
            None => Some(Self::Md5),
            Some(t) if t.eq_ignore_ascii_case("SHA-256") => Some(Self::Sha256),
            Some(t) if t.eq_ignore_ascii_case("MD5") => Some(Self::Md5),
            Some(_) => None,
        }
    }

    /// The hash of parts with colons between them, as hex digits.
    fn of_parts(self, parts: &[&str]) -> String {
        let text = parts.join(":");
        match self {
            Self::Sha256 => hex(&Sha256::digest(text.as_bytes())),
            Self::Md5 => hex(&Md5::digest(text.as_bytes())),
        }
    }

    /// Hex digits of one of its hashes.
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

/// A text that is no hash of its algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a hash of {} has {} hex digits", .0.text(), .0.hex_length())]
pub struct HashError(pub Algorithm);

/// H(A1): the hash of name, realm and password. It is as good as the password within its realm, so that it never
/// shows in a log.
#[derive(Clone, PartialEq, Eq)]
pub struct Ha1(String);

impl Ha1 {
    /// Reads the hex digits.
    ///
    /// # Errors
    /// Where it is no hash of that algorithm.
    pub fn parse(algorithm: Algorithm, text: &str) -> Result<Self, HashError> {
        let sound = text.len() == algorithm.hex_length() && text.bytes().all(|b| b.is_ascii_hexdigit());
        if sound { Ok(Self(text.to_ascii_lowercase())) } else { Err(HashError(algorithm)) }
    }

    /// The hex digits, to be written into the file of clients.
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

/// H(A1) of a password (§3.4.2).
#[must_use]
pub fn ha1(algorithm: Algorithm, name: &str, realm: &str, password: &str) -> Ha1 {
    Ha1(algorithm.of_parts(&[name, realm, password]))
}

/// What both ends mix into an answer.
fn mixed(algorithm: Algorithm, ha1: &Ha1, a2: &[&str], nonce: &str, nc: &str, cnonce: &str) -> String {
    let ha2 = algorithm.of_parts(a2);
    algorithm.of_parts(&[&ha1.0, nonce, nc, cnonce, "auth", &ha2])
}

/// The client's answer to a challenge with qop "auth" (§3.4.1).
#[must_use]
pub fn client_response(
    algorithm: Algorithm,
    ha1: &Ha1,
    (method, uri): (&str, &str),
    nonce: &str,
    nc: &str,
    cnonce: &str,
) -> String {
    mixed(algorithm, ha1, &[method, uri], nonce, nc, cnonce)
}

/// The server's proof that it knows the secret too: `rspauth` (§3.5).
#[must_use]
pub fn server_response(
    algorithm: Algorithm,
    ha1: &Ha1,
    uri: &str,
    nonce: &str,
    nc: &str,
    cnonce: &str,
) -> String {
    mixed(algorithm, ha1, &["", uri], nonce, nc, cnonce)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The example of RFC 7616 §3.9.1.
    #[test]
    fn the_example_of_the_specification_comes_out() {
        let nonce = "7ypf/xlj9XXwfDPEoM4URrv/xwf94BcCAzFZH4GiTo0v";
        let cnonce = "f2/wE4q74E6zIJEtWaHKaf5wv/H5QzzpXusqGemxURZJ";
        let rows = [
            (Algorithm::Sha256, "753927fa0e85d155564e2e272a28d1802ca10daf4496794697cf8db5856cb6c1"),
            (Algorithm::Md5, "8ca523f5e9506fed4657c9700eebdbec"),
        ];
        for (algorithm, wanted) in rows {
            let ha1 = ha1(algorithm, "Mufasa", "http-auth@example.org", "Circle of Life");
            let got = client_response(algorithm, &ha1, ("GET", "/dir/index.html"), nonce, "00000001", cnonce);
            assert_eq!(got, wanted, "{algorithm:?}");
            assert_eq!(Ha1::parse(algorithm, &ha1.as_hex().to_uppercase()), Ok(ha1.clone()));
            assert_eq!(format!("{ha1:?}"), "Ha1(hidden)");
        }
        assert_eq!(Ha1::parse(Algorithm::Sha256, "12ab"), Err(HashError(Algorithm::Sha256)));
    }
}
