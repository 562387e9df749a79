//! Sends load to a small deployment of real processes, with or without faults.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    ClientRequest, ClientResponse, Deployment, IDEMPOTENT, ONCE, RESUMABLE, Shape, send_request,
};
use currantlink_standins::records::Health;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::args::Platform;
use crate::error::BenchError;
use crate::output;

/// Latency above which a response is late; the target latency of the deployment's routes.
const TARGET_MS: u128 = 400;
const KINDS: [(&str, &str, &str); 3] =
    [("stream", "POST", RESUMABLE), ("once", "POST", ONCE), ("idempotent", "GET", IDEMPOTENT)];

/// Outcomes of one kind of request, as observed by callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Kind of request.
    pub kind: &'static str,
    /// Requests with a complete successful response.
    pub served: u64,
    /// Served requests that took longer than the target latency.
    pub late: u64,
    /// Requests that were rejected with a guarantee that they did not run.
    pub refused: u64,
    /// Requests with any other response, or none.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once, or ran although they were refused.
    pub doubled: u64,
    /// Median latency of served requests.
    pub p50_ms: u64,
    /// 99th percentile of the latency of served requests.
    pub p99_ms: u64,
}

/// Runs the measurement and prints one line per kind of request.
///
/// # Errors
///
/// Fails if the deployment cannot be started.
pub fn run(options: &Platform) -> Result<(), BenchError> {
    let directory = tempfile::tempdir()?;
    let path = options.keep.clone().unwrap_or_else(|| directory.path().to_owned());
    std::fs::create_dir_all(&path)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let tallies = runtime.block_on(measure(options, &path))?;
    for tally in &tallies {
        let Tally { kind, served, late, refused, lost, doubled, p50_ms, p99_ms } = tally;
        output::report(tally, options.json, || {
            format!(
                "{kind:<12} served {served:>5} late {late:>5} refused {refused:>5} lost {lost:>5} \
                 doubled {doubled:>3} p50 {p50_ms:>5} ms p99 {p99_ms:>5} ms"
            )
        })?;
    }
    Ok(())
}

async fn measure(options: &Platform, directory: &Path) -> Result<Vec<Tally>, BenchError> {
    let program: PathBuf = options.program.clone();
    let shape = Shape { gateways: 2, ranks: 4, plain_backends: 2, events: 8, ..Shape::default() };
    let deployment = Arc::new(Deployment::start(&program, directory, shape).await?);
    deployment.wait_until_ready().await;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut sent = Vec::new();
    let mut next_fault = Instant::now();
    while Instant::now() < end {
        if options.faults && Instant::now() >= next_fault {
            next_fault = Instant::now() + Duration::from_millis(500);
            inject_fault(&deployment, &mut rng);
        }
        let (kind, method, path) = KINDS[rng.random_range(0..KINDS.len())];
        let gateway = deployment.gateways[rng.random_range(0..shape.gateways)].callers;
        let id = format!("{kind}-{}", sent.len());
        let request = ClientRequest::new(method, path, &id);
        sent.push((
            kind,
            id,
            tokio::spawn(async move {
                let start = Instant::now();
                (send_request(gateway, &request).await, start.elapsed())
            }),
        ));
        tokio::time::sleep(Duration::from_secs_f64(1.0 / options.rate)).await;
    }
    deployment.records.set_health(Health::Up);
    let mut completed = Vec::new();
    for (kind, id, handle) in sent {
        let (response, elapsed) = handle.await.unwrap_or_default();
        completed.push((kind, id, response, elapsed));
    }
    Ok(KINDS.iter().map(|&(kind, ..)| tally(kind, &completed, &deployment)).collect())
}

fn inject_fault(deployment: &Deployment, rng: &mut StdRng) {
    let plain = &deployment.plain_backends[rng.random_range(0..deployment.plain_backends.len())];
    let model = &deployment.model_backends[rng.random_range(0..deployment.model_backends.len())];
    match rng.random_range(0..6) {
        0 => plain.queue_faults([Fault::LoseResponse]),
        1 => plain.queue_faults([Fault::StrayResponse, Fault::Refuse]),
        2 => model.queue_faults([Fault::TruncateAfter(3)]),
        3 => deployment.records.set_health(Health::Busy),
        4 => deployment.records.set_health(Health::Silent),
        _ => deployment.records.set_health(Health::Up),
    }
}

fn tally(
    kind: &'static str,
    completed: &[(&'static str, String, ClientResponse, Duration)],
    deployment: &Deployment,
) -> Tally {
    let mut tally = Tally { kind, ..Tally::default() };
    let mut latency = Histogram::<u64>::new(3).ok();
    for (_, id, response, elapsed) in completed.iter().filter(|(of, ..)| *of == kind) {
        let runs = count_runs(deployment, id);
        match response.code() {
            200 if response.is_complete => {
                tally.served += 1;
                tally.late += u64::from(elapsed.as_millis() > TARGET_MS);
                if let Some(latency) = &mut latency {
                    latency.saturating_record(elapsed.as_millis() as u64);
                }
            }
            503 => {
                tally.refused += 1;
                tally.doubled += u64::from(kind == "once" && runs > 0);
            }
            _ => tally.lost += 1,
        }
        tally.doubled += u64::from(kind == "once" && runs > 1);
    }
    if let Some(latency) = latency {
        tally.p50_ms = latency.value_at_quantile(0.5);
        tally.p99_ms = latency.value_at_quantile(0.99);
    }
    tally
}

/// Counts the runs of a request on all backends.
pub fn count_runs(deployment: &Deployment, id: &str) -> usize {
    let all = deployment.plain_backends.iter().chain(&deployment.model_backends);
    all.map(|backend| backend.runs().iter().filter(|run| run.attempt_id == id).count()).sum()
}
