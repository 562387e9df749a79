//! Output of reports to standard output.

use std::io::Write;

use serde::Serialize;

use crate::error::BenchError;

/// Prints a report on one line, as JSON or as text.
///
/// # Errors
///
/// Fails if standard output cannot be written.
pub fn report(
    report: &impl Serialize,
    json: bool,
    text: impl FnOnce() -> String,
) -> Result<(), BenchError> {
    let line = if json { serde_json::to_string(report)? } else { text() };
    writeln!(std::io::stdout().lock(), "{line}")?;
    Ok(())
}
