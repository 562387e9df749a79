//! Errors that end the daemon.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use currantlink_core::fold::FoldError;
use derive_more::{Display, Error, From};

use crate::link::LinkError;
use crate::platform::PlatformError;
use crate::settings::SettingsError;

/// Error that ends the daemon.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// The settings cannot be read or are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A file cannot be read.
    #[display("could not read {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A thread or runtime cannot be started.
    #[display("could not start a thread or runtime: {_0}")]
    Thread(io::Error),
    /// An address cannot be bound.
    #[display("could not listen on {address}: {source}")]
    Bind {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The HTTP server cannot be started.
    #[display("could not start the HTTP server on {address}: {detail}")]
    #[from(ignore)]
    Http {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause.
        detail: String,
    },
    /// The metrics recorder cannot be installed.
    #[display("could not install the metrics recorder: {_0}")]
    Metrics(metrics_exporter_prometheus::BuildError),
    /// A link failed.
    #[display("{_0}")]
    Link(LinkError),
    /// A request to the platform failed.
    #[display("{_0}")]
    Platform(PlatformError),
    /// The records of the log cannot be applied.
    #[display("{_0}")]
    Fold(FoldError),
    /// The settings or the OpenAPI document cannot be written to standard output.
    #[display("could not write JSON: {_0}")]
    #[from(ignore)]
    Print(io::Error),
}
