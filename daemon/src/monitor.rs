//! HTTP server of a side for operators: status and metrics.

use std::sync::Arc;

use arc_swap::ArcSwap;
use dropshot::{
    ApiDescription, ConfigDropshot, HttpServer, RequestContext, ServerBuilder, endpoint,
};
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;

use crate::error::DaemonError;
use crate::reply::{self, HttpResult};
use crate::settings::Side;
use crate::side_control::SideView;
use crate::telemetry;

/// State shared by the HTTP handlers of a side.
pub struct SideContext {
    view: Arc<ArcSwap<SideView>>,
    metrics: PrometheusHandle,
}

#[derive(Serialize)]
struct SideStatusBody {
    backend: String,
    incarnation: String,
    draining: bool,
    queued: u32,
    running: u32,
    remembered: usize,
    config_offset: u64,
    map_version: u64,
}

/// Returns the status of the side.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(context: RequestContext<Arc<SideContext>>) -> HttpResult {
    let view = context.context().view.load();
    let status = &view.status;
    let body = SideStatusBody {
        backend: status.backend.clone(),
        incarnation: format!("{:016x}", status.incarnation),
        draining: status.draining,
        queued: status.queued,
        running: status.running,
        remembered: view.retained,
        config_offset: status.config_offset,
        map_version: status.map_version,
    };
    reply::json(StatusCode::OK, &body)
}

/// Returns the metrics of the side in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn show_metrics(context: RequestContext<Arc<SideContext>>) -> HttpResult {
    let view = context.context().view.load();
    metrics::gauge!("currantlink_calls_running").set(f64::from(view.status.running));
    metrics::gauge!("currantlink_calls_queued").set(f64::from(view.status.queued));
    metrics::gauge!("currantlink_calls_remembered").set(view.retained as f64);
    metrics::gauge!("currantlink_config_offset").set(view.status.config_offset as f64);
    telemetry::metrics_response(&context.context().metrics)
}

/// Starts the HTTP server for operators.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve(
    settings: &Side,
    view: Arc<ArcSwap<SideView>>,
    metrics: PrometheusHandle,
) -> Result<HttpServer<Arc<SideContext>>, DaemonError> {
    let address = settings.http_address;
    let mut api = ApiDescription::new();
    let failed = |detail: String| DaemonError::Http { address, detail };
    api.register(show_status).map_err(|e| failed(e.to_string()))?;
    api.register(show_metrics).map_err(|e| failed(e.to_string()))?;
    let config = ConfigDropshot { bind_address: address, ..ConfigDropshot::default() };
    let context = Arc::new(SideContext { view, metrics });
    let server = ServerBuilder::new(api, context, telemetry::http_log()).config(config).start();
    server.map_err(|e| failed(e.to_string()))
}
