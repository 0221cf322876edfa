//! Reads TOML files key by key and collects findings with their places, so that an operator sees all of them at once.

use std::{cell::RefCell, fs, net::SocketAddr, ops::Range, path::Path, time::Duration};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::error::{Error, Findings, Place};

/// A file's text and the findings collected so far.
pub struct Document<'a> {
    file: &'a str,
    text: &'a str,
    findings: RefCell<Findings>,
}

impl<'a> Document<'a> {
    /// Creates a document of `text`, which findings name as `file`.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, findings: RefCell::new(Findings::default()) }
    }

    /// Parses the text; syntax errors become findings.
    pub fn parse(&self) -> Spanned<DeTable<'a>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let offset = error.span().map_or(0, |it| it.start);
            self.add_finding(offset, error.message());
        }
        table
    }

    /// Records a finding at byte `offset`.
    pub fn add_finding(&self, offset: usize, message: impl Into<Box<str>>) {
        let place = Place::at(self.file, self.text, offset);
        self.findings.borrow_mut().push(place, message);
    }

    /// Returns the findings in the order of their places.
    pub fn into_findings(self) -> Findings {
        self.findings.into_inner().sorted()
    }
}

/// One table of a document. [`Section::reject_unknown_keys`] reports the keys that were not read.
pub struct Section<'a> {
    doc: &'a Document<'a>,
    name: Box<str>,
    start: usize,
    table: &'a DeTable<'a>,
    read_keys: Vec<&'static str>,
}

impl<'a> Section<'a> {
    /// Creates a section of `table`, which begins at byte `start` and which findings name as `name`.
    pub fn new(doc: &'a Document<'a>, name: &str, start: usize, table: &'a DeTable<'a>) -> Self {
        Self { doc, name: name.into(), start, table, read_keys: Vec::new() }
    }

    /// Byte offset of the section's start.
    pub fn start(&self) -> usize {
        self.start
    }

    /// Byte offset of the value of `key`, or of the section's start if the key is missing.
    pub fn offset(&self, key: &str) -> usize {
        self.table.get(key).map_or(self.start, |it| it.span().start)
    }

    fn read_value(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.read_keys.push(key);
        self.table.get(key)
    }

    /// Reads an optional string.
    pub fn text(&mut self, key: &'static str) -> Option<Box<str>> {
        let value = self.read_value(key)?;
        match value.get_ref() {
            DeValue::String(it) => Some(it.as_ref().into()),
            _ => self.wrong_type(key, value.span(), "a string"),
        }
    }

    /// Reads a required string.
    pub fn required_text(&mut self, key: &'static str) -> Option<Box<str>> {
        self.require(key);
        self.text(key)
    }

    /// Reads an optional integer in `range`.
    pub fn number(&mut self, key: &'static str, range: Range<u64>) -> Option<u64> {
        let value = self.read_value(key)?;
        let DeValue::Integer(it) = value.get_ref() else {
            return self.wrong_type(key, value.span(), "a whole number");
        };
        let number = u64::from_str_radix(it.as_str(), it.radix()).ok().filter(|n| range.contains(n));
        if number.is_none() {
            let message = format!("`{key}` must be from {} to {}", range.start, range.end - 1);
            self.doc.add_finding(value.span().start, message);
        }
        number
    }

    /// Reads a required integer in `range`.
    pub fn required_number(&mut self, key: &'static str, range: Range<u64>) -> Option<u64> {
        self.require(key);
        self.number(key, range)
    }

    /// Reads a required IP address with port.
    pub fn required_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.require(key);
        self.address(key)
    }

    /// Reads an optional IP address with port.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let text = self.text(key)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.add_finding(key, format!("`{key}` must be an IP address and port such as \"10.0.0.7:7101\""));
        }
        address
    }

    /// Reads a required number in `range`, with or without a fraction.
    pub fn required_decimal(&mut self, key: &'static str, range: Range<f64>) -> Option<f64> {
        self.require(key);
        self.decimal(key, range)
    }

    /// Reads an optional number in `range`, with or without a fraction.
    pub fn decimal(&mut self, key: &'static str, range: Range<f64>) -> Option<f64> {
        let value = self.read_value(key)?;
        let text = match value.get_ref() {
            DeValue::Integer(it) => it.as_str(),
            DeValue::Float(it) => it.as_str(),
            _ => return self.wrong_type(key, value.span(), "a number"),
        };
        let number = text.parse().ok().filter(|it| range.contains(it));
        if number.is_none() {
            let message = format!("`{key}` must be a number from {} to below {}", range.start, range.end);
            self.doc.add_finding(value.span().start, message);
        }
        number
    }

    /// Reads an optional boolean.
    pub fn flag(&mut self, key: &'static str) -> Option<bool> {
        let value = self.read_value(key)?;
        match value.get_ref() {
            DeValue::Boolean(it) => Some(*it),
            _ => self.wrong_type(key, value.span(), "true or false"),
        }
    }

    /// Reads an optional duration such as "250ms", "2s" or "5m".
    pub fn duration(&mut self, key: &'static str) -> Option<Duration> {
        let text = self.text(key)?;
        let parsed = parse_duration(&text);
        if parsed.is_none() {
            let message = format!("`{key}` must be a duration such as \"250ms\", \"2s\" or \"5m\"");
            self.doc.add_finding(self.offset(key), message);
        }
        parsed
    }

    /// Reads a list of strings; empty if the key is missing.
    pub fn texts(&mut self, key: &'static str) -> Vec<Box<str>> {
        let Some(value) = self.read_value(key) else { return Vec::new() };
        let DeValue::Array(array) = value.get_ref() else {
            self.wrong_type::<()>(key, value.span(), "a list of strings");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in array.iter() {
            match item.get_ref() {
                DeValue::String(it) => texts.push(it.as_ref().into()),
                _ => self.doc.add_finding(item.span().start, format!("`{key}` must hold strings only")),
            }
        }
        texts
    }

    /// Reads the tables of `[[key]]`; none if the key is missing.
    pub fn tables(&mut self, key: &'static str) -> Vec<Self> {
        let Some(value) = self.read_value(key) else { return Vec::new() };
        let DeValue::Array(array) = value.get_ref() else {
            self.wrong_type::<()>(key, value.span(), &format!("a list of tables, written [[{key}]]"));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for item in array.iter() {
            match item.get_ref() {
                DeValue::Table(it) => sections.push(Self::new(self.doc, key, item.span().start, it)),
                _ => self.doc.add_finding(item.span().start, format!("`{key}` must hold tables only")),
            }
        }
        sections
    }

    /// Reads the tables of `[key.NAME]` with their names; none if the key is missing.
    pub fn named_tables(&mut self, key: &'static str) -> Vec<(Box<str>, Self)> {
        let Some(value) = self.read_value(key) else { return Vec::new() };
        let DeValue::Table(table) = value.get_ref() else {
            self.wrong_type::<()>(key, value.span(), &format!("tables, written [{key}.NAME]"));
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (name, item) in table.iter() {
            let start = name.span().start;
            match item.get_ref() {
                DeValue::Table(it) => {
                    let section_name = format!("{key}.{}", name.get_ref());
                    sections.push((name.get_ref().as_ref().into(), Self::new(self.doc, &section_name, start, it)));
                }
                _ => self.doc.add_finding(start, format!("`{key}.{}` must be a table", name.get_ref())),
            }
        }
        sections
    }

    /// Records a finding at the value of `key`.
    pub fn add_finding(&self, key: &str, message: impl Into<Box<str>>) {
        self.doc.add_finding(self.offset(key), message);
    }

    /// Records a finding for every key that was not read. `refusal_reason` returns why a known key is refused.
    pub fn reject_unknown_keys(self, refusal_reason: fn(&str) -> Option<&'static str>) {
        for key in self.table.keys() {
            let name: &str = key.get_ref().as_ref();
            if self.read_keys.contains(&name) {
                continue;
            }
            let message = match refusal_reason(name) {
                Some(reason) => format!("`{name}` is refused: {reason}"),
                None => format!("unknown key `{name}` in {}; known: {}", self.name, self.read_keys.join(", ")),
            };
            self.doc.add_finding(key.span().start, message);
        }
    }

    fn require(&self, key: &'static str) {
        if self.table.get(key).is_none() {
            self.doc.add_finding(self.start, format!("{} lacks `{key}`", self.name));
        }
    }

    fn wrong_type<T>(&self, key: &str, span: Range<usize>, expected: &str) -> Option<T> {
        self.doc.add_finding(span.start, format!("`{key}` must be {expected}"));
        None
    }
}

/// Parses a duration such as "250ms", "2s", "5m" or "1h". Returns `None` for zero and malformed texts.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    let millis = match &text[digits..] {
        "ms" => count,
        "s" => count.checked_mul(1_000)?,
        "m" => count.checked_mul(60_000)?,
        "h" => count.checked_mul(3_600_000)?,
        _ => return None,
    };
    (millis > 0).then(|| Duration::from_millis(millis))
}

/// Formats a duration for [`parse_duration`]; fractions of a millisecond are dropped.
pub fn format_duration(duration: Duration) -> Box<str> {
    let millis = duration.as_millis();
    if millis.is_multiple_of(1_000) { format!("{}s", millis / 1_000).into() } else { format!("{millis}ms").into() }
}

/// Reads the file at `path` and parses it with `parse`, which gets the file's name and text.
///
/// # Errors
///
/// The file can't be read, or `parse` returns findings.
pub fn load<T>(path: &Path, parse: impl FnOnce(&str, &str) -> Result<T, Findings>) -> Result<T, Error> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|it| Error::io(name.clone(), it))?;
    parse(&name, &text).map_err(Error::Findings)
}

/// Parses settings with `read`, which returns `None` if a required key is missing or invalid.
///
/// # Errors
///
/// All findings, including unknown keys.
pub fn parse_settings<T>(
    file: &str,
    text: &str,
    section_name: &str,
    read: impl FnOnce(&mut Section<'_>) -> Option<T>,
) -> Result<T, Findings> {
    let doc = Document::new(file, text);
    let table = doc.parse();
    let mut section = Section::new(&doc, section_name, 0, table.get_ref());
    let settings = read(&mut section);
    section.reject_unknown_keys(|_| None);
    let findings = doc.into_findings();
    match settings {
        Some(it) if findings.is_empty() => Ok(it),
        _ => Err(findings),
    }
}
