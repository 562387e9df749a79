//! Stand-ins that the scripts share: the platform's store, a proxy in front of it, plain runners,
//! gateways as child processes, and clients. They speak what PROTOCOL.md says, over loopback.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of a case: what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl Into<String>) -> f64 {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
        at
    }

    pub fn entries(&self) -> Vec<(f64, String)> {
        self.lines.lock().unwrap().clone()
    }

    pub fn texts(&self) -> Vec<String> {
        self.lines.lock().unwrap().iter().map(|(_, text)| text.clone()).collect()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:8.3} {line}\n")).collect();
        std::fs::write(path, text).expect("record.txt cannot be written");
    }
}

/// A request or response: first line, headers and body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Message { first: first.trim_end().to_owned(), headers, body: Vec::new() })
}

/// Reads a message with a declared or chunked body.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            let thread = thread::Builder::new().stack_size(128 << 10);
            thread.spawn(move || handle(stream)).expect("no thread");
        }
    });
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, &b| bits << 8 | u32::from(b))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The platform's metadata store: a log with topics of one partition.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>);

impl Store {
    pub fn start(address: &str) -> (Self, String) {
        let store = Self::default();
        let listener = TcpListener::bind(address).expect("store cannot listen");
        let address = listener.local_addr().unwrap().to_string();
        let served = store.clone();
        serve(listener, move |stream| served.serve(stream));
        (store, address)
    }

    /// Writes a record of the operator or of a runner. Returning is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.0.0.lock().unwrap().entry(topic.to_owned()).or_default().push(record);
        self.0.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let target = request.first.split(' ').nth(1).unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|p| p.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or_default().to_owned();
            // 4 ms an answer, as the sheets say.
            thread::sleep(Duration::from_millis(4));
            let sent = match path {
                "/api/log-append" => self.append(&mut stream, &topic, &query, &request.body),
                "/api/log-read" => self.read(&mut stream, &topic, &query),
                "/api/log-newest" => self.newest(&mut stream, &topic, &query),
                _ => respond(&mut stream, "404 Not Found", "", b"{}"),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn append(
        &self,
        stream: &mut TcpStream,
        topic: &str,
        query: &HashMap<&str, &str>,
        mut body: &[u8],
    ) -> std::io::Result<()> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return respond(stream, "403 Forbidden", "", b"{}");
        }
        let mut topics = self.0.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if query.get("at").is_some_and(|at| at.parse() != Ok(offset)) {
            let text = format!("{{\"end_offset\":{offset}}}");
            return respond(stream, "412 Precondition Failed", JSON, text.as_bytes());
        }
        while body.len() >= 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let text = format!("{{\"offset\":{offset},\"end_offset\":{}}}", records.len());
        drop(topics);
        self.0.1.notify_all();
        respond(stream, "200 OK", JSON, text.as_bytes())
    }

    fn read(
        &self,
        stream: &mut TcpStream,
        topic: &str,
        query: &HashMap<&str, &str>,
    ) -> std::io::Result<()> {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut topics = self.0.0.lock().unwrap();
        loop {
            let length = topics.get(topic).map_or(0, Vec::len);
            let now = Instant::now();
            if length > from || now >= until {
                break;
            }
            topics = self.0.1.wait_timeout(topics, until - now).unwrap().0;
        }
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        drop(topics);
        respond(stream, "200 OK", "Content-Type: application/octet-stream\r\n", &body)
    }

    fn newest(
        &self,
        stream: &mut TcpStream,
        topic: &str,
        query: &HashMap<&str, &str>,
    ) -> std::io::Result<()> {
        let topics = self.0.0.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = std::collections::BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            let value = &record[1 + length..];
            match value.is_empty() {
                true => drop(newest.remove(&key)),
                false => drop(newest.insert(key, (offset, value))),
            }
        }
        let after = query.get("after").copied().unwrap_or_default();
        let items: Vec<String> = newest
            .iter()
            .filter(|(key, _)| after.is_empty() || key.replace('/', "%2F").as_str() > after)
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let text = format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
        drop(topics);
        respond(stream, "200 OK", JSON, text.as_bytes())
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

/// A proxy whose open connections can be made silent for good, while new ones work.
#[derive(Clone, Default)]
pub struct Proxy {
    silenced: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(address: &str, target: String) -> (Self, String) {
        let proxy = Self::default();
        let listener = TcpListener::bind(address).expect("proxy cannot listen");
        let address = listener.local_addr().unwrap().to_string();
        let silenced = Arc::clone(&proxy.silenced);
        serve(listener, move |client| {
            let born = silenced.load(Ordering::SeqCst);
            let Ok(server) = TcpStream::connect(&target) else { return };
            let _ = server.set_nodelay(true);
            let (client2, server2) = (client.try_clone().unwrap(), server.try_clone().unwrap());
            let silenced2 = Arc::clone(&silenced);
            let back = thread::spawn(move || pump(server2, client2, &silenced2, born));
            pump(client, server, &silenced, born);
            let _ = back.join();
        });
        (proxy, address)
    }

    pub fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }
}

/// Copies bytes until an end closes. What arrives on a silent connection is dropped.
fn pump(mut from: TcpStream, mut to: TcpStream, silenced: &AtomicU64, born: u64) {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        if silenced.load(Ordering::SeqCst) == born && to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    if silenced.load(Ordering::SeqCst) == born {
        let _ = to.shutdown(Shutdown::Both);
    }
}

/// Events of the stand-ins' usual streams.
pub const USUAL_EVENTS: (u32, Duration) = (8, Duration::from_millis(30));

/// State of a runner that the platform changes while it runs.
#[derive(Clone, Default)]
pub struct Standing {
    draining: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
}

impl Standing {
    /// Lets the runner's entry say that it drains.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Removes the runner's entry.
    pub fn remove(&self) {
        self.gone.store(true, Ordering::SeqCst);
    }
}

/// A runner, which runs each request for `work` and answers it.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    /// Version of its weights, if it is a model runner. Its answers are streams of events.
    pub weights: Option<u32>,
    /// Number of events of a stream, and the pause between two.
    pub events: (u32, Duration),
    pub standing: Standing,
}

impl Runner {
    /// Starts the runner and its entry in the store.
    pub fn start(self, address: &str, store: &Store, record: &Record) -> String {
        let listener = TcpListener::bind(address).expect("runner cannot listen");
        let address = listener.local_addr().unwrap().to_string();
        let (id, work, record) = (self.id.clone(), self.work, record.clone());
        let (weights, events) = (self.weights, self.events);
        serve(listener, move |mut stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Some(request) = read_message(&mut reader) {
                let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
                let expected = request.header("x-expect-instance").unwrap_or(&id);
                if expected != id {
                    let headers = format!("X-Instance-Id: {id}\r\nX-Attempt-Id: {attempt}\r\n");
                    let _ = respond(&mut stream, "421 Misdirected Request", &headers, b"");
                    continue;
                }
                let version =
                    request.header("x-expect-version").and_then(|v| v.parse::<u32>().ok());
                if weights.is_some() && version.is_some() && version != weights {
                    record.add(format!(
                        "refused {attempt} at {id}: its weights have version {}",
                        weights.unwrap_or(0)
                    ));
                    let headers = format!(
                        "X-Instance-Id: {id}\r\nAt-Server: {id}\r\nX-Attempt-Id: {attempt}\r\n"
                    );
                    let _ = respond(&mut stream, "421 Misdirected Request", &headers, b"");
                    continue;
                }
                let tenant = request.header("x-tenant").unwrap_or("-");
                let target = request.first.split(' ').nth(1).unwrap_or_default();
                record.add(format!("run {attempt} at {id} tenant {tenant} {target}"));
                thread::sleep(work);
                let mut headers = format!(
                    "X-Attempt-Id: {attempt}\r\nX-Response-Seal: {id}.{attempt}\r\nKeep-Alive: timeout=15\r\n"
                );
                if let Some(version) = weights {
                    headers += &format!(
                        "X-Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n"
                    );
                    if stream_events(&mut stream, &headers, events).is_err() {
                        return;
                    }
                    continue;
                }
                if respond(
                    &mut stream,
                    "200 OK",
                    &headers,
                    format!("answer to {attempt}").as_bytes(),
                )
                .is_err()
                {
                    return;
                }
            }
        });
        let (store, entry_address) = (store.clone(), address.clone());
        thread::spawn(move || {
            let Self { id, service, zone, slots, standing, .. } = self;
            let born = unix_ms();
            for sequence in 0.. {
                if standing.gone.load(Ordering::SeqCst) {
                    store.put("keyed.servers", &id, "");
                    return;
                }
                let state =
                    if standing.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{entry_address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
                     \"born\":{born},\"sequence\":{sequence}}}"
                );
                store.put("keyed.servers", &id, &entry);
                // A change of the state is written at once.
                for _ in 0..12 {
                    thread::sleep(Duration::from_millis(100));
                    let changed = standing.draining.load(Ordering::SeqCst) && state == "ready";
                    if changed || standing.gone.load(Ordering::SeqCst) {
                        break;
                    }
                }
            }
        });
        address
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Sends a stream of events.
fn stream_events(
    stream: &mut TcpStream,
    headers: &str,
    (count, pause): (u32, Duration),
) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for id in 1..=count {
        let event = format!("id: {id}\ndata: token {id}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Settings of a gateway that differ between cases.
pub struct GatewaySettings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: &'a str,
    pub front_port: u16,
    pub ready_port: u16,
    pub link_port: u16,
    pub store: &'a str,
    pub figures: &'a str,
}

/// The processes of the product that a case has started. They are ended when it is dropped.
pub struct Processes {
    folder: PathBuf,
    children: Vec<Child>,
}

impl Processes {
    /// Creates an empty set of processes. `number` tells those of one case apart.
    pub fn new(number: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("no temporary folder");
        Self { folder, children: Vec::new() }
    }

    /// Starts a gateway with the command of the deploy file.
    pub fn start_gateway(&mut self, settings: &GatewaySettings<'_>) {
        let GatewaySettings { name, zone, ip, front_port, ready_port, link_port, store, figures } =
            settings;
        let text = format!(
            "{{\"name\":\"{name}\",\"failure_domain\":\"{zone}\",\"ip\":\"{ip}\",\
             \"callers_address\":\"{ip}:{front_port}\",\"readiness_address\":\"{ip}:{ready_port}\",\
             \"link_port\":{link_port},\"store_address\":\"{store}\",{figures}}}"
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, text).expect("settings cannot be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("no log");
        let child = Command::new("target/release/currantlinkd")
            .args(["gateway", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.children.push(child.expect("gateway cannot be started"));
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Kills all processes.
    pub fn kill_all(&mut self) {
        for mut child in self.children.drain(..) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the ids of the processes.
    pub fn ids(&self) -> Vec<u32> {
        self.children.iter().map(Child::id).collect()
    }

    /// Returns whether all processes run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Sends a request on a new connection and returns the answer.
pub fn request(
    address: &str,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Message> {
    let target = address.parse().map_err(|_| std::io::Error::from(ErrorKind::InvalidInput))?;
    let mut stream = TcpStream::connect_timeout(&target, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(stream)).ok_or(ErrorKind::UnexpectedEof.into())
}

/// Waits until a gateway says that it is ready.
pub fn wait_ready(address: &str, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let head =
        format!("GET /api/readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    while Instant::now() < until {
        if request(address, &head, b"", Duration::from_secs(1)).is_ok_and(|a| a.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Whether the disruption is to be brought about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A flag that ends the threads of a case.
#[derive(Clone, Default)]
pub struct Ended(Arc<AtomicBool>);

impl Ended {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Returns ports that are free on a loopback address.
pub fn free_ports(ip: &str, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((ip, 0)).expect("no free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect()
}
