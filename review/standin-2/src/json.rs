//! Minimal JSON values: enough for the bodies of the platform's protocol.

use std::collections::BTreeMap;
use std::fmt::Write as _;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut position = 0;
        let value = parse_value(bytes, &mut position)?;
        skip_space(bytes, &mut position);
        (position == bytes.len()).then_some(value)
    }

    pub fn get(&self, field: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(field).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn encode(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(number) if number.fract() == 0.0 => {
                let _ = write!(out, "{}", *number as i64);
            }
            Json::Number(number) => {
                let _ = write!(out, "{number}");
            }
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Json::Number(number as f64)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Json::Bool(value)
    }
}

/// Builds an object from pairs of names and values.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value));
    Json::Object(fields.collect())
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            other if (other as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", other as u32);
            }
            other => out.push(other),
        }
    }
    out.push('"');
}

fn skip_space(bytes: &[u8], position: &mut usize) {
    while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn parse_value(bytes: &[u8], position: &mut usize) -> Option<Json> {
    skip_space(bytes, position);
    match bytes.get(*position)? {
        b'{' => parse_object(bytes, position),
        b'[' => parse_list(bytes, position),
        b'"' => Some(Json::Text(parse_text(bytes, position)?)),
        b't' => parse_word(bytes, position, "true", Json::Bool(true)),
        b'f' => parse_word(bytes, position, "false", Json::Bool(false)),
        b'n' => parse_word(bytes, position, "null", Json::Null),
        _ => parse_number(bytes, position),
    }
}

fn parse_word(bytes: &[u8], position: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*position..].starts_with(word.as_bytes()).then(|| {
        *position += word.len();
        value
    })
}

fn parse_number(bytes: &[u8], position: &mut usize) -> Option<Json> {
    let start = *position;
    while bytes
        .get(*position)
        .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte))
    {
        *position += 1;
    }
    let text = std::str::from_utf8(&bytes[start..*position]).ok()?;
    text.parse().ok().map(Json::Number)
}

fn parse_text(bytes: &[u8], position: &mut usize) -> Option<String> {
    *position += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*position)?;
        *position += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*position)?;
                *position += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = bytes.get(*position..*position + 4)?;
                        *position += 4;
                        let code =
                            u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                        let character = char::from_u32(code).unwrap_or('?');
                        out.extend(character.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

fn parse_list(bytes: &[u8], position: &mut usize) -> Option<Json> {
    *position += 1;
    let mut items = Vec::new();
    skip_space(bytes, position);
    if bytes.get(*position) == Some(&b']') {
        *position += 1;
        return Some(Json::List(items));
    }
    loop {
        items.push(parse_value(bytes, position)?);
        skip_space(bytes, position);
        let byte = *bytes.get(*position)?;
        *position += 1;
        match byte {
            b',' => {}
            b']' => return Some(Json::List(items)),
            _ => return None,
        }
    }
}

fn parse_object(bytes: &[u8], position: &mut usize) -> Option<Json> {
    *position += 1;
    let mut fields = BTreeMap::new();
    skip_space(bytes, position);
    if bytes.get(*position) == Some(&b'}') {
        *position += 1;
        return Some(Json::Object(fields));
    }
    loop {
        skip_space(bytes, position);
        let name = parse_text(bytes, position)?;
        skip_space(bytes, position);
        if bytes.get(*position) != Some(&b':') {
            return None;
        }
        *position += 1;
        fields.insert(name, parse_value(bytes, position)?);
        skip_space(bytes, position);
        let byte = *bytes.get(*position)?;
        *position += 1;
        match byte {
            b',' => {}
            b'}' => return Some(Json::Object(fields)),
            _ => return None,
        }
    }
}
