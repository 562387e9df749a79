//! `platform`: load on a small deployment with faults, by real processes.

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

/// Latency within which an answer is on time, as in the deployment's routes.
const TARGET_MS: u128 = 400;
const KINDS: [(&str, &str, &str); 3] =
    [("stream", "POST", RESUMABLE), ("once", "POST", ONCE), ("idempotent", "GET", IDEMPOTENT)];

/// What callers of one kind of request got.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Kind of request.
    pub kind: &'static str,
    /// Answered whole with success.
    pub served: u64,
    /// Of these, after the target.
    pub late: u64,
    /// Told that they have not run.
    pub refused: u64,
    /// Answered otherwise, or not at all.
    pub lost: u64,
    /// Run more often than allowed, or run though refused.
    pub doubled: u64,
    /// Median latency in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile in milliseconds.
    pub p99_ms: u64,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails where the deployment cannot be started.
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
    let shape = Shape { gateways: 2, ranks: 4, plain_backends: 2, events: 8 };
    let deployment = Arc::new(Deployment::start(&program, directory, shape).await?);
    deployment.wait_until_ready().await;
    let mut random = StdRng::seed_from_u64(options.seed);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut asked = Vec::new();
    let mut next_fault = Instant::now();
    while Instant::now() < end {
        if options.faults && Instant::now() >= next_fault {
            next_fault = Instant::now() + Duration::from_millis(500);
            disturb(&deployment, &mut random);
        }
        let (kind, method, path) = KINDS[random.random_range(0..KINDS.len())];
        let gateway = deployment.gateways[random.random_range(0..shape.gateways)].callers;
        let id = format!("{kind}-{}", asked.len());
        let request = ClientRequest::new(method, path, &id);
        asked.push((
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
    let mut answered = Vec::new();
    for (kind, id, answer) in asked {
        let (reply, took) = answer.await.unwrap_or_default();
        answered.push((kind, id, reply, took));
    }
    Ok(KINDS.iter().map(|&(kind, ..)| tally(kind, &answered, &deployment)).collect())
}

fn disturb(deployment: &Deployment, random: &mut StdRng) {
    let plain = &deployment.plain_backends[random.random_range(0..deployment.plain_backends.len())];
    let model = &deployment.model_backends[random.random_range(0..deployment.model_backends.len())];
    match random.random_range(0..6) {
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
    answered: &[(&'static str, String, ClientResponse, Duration)],
    deployment: &Deployment,
) -> Tally {
    let mut tally = Tally { kind, ..Tally::default() };
    let mut latency = Histogram::<u64>::new(3).ok();
    for (_, id, reply, took) in answered.iter().filter(|(of, ..)| *of == kind) {
        let runs = runs_of(deployment, id);
        match reply.code() {
            200 if reply.is_complete => {
                tally.served += 1;
                tally.late += u64::from(took.as_millis() > TARGET_MS);
                if let Some(latency) = &mut latency {
                    latency.saturating_record(took.as_millis() as u64);
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

/// Returns how often a request was run by any backend.
pub fn runs_of(deployment: &Deployment, id: &str) -> usize {
    let all = deployment.plain_backends.iter().chain(&deployment.model_backends);
    all.map(|backend| backend.runs().iter().filter(|run| run.attempt_id == id).count()).sum()
}
