//! A JSON value with a parser and a writer, as far as the bodies of the pages need them.

use std::fmt::Write;

/// A JSON value. Numbers are kept as `f64`; the integers in use are below 2^53.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of an object, or null.
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Value::Null, |(_, value)| value),
            _ => &Value::Null,
        }
    }

    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Value::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn items(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }

    pub fn render(&self) -> String {
        let mut text = String::new();
        self.write(&mut text);
        text
    }

    fn write(&self, out: &mut String) {
        match self {
            Value::Null => out.push_str("null"),
            Value::Bool(flag) => out.push_str(if *flag { "true" } else { "false" }),
            Value::Number(number) => drop(write!(out, "{number}")),
            Value::Text(text) => write_text(text, out),
            Value::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Value::Object(fields) => {
                out.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => drop(write!(out, "\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Value::Text(text)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Value::Number(number as f64)
    }
}

impl From<bool> for Value {
    fn from(flag: bool) -> Self {
        Value::Bool(flag)
    }
}

impl From<Vec<Value>> for Value {
    fn from(items: Vec<Value>) -> Self {
        Value::List(items)
    }
}

/// Builds an object.
pub fn object(fields: Vec<(&str, Value)>) -> Value {
    let own = |(key, value): (&str, Value)| (key.to_owned(), value);
    Value::Object(fields.into_iter().map(own).collect())
}

/// Parses a JSON text; `None` if it is malformed.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut parser = Parser { bytes, at: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, token: &str) -> Option<()> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(token.as_bytes())
            .then(|| self.at += token.len())
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Value::Null),
            b't' => self.eat("true").map(|()| Value::Bool(true)),
            b'f' => self.eat("false").map(|()| Value::Bool(false)),
            b'"' => self.text().map(Value::Text),
            b'[' => self.list(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b"+-.eE0123456789".contains(b))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    let mut buffer = [0; 4];
                    bytes.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.eat("[")?;
        let mut items = Vec::new();
        self.skip_space();
        if self.eat("]").is_some() {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            self.skip_space();
            if self.eat("]").is_some() {
                return Some(Value::List(items));
            }
            self.eat(",")?;
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.eat("{")?;
        let mut fields = Vec::new();
        self.skip_space();
        if self.eat("}").is_some() {
            return Some(Value::Object(fields));
        }
        loop {
            self.skip_space();
            let key = self.text()?;
            self.skip_space();
            self.eat(":")?;
            fields.push((key, self.value()?));
            self.skip_space();
            if self.eat("}").is_some() {
                return Some(Value::Object(fields));
            }
            self.eat(",")?;
        }
    }
}
