//! The Forwarded field (RFC 7239 §4): the source of a request as reported by each proxy on its way. Which
//! proxies to trust is not decided here.

use std::net::{IpAddr, Ipv6Addr};

/// A Forwarded field cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the Forwarded field cannot be read")]
pub struct ForwardedError;

/// Limit on the number of hops: more indicate an attack or a loop.
const MAX_HOPS: usize = 32;

/// Returns the `for` address of each hop, beginning with the one that was added first, or `None` for a hop
/// whose address is hidden or unknown (§6.3). `values` are the values of all Forwarded fields, in order.
///
/// # Errors
/// If a value does not follow the grammar, or there are too many hops.
pub fn forwarded_for<'a>(
    values: impl IntoIterator<Item = &'a str>,
) -> Result<Vec<Option<IpAddr>>, ForwardedError> {
    let mut hops = Vec::new();
    for value in values {
        for element in split_unquoted(value, ',')? {
            if element.is_empty() {
                continue;
            }
            let mut hop = None;
            let mut has_for = false;
            for pair in split_unquoted(element, ';')? {
                let (name, value) = pair.split_once('=').ok_or(ForwardedError)?;
                if name.eq_ignore_ascii_case("for") {
                    // A parameter occurs at most once (§4): readers could choose differently between two of
                    // them.
                    if std::mem::replace(&mut has_for, true) {
                        return Err(ForwardedError);
                    }
                    hop = parse_node(value)?;
                } else if name.is_empty() || name.contains([' ', '"']) {
                    return Err(ForwardedError);
                }
            }
            if hops.len() >= MAX_HOPS {
                return Err(ForwardedError);
            }
            hops.push(hop);
        }
    }
    Ok(hops)
}

/// Splits at the separators outside quotes and trims the parts.
fn split_unquoted(text: &str, separator: char) -> Result<Vec<&str>, ForwardedError> {
    let (mut parts, mut start, mut quoted, mut escaped) = (Vec::new(), 0, false, false);
    for (offset, c) in text.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            c if c == separator && !quoted => {
                parts.push(text[start..offset].trim());
                start = offset + 1;
            }
            _ => {}
        }
    }
    if quoted {
        return Err(ForwardedError);
    }
    parts.push(text[start..].trim());
    Ok(parts)
}

/// Parses a node (§6): an address with or without a port, or a word that hides the address.
fn parse_node(value: &str) -> Result<Option<IpAddr>, ForwardedError> {
    let text = match value.strip_prefix('"') {
        Some(rest) => rest.strip_suffix('"').ok_or(ForwardedError)?,
        None => value,
    };
    if let Some(rest) = text.strip_prefix('[') {
        let (address, port) = rest.split_once(']').ok_or(ForwardedError)?;
        check_optional_port(port)?;
        return Ok(Some(address.parse::<Ipv6Addr>().map_err(|_| ForwardedError)?.into()));
    }
    let (name, port) = text.find(':').map_or((text, ""), |at| text.split_at(at));
    check_optional_port(port)?;
    if name.eq_ignore_ascii_case("unknown") {
        return Ok(None);
    }
    if let Some(hidden) = name.strip_prefix('_') {
        let is_valid = hidden.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
        return if is_valid && !hidden.is_empty() { Ok(None) } else { Err(ForwardedError) };
    }
    name.parse().map(|v4: std::net::Ipv4Addr| Some(v4.into())).map_err(|_| ForwardedError)
}

/// Checks that the text after a node name is empty or a port, which may be obfuscated (§6.3).
fn check_optional_port(text: &str) -> Result<(), ForwardedError> {
    let is_valid = |port: &str| {
        let is_number = port.parse::<u16>().is_ok();
        is_number || port.strip_prefix('_').is_some_and(|p| !p.is_empty())
    };
    match text.strip_prefix(':') {
        None if text.is_empty() => Ok(()),
        Some(port) if is_valid(port) => Ok(()),
        _ => Err(ForwardedError),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_forms_of_the_specification_are_parsed() {
        let v4 = |text: &str| Some(text.parse::<IpAddr>().expect("an address"));
        let rows: [(&[&str], Vec<Option<IpAddr>>); 9] = [
            (&["for=192.0.2.43"], vec![v4("192.0.2.43")]),
            (&["For=\"[2001:db8:cafe::17]:4711\""], vec![v4("2001:db8:cafe::17")]),
            (&["for=192.0.2.60;proto=http;by=203.0.113.43"], vec![v4("192.0.2.60")]),
            (&["for=192.0.2.43, for=198.51.100.17"], vec![v4("192.0.2.43"), v4("198.51.100.17")]),
            (
                &["for=192.0.2.43", "for=\"198.51.100.17:80\";host=\"a;b,c\""],
                vec![v4("192.0.2.43"), v4("198.51.100.17")],
            ),
            (&["for=unknown, for=_hidden:_obf"], vec![None, None]),
            (&["proto=https"], vec![None]),
            (&["host=\"a\\\"b\";for=10.0.0.1"], vec![v4("10.0.0.1")]),
            (&[""], vec![]),
        ];
        for (values, expected) in rows {
            assert_eq!(forwarded_for(values.iter().copied()), Ok(expected), "{values:?}");
        }
    }

    #[test]
    fn values_outside_the_grammar_are_refused() {
        let many = vec!["for=10.0.0.1"; 33].join(",");
        let invalid = [
            "for=\"[::1",
            "for=[::1",
            "for=1.2.3",
            "for=1.2.3.4:x",
            "for=_",
            "for",
            "for=1.2.3.4;for=1.2.3.5",
            "for=\"1.2.3.4",
            "a b=c",
            "for=1.2.3.4:99999",
            "for=::1",
            &many,
        ];
        for text in invalid {
            assert_eq!(forwarded_for([text]), Err(ForwardedError), "{text}");
        }
    }
}
