//! The Authorization header field (RFC 7616 §3.4; grammar of RFC 3261 §25.1, `credentials`).

use std::borrow::Cow;

use crate::hash::Algorithm;

/// The most parameters of one field; more are an attack or a mistake.
const MAX_PARAMS: usize = 32;
/// The most bytes of one parameter value.
const MAX_VALUE_BYTES: usize = 1024;

/// Why a field cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum CredentialsError {
    /// Another scheme, such as Basic, which is not handled here.
    #[error("the scheme is not Digest")]
    Scheme,
    /// The parameters are not well-formed.
    #[error("the parameters are malformed")]
    Syntax,
    /// There are more parameters, or longer ones, than the limits allow.
    #[error("too many or too long parameters")]
    TooLarge,
    /// A parameter occurs twice, and two parsers might pick different ones.
    #[error("a parameter occurs twice")]
    Duplicate,
    /// A required parameter is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The algorithm is not supported.
    #[error("the algorithm is not supported")]
    Algorithm,
    /// The quality of protection is not the one that was requested.
    #[error("qop is not auth")]
    Qop,
    /// The nonce count is not eight hex digits.
    #[error("nc is not eight hex digits")]
    NonceCount,
}

/// The credentials that a client sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials<'a> {
    /// The client's name.
    pub username: Cow<'a, str>,
    /// The realm that the name belongs to.
    pub realm: Cow<'a, str>,
    /// The server's nonce; empty to request one (as in 3GPP TS 24.229 §5.1.1.2).
    pub nonce: Cow<'a, str>,
    /// The request's URI.
    pub uri: Cow<'a, str>,
    /// The response, in hex digits.
    pub response: Cow<'a, str>,
    /// The hash algorithm.
    pub algorithm: Algorithm,
    /// The client's nonce.
    pub cnonce: Cow<'a, str>,
    /// The nonce count, this use included: as written, and its value.
    pub nc: (Cow<'a, str>, u32),
}

impl<'a> Credentials<'a> {
    /// Parses the value of a header field.
    ///
    /// # Errors
    /// See [`CredentialsError`].
    pub fn parse(value: &'a str) -> Result<Self, CredentialsError> {
        let (scheme, rest) = value.trim().split_once([' ', '\t']).unwrap_or((value.trim(), ""));
        if !scheme.eq_ignore_ascii_case("Digest") {
            return Err(CredentialsError::Scheme);
        }
        let params = parse_params(rest)?;
        let get =
            |name: &'static str| params.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|p| &p.1);
        let required = |name| get(name).cloned().ok_or(CredentialsError::Missing(name));
        let username = required("username")?;
        let (realm, nonce) = (required("realm")?, required("nonce")?);
        let algorithm =
            Algorithm::from_token(get("algorithm").map(AsRef::as_ref)).ok_or(CredentialsError::Algorithm)?;
        let empty = || Cow::Borrowed("");
        if nonce.is_empty() {
            let nc = (empty(), 0);
            let (uri, response, cnonce) = (empty(), empty(), empty());
            return Ok(Self { username, realm, nonce, uri, response, algorithm, cnonce, nc });
        }
        if !required("qop")?.eq_ignore_ascii_case("auth") {
            return Err(CredentialsError::Qop);
        }
        let nc = required("nc")?;
        let count = u32::from_str_radix(&nc, 16).ok();
        let count = count.filter(|_| nc.len() == 8 && nc.bytes().all(|b| b.is_ascii_hexdigit()));
        let nc = (nc, count.ok_or(CredentialsError::NonceCount)?);
        let (uri, response, cnonce) = (required("uri")?, required("response")?, required("cnonce")?);
        if cnonce.is_empty() {
            return Err(CredentialsError::Missing("cnonce"));
        }
        Ok(Self { username, realm, nonce, uri, response, algorithm, cnonce, nc })
    }

    /// The value of the header field, as a client sends it.
    #[must_use]
    pub fn write(&self) -> String {
        let mut out = format!(
            "Digest username=\"{}\", realm=\"{}\", nonce=\"{}\", uri=\"{}\", response=\"{}\", algorithm={}",
            escape_quoted(&self.username),
            escape_quoted(&self.realm),
            escape_quoted(&self.nonce),
            escape_quoted(&self.uri),
            escape_quoted(&self.response),
            self.algorithm.text()
        );
        if !self.nonce.is_empty() {
            out += &format!(", qop=auth, cnonce=\"{}\", nc={}", escape_quoted(&self.cnonce), self.nc.0);
        }
        out
    }
}

/// Escapes quotes and backslashes for a quoted string.
pub(crate) fn escape_quoted(text: &str) -> Cow<'_, str> {
    if text.contains(['"', '\\']) {
        text.replace('\\', "\\\\").replace('"', "\\\"").into()
    } else {
        text.into()
    }
}

type Params<'a> = Vec<(&'a str, Cow<'a, str>)>;

fn parse_params(text: &str) -> Result<Params<'_>, CredentialsError> {
    let mut params: Params<'_> = Vec::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let (name, after) = rest.split_once('=').ok_or(CredentialsError::Syntax)?;
        let name = name.trim();
        let is_token = |b: u8| b.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&b);
        if name.is_empty() || !name.bytes().all(is_token) {
            return Err(CredentialsError::Syntax);
        }
        let after = after.trim_start();
        let (value, next) = match after.strip_prefix('"') {
            Some(inner) => parse_quoted(inner)?,
            None => {
                let end = after.find(',').unwrap_or(after.len());
                let value = after[..end].trim();
                if value.is_empty() || !value.bytes().all(is_token) {
                    return Err(CredentialsError::Syntax);
                }
                (Cow::Borrowed(value), &after[end..])
            }
        };
        if params.len() >= MAX_PARAMS || value.len() > MAX_VALUE_BYTES {
            return Err(CredentialsError::TooLarge);
        }
        if params.iter().any(|(n, _)| n.eq_ignore_ascii_case(name)) {
            return Err(CredentialsError::Duplicate);
        }
        params.push((name, value));
        rest = match next.trim_start() {
            "" => "",
            next => next.strip_prefix(',').ok_or(CredentialsError::Syntax)?.trim_start(),
        };
    }
    Ok(params)
}

/// The value up to its closing quote, and the text after it.
fn parse_quoted(inner: &str) -> Result<(Cow<'_, str>, &str), CredentialsError> {
    let mut unescaped: Option<String> = None;
    let mut chars = inner.char_indices();
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => {
                let value = match unescaped {
                    Some(text) => Cow::Owned(text),
                    None => Cow::Borrowed(&inner[..index]),
                };
                return Ok((value, &inner[index + 1..]));
            }
            '\\' => {
                let text = unescaped.get_or_insert_with(|| inner[..index].to_owned());
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
