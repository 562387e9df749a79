//! Runs daemon processes on loopback. Stand-ins for the platform and the backend servers run in
//! the test process.
#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantlink_core::config::TokenHash;
use currantlink_standins::engine::{Group, Options};
use currantlink_standins::list::{Instance, Instances, List};
use currantlink_standins::log::Log;
use currantlink_standins::plain::PlainService;
use currantlink_standins::ports::free_address;
use currantlink_standins::relay::Relay;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

pub const OPERATOR: &str = "operator-token";
pub const TOKEN: &str = "member-token";
pub const OTHER_TOKEN: &str = "other-token";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and timing of a system under test.
#[derive(Clone, Copy)]
pub struct Topology {
    pub entries: usize,
    pub plain: usize,
    pub engines: usize,
    /// Duration of a plain call.
    pub call_ms: u64,
    /// Lag of the instance list.
    pub lag_ms: u64,
}

impl Default for Topology {
    fn default() -> Self {
        Self { entries: 1, plain: 1, engines: 0, call_ms: 0, lag_ms: 0 }
    }
}

/// A daemon process that can be stopped and restarted.
pub struct Daemon {
    role: &'static str,
    settings: std::path::PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_currantlinkd"))
            .args([self.role, "--settings"])
            .arg(&self.settings)
            .env("CURRANTLINK_LOG", "info")
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Returns the path of the settings file.
    pub fn settings_path(&self) -> &std::path::Path {
        &self.settings
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().unwrap().id();
        kill(Pid::from_raw(id as i32), signal).unwrap();
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Restarts the process with some of its settings replaced.
    pub fn restart_with(&mut self, values: &Value) {
        self.kill();
        let mut settings: Value =
            serde_json::from_slice(&std::fs::read(&self.settings).unwrap()).unwrap();
        settings.as_object_mut().unwrap().extend(values.as_object().unwrap().clone());
        std::fs::write(&self.settings, settings.to_string()).unwrap();
        self.start();
    }

    /// Sends SIGTERM and waits for the exit. Returns whether the exit status is success.
    pub fn stop(&mut self) -> bool {
        self.signal(Signal::SIGTERM);
        self.child.take().unwrap().wait().unwrap().success()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Entries, sides and stand-ins of one test.
pub struct System {
    pub log: Log,
    pub list: List,
    pub plain: Vec<PlainService>,
    pub group: Option<Group>,
    pub relays: Vec<Relay>,
    pub sides: Vec<Daemon>,
    pub entries: Vec<Daemon>,
    pub entry_urls: Vec<String>,
    pub backends: Vec<String>,
    side_addresses: Vec<SocketAddr>,
    pub dir: TempDir,
}

/// HTTP response to a request of the test.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn outcome(&self) -> String {
        self.json()["outcome"].as_str().unwrap_or("answered").to_owned()
    }
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn token_hash(token: &str) -> String {
    use sha2::{Digest, Sha256};
    assert!(TokenHash::of(token).matches(&TokenHash::of(token)));
    hex::encode(Sha256::digest(token.as_bytes()))
}

impl System {
    /// Starts one entry and one side of a plain service, with some of their settings replaced.
    pub async fn start_with(call_ms: u64, side: Value, entry: Value) -> System {
        let mut system = System::start(Topology { call_ms, ..Topology::default() }).await;
        system.sides[0].restart_with(&side);
        system.entries[0].restart_with(&entry);
        system.wait_ready().await;
        system
    }

    /// Starts all processes and waits until every entry can dispatch to every backend.
    pub async fn start(topology: Topology) -> Self {
        let mut system = Self::start_stand_ins(topology).await;
        for index in 0..system.backends.len() {
            system.sides[index].start();
        }
        for entry in &mut system.entries {
            entry.start();
        }
        system.configure().await;
        system.wait_ready().await;
        system
    }

    async fn start_stand_ins(topology: Topology) -> Self {
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(dir.path().join("link.key"), [7; 32]).unwrap();
        let log = Log::default();
        let log_address = log.serve(any_address()).await.unwrap();
        let list = List::new(Duration::from_millis(topology.lag_ms));
        let list_address = list.serve(any_address()).await.unwrap();
        let mut system = Self {
            log,
            list,
            plain: Vec::new(),
            group: None,
            relays: Vec::new(),
            sides: Vec::new(),
            entries: Vec::new(),
            entry_urls: Vec::new(),
            backends: Vec::new(),
            side_addresses: Vec::new(),
            dir,
        };
        system.add_backends(topology, list_address).await;
        for index in 0..topology.entries {
            system.add_entry(index, log_address, list_address);
        }
        system.list.set_immediately(system.instances(None));
        system
    }

    async fn add_backends(&mut self, topology: Topology, list: SocketAddr) {
        if topology.engines > 0 {
            let options = Options {
                backends: topology.engines,
                ranks_per_backend: 2,
                order_duration: Duration::from_millis(5),
                experts: 16,
                slots_per_rank: 8,
                ..Options::default()
            };
            let group = Group::start(options);
            for index in 0..topology.engines {
                let backend = group.serve(index, any_address()).await.unwrap();
                self.add_side(format!("llm-{index}"), "llm", backend, list).await;
            }
            self.group = Some(group);
        }
        for index in 0..topology.plain {
            let plain = PlainService::new("api", Duration::from_millis(topology.call_ms));
            let backend = plain.serve(any_address()).await.unwrap();
            self.plain.push(plain);
            self.add_side(format!("api-{index}"), "api", backend, list).await;
        }
    }

    async fn add_side(
        &mut self,
        backend: String,
        service: &str,
        url_address: SocketAddr,
        list: SocketAddr,
    ) {
        let address = free_address();
        let relay = Relay::new(address);
        let relayed = relay.serve(any_address()).await.unwrap();
        let settings = json!({
            "name": format!("side-{backend}"), "failure_domain": "a", "backend": backend, "service": service,
            "link_address": address.to_string(), "http_address": free_address().to_string(),
            "backend_url": format!("http://{url_address}"), "list_url": format!("http://{list}"),
            "link_key_path": self.dir.path().join("link.key"), "is_engine": service == "llm",
            "list_poll_ms": 100, "load_poll_ms": 20, "sample_ms": 20, "hold_timeout_ms": 300,
            "orphan_ms": 2_000,
        });
        self.sides.push(self.daemon("side", &backend, &settings));
        self.relays.push(relay);
        self.side_addresses.push(relayed);
        self.backends.push(backend);
    }

    fn add_entry(&mut self, index: usize, log: SocketAddr, list: SocketAddr) {
        let address = free_address();
        let settings = json!({
            "name": format!("entry-{index}"), "failure_domain": "a", "http_address": address.to_string(),
            "log_url": format!("http://{log}"), "list_url": format!("http://{list}"),
            "link_key_path": self.dir.path().join("link.key"),
            "operator_token_sha256": [token_hash(OPERATOR)],
            "log_poll_ms": 50, "list_poll_ms": 100, "ping_ms": 50, "silence_ms": 300,
        });
        let entry = self.daemon("entry", &format!("entry-{index}"), &settings);
        self.entries.push(entry);
        self.entry_urls.push(format!("http://{address}"));
    }

    fn daemon(&self, role: &'static str, name: &str, settings: &Value) -> Daemon {
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        Daemon { role, settings: path, child: None }
    }

    /// Returns the instance list, with the given backend marked as leaving.
    pub fn instances(&self, leaving: Option<&str>) -> Instances {
        let pairs = self.backends.iter().zip(&self.side_addresses);
        let instances = pairs.map(|(name, address)| Instance {
            name: name.clone(),
            address: address.to_string(),
            state: if leaving == Some(name.as_str()) { "leaving" } else { "live" }.to_owned(),
        });
        Instances { instances: instances.collect() }
    }

    /// Returns the content of the initial configuration file.
    pub fn configuration(&self) -> String {
        let pairs = self.backends.iter().zip(&self.side_addresses);
        let backends: Vec<Value> = pairs
            .map(|(name, address)| {
                let service = name.split('-').next().unwrap();
                let group = if service == "llm" { "group" } else { "" };
                json!({ "name": name, "service": service, "failure_domain": "a", "group": group,
                        "side_address": address.to_string() })
            })
            .collect();
        json!({
            "workspaces": [
                { "name": "member", "token_sha256": [token_hash(TOKEN)] },
                { "name": "other", "token_sha256": [token_hash(OTHER_TOKEN)] },
            ],
            "services": [
                { "name": "api", "kind": "plain", "deadline_ms": 10_000 },
                { "name": "llm", "kind": "model", "deadline_ms": 20_000 },
            ],
            "adapters": [
                { "name": "style", "service": "llm", "workspace": "member", "size_mb": 100 },
            ],
            "groups": [{ "name": "group", "service": "llm", "skew_weight": 4.0 }],
            "backends": backends,
        })
        .to_string()
    }

    async fn configure(&self) {
        let text = self.configuration();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let reply = self.change(0, 1, "10.json", 0, Some(&text)).await;
            if reply.as_ref().is_some_and(|r| r.status == StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < deadline, "not configured: {reply:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Requests a change of one configuration file.
    pub async fn change(
        &self,
        entry: usize,
        id: u8,
        name: &str,
        base_revision: u64,
        content: Option<&str>,
    ) -> Option<Response> {
        let body = json!({
            "record_id": hex::encode([id; 16]), "author": format!("operator-{id}"),
            "edits": [{ "name": name, "base_revision": base_revision, "content": content }],
        });
        self.operate(entry, Method::POST, "/v1/config/changes", &body.to_string()).await
    }

    pub async fn operate(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<Response> {
        let url = format!("{}{path}", self.entry_urls[entry]);
        let headers = [("content-type", "application/json")];
        send(method, &url, OPERATOR, &headers, body).await
    }

    /// Waits until every entry can dispatch to every backend and every side has a configuration.
    pub async fn wait_ready(&self) {
        for entry in 0..self.entries.len() {
            self.wait_for(entry, |backends| backends.iter().all(|r| r["taking_work"] == true))
                .await;
        }
    }

    /// Waits until an entry lists all backends, each with a configuration, and `ready` holds.
    pub async fn wait_for(&self, entry: usize, ready: impl Fn(&[Value]) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let reply = self.operate(entry, Method::GET, "/v1/backends", "").await;
            let backends = reply.as_ref().map(|r| r.json()).unwrap_or_default();
            let backends = backends.as_array().cloned().unwrap_or_default();
            if backends.len() == self.backends.len()
                && backends.iter().all(|r| r["config_offset"].as_u64() > Some(0))
                && ready(&backends)
            {
                return;
            }
            assert!(Instant::now() < deadline, "not ready: {backends:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request with the token of workspace `member`. Redirects are not followed.
    pub async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<Response> {
        send(method, &format!("{}{path}", self.entry_urls[entry]), TOKEN, &[], body).await
    }

    /// Requests a ticket for a non-idempotent call and returns the path of the redirect.
    pub async fn ticket(&self, entry: usize) -> String {
        let reply = self.call(entry, Method::POST, "/v1/services/api/entries", "").await.unwrap();
        assert_eq!(reply.status, StatusCode::TEMPORARY_REDIRECT, "{reply:?}");
        reply.headers["location"].to_str().unwrap().to_owned()
    }

    /// Sends the call that a ticket was issued for.
    pub async fn present(&self, entry: usize, ticket: &str, body: &str) -> Option<Response> {
        self.call(entry, Method::POST, ticket, body).await
    }

    /// Returns how many times a request with this body ran, over all plain backends.
    pub fn runs_of(&self, body: &str) -> u64 {
        self.plain.iter().map(|p| p.runs().by_body.get(body).copied().unwrap_or(0)).sum()
    }

    pub async fn complete(
        &self,
        entry: usize,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> Option<Response> {
        let body = json!({ "prompt": prompt, "max_tokens": tokens, "stream": stream }).to_string();
        self.call(entry, Method::POST, "/v1/models/llm/completions", &body).await
    }
}

/// Sends a request. Returns `None` if the connection fails or the response body is incomplete.
pub async fn send(
    method: Method,
    url: &str,
    token: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = Request::builder()
        .method(method)
        .uri(url)
        .header("authorization", format!("Bearer {token}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    let response = client.request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response { status: parts.status, headers: parts.headers, body })
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
