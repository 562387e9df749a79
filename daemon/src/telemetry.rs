//! Metrics of the process and the log of the HTTP library.

use std::time::Duration;

use http::Response;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::Drain as _;

use crate::error::DaemonError;
use crate::reply::{self, HttpResult};

/// Interval at which the samples of histograms are summarized. Until then each sample is held.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the metrics recorder of the process, and starts the thread that keeps its histograms from
/// growing while nobody reads them.
///
/// # Errors
///
/// Fails if a recorder is already installed or the thread cannot be started.
pub fn install_metrics() -> Result<PrometheusHandle, DaemonError> {
    let handle = PrometheusBuilder::new().install_recorder()?;
    let upkeep = handle.clone();
    std::thread::Builder::new().name("metrics".into()).spawn(move || {
        loop {
            std::thread::sleep(UPKEEP_INTERVAL);
            upkeep.run_upkeep();
        }
    })?;
    Ok(handle)
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
