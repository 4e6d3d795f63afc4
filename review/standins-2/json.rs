//! A small JSON reader, enough for the messages of the platform's protocol.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn read(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, key: &str) -> Option<i64> {
        match self.get(key) {
            Some(Json::Number(number)) => Some(*number as i64),
            _ => None,
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let found = bytes.get(*at..*at + word.len())? == word.as_bytes();
    *at += word.len();
    found.then_some(value)
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                space(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Object(map));
                }
                let key = string(bytes, at)?;
                space(bytes, at);
                if bytes.get(*at)? != &b':' {
                    return None;
                }
                *at += 1;
                map.insert(key, value(bytes, at)?);
                space(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(value(bytes, at)?);
                space(bytes, at);
                if bytes.get(*at)? == &b',' {
                    *at += 1;
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b'r' => out.push(b'\r'),
                    b't' => out.push(b'\t'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        out.extend(letter.to_string().bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

/// Text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}
