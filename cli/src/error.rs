//! Errors of the command line and their exit codes.

use std::io;
use std::path::PathBuf;

use currantlink_platform::error::DecodeError;
use derive_more::{Display, Error, From};

/// Exit code for wrong arguments and for a record that cannot be read. A check exits with 1 if it finds
/// errors, so these need another code.
pub const INPUT_EXIT_CODE: u8 = 2;

/// Error that ends a command.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// A file or folder cannot be read or written.
    #[display("could not {action} {}: {source}", path.display())]
    File {
        /// Operation, such as `read`.
        action: &'static str,
        /// Path of the file or folder.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// No log contains a line of the request.
    #[display("no log line found for request {request:?}")]
    #[from(ignore)]
    UnknownRequest {
        /// Id of the request.
        request: String,
    },
    /// Standard output cannot be written.
    #[display("could not write to standard output: {_0}")]
    Output(io::Error),
    /// The entry cannot be reached.
    #[display("could not reach {url}: {}", root_cause(source))]
    Unreachable {
        /// URL of the request.
        url: String,
        /// Underlying error.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection failed before the end of the response body.
    #[display("response ended early: {_0}")]
    Interrupted(hyper::Error),
    /// The request is not valid HTTP.
    #[display("could not build the request: {_0}")]
    Request(http::Error),
    /// The URL of the entry has no host.
    #[display("url {url:?} has no host")]
    #[from(ignore)]
    Url {
        /// URL of the request.
        url: String,
    },
    /// The CA certificates or the TLS configuration is invalid.
    #[display("invalid TLS configuration: {_0}")]
    Tls(rustls::Error),
    /// A response or the revisions file is not JSON of the expected shape.
    #[display("unexpected json: {_0}")]
    Json(serde_json::Error),
    /// A configuration folder has problems, which are already printed.
    #[display("{count} problems in {}", folder.display())]
    #[from(ignore)]
    Problems {
        /// Path of the folder.
        folder: PathBuf,
        /// Number of problems.
        count: usize,
    },
    /// The file with a configuration record cannot be read.
    #[display("could not read {}: {source}", path.display())]
    #[from(ignore)]
    Record {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// A configuration record has errors, which are already printed.
    #[display("errors in {}: {count}", path.display())]
    #[from(ignore)]
    RecordErrors {
        /// Path of the file.
        path: PathBuf,
        /// Number of errors.
        count: usize,
    },
    /// The findings are already printed, but the active version of the record could not be read.
    #[display("could not compare with {}: {source}; errors in the checked file: {count}", path.display())]
    #[from(ignore)]
    NotCompared {
        /// Path of the file with the active version.
        path: PathBuf,
        /// Underlying error.
        source: ActiveRecordError,
        /// Number of errors in the checked file.
        count: usize,
    },
    /// The change conflicts with a change that was accepted earlier.
    #[display("conflict: {details}")]
    #[from(ignore)]
    Conflict {
        /// The conflicts, as reported by the entry.
        details: String,
    },
    /// The entry refused the request with an error status and no outcome.
    #[display("entry refused the request with status {status}: {message}")]
    #[from(ignore)]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Error message of the entry.
        message: String,
    },
    /// A request ended without a result from the backend.
    #[display("{outcome}: {message}")]
    #[from(ignore)]
    RequestFailed {
        /// `not-run`, `failed` or `unknown`.
        outcome: String,
        /// Error message of the entry.
        message: String,
    },
    /// The entry redirected too often, or without a location.
    #[display("too many redirects, or a redirect without a location")]
    #[from(ignore)]
    TooManyRedirects,
}

/// The active version of a configuration record cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum ActiveRecordError {
    /// The file cannot be read.
    Read(io::Error),
    /// The file is no configuration.
    Decode(DecodeError),
}

/// Returns the innermost error, for example a refused connection.
fn root_cause(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => root_cause(source),
        None => error.to_string(),
    }
}

impl CliError {
    /// Returns the exit code: 1 other, 2 unreadable record, 3 refused, 4 conflict, 5 not run, 6 failed,
    /// 7 unknown, 8 unreachable, 9 not compared.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Record { .. } => INPUT_EXIT_CODE,
            CliError::Problems { .. } | CliError::Refused { .. } => 3,
            CliError::Conflict { .. } => 4,
            CliError::RequestFailed { outcome, .. } if outcome == "not-run" => 5,
            CliError::RequestFailed { outcome, .. } if outcome == "failed" => 6,
            CliError::RequestFailed { .. } | CliError::Interrupted(_) => 7,
            CliError::Unreachable { .. } => 8,
            CliError::NotCompared { .. } => 9,
            _ => 1,
        }
    }

    /// Returns whether the reader closed standard output.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, CliError::Output(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}
