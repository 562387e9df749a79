//! The platform around the system: the store, model runners that form a group, plain runners, clients, and the
//! processes of the system. They follow the users' pages; where a page is silent they behave like a sound
//! platform, runner or client.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd as _;
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, option: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SocketAddress, length: u32) -> i32;
}
const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 0o2000001;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Connects with a receive buffer of the smallest size, so that the window is small.
pub fn connect_small_window(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let target = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &1, 4) != 0 || connect(fd, &target, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------- record

/// The record of a run: one line per event, with the time since the start in seconds.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::new(Vec::new()) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        lock(&self.lines).push(format!("{:9.3} {}", self.now(), line.as_ref()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{:9.3} {}", self.now(), line.as_ref());
        self.add(line);
    }

    pub fn write(&self, path: &Path) {
        let text = lock(&self.lines).join("\n") + "\n";
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("record not written: {error}");
        }
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    fn space(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(text, at);
        match *text.get(*at)? {
            b'{' => {
                let mut map = BTreeMap::new();
                *at += 1;
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(key) = Self::value(text, at)? else { return None };
                            Self::space(text, at);
                            *at += 1;
                            map.insert(key, Self::value(text, at)?);
                        }
                    }
                }
            }
            b'[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = String::new();
                loop {
                    match *text.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(out));
                        }
                        b'\\' => {
                            out.push(char::from(*text.get(*at + 1)?));
                            *at += 2;
                        }
                        byte => {
                            out.push(char::from(byte));
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool)
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool)
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    *at += 1;
                }
                let number = std::str::from_utf8(&text[from..*at]).ok()?;
                let float: f64 = number.parse().ok()?;
                Some(Json::Number(number.parse().unwrap_or(float as u64)))
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn u64(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |word, &b| word << 8 | u32::from(b)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => out.push(char::from(ALPHABET[(word >> (18 - 6 * index) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP server

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(k, v)| (k.to_owned(), v.to_owned())).collect();
    Ok(Some(Request { path: path.to_owned(), query, headers, body }))
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Accepts connections and serves each on a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(stream));
        }
    });
}

// ---------------------------------------------------------------- store

struct Stored {
    bytes: Vec<u8>,
    at: Instant,
}

struct StoreState {
    topics: HashMap<String, Vec<Stored>>,
    era: u64,
    is_away: bool,
}

pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub address: SocketAddr,
    record: Arc<Record>,
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    [&[key.len() as u8], key.as_bytes(), value].concat()
}

impl Store {
    pub fn start(record: Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("address");
        let state = StoreState { topics: HashMap::new(), era: 1, is_away: false };
        let store =
            Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), address, record });
        let server = Arc::clone(&store);
        serve(listener, move |stream| server.connection(stream));
        store
    }

    /// Writes a record of a keyed topic, as the operator and the runners do. Waits while the store is away.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        while state.is_away {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let stored = Stored { bytes: keyed(key, value), at: Instant::now() };
        state.topics.entry(topic.to_owned()).or_default().push(stored);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the number of records of a topic and the time of the last one.
    pub fn newest(&self, topic: &str) -> (usize, Option<Instant>) {
        let state = lock(&self.state);
        let records = state.topics.get(topic);
        (records.map_or(0, Vec::len), records.and_then(|r| r.last()).map(|stored| stored.at))
    }

    /// The drill: the store is away for `away`, and comes back from a copy as of `copy_at`. What the
    /// operator and the runners wrote since is written again, in order; the system's records are gone.
    pub fn drill(&self, copy_at: Instant, away: Duration) {
        let age = copy_at.elapsed();
        lock(&self.state).is_away = true;
        self.changed.notify_all();
        thread::sleep(away);
        let mut state = lock(&self.state);
        for (topic, records) in &mut state.topics {
            let kept = records.iter().take_while(|stored| stored.at <= copy_at).count();
            let lost = records.split_off(kept);
            let is_theirs = topic == "keyed.op" || topic == "keyed.servers";
            self.record.say(format!(
                "drill: topic {topic} keeps {kept} records, loses {}, written again: {is_theirs}",
                lost.len()
            ));
            if is_theirs {
                let now = Instant::now();
                records.extend(lost.into_iter().map(|stored| Stored { at: now, ..stored }));
            }
        }
        state.era += 1;
        state.is_away = false;
        let era = state.era;
        drop(state);
        self.changed.notify_all();
        self.record.say(format!(
            "drill: the store was away for {:.1} s and is back from a copy {:.1} s old, Store-Era {era}",
            away.as_secs_f64(),
            age.as_secs_f64()
        ));
    }

    fn connection(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let Some((status, body)) = self.call(&request) else { break };
            let era = lock(&self.state).era;
            let headers = format!("Store-Era: {era}\r\nContent-Type: application/json\r\n");
            if respond(&mut stream, status, &headers, &body).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Returns the response, or `None` if the store is away.
    fn call(&self, request: &Request) -> Option<(&'static str, Vec<u8>)> {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        match request.path.as_str() {
            "/api/log-append" => {
                thread::sleep(Duration::from_millis(4));
                let mut state = lock(&self.state);
                if state.is_away {
                    return None;
                }
                let records = state.topics.entry(topic.clone()).or_default();
                let offset = records.len();
                if number("at").is_some_and(|at| at != offset as u64) {
                    return Some((
                        "412 Precondition Failed",
                        format!("{{\"end_offset\":{offset}}}").into_bytes(),
                    ));
                }
                let (mut rest, at) = (request.body.as_slice(), Instant::now());
                while rest.len() >= 4 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(Stored { bytes: rest[4..4 + len].to_vec(), at });
                    rest = &rest[4 + len..];
                }
                let end = records.len();
                drop(state);
                self.changed.notify_all();
                if topic == "currantlink-leaders" {
                    self.record.say(format!("store: a claim of leadership gets offset {offset}"));
                }
                Some((
                    "200 OK",
                    format!("{{\"offset\":{offset},\"end_offset\":{end}}}").into_bytes(),
                ))
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut state = lock(&self.state);
                loop {
                    if state.is_away {
                        return None;
                    }
                    let empty = Vec::new();
                    let records = state.topics.get(&topic).unwrap_or(&empty);
                    if from > records.len() {
                        return Some(("410 Gone", b"{\"first\":0}".to_vec()));
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if from < records.len() || left.is_zero() {
                        let mut body = (records.len() as u64).to_be_bytes().to_vec();
                        body.extend_from_slice(&0u64.to_be_bytes());
                        for stored in &records[from..] {
                            body.extend_from_slice(&(stored.bytes.len() as u32).to_be_bytes());
                            body.extend_from_slice(&stored.bytes);
                        }
                        return Some(("200 OK", body));
                    }
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            "/api/log-newest" => {
                thread::sleep(Duration::from_millis(2));
                let state = lock(&self.state);
                if state.is_away {
                    return None;
                }
                let mut newest = BTreeMap::new();
                let empty = Vec::new();
                let records = state.topics.get(&topic).unwrap_or(&empty);
                for (offset, stored) in records.iter().enumerate() {
                    let len = usize::from(stored.bytes[0]);
                    let key = String::from_utf8_lossy(&stored.bytes[1..=len]).into_owned();
                    match &stored.bytes[1 + len..] {
                        [] => drop(newest.remove(&key)),
                        value => drop(newest.insert(key, (offset, value.to_vec()))),
                    }
                }
                let after = request.query.get("after").cloned().unwrap_or_default();
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(key, _)| **key > after)
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end_offset\":{}}}",
                    items.join(","),
                    records.len()
                );
                Some(("200 OK", body.into_bytes()))
            }
            _ => Some(("404 Not Found", b"{}".to_vec())),
        }
    }
}

// ---------------------------------------------------------------- group of model runners

pub type Map = Vec<Vec<Vec<u32>>>;

pub const SETS: usize = 3;
pub const EXPERTS: usize = 96;
pub const PLACES: usize = 11;
pub const SPARE: usize = 4;
pub const SLOTS: usize = 12;
const QUEUE: usize = 24;
const STRIDE: f64 = 6.0;
const STEP_MS: f64 = 4.84;
const PER_SEQ_MS: f64 = 0.362;
const EXPERT_SHARE: f64 = 0.85;
const COPY_MS: u64 = 400;

struct Rank {
    version: u64,
    map: Arc<Map>,
    prepared: Option<(u64, Arc<Map>)>,
    copying: Option<(u64, Arc<Map>, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    sequence: u64,
    fence: u64,
    /// Version of the weights.
    weights: u64,
    counts: Vec<u64>,
    active: Vec<Active>,
    queue: Vec<Active>,
}

struct Active {
    id: String,
    next: u64,
    last: u64,
    events: Sender<u64>,
    has_begun: bool,
}

struct GroupState {
    is_formed: bool,
    step: u64,
    ranks: Vec<Rank>,
    /// Weight of each expert, by set.
    weights: Vec<Vec<f64>>,
    /// What the requests of each rank choose beside the common demand, by set and expert: it depends on their
    /// content.
    content: Vec<Vec<f64>>,
    content_at: Instant,
    seed: u64,
    held_since: Option<Instant>,
    mixed: Vec<String>,
    holds: Vec<f64>,
}

pub struct Group {
    state: Mutex<GroupState>,
    pub record: Arc<Record>,
    pub on_hold: Mutex<Option<Sender<()>>>,
    /// Number of orders that were refused with 409.
    pub refusals: AtomicU64,
}

/// Number of refused orders that the record lists one by one.
const MAX_LISTED_REFUSALS: u64 = 300;

/// Map 0 assigns experts in turn.
fn first_map(ranks: usize) -> Map {
    let rank = |rank: usize| (rank..EXPERTS).step_by(ranks).map(|e| e as u32).collect();
    vec![(0..ranks).map(rank).collect(); SETS]
}

impl Group {
    pub fn start(size: usize, record: Arc<Record>) -> Arc<Self> {
        let map = Arc::new(first_map(size));
        let rank = |_| Rank {
            version: 0,
            map: Arc::clone(&map),
            prepared: None,
            copying: None,
            armed: None,
            held: None,
            highest: 0,
            sequence: 0,
            fence: 0,
            weights: 1,
            counts: vec![0; SETS * EXPERTS],
            active: Vec::new(),
            queue: Vec::new(),
        };
        let state = GroupState {
            is_formed: false,
            step: 0,
            ranks: (0..size).map(rank).collect(),
            weights: vec![vec![1.0; EXPERTS]; SETS],
            content: vec![vec![1.0; SETS * EXPERTS]; size],
            content_at: Instant::now(),
            seed: u64::from(std::process::id()) | 1,
            held_since: None,
            mixed: Vec::new(),
            holds: Vec::new(),
        };
        let group = Arc::new(Self {
            state: Mutex::new(state),
            record,
            on_hold: Mutex::default(),
            refusals: AtomicU64::new(0),
        });
        let passes = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                let pause = passes.pass();
                thread::sleep(pause);
            }
        });
        group
    }

    pub fn form(&self) {
        lock(&self.state).is_formed = true;
        self.record.say("group: formed, epoch 1, map 0");
    }

    /// Other experts are in demand: of the three experts of each set that are chosen `weight` times as often as
    /// the others, two change.
    pub fn shift(&self, hot_rank: usize, weight: f64) {
        let mut state = lock(&self.state);
        let size = state.ranks.len();
        for (set, weights) in state.weights.iter_mut().enumerate() {
            let kept = weights.iter().position(|&w| w > 1.0);
            weights.fill(1.0);
            let rank = (hot_rank + set) % size;
            for turn in 0..if kept.is_some() { 2 } else { 3 } {
                weights[rank + turn * size] = weight;
            }
            if let Some(expert) = kept {
                weights[expert] = weight;
            }
        }
        drop(state);
        self.record.add(format!("demand: experts of rank {hot_rank} and the next are in demand"));
    }

    /// Loads the next version of the weights on a runner.
    pub fn update_weights(&self, rank: usize) {
        lock(&self.state).ranks[rank].weights += 1;
    }

    /// Returns the passes with different maps that began.
    pub fn mixed(&self) -> Vec<String> {
        lock(&self.state).mixed.clone()
    }

    /// Returns for how many seconds passes were held.
    pub fn holds(&self) -> Vec<f64> {
        lock(&self.state).holds.clone()
    }

    /// Returns for how long the group has been held, if it is.
    pub fn held_for(&self) -> Option<Duration> {
        lock(&self.state).held_since.map(|since| since.elapsed())
    }

    /// Returns the last pass, the version in use and the highest version that a rank has had.
    pub fn position(&self) -> (u64, u64, u64) {
        let state = lock(&self.state);
        let highest = state.ranks.iter().map(|rank| rank.highest).max().unwrap_or(0);
        (state.step, state.ranks[0].version, highest)
    }

    fn skew(state: &GroupState) -> f64 {
        let mut total = 0.0;
        for (set, weights) in state.weights.iter().enumerate() {
            let mut replicas = vec![0.0f64; EXPERTS];
            let held = |rank: &Rank, index: usize| rank.map[set][index].clone();
            for (index, rank) in state.ranks.iter().enumerate() {
                held(rank, index).iter().for_each(|&e| replicas[e as usize] += 1.0);
            }
            let load = |(index, rank): (usize, &Rank)| {
                held(rank, index)
                    .iter()
                    .map(|&e| weights[e as usize] / replicas[e as usize].max(1.0))
                    .sum::<f64>()
            };
            let loads: Vec<f64> = state.ranks.iter().enumerate().map(load).collect();
            let mean = loads.iter().sum::<f64>() / loads.len() as f64;
            total += loads.iter().copied().fold(0.0, f64::max) / mean;
        }
        total / state.weights.len() as f64
    }

    /// Begins a pass if there is work and no rank holds it. Returns how long it takes.
    fn pass(&self) -> Duration {
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        let now = Instant::now();
        for rank in &mut state.ranks {
            if rank.copying.as_ref().is_some_and(|(.., until)| now >= *until)
                && let Some((version, map, _)) = rank.copying.take()
            {
                rank.prepared = Some((version, map));
            }
            while rank.active.len() < SLOTS && !rank.queue.is_empty() {
                let next = rank.queue.remove(0);
                rank.active.push(next);
            }
        }
        let is_idle = state.ranks.iter().all(|rank| rank.active.is_empty());
        if !state.is_formed || is_idle {
            return Duration::from_millis(2);
        }
        let step = state.step + 1;
        if state.ranks.iter().any(|rank| rank.held == Some(step)) {
            state.held_since.get_or_insert(now);
            return Duration::from_millis(1);
        }
        if let Some(since) = state.held_since.take() {
            state.holds.push(since.elapsed().as_secs_f64());
            self.record.add(format!(
                "group: pass {step} begins after it was held for {:.0} ms",
                since.elapsed().as_secs_f64() * 1e3
            ));
        }
        state.step = step;
        let mut switched = None;
        for rank in &mut state.ranks {
            if let Some((version, _)) = rank.armed.filter(|&(_, at)| at == step)
                && let Some((prepared, map)) = rank.prepared.take()
            {
                assert_eq!(prepared, version, "an armed version is prepared");
                (rank.version, rank.map, rank.armed) = (version, map, None);
                switched = Some(version);
            }
        }
        if let Some(version) = switched {
            let first = &state.ranks[0];
            let differs: Vec<usize> = (1..state.ranks.len())
                .filter(|&r| {
                    state.ranks[r].version != first.version || *state.ranks[r].map != *first.map
                })
                .collect();
            self.record.add(format!(
                "group: pass {step} begins with map {version} ({}.{})",
                version >> 20,
                version & 0xfffff
            ));
            if !differs.is_empty() {
                let versions: Vec<u64> = state.ranks.iter().map(|rank| rank.version).collect();
                let line = format!(
                    "MAP BROKEN: pass {step} begins, ranks {differs:?} have another map than rank 0; versions {versions:?}"
                );
                self.record.say(&line);
                state.mixed.push(line);
            }
        }
        let running = state.ranks.iter().map(|rank| rank.active.len()).max().unwrap_or(0);
        if now >= state.content_at {
            state.content_at = now + Duration::from_millis(500);
            for factor in state.content.iter_mut().flatten() {
                state.seed ^= state.seed << 13;
                state.seed ^= state.seed >> 7;
                state.seed ^= state.seed << 17;
                *factor = 0.5 + (state.seed >> 11) as f64 / (1u64 << 53) as f64;
            }
        }
        let total: f64 = state.weights[0].iter().sum();
        for (rank, content) in state.ranks.iter_mut().zip(&state.content) {
            if rank.active.is_empty() {
                continue;
            }
            for (set, weights) in state.weights.iter().enumerate() {
                for (expert, weight) in weights.iter().enumerate() {
                    let index = set * EXPERTS + expert;
                    let choices =
                        rank.active.len() as f64 * 400.0 * weight / total * content[index];
                    rank.counts[index] += choices as u64 + 1;
                }
            }
            for active in &mut rank.active {
                if !active.has_begun {
                    active.has_begun = true;
                    self.record
                        .add(format!("runner: runs {} from event {}", active.id, active.next));
                }
                let _ = active.events.send(active.next);
                active.next += 1;
            }
            rank.active.retain(|active| active.next <= active.last);
        }
        let skew = Self::skew(state);
        let even_ms = STRIDE * (STEP_MS + PER_SEQ_MS * running as f64);
        let ms = even_ms * (1.0 - EXPERT_SHARE + EXPERT_SHARE * skew);
        Duration::from_micros((ms * 1e3) as u64)
    }

    fn report(&self, rank_index: usize) -> String {
        let state = lock(&self.state);
        let rank = &state.ranks[rank_index];
        let option = |value: Option<u64>| value.map_or("null".to_owned(), |v| v.to_string());
        let armed = rank
            .armed
            .map_or("null".to_owned(), |(v, s)| format!("{{\"version\":{v},\"step\":{s}}}"));
        let group = match state.is_formed {
            true => format!(
                "\"group\":{{\"name\":\"g1\",\"epoch\":1,\"rank\":{rank_index},\"state\":\"open\"}},\"size\":{},",
                state.ranks.len()
            ),
            false => String::new(),
        };
        format!(
            "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\"busy\":{},\"sequence\":{},\"queued\":{},\"active\":{},\"kv_used\":41000,\"kv_total\":494000,\"handles\":0,{group}\"step\":{},\"map\":{},\"prepared\":{},\"armed\":{armed},\"held\":{},\"pace\":1.0}}",
            rank.weights,
            rank.copying.is_some(),
            rank.sequence,
            rank.queue.len(),
            rank.active.len(),
            state.step,
            rank.version,
            option(rank.prepared.as_ref().map(|p| p.0)),
            option(rank.held),
        )
    }

    fn picked(&self, rank_index: usize, lists: bool) -> String {
        let state = lock(&self.state);
        let rank = &state.ranks[rank_index];
        match lists {
            true => {
                let experts: Vec<&Vec<u32>> = rank.map.iter().map(|set| &set[rank_index]).collect();
                format!(
                    "{{\"step\":{},\"epoch\":1,\"map\":{{\"version\":{},\"experts\":{experts:?}}},\"prepared\":null}}",
                    state.step, rank.version
                )
            }
            false => {
                format!("{{\"step\":{},\"epoch\":1,\"counts\":{:?}}}", state.step, rank.counts)
            }
        }
    }

    /// Carries out an order and returns the status.
    fn order(&self, rank_index: usize, body: &[u8]) -> &'static str {
        let (ok, begun, conflict) = ("200 OK", "202 Accepted", "409 Conflict");
        let Some(order) = Json::parse(body) else { return "400 Bad Request" };
        let op = order.text("op").unwrap_or_default().to_owned();
        let (version, order_step) =
            (order.u64("version").unwrap_or(0), order.u64("step").unwrap_or(0));
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        let (size, step) = (state.ranks.len(), state.step);
        let rank = &mut state.ranks[rank_index];
        let status = (|| {
            if order.u64("epoch").is_some_and(|epoch| epoch != 1) {
                return conflict;
            }
            let fence = order.u64("fence").unwrap_or(0);
            if fence < rank.fence {
                return "412 Precondition Failed";
            }
            rank.fence = fence;
            if order.u64("expect").is_some_and(|expect| expect != rank.sequence) {
                return conflict;
            }
            let status = match op.as_str() {
                "prepare" => {
                    let Some(map) = order.get("map").and_then(|map| decode_map(map, size)) else {
                        return "400 Bad Request";
                    };
                    if version <= rank.highest || rank.armed.is_some() {
                        return conflict;
                    }
                    let mut copies = 0;
                    for (set, ranks) in map.iter().enumerate() {
                        let new = ranks[rank_index]
                            .iter()
                            .filter(|e| !rank.map[set][rank_index].contains(e))
                            .count();
                        if new > SPARE || ranks[rank_index].len() > PLACES {
                            return conflict;
                        }
                        copies += new as u64;
                    }
                    rank.highest = version;
                    rank.prepared = None;
                    let until = Instant::now() + Duration::from_millis(10 + copies * COPY_MS);
                    rank.copying = Some((version, Arc::new(map), until));
                    begun
                }
                "arm" if rank.armed == Some((version, order_step)) => return ok,
                "arm" => {
                    let is_prepared =
                        rank.prepared.as_ref().is_some_and(|(prepared, _)| *prepared == version);
                    if !is_prepared || order_step <= step || rank.armed.is_some() {
                        return conflict;
                    }
                    rank.armed = Some((version, order_step));
                    begun
                }
                "disarm" if rank.version == version => return conflict,
                "disarm" if rank.armed.is_some_and(|(armed, _)| armed == version) => {
                    rank.armed = None;
                    begun
                }
                "disarm" => return ok,
                "hold" if rank.held == Some(order_step) => return ok,
                "hold" => {
                    if order_step <= step || rank.held.is_some() {
                        return conflict;
                    }
                    rank.held = Some(order_step);
                    begun
                }
                "go" if rank.held == Some(order_step) => {
                    rank.held = None;
                    begun
                }
                "go" => return if order_step <= step { ok } else { conflict },
                _ => return "400 Bad Request",
            };
            rank.sequence += 1;
            status
        })();
        drop(guard);
        let fence = order.u64("fence").unwrap_or(0);
        if status == conflict
            && self.refusals.fetch_add(1, Ordering::Relaxed) >= MAX_LISTED_REFUSALS
        {
            return status;
        }
        self.record.add(format!(
            "order: {op} to rank {rank_index} with fence {fence}, version {}.{}, step {order_step}: {}",
            version >> 20,
            version & 0xfffff,
            &status[..3]
        ));
        if status == begun
            && op == "hold"
            && let Some(sender) = lock(&self.on_hold).take()
        {
            let _ = sender.send(());
        }
        status
    }

    /// Serves one model runner.
    pub fn serve_runner(self: &Arc<Self>, rank: usize, id: &str, listener: TcpListener) {
        let (group, id) = (Arc::clone(self), id.to_owned());
        serve(listener, move |stream| group.connection(rank, &id, stream));
    }

    fn connection(&self, rank: usize, id: &str, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let json = "Content-Type: application/json\r\n";
            let done = match request.path.as_str() {
                "/api/report" => respond(&mut stream, "200 OK", json, self.report(rank).as_bytes()),
                "/api/picked" => {
                    let lists = request.query.contains_key("lists");
                    respond(&mut stream, "200 OK", json, self.picked(rank, lists).as_bytes())
                }
                "/api/order" => respond(&mut stream, self.order(rank, &request.body), json, b"{}"),
                _ => self.run(rank, id, &request, &mut stream),
            };
            if done.is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    fn run(
        &self,
        rank: usize,
        id: &str,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let echo = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n");
        if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
            return respond(stream, "421 Misdirected Request", &echo, b"");
        }
        let weights = lock(&self.state).ranks[rank].weights;
        if request
            .header("x-expect-version")
            .is_some_and(|expected| expected != weights.to_string())
        {
            self.record
                .add(format!("runner {id}: {attempt} expects other weights than {weights}: 421"));
            return respond(
                stream,
                "421 Misdirected Request",
                &format!("{echo}At-Server: {id}\r\n"),
                b"",
            );
        }
        let deadline_ms =
            request.header("x-deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(8_000);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        let next = request
            .header("last-event-id")
            .and_then(|v| v.parse().ok())
            .map_or(1, |last: u64| last + 1);
        let (events, received) = channel();
        {
            let mut state = lock(&self.state);
            let is_formed = state.is_formed;
            let rank = &mut state.ranks[rank];
            if !is_formed || rank.active.len() >= SLOTS && rank.queue.len() >= QUEUE {
                drop(state);
                return respond(
                    stream,
                    "503 Service Unavailable",
                    &format!("{echo}X-Not-Executed: 1\r\n"),
                    b"",
                );
            }
            rank.queue.push(Active {
                id: attempt.clone(),
                next,
                last: EVENTS,
                events,
                has_begun: false,
            });
        }
        let result = self.relay(&attempt, id, weights, received, deadline, stream);
        let mut state = lock(&self.state);
        let rank = &mut state.ranks[rank];
        rank.active.retain(|active| active.id != attempt);
        rank.queue.retain(|active| active.id != attempt);
        result
    }

    fn relay(
        &self,
        attempt: &str,
        id: &str,
        weights: u64,
        events: Receiver<u64>,
        deadline: Instant,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let echo = format!(
            "X-Attempt-Id: {attempt}\r\nX-Response-Seal: {id}.{attempt}\r\nX-Weight-Versions: {weights}\r\n"
        );
        let mut has_head = false;
        loop {
            match events.recv_timeout(Duration::from_millis(20)) {
                Ok(event) => {
                    if !has_head {
                        has_head = true;
                        let head = format!(
                            "HTTP/1.1 200 OK\r\n{echo}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                        );
                        stream.write_all(head.as_bytes())?;
                    }
                    let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
                    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                    if event == EVENTS {
                        return stream.write_all(b"0\r\n\r\n");
                    }
                }
                Err(RecvTimeoutError::Timeout) if Instant::now() >= deadline => {
                    return match has_head {
                        true => Err(io::ErrorKind::TimedOut.into()),
                        false => respond(stream, "504 Gateway Timeout", &echo, b""),
                    };
                }
                // A request is dropped when its connection closes.
                Err(RecvTimeoutError::Timeout) => {
                    stream.set_nonblocking(true)?;
                    let peeked = stream.peek(&mut [0]);
                    stream.set_nonblocking(false)?;
                    if !peeked.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
                        return Err(io::ErrorKind::ConnectionReset.into());
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return Err(io::ErrorKind::BrokenPipe.into()),
            }
        }
    }
}

/// Number of events of a stream.
pub const EVENTS: u64 = 26;

fn decode_map(map: &Json, size: usize) -> Option<Map> {
    let Json::List(sets) = map else { return None };
    let numbers = |list: &Json| match list {
        Json::List(list) => list
            .iter()
            .map(|n| match n {
                Json::Number(n) => Some(*n as u32),
                _ => None,
            })
            .collect::<Option<Vec<u32>>>(),
        _ => None,
    };
    let set = |set: &Json| match set {
        Json::List(ranks) if ranks.len() == size => {
            ranks.iter().map(numbers).collect::<Option<Vec<_>>>()
        }
        _ => None,
    };
    sets.iter().map(set).collect()
}

// ---------------------------------------------------------------- plain runners

/// Length of the answers of plain runners: the largest of the site files, `resp_bytes` = 4,800, with the id.
pub const PLAIN_BYTES: usize = 4_780;

/// Serves a plain runner that works 30 ms on a request.
pub fn serve_plain(id: &str, listener: TcpListener, record: Arc<Record>) {
    let id = id.to_owned();
    serve(listener, move |mut stream| {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
            let echo = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n");
            let done = match request.header("x-expect-instance") {
                Some(expected) if expected != id => {
                    respond(&mut stream, "421 Misdirected Request", &echo, b"")
                }
                _ => {
                    record.add(format!("plain runner {id}: runs {attempt}"));
                    thread::sleep(Duration::from_millis(30));
                    let head = format!("{echo}X-Response-Seal: {id}.{attempt}\r\n");
                    respond(
                        &mut stream,
                        "200 OK",
                        &head,
                        format!("{attempt} {}", "x".repeat(PLAIN_BYTES)).as_bytes(),
                    )
                }
            };
            if done.is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
}

// ---------------------------------------------------------------- processes of the system

pub struct Daemon {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

impl Daemon {
    pub fn new(
        program: &Path,
        folder: &Path,
        name: &str,
        role: &'static str,
        settings: &str,
    ) -> Self {
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("settings written");
        let log = folder.join(format!("{name}.log"));
        Self {
            name: name.to_owned(),
            role,
            settings: path,
            program: program.to_owned(),
            log,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        let mut command = Command::new(&self.program);
        // The process ends with this one, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file was built");
        self.child = Some(child);
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if self.child.is_some() {
            unsafe { kill(self.pid(), signal) };
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns a figure in kB of the process's status, such as `VmHWM`.
    pub fn status_kb(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Figures of a machine for its settings.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub link_mbps: f64,
}

/// Settings as the template of the deploy file renders them.
pub fn settings(
    name: &str,
    ip: &str,
    listen: &str,
    machine: Machine,
    link_port: u16,
    store: SocketAddr,
) -> String {
    let Machine { memory_mb, max_fds, link_mbps } = machine;
    format!(
        "{{\"name\":\"{name}\",\"failure_domain\":\"a\",\"ip\":\"{ip}\",{listen}\"link_port\":{link_port},\"store_address\":\"{store}\",\"drain_ms\":2000,\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":92,\"retry_window_s\":10,\"memory_mb\":{memory_mb},\"max_fds\":{max_fds},\"link_mbps\":{link_mbps},\"store_reads_per_s\":2000}}"
    )
}

/// Returns a port that is free for TCP and UDP on all of the addresses.
pub fn free_port(ips: &[String]) -> u16 {
    for _ in 0..200 {
        let Ok(probe) = TcpListener::bind("127.0.0.1:0") else { continue };
        let port = probe.local_addr().expect("address").port();
        drop(probe);
        let is_free = ips.iter().all(|ip| {
            UdpSocket::bind((ip.as_str(), port)).is_ok()
                && TcpListener::bind((ip.as_str(), port)).is_ok()
        });
        if is_free {
            return port;
        }
    }
    panic!("no free port")
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent_at: f64,
    pub kind: &'static str,
    pub status: u16,
    pub is_complete: bool,
}

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the whole answer.
pub fn ask(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Answer> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 16 << 10]);
    loop {
        if let Some(answer) = parse_answer(&bytes) {
            return Ok(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer)? {
            0 => {
                let mut answer = parse_head(&bytes).ok_or(io::ErrorKind::UnexpectedEof)?.0;
                answer.is_complete = false;
                return Ok(answer);
            }
            len => bytes.extend_from_slice(&buffer[..len]),
        }
    }
}

fn parse_head(bytes: &[u8]) -> Option<(Answer, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers =
        headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned())).collect();
    Some((Answer { status, headers, body: Vec::new(), is_complete: true }, end))
}

pub fn parse_answer(bytes: &[u8]) -> Option<Answer> {
    let (mut answer, end) = parse_head(bytes)?;
    let header =
        |name: &str| answer.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
    if let Some(length) = header("content-length").and_then(|v| v.parse::<usize>().ok()) {
        answer.body = bytes.get(end..end + length)?.to_vec();
        return Some(answer);
    }
    let (mut rest, mut body) = (&bytes[end..], Vec::new());
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let size =
            usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?.trim(), 16).ok()?;
        rest = rest.get(line + 2..)?;
        if size == 0 {
            answer.body = body;
            return Some(answer);
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size + 2..)?;
    }
}

/// Sends requests at a steady rate until told to stop: 7 of 8 are streams, the others plain ones.
pub struct Clients {
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    stop: Arc<AtomicBool>,
}

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "calls.example";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn attempt_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

pub fn stream_head(id: &str, body: usize, more: &str) -> String {
    format!(
        "POST /chat/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 700,160\r\nX-Prompt-Prefix: {}:40,{}:660\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\n{more}Content-Length: {body}\r\n\r\n",
        &id[..8],
        &id[8..]
    )
}

pub fn plain_head(id: &str, body: usize) -> String {
    format!(
        "POST /book/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {body}\r\n\r\n"
    )
}

impl Clients {
    pub fn start(gateways: Vec<SocketAddr>, per_s: f64, record: Arc<Record>) -> Self {
        let (outcomes, stop) =
            (Arc::<Mutex<Vec<Outcome>>>::default(), Arc::new(AtomicBool::new(false)));
        let (results, stopped) = (Arc::clone(&outcomes), Arc::clone(&stop));
        thread::spawn(move || {
            let mut count = 0usize;
            while !stopped.load(Ordering::Relaxed) {
                let gateway = gateways[count % gateways.len()];
                let kind = if count % 8 == 7 { "plain" } else { "stream" };
                count += 1;
                let (results, record) = (Arc::clone(&results), Arc::clone(&record));
                thread::spawn(move || client_request(gateway, kind, &results, &record));
                thread::sleep(Duration::from_secs_f64(1.0 / per_s));
            }
        });
        Self { outcomes, stop }
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Returns how many of the requests that were sent in a time were served, and how many there were.
    pub fn served(&self, from: f64, to: f64) -> (usize, usize) {
        let outcomes = lock(&self.outcomes);
        let sent = outcomes.iter().filter(|o| o.sent_at >= from && o.sent_at < to);
        sent.fold((0, 0), |(served, all), o| (served + usize::from(o.is_served()), all + 1))
    }
}

fn client_request(
    gateway: SocketAddr,
    kind: &'static str,
    results: &Mutex<Vec<Outcome>>,
    record: &Record,
) {
    let (id, sent_at) = (attempt_id(), record.now());
    let body = b"body of the request";
    let (head, limit) = match kind {
        "stream" => (stream_head(&id, body.len(), ""), Duration::from_millis(8_500)),
        _ => (plain_head(&id, body.len()), Duration::from_millis(3_000)),
    };
    let answer = ask(gateway, &head, body, limit);
    let (status, is_complete, detail) = match &answer {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body);
            let is_whole = match (answer.status, kind) {
                (200, "stream") => text.contains(&format!("data: {id} {EVENTS}\n")),
                (200, _) => text.starts_with(&id),
                _ => true,
            };
            let reason = if answer.status == 200 { String::new() } else { text.trim().to_owned() };
            (answer.status, answer.is_complete && is_whole, reason)
        }
        Err(error) => (0, false, error.kind().to_string()),
    };
    record.add(format!("client: {kind} {id} sent at {sent_at:.3} to {gateway}: {status} complete={is_complete} {detail}"));
    lock(results).push(Outcome { sent_at, kind, status, is_complete });
}

// ---------------------------------------------------------------- a deployment

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub agents: Vec<Daemon>,
    pub gateways: Vec<Daemon>,
    pub callers: Vec<SocketAddr>,
    pub readiness: Vec<SocketAddr>,
    folder: PathBuf,
}

pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-chat\",\"host\":\"{HOST}\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"models\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":120}},{{\"name\":\"r-book\",\"host\":\"{HOST}\",\"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\"attempts\":1,\"public\":false}},{{\"name\":\"r-sign\",\"host\":\"{HOST}\",\"path_prefix\":\"/sign/\",\"kind\":\"non_idempotent\",\"timeout_ms\":8000,\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\"attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"models\",\"health_path\":\"/health\",\"max_connections\":258,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{SLOTS},\"kv_tokens\":494000,\"kv_bytes\":35136,\"link_mbps\":44000.0,\"stride\":6,\"models\":[{{\"name\":\"m\"}}],\"step_ms\":{STEP_MS},\"per_seq_ms\":{PER_SEQ_MS},\"context_per_k\":0.011,\"read_per_s\":74800.0,\"pairs_per_m\":0.232,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,\"usual\":{{\"prompt\":835,\"answer\":159}},\"sets\":{SETS},\"experts\":{EXPERTS},\"placements\":{PLACES},\"spare\":{SPARE},\"expert_mb\":2200.0,\"expert_share\":{EXPERT_SHARE},\"form_ms\":600.0}}}},{{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

impl Deployment {
    /// Starts the store, `ranks` model runners with their agents, three plain runners and `gateways`
    /// gateways. The group is not formed yet.
    pub fn start(
        program: &Path,
        folder: &Path,
        record: Arc<Record>,
        ranks: usize,
        gateways: usize,
        front: Machine,
    ) -> Self {
        let store = Store::start(Arc::clone(&record));
        store.put("keyed.op", "config", configuration(7).as_bytes());
        let group = Group::start(ranks, Arc::clone(&record));
        let ip = |index: usize| format!("127.0.1.{}", index + 1);
        let ips: Vec<String> = (0..ranks + gateways).map(ip).collect();
        let link_port = free_port(&ips);
        let mut runners = Vec::new();
        let side = Machine { memory_mb: 128, max_fds: 2_048, link_mbps: 20.0 };
        let mut agents = Vec::new();
        for rank in 0..ranks {
            let listener = TcpListener::bind((ip(rank).as_str(), 0)).expect("free port");
            let address = listener.local_addr().expect("address");
            let id = format!("i-model{rank:02}");
            group.serve_runner(rank, &id, listener);
            runners.push((id, address, "models", SLOTS));
            let name = format!("side-{rank:02}");
            let listen = format!("\"backend_address\":\"{address}\",");
            let text = settings(&name, &ip(rank), &listen, side, link_port, store.address);
            agents.push(Daemon::new(program, folder, &name, "agent", &text));
        }
        for index in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
            let address = listener.local_addr().expect("address");
            let id = format!("i-plain{index:02}");
            serve_plain(&id, listener, Arc::clone(&record));
            runners.push((id, address, "desk", 6));
        }
        let writer = Arc::clone(&store);
        thread::spawn(move || {
            let born = 1_700_000_000_000u64;
            for beat in 1u64.. {
                for (id, address, service, slots) in &runners {
                    let entry = format!(
                        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{born},\"sequence\":{beat}}}"
                    );
                    writer.put("keyed.servers", id, entry.as_bytes());
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        let (mut fronts, mut callers, mut readiness) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..gateways {
            let (name, ip) = (format!("front-{index:02}"), ip(ranks + index));
            let (port, ready) = (free_port(&[ip.clone()]), free_port(&[ip.clone()]));
            let listen = format!(
                "\"callers_address\":\"{ip}:{port}\",\"readiness_address\":\"{ip}:{ready}\","
            );
            let text = settings(&name, &ip, &listen, front, link_port, store.address);
            fronts.push(Daemon::new(program, folder, &name, "gateway", &text));
            callers.push(format!("{ip}:{port}").parse().expect("address"));
            readiness.push(format!("{ip}:{ready}").parse().expect("address"));
        }
        let mut deployment = Self {
            record,
            store,
            group,
            agents,
            gateways: fronts,
            callers,
            readiness,
            folder: folder.to_owned(),
        };
        deployment.gateways.iter_mut().chain(&mut deployment.agents).for_each(Daemon::start);
        deployment.record.say(format!("{ranks} agents and {gateways} gateways started"));
        deployment
    }

    /// Waits until all gateways are ready. Returns whether they are.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let request = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
        while Instant::now() < until {
            let is_ready = |address: &SocketAddr| {
                ask(*address, request, b"", Duration::from_secs(1))
                    .is_ok_and(|answer| answer.status == 200)
            };
            if self.readiness.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the index of the agent that was elected last, by the logs.
    pub fn leader(&self) -> Option<usize> {
        let elected = |(index, agent): (usize, &Daemon)| {
            let line = agent.log_lines("elected leader of the group").pop()?;
            Some((line.split(' ').next()?.to_owned(), index))
        };
        self.agents.iter().enumerate().filter_map(elected).max().map(|(_, index)| index)
    }

    /// Waits until the group begins to use a new map, and returns whether it does.
    pub fn wait_map_change(&self, limit: Duration) -> bool {
        let (until, (_, before, _)) = (Instant::now() + limit, self.group.position());
        while Instant::now() < until {
            if self.group.position().1 != before {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Ends all processes and copies what the agents say of leadership to the record.
    pub fn finish(&mut self) {
        for daemon in self.agents.iter_mut().chain(&mut self.gateways) {
            for text in ["elected leader", "leadership lost", "failed to claim", "map change ended"]
            {
                for line in daemon.log_lines(text) {
                    self.record.add(format!("log of {}: {line}", daemon.name));
                }
            }
            daemon.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
