//! Small deployment on the loopback interface. The store and the backends run in this process;
//! gateways and agents run as child processes.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantlink_platform::names;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::backends::{Backend, EXPERTS};
use crate::lockstep::Lockstep;
use crate::ports::free_address;
use crate::records::RecordStore;

/// API key of the only workspace.
pub const KEY: &str = "key-one";
/// Name of the only workspace.
pub const WORKSPACE: &str = "workspace-one";
/// Host name of all routes.
pub const HOST: &str = "a.example";
/// Path of a resumable stream.
pub const RESUMABLE: &str = "/resumable/x";
/// Path of a stream that cannot be resumed.
pub const STREAM: &str = "/stream/x";
/// Path of a non-idempotent request, which runs at most once.
pub const ONCE: &str = "/once/x";
/// Path of an idempotent request.
pub const IDEMPOTENT: &str = "/idempotent/x";

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Link address of gateways and agents. `free_address` holds UDP sockets on 127.0.0.1 as reservations,
/// so datagrams use another loopback address.
const LINK_IP: &str = "127.0.0.2";
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const DEADLINE_MS: u64 = 8_000;
const DEFAULT_GRACE_S: u64 = 3;
const DEFAULT_ZONE: &str = "a";

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of ranks of the model group, each with an agent; 0 for no group.
    pub ranks: u32,
    /// Number of backends of the plain service.
    pub plain_backends: usize,
    /// Number of streams that a model backend runs at once, if limited. The platform names 4.
    pub slots: Option<usize>,
    /// Number of events in a stream.
    pub events: u64,
    /// Time from SIGTERM until a process must have exited.
    pub grace_s: u64,
    /// Zones of the plain backends, and of the ranks with their agents, in turn.
    pub zones: &'static [&'static str],
}

impl Shape {
    fn zone(&self, index: usize) -> &'static str {
        self.zones.get(index % self.zones.len().max(1)).copied().unwrap_or(DEFAULT_ZONE)
    }
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            gateways: 1,
            ranks: 0,
            plain_backends: 1,
            slots: None,
            events: 5,
            grace_s: DEFAULT_GRACE_S,
            zones: &[DEFAULT_ZONE],
        }
    }
}

/// Daemon process under test. Dropping the value kills the process.
pub struct Process {
    role: &'static str,
    program: PathBuf,
    /// Path of the settings file.
    pub settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts or restarts the process. Standard output is appended to the log file.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the program cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new(&self.program);
        command.args([self.role, "--settings"]).arg(&self.settings);
        self.child = Some(command.stdout(Stdio::from(log)).spawn()?);
        Ok(())
    }

    /// Returns the path of the log file.
    pub fn log_path(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Returns the process ID, or `None` if the process was not started, or was killed or waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may already have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits; returns whether its exit status is success.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for the process fails.
    pub fn wait(&mut self) -> io::Result<bool> {
        match self.child.take() {
            Some(mut child) => Ok(child.wait()?.success()),
            None => Ok(false),
        }
    }

    /// Returns whether the process exited by itself with a failure status, not through a signal.
    ///
    /// # Errors
    ///
    /// Returns an error if the process status cannot be read.
    pub fn has_failed(&mut self) -> io::Result<bool> {
        use std::os::unix::process::ExitStatusExt;
        let status = match &mut self.child {
            Some(child) => child.try_wait()?,
            None => None,
        };
        Ok(status.is_some_and(|status| !status.success() && status.signal().is_none()))
    }

    /// Returns whether the process is still running.
    ///
    /// # Errors
    ///
    /// Returns an error if the process status cannot be read.
    pub fn is_running(&mut self) -> io::Result<bool> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Gateway process with its addresses.
pub struct GatewayProcess {
    /// Process.
    pub process: Process,
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
}

/// Running deployment.
pub struct Deployment {
    /// Record store of the platform.
    pub records: RecordStore,
    /// Backends of the plain service.
    pub plain_backends: Vec<Backend>,
    /// Addresses of the backends of the plain service.
    pub plain_addresses: Vec<SocketAddr>,
    /// Backends of the model group, one per rank.
    pub model_backends: Vec<Backend>,
    /// Model group, if the deployment has ranks.
    pub group: Option<Lockstep>,
    /// Gateway processes.
    pub gateways: Vec<GatewayProcess>,
    /// Agent processes, one per rank.
    pub agents: Vec<Process>,
    /// Address of the record store.
    pub store: SocketAddr,
    program: PathBuf,
    directory: PathBuf,
    grace_s: u64,
}

impl Deployment {
    /// Starts all parts. `program` is the daemon; settings and logs are written to `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, a file cannot be written or the program cannot
    /// be started.
    pub async fn start(program: &Path, directory: &Path, shape: Shape) -> io::Result<Self> {
        let records = RecordStore::default();
        let store = records.serve(LOOPBACK).await?;
        let mut deployment = Self {
            records,
            plain_backends: Vec::new(),
            plain_addresses: Vec::new(),
            model_backends: Vec::new(),
            group: (shape.ranks > 0).then(|| Lockstep::start(shape.ranks)),
            gateways: Vec::new(),
            agents: Vec::new(),
            store,
            program: program.to_owned(),
            directory: directory.to_owned(),
            grace_s: shape.grace_s,
        };
        deployment.configure(1, &[KEY]);
        for index in 0..shape.plain_backends {
            let id = format!("plain-{index}");
            let backend = Backend::plain(&id);
            let address = backend.serve(LOOPBACK).await?;
            deployment.keep_registered(&backend, "plain", address, shape.zone(index));
            deployment.plain_backends.push(backend);
            deployment.plain_addresses.push(address);
        }
        for rank in 0..shape.ranks as usize {
            deployment.add_model_rank(rank, shape).await?;
        }
        for index in 0..shape.gateways {
            deployment.add_gateway(index)?;
        }
        Ok(deployment)
    }

    async fn add_model_rank(&mut self, rank: usize, shape: Shape) -> io::Result<()> {
        let Some(group) = self.group.clone() else {
            return Ok(());
        };
        let id = format!("model-{rank}");
        let mut backend = Backend::model(&id, group, rank, shape.events);
        shape.slots.into_iter().for_each(|slots| backend.limit_slots(slots));
        let address = backend.serve(LOOPBACK).await?;
        let zone = shape.zone(rank);
        self.keep_registered(&backend, "model", address, zone);
        self.model_backends.push(backend);
        let name = format!("agent-{rank}");
        let settings = json!({ "backend_address": address.to_string(), "failure_domain": zone });
        let settings = self.write_settings(&name, settings)?;
        let mut process = self.new_process("agent", settings);
        process.start()?;
        self.agents.push(process);
        Ok(())
    }

    fn add_gateway(&mut self, index: usize) -> io::Result<()> {
        let (callers, readiness, metrics) = (free_address(), free_address(), free_address());
        let name = format!("gateway-{index}");
        let settings = self.write_settings(
            &name,
            json!({
                "callers_address": callers.to_string(),
                "readiness_address": readiness.to_string(),
                "metrics_address": metrics.to_string(),
            }),
        )?;
        let mut process = self.new_process("gateway", settings);
        process.start()?;
        self.gateways.push(GatewayProcess { process, callers, readiness, metrics });
        Ok(())
    }

    fn new_process(&self, role: &'static str, settings: PathBuf) -> Process {
        Process { role, program: self.program.clone(), settings, child: None }
    }

    fn write_settings(&self, name: &str, role_settings: serde_json::Value) -> io::Result<PathBuf> {
        let link = free_address();
        let mut settings = json!({
            "name": name, "failure_domain": "a", "ip": LINK_IP, "link_port": link.port(),
            "store_address": self.store.to_string(), "drain_ms": 2_000, "grace_s": self.grace_s,
            "retry_ratio": 0.2, "retry_slack": 60.0, "retry_window_s": 10.0,
            "cold_overage": 1.5, "cold_slack": 5.0,
        });
        if let (Some(settings), Some(role_settings)) =
            (settings.as_object_mut(), role_settings.as_object())
        {
            settings.extend(role_settings.clone());
        }
        let path = self.directory.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// Writes the registration record of a backend, as the backend would.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        let record = backend_record(service, address, state, 1, 0, DEFAULT_ZONE);
        self.records.put(names::BACKENDS_TOPIC, id, &record);
    }

    /// Writes the registration record of a backend that has started at `born_ms` and is cold.
    pub fn register_cold(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        born_ms: u64,
        cold_remaining_ms: u64,
    ) {
        let record =
            backend_record(service, address, "ready", born_ms, cold_remaining_ms, DEFAULT_ZONE);
        self.records.put(names::BACKENDS_TOPIC, id, &record);
    }

    /// Removes the registration record of a backend.
    pub fn unregister(&self, id: &str) {
        self.records.put(names::BACKENDS_TOPIC, id, b"");
    }

    /// Writes the registration record of a backend now and after each of its restarts.
    fn keep_registered(
        &self,
        backend: &Backend,
        service: &'static str,
        address: SocketAddr,
        zone: &'static str,
    ) {
        let record = backend_record(service, address, "ready", 1, 0, zone);
        self.records.put(names::BACKENDS_TOPIC, &backend.id(), &record);
        let (backend, records, mut restarts) =
            (backend.clone(), self.records.clone(), backend.restarts());
        tokio::spawn(async move {
            while restarts.changed().await.is_ok() {
                let born_ms = u64::from(*restarts.borrow()) + 1;
                let cold_ms = backend.cold_remaining().as_millis() as u64;
                let record = backend_record(service, address, "ready", born_ms, cold_ms, zone);
                records.put(names::BACKENDS_TOPIC, &backend.id(), &record);
            }
        });
    }

    /// Writes a configuration with the given version and API keys, as an operator would.
    pub fn configure(&self, version: u64, keys: &[&str]) {
        self.put_config(&config(version, keys).to_string());
    }

    /// Evacuates a zone, as an operator would.
    pub fn evacuate(&self, zone: &str) {
        self.put_evacuation(zone, b"{}");
    }

    /// Lifts the evacuation of a zone, as an operator would.
    pub fn lift_evacuation(&self, zone: &str) {
        self.put_evacuation(zone, b"");
    }

    /// Writes arbitrary bytes as the evacuation record of a zone.
    pub fn put_evacuation(&self, zone: &str, value: &[u8]) {
        let key = format!("{}{zone}", names::EVACUATION_KEY_PREFIX);
        self.records.put(names::OPERATOR_TOPIC, &key, value);
    }

    /// Writes arbitrary text as the configuration.
    pub fn put_config(&self, text: &str) {
        self.records.put(names::OPERATOR_TOPIC, names::CONFIG_KEY, text.as_bytes());
    }

    /// Waits until every gateway reports ready.
    pub async fn wait_until_ready(&self) {
        for gateway in &self.gateways {
            let address = gateway.readiness;
            wait_until(|| async move { get(address, names::READINESS_PATH).await == Some(200) })
                .await;
        }
    }

    /// Sends a request to the first gateway and returns the response.
    pub async fn send_request(&self, method: &str, path: &str, id: &str) -> ClientResponse {
        send_request(self.gateways[0].callers, &ClientRequest::new(method, path, id)).await
    }
}

fn backend_record(
    service: &str,
    address: SocketAddr,
    state: &str,
    born_ms: u64,
    cold_remaining_ms: u64,
    zone: &str,
) -> Vec<u8> {
    let record = json!({
        "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": 4, "state": state, "cold_remaining_ms": cold_remaining_ms, "sequence": 1,
        "born": born_ms,
    });
    record.to_string().into_bytes()
}

/// Returns the configuration of a deployment as JSON.
pub fn config(version: u64, keys: &[&str]) -> serde_json::Value {
    let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": prefix.trim_matches('/'), "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 4_000, "target_latency_ms": 400, "priority": 1, "service": service,
            "attempts": 2, "public": false, "resumable": resumable, "gap_target_ms": 120,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/resumable/", "streaming", "model", true),
            route("/stream/", "streaming", "model", false),
            route("/once/", "non_idempotent", "plain", false),
            route("/idempotent/", "idempotent", "plain", false),
        ],
        "services": [
            { "name": "plain", "max_connections": 50 },
            { "name": "model", "max_connections": 50, "engine": {
                "slots": 4, "link_mbps": 44_000.0, "stride": 6, "step_ms": 14.0, "per_seq_ms": 0.1,
                "read_per_s": 74_800.0, "usual": { "prompt": 100, "answer": 30 }, "sets": 1,
                "experts": EXPERTS, "placements": 6, "spare": 2, "expert_mb": 660.0,
                "expert_share": 0.85, "form_ms": 600.0 } },
        ],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 65_536,
            "header_timeout_ms": 1_000, "idle_timeout_ms": 5_000 },
        "tenants": [{ "name": WORKSPACE, "api_keys": keys, "priority": 1 }],
    })
}

/// Sets a field of all routes of a configuration.
///
/// # Panics
///
/// Panics if the configuration has no list of routes.
pub fn set_on_routes(config: &mut serde_json::Value, field: &str, value: u64) {
    let Some(routes) = config["routes"].as_array_mut() else {
        panic!("configuration has no routes");
    };
    for route in routes {
        route[field] = value.into();
    }
}

/// Request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Attempt ID.
    pub id: String,
    /// API key, if any.
    pub key: Option<String>,
    /// Deadline that is sent with the request.
    pub deadline_ms: u64,
    /// ID of the last event that the client received.
    pub last_event_id: Option<u64>,
    /// Parts of the prompt, if any.
    pub prompt_parts: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl ClientRequest {
    /// Creates a request with the API key of the workspace.
    pub fn new(method: &str, path: &str, id: &str) -> Self {
        Self {
            method: method.into(),
            path: path.into(),
            id: id.into(),
            key: Some(KEY.into()),
            deadline_ms: DEADLINE_MS,
            last_event_id: None,
            prompt_parts: None,
            body: if method == "GET" { Bytes::new() } else { Bytes::from_static(b"the body") },
        }
    }
}

/// Response that a client received.
#[derive(Clone, Debug, Default)]
pub struct ClientResponse {
    /// Status, or `None` if no response was received.
    pub status: Option<StatusCode>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body bytes that were received.
    pub body: Vec<u8>,
    /// Whether the body was received in full.
    pub is_complete: bool,
}

impl ClientResponse {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the status code, or 0 if no response was received.
    pub fn code(&self) -> u16 {
        self.status.map_or(0, |status| status.as_u16())
    }

    /// Returns a header value, if the header is present and valid text.
    pub fn header(&self, name: impl http::header::AsHeaderName) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Connection of a client, which may be used for several requests.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<hyper::Result<()>>,
}

impl Connection {
    /// Connects to a gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        Ok(Self { sender, driver: tokio::spawn(connection) })
    }

    /// Returns whether the gateway has not closed the connection, as far as is known.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the response.
    ///
    /// If no response is received, the body of the result is the error text.
    pub async fn send(&mut self, request: &ClientRequest) -> ClientResponse {
        let mut response = ClientResponse::default();
        if let Err(error) = self.exchange(request, &mut response).await {
            response.is_complete = false;
            if response.status.is_none() {
                response.body = error.to_string().into_bytes();
            }
        }
        response
    }

    async fn exchange(
        &mut self,
        request: &ClientRequest,
        response: &mut ClientResponse,
    ) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let mut builder = Request::builder()
            .method(request.method.as_str())
            .uri(&request.path)
            .header(http::header::HOST, HOST)
            .header(names::ATTEMPT_ID, &request.id)
            .header(names::DEADLINE_MS, request.deadline_ms);
        if let Some(key) = &request.key {
            builder = builder.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(id) = request.last_event_id {
            builder = builder.header(names::LAST_EVENT_ID, id);
        }
        if let Some(parts) = &request.prompt_parts {
            builder = builder.header(names::PROMPT_PARTS, parts);
        }
        self.sender.ready().await?;
        let sent = self.sender.send_request(builder.body(Full::new(request.body.clone()))?).await;
        let (head, mut body) = sent?.into_parts();
        response.status = Some(head.status);
        response.headers = head.headers;
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                response.body.extend_from_slice(&data);
            }
        }
        response.is_complete = true;
        Ok(())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sends a request on a new connection.
///
/// If no response is received, the body of the result is the error text.
pub async fn send_request(address: SocketAddr, request: &ClientRequest) -> ClientResponse {
    match Connection::open(address).await {
        Ok(mut connection) => connection.send(request).await,
        Err(error) => {
            ClientResponse { body: error.to_string().into_bytes(), ..ClientResponse::default() }
        }
    }
}

/// Returns a request as the bytes of HTTP/1.1.
pub fn encode_request(request: &ClientRequest) -> Vec<u8> {
    let key = request.key.as_ref().map(|key| format!("Authorization: Bearer {key}\r\n"));
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\n{}: {}\r\n{}: {}\r\n{}Content-Length: {}\r\n\r\n",
        request.method,
        request.path,
        names::ATTEMPT_ID,
        request.id,
        names::DEADLINE_MS,
        request.deadline_ms,
        key.unwrap_or_default(),
        request.body.len(),
    );
    [head.as_bytes(), &request.body].concat()
}

/// Sends a GET request; returns the status code, or `None` if no response was received.
pub async fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let request = ClientRequest { key: None, ..ClientRequest::new("GET", path, "page") };
    send_request(address, &request).await.status.map(|status| status.as_u16())
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within 20 seconds.
pub async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_TIMEOUT, "condition does not hold within {WAIT_TIMEOUT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
