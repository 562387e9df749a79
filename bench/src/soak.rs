//! `soak`: random faults from outside on a small deployment of real processes, by seed.
//!
//! Checked are the promises that callers and backends see: own answers, at most once, refusals that
//! are true, whole streams, one map in every pass, and service again after the faults.

use std::path::Path;
use std::time::{Duration, Instant};

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    ClientRequest, ClientResponse, Deployment, GatewayProcess, IDEMPOTENT, ONCE, Process,
    RESUMABLE, Shape, send_request,
};
use currantlink_standins::records::Health;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::args::Soak;
use crate::error::BenchError;
use crate::output;
use crate::platform::runs_of;

const SHAPE: Shape = Shape { gateways: 2, ranks: 3, plain_backends: 2, events: 6 };
const KINDS: [(&str, &str); 3] = [("POST", RESUMABLE), ("POST", ONCE), ("GET", IDEMPOTENT)];
/// Time between two requests.
const REQUEST_EVERY: Duration = Duration::from_millis(15);
/// Time between two faults; they overlap.
const FAULT_EVERY: Duration = Duration::from_millis(250);
/// Time after the last fault by which everything serves again.
const RECOVERY: Duration = Duration::from_secs(12);

/// A request with its answer.
struct Seen {
    ask: ClientRequest,
    reply: ClientResponse,
}

/// Runs the seeds one after the other.
///
/// # Errors
///
/// Fails where a promise was broken, naming its seed, or a deployment cannot be started.
pub fn run(options: &Soak) -> Result<(), BenchError> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut broken = 0;
    for seed in options.seed..options.seed + options.seeds {
        let directory = tempfile::tempdir()?;
        let found = runtime.block_on(soak(options, directory.path(), seed))?;
        let verdict = if found.is_empty() { "kept" } else { "BROKEN" };
        line(format!("seed {seed}: {verdict}"))?;
        found.iter().try_for_each(|found| line(format!("  {found}")))?;
        if !found.is_empty() {
            broken += 1;
            let kept = directory.keep();
            line(format!("  logs: {}", kept.display()))?;
        }
    }
    match broken {
        0 => Ok(()),
        seeds => Err(BenchError::PromisesBroken { seeds }),
    }
}

fn line(text: String) -> Result<(), BenchError> {
    output::report(&text, false, || text.clone())
}

async fn soak(options: &Soak, directory: &Path, seed: u64) -> Result<Vec<String>, BenchError> {
    let mut deployment = Deployment::start(&options.program, directory, SHAPE).await?;
    deployment.wait_until_ready().await;
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut asked = Vec::new();
    let mut stopped: Vec<(Instant, u32)> = Vec::new();
    let mut next_fault = Instant::now();
    let mut failed = 0;
    while Instant::now() < end {
        if Instant::now() >= next_fault {
            next_fault = Instant::now() + FAULT_EVERY.mul_f64(random.random_range(0.2..2.0));
            disturb(&mut deployment, &mut random, &mut stopped)?;
        }
        let (due, later): (Vec<_>, Vec<_>) =
            stopped.into_iter().partition(|&(until, _)| until <= Instant::now());
        due.iter().for_each(|&(_, id)| go_on(id));
        stopped = later;
        failed += revive(&mut deployment)?;
        asked.push(send(&deployment, &mut random, asked.len()));
        tokio::time::sleep(REQUEST_EVERY).await;
    }
    stopped.iter().for_each(|&(_, id)| go_on(id));
    deployment.records.set_health(Health::Up);
    deployment.records.set_delay(Duration::ZERO);
    let mut seen = Vec::new();
    for request in asked {
        if let Ok(answered) = request.await {
            seen.push(answered);
        }
    }
    let mut found = check(&deployment, &seen);
    if failed > 0 {
        found.push(format!("no process fails: {failed} ended by themselves"));
    }
    found.extend(recover(&mut deployment).await?);
    Ok(found)
}

fn send(
    deployment: &Deployment,
    random: &mut StdRng,
    number: usize,
) -> tokio::task::JoinHandle<Seen> {
    let (method, path) = KINDS[random.random_range(0..KINDS.len())];
    let gateway = deployment.gateways[random.random_range(0..SHAPE.gateways)].callers;
    let request = ClientRequest::new(method, path, &format!("r-{number}"));
    tokio::spawn(async move {
        let reply = send_request(gateway, &request).await;
        Seen { ask: request, reply }
    })
}

fn disturb(
    deployment: &mut Deployment,
    random: &mut StdRng,
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
    let index = random.random_range(0..SHAPE.gateways + SHAPE.ranks as usize);
    let victim = processes(deployment).nth(index);
    match (random.random_range(0..9), victim) {
        (0, _) => deployment.records.set_health(health[random.random_range(0..health.len())]),
        (1, _) => deployment.records.set_delay(Duration::from_millis(random.random_range(0..300))),
        (2, _) => deployment.records.truncate(),
        (3 | 4, _) => {
            let backend = random.random_range(0..SHAPE.plain_backends);
            deployment.plain_backends[backend]
                .queue_faults([faults[random.random_range(0..faults.len())]]);
            let rank = random.random_range(0..SHAPE.ranks as usize);
            deployment.model_backends[rank]
                .queue_faults([Fault::TruncateAfter(random.random_range(0..6))]);
            if let Some(group) = &deployment.group {
                group.lose_order_responses(random.random_range(0..4));
            }
        }
        (5, Some(process)) => process.kill(),
        (6, Some(process)) => signal(process, Signal::SIGTERM)?,
        (7, Some(process)) => signal(process, Signal::SIGHUP)?,
        (_, Some(process)) => {
            signal(process, Signal::SIGSTOP)?;
            let until = Instant::now() + Duration::from_millis(random.random_range(50..2_000));
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

fn signal(process: &Process, signal: Signal) -> Result<(), BenchError> {
    match process.id().map(|id| kill(Pid::from_raw(id as i32), signal)) {
        Some(Err(error)) => Err(BenchError::Print(error.into())),
        _ => Ok(()),
    }
}

/// Lets a stopped process of the soak go on.
fn go_on(id: u32) {
    // One that was killed meanwhile is gone.
    let _ = kill(Pid::from_raw(id as i32), Signal::SIGCONT);
}

/// Starts processes that have ended again, as the platform does; returns how many had failed.
fn revive(deployment: &mut Deployment) -> Result<u32, BenchError> {
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

fn check(deployment: &Deployment, seen: &[Seen]) -> Vec<String> {
    let mut found = Vec::new();
    for Seen { ask, reply } in seen {
        let runs = runs_of(deployment, &ask.id);
        let is_once = ask.path == ONCE;
        let mut claim = |kept: bool, promise: &str| {
            if !kept {
                found.push(format!("{promise}: {} got {} after {runs} runs", ask.id, reply.code()));
            }
        };
        claim(!is_once || runs <= 1, "at most once");
        claim(!is_once || reply.code() != 503 || runs == 0, "refusal is true");
        let is_whole = reply.code() == 200 && reply.is_complete;
        let text = reply.text();
        match ask.path.as_str() {
            RESUMABLE => claim(!is_whole || text == events(SHAPE.events), "whole stream"),
            _ => claim(!is_whole || text.starts_with(&format!("{} by ", ask.id)), "own answer"),
        }
    }
    let broken = deployment.group.as_ref().map_or(0, |group| group.mixed_map_passes());
    if broken > 0 {
        found.push(format!("one map in every pass: {broken} passes began with different maps"));
    }
    found
}

fn events(count: u64) -> String {
    (1..=count).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

/// Waits until every gateway serves every kind of request again.
async fn recover(deployment: &mut Deployment) -> Result<Vec<String>, BenchError> {
    let end = Instant::now() + RECOVERY;
    let mut number = 0;
    loop {
        revive(deployment)?;
        let mut failing = Vec::new();
        for gateway in &deployment.gateways {
            for (method, path) in KINDS {
                number += 1;
                let request = ClientRequest::new(method, path, &format!("after-{number}"));
                let reply = send_request(gateway.callers, &request).await;
                if reply.code() != 200 || !reply.is_complete {
                    failing.push(format!("served again: {path} got {}", reply.code()));
                }
            }
        }
        if failing.is_empty() || Instant::now() > end {
            return Ok(failing);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
