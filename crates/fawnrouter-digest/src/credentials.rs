//! The Authorization field (RFC 7616 §3.4; grammar of RFC 3261 §25.1, `credentials`).

use std::borrow::Cow;

use crate::hash::Algorithm;

/// Parameters of one field; more are an attack or a mistake.
const MOST_PARAMS: usize = 32;
/// Bytes of one value.
const LONGEST_VALUE: usize = 1024;

/// Why a field cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum CredentialsError {
    /// Another scheme, such as Basic: not ours to judge.
    #[error("the scheme is not Digest")]
    Scheme,
    /// Quotes or commas are at fault.
    #[error("the parameters cannot be read")]
    Syntax,
    /// More or longer parameters than anybody needs.
    #[error("too many or too long parameters")]
    TooLarge,
    /// A parameter stands twice, which two readers might read in two ways.
    #[error("a parameter stands twice")]
    Duplicate,
    /// A parameter that must be there is not.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// An algorithm that is not known.
    #[error("the algorithm is not known")]
    Algorithm,
    /// Not the protection that was asked for.
    #[error("qop is not auth")]
    Qop,
    /// The count of uses is not eight hex digits.
    #[error("nc is not eight hex digits")]
    NonceCount,
}

/// What a client says to show who it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials<'a> {
    /// Its name.
    pub username: Cow<'a, str>,
    /// Where the name belongs.
    pub realm: Cow<'a, str>,
    /// The server's nonce; empty to ask for one (as in 3GPP TS 24.229 §5.1.1.2).
    pub nonce: Cow<'a, str>,
    /// The request's URI.
    pub uri: Cow<'a, str>,
    /// The answer, hex digits.
    pub response: Cow<'a, str>,
    /// The algorithm.
    pub algorithm: Algorithm,
    /// The client's nonce.
    pub cnonce: Cow<'a, str>,
    /// How often the nonce has been used, this time included: as written, and its value.
    pub nc: (Cow<'a, str>, u32),
}

impl<'a> Credentials<'a> {
    /// Reads the value of a field.
    ///
    /// # Errors
    /// See [`CredentialsError`].
    pub fn parse(value: &'a str) -> Result<Self, CredentialsError> {
        let (scheme, rest) = value.trim().split_once([' ', '\t']).unwrap_or((value.trim(), ""));
        if !scheme.eq_ignore_ascii_case("Digest") {
            return Err(CredentialsError::Scheme);
        }
        let params = params(rest)?;
        let get =
            |name: &'static str| params.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|p| &p.1);
        let must = |name| get(name).cloned().ok_or(CredentialsError::Missing(name));
        let username = must("username")?;
        let (realm, nonce) = (must("realm")?, must("nonce")?);
        let algorithm =
            Algorithm::from_token(get("algorithm").map(AsRef::as_ref)).ok_or(CredentialsError::Algorithm)?;
        let empty = || Cow::Borrowed("");
        if nonce.is_empty() {
            let nc = (empty(), 0);
            let (uri, response, cnonce) = (empty(), empty(), empty());
            return Ok(Self { username, realm, nonce, uri, response, algorithm, cnonce, nc });
        }
        if !must("qop")?.eq_ignore_ascii_case("auth") {
            return Err(CredentialsError::Qop);
        }
        let nc = must("nc")?;
        let count = u32::from_str_radix(&nc, 16).ok();
        let count = count.filter(|_| nc.len() == 8 && nc.bytes().all(|b| b.is_ascii_hexdigit()));
        let nc = (nc, count.ok_or(CredentialsError::NonceCount)?);
        let (uri, response, cnonce) = (must("uri")?, must("response")?, must("cnonce")?);
        if cnonce.is_empty() {
            return Err(CredentialsError::Missing("cnonce"));
        }
        Ok(Self { username, realm, nonce, uri, response, algorithm, cnonce, nc })
    }

    /// Writes the field's value, for a client.
    #[must_use]
    pub fn write(&self) -> String {
        let mut out = format!(
            "Digest username=\"{}\", realm=\"{}\", nonce=\"{}\", uri=\"{}\", response=\"{}\", algorithm={}",
            quoted(&self.username),
            quoted(&self.realm),
            quoted(&self.nonce),
            quoted(&self.uri),
            quoted(&self.response),
            self.algorithm.text()
        );
        if !self.nonce.is_empty() {
            out += &format!(", qop=auth, cnonce=\"{}\", nc={}", quoted(&self.cnonce), self.nc.0);
        }
        out
    }
}

/// Escapes what may not stand in quotes as it is.
pub(crate) fn quoted(text: &str) -> Cow<'_, str> {
    if text.contains(['"', '\\']) {
        text.replace('\\', "\\\\").replace('"', "\\\"").into()
    } else {
        text.into()
    }
}

type Params<'a> = Vec<(&'a str, Cow<'a, str>)>;

fn params(text: &str) -> Result<Params<'_>, CredentialsError> {
    let mut out: Params<'_> = Vec::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (name, after) = rest.split_once('=').ok_or(CredentialsError::Syntax)?;
        let name = name.trim();
        let token = |b: u8| b.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&b);
        if name.is_empty() || !name.bytes().all(token) {
            return Err(CredentialsError::Syntax);
        }
        let after = after.trim_start();
        let (value, next) = match after.strip_prefix('"') {
            Some(inner) => quoted_value(inner)?,
            None => {
                let end = after.find(',').unwrap_or(after.len());
                let value = after[..end].trim();
                if value.is_empty() || !value.bytes().all(token) {
                    return Err(CredentialsError::Syntax);
                }
                (Cow::Borrowed(value), &after[end..])
            }
        };
        if out.len() >= MOST_PARAMS || value.len() > LONGEST_VALUE {
            return Err(CredentialsError::TooLarge);
        }
        if out.iter().any(|(n, _)| n.eq_ignore_ascii_case(name)) {
            return Err(CredentialsError::Duplicate);
        }
        out.push((name, value));
        rest = match next.trim_start() {
            "" => "",
            next => next.strip_prefix(',').ok_or(CredentialsError::Syntax)?.trim_start(),
        };
    }
    Ok(out)
}

/// A value up to its closing quote, and what follows.
fn quoted_value(inner: &str) -> Result<(Cow<'_, str>, &str), CredentialsError> {
    let mut unescaped: Option<String> = None;
    let mut chars = inner.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => {
                let value = match unescaped {
                    Some(text) => Cow::Owned(text),
                    None => Cow::Borrowed(&inner[..at]),
                };
                return Ok((value, &inner[at + 1..]));
            }
            '\\' => {
                let text = unescaped.get_or_insert_with(|| inner[..at].to_owned());
                text.push(chars.next().ok_or(CredentialsError::Syntax)?.1);
            }
            c if c < ' ' && c != '\t' => return Err(CredentialsError::Syntax),
            c => {
                if let Some(text) = &mut unescaped {
                    text.push(c);
                }
            }
        }
    }
    Err(CredentialsError::Syntax)
}
