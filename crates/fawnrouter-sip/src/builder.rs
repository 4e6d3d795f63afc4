//! Building messages: fields are added in order, and the Content-Length and the body come last.

use crate::message::{Message, Method, Name};

/// Builds a message.
#[derive(Clone, Debug)]
pub struct MessageBuilder {
    text: Vec<u8>,
}

impl MessageBuilder {
    /// Begins a request to `uri`.
    #[must_use]
    pub fn request(method: Method, uri: &str) -> Self {
        let mut builder = Self { text: Vec::with_capacity(768) };
        builder.append(&[method.name(), " ", uri, " SIP/2.0\r\n"]);
        builder
    }

    /// Begins a response with `phrase`, or else with the standard reason phrase of its status.
    #[must_use]
    pub fn response(status: u16, phrase: Option<&str>) -> Self {
        let mut builder = Self { text: Vec::with_capacity(768) };
        let code = status.to_string();
        builder.append(&["SIP/2.0 ", &code, " ", phrase.unwrap_or(reason_phrase(status)), "\r\n"]);
        builder
    }

    /// Begins a response to `request` (§8.2.6.2) with its Via, From, To, Call-ID and CSeq fields. A To
    /// without a tag gets `tag`, except in a 100. If the peer's address is given, the top Via gets `received`
    /// and `rport` (§18.2.1, RFC 3581 §4).
    #[must_use]
    pub fn response_to(
        request: &Message,
        status: u16,
        phrase: Option<&str>,
        tag: &str,
        peer: Option<(&str, u16)>,
    ) -> Self {
        let mut builder = Self::response(status, phrase);
        let mut is_top = true;
        for via in request.values(Name::Via) {
            match peer.filter(|_| std::mem::take(&mut is_top)) {
                Some((host, port)) => builder.field(Name::Via, &via_with_source(via, host, port)),
                None => builder.field(Name::Via, via),
            };
        }
        builder.copy_fields(request, Name::From);
        let to = request.get(Name::To).unwrap_or("");
        let has_tag = crate::value::Address::parse(to).is_ok_and(|a| a.tag().is_some());
        if has_tag || status == 100 || tag.is_empty() {
            builder.field(Name::To, to);
        } else {
            builder.append(&["To: ", to, ";tag=", tag, "\r\n"]);
        }
        builder.copy_fields(request, Name::CallId).copy_fields(request, Name::CSeq);
        builder
    }

    /// Adds a field. Line ends in the value are removed, because they would begin another field.
    pub fn field(&mut self, name: Name, value: &str) -> &mut Self {
        self.named_field(name.text(), value)
    }

    /// Adds a field of any name; see [`Self::field`].
    pub fn named_field(&mut self, name: &str, value: &str) -> &mut Self {
        if value.contains(['\r', '\n']) {
            let clean: String = value.chars().filter(|c| !matches!(c, '\r' | '\n')).collect();
            return self.append(&[name, ": ", &clean, "\r\n"]);
        }
        self.append(&[name, ": ", value, "\r\n"])
    }

    /// Copies all fields of this name from another message.
    pub fn copy_fields(&mut self, from: &Message, name: Name) -> &mut Self {
        for (_, _, value) in from.fields().filter(|(n, _, _)| *n == name) {
            self.field(name, value);
        }
        self
    }

    /// Ends the message with its Content-Length and body.
    #[must_use]
    pub fn finish(&mut self, body: &[u8]) -> Vec<u8> {
        let length = body.len().to_string();
        self.append(&["Content-Length: ", &length, "\r\n\r\n"]);
        self.text.extend_from_slice(body);
        std::mem::take(&mut self.text)
    }

    /// Ends the message with the body of another message and the fields that describe this body.
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

/// Returns the top Via of a response: the Via as received, with the source address and port of the request.
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

/// The standard reason phrase of a status (RFC 3261 §21).
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
