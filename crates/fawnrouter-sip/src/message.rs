//! A parsed message: the start line, the fields in order, and the body (RFC 3261 §7).

use std::fmt;
use std::ops::Range;

use crate::value::{self, CSeq, Via};

/// Limits of the parsers. A message that exceeds one is refused as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of the start line and all fields.
    pub head_bytes: usize,
    /// Number of fields.
    pub fields: usize,
    /// Bytes of the body.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_bytes: 16 * 1024, fields: 128, body_bytes: 64 * 1024 }
    }
}

/// Why bytes are not a SIP message, with the line or byte where known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ParseError {
    /// The head does not end, or ends in the middle of a line.
    #[error("the message has no empty line after its fields")]
    UnterminatedHead,
    /// The head is not UTF-8 (RFC 3261 §7).
    #[error("byte {0} of the head is not UTF-8")]
    NotUtf8(usize),
    /// The first line is neither a request line nor a status line.
    #[error("the start line is neither a request line nor a status line")]
    StartLine,
    /// A field without a colon, with an empty name, or with a character that is not allowed in names.
    #[error("line {0} is no header field")]
    Field(usize),
    /// A control character where none is allowed.
    #[error("line {0} holds a control character")]
    ControlCharacter(usize),
    /// A limit is exceeded.
    #[error("{what} is over the limit of {limit}")]
    TooLarge {
        /// The part that is too large.
        what: &'static str,
        /// The limit.
        limit: usize,
    },
    /// The Content-Length is missing on a stream, not a number, or repeated with another value (RFC 3261
    /// §18.3).
    #[error("the Content-Length is missing, repeated or no number")]
    ContentLength,
}

/// Why a well-formed request cannot be processed, with the status to answer it with (RFC 3261 §8.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRequest {
    /// The status.
    pub status: u16,
    /// The part that is wrong, for the reason phrase.
    pub what: &'static str,
}

/// Request methods that the gateway knows. The text of other methods is kept in the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[allow(missing_docs)]
pub enum Method {
    Invite,
    Ack,
    Cancel,
    Bye,
    Options,
    Register,
    Other,
}

impl Method {
    /// The method of this name; methods are case-sensitive (RFC 3261 §7.1).
    #[must_use]
    pub fn from_name(text: &str) -> Self {
        match text {
            "INVITE" => Self::Invite,
            "ACK" => Self::Ack,
            "CANCEL" => Self::Cancel,
            "BYE" => Self::Bye,
            "OPTIONS" => Self::Options,
            "REGISTER" => Self::Register,
            _ => Self::Other,
        }
    }

    /// The name of the method; empty for [`Method::Other`].
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Invite => "INVITE",
            Self::Ack => "ACK",
            Self::Cancel => "CANCEL",
            Self::Bye => "BYE",
            Self::Options => "OPTIONS",
            Self::Register => "REGISTER",
            Self::Other => "",
        }
    }
}

macro_rules! header_names {
    ($($(#[$doc:meta])* $variant:ident $text:literal $($compact:literal)?),* $(,)?) => {
        /// Known names of header fields; a compact form (RFC 3261 §7.3.3) is the same name.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[allow(missing_docs)]
        pub enum Name { $($variant,)* Other }

        impl Name {
            /// The name in any case, in its long or compact form.
            #[must_use]
            pub fn from_name(text: &str) -> Self {
                match text.len() {
                    1 => match text.as_bytes()[0].to_ascii_lowercase() {
                        $($(x if x == $compact => Self::$variant,)?)*
                        _ => Self::Other,
                    },
                    $(n if n == $text.len() && text.eq_ignore_ascii_case($text) => Self::$variant,)*
                    _ => Self::Other,
                }
            }

            /// The long form of the name; empty for [`Name::Other`].
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* Self::Other => "" }
            }
        }
    };
}

header_names! {
    Via "Via" b'v', From "From" b'f', To "To" b't', CallId "Call-ID" b'i', CSeq "CSeq", Contact "Contact" b'm',
    MaxForwards "Max-Forwards", ContentLength "Content-Length" b'l', ContentType "Content-Type" b'c',
    Route "Route", RecordRoute "Record-Route", Expires "Expires", Supported "Supported" b'k', Require "Require",
    ProxyRequire "Proxy-Require", Allow "Allow", Unsupported "Unsupported", RetryAfter "Retry-After",
    Reason "Reason", SessionId "Session-ID", Subject "Subject" b's', ContentEncoding "Content-Encoding" b'e',
    UserAgent "User-Agent", Server "Server", Accept "Accept", Warning "Warning", Priority "Priority",
    ResourcePriority "Resource-Priority", Authorization "Authorization", WwwAuthenticate "WWW-Authenticate",
    AuthenticationInfo "Authentication-Info",
}

/// One field of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name.
    pub name: Name,
    raw_name: (u32, u32),
    value: (u32, u32),
}

/// The start line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLine<'a> {
    /// A request.
    Request {
        /// The method.
        method: Method,
        /// The method's text.
        name: &'a str,
        /// The request-URI.
        uri: &'a str,
        /// The protocol version as received.
        version: &'a str,
    },
    /// A response.
    Response {
        /// The status, 100 to 699.
        status: u16,
        /// The reason phrase.
        phrase: &'a str,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum StartLineSpans {
    Request { method: Method, name: Range<usize>, uri: Range<usize>, version: Range<usize> },
    Response { status: u16, phrase: Range<usize> },
}

/// A message. Its text is kept as received, except that folded lines are joined by spaces.
#[derive(Clone, PartialEq, Eq)]
pub struct Message {
    head: String,
    start: StartLineSpans,
    fields: Vec<Field>,
    body: Vec<u8>,
}

impl fmt::Debug for Message {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{} bytes]", self.head, self.body.len())
    }
}

/// The end of the head: the offset after the empty line. Bare LF line ends are not accepted.
pub(crate) fn find_head_end(bytes: &[u8], from: usize) -> Option<usize> {
    memchr::memmem::find(bytes.get(from..)?, b"\r\n\r\n").map(|at| from + at + 4)
}

impl Message {
    /// Parses a complete message, as a datagram or a WebSocket message holds it (RFC 7118 §5). The body has
    /// the length given by Content-Length, or else extends to the end; bytes beyond it are dropped (RFC 3261
    /// §18.3).
    ///
    /// # Errors
    /// If the bytes are not a message within the limits; see [`ParseError`].
    pub fn parse(bytes: &[u8], limits: &Limits) -> Result<Self, ParseError> {
        // Empty lines before the start line are dropped (RFC 3261 §7.5).
        let lead = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        let bytes = &bytes[lead..];
        let end = find_head_end(bytes, 0).ok_or(ParseError::UnterminatedHead)?;
        let mut message = Self::parse_head(&bytes[..end], limits)?;
        let body = &bytes[end..];
        let length = match message.content_length() {
            Ok(Some(length)) if length <= body.len() => length,
            _ => body.len(),
        };
        if length > limits.body_bytes {
            return Err(ParseError::TooLarge { what: "the body", limit: limits.body_bytes });
        }
        // A body shorter than its Content-Length is kept; `validate` reports it.
        message.body = body[..length].to_vec();
        Ok(message)
    }

    /// Parses the start line and the fields, up to and including the empty line. The body is empty.
    ///
    /// # Errors
    /// See [`ParseError`].
    pub fn parse_head(bytes: &[u8], limits: &Limits) -> Result<Self, ParseError> {
        if bytes.len() > limits.head_bytes {
            return Err(ParseError::TooLarge { what: "the head", limit: limits.head_bytes });
        }
        let mut head =
            std::str::from_utf8(bytes).map_err(|e| ParseError::NotUtf8(e.valid_up_to()))?.to_owned();
        // A line that begins with white space continues the one before (§7.3.1). Three spaces replace the
        // line end and the white space, so that the length and all offsets stay the same.
        if memchr::memmem::find_iter(bytes, b"\r\n")
            .any(|line_end| matches!(bytes.get(line_end + 2), Some(b' ' | b'\t')))
        {
            head = head.replace("\r\n ", "   ").replace("\r\n\t", "   ");
        }
        let mut lines = memchr::memmem::find_iter(head.as_bytes(), b"\r\n");
        let first = lines.next().ok_or(ParseError::UnterminatedHead)?;
        let start = parse_start_line(&head[..first]).ok_or(ParseError::StartLine)?;
        let mut fields = Vec::with_capacity(16);
        let mut begin = first + 2;
        for (number, end) in lines.enumerate() {
            if end == begin {
                break;
            }
            let line = &head.as_bytes()[begin..end];
            let colon = memchr::memchr(b':', line).ok_or(ParseError::Field(number + 2))?;
            let raw = head[begin..begin + colon].trim_end_matches([' ', '\t']);
            if raw.is_empty() || !raw.bytes().all(value::is_token) {
                return Err(ParseError::Field(number + 2));
            }
            if memchr::memchr3(b'\r', b'\n', 0, &line[colon..]).is_some() {
                return Err(ParseError::ControlCharacter(number + 2));
            }
            let text = &head[begin + colon + 1..end];
            let lead = text.len() - text.trim_start_matches([' ', '\t']).len();
            let text = text.trim_matches([' ', '\t']);
            if fields.len() >= limits.fields {
                return Err(ParseError::TooLarge { what: "the number of fields", limit: limits.fields });
            }
            let value = span(begin + colon + 1 + lead, text.len());
            fields.push(Field { name: Name::from_name(raw), raw_name: span(begin, raw.len()), value });
            begin = end + 2;
        }
        Ok(Self { head, start, fields, body: Vec::new() })
    }

    pub(crate) fn set_body(&mut self, body: Vec<u8>) {
        self.body = body;
    }

    /// The start line.
    #[must_use]
    pub fn start(&self) -> StartLine<'_> {
        match &self.start {
            StartLineSpans::Request { method, name, uri, version } => StartLine::Request {
                method: *method,
                name: &self.head[name.clone()],
                uri: &self.head[uri.clone()],
                version: &self.head[version.clone()],
            },
            StartLineSpans::Response { status, phrase } => {
                StartLine::Response { status: *status, phrase: &self.head[phrase.clone()] }
            }
        }
    }

    /// The status of a response.
    #[must_use]
    pub fn status(&self) -> Option<u16> {
        match self.start {
            StartLineSpans::Response { status, .. } => Some(status),
            StartLineSpans::Request { .. } => None,
        }
    }

    /// The method of a request.
    #[must_use]
    pub fn method(&self) -> Option<Method> {
        match self.start {
            StartLineSpans::Request { method, .. } => Some(method),
            StartLineSpans::Response { .. } => None,
        }
    }

    /// The method of a request as received; empty for a response.
    #[must_use]
    pub fn method_name(&self) -> &str {
        match self.start() {
            StartLine::Request { name, .. } => name,
            StartLine::Response { .. } => "",
        }
    }

    /// The fields in order: the name, the name as received, and the value.
    pub fn fields(&self) -> impl Iterator<Item = (Name, &str, &str)> {
        self.fields.iter().map(|f| (f.name, self.slice(f.raw_name), self.slice(f.value)))
    }

    /// The value of the first field of this name.
    #[must_use]
    pub fn get(&self, name: Name) -> Option<&str> {
        self.fields.iter().find(|f| f.name == name).map(|f| self.slice(f.value))
    }

    /// The value of the first field with this name in any case, whether [`Name`] knows it or not.
    #[must_use]
    pub fn get_named(&self, name: &str) -> Option<&str> {
        self.fields().find(|(_, raw, _)| raw.eq_ignore_ascii_case(name)).map(|(_, _, value)| value)
    }

    /// All values of the fields of this name, which are split at commas (§7.3.1).
    pub fn values(&self, name: Name) -> impl Iterator<Item = &str> {
        let fields = self.fields.iter().filter(move |f| f.name == name);
        fields.flat_map(|f| value::split_values(self.slice(f.value)))
    }

    /// The value of every field of this name as a whole, for fields in which commas do not separate values
    /// (§7.3.1), such as Authorization.
    pub fn whole_values(&self, name: Name) -> impl Iterator<Item = &str> {
        self.fields.iter().filter(move |f| f.name == name).map(|f| self.slice(f.value))
    }

    /// The body.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// The length of the body according to the Content-Length.
    ///
    /// # Errors
    /// If it is not a number, or two fields differ.
    pub fn content_length(&self) -> Result<Option<usize>, ParseError> {
        let mut found = None;
        for field in self.fields.iter().filter(|f| f.name == Name::ContentLength) {
            let text = self.slice(field.value);
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = text.parse::<usize>().ok().filter(|_| digits).ok_or(ParseError::ContentLength)?;
            if found.is_some_and(|other| other != length) {
                return Err(ParseError::ContentLength);
            }
            found = Some(length);
        }
        Ok(found)
    }

    /// The top Via.
    ///
    /// # Errors
    /// If there is none or it cannot be read.
    pub fn via(&self) -> Result<Via<'_>, value::ValueError> {
        Via::parse(self.values(Name::Via).next().unwrap_or(""))
    }

    /// The CSeq.
    ///
    /// # Errors
    /// If there is none or it cannot be read.
    pub fn cseq(&self) -> Result<CSeq<'_>, value::ValueError> {
        CSeq::parse(self.get(Name::CSeq).unwrap_or(""))
    }

    /// Checks whether a request can be processed: it has the six fields of §8.1.1, each once and readable,
    /// the version SIP/2.0, and a body of the announced length.
    ///
    /// # Errors
    /// The status to answer with, and the part that is wrong.
    pub fn validate(&self) -> Result<(), InvalidRequest> {
        let bad = |what| Err(InvalidRequest { status: 400, what });
        let StartLine::Request { name, uri, version, .. } = self.start() else {
            return bad("Start Line");
        };
        if !version.eq_ignore_ascii_case("SIP/2.0") {
            return Err(InvalidRequest { status: 505, what: "Version" });
        }
        let appears_once = |wanted| self.fields.iter().filter(|f| f.name == wanted).count() == 1;
        for (name, what) in [
            (Name::From, "From"),
            (Name::To, "To"),
            (Name::CallId, "Call-ID"),
            (Name::CSeq, "CSeq"),
            (Name::MaxForwards, "Max-Forwards"),
        ] {
            // Requests of old clients (RFC 2543) have no Max-Forwards; it then counts as 70.
            let present = appears_once(name) || (name == Name::MaxForwards && self.get(name).is_none());
            if !present {
                return bad(what);
            }
        }
        let Ok(cseq) = self.cseq() else { return bad("CSeq") };
        if cseq.method != name {
            return bad("CSeq Method");
        }
        if self.values(Name::Via).any(|v| Via::parse(v).is_err()) || self.via().is_err() {
            return bad("Via");
        }
        for (name, what) in [(Name::From, "From"), (Name::To, "To")] {
            if value::Address::parse(self.get(name).unwrap_or("")).is_err() {
                return bad(what);
            }
        }
        if self.get(Name::CallId).is_none_or(|id| id.is_empty() || id.contains([' ', '\t'])) {
            return bad("Call-ID");
        }
        if self.get(Name::MaxForwards).is_some_and(|m| m.parse::<u8>().is_err()) {
            return bad("Max-Forwards");
        }
        if uri.starts_with('<') || uri.is_empty() {
            return bad("Request-URI");
        }
        for (name, what) in
            [(Name::Contact, "Contact"), (Name::Route, "Route"), (Name::RecordRoute, "Record-Route")]
        {
            if self.values(name).any(|v| v != "*" && value::Address::parse(v).is_err()) {
                return bad(what);
            }
        }
        let has_bad_expires = self.get(Name::Expires).is_some_and(|x| x.trim().parse::<u64>().is_err());
        if has_bad_expires {
            return bad("Expires");
        }
        match self.content_length() {
            Err(_) => bad("Content-Length"),
            Ok(Some(n)) if n > self.body.len() => bad("Content-Length"),
            _ => Ok(()),
        }
    }

    /// The part of the head at a span.
    fn slice(&self, (start, len): (u32, u32)) -> &str {
        &self.head[start as usize..(start + len) as usize]
    }
}

/// An offset and a length within the head.
fn span(start: usize, len: usize) -> (u32, u32) {
    // Heads are far below 4 GiB: `Limits::head_bytes` is checked first, and the schema of the settings limits
    // its value.
    (u32::try_from(start).unwrap_or(u32::MAX), u32::try_from(len).unwrap_or(0))
}

fn parse_start_line(line: &str) -> Option<StartLineSpans> {
    if line.bytes().any(|b| b < 0x20 || b == 0x7f) {
        return None;
    }
    let version_len = "SIP/2.0".len();
    if line.get(..4).is_some_and(|v| v.eq_ignore_ascii_case("SIP/")) {
        let (version, rest) = line.split_at_checked(version_len)?;
        let rest = rest.strip_prefix(' ').filter(|_| version.eq_ignore_ascii_case("SIP/2.0"))?;
        let code = rest.get(..3).filter(|c| c.bytes().all(|b| b.is_ascii_digit()))?;
        let status = code.parse().ok().filter(|s| (100..700).contains(s))?;
        let phrase = match rest.as_bytes().get(3) {
            None => line.len()..line.len(),
            Some(b' ') => version_len + 5..line.len(),
            Some(_) => return None,
        };
        return Some(StartLineSpans::Response { status, phrase });
    }
    // Exactly one space between the parts and none within them (§7.1).
    let first = line.find(' ')?;
    let last = line.rfind(' ')?;
    let name = &line[..first];
    let uri = line.get(first + 1..last)?;
    let version = &line[last + 1..];
    let is_valid = !name.is_empty()
        && name.bytes().all(value::is_token)
        && !uri.is_empty()
        && !uri.contains([' ', '\t'])
        && version.get(..4).is_some_and(|v| v.eq_ignore_ascii_case("SIP/"));
    is_valid.then(|| StartLineSpans::Request {
        method: Method::from_name(name),
        name: 0..first,
        uri: first + 1..last,
        version: last + 1..line.len(),
    })
}
