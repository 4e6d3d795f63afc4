//! Parser for the heads of HTTP/1.1 messages (RFC 9112 §2 to §5), limited to what an upgrade and a plain
//! response need.

/// Limits of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Bytes of the whole head.
    pub head_bytes: usize,
    /// Number of fields.
    pub fields: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self { head_bytes: 8 * 1024, fields: 64 }
    }
}

/// Why bytes are not a valid head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum HttpError {
    /// Not a request line or status line of HTTP/1.x.
    #[error("the first line is no {0}")]
    FirstLine(&'static str),
    /// The version is not 1.1 (RFC 9110 §15.6.6).
    #[error("the version is not HTTP/1.1")]
    Version,
    /// A field cannot be read. Folded lines are refused, as §5.2 demands.
    #[error("line {0} is no header field")]
    Field(usize),
    /// The head exceeds a limit (RFC 6585 §5: 431).
    #[error("the head is over the limit of {0}")]
    TooLarge(usize),
    /// There is no Host field, or more than one (§3.2).
    #[error("there is not exactly one Host field")]
    Host,
}

impl HttpError {
    /// The status of the response to it.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Version => 505,
            Self::TooLarge(_) => 431,
            _ => 400,
        }
    }
}

/// A request line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLine<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target as received.
    pub target: &'a str,
}

/// A status line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusLine {
    /// The status.
    pub status: u16,
}

/// A parsed head: its first line and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head<'a, L> {
    /// The first line.
    pub line: L,
    /// Names and values of the fields, in order.
    pub fields: Vec<(&'a str, &'a str)>,
    /// Length of the head in bytes, including the empty line.
    pub len: usize,
}

impl<'a, L> Head<'a, L> {
    /// The values of all fields of this name; names are compared without case.
    pub fn values<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'a str> + 's {
        self.fields.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| *v)
    }

    /// The value of the first field of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.values(name).next()
    }

    /// Whether a list field contains a token, compared without case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// Parses the head of a request; `None` while it is incomplete.
///
/// # Errors
/// See [`HttpError`].
pub fn parse_request<'a>(
    bytes: &'a [u8],
    limits: &HttpLimits,
) -> Result<Option<Head<'a, RequestLine<'a>>>, HttpError> {
    let Some((first, fields, len)) = parse_fields(bytes, limits, "request line")? else { return Ok(None) };
    let mut parts = first.split(' ');
    let line = parts.next().zip(parts.next()).zip(parts.next()).filter(|_| parts.next().is_none());
    let Some(((method, target), version)) = line else { return Err(HttpError::FirstLine("request line")) };
    if method.is_empty() || !method.bytes().all(is_token) || target.is_empty() {
        return Err(HttpError::FirstLine("request line"));
    }
    if version != "HTTP/1.1" {
        let is_http = version.starts_with("HTTP/");
        return Err(if is_http { HttpError::Version } else { HttpError::FirstLine("request line") });
    }
    let head = Head { line: RequestLine { method, target }, fields, len };
    if head.values("Host").count() != 1 {
        return Err(HttpError::Host);
    }
    Ok(Some(head))
}

/// Parses the head of a response; `None` while it is incomplete.
///
/// # Errors
/// See [`HttpError`].
pub fn parse_response<'a>(
    bytes: &'a [u8],
    limits: &HttpLimits,
) -> Result<Option<Head<'a, StatusLine>>, HttpError> {
    let Some((first, fields, len)) = parse_fields(bytes, limits, "status line")? else { return Ok(None) };
    let status = first.strip_prefix("HTTP/1.1 ").and_then(|r| r.get(..3)).and_then(|s| s.parse().ok());
    let status = status.filter(|s| (100..600).contains(s)).ok_or(HttpError::FirstLine("status line"))?;
    Ok(Some(Head { line: StatusLine { status }, fields, len }))
}

type Fields<'a> = Vec<(&'a str, &'a str)>;

/// Parses a head into its first line, its fields and its length; `first_line` names the first line in errors.
fn parse_fields<'a>(
    bytes: &'a [u8],
    limits: &HttpLimits,
    first_line: &'static str,
) -> Result<Option<(&'a str, Fields<'a>, usize)>, HttpError> {
    // One empty line before the first line is ignored (§2.2).
    let blank_len = if bytes.starts_with(b"\r\n") { 2 } else { 0 };
    let Some(end) = memchr::memmem::find(&bytes[blank_len..], b"\r\n\r\n") else {
        let too_large = bytes.len() > limits.head_bytes;
        return if too_large { Err(HttpError::TooLarge(limits.head_bytes)) } else { Ok(None) };
    };
    let len = blank_len + end + 4;
    if len > limits.head_bytes {
        return Err(HttpError::TooLarge(limits.head_bytes));
    }
    let text = std::str::from_utf8(&bytes[blank_len..blank_len + end])
        .map_err(|_| HttpError::FirstLine(first_line))?;
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("");
    let mut fields = Vec::new();
    for (number, line) in lines.enumerate() {
        let err = HttpError::Field(number + 2);
        let (name, value) = line.split_once(':').ok_or(err)?;
        // White space before the colon (§5.1), folding (§5.2) and control characters (RFC 9110 §5.5) are
        // errors.
        if name.is_empty() || !name.bytes().all(is_token) || value.bytes().any(|b| b < 0x20 && b != b'\t') {
            return Err(err);
        }
        if fields.len() >= limits.fields {
            return Err(HttpError::TooLarge(limits.fields));
        }
        fields.push((name, value.trim_matches([' ', '\t'])));
    }
    Ok(Some((first, fields, len)))
}

/// Characters of a token (RFC 9110 §5.6.2).
const fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric()
        || matches!(
            b,
            b'!' | b'#'
                | b'$'
                | b'%'
                | b'&'
                | b'\''
                | b'*'
                | b'+'
                | b'-'
                | b'.'
                | b'^'
                | b'_'
                | b'`'
                | b'|'
                | b'~'
        )
}
