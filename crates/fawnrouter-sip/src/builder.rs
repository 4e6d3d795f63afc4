//! Writing messages: a draft takes fields in order and ends with the length of its body.

use crate::message::{Message, Method, Name};

/// A message being written.
#[derive(Clone, Debug)]
pub struct MessageBuilder {
    text: Vec<u8>,
}

impl MessageBuilder {
    /// A request to `uri`.
    #[must_use]
    pub fn request(method: Method, uri: &str) -> Self {
        let mut draft = Self { text: Vec::with_capacity(768) };
        draft.append(&[method.name(), " ", uri, " SIP/2.0\r\n"]);
        draft
    }

    /// A response with the usual phrase of its status, or `phrase`.
    #[must_use]
    pub fn response(status: u16, phrase: Option<&str>) -> Self {
        let mut draft = Self { text: Vec::with_capacity(768) };
        let code = status.to_string();
        draft.append(&["SIP/2.0 ", &code, " ", phrase.unwrap_or(reason_phrase(status)), "\r\n"]);
        draft
    }

    /// A response to `request` (§8.2.6.2): its Vias, From, To, Call-ID and CSeq, a tag on the To if it has none,
    /// and `received`/`rport` in the top Via (§18.2.1, RFC 3581 §4) if the peer's address is given.
    #[must_use]
    pub fn response_to(
        request: &Message,
        status: u16,
        phrase: Option<&str>,
        tag: &str,
        peer: Option<(&str, u16)>,
    ) -> Self {
        let mut draft = Self::response(status, phrase);
        let mut first = true;
        for via in request.values(Name::Via) {
            match peer.filter(|_| std::mem::take(&mut first)) {
                Some((host, port)) => draft.field(Name::Via, &via_with_source(via, host, port)),
                None => draft.field(Name::Via, via),
            };
        }
        draft.copy_fields(request, Name::From);
        let to = request.get(Name::To).unwrap_or("");
        let tagged = crate::value::Address::parse(to).is_ok_and(|a| a.tag().is_some());
        if tagged || status == 100 || tag.is_empty() {
            draft.field(Name::To, to);
        } else {
            draft.append(&["To: ", to, ";tag=", tag, "\r\n"]);
        }
        draft.copy_fields(request, Name::CallId).copy_fields(request, Name::CSeq);
        draft
    }

    /// Adds a field. Line ends in the value, which would begin another field, are dropped.
    pub fn field(&mut self, name: Name, value: &str) -> &mut Self {
        self.named_field(name.text(), value)
    }

    /// Adds a field of any name.
    pub fn named_field(&mut self, name: &str, value: &str) -> &mut Self {
        if value.contains(['\r', '\n']) {
            let clean: String = value.chars().filter(|c| !matches!(c, '\r' | '\n')).collect();
            return self.append(&[name, ": ", &clean, "\r\n"]);
        }
        self.append(&[name, ": ", value, "\r\n"])
    }

    /// Adds all fields of this name as `from` has them.
    pub fn copy_fields(&mut self, from: &Message, name: Name) -> &mut Self {
        for (_, _, value) in from.fields().filter(|(n, _, _)| *n == name) {
            self.field(name, value);
        }
        self
    }

    /// Ends the message.
    #[must_use]
    pub fn finish(&mut self, body: &[u8]) -> Vec<u8> {
        let length = body.len().to_string();
        self.append(&["Content-Length: ", &length, "\r\n\r\n"]);
        self.text.extend_from_slice(body);
        std::mem::take(&mut self.text)
    }

    /// Ends the message with the body of another, and what describes it.
    #[must_use]
    pub fn finish_with_body_of(&mut self, other: &Message) -> Vec<u8> {
        if !other.body().is_empty() {
            self.copy_fields(other, Name::ContentType).copy_fields(other, Name::ContentEncoding);
            for name in ["Content-Disposition", "Content-Language", "MIME-Version"] {
                if let Some(value) = other.get_named(name) {
                    self.named_field(name, value);
                }
            }
        }
        self.finish(other.body())
    }

    fn append(&mut self, parts: &[&str]) -> &mut Self {
        parts.iter().for_each(|part| self.text.extend_from_slice(part.as_bytes()));
        self
    }
}

/// The Via as its receiver passes it back: with where it really came from.
fn via_with_source(via: &str, host: &str, port: u16) -> String {
    let mut out = String::with_capacity(via.len() + 40);
    let mut parts = via.split(';');
    out.push_str(parts.next().unwrap_or(""));
    let mut rport_requested = false;
    for part in parts {
        let name = part.split('=').next().unwrap_or("").trim();
        if name.eq_ignore_ascii_case("rport") {
            rport_requested = true;
            out.push_str(&format!(";rport={port}"));
        } else if !name.eq_ignore_ascii_case("received") {
            out.push(';');
            out.push_str(part);
        }
    }
    let sent_by = crate::value::Via::parse(via).map_or("", |v| v.sent_by);
    let sent_by_host = sent_by.rsplit_once(':').map_or(sent_by, |(h, _)| h);
    if rport_requested || sent_by_host != host {
        out.push_str(&format!(";received={host}"));
    }
    out
}

/// The usual phrase of a status (RFC 3261 §21).
#[must_use]
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Trying",
        180 => "Ringing",
        181 => "Call Is Being Forwarded",
        182 => "Queued",
        183 => "Session Progress",
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        410 => "Gone",
        413 => "Request Entity Too Large",
        416 => "Unsupported URI Scheme",
        420 => "Bad Extension",
        480 => "Temporarily Unavailable",
        481 => "Call/Transaction Does Not Exist",
        482 => "Loop Detected",
        483 => "Too Many Hops",
        484 => "Address Incomplete",
        486 => "Busy Here",
        487 => "Request Terminated",
        488 => "Not Acceptable Here",
        491 => "Request Pending",
        500 => "Server Internal Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Server Time-out",
        505 => "Version Not Supported",
        513 => "Message Too Large",
        600 => "Busy Everywhere",
        603 => "Decline",
        604 => "Does Not Exist Anywhere",
        _ => "Unknown",
    }
}
