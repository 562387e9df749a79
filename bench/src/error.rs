//! Errors of the measurements.

use std::io;
use std::path::PathBuf;

use currantlink_core::map::MapError;
use currantlink_daemon::error::DaemonError;
use currantlink_daemon::settings::SettingsError;
use derive_more::{Display, Error, From};

/// Error that ends a measurement.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// A file cannot be read.
    #[display("could not read {}: {source}", path.display())]
    #[from(ignore)]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: io::Error,
    },
    /// A line of a trace is invalid.
    #[display("trace line {line}: {detail}")]
    #[from(ignore)]
    Trace {
        /// Line number, starting at 1.
        line: usize,
        /// Description of the error.
        detail: String,
    },
    /// The trace has no steps.
    #[display("the trace has no steps")]
    EmptyTrace,
    /// The experts do not fit into the slots.
    #[display("{_0}")]
    Map(MapError),
    /// An entry or side failed.
    #[display("{_0}")]
    Daemon(DaemonError),
    /// The settings of an entry or side are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A request failed.
    #[display("request failed: {_0}")]
    Request(hyper::Error),
    /// A request is not valid HTTP.
    #[display("could not build a request: {_0}")]
    BuildRequest(http::Error),
    /// A deployment violated guarantees during a soak test.
    #[display("guarantees were violated with {seeds} seeds")]
    #[from(ignore)]
    GuaranteesViolated {
        /// Number of seeds with violations.
        seeds: u64,
    },
    /// The processes did not become ready in time, or a load task panicked.
    #[display("the processes were not ready in time")]
    NotReady,
    /// Access to standard output, a file, a socket or a process failed.
    #[display("I/O error: {_0}")]
    Io(io::Error),
    /// A report cannot be serialized.
    #[display("could not write json: {_0}")]
    Json(serde_json::Error),
}

impl BenchError {
    /// Returns whether the reader closed standard output.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, BenchError::Io(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}
