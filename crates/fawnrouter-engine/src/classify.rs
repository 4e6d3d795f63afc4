//! Classification of calls: class, tenant and first-choice pool. Of each list of rules the first that matches
//! decides.

use std::hash::Hasher as _;

use fawnrouter::{Cell, ClassId, TenantId};
use fawnrouter_sip::{Address, Message, Name, Uri};
use siphasher::sip::SipHasher13;

/// The condition of a rule. All parts that are given must match; a condition without any matches every call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMatch {
    /// Prefix of the number called.
    pub number_prefix: Option<String>,
    /// The host of the request-URI.
    pub host: Option<String>,
    /// The host of the From URI.
    pub from_host: Option<String>,
    /// The trunk group named by the caller (RFC 4904 `tgrp`).
    pub trunk_group: Option<String>,
    /// Name and value of a header field; the value is compared without case.
    pub header: Option<(String, String)>,
    /// Name and value of a parameter of the request-URI; the value is compared without case.
    pub uri_param: Option<(String, String)>,
}

impl CallMatch {
    fn matches(&self, call: &CallFields<'_>) -> bool {
        let same = |wanted: &Option<String>, actual: &str| {
            wanted.as_ref().is_none_or(|w| w.eq_ignore_ascii_case(actual))
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

/// A rule: calls that match the condition get the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRule<T> {
    /// The condition.
    pub when: CallMatch,
    /// What matching calls get.
    pub value: T,
}

/// How the pool of first choice is selected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolChoice {
    /// A fixed pool.
    Pool(Cell),
    /// One of several pools, by a hash of the number called: the same number always gets the same pool.
    Spread(Vec<Cell>),
}

/// All rules, in order of precedence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRules {
    /// Rules for the class; calls that match none have no class and are refused.
    pub class: Vec<CallRule<ClassId>>,
    /// Rules for the tenant.
    pub tenant: Vec<CallRule<TenantId>>,
    /// Rules for the pool of first choice.
    pub first_pool: Vec<CallRule<PoolChoice>>,
}

/// The result of the rules for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classification {
    /// The class.
    pub class: Option<ClassId>,
    /// The tenant.
    pub tenant: Option<TenantId>,
    /// The pool of first choice.
    pub first_pool: Cell,
    /// The number called.
    pub number: String,
}

/// The parts of a call that conditions look at.
struct CallFields<'a> {
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
        // A URI without a user part calls its host.
        let number = if number.is_empty() { uri.host.to_owned() } else { number.into_owned() };
        let fields = CallFields { invite, uri, from_host, number: &number };
        let first_pool = match first_match(&self.first_pool, &fields) {
            Some(PoolChoice::Pool(cell)) => *cell,
            Some(PoolChoice::Spread(cells)) if !cells.is_empty() => {
                let mut hash = SipHasher13::new();
                hash.write(number.as_bytes());
                cells[(hash.finish() % cells.len() as u64) as usize]
            }
            _ => Cell::default(),
        };
        let class = first_match(&self.class, &fields).copied();
        let tenant = first_match(&self.tenant, &fields).copied();
        Classification { class, tenant, first_pool, number }
    }
}

fn first_match<'r, T>(rules: &'r [CallRule<T>], fields: &CallFields<'_>) -> Option<&'r T> {
    rules.iter().find(|rule| rule.when.matches(fields)).map(|rule| &rule.value)
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
    fn first_matching_rule_decides_and_a_call_without_a_match_has_no_class() {
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
            first_pool: vec![
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
        let bank = classify("sip:+91-484-1;tgrp=TG-7;trunk-context=x@gw.example", "X-Kind: check\r\n");
        assert_eq!(
            (bank.class, bank.tenant, bank.first_pool),
            (Some(ClassId(1)), Some(TenantId(4)), Cell(7))
        );
        assert_eq!(bank.number, "+914841");
        assert_eq!(classify("tel:5551", "x-kind: CHECK\r\n").class, Some(ClassId(0)));
        assert_eq!(classify("sip:5551@gw.example;kind=push", "").class, Some(ClassId(2)));
        let other = classify("sip:5551@gw.example", "");
        assert_eq!(other.class, None);
        assert_eq!(other.first_pool, classify("sip:555-1@elsewhere.example", "").first_pool);
        let pools: std::collections::BTreeSet<Cell> =
            (0..40).map(|n| classify(&format!("sip:{n}@h"), "").first_pool).collect();
        assert_eq!(pools.len(), 3);
    }
}
