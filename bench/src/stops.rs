//! Stops the gateways of a small deployment in overlapping series and checks what callers get.
//!
//! Only planned work disturbs the deployment: SIGTERM, SIGHUP and new configurations. Callers keep
//! using their connections until the process is gone. No request that a backend has run may end
//! without a complete response, except streams that arrived within 3 s of the SIGTERM and still ran
//! in the last sixth of the grace period. A request that was rejected as not run did not run.

use std::path::Path;
use std::time::{Duration, Instant};

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    ClientRequest, ClientResponse, Connection, Deployment, IDEMPOTENT, KEY, ONCE, STREAM, Shape,
    config, send_request, set_on_routes, wait_until,
};
use http::StatusCode;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::args::Soak;
use crate::error::BenchError;
use crate::platform::count_runs;
use crate::soak;

/// Target for pauses with which callers wait for the next event for 20 s.
const GAP_TARGET_MS: u64 = 2_500;
/// API key that only the configurations of the stops have.
const STOPS_KEY: &str = "key-stops";
const GATEWAYS: usize = 3;
const GRACE_S: u64 = 8;
const SHAPE: Shape = Shape {
    gateways: GATEWAYS,
    ranks: 2,
    plain_backends: 2,
    slots: None,
    events: 5,
    grace_s: GRACE_S,
    zones: &["a"],
};
const KINDS: [(&str, &str); 3] = [("POST", STREAM), ("POST", ONCE), ("GET", IDEMPOTENT)];
const CALLERS: u64 = 16;
/// Longest pause of a stream before its last event.
const MAX_STALL: Duration = Duration::from_millis(6_500);
/// Power of the uniform random number that sets a pause: most are short, few are long.
const STALL_POWER: i32 = 20;
/// Range of the time between two events of planned work.
const WORK_INTERVAL_MS: std::ops::Range<u64> = 100..2_500;
/// Age after SIGTERM from which an accepted request must complete.
const LATEST_CUT_ARRIVAL: Duration = Duration::from_secs(3);
/// Time after SIGTERM before which no request may be cut off.
const EARLIEST_CUT: Duration = Duration::from_millis(GRACE_S * 1_000 * 5 / 6);

/// A request to a gateway and what became of it.
struct Exchange {
    request: ClientRequest,
    response: ClientResponse,
    gateway: usize,
    sent_at: Instant,
    ended_at: Instant,
}

/// First SIGTERM of a gateway's process.
struct Stop {
    gateway: usize,
    process_id: Option<u32>,
    at: Instant,
}

/// Runs one series of stops per seed and prints the violations of each.
///
/// # Errors
///
/// Fails with the number of seeds that violated a guarantee, or if a deployment cannot be started.
pub fn run(options: &Soak) -> Result<(), BenchError> {
    let runtime = tokio::runtime::Runtime::new()?;
    soak::run_seeds(options.seed..options.seed + options.seeds, |directory, seed| {
        runtime.block_on(stop_in_turn(options, directory, seed))
    })
}

async fn stop_in_turn(
    options: &Soak,
    directory: &Path,
    seed: u64,
) -> Result<Vec<String>, BenchError> {
    let mut deployment = Deployment::start(&options.program, directory, SHAPE).await?;
    configure(&deployment, 2);
    deployment.wait_until_ready().await;
    wait_until_configured(&deployment).await;
    let mut rng = StdRng::seed_from_u64(seed);
    for backend in &deployment.model_backends {
        let stalls = (0..5_000).map(|_| MAX_STALL.mul_f64(rng.random::<f64>().powi(STALL_POWER)));
        backend.queue_faults(stalls.map(Fault::Stall));
    }
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let addresses: Vec<_> = deployment.gateways.iter().map(|gateway| gateway.callers).collect();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let rng = StdRng::seed_from_u64(seed ^ (caller + 1) << 32);
        callers.spawn(call_until(end, addresses.clone(), caller, rng));
    }
    let (mut stops, mut violations) = (Vec::new(), Vec::new());
    let mut version = 2;
    let mut next_work = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next_work {
            next_work += Duration::from_millis(rng.random_range(WORK_INTERVAL_MS));
            match rng.random_range(0..6) {
                0 => {
                    version += 1;
                    configure(&deployment, version);
                }
                kind => {
                    let gateway = rng.random_range(0..GATEWAYS);
                    let signal = if kind == 1 { Signal::SIGHUP } else { Signal::SIGTERM };
                    let process = &deployment.gateways[gateway].process;
                    soak::signal(process, signal)?;
                    let process_id = process.id();
                    let is_first = stops.iter().all(|stop: &Stop| stop.process_id != process_id);
                    if signal == Signal::SIGTERM && is_first {
                        stops.push(Stop { gateway, process_id, at: Instant::now() });
                    }
                }
            }
        }
        if soak::restart_ended(&mut deployment)? > 0 {
            violations.push("a gateway failed".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    while let Some(exchanges) = callers.join_next().await {
        let exchanges = exchanges.map_err(|_| BenchError::NotReady)?;
        violations.extend(exchanges.iter().filter_map(|e| violation(&deployment, &stops, e)));
    }
    Ok(violations)
}

/// Writes a configuration whose routes allow more time than the grace period.
fn configure(deployment: &Deployment, version: u64) {
    let mut config = config(version, &[KEY, STOPS_KEY]);
    set_on_routes(&mut config, "timeout_ms", 20_000);
    set_on_routes(&mut config, "gap_target_ms", GAP_TARGET_MS);
    deployment.put_config(&config.to_string());
}

/// Waits until all gateways use a configuration of [`configure`]. A stream that is admitted under the
/// initial one may be ended for a pause that the stops allow.
async fn wait_until_configured(deployment: &Deployment) {
    for gateway in &deployment.gateways {
        let key = Some(STOPS_KEY.to_owned());
        let probe = ClientRequest { key, ..ClientRequest::new("GET", IDEMPOTENT, "probe") };
        let is_configured = || async {
            let code = send_request(gateway.callers, &probe).await.code();
            code != 0 && code != StatusCode::UNAUTHORIZED.as_u16()
        };
        wait_until(is_configured).await;
    }
}

async fn call_until(
    end: Instant,
    gateways: Vec<std::net::SocketAddr>,
    caller: u64,
    mut rng: StdRng,
) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    let mut kept: Vec<Option<Connection>> = gateways.iter().map(|_| None).collect();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
        let gateway = rng.random_range(0..gateways.len());
        let reused = kept[gateway].take().filter(|c| c.is_open() && rng.random_bool(0.8));
        let connection = match reused {
            Some(connection) => Some(connection),
            // A gateway that is restarting refuses connections.
            None => Connection::open(gateways[gateway]).await.ok(),
        };
        let Some(mut connection) = connection else {
            continue;
        };
        let (method, path) = KINDS[rng.random_range(0..KINDS.len())];
        let request = ClientRequest::new(method, path, &format!("r-{caller}-{}", exchanges.len()));
        let sent_at = Instant::now();
        let response = connection.send(&request).await;
        let ended_at = Instant::now();
        exchanges.push(Exchange { request, response, gateway, sent_at, ended_at });
        kept[gateway] = Some(connection);
    }
    exchanges
}

fn violation(deployment: &Deployment, stops: &[Stop], exchange: &Exchange) -> Option<String> {
    let Exchange { request, response, sent_at, .. } = exchange;
    let runs = count_runs(deployment, &request.id);
    let is_rejected = matches!(response.code(), 429 | 503);
    let guarantee = match runs {
        0 => return None,
        2.. if request.path != IDEMPOTENT => "at most once",
        _ if is_rejected => "refusal is true",
        _ if !response.is_complete && !is_excused(stops, exchange) => "complete response",
        _ => return None,
    };
    let stopped =
        stops.iter().filter(|s| s.gateway == exchange.gateway && s.at < exchange.ended_at);
    let after_stop = stopped.last().map(|stop| sent_at.saturating_duration_since(stop.at));
    Some(format!(
        "{guarantee}: {} to gateway {} got {} after {runs} runs, sent {after_stop:?} after SIGTERM, ended after {:?}",
        request.id,
        exchange.gateway,
        response.code(),
        exchange.ended_at - *sent_at
    ))
}

/// Returns whether a stop of the gateway may have cut off the request.
fn is_excused(stops: &[Stop], exchange: &Exchange) -> bool {
    stops.iter().any(|stop| {
        stop.gateway == exchange.gateway
            && exchange.request.path == STREAM
            && exchange.sent_at < stop.at + LATEST_CUT_ARRIVAL
            && exchange.ended_at >= stop.at + EARLIEST_CUT
    })
}
