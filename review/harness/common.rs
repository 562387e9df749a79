//! Stand-ins for the platform's store, the runners and the clients, after the users' pages.
//! Standard library only. Every address is on loopback.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Ids of the processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, then the script.
pub fn finish(code: i32) -> ! {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(code);
}

/// Ends the script: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    finish(2);
}

// ---------------------------------------------------------------- HTTP

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<usize> {
        let mut chunk = [0; 16 << 10];
        let len = self.stream.read(&mut chunk).ok()?;
        self.buffer.extend_from_slice(&chunk[..len]);
        Some(len)
    }

    /// Reads the head of a message. `None` at the end of the connection.
    pub fn read_head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next()?.to_owned();
        let split = |l: &str| l.split_once(':').map(|(n, v)| (n.to_owned(), v.trim().to_owned()));
        Some(Message { line, headers: lines.filter_map(split).collect() })
    }

    pub fn read_exact(&mut self, len: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < len {
            if self.fill()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..len).collect())
    }

    pub fn read_body(&mut self, head: &Message) -> Option<Vec<u8>> {
        let len = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        self.read_exact(len)
    }

    fn read_line(&mut self) -> Option<String> {
        let end = loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return None;
            }
        };
        let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 2);
        Some(line)
    }

    /// Reads the next chunk of a chunked body; an empty one is the end.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.read_line()?;
        let len = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let chunk = self.read_exact(len)?;
        self.read_line()?;
        Some(chunk)
    }

    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> Option<()> {
        let len = body.len();
        let mut bytes = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {len}\r\n\r\n");
        bytes.push_str("");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).ok()
    }
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn base64(bytes: &[u8]) -> String {
    const TABLE: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let n = group.iter().fold(0u32, |n, &b| n << 8 | u32::from(b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            let digit = TABLE[(n >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= group.len() { digit } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- the platform's store

/// A read of the runners' list that one machine has tried.
#[derive(Clone, Copy)]
pub struct ListRead {
    pub at: Instant,
    pub served: bool,
}

/// The platform's store: keyed topics and logs, one partition each. It loses nothing.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

/// The path from one machine to the store. A cut resets its connections.
#[derive(Clone)]
pub struct StorePath {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    pub list_reads: Arc<Mutex<Vec<ListRead>>>,
}

impl StorePath {
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }

    pub fn last_list_read(&self) -> Option<ListRead> {
        self.list_reads.lock().unwrap().last().copied()
    }
}

impl Store {
    /// Writes a record of a keyed topic, as the operator or a runner does. Returns when the store has
    /// acknowledged it. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> Instant {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        changed.notify_all();
        Instant::now()
    }

    /// Opens a path for one machine.
    pub fn path(&self) -> StorePath {
        let listener = listen();
        let path = StorePath {
            address: listener.local_addr().unwrap(),
            cut: Arc::default(),
            open: Arc::default(),
            list_reads: Arc::default(),
        };
        let (store, shared) = (self.clone(), path.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, path) = (store.clone(), shared.clone());
                thread::spawn(move || store.serve(stream, &path));
            }
        });
        path
    }

    fn serve(&self, stream: TcpStream, path: &StorePath) -> Option<()> {
        path.open.lock().unwrap().push(stream.try_clone().ok()?);
        let mut conn = Conn::new(stream);
        loop {
            let head = conn.read_head()?;
            let body = conn.read_body(&head)?;
            let served = !path.cut.load(Ordering::SeqCst);
            if head.target().contains("topic=keyed.servers") {
                path.list_reads.lock().unwrap().push(ListRead { at: Instant::now(), served });
            }
            if !served {
                let _ = conn.stream.shutdown(Shutdown::Both);
                return None;
            }
            // The store's usual time for an answer.
            sleep_ms(2);
            let (status, answer) = self.call(&head, &body)?;
            if path.cut.load(Ordering::SeqCst) {
                let _ = conn.stream.shutdown(Shutdown::Both);
                return None;
            }
            conn.respond(status, "", &answer)?;
        }
    }

    fn call(&self, head: &Message, body: &[u8]) -> Option<(&'static str, Vec<u8>)> {
        let target = head.target();
        let topic = query(target, "topic").unwrap_or("").to_owned();
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        if target.starts_with("/api/log-append") {
            let log = topics.entry(topic).or_default();
            let end = log.len();
            if query(target, "at").is_some_and(|at| at.parse() != Ok(end)) {
                let body = format!("{{\"end_offset\":{end}}}");
                return Some(("412 Precondition Failed", body.into_bytes()));
            }
            let mut rest = body;
            while rest.len() >= 4 {
                let len = u32::from_be_bytes(rest[..4].try_into().ok()?) as usize;
                log.push(rest.get(4..4 + len)?.to_vec());
                rest = &rest[4 + len..];
            }
            let body = format!("{{\"offset\":{end},\"end_offset\":{}}}", log.len());
            changed.notify_all();
            return Some(("200 OK", body.into_bytes()));
        }
        if target.starts_with("/api/log-read") {
            let from: usize = query(target, "from")?.parse().ok()?;
            let wait: u64 = query(target, "wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            let len = |t: &BTreeMap<String, Vec<Vec<u8>>>| t.get(&topic).map_or(0, Vec::len);
            while len(&topics) <= from && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                topics = changed.wait_timeout(topics, left).unwrap().0;
            }
            let log = topics.entry(topic).or_default();
            let mut answer = (log.len() as u64).to_be_bytes().to_vec();
            answer.extend_from_slice(&0u64.to_be_bytes());
            for record in log.iter().skip(from) {
                answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
                answer.extend_from_slice(record);
            }
            return Some(("200 OK", answer));
        }
        if target.starts_with("/api/log-newest") {
            let log = topics.entry(topic).or_default();
            let mut newest = BTreeMap::new();
            for (offset, record) in log.iter().enumerate() {
                let (key, value) = record[1..].split_at(record[0] as usize);
                let key = String::from_utf8_lossy(key).into_owned();
                match value.is_empty() {
                    true => drop(newest.remove(&key)),
                    false => drop(newest.insert(key, (offset, base64(value)))),
                }
            }
            let item = |(key, (offset, value)): (&String, &(usize, String))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            };
            let items: Vec<String> = newest.iter().map(item).collect();
            let (items, end) = (items.join(","), log.len());
            let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
            return Some(("200 OK", body.into_bytes()));
        }
        Some(("404 Not Found", Vec::new()))
    }
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("listen: {e}")))
}

/// Returns a port that is free for TCP and UDP, below those that the system gives to connections.
pub fn free_port() -> u16 {
    static NEXT: Mutex<u32> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    for _ in 0..10_000 {
        *next += 1;
        let port = (20_000 + (std::process::id() * 37 + *next * 7) % 12_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
    cannot_run("no free port")
}

// ---------------------------------------------------------------- runners

/// What a runner saw of one request.
#[derive(Clone)]
pub struct Arrival {
    pub attempt: String,
    pub runner: String,
    pub at: Instant,
    /// Whether its run came to its end.
    pub done: Arc<AtomicBool>,
}

/// How a runner answers a request that it runs.
pub type Work = Arc<dyn Fn(&mut Conn, &Message, &str) -> Option<()> + Send + Sync>;

/// A runner that keeps its entry in the store until it leaves.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    store: Store,
    ended: Arc<AtomicBool>,
    listed: Arc<Mutex<bool>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    active: Arc<AtomicUsize>,
    /// Requests that it runs and queues at most; it rejects others as a full runner does.
    pub places: Arc<AtomicUsize>,
    pub full: Arc<Mutex<Vec<(Instant, String, String)>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

pub const HEARTBEAT_MS: u64 = 1_200;

impl Runner {
    pub fn start(
        store: &Store,
        service: &str,
        id: &str,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        work: Work,
    ) -> Self {
        let listener = listen();
        let runner = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            store: store.clone(),
            ended: Arc::default(),
            listed: Arc::new(Mutex::new(true)),
            open: Arc::default(),
            active: Arc::default(),
            places: Arc::new(AtomicUsize::new(usize::MAX)),
            full: Arc::default(),
            arrivals: Arc::clone(arrivals),
        };
        runner.register("ready", 1);
        let beat = runner.clone();
        thread::spawn(move || {
            for sequence in 2.. {
                sleep_ms(HEARTBEAT_MS);
                let listed = beat.listed.lock().unwrap();
                if !*listed {
                    return;
                }
                beat.register("ready", sequence);
            }
        });
        let shared = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (runner, work) = (shared.clone(), Arc::clone(&work));
                if let Ok(clone) = stream.try_clone() {
                    runner.open.lock().unwrap().push(clone);
                }
                thread::spawn(move || runner.serve(Conn::new(stream), &work));
            }
        });
        runner
    }

    fn register(&self, state: &str, sequence: u64) -> Instant {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":12,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.service, self.address
        );
        self.store.put("keyed.servers", &self.id, entry.as_bytes())
    }

    /// Leaves without reporting `draining`: the entry is removed. Returns the time of the store's
    /// acknowledgement.
    pub fn leave(&self) -> Instant {
        let mut listed = self.listed.lock().unwrap();
        *listed = false;
        self.store.put("keyed.servers", &self.id, b"")
    }

    /// Ends the process of the runner.
    pub fn exit(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut conn: Conn, work: &Work) -> Option<()> {
        loop {
            let head = conn.read_head()?;
            conn.read_body(&head)?;
            if head.target() == "/api/report" {
                let active = self.active.load(Ordering::SeqCst);
                let report = format!(
                    "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":{active},\"kv_used\":0,\
                     \"kv_total\":494000,\"handles\":0}}"
                );
                conn.respond("200 OK", "Content-Type: application/json\r\n", report.as_bytes())?;
                continue;
            }
            let attempt = head.header("x-attempt-id").unwrap_or("").to_owned();
            if head.header("x-expect-instance").is_some_and(|id| id != self.id) {
                let headers = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n", self.id);
                conn.respond("421 Misdirected Request", &headers, b"")?;
                continue;
            }
            if self.active.fetch_add(1, Ordering::SeqCst) >= self.places.load(Ordering::SeqCst) {
                self.active.fetch_sub(1, Ordering::SeqCst);
                self.full.lock().unwrap().push((Instant::now(), attempt.clone(), self.id.clone()));
                let headers = format!("X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n");
                conn.respond("503 Service Unavailable", &headers, b"")?;
                continue;
            }
            let done = Arc::new(AtomicBool::new(false));
            let (at, runner) = (Instant::now(), self.id.clone());
            let seen = Arrival { attempt: attempt.clone(), runner, at, done: Arc::clone(&done) };
            self.arrivals.lock().unwrap().push(seen);
            let headers = format!("X-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{attempt}\r\n");
            let worked = work(&mut conn, &head, &headers);
            self.active.fetch_sub(1, Ordering::SeqCst);
            worked?;
            done.store(true, Ordering::SeqCst);
        }
    }
}

// ---------------------------------------------------------------- the project's processes

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    role: &'static str,
    settings: PathBuf,
    program: String,
    child: Option<Child>,
}

/// Returns the folder of the repository: the script is started there.
fn program() -> String {
    // The start command of deploy/system.toml.
    let program = String::from("target/release/currantlinkd");
    if !Path::new(&program).exists() {
        cannot_run("target/release/currantlinkd is not built");
    }
    program
}

impl Gateway {
    pub fn start(name: &str, folder: &Path, store: &StorePath, grace_s: u64) -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, readiness) = (address(free_port()), address(free_port()));
        let text = format!(
            "{{\"name\":\"{name}\",\"failure_domain\":\"a\",\"ip\":\"127.0.0.1\",\
             \"callers_address\":\"{callers}\",\"readiness_address\":\"{readiness}\",\
             \"metrics_address\":\"{}\",\"link_port\":{},\"store_address\":\"{}\",\
             \"drain_ms\":2000,\"grace_s\":{grace_s},\"retry_ratio\":0.2,\"retry_slack\":92,\
             \"retry_window_s\":10,\"link_mbps\":1000.0,\"store_reads_per_s\":2000}}",
            address(free_port()),
            free_port(),
            store.address
        );
        let settings = folder.join(format!("{name}.json"));
        if let Err(error) = std::fs::write(&settings, text) {
            cannot_run(&format!("settings: {error}"));
        }
        let (name, program, role) = (name.to_owned(), program(), "gateway");
        let mut gateway = Self { name, callers, readiness, role, settings, program, child: None };
        gateway.run();
        gateway
    }

    /// Starts the agent beside a runner.
    pub fn start_agent(name: &str, folder: &Path, store: &StorePath, runner: SocketAddr) -> Self {
        let text = format!(
            "{{\"name\":\"{name}\",\"failure_domain\":\"a\",\"ip\":\"127.0.0.1\",\"backend_address\":\"{runner}\",\
             \"link_port\":{},\"store_address\":\"{}\",\"drain_ms\":2000,\"grace_s\":8,\
             \"retry_ratio\":0.2,\"retry_slack\":92,\"retry_window_s\":10,\"link_mbps\":20.0,\
             \"store_reads_per_s\":2000}}",
            free_port(),
            store.address
        );
        let settings = folder.join(format!("{name}.json"));
        if let Err(error) = std::fs::write(&settings, text) {
            cannot_run(&format!("settings: {error}"));
        }
        let (name, program, role) = (name.to_owned(), program(), "agent");
        let (callers, readiness) = (runner, runner);
        let mut agent = Self { name, callers, readiness, role, settings, program, child: None };
        agent.run();
        agent
    }

    pub fn run(&mut self) {
        let log = std::fs::File::create(self.settings.with_extension("log")).unwrap();
        let mut command = Command::new(&self.program);
        command.args([self.role, "--settings"]).arg(&self.settings);
        command.stdout(Stdio::from(log)).stderr(Stdio::null());
        let child = command.spawn().unwrap_or_else(|e| cannot_run(&format!("gateway: {e}")));
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let head = "GET /api/readiness HTTP/1.1\r\nHost: a\r\n\r\n";
            if let Ok(mut stream) = TcpStream::connect(self.readiness) {
                let _ = stream.write_all(head.as_bytes());
                if Conn::new(stream).read_head().is_some_and(|m| m.status() == 200) {
                    return;
                }
            }
            sleep_ms(50);
        }
        cannot_run("a gateway does not become ready");
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([signal, &id]).status();
        }
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|&id| id != child.id());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            self.wait();
        }
    }
}

// ---------------------------------------------------------------- clients

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub deadline_ms: u64,
    pub extra: &'a str,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let Request { method, path, attempt, deadline_ms, extra, body } = self;
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\n{extra}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// Sends a request on a new connection and returns the status if the answer is complete, or 0.
pub fn send(address: SocketAddr, request: &Request) -> u16 {
    let exchange = || {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        let timeout = Duration::from_millis(request.deadline_ms);
        stream.set_read_timeout(Some(timeout)).ok()?;
        let mut conn = Conn::new(stream);
        conn.stream.write_all(&request.bytes()).ok()?;
        let head = conn.read_head()?;
        conn.read_body(&head)?;
        Some(head.status())
    };
    exchange().unwrap_or(0)
}

/// Returns a configuration with one route for each (prefix, kind, service, resumable).
pub fn config(version: u64, routes: &[(&str, &str, &str, bool)]) -> String {
    let route = |&(prefix, kind, service, resumable): &(&str, &str, &str, bool)| {
        let streaming = kind == "streaming";
        let (target_ms, timeout_ms) = if streaming { (400, 8_000) } else { (150, 1_200) };
        let attempts = if kind == "non_idempotent" { 1 } else { 2 };
        let gap = if streaming { "\"gap_target_ms\":120," } else { "" };
        format!(
            "{{\"name\":\"{0}\",\"host\":\"a.example\",\"path_prefix\":\"/{0}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":1,{gap}\
             \"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\
             \"resumable\":{resumable}}}",
            prefix.trim_matches('/')
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"registry-api\",\
         \"max_connections\":110}},{{\"name\":\"clear-llm\",\"max_connections\":258}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// The record of a run, written to `record.txt` in the folder of the case.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &str) -> Arc<Self> {
        let path = Path::new(folder).join("record.txt");
        Arc::new(Self { start: Instant::now(), lines: Mutex::default(), path })
    }

    pub fn line(&self, text: impl Into<String>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn write(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|&(at, _)| at);
        let line = |(at, text): &(Instant, String)| {
            format!("{:10.1} ms  {text}\n", ms(at.saturating_duration_since(self.start)))
        };
        let text: String = lines.iter().map(line).collect();
        if let Err(error) = std::fs::write(&self.path, text) {
            cannot_run(&format!("record: {error}"));
        }
    }
}

/// Returns a new temporary folder.
pub fn temporary_folder() -> PathBuf {
    let name = format!("currantlink-review-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&format!("folder: {e}")));
    folder
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Folder of the case, the first argument.
pub fn case_folder() -> String {
    std::env::args().nth(1).unwrap_or_else(|| cannot_run("no folder"))
}
