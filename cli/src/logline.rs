//! Parser for the log lines of `currantlinkd`.

use std::collections::BTreeMap;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// UTC timestamp as logged. All timestamps have the same format, so they sort as text.
    pub time: String,
    /// Value of `msg`.
    pub message: String,
    /// The other key-value pairs.
    pub pairs: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line, or returns `None` if the line has a different format.
    pub fn parse(line: &str) -> Option<Self> {
        let (time, rest) = line.split_once(' ')?;
        let (_level, rest) = rest.split_once(' ')?;
        let (_target, rest) = rest.split_once(' ')?;
        let mut pairs = parse_pairs(rest)?;
        let message = pairs.remove("msg")?;
        Some(Self { time: time.to_owned(), message, pairs })
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(String::as_str)
    }
}

fn parse_pairs(mut text: &str) -> Option<BTreeMap<String, String>> {
    let mut pairs = BTreeMap::new();
    while !text.trim_start().is_empty() {
        let (key, rest) = text.trim_start().split_once('=')?;
        let (value, rest) = match rest.strip_prefix('"') {
            Some(quoted) => parse_quoted(quoted)?,
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

/// Parses up to the closing quote and returns the value and the remaining text.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => return Some((value, &text[index + 1..])),
            '\\' => value.push(chars.next()?.1),
            c => value.push(c),
        }
    }
    None
}
