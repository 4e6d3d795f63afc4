//! Values of header fields: lists, parameters, addresses, Via, CSeq and Reason (RFC 3261 §20, §25.1; RFC
//! 3326).

/// A value of a header field cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} cannot be read")]
pub struct ValueError(
    /// The value that cannot be read.
    pub &'static str,
);

/// Characters of a token (§25.1).
pub(crate) const fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric()
        || matches!(b, b'-' | b'.' | b'!' | b'%' | b'*' | b'_' | b'+' | b'`' | b'\'' | b'~')
}

/// The offset of the first `wanted` outside quotes and angle brackets.
fn find_unquoted(text: &str, wanted: u8) -> Option<usize> {
    let (mut quoted, mut escaped, mut angle) = (false, false, false);
    for (at, b) in text.bytes().enumerate() {
        match b {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b if b == wanted && !angle => return Some(at),
            b'<' => angle = true,
            b'>' => angle = false,
            _ => {}
        }
    }
    None
}

/// Splits the value of a field that may hold several values between commas.
pub fn split_values(text: &str) -> impl Iterator<Item = &str> {
    let mut rest = Some(text);
    std::iter::from_fn(move || {
        let text = rest?;
        let (value, next) = match find_unquoted(text, b',') {
            Some(at) => (&text[..at], Some(&text[at + 1..])),
            None => (text, None),
        };
        rest = next;
        Some(value.trim())
    })
    .filter(|v| !v.is_empty())
}

/// The first of several values.
#[must_use]
pub fn first_value(text: &str) -> &str {
    split_values(text).next().unwrap_or("")
}

/// The parameters after a value: `;name=value;flag`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Params<'a>(pub &'a str);

impl<'a> Params<'a> {
    /// Each parameter with its value, if it has one.
    pub fn iter(self) -> impl Iterator<Item = (&'a str, Option<&'a str>)> {
        let mut rest = self.0;
        std::iter::from_fn(move || {
            let text = rest.trim_start().strip_prefix(';')?;
            let end = find_unquoted(text, b';').unwrap_or(text.len());
            let param = text[..end].trim();
            rest = &text[end..];
            Some(match param.split_once('=') {
                Some((name, value)) => (name.trim(), Some(value.trim().trim_matches('"'))),
                None => (param, None),
            })
        })
    }

    /// The value of a parameter; names are compared without case. A flag has an empty value.
    #[must_use]
    pub fn get(self, name: &str) -> Option<&'a str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.unwrap_or(""))
    }

    /// Whether the parameters follow the grammar.
    fn is_valid(self) -> bool {
        let start = self.0.trim_start();
        (start.is_empty() || start.starts_with(';'))
            && self.iter().all(|(n, _)| !n.is_empty() && n.bytes().all(is_token))
    }
}

/// An address with its parameters: From, To, Contact, Route, Record-Route (§20.10).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address<'a> {
    /// The display name, with its quotes if there are any.
    pub display: &'a str,
    /// The URI.
    pub uri: &'a str,
    /// The parameters after the URI.
    pub params: Params<'a>,
}

impl<'a> Address<'a> {
    /// Parses one address. Without angle brackets, parameters belong to the field and not to the URI (§20).
    ///
    /// # Errors
    /// If quotes or brackets do not close, or there is no URI.
    pub fn parse(text: &'a str) -> Result<Self, ValueError> {
        let err = ValueError("an address");
        let text = text.trim();
        let (display, uri, params) = match find_unquoted(text, b'<') {
            Some(open) => {
                let close = open + text[open..].find('>').ok_or(err)?;
                (text[..open].trim(), &text[open + 1..close], &text[close + 1..])
            }
            None => {
                let end = text.find(';').unwrap_or(text.len());
                ("", text[..end].trim(), &text[end..])
            }
        };
        let scheme = uri.split_once(':').map_or("", |(s, _)| s);
        let quotes = display.bytes().filter(|b| *b == b'"').count();
        let display_ok = match display.strip_prefix('"') {
            // A quoted name has a closing quote, and nothing between that quote and the bracket.
            Some(rest) => {
                rest.len() > find_closing_quote(rest).unwrap_or(usize::MAX - 1) && rest.ends_with('"')
            }
            None => quotes == 0 && !display.contains([',', ';', ':', '@', '<', '>']),
        };
        let valid = !scheme.is_empty()
            && scheme.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'+' | b'-' | b'.'))
            && !uri.bytes().any(|b| b <= b' ' || b == b'"' || b == b'<' || b == b'>')
            && uri.len() > scheme.len() + 1
            && display_ok
            && Params(params).is_valid();
        if valid { Ok(Self { display, uri, params: Params(params) }) } else { Err(err) }
    }

    /// The tag parameter.
    #[must_use]
    pub fn tag(&self) -> Option<&'a str> {
        self.params.get("tag").filter(|t| !t.is_empty())
    }
}

/// The offset of the first quote that is not escaped.
fn find_closing_quote(rest: &str) -> Option<usize> {
    let mut escaped = false;
    rest.bytes().position(|b| {
        let closes = b == b'"' && !escaped;
        escaped = b == b'\\' && !escaped;
        closes
    })
}

/// A Via value (§20.42, RFC 3581, RFC 7118 §5.2, RFC 7339 §4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Via<'a> {
    /// The transport: `TCP`, `WS`, ...
    pub transport: &'a str,
    /// Host and port of the sender.
    pub sent_by: &'a str,
    /// Its parameters.
    pub params: Params<'a>,
}

impl<'a> Via<'a> {
    /// Parses one value.
    ///
    /// # Errors
    /// If the protocol, the transport or the sender is missing.
    pub fn parse(text: &'a str) -> Result<Self, ValueError> {
        let err = ValueError("Via");
        let text = text.trim();
        let end = text.find(';').unwrap_or(text.len());
        let (head, params) = text.split_at(end);
        // White space is allowed around the slashes (RFC 4475 §3.1.1.1).
        let (name, rest) = head.split_once('/').ok_or(err)?;
        let (version, rest) = rest.split_once('/').ok_or(err)?;
        let rest = rest.trim_start();
        let gap = rest.find([' ', '\t']).ok_or(err)?;
        let (transport, sent_by) = (&rest[..gap], rest[gap..].trim());
        let valid = name.trim().eq_ignore_ascii_case("SIP")
            && version.trim() == "2.0"
            && !transport.is_empty()
            && transport.bytes().all(is_token)
            && !sent_by.is_empty()
            && Params(params).is_valid();
        if valid { Ok(Self { transport, sent_by, params: Params(params) }) } else { Err(err) }
    }

    /// The branch, which identifies the transaction (§17).
    #[must_use]
    pub fn branch(&self) -> Option<&'a str> {
        self.params.get("branch").filter(|b| !b.is_empty())
    }
}

/// A CSeq value (§20.16).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CSeq<'a> {
    /// The number, below 2^31 (§8.1.1.5).
    pub number: u32,
    /// The method.
    pub method: &'a str,
}

impl<'a> CSeq<'a> {
    /// Parses the value.
    ///
    /// # Errors
    /// If it is not a number below 2^31 followed by a method.
    pub fn parse(text: &'a str) -> Result<Self, ValueError> {
        let err = ValueError("CSeq");
        let (number, method) = text.trim().split_once([' ', '\t']).ok_or(err)?;
        let method = method.trim();
        let number = number.parse::<u32>().ok().filter(|n| *n < 1 << 31).ok_or(err)?;
        if method.is_empty() || !method.bytes().all(is_token) {
            return Err(err);
        }
        Ok(Self { number, method })
    }
}

/// A Reason value (RFC 3326): a protocol and a cause of that protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reason<'a> {
    /// `SIP`, `Q.850`, ...
    pub protocol: &'a str,
    /// The cause: a SIP status or an ITU-T Q.850 cause value.
    pub cause: Option<u16>,
}

impl<'a> Reason<'a> {
    /// Parses one value.
    #[must_use]
    pub fn parse(text: &'a str) -> Self {
        let end = text.find(';').unwrap_or(text.len());
        let cause = Params(&text[end..]).get("cause").and_then(|c| c.parse().ok());
        Self { protocol: text[..end].trim(), cause }
    }
}
