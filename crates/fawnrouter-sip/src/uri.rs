//! URIs: sip and sips (RFC 3261 §19.1), tel (RFC 3966), and the trunk group parameters of both (RFC 4904).

use std::borrow::Cow;

use crate::value::Params;

/// Why a URI cannot be used, with the status of the response (RFC 3261 §8.2.2.1, §16.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UriError {
    /// It does not follow the grammar: 400.
    #[error("the URI cannot be read")]
    Malformed,
    /// The gateway does not route URIs of this scheme: 416.
    #[error("the URI's scheme is not known")]
    Scheme,
}

/// A trunk group (RFC 4904 §4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrunkGroup<'a> {
    /// `tgrp`: the group's label.
    pub label: &'a str,
    /// `trunk-context`: the context in which the label is unique; required with `tgrp`.
    pub context: &'a str,
}

/// The parts of a URI that routing uses. They are not unescaped; see [`Uri::number`] and [`unescape`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uri<'a> {
    /// Whether the scheme is `sips`.
    pub secure: bool,
    /// Whether the scheme is `tel`; then `user` is the number and `host` is empty.
    pub is_tel: bool,
    /// The user part without its password, but with its own parameters (RFC 3261 §19.1.6).
    pub user: &'a str,
    /// The host; an IPv6 address keeps its brackets.
    pub host: &'a str,
    /// The port.
    pub port: Option<u16>,
    /// The URI's parameters.
    pub params: Params<'a>,
}

impl<'a> Uri<'a> {
    /// Parses a URI.
    ///
    /// # Errors
    /// See [`UriError`].
    pub fn parse(text: &'a str) -> Result<Self, UriError> {
        let (scheme, rest) = text.split_once(':').ok_or(UriError::Malformed)?;
        if scheme.is_empty() || !scheme.bytes().all(|b| b.is_ascii_alphanumeric() || b"+-.".contains(&b)) {
            return Err(UriError::Malformed);
        }
        if text.bytes().any(|b| b <= b' ' || b == 0x7f || matches!(b, b'<' | b'>' | b'"'))
            || !escapes_are_valid(rest)
        {
            return Err(UriError::Malformed);
        }
        if scheme.eq_ignore_ascii_case("tel") {
            let end = rest.find(';').unwrap_or(rest.len());
            let (user, params) = rest.split_at(end);
            let is_tel_char = |b: u8| b.is_ascii_hexdigit() || b"+-.()*#".contains(&b);
            if user.is_empty() || !user.bytes().all(is_tel_char) {
                return Err(UriError::Malformed);
            }
            return Ok(Self {
                secure: false,
                is_tel: true,
                user,
                host: "",
                port: None,
                params: Params(params),
            });
        }
        let secure = scheme.eq_ignore_ascii_case("sips");
        if !secure && !scheme.eq_ignore_ascii_case("sip") {
            return Err(UriError::Scheme);
        }
        let rest = rest.split_once('?').map_or(rest, |(r, headers)| {
            // If an '@' follows, the '?' is part of the user part (§25.1 user-unreserved).
            if headers.contains('@') { rest } else { r }
        });
        let (user, host_part) = match rest.rsplit_once('@') {
            Some((user, host_part)) => (user.split_once(':').map_or(user, |(u, _)| u), host_part),
            None => ("", rest),
        };
        let host_part = host_part.split_once('?').map_or(host_part, |(p, _)| p);
        let end = host_part.find(';').unwrap_or(host_part.len());
        let (host_port, params) = host_part.split_at(end);
        let (host, port) = match host_port.strip_prefix('[') {
            Some(inner) => {
                let close = inner.find(']').ok_or(UriError::Malformed)?;
                let after = &inner[close + 1..];
                (&host_port[..close + 2], after.strip_prefix(':').or((!after.is_empty()).then_some("x")))
            }
            None => host_port.split_once(':').map_or((host_port, None), |(h, p)| (h, Some(p))),
        };
        let port = port.map(|p| p.parse::<u16>().map_err(|_| UriError::Malformed)).transpose()?;
        let host_ok =
            !host.is_empty() && host.bytes().all(|b| b.is_ascii_alphanumeric() || b"-.:[]_".contains(&b));
        if !host_ok || (user.is_empty() && rest.contains('@')) {
            return Err(UriError::Malformed);
        }
        Ok(Self { secure, is_tel: false, user, host, port, params: Params(params) })
    }

    /// The number or name that is called: the unescaped user part without its parameters. A telephone number
    /// also loses its visual separators (RFC 3966 §5.1.1).
    #[must_use]
    pub fn number(&self) -> Cow<'a, str> {
        let user = self.user.split_once(';').map_or(self.user, |(u, _)| u);
        let plain = unescape(user);
        let is_phone_number = plain.bytes().all(|b| b.is_ascii_digit() || b"+-.()*#".contains(&b));
        if is_phone_number && plain.bytes().any(|b| b"-.()".contains(&b)) {
            return Cow::Owned(plain.chars().filter(|c| !"-.()".contains(*c)).collect());
        }
        plain
    }

    /// The trunk group that the caller selects, in the user part of a sip URI or the parameters of a tel URI.
    #[must_use]
    pub fn trunk_group(&self) -> Option<TrunkGroup<'a>> {
        let params = if self.is_tel { self.params } else { Params(&self.user[self.user.find(';')?..]) };
        params
            .get("tgrp")
            .zip(params.get("trunk-context"))
            .map(|(label, context)| TrunkGroup { label, context })
    }
}

fn escapes_are_valid(text: &str) -> bool {
    let bytes = text.as_bytes();
    memchr::memchr_iter(b'%', bytes)
        .all(|at| bytes.get(at + 1..at + 3).is_some_and(|hex| hex.iter().all(u8::is_ascii_hexdigit)))
}

/// Decodes `%` escapes (RFC 3261 §19.1.2). Text that would not be UTF-8 afterwards stays escaped.
#[must_use]
pub fn unescape(text: &str) -> Cow<'_, str> {
    if !text.contains('%') {
        return Cow::Borrowed(text);
    }
    let mut out = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).filter(|_| *first == b'%').and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                rest = &tail[2..];
            }
            None => {
                out.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8(out).map_or(Cow::Borrowed(text), Cow::Owned)
}
