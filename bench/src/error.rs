//! Failures of a measurement.

use std::io;
use std::path::PathBuf;

use currantlink_core::map::MapError;
use currantlink_daemon::error::DaemonError;
use currantlink_daemon::settings::SettingsError;
use derive_more::{Display, Error, From};

/// What ends a measurement.
#[derive(Debug, Display, Error, From)]
pub enum BenchError {
    /// A file cannot be read.
    #[display("could not read {}: {source}", path.display())]
    #[from(ignore)]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A line of a trace is wrong.
    #[display("trace line {line}: {detail}")]
    #[from(ignore)]
    Trace {
        /// Number of the line.
        line: usize,
        /// What is wrong.
        detail: String,
    },
    /// The trace has no steps.
    #[display("the trace is empty")]
    Empty,
    /// The experts do not fit the slots.
    #[display("{_0}")]
    Map(MapError),
    /// The daemon failed.
    #[display("{_0}")]
    Daemon(DaemonError),
    /// The settings are wrong.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A request failed.
    #[display("request failed: {_0}")]
    Request(hyper::Error),
    /// A request could not be formed.
    #[display("bad request: {_0}")]
    Form(http::Error),
    /// A soak broke promises.
    #[display("promises were broken with {seeds} seeds")]
    #[from(ignore)]
    PromisesBroken {
        /// Number of seeds.
        seeds: u64,
    },
    /// The processes were not ready in time.
    #[display("the processes were not ready in time")]
    NotReady,
    /// Output, a file or a process failed.
    #[display("i/o failed: {_0}")]
    Print(io::Error),
    /// A value cannot be written as JSON.
    #[display("could not write json: {_0}")]
    Json(serde_json::Error),
}

impl BenchError {
    /// Returns whether the reader of the output went away.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, BenchError::Print(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}
