//! Injects random faults into a small deployment of real processes and checks its guarantees.
//!
//! The guarantees, as observed by callers and backends: a response belongs to its request, a
//! non-idempotent request runs at most once, a request that is refused as not run did not run, a
//! successful stream is complete, all ranks use the same expert map in a forward pass, no process
//! fails, no request reaches a zone that was evacuated some seconds ago, a cold backend gets no more
//! requests in any second than it tolerates, and all requests are served again after the faults.

use std::path::Path;
use std::time::{Duration, Instant};

use currantlink_core::rate_lanes::{BoundedRate, RateMargin};
use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, GatewayProcess, IDEMPOTENT, KEY, ONCE,
    Process, RESUMABLE, Shape, send_request,
};
use currantlink_standins::records::Health;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::args::Soak;
use crate::error::BenchError;
use crate::output;
use crate::platform::count_runs;

const SHAPE: Shape = Shape {
    gateways: 2,
    ranks: 3,
    plain_backends: 2,
    slots: None,
    events: 6,
    grace_s: 3,
    zones: &["b", EVACUATED_ZONE],
};
/// Zone that is evacuated for a part of the run.
const EVACUATED_ZONE: &str = "c";
/// Index of the plain backend and of the rank in that zone.
const EVACUATED_INDEX: usize = 1;
/// Part of the run in which the zone is evacuated.
const EVACUATED_PART: std::ops::Range<f64> = 0.1..0.9;
/// Time by which an evacuation takes effect, as stated to the operator.
const EVACUATE_LIMIT: Duration = Duration::from_millis(5_000);
/// Index of the plain backend that restarts and is cold. The other one is in the evacuated zone, so that all
/// requests of the service are for the cold one.
const COLD_INDEX: usize = 0;
/// Part of the run after which it restarts.
const COLD_PART: f64 = 0.3;
/// Time for which it is cold.
const COLD_TIME: Duration = Duration::from_millis(1_500);
/// Rate that a cold backend tolerates: fewer than the requests that are sent. The margin is the one in the
/// settings of the processes.
const COLD_RATE: BoundedRate =
    BoundedRate { per_s: 5.0, margin: RateMargin { overage: 1.5, slack: 5.0 } };
const KINDS: [(&str, &str); 3] = [("POST", RESUMABLE), ("POST", ONCE), ("GET", IDEMPOTENT)];
/// Time between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Scale of the random time between faults, short enough that faults overlap.
const FAULT_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the last fault within which all requests must be served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// A request and its response.
struct Exchange {
    request: ClientRequest,
    response: ClientResponse,
}

/// Runs one soak test per seed and prints the violations of each.
///
/// # Errors
///
/// Fails with the number of seeds that violated a guarantee, or if a deployment cannot be started.
pub fn run(options: &Soak) -> Result<(), BenchError> {
    let runtime = tokio::runtime::Runtime::new()?;
    run_seeds(options.seed..options.seed + options.seeds, |directory, seed| {
        runtime.block_on(soak(options, directory, seed))
    })
}

/// Runs `test` with each seed in a directory of its own and prints the violations that it returns.
/// The directory of a seed with violations is kept.
///
/// # Errors
///
/// Fails with the number of seeds with violations, or if `test` fails.
pub fn run_seeds(
    seeds: impl IntoIterator<Item = u64>,
    mut test: impl FnMut(&Path, u64) -> Result<Vec<String>, BenchError>,
) -> Result<(), BenchError> {
    let mut failed_seeds = 0;
    for seed in seeds {
        let directory = tempfile::tempdir()?;
        let violations = test(directory.path(), seed)?;
        let verdict = if violations.is_empty() { "kept" } else { "BROKEN" };
        line(format!("seed {seed}: {verdict}"))?;
        violations.iter().try_for_each(|violation| line(format!("  {violation}")))?;
        if !violations.is_empty() {
            failed_seeds += 1;
            let kept = directory.keep();
            line(format!("  logs: {}", kept.display()))?;
        }
    }
    match failed_seeds {
        0 => Ok(()),
        seeds => Err(BenchError::GuaranteesViolated { seeds }),
    }
}

fn line(text: String) -> Result<(), BenchError> {
    output::report(&text, false, || text.clone())
}

async fn soak(options: &Soak, directory: &Path, seed: u64) -> Result<Vec<String>, BenchError> {
    let mut deployment = Deployment::start(&options.program, directory, SHAPE).await?;
    deployment.wait_until_ready().await;
    configure_cold(&deployment).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let run_time = Duration::from_secs(options.seconds);
    let began_at = Instant::now();
    let end = began_at + run_time;
    let evacuation = began_at + run_time.mul_f64(EVACUATED_PART.start)
        ..began_at + run_time.mul_f64(EVACUATED_PART.end);
    let (mut is_evacuated, mut lifted_at) = (false, None);
    let mut restart_cold_at = Some(began_at + run_time.mul_f64(COLD_PART));
    let mut sent = Vec::new();
    let mut stopped: Vec<(Instant, u32)> = Vec::new();
    let mut next_fault = Instant::now();
    let mut failed = 0;
    while Instant::now() < end {
        if Instant::now() >= next_fault {
            next_fault = Instant::now() + FAULT_INTERVAL.mul_f64(rng.random_range(0.2..2.0));
            inject_fault(&mut deployment, &mut rng, &mut stopped)?;
        }
        let was_evacuated =
            std::mem::replace(&mut is_evacuated, evacuation.contains(&Instant::now()));
        match (was_evacuated, is_evacuated) {
            (false, true) => deployment.evacuate(EVACUATED_ZONE),
            (true, false) => {
                lifted_at = Some(Instant::now());
                deployment.lift_evacuation(EVACUATED_ZONE);
            }
            _ => {}
        }
        if restart_cold_at.take_if(|at| *at <= Instant::now()).is_some() {
            deployment.plain_backends[COLD_INDEX].crash();
        }
        if is_evacuated {
            // The bound holds for processes that reach the store.
            deployment.records.set_health(Health::Up);
            deployment.records.set_delay(Duration::ZERO);
        }
        let (due, later): (Vec<_>, Vec<_>) =
            stopped.into_iter().partition(|&(until, _)| until <= Instant::now());
        due.iter().for_each(|&(_, id)| resume(id));
        stopped = later;
        failed += restart_ended(&mut deployment)?;
        sent.push(send(&deployment, &mut rng, sent.len()));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    stopped.iter().for_each(|&(_, id)| resume(id));
    deployment.records.set_health(Health::Up);
    deployment.records.set_delay(Duration::ZERO);
    let mut exchanges = Vec::new();
    for request in sent {
        if let Ok(exchange) = request.await {
            exchanges.push(exchange);
        }
    }
    let mut violations = check(&deployment, &exchanges);
    let late = count_late(&deployment, evacuation.start + EVACUATE_LIMIT, lifted_at);
    if late > 0 {
        violations.push(format!("evacuated zone gets nothing: {late} requests reached it"));
    }
    let most = most_in_a_second(&deployment.plain_backends[COLD_INDEX].cold_arrival_times());
    let allowed = COLD_RATE.bound() as usize;
    if most > allowed {
        violations.push(format!("cold backend: {most} requests in a second, {allowed} allowed"));
    }
    if failed > 0 {
        violations.push(format!("no process fails: {failed} ended by themselves"));
    }
    violations.extend(check_recovery(&mut deployment).await?);
    Ok(violations)
}

fn send(
    deployment: &Deployment,
    rng: &mut StdRng,
    number: usize,
) -> tokio::task::JoinHandle<Exchange> {
    let (method, path) = KINDS[rng.random_range(0..KINDS.len())];
    let gateway = deployment.gateways[rng.random_range(0..SHAPE.gateways)].callers;
    let request = ClientRequest::new(method, path, &format!("r-{number}"));
    tokio::spawn(async move {
        let response = send_request(gateway, &request).await;
        Exchange { request, response }
    })
}

fn inject_fault(
    deployment: &mut Deployment,
    rng: &mut StdRng,
    stopped: &mut Vec<(Instant, u32)>,
) -> Result<(), BenchError> {
    let health = [Health::Up, Health::Busy, Health::Silent, Health::LoseResponses];
    let faults = [
        Fault::Refuse,
        Fault::Fail,
        Fault::LoseResponse,
        Fault::StrayResponse,
        Fault::ExtraBytes,
        Fault::Unsigned,
        Fault::Reset,
    ];
    let index = rng.random_range(0..SHAPE.gateways + SHAPE.ranks as usize);
    let process = processes(deployment).nth(index);
    match (rng.random_range(0..10), process) {
        (0, _) => deployment.records.set_health(health[rng.random_range(0..health.len())]),
        (1, _) => deployment.records.set_delay(Duration::from_millis(rng.random_range(0..300))),
        (2, _) => deployment.records.truncate(),
        (3 | 4, _) => {
            let backend = rng.random_range(0..SHAPE.plain_backends);
            deployment.plain_backends[backend]
                .queue_faults([faults[rng.random_range(0..faults.len())]]);
            let rank = rng.random_range(0..SHAPE.ranks as usize);
            deployment.model_backends[rank]
                .queue_faults([Fault::TruncateAfter(rng.random_range(0..6))]);
            if let Some(group) = &deployment.group {
                group.lose_order_responses(rng.random_range(0..4));
            }
        }
        (5, Some(process)) => process.kill(),
        (6, Some(process)) => signal(process, Signal::SIGTERM)?,
        (7, Some(process)) => signal(process, Signal::SIGHUP)?,
        (8, _) => {
            // An entry of another writer, of a service that the configuration does not name.
            let address = deployment.plain_addresses[rng.random_range(0..SHAPE.plain_backends)];
            deployment.register("metrics", "host-metrics", address, "ready");
        }
        (_, Some(process)) => {
            signal(process, Signal::SIGSTOP)?;
            let until = Instant::now() + Duration::from_millis(rng.random_range(50..2_000));
            stopped.extend(process.id().map(|id| (until, id)));
        }
        (_, None) => {}
    }
    Ok(())
}

fn processes(deployment: &mut Deployment) -> impl Iterator<Item = &mut Process> {
    let gateways = deployment.gateways.iter_mut().map(|g: &mut GatewayProcess| &mut g.process);
    gateways.chain(deployment.agents.iter_mut())
}

/// Sends a signal to a process, if it runs.
///
/// # Errors
///
/// Fails if the signal cannot be sent.
pub fn signal(process: &Process, signal: Signal) -> Result<(), BenchError> {
    match process.id().map(|id| kill(Pid::from_raw(id as i32), signal)) {
        Some(Err(error)) => Err(BenchError::Io(error.into())),
        _ => Ok(()),
    }
}

/// Resumes a process that was stopped by `SIGSTOP`.
fn resume(id: u32) {
    // The process may have been killed in the meantime.
    let _ = kill(Pid::from_raw(id as i32), Signal::SIGCONT);
}

/// Restarts exited processes, as the platform does, and returns how many of them had failed.
///
/// # Errors
///
/// Fails if the status of a process cannot be read or a process cannot be started.
pub fn restart_ended(deployment: &mut Deployment) -> Result<u32, BenchError> {
    let mut failed = 0;
    for process in processes(deployment) {
        failed += u32::from(process.has_failed()?);
        if !process.is_running()? {
            process.kill();
            process.start()?;
        }
    }
    Ok(failed)
}

fn check(deployment: &Deployment, exchanges: &[Exchange]) -> Vec<String> {
    let mut violations = Vec::new();
    for Exchange { request, response } in exchanges {
        let runs = count_runs(deployment, &request.id);
        let is_once = request.path == ONCE;
        let mut expect = |holds: bool, guarantee: &str| {
            if !holds {
                violations.push(format!(
                    "{guarantee}: {} got {} after {runs} runs",
                    request.id,
                    response.code()
                ));
            }
        };
        expect(!is_once || runs <= 1, "at most once");
        expect(!is_once || response.code() != 503 || runs == 0, "refusal is true");
        let is_whole = response.code() == 200 && response.is_complete;
        let text = response.text();
        match request.path.as_str() {
            RESUMABLE => expect(!is_whole || text == events(SHAPE.events), "whole stream"),
            _ => {
                expect(!is_whole || text.starts_with(&format!("{} by ", request.id)), "own answer")
            }
        }
    }
    let mixed_passes = deployment.group.as_ref().map_or(0, |group| group.mixed_map_passes());
    if mixed_passes > 0 {
        violations.push(format!(
            "one map in every pass: {mixed_passes} passes began with different maps"
        ));
    }
    violations
}

/// Returns the number of requests that reached the evacuated zone between two times.
fn count_late(deployment: &Deployment, from: Instant, lifted_at: Option<Instant>) -> usize {
    let backends = [&deployment.plain_backends, &deployment.model_backends];
    let arrivals = backends.iter().flat_map(|backends| backends[EVACUATED_INDEX].arrival_times());
    let is_late = |at: &Instant| *at >= from && lifted_at.is_none_or(|lifted_at| *at < lifted_at);
    arrivals.filter(is_late).count()
}

/// Makes the plain service one whose backends are cold after they start, and waits until all gateways know.
/// Otherwise a store that fails from the start would keep the bound from them.
async fn configure_cold(deployment: &Deployment) {
    const VERSION: u64 = 2;
    let mut config = deployment::config(VERSION, &[KEY]);
    config["services"][0]["cold_start_s"] = COLD_TIME.as_secs_f64().into();
    config["services"][0]["cold_per_s"] = COLD_RATE.per_s.into();
    deployment.put_config(&config.to_string());
    deployment.plain_backends[COLD_INDEX].set_cold_time(COLD_TIME);
    let applied = format!("\"configuration applied\" version={VERSION}");
    for gateway in &deployment.gateways {
        let log = gateway.process.log_path();
        // A log that cannot be read has no such line, so the wait fails.
        let is_applied = || std::fs::read_to_string(&log).is_ok_and(|log| log.contains(&applied));
        deployment::wait_until(|| std::future::ready(is_applied())).await;
    }
}

/// Returns the largest number of requests in any one second, of times in ascending order.
fn most_in_a_second(times: &[Instant]) -> usize {
    let second = Duration::from_secs(1);
    let since = |first: usize| {
        times[first..].iter().take_while(|at| at.duration_since(times[first]) <= second).count()
    };
    (0..times.len()).map(since).max().unwrap_or_default()
}

fn events(count: u64) -> String {
    (1..=count).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// Waits until every gateway serves every kind of request and returns the failures at a timeout.
async fn check_recovery(deployment: &mut Deployment) -> Result<Vec<String>, BenchError> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let mut number = 0;
    loop {
        restart_ended(deployment)?;
        let mut failing = Vec::new();
        for gateway in &deployment.gateways {
            for (method, path) in KINDS {
                number += 1;
                let request = ClientRequest::new(method, path, &format!("after-{number}"));
                let response = send_request(gateway.callers, &request).await;
                if response.code() != 200 || !response.is_complete {
                    failing.push(format!("served again: {path} got {}", response.code()));
                }
            }
        }
        if failing.is_empty() || Instant::now() > end {
            return Ok(failing);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
