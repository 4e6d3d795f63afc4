//! Dialogs (RFC 3261 §12): what the two ends of a call remember of each other.

use crate::builder::MessageBuilder;
use crate::message::{Message, Method, Name};
use crate::value::{Address, ValueError};

/// One end's view of a dialog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialog {
    /// The Call-ID.
    pub call_id: String,
    /// The own From value, with the own tag.
    local: String,
    /// The other's, with its tag if it gave one.
    remote: String,
    /// The own tag.
    pub local_tag: String,
    /// The other's tag; empty for peers of RFC 2543.
    pub remote_tag: String,
    /// Where requests go.
    target: String,
    /// Through which proxies.
    routes: Vec<String>,
    /// CSeq of the last own request.
    local_cseq: u32,
    /// CSeq of the last request of the other side.
    remote_cseq: Option<u32>,
}

impl Dialog {
    /// The callee's view, from the INVITE and the tag it answers with (§12.1.1).
    ///
    /// # Errors
    /// Where the INVITE's addresses cannot be read; a validated one has no such fault but a missing Contact.
    pub fn callee(invite: &Message, local_tag: &str) -> Result<Self, ValueError> {
        let from = invite.get(Name::From).unwrap_or("");
        let remote_tag = Address::parse(from)?.tag().unwrap_or("").to_owned();
        let contact = invite.values(Name::Contact).next().ok_or(ValueError("Contact"))?;
        let to = invite.get(Name::To).unwrap_or("");
        let tagged = Address::parse(to)?.tag().is_some();
        Ok(Self {
            call_id: invite.get(Name::CallId).unwrap_or("").to_owned(),
            local: if tagged { to.to_owned() } else { format!("{to};tag={local_tag}") },
            remote: from.to_owned(),
            local_tag: local_tag.to_owned(),
            remote_tag,
            target: Address::parse(contact)?.uri.to_owned(),
            routes: invite.values(Name::RecordRoute).map(str::to_owned).collect(),
            local_cseq: 0,
            remote_cseq: invite.cseq().ok().map(|c| c.number),
        })
    }

    /// The caller's view, from the own From and CSeq and the answer (§12.1.2). Without a Contact in the answer
    /// requests go to `uri`, where the INVITE went.
    ///
    /// # Errors
    /// Where the answer's addresses cannot be read.
    pub fn caller(answer: &Message, uri: &str, cseq: u32) -> Result<Self, ValueError> {
        let (from, to) = (answer.get(Name::From).unwrap_or(""), answer.get(Name::To).unwrap_or(""));
        let local_tag = Address::parse(from)?.tag().unwrap_or("").to_owned();
        let remote_tag = Address::parse(to)?.tag().unwrap_or("").to_owned();
        let contact = answer.values(Name::Contact).next();
        let target = contact.map(Address::parse).transpose()?.map_or(uri, |a| a.uri);
        let mut routes: Vec<String> = answer.values(Name::RecordRoute).map(str::to_owned).collect();
        routes.reverse();
        Ok(Self {
            call_id: answer.get(Name::CallId).unwrap_or("").to_owned(),
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

    /// Begins a request in the dialog (§12.2.1.1). An ACK repeats the INVITE's CSeq; others take the next one.
    #[must_use]
    pub fn request(&mut self, method: Method, via: &str) -> MessageBuilder {
        if method != Method::Ack {
            self.local_cseq += 1;
        }
        let strict = self.routes.first().filter(|r| {
            Address::parse(r).is_ok_and(|a| !a.uri.split(';').skip(1).any(|p| p.eq_ignore_ascii_case("lr")))
        });
        // A first proxy without `lr` is a strict router of RFC 2543: it stands in the request line itself.
        let (uri, routes): (&str, Vec<&str>) = match strict {
            Some(first) => {
                let uri = Address::parse(first).map_or(self.target.as_str(), |a| a.uri);
                (uri, self.routes[1..].iter().map(String::as_str).collect())
            }
            None => (&self.target, self.routes.iter().map(String::as_str).collect()),
        };
        let mut draft = MessageBuilder::request(method, uri);
        draft.field(Name::Via, via).field(Name::MaxForwards, "70");
        for route in routes {
            draft.field(Name::Route, route);
        }
        if strict.is_some() {
            draft.field(Name::Route, &format!("<{}>", self.target));
        }
        let cseq = format!("{} {}", self.local_cseq, method.name());
        draft.field(Name::From, &self.local).field(Name::To, &self.remote);
        draft.field(Name::CallId, &self.call_id).field(Name::CSeq, &cseq);
        draft
    }

    /// Whether a request of the other side comes in order (§12.2.2); takes note of its number.
    pub fn accept_cseq(&mut self, cseq: u32) -> bool {
        let in_order = self.remote_cseq.is_none_or(|last| cseq > last);
        if in_order {
            self.remote_cseq = Some(cseq);
        }
        in_order
    }

    /// Whether a request from the other side belongs here: its From tag and To tag (§12.2.2).
    #[must_use]
    pub fn matches(&self, request: &Message) -> bool {
        let tag =
            |name| request.get(name).and_then(|v| Address::parse(v).ok()).and_then(|a| a.tag()).unwrap_or("");
        tag(Name::To) == self.local_tag && tag(Name::From) == self.remote_tag
    }
}
