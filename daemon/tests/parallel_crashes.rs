//! Requests that crash backends and arrive side by side at several gateways.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::{Duration, Instant};

use currantlink_standins::backends::{Backend, CrashTrigger};
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, Shape, wait_until,
};
use futures::future::join_all;

const GATEWAYS: usize = 3;
const BACKENDS: usize = 3;
/// Number of backends in the test whose trials could crash more of them than allowed.
const MORE_BACKENDS: usize = 6;
const BODY: &[u8] = b"the body that crashes backends";
/// Number of crashing requests, and of sound ones, that are sent at a time.
const PARALLEL: usize = 12;
const ROUNDS: usize = 10;
/// Pause between rounds, in which crashed backends return.
const PAUSE: Duration = Duration::from_millis(700);
/// Number of crashes after which no more requests than `LATE` may reach a backend.
const CRASHES: usize = 3;
const LATE: usize = 3;
/// Time for which a backend whose connections have ended still accepts others.
const EXIT_TIME: Duration = Duration::from_millis(20);
/// Time by which all gateways must know of the crashes.
const KNOWN_AFTER: Duration = Duration::from_millis(600);

async fn send(deployment: &Deployment, gateway: usize, id: String, body: &[u8]) -> ClientResponse {
    let body = body.to_vec().into();
    let request = ClientRequest { body, ..ClientRequest::new("POST", IDEMPOTENT, &id) };
    deployment::send_request(deployment.gateways[gateway].callers, &request).await
}

fn reached(deployment: &Deployment) -> usize {
    let runs = deployment.plain_backends.iter().flat_map(Backend::runs);
    runs.filter(|run| run.body == BODY).count()
}

/// Sends crashing requests to all gateways at the same time, and sound ones beside them.
async fn send_round(deployment: &Deployment, round: usize) {
    let crashing = (0..PARALLEL)
        .map(|index| send(deployment, index % GATEWAYS, format!("bad-{round}-{index}"), BODY));
    let sound = (0..PARALLEL).map(async |index| {
        let id = format!("sound-{round}-{index}");
        send(deployment, index % GATEWAYS, id.clone(), id.as_bytes()).await
    });
    tokio::join!(join_all(crashing), join_all(sound));
}

/// Checks that the requests are refused soon after the first crashes, for backends whose addresses
/// refuse connections `exit_time` after a crash.
async fn check_crowd(backends: usize, exit_time: Duration) {
    let shape = Shape { gateways: GATEWAYS, plain_backends: backends, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    for backend in &deployment.plain_backends {
        backend.crash_on(CrashTrigger::Body(BODY));
        backend.set_exit_time(exit_time);
    }
    let (mut known_at, mut known) = (None, 0);
    for round in 0..ROUNDS {
        send_round(&deployment, round).await;
        if known_at.is_none() && harness::crashes(&deployment.plain_backends) >= CRASHES {
            tokio::time::sleep(KNOWN_AFTER).await;
            (known_at, known) = (Some(Instant::now()), reached(&deployment));
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert!(known_at.is_some(), "the requests crash backends");
    let late = reached(&deployment) - known;
    assert!(late <= LATE, "{late} requests reached backends after {CRASHES} had crashed");
    for gateway in 0..GATEWAYS {
        let id = || format!("after-{gateway}");
        let served =
            || async { send(&deployment, gateway, id(), id().as_bytes()).await.code() == 200 };
        wait_until(served).await;
    }
}

#[tokio::test]
async fn crowd_of_crashing_requests() {
    check_crowd(BACKENDS, Duration::ZERO).await;
}

#[tokio::test]
async fn slow_exits() {
    check_crowd(MORE_BACKENDS, EXIT_TIME).await;
}
