//! Class, tenant and first-choice pool of a call: the first rule of each list that fits decides.

use std::hash::Hasher as _;

use fawnrouter::{Cell, ClassId, TenantId};
use fawnrouter_sip::{Address, Message, Name, Uri};
use siphasher::sip::SipHasher13;

/// What a rule looks at. All parts that are given must fit; a rule without any fits every call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMatch {
    /// The number called begins with this.
    pub number_prefix: Option<String>,
    /// The host of the request-URI.
    pub host: Option<String>,
    /// The host of the From URI.
    pub from_host: Option<String>,
    /// The trunk group named by the caller (RFC 4904 `tgrp`).
    pub trunk_group: Option<String>,
    /// A header field of this name has this value, compared without case.
    pub header: Option<(String, String)>,
    /// A parameter of the request-URI has this value.
    pub uri_param: Option<(String, String)>,
}

impl CallMatch {
    fn fits(&self, call: &Seen<'_>) -> bool {
        let same = |wanted: &Option<String>, seen: &str| {
            wanted.as_ref().is_none_or(|w| w.eq_ignore_ascii_case(seen))
        };
        let header = |(name, value): &(String, String)| {
            call.invite.get_named(name).is_some_and(|v| v.trim().eq_ignore_ascii_case(value))
        };
        let param = |(name, value): &(String, String)| {
            call.uri.params.get(name).is_some_and(|v| v.eq_ignore_ascii_case(value))
        };
        self.number_prefix.as_ref().is_none_or(|p| call.number.starts_with(p.as_str()))
            && same(&self.host, call.uri.host)
            && same(&self.from_host, call.from_host)
            && same(&self.trunk_group, call.uri.trunk_group().map_or("", |t| t.label))
            && self.header.as_ref().is_none_or(header)
            && self.uri_param.as_ref().is_none_or(param)
    }
}

/// A rule: calls that fit get this.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule<T> {
    /// Which calls.
    pub when: CallMatch,
    /// What they get.
    pub value: T,
}

/// The pool of first choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolChoice {
    /// This one.
    Pool(Cell),
    /// One of these by the number called, always the same for a number.
    Spread(Vec<Cell>),
}

/// All rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRules {
    /// The class; calls that no rule fits have none and are refused.
    pub class: Vec<CallRule<ClassId>>,
    /// The tenant.
    pub tenant: Vec<CallRule<TenantId>>,
    /// The pool of first choice.
    pub destination: Vec<CallRule<PoolChoice>>,
}

/// What the rules say of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// Its class.
    pub class: Option<ClassId>,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its pool of first choice.
    pub destination: Cell,
    /// The number called.
    pub number: String,
}

struct Seen<'a> {
    invite: &'a Message,
    uri: &'a Uri<'a>,
    from_host: &'a str,
    number: &'a str,
}

impl CallRules {
    /// Applies the rules to an INVITE and its request-URI.
    #[must_use]
    pub fn classify(&self, invite: &Message, uri: &Uri<'_>) -> Classification {
        let from = invite.get(Name::From).and_then(|f| Address::parse(f).ok());
        let from_host = from.and_then(|a| Uri::parse(a.uri).ok()).map_or("", |u| u.host);
        let number = uri.number();
        // A URI without a user names its host.
        let number = if number.is_empty() { uri.host.to_owned() } else { number.into_owned() };
        let seen = Seen { invite, uri, from_host, number: &number };
        let destination = match first(&self.destination, &seen) {
            Some(PoolChoice::Pool(cell)) => *cell,
            Some(PoolChoice::Spread(cells)) if !cells.is_empty() => {
                let mut hash = SipHasher13::new();
                hash.write(number.as_bytes());
                cells[(hash.finish() % cells.len() as u64) as usize]
            }
            _ => Cell::default(),
        };
        let class = first(&self.class, &seen).copied();
        let tenant = first(&self.tenant, &seen).copied();
        Classification { class, tenant, destination, number }
    }
}

fn first<'r, T>(rules: &'r [CallRule<T>], seen: &Seen<'_>) -> Option<&'r T> {
    rules.iter().find(|rule| rule.when.fits(seen)).map(|rule| &rule.value)
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnrouter_sip::Limits;

    fn message(uri: &str, extra: &str) -> Message {
        let text = format!(
            "INVITE {uri} SIP/2.0\r\nVia: SIP/2.0/WS c;branch=z9hG4bK1\r\nFrom: <sip:a@bank.example>;tag=1\r\n\
             To: <{uri}>\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\n{extra}\r\n"
        );
        Message::parse(text.as_bytes(), &Limits::default()).expect("a sound message")
    }

    fn when(set: impl FnOnce(&mut CallMatch)) -> CallMatch {
        let mut when = CallMatch::default();
        set(&mut when);
        when
    }

    #[test]
    fn the_first_rule_that_fits_decides_and_a_call_without_one_has_no_class() {
        let rules = CallRules {
            class: vec![
                CallRule { when: when(|m| m.number_prefix = Some("+9148".into())), value: ClassId(1) },
                CallRule {
                    when: when(|m| m.header = Some(("X-Kind".into(), "check".into()))),
                    value: ClassId(0),
                },
                CallRule {
                    when: when(|m| m.uri_param = Some(("kind".into(), "push".into()))),
                    value: ClassId(2),
                },
            ],
            tenant: vec![CallRule {
                when: when(|m| m.from_host = Some("BANK.example".into())),
                value: TenantId(4),
            }],
            destination: vec![
                CallRule {
                    when: when(|m| m.trunk_group = Some("tg-7".into())),
                    value: PoolChoice::Pool(Cell(7)),
                },
                CallRule {
                    when: CallMatch::default(),
                    value: PoolChoice::Spread(vec![Cell(1), Cell(2), Cell(3)]),
                },
            ],
        };
        let classify = |uri: &str, extra: &str| {
            rules.classify(&message(uri, extra), &Uri::parse(uri).expect("a sound URI"))
        };
        let seen = classify("sip:+91-484-1;tgrp=TG-7;trunk-context=x@gw.example", "X-Kind: check\r\n");
        assert_eq!(
            (seen.class, seen.tenant, seen.destination),
            (Some(ClassId(1)), Some(TenantId(4)), Cell(7))
        );
        assert_eq!(seen.number, "+914841");
        assert_eq!(classify("tel:5551", "x-kind: CHECK\r\n").class, Some(ClassId(0)));
        assert_eq!(classify("sip:5551@gw.example;kind=push", "").class, Some(ClassId(2)));
        let other = classify("sip:5551@gw.example", "");
        assert_eq!(other.class, None);
        assert_eq!(other.destination, classify("sip:555-1@elsewhere.example", "").destination);
        let pools: std::collections::BTreeSet<Cell> =
            (0..40).map(|n| classify(&format!("sip:{n}@h"), "").destination).collect();
        assert_eq!(pools.len(), 3);
    }
}
