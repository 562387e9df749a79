//! Measures the complete request path on loopback.
//!
//! Compares requests directly to a backend with requests through an entry and a side. Each of them
//! runs in a process of its own.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path as FilePath, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantlink_core::config::TokenHash;
use currantlink_daemon::{entry, settings, side};
use currantlink_standins::list::{Instance, Instances, List};
use currantlink_standins::log::Log;
use currantlink_standins::plain::PlainService;
use currantlink_standins::ports::free_address;
use hdrhistogram::Histogram;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::args::{Path, Role};
use crate::error::BenchError;
use crate::output;

const CALLER_TOKEN: &str = "bench-token";
const OPERATOR_TOKEN: &str = "bench-operator";
const CONNECTIONS: usize = 64;
const READY_ATTEMPTS: usize = 200;
const READY_INTERVAL: Duration = Duration::from_millis(50);
const TICKS_PER_S: f64 = 100.0;
const US_PER_S: f64 = 1e6;
const KIB: f64 = 1_024.0;
const THREADS: u32 = 2;

/// Measurements of one path to the backend.
#[derive(Clone, Debug, Serialize)]
struct Report {
    way: &'static str,
    cores: usize,
    saturated_per_s: f64,
    rate_per_s: f64,
    p50_us: u64,
    p95_us: u64,
    p99_us: u64,
    entry_cpu_us_per_request: f64,
    side_cpu_us_per_request: f64,
    entry_mib: f64,
    side_mib: f64,
}

/// Runs one of the measured processes.
///
/// # Errors
///
/// Fails if the settings are invalid or the process fails.
pub fn role(role: &Role) -> Result<(), BenchError> {
    match role {
        Role::Entry(path) => Ok(entry::run(settings::load_entry(path)?)?),
        Role::Side(path) => Ok(side::run(settings::load_side(path)?)?),
        Role::Plain(address) => {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(THREADS as usize)
                .enable_all()
                .build()?;
            runtime.block_on(async {
                PlainService::new("bench", Duration::ZERO).serve(*address).await?;
                std::future::pending().await
            })
        }
    }
}

/// A child process that is killed on drop.
struct Process(Child);

impl Process {
    fn start(role: &str, argument: impl AsRef<std::ffi::OsStr>) -> Result<Self, BenchError> {
        let executable = std::env::current_exe()?;
        let child = Command::new(executable)
            .args(["role", role])
            .arg(argument)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self(child))
    }

    fn cpu_s(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<f64> =
            after_name.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
        // User and system time are fields 14 and 15. The fields are counted from the end of the name,
        // field 2, because the name may contain spaces.
        fields.iter().skip(11).take(2).sum::<f64>() / TICKS_PER_S
    }

    fn memory_mib(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
        let kib: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
        kib / KIB
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Processes {
    entry: Process,
    side: Process,
    _plain: Process,
    entry_address: SocketAddr,
    plain_address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        // A leftover temporary folder is harmless.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Measures both paths and prints one line for each.
///
/// # Errors
///
/// Fails if a process cannot be started or is not ready in time.
pub fn run(options: &Path) -> Result<(), BenchError> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure(options))
}

async fn measure(options: &Path) -> Result<(), BenchError> {
    let processes = start().await?;
    let time = Duration::from_secs(options.seconds);
    let direct = Target { address: processes.plain_address, path: "/x" };
    let through = Target { address: processes.entry_address, path: "/v1/services/api/x" };
    run_load(through, CONNECTIONS, time / 4, None).await?;
    let saturated = [
        run_load(direct, CONNECTIONS, time, None).await?.rate(time),
        run_load(through, CONNECTIONS, time, None).await?.rate(time),
    ];
    let rate = options.rate.unwrap_or(saturated[1] / 2.0);
    for (way, target, saturated_per_s) in
        [("direct", direct, saturated[0]), ("through", through, saturated[1])]
    {
        let before = (processes.entry.cpu_s(), processes.side.cpu_s());
        let result = run_load(target, CONNECTIONS, time, Some(rate)).await?;
        let cpu_us = |now: f64, before: f64| (now - before) * US_PER_S / result.count as f64;
        let report = Report {
            way,
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            saturated_per_s,
            rate_per_s: result.rate(time),
            p50_us: result.latency.value_at_quantile(0.50),
            p95_us: result.latency.value_at_quantile(0.95),
            p99_us: result.latency.value_at_quantile(0.99),
            entry_cpu_us_per_request: cpu_us(processes.entry.cpu_s(), before.0),
            side_cpu_us_per_request: cpu_us(processes.side.cpu_s(), before.1),
            entry_mib: processes.entry.memory_mib(),
            side_mib: processes.side.memory_mib(),
        };
        print(&report, options.json)?;
    }
    Ok(())
}

async fn start() -> Result<Processes, BenchError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let folder = std::env::temp_dir().join(format!("currantlink-bench-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    fs::write(folder.join("link.key"), [7; 32])?;
    let log = Log::default().serve(any).await?;
    let [plain, link, monitor, http] = std::array::from_fn(|_| free_address());
    let list = List::new(Duration::ZERO);
    let (name, address) = (String::from("api-1"), link.to_string());
    let live = Instance { name, address, state: String::from("live") };
    list.set_immediately(Instances { instances: vec![live] });
    let list = list.serve(any).await?;
    let side = json!({
        "name": "side", "failure_domain": "a", "backend": "api-1", "service": "api",
        "link_address": link.to_string(), "http_address": monitor.to_string(),
        "backend_url": format!("http://{plain}"), "list_url": format!("http://{list}"),
        "link_key_path": folder.join("link.key"), "traffic_threads": THREADS,
    });
    let entry = json!({
        "name": "entry", "failure_domain": "a", "http_address": http.to_string(),
        "log_url": format!("http://{log}"), "list_url": format!("http://{list}"),
        "link_key_path": folder.join("link.key"), "traffic_threads": THREADS,
        "operator_token_sha256": [hash(OPERATOR_TOKEN)],
    });
    let plain_process = Process::start("plain", plain.to_string())?;
    let side = Process::start("side", write(&folder, "side.json", &side)?)?;
    let entry = Process::start("entry", write(&folder, "entry.json", &entry)?)?;
    configure(http, link).await?;
    let (entry_address, plain_address) = (http, plain);
    Ok(Processes { entry, side, _plain: plain_process, entry_address, plain_address, folder })
}

fn write(folder: &FilePath, name: &str, value: &Value) -> Result<PathBuf, BenchError> {
    let path = folder.join(name);
    fs::write(&path, value.to_string())?;
    Ok(path)
}

fn hash(token: &str) -> String {
    debug_assert!(TokenHash::of(token).matches(&TokenHash::of(token)));
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

async fn configure(entry: SocketAddr, side: SocketAddr) -> Result<(), BenchError> {
    let files = json!({
        "workspaces": [{ "name": "bench", "token_sha256": [hash(CALLER_TOKEN)] }],
        "services": [{ "name": "api", "kind": "plain" }],
        "backends": [{ "name": "api-1", "service": "api", "failure_domain": "a",
                      "side_address": side.to_string() }],
    });
    let change = json!({
        "record_id": "00".repeat(16), "author": "bench",
        "edits": [{ "name": "10.json", "base_revision": 0, "content": files.to_string() }],
    });
    let target = Target { address: entry, path: "/v1/config/changes" };
    wait_until_ok(target, Method::POST, OPERATOR_TOKEN, &change.to_string()).await?;
    let target = Target { address: entry, path: "/v1/services/api/x" };
    wait_until_ok(target, Method::GET, CALLER_TOKEN, "").await
}

async fn wait_until_ok(
    target: Target,
    method: Method,
    token: &str,
    body: &str,
) -> Result<(), BenchError> {
    for _ in 0..READY_ATTEMPTS {
        if let Ok(mut sender) = connect(target.address).await {
            let request = request(target, &method, token, body)?;
            let response = sender.send_request(request).await;
            if response.is_ok_and(|r| r.status() == StatusCode::OK) {
                return Ok(());
            }
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
    Err(BenchError::NotReady)
}

#[derive(Clone, Copy)]
struct Target {
    address: SocketAddr,
    path: &'static str,
}

struct LoadResult {
    count: u64,
    latency: Histogram<u64>,
}

impl LoadResult {
    fn rate(&self, time: Duration) -> f64 {
        self.count as f64 / time.as_secs_f64()
    }
}

/// Sends requests over several connections, at a fixed rate or as fast as the target responds.
async fn run_load(
    target: Target,
    connections: usize,
    time: Duration,
    rate: Option<f64>,
) -> Result<LoadResult, BenchError> {
    let start = Instant::now();
    let permits = rate.map(|rate| issue_permits(start, time, rate, connections));
    let workers: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(worker(target, start, time, permits.clone())))
        .collect();
    let mut result = LoadResult { count: 0, latency: histogram() };
    for worker in workers {
        let worker_latency = worker.await.map_err(|_| BenchError::NotReady)??;
        result.count += worker_latency.len();
        result.latency += worker_latency;
    }
    Ok(result)
}

/// Issues one permit per request at a fixed rate.
///
/// Runs on a separate thread, because the runtime's timers would issue permits in bursts of a
/// millisecond. Finally issues one permit per worker, so that none of them waits forever.
fn issue_permits(start: Instant, time: Duration, rate: f64, workers: usize) -> Arc<Semaphore> {
    let permits = Arc::new(Semaphore::new(0));
    let issued = Arc::clone(&permits);
    std::thread::spawn(move || {
        for request in 0..(rate * time.as_secs_f64()) as u64 {
            let due = start + Duration::from_secs_f64(request as f64 / rate);
            while Instant::now() < due {
                std::thread::yield_now();
            }
            issued.add_permits(1);
        }
        issued.add_permits(workers);
    });
    permits
}

fn histogram() -> Histogram<u64> {
    #[allow(clippy::expect_used)]
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order")
}

async fn worker(
    target: Target,
    start: Instant,
    time: Duration,
    permits: Option<Arc<Semaphore>>,
) -> Result<Histogram<u64>, BenchError> {
    let mut latency = histogram();
    let mut sender = connect(target.address).await?;
    while start.elapsed() < time {
        if let Some(permits) = &permits
            && let Ok(permit) = permits.acquire().await
        {
            permit.forget();
        }
        let request = request(target, &Method::GET, CALLER_TOKEN, "")?;
        let began = Instant::now();
        let response = sender.send_request(request).await?;
        let ok = response.status() == StatusCode::OK;
        response.into_body().collect().await?;
        if ok {
            latency.saturating_record(began.elapsed().as_micros() as u64);
        }
    }
    Ok(latency)
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, BenchError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

fn request(
    target: Target,
    method: &Method,
    token: &str,
    body: &str,
) -> Result<Request<Full<Bytes>>, BenchError> {
    let request = Request::builder()
        .method(method)
        .uri(target.path)
        .header("host", "bench")
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(Bytes::from(body.to_owned())))?;
    Ok(request)
}

fn print(report: &Report, json: bool) -> Result<(), BenchError> {
    output::report(report, json, || {
        format!(
            "{:<8} cores={} saturated={:.0}/s at {:.0}/s: p50={}us p95={}us p99={}us \
         cpu/request entry={:.0}us side={:.0}us memory entry={:.1}MiB side={:.1}MiB",
            report.way,
            report.cores,
            report.saturated_per_s,
            report.rate_per_s,
            report.p50_us,
            report.p95_us,
            report.p99_us,
            report.entry_cpu_us_per_request,
            report.side_cpu_us_per_request,
            report.entry_mib,
            report.side_mib,
        )
    })
}
