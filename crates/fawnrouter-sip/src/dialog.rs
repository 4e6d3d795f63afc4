//! Dialogs (RFC 3261 §12): the state that each end of a call keeps about the other.

use crate::builder::MessageBuilder;
use crate::message::{Message, Method, Name};
use crate::value::{Address, ValueError};

/// One end's view of a dialog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialog {
    /// The Call-ID.
    pub call_id: String,
    /// The local address with its tag: the From of requests sent.
    local: String,
    /// The remote address with its tag, if there is one: the To of requests sent.
    remote: String,
    /// The local tag.
    pub local_tag: String,
    /// The remote tag; empty for peers that follow RFC 2543.
    pub remote_tag: String,
    /// The remote target: the URI to which requests are sent.
    target: String,
    /// The route set: the proxies through which requests are sent.
    routes: Vec<String>,
    /// CSeq number of the last request sent.
    local_cseq: u32,
    /// CSeq number of the last request received.
    remote_cseq: Option<u32>,
}

impl Dialog {
    /// Creates the callee's dialog from the received INVITE and the tag of the response (§12.1.1).
    ///
    /// # Errors
    /// If the INVITE's addresses cannot be read. In a validated INVITE this can only be a missing Contact.
    pub fn callee(invite: &Message, local_tag: &str) -> Result<Self, ValueError> {
        let from = invite.get(Name::From).unwrap_or("");
        let remote_tag = Address::parse(from)?.tag().unwrap_or("").to_owned();
        let contact = invite.values(Name::Contact).next().ok_or(ValueError("Contact"))?;
        let to = invite.get(Name::To).unwrap_or("");
        let has_tag = Address::parse(to)?.tag().is_some();
        Ok(Self {
            call_id: invite.get(Name::CallId).unwrap_or("").to_owned(),
            local: if has_tag { to.to_owned() } else { format!("{to};tag={local_tag}") },
            remote: from.to_owned(),
            local_tag: local_tag.to_owned(),
            remote_tag,
            target: Address::parse(contact)?.uri.to_owned(),
            routes: invite.values(Name::RecordRoute).map(str::to_owned).collect(),
            local_cseq: 0,
            remote_cseq: invite.cseq().ok().map(|c| c.number),
        })
    }

    /// Creates the caller's dialog from the response and the CSeq number of the INVITE (§12.1.2). If the
    /// response has no Contact, requests are sent to `uri`, to which the INVITE was sent.
    ///
    /// # Errors
    /// If the response's addresses cannot be read.
    pub fn caller(response: &Message, uri: &str, cseq: u32) -> Result<Self, ValueError> {
        let (from, to) = (response.get(Name::From).unwrap_or(""), response.get(Name::To).unwrap_or(""));
        let local_tag = Address::parse(from)?.tag().unwrap_or("").to_owned();
        let remote_tag = Address::parse(to)?.tag().unwrap_or("").to_owned();
        let contact = response.values(Name::Contact).next();
        let target = contact.map(Address::parse).transpose()?.map_or(uri, |a| a.uri);
        let mut routes: Vec<String> = response.values(Name::RecordRoute).map(str::to_owned).collect();
        routes.reverse();
        Ok(Self {
            call_id: response.get(Name::CallId).unwrap_or("").to_owned(),
            local: from.to_owned(),
            remote: to.to_owned(),
            local_tag,
            remote_tag,
            target: target.to_owned(),
            routes,
            local_cseq: cseq,
            remote_cseq: None,
        })
    }

    /// Begins a request within the dialog (§12.2.1.1). An ACK repeats the INVITE's CSeq number; other
    /// requests take the next one.
    #[must_use]
    pub fn request(&mut self, method: Method, via: &str) -> MessageBuilder {
        if method != Method::Ack {
            self.local_cseq += 1;
        }
        let strict_router = self.routes.first().filter(|r| {
            Address::parse(r).is_ok_and(|a| !a.uri.split(';').skip(1).any(|p| p.eq_ignore_ascii_case("lr")))
        });
        // A first proxy without `lr` is a strict router of RFC 2543: its URI becomes the request-URI, and the
        // remote target becomes the last Route.
        let (uri, routes): (&str, Vec<&str>) = match strict_router {
            Some(first) => {
                let uri = Address::parse(first).map_or(self.target.as_str(), |a| a.uri);
                (uri, self.routes[1..].iter().map(String::as_str).collect())
            }
            None => (&self.target, self.routes.iter().map(String::as_str).collect()),
        };
        let mut builder = MessageBuilder::request(method, uri);
        builder.field(Name::Via, via).field(Name::MaxForwards, "70");
        for route in routes {
            builder.field(Name::Route, route);
        }
        if strict_router.is_some() {
            builder.field(Name::Route, &format!("<{}>", self.target));
        }
        let cseq = format!("{} {}", self.local_cseq, method.name());
        builder.field(Name::From, &self.local).field(Name::To, &self.remote);
        builder.field(Name::CallId, &self.call_id).field(Name::CSeq, &cseq);
        builder
    }

    /// Returns whether a received request is in order (§12.2.2), and if so records its CSeq number.
    pub fn accept_cseq(&mut self, cseq: u32) -> bool {
        let in_order = self.remote_cseq.is_none_or(|last| cseq > last);
        if in_order {
            self.remote_cseq = Some(cseq);
        }
        in_order
    }

    /// Whether a received request belongs to this dialog by its From tag and To tag (§12.2.2).
    #[must_use]
    pub fn matches(&self, request: &Message) -> bool {
        let tag =
            |name| request.get(name).and_then(|v| Address::parse(v).ok()).and_then(|a| a.tag()).unwrap_or("");
        tag(Name::To) == self.local_tag && tag(Name::From) == self.remote_tag
    }
}
