//! Functions that write to standard output.

use std::io::{self, Write};

use serde::Serialize;

use crate::error::CliError;

/// Writes a line.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn line(text: impl AsRef<str>) -> Result<(), CliError> {
    writeln!(io::stdout().lock(), "{}", text.as_ref())?;
    Ok(())
}

/// Writes bytes unchanged and flushes.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn raw(bytes: &[u8]) -> Result<(), CliError> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()?;
    Ok(())
}

/// Writes a value as indented JSON.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn json(value: &impl Serialize) -> Result<(), CliError> {
    line(serde_json::to_string_pretty(value)?)
}
