//! HTTP listeners: caller connections, and the platform's readiness and metrics pages.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use currantlink_core::memory_budget::Phase as BudgetPhase;
use currantlink_platform::names;
use http::{Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::io::InspectReader;

use crate::caller_limits::CallerConnection;
use crate::caller_stream::CallerStream;
use crate::rejection::Rejected;
use crate::request_handler::Gateway;
use crate::response_body::ResponseBody;
use crate::sockets;

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Memory of a connection beside the server's buffer for reading: what it writes, its task, and the
/// head of its request.
const CONNECTION_BYTES: usize = 16 << 10;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Linux error codes for too many descriptors of the process and of the machine.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
/// Limits of reading from a caller whose request was rejected. A connection that is closed with unread
/// bytes is reset, which may destroy the response on its way.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 8 << 20;
const LINGER_BUFFER_BYTES: usize = 16 << 10;
/// Timeout for reading the header of a page request.
const PAGE_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks for idle connections and slow headers.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What happens to the connections of callers while the process serves and stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Connections are accepted and kept open.
    Serving,
    /// Connections that have served a request are closed once idle. The others serve one request, whose
    /// response closes them.
    Closing,
    /// No connection is accepted, and all are closed once idle.
    Closed,
}

/// Accepts caller connections until the phase is `Closed`, then closes the listener.
pub async fn accept_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
    open_connections: Rc<Cell<usize>>,
) {
    loop {
        let fixed_bytes = buffer_bytes(&gateway) + CONNECTION_BYTES;
        let accepted = tokio::select! {
            biased;
            _ = phase.wait_for(|&phase| phase == Phase::Closed) => return,
            accepted = accept_caller(&gateway, &listener, fixed_bytes) => accepted,
        };
        let Some((stream, caller)) = accepted else {
            continue;
        };
        let gateway = Rc::clone(&gateway);
        let mut phase = phase.clone();
        phase.mark_unchanged();
        let open_connection = OpenConnection::begin(&open_connections);
        let connection = gateway.callers.open(caller, fixed_bytes);
        tokio::task::spawn_local(async move {
            serve_caller(gateway, stream, connection, phase).await;
            drop(open_connection);
        });
    }
}

/// Counts a connection as open until dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn begin(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(Rc::clone(open_connections))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts a connection of a caller once the budget has room for it.
async fn accept_caller(
    gateway: &Gateway,
    listener: &TcpListener,
    fixed_bytes: usize,
) -> Option<(TcpStream, IpAddr)> {
    gateway.callers.room_for_connection(fixed_bytes).await;
    match accept(listener).await {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            log::warn!(error:% = error; "failed to accept a connection");
            match error.raw_os_error() {
                Some(EMFILE | ENFILE) => gateway.callers.connection_closed().await,
                _ => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
            None
        }
    }
}

async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, IpAddr)> {
    let (stream, address) = listener.accept().await?;
    sockets::configure(&stream)?;
    Ok((stream, address.ip()))
}

/// Returns the largest size of the server's buffer for reading from a connection.
fn buffer_bytes(gateway: &Gateway) -> usize {
    gateway.caller_limits().max_header_bytes.max(MIN_BUFFER_BYTES)
}

/// Number of active requests on a connection, whether there was any, when the last one ended and when
/// the header of the next one began.
struct ConnectionActivity {
    active_requests: Cell<u32>,
    is_used: Cell<bool>,
    /// Whether the last request was rejected.
    is_rejected: Cell<bool>,
    idle_since: Cell<Instant>,
    header_since: Cell<Option<Instant>>,
}

impl ConnectionActivity {
    fn record_received(&self, bytes: &[u8]) {
        let is_header = !bytes.is_empty() && self.active_requests.get() == 0;
        if is_header && self.header_since.get().is_none() {
            self.header_since.set(Some(Instant::now()));
        }
    }

    fn is_header_late(&self, limit: Duration) -> bool {
        self.header_since.get().is_some_and(|since| since.elapsed() >= limit)
    }

    fn is_idle_for(&self, limit: Duration) -> bool {
        self.active_requests.get() == 0 && self.idle_since.get().elapsed() >= limit
    }
}

/// Counts a request as active until its response has been sent or dropped.
struct ActiveRequest(Rc<ConnectionActivity>, CallerStream);

impl ActiveRequest {
    fn begin(activity: &Rc<ConnectionActivity>, caller: &CallerStream) -> Self {
        caller.set_phase(BudgetPhase::Working);
        activity.active_requests.set(activity.active_requests.get() + 1);
        activity.is_used.set(true);
        activity.header_since.set(None);
        Self(Rc::clone(activity), caller.clone())
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
        self.0.idle_since.set(Instant::now());
        self.1.set_phase(BudgetPhase::Idle);
    }
}

async fn serve_caller(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    budgeted: CallerConnection,
    mut phase: watch::Receiver<Phase>,
) {
    let limits = gateway.caller_limits();
    let idle_limit = Duration::from_millis(limits.idle_timeout_ms);
    let header_limit = Duration::from_millis(limits.header_timeout_ms);
    let activity = Rc::new(ConnectionActivity {
        active_requests: Cell::new(0),
        idle_since: Cell::new(Instant::now()),
        is_used: Cell::new(false),
        is_rejected: Cell::new(false),
        header_since: Cell::new(None),
    });
    let (service_activity, received) = (Rc::clone(&activity), Rc::clone(&activity));
    let stream = CallerStream::new(stream, budgeted.clone());
    let (mut caller, service_caller) = (stream.clone(), stream.clone());
    let stream = InspectReader::new(stream, move |bytes: &[u8]| received.record_received(bytes));
    let (service_gateway, service_connection) = (Rc::clone(&gateway), budgeted.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        if request.version() < Version::HTTP_11 {
            // A response without chunks looks complete if its connection is closed in order.
            service_caller.set_reset_on_close(true);
        }
        let active = ActiveRequest::begin(&service_activity, &service_caller);
        let (gateway, connection) = (Rc::clone(&service_gateway), service_connection.clone());
        let activity = Rc::clone(&service_activity);
        async move {
            let response = gateway.serve(request, connection).await;
            activity.is_rejected.set(response.extensions().get::<Rejected>().is_some());
            Ok::<_, Infallible>(response.map(|body| body.with_guard(active)))
        }
    });
    // The server's own limit for reading a header would also close idle connections.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes(&gateway))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    let mut is_closing = false;
    loop {
        tokio::select! {
            // A request that has arrived is read before the connection may be closed.
            biased;
            done = &mut connection => {
                if done.is_ok() {
                    caller.set_reset_on_close(false);
                }
                match done {
                    Ok(()) if activity.is_rejected.get() && !gateway.is_stopping() => {
                        linger(&mut caller).await;
                    }
                    Ok(()) => {}
                    Err(error) => log::debug!(error:% = error; "caller connection failed"),
                }
                return;
            }
            () = budgeted.gives_way_now() => return,
            // The server does not notice the close while it holds bytes that follow the request.
            () = caller.closed_by_caller() => {
                log::debug!("connection closed by the caller");
                return;
            }
            changed = phase.changed(), if !is_closing => {
                let is_closed = changed.is_err() || *phase.borrow() == Phase::Closed;
                if activity.is_used.get() || is_closed {
                    connection.as_mut().graceful_shutdown();
                    is_closing = true;
                }
            }
            _ = idle_check.tick() => {
                if activity.is_header_late(header_limit) {
                    log::debug!("header of a request not received in time");
                    return;
                }
                if !is_closing && activity.is_idle_for(idle_limit) {
                    connection.as_mut().graceful_shutdown();
                    is_closing = true;
                }
            }
        }
    }
}

/// Reads and discards what a caller still sends, until it closes the connection.
async fn linger(caller: &mut CallerStream) {
    let reading = async {
        let (mut scrap, mut total) = (vec![0; LINGER_BUFFER_BYTES], 0);
        while total < LINGER_BYTES {
            match caller.read(&mut scrap).await {
                Ok(0) | Err(_) => return,
                Ok(read) => total += read,
            }
        }
    };
    if tokio::time::timeout(LINGER_TIMEOUT, reading).await.is_err() {
        log::debug!("caller still sends after its request was rejected");
    }
}

/// Serves the pages that `page` returns by path, and status 404 for other paths, until the process
/// exits.
pub async fn serve_pages(
    listener: TcpListener,
    page: impl Fn(&str) -> Option<Response<ResponseBody>> + 'static,
) {
    let page = Rc::new(page);
    loop {
        let stream = match accept(&listener).await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let page = Rc::clone(&page);
        let service = service_fn(move |request: Request<Incoming>| {
            let response =
                page(request.uri().path()).unwrap_or_else(|| status(StatusCode::NOT_FOUND));
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(PAGE_HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "page connection failed");
            }
        });
    }
}

/// Returns the readiness page: 200 if the gateway is ready, 503 otherwise.
pub fn readiness_page(gateway: Rc<Gateway>) -> impl Fn(&str) -> Option<Response<ResponseBody>> {
    move |path| {
        let code = match gateway.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        (path == names::READINESS_PATH).then(|| status(code))
    }
}

/// Returns the page with this process's Prometheus metrics.
pub fn metrics_page(metrics: PrometheusHandle) -> impl Fn(&str) -> Option<Response<ResponseBody>> {
    move |path| {
        let response = || Response::new(ResponseBody::from_text(metrics.render()));
        (path == "/metrics").then(response)
    }
}

fn status(code: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_text(String::new()));
    *response.status_mut() = code;
    response
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address is in use; the error contains the address.
pub fn listen(address: SocketAddr) -> Result<TcpListener, crate::error::DaemonError> {
    sockets::listen(address).map_err(|source| crate::error::DaemonError::Bind { address, source })
}
