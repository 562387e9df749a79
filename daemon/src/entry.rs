//! The entry role: starts the threads and the HTTP server, and shuts down gracefully.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dropshot::{
    ApiDescription, ConfigDropshot, ConfigTls, HandlerTaskMode, HttpServer, ServerBuilder,
};

use crate::context::EntryContext;
use crate::control;
use crate::error::DaemonError;
use crate::link::Identity;
use crate::settings::Entry;
use crate::stop::{self, StopSignals};
use crate::threads::traffic_runtime;
use crate::uplink::LinkSetup;
use crate::{callers, operators, telemetry};

const STOP_POLL: Duration = Duration::from_millis(20);

/// Runs the entry until a stop signal arrives, then completes the requests in flight. A second stop
/// signal or the end of the grace period stops the entry immediately.
///
/// # Errors
///
/// Fails if a thread, the HTTP server or the metrics cannot be started.
pub fn run(settings: Entry) -> Result<(), DaemonError> {
    let traffic = traffic_runtime(settings.traffic_threads())?;
    let handle = traffic.handle().clone();
    traffic.block_on(serve(settings, handle))
}

async fn serve(settings: Entry, traffic: tokio::runtime::Handle) -> Result<(), DaemonError> {
    let mut signals = StopSignals::listen()?;
    stop::ignore_hangups()?;
    let metrics = telemetry::install_metrics()?;
    let identity =
        Identity { name: settings.name().to_owned(), process_id: rand::random(), generation: 0 };
    let setup =
        LinkSetup { key: settings.link_key.clone(), identity, timing: settings.link_timing() };
    let control = control::start(settings.clone(), setup, traffic)?;
    let context = Arc::new(EntryContext::new(settings, control, metrics));
    let server = start_http(&context)?;
    log::info!(entry = context.settings.name(), address:% = server.local_addr(); "entry started");
    signals.next().await;
    log::info!("entry stopping");
    context.stop_accepting();
    let closing = close_server(server, &context);
    tokio::select! {
        () = closing => {}
        () = signals.next() => log::warn!("second stop signal received; stopping immediately"),
        () = tokio::time::sleep(context.settings.grace()) => log::warn!("grace period expired; stopping immediately"),
    }
    log::info!("entry stopped");
    Ok(())
}

/// Waits for requests in flight, then closes the server, which waits for open responses.
async fn close_server(server: HttpServer<Arc<EntryContext>>, context: &EntryContext) {
    let started = Instant::now();
    while context.in_flight_count() > 0 {
        tokio::time::sleep(STOP_POLL).await;
    }
    if let Err(error) = server.close().await {
        log::warn!(error = error.as_str(); "failed to close the http server");
    }
    log::info!(took_ms = started.elapsed().as_millis() as u64; "all requests are complete");
}

fn start_http(context: &Arc<EntryContext>) -> Result<HttpServer<Arc<EntryContext>>, DaemonError> {
    let settings = &context.settings;
    let address = settings.http_address;
    let config = ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: settings.max_body_bytes(),
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let tls = settings
        .tls
        .clone()
        .map(|files| ConfigTls::AsFile { cert_file: files.certificate, key_file: files.key });
    let started = ServerBuilder::new(api()?, Arc::clone(context), telemetry::http_log())
        .config(config)
        .tls(tls)
        .start();
    started.map_err(|e| DaemonError::Http { address, detail: e.to_string() })
}

/// Returns the description of the entry's HTTP API.
///
/// # Errors
///
/// Fails if two endpoints conflict.
pub fn api() -> Result<ApiDescription<Arc<EntryContext>>, DaemonError> {
    let mut api = ApiDescription::new();
    let registered = register(&mut api);
    registered.map_err(|e| DaemonError::Http {
        address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        detail: e.to_string(),
    })?;
    Ok(api)
}

fn register(
    api: &mut ApiDescription<Arc<EntryContext>>,
) -> Result<(), dropshot::ApiDescriptionRegisterError> {
    api.register(callers::complete)?;
    api.register(callers::plain_get)?;
    api.register(callers::plain_post)?;
    api.register(callers::plain_put)?;
    api.register(callers::plain_patch)?;
    api.register(callers::plain_delete)?;
    api.register(callers::ticket_get)?;
    api.register(callers::ticket_post)?;
    api.register(callers::ticket_put)?;
    api.register(callers::ticket_patch)?;
    api.register(callers::ticket_delete)?;
    api.register(operators::show_status)?;
    api.register(operators::list_backends)?;
    api.register(operators::set_drain)?;
    api.register(operators::show_config)?;
    api.register(operators::list_changes)?;
    api.register(operators::change_config)?;
    api.register(operators::show_change)?;
    api.register(operators::show_metrics)?;
    api.register(operators::show_openapi)?;
    Ok(())
}
