//! A small JSON reader and writer.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Map(BTreeMap<String, Value>),
}

impl Value {
    /// Returns a field of a map.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Map(fields) => fields.get(key),
            _ => None,
        }
    }

    /// Returns a text field, empty if it is missing.
    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns a number field, if there is one.
    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Value::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns the entries of a list field, none if it is missing.
    pub fn list(&self, key: &str) -> &[Value] {
        match self.get(key) {
            Some(Value::List(entries)) => entries,
            _ => &[],
        }
    }
}

/// Writes a text with quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

/// Parses a text; returns `None` if it isn't valid.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.blanks();
    (reader.at == text.len()).then_some(value)
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn blanks(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        let rest = self.text.get(self.at..)?;
        rest.starts_with(word.as_bytes())
            .then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Value> {
        self.blanks();
        match *self.text.get(self.at)? {
            b'n' => self.take("null").map(|()| Value::Null),
            b't' => self.take("true").map(|()| Value::Bool(true)),
            b'f' => self.take("false").map(|()| Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => self.list(),
            b'{' => self.map(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        let part = |c: &u8| c.is_ascii_digit() || b"+-.eE".contains(c);
        while self.text.get(self.at).is_some_and(part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut out = Vec::new();
        loop {
            let c = *self.text.get(self.at)?;
            self.at += 1;
            match c {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let c = char::from_u32(code)?;
                            out.extend(c.to_string().bytes());
                        }
                        other => out.push(other),
                    }
                }
                c => out.push(c),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take("[")?;
        let mut entries = Vec::new();
        self.blanks();
        if self.take("]").is_some() {
            return Some(Value::List(entries));
        }
        loop {
            entries.push(self.value()?);
            self.blanks();
            if self.take("]").is_some() {
                return Some(Value::List(entries));
            }
            self.take(",")?;
        }
    }

    fn map(&mut self) -> Option<Value> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        self.blanks();
        if self.take("}").is_some() {
            return Some(Value::Map(fields));
        }
        loop {
            self.blanks();
            let key = self.string()?;
            self.blanks();
            self.take(":")?;
            fields.insert(key, self.value()?);
            self.blanks();
            if self.take("}").is_some() {
                return Some(Value::Map(fields));
            }
            self.take(",")?;
        }
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
