//! The `config check-record` subcommand.

use std::fs;
use std::path::Path;

use currantlink_core::table_check::{Draft, Finding, Severity, findings};
use currantlink_core::table_diff::{Change, Difference, differences};
use currantlink_platform::config::{decode_draft, path, reject_trailing_text};
use currantlink_platform::error::{DecodeError, TextPosition};
use serde::Serialize;

use crate::args::CheckRecord;
use crate::error::{ActiveRecordError, CliError};
use crate::output;

/// Result of a check, as it is printed.
#[derive(Serialize)]
struct Report {
    /// Version of the checked record, if it can be decoded.
    version: Option<u64>,
    /// Version of the active record, if there is one and it can be decoded.
    active_version: Option<u64>,
    findings: Vec<FindingRow>,
    /// Differences from the active record, if both records can be decoded.
    differences: Option<Vec<DifferenceRow>>,
    /// Why the active record cannot be used.
    comparison_error: Option<String>,
}

#[derive(Serialize)]
struct FindingRow {
    location: String,
    severity: String,
    code: &'static str,
    message: String,
    /// Location of the other entry that causes the finding.
    related: Option<String>,
    /// Position in the text of what the decoder rejects.
    line: Option<usize>,
    column: Option<usize>,
}

#[derive(Serialize)]
struct DifferenceRow {
    location: String,
    severity: String,
    code: &'static str,
    name: Option<String>,
    before: Option<String>,
    after: Option<String>,
}

impl CheckRecord {
    /// Prints the findings of a configuration record, and its differences from the active version.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, the active version cannot be decoded, or errors are found.
    pub fn run(&self) -> Result<(), CliError> {
        let text = fs::read(&self.file)
            .map_err(|source| CliError::Record { path: self.file.clone(), source })?;
        let active = self.active.as_deref().map(read_active).transpose();
        let (report, not_compared) = match active {
            Ok(active) => (Report::of(&text, active.as_ref()), None),
            Err(error) => {
                let report = Report::of(&text, None);
                (Report { comparison_error: Some(error.to_string()), ..report }, Some(error))
            }
        };
        match self.json {
            true => output::json(&report)?,
            false => report.lines().iter().try_for_each(output::line)?,
        }
        let count = report.count(Severity::Error);
        match (not_compared, &self.active) {
            (Some(source), Some(path)) => {
                Err(CliError::NotCompared { path: path.clone(), source, count })
            }
            _ if count > 0 => Err(CliError::RecordErrors { path: self.file.clone(), count }),
            _ => Ok(()),
        }
    }
}

fn read_active(path: &Path) -> Result<Draft, ActiveRecordError> {
    Ok(decode_draft(&fs::read(path)?)?)
}

impl Report {
    fn of(text: &[u8], active: Option<&Draft>) -> Self {
        let active_version = active.map(|active| active.table.version());
        let trailing = reject_trailing_text(text)
            .err()
            .map(|error| FindingRow { code: "trailing-text", ..FindingRow::from(&error) });
        match decode_draft(text) {
            Ok(draft) => {
                let found = findings(&draft, active.map(|active| &active.table));
                let found = found.iter().map(FindingRow::from);
                let differences = active.map(|active| differences(active, &draft));
                Self {
                    version: Some(draft.table.version()),
                    active_version,
                    findings: trailing.into_iter().chain(found).collect(),
                    differences: differences.map(|d| d.iter().map(DifferenceRow::from).collect()),
                    comparison_error: None,
                }
            }
            Err(error) => Self {
                version: None,
                active_version,
                findings: vec![FindingRow::from(&error)],
                differences: None,
                comparison_error: None,
            },
        }
    }

    fn count(&self, severity: Severity) -> usize {
        let severity = severity.to_string();
        self.findings.iter().filter(|finding| finding.severity == severity).count()
    }

    fn lines(&self) -> Vec<String> {
        let findings = self.findings.iter().map(FindingRow::line);
        let differences = self.differences.iter().flatten().map(DifferenceRow::line);
        let counts = format!(
            "errors: {}, warnings: {}",
            self.count(Severity::Error),
            self.count(Severity::Warning)
        );
        let summary = match (&self.differences, self.active_version) {
            (Some(found), Some(version)) => {
                format!("{counts}, differences from version {version}: {}", found.len())
            }
            _ => counts,
        };
        findings.chain(differences).chain([summary]).collect()
    }
}

impl FindingRow {
    fn line(&self) -> String {
        let Self { location, severity, code, message, related, .. } = self;
        let related = related.as_ref().map(|at| format!(" (see {at})")).unwrap_or_default();
        let position = match (self.line, self.column) {
            (Some(line), Some(column)) => format!(" ({})", TextPosition { line, column }),
            _ => String::new(),
        };
        let position = Some(position).filter(|at| !at.contains(location)).unwrap_or_default();
        format!("{severity}: {location}{position}: {message}{related} [{code}]")
    }
}

impl From<&Finding> for FindingRow {
    fn from(finding: &Finding) -> Self {
        let problem = &finding.problem;
        Self {
            location: path(finding.location),
            severity: problem.severity().to_string(),
            code: problem.code(),
            message: problem.to_string(),
            related: problem.related().map(path),
            line: None,
            column: None,
        }
    }
}

impl From<&DecodeError> for FindingRow {
    fn from(error: &DecodeError) -> Self {
        let row = Self {
            location: ".".to_owned(),
            severity: Severity::Error.to_string(),
            code: "invalid-record",
            message: error.to_string(),
            related: None,
            line: None,
            column: None,
        };
        let DecodeError::Json { path, detail, position, is_syntax, .. } = error else {
            return row;
        };
        let TextPosition { line, column } = *position;
        // The position is printed with the location.
        let suffix = format!(" at line {line} column {column}");
        let location = match *is_syntax {
            true => position.to_string(),
            false => path.clone(),
        };
        Self {
            location,
            code: if *is_syntax { "invalid-json" } else { "invalid-value" },
            message: detail.strip_suffix(&suffix).unwrap_or(detail).to_owned(),
            line: Some(line),
            column: Some(column),
            ..row
        }
    }
}

impl DifferenceRow {
    fn line(&self) -> String {
        let Self { location, code, name, before, after, .. } = self;
        let name = name.as_ref().map(|name| format!(" ({name:?})")).unwrap_or_default();
        match (before, after) {
            (Some(before), Some(after)) => format!("{code}: {location}{name}: {before} -> {after}"),
            _ => format!("{code}: {location}{name}"),
        }
    }
}

impl From<&Difference> for DifferenceRow {
    fn from(difference: &Difference) -> Self {
        let (before, after) = match &difference.change {
            Change::Changed { before, after } => {
                (Some(before.to_string()), Some(after.to_string()))
            }
            Change::Added | Change::Removed => (None, None),
        };
        Self {
            location: path(difference.location),
            severity: Severity::Warning.to_string(),
            code: difference.change.code(),
            name: difference.name.clone(),
            before,
            after,
        }
    }
}
