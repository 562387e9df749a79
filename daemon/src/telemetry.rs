//! Metrics of the process and the log of the HTTP library.

use http::Response;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::Drain as _;

use crate::error::DaemonError;
use crate::reply::{self, HttpResult};

/// Installs the metrics recorder of the process.
///
/// # Errors
///
/// Fails if a recorder is already installed.
pub fn install_metrics() -> Result<PrometheusHandle, DaemonError> {
    Ok(PrometheusBuilder::new().install_recorder()?)
}

/// Returns a logger that forwards warnings and errors of the HTTP server to the process's log.
pub fn http_log() -> slog::Logger {
    let drain = slog_stdlog::StdLog.filter_level(slog::Level::Warning);
    slog::Logger::root(drain.fuse(), slog::o!())
}

/// Builds an HTTP response with all metrics in the Prometheus text format.
///
/// # Errors
///
/// Fails if the response cannot be built.
pub fn metrics_response(handle: &PrometheusHandle) -> HttpResult {
    let builder = Response::builder().header("content-type", "text/plain; version=0.0.4");
    reply::build(builder, handle.render())
}
