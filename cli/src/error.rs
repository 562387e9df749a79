//! Failures of the command line, each with an exit code that scripts can act on.

use std::io;
use std::path::PathBuf;

use derive_more::{Display, Error, From};

/// What ends a command.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// A file or folder cannot be used.
    #[display("could not {action} {}: {source}", path.display())]
    File {
        /// What was tried.
        action: &'static str,
        /// The path.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// No log tells of a request.
    #[display("no log tells of request {request:?}")]
    #[from(ignore)]
    UnknownRequest {
        /// Its id.
        request: String,
    },
    /// Output failed.
    #[display("could not print: {_0}")]
    Print(io::Error),
    /// The entry cannot be reached.
    #[display("could not reach {url}: {}", root_cause(source))]
    Unreachable {
        /// Its URL.
        url: String,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer broke off.
    #[display("the answer broke off: {_0}")]
    BrokenOff(hyper::Error),
    /// A request could not be formed.
    #[display("bad request: {_0}")]
    Request(http::Error),
    /// The URL of the entry is not usable.
    #[display("bad url {url:?}")]
    #[from(ignore)]
    Url {
        /// The URL.
        url: String,
    },
    /// Certificates are not usable.
    #[display("could not use certificates: {_0}")]
    Tls(rustls::Error),
    /// An answer is no JSON of the expected form.
    #[display("unexpected answer: {_0}")]
    Json(serde_json::Error),
    /// A folder has problems, which were printed.
    #[display("{count} problems in {}", folder.display())]
    #[from(ignore)]
    Problems {
        /// The folder.
        folder: PathBuf,
        /// Their number.
        count: usize,
    },
    /// Another change was accepted first.
    #[display("conflict: {details}")]
    #[from(ignore)]
    Conflict {
        /// Who won.
        details: String,
    },
    /// The entry refused an operator's request.
    #[display("refused with {status}: {message}")]
    #[from(ignore)]
    Refused {
        /// HTTP status.
        status: u16,
        /// What the entry says.
        message: String,
    },
    /// A call has no answer.
    #[display("{outcome}: {message}")]
    #[from(ignore)]
    NoAnswer {
        /// `not-run`, `failed` or `unknown`.
        outcome: String,
        /// What the entry says.
        message: String,
    },
    /// Too many redirects.
    #[display("too many redirects")]
    #[from(ignore)]
    Redirects,
}

/// The innermost cause says what a person can act on.
fn root_cause(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => root_cause(source),
        None => error.to_string(),
    }
}

impl CliError {
    /// Returns the exit code: 1 other, 3 refused, 4 conflict, 5 not run, 6 failed, 7 unknown,
    /// 8 unreachable.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Problems { .. } | CliError::Refused { .. } => 3,
            CliError::Conflict { .. } => 4,
            CliError::NoAnswer { outcome, .. } if outcome == "not-run" => 5,
            CliError::NoAnswer { outcome, .. } if outcome == "failed" => 6,
            CliError::NoAnswer { .. } | CliError::BrokenOff(_) => 7,
            CliError::Unreachable { .. } => 8,
            _ => 1,
        }
    }

    /// Returns whether the reader of the output went away.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, CliError::Print(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}
