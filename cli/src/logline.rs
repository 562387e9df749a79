//! Lines of the daemons' logs.

use std::collections::BTreeMap;

/// A line: time, message and key-value pairs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Time in UTC, as written; lines of one format sort by it.
    pub time: String,
    /// Message.
    pub message: String,
    /// Key-value pairs.
    pub pairs: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line; nothing where it is none.
    pub fn parse(line: &str) -> Option<Self> {
        let (time, rest) = line.split_once(' ')?;
        let (_level, rest) = rest.split_once(' ')?;
        let (_target, rest) = rest.split_once(' ')?;
        let mut pairs = read_pairs(rest)?;
        let message = pairs.remove("msg")?;
        Some(Self { time: time.to_owned(), message, pairs })
    }

    /// Returns a value.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(String::as_str)
    }
}

fn read_pairs(mut text: &str) -> Option<BTreeMap<String, String>> {
    let mut pairs = BTreeMap::new();
    while !text.trim_start().is_empty() {
        let (key, rest) = text.trim_start().split_once('=')?;
        let (value, rest) = match rest.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted)?,
            None => {
                let end = rest.find(' ').unwrap_or(rest.len());
                (rest[..end].to_owned(), &rest[end..])
            }
        };
        pairs.insert(key.to_owned(), value);
        text = rest;
    }
    Some(pairs)
}

/// Reads up to the closing quote; returns the value and what follows it.
fn read_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => value.push(chars.next()?.1),
            c => value.push(c),
        }
    }
    None
}
