//! Clients, and backends, that make a gateway hold memory and descriptors: the process lives, stays under
//! the bounds of its settings and answers an ordinary request while they stay connected.

#![allow(clippy::unwrap_used)]

mod harness;

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use currantlink_standins::backends::{Backend, Fault};
use currantlink_standins::deployment::{
    self, ClientRequest, Deployment, HOST, IDEMPOTENT, KEY, ONCE, STREAM, Shape, send_request,
    wait_until,
};
use serde_json::json;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Memory in the gateway's settings. It uses 10 to 25 MB at rest.
const MEMORY_MB: u64 = 64;
/// Descriptors in the gateway's settings, of which the platform reserves 200 for files.
const MAX_FDS: usize = 300;
const RESERVED_FDS: usize = 200;
/// Limit of the test's configuration.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Connections of each crowd, except that of tiny chunks.
const CROWD: usize = 96;
/// Connections that send chunks of one byte, and the bytes that each sends.
const TINY_CROWD: usize = 24;
const TINY_BYTES: usize = 128 << 10;
/// Time after which a crowd that is not read to its end is left standing.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a change of the peaks after which the gateway has read what it reads of a crowd.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Interval of the samples of open descriptors.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The tests measure memory and run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

struct Site {
    deployment: Deployment,
    process: u32,
    memory_mb: u64,
    max_fds: usize,
    peak_fds: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    _directory: TempDir,
    _alone: MutexGuard<'static, ()>,
}

/// Starts a gateway with the given limits in its settings and the body limit in the configuration.
async fn start(memory_mb: u64, max_fds: usize, max_body_bytes: usize) -> Site {
    start_shaped(Shape::default(), memory_mb, max_fds, max_body_bytes).await
}

async fn start_shaped(shape: Shape, memory_mb: u64, max_fds: usize, max_body_bytes: usize) -> Site {
    let alone = ONE_AT_A_TIME.lock().await;
    let (mut deployment, directory) = harness::start_serving(shape).await;
    let mut config = deployment::config(2, &[KEY]);
    config["limits"]["max_body_bytes"] = max_body_bytes.into();
    deployment::set_on_routes(&mut config, "timeout_ms", 30_000);
    serve_streams_plainly(&mut config);
    deployment.put_config(&config.to_string());
    let gateway = &mut deployment.gateways[0].process;
    let text = fs::read_to_string(&gateway.settings).unwrap();
    let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
    settings["memory_mb"] = json!(memory_mb);
    settings["max_fds"] = json!(max_fds);
    gateway.kill();
    fs::write(&gateway.settings, settings.to_string()).unwrap();
    gateway.start().unwrap();
    let process = gateway.id().unwrap();
    deployment.wait_until_ready().await;
    wait_until(async || deployment.send_request("GET", IDEMPOTENT, "first").await.code() == 200)
        .await;
    let (peak_fds, is_over) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
    let (sampled, ends) = (Arc::clone(&peak_fds), Arc::clone(&is_over));
    tokio::spawn(async move {
        while !ends.load(Ordering::Relaxed) {
            let open = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
            sampled.fetch_max(open, Ordering::Relaxed);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    });
    Site {
        deployment,
        process,
        memory_mb,
        max_fds,
        peak_fds,
        is_over,
        _directory: directory,
        _alone: alone,
    }
}

/// Routes the streams to the plain service.
fn serve_streams_plainly(config: &mut serde_json::Value) {
    for route in config["routes"].as_array_mut().unwrap() {
        route["service"] = json!("plain");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

impl Site {
    /// Opens connections that each send `bytes` and stay open, and waits until they have been sent or
    /// refused.
    async fn send_crowd(&self, crowd: usize, bytes: impl Fn(usize) -> Vec<u8>) -> Vec<TcpStream> {
        let address = self.deployment.gateways[0].callers;
        let mut senders = JoinSet::new();
        for index in 0..crowd {
            let bytes = bytes(index);
            senders.spawn(async move {
                let mut stream = TcpStream::connect(address).await.unwrap();
                // Fails if the gateway has closed the connection, which is allowed. The connection
                // stays open in any case.
                let _ = tokio::time::timeout(SEND_TIMEOUT, stream.write_all(&bytes)).await;
                stream
            });
        }
        senders.join_all().await
    }

    fn peak_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process)).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn peaks(&self) -> (u64, usize) {
        (self.peak_kb(), self.peak_fds.load(Ordering::Relaxed))
    }

    /// Waits until the gateway has read what it reads of the crowd.
    async fn settle(&self) {
        let (mut peaks, mut since) = (self.peaks(), Instant::now());
        let start = since;
        while since.elapsed() < SETTLE_TIME && start.elapsed() < SEND_TIMEOUT {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let before = std::mem::replace(&mut peaks, self.peaks());
            if before != peaks {
                since = Instant::now();
            }
        }
    }

    /// Checks that an ordinary request is answered while the crowd stays connected, that the process
    /// lives, and that its memory and descriptors stayed under their bounds.
    async fn check(&mut self, crowd: Vec<TcpStream>) {
        self.settle().await;
        let address = self.deployment.gateways[0].callers;
        let ordinary = ClientRequest::new("POST", ONCE, "ordinary");
        wait_until(async || send_request(address, &ordinary).await.code() == 200).await;
        drop(crowd);
        assert!(self.deployment.gateways[0].process.is_running().unwrap());
        let (peak_kb, fds) = self.peaks();
        eprintln!("peak {peak_kb} kB of {} MiB, {fds} descriptors", self.memory_mb);
        assert!(peak_kb <= self.memory_mb << 10, "peak of {peak_kb} kB");
        assert!(fds <= self.max_fds - RESERVED_FDS, "{fds} descriptors");
    }
}

async fn start_small() -> Site {
    start(MEMORY_MB, MAX_FDS, MAX_BODY_BYTES).await
}

/// As `start_small`, with so many descriptors that memory alone bounds the crowd.
async fn start_with_descriptors() -> Site {
    start(MEMORY_MB, 100 * MAX_FDS, MAX_BODY_BYTES).await
}

fn head(index: usize, framing: &str) -> Vec<u8> {
    head_to(ONCE, index, framing)
}

fn head_to(path: &str, index: usize, framing: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: h-{index}\r\nX-Deadline-Ms: 30000\r\n\
         Authorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

fn with_length(index: usize, declared: usize, sent: usize) -> Vec<u8> {
    let mut bytes = head(index, &format!("Content-Length: {declared}"));
    bytes.resize(bytes.len() + sent, b'x');
    bytes
}

fn in_chunks(index: usize, chunk_bytes: usize, total_bytes: usize) -> Vec<u8> {
    let mut bytes = head(index, "Transfer-Encoding: chunked");
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    bytes.extend(chunk.as_bytes().repeat(total_bytes / chunk_bytes));
    bytes
}

/// Guards against bodies that are held without a bound on all of them together.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies() {
    let mut site = start_with_descriptors().await;
    let unfinished = |index| with_length(index, MAX_BODY_BYTES, MAX_BODY_BYTES - 1);
    let crowd = site.send_crowd(CROWD, unfinished).await;
    site.check(crowd).await;
}

/// Guards against a body that is copied when it is complete, and against many complete bodies at once.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies() {
    let mut site = start_with_descriptors().await;
    let backend = &site.deployment.plain_backends[0];
    backend.queue_faults(vec![Fault::Hang; CROWD]);
    let crowd = site.send_crowd(CROWD, |index| with_length(index, MAX_BODY_BYTES, MAX_BODY_BYTES));
    let crowd = crowd.await;
    site.deployment.plain_backends[0].clear_faults();
    site.check(crowd).await;
}

/// Guards against chunked bodies, whose length is not known in advance, that are held without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks() {
    let mut site = start_with_descriptors().await;
    let unfinished = |index| in_chunks(index, 64 << 10, MAX_BODY_BYTES);
    let crowd = site.send_crowd(CROWD, unfinished).await;
    site.check(crowd).await;
}

/// Guards against a cost of each chunk: a list entry for each byte takes many times the bytes.
#[tokio::test(flavor = "multi_thread")]
async fn tiny_chunks() {
    let mut site = start_with_descriptors().await;
    let crowd = site.send_crowd(TINY_CROWD, |index| in_chunks(index, 1, TINY_BYTES)).await;
    site.check(crowd).await;
}

/// Guards against bodies over the limit that are read before they are rejected. Half of the crowd declare
/// the length, the others send chunks.
#[tokio::test(flavor = "multi_thread")]
async fn over_limit() {
    let mut site = start_with_descriptors().await;
    let over = 3 * MAX_BODY_BYTES;
    let crowd = site.send_crowd(CROWD, |index| match index % 2 {
        0 => with_length(index, over, MAX_BODY_BYTES - 1),
        _ => in_chunks(index, 1 << 10, over),
    });
    let crowd = crowd.await;
    site.check(crowd).await;
}

/// Guards against responses that are held for callers that do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn slow_readers() {
    const RESPONSE_BYTES: usize = 12 << 20;
    const READERS: usize = 16;
    let mut site = start_with_descriptors().await;
    site.deployment.plain_backends[0].queue_faults(vec![Fault::Large(RESPONSE_BYTES); READERS]);
    let mut crowd = Vec::new();
    // One after the other, since a backend takes few requests at once. Each reads the beginning only.
    for index in 0..READERS {
        let mut sent = site.send_crowd(1, |_| with_length(index, 3, 3)).await;
        let mut beginning = [0; 1 << 10];
        let _ = tokio::time::timeout(SEND_TIMEOUT, sent[0].read(&mut beginning)).await;
        crowd.append(&mut sent);
    }
    site.deployment.plain_backends[0].clear_faults();
    site.check(crowd).await;
}

/// Guards against faulty backends whose streams each hold the beginning of an event that does not end.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_events() {
    const EVENT_BYTES: usize = 1_000_000;
    let shape = Shape { plain_backends: CROWD / 2, ..Shape::default() };
    let mut site = start_shaped(shape, MEMORY_MB, 100 * MAX_FDS, MAX_BODY_BYTES).await;
    for backend in &site.deployment.plain_backends {
        backend.queue_faults(vec![Fault::PartialEvent(EVENT_BYTES); CROWD]);
    }
    let crowd = site.send_crowd(CROWD, |index| head_to(STREAM, index, "Content-Length: 0")).await;
    let arrivals = || site.deployment.plain_backends.iter().map(Backend::arrivals).sum::<u64>();
    wait_until(|| async { arrivals() >= CROWD as u64 }).await;
    site.settle().await;
    site.deployment.plain_backends.iter().for_each(Backend::clear_faults);
    site.check(crowd).await;
}

/// Guards against connections that take all descriptors. A third send nothing, a third half a head, and
/// the others the head of a request without its body.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections() {
    let mut site = start_small().await;
    let crowd = site.send_crowd(CROWD, |index| match index % 3 {
        0 => Vec::new(),
        1 => b"POST /once/x HTTP/1.1\r\nHost: a.exa".to_vec(),
        _ => with_length(index, 1_000, 0),
    });
    let crowd = crowd.await;
    site.check(crowd).await;
}

/// Guards against limits that an ordinary client meets: the smallest gateway serves a body of the largest
/// size, declared or in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn single_large_body() {
    const BODY_BYTES: usize = 4 << 20;
    let site = start(112, 2_870, BODY_BYTES).await;
    let address = site.deployment.gateways[0].callers;
    let body = bytes::Bytes::from(vec![b'x'; BODY_BYTES]);
    let request = ClientRequest { body, ..ClientRequest::new("POST", ONCE, "large") };
    assert_eq!(send_request(address, &request).await.code(), 200);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&in_chunks(0, 64 << 10, BODY_BYTES)).await.unwrap();
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    let mut beginning = [0; 12];
    stream.read_exact(&mut beginning).await.unwrap();
    assert_eq!(&beginning, b"HTTP/1.1 200");
}
