//! Backends that reject requests and want no others for some time.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::{Duration, Instant};

use currantlink_standins::backends::{Arrival, Backend};
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, RESUMABLE, Shape, wait_until,
};

const GATEWAYS: usize = 3;
const PAUSE_S: u64 = 2;
/// Time from a rejection by which its pause must be kept.
const KEPT_AFTER: Duration = Duration::from_millis(500);
/// Number of requests of one gateway that may arrive during a pause after that time.
const ALLOWED: usize = 2;
/// Pause between requests to the gateways in turn.
const INTERVAL: Duration = Duration::from_millis(10);
/// Reason of the rejection, in the response.
const PAUSED: &str = "paused";

async fn start(plain_backends: usize, ranks: u32) -> (Deployment, tempfile::TempDir) {
    let shape = Shape { gateways: GATEWAYS, plain_backends, ranks, ..Shape::default() };
    harness::start_serving(shape).await
}

/// Sends a request to a gateway. Its id begins with the number of the gateway.
async fn send(
    deployment: &Deployment,
    gateway: usize,
    path: &str,
    number: usize,
) -> ClientResponse {
    let request = ClientRequest::new("POST", path, &format!("{gateway}-{number}"));
    deployment::send_request(deployment.gateways[gateway].callers, &request).await
}

async fn send_for(deployment: &Deployment, path: &str, length: Duration) -> Vec<ClientResponse> {
    let (since, mut responses) = (Instant::now(), Vec::new());
    while since.elapsed() < length {
        let number = responses.len();
        responses.push(send(deployment, number % GATEWAYS, path, number).await);
        tokio::time::sleep(INTERVAL).await;
    }
    responses
}

/// Returns the largest number of requests that reached a backend from one gateway during a pause, which
/// each of `arrived` began.
fn most_during_pause(arrived: &[Arrival]) -> usize {
    let gateway = |arrival: &Arrival| arrival.attempt_id.split('-').next().unwrap().to_owned();
    let during = |first: &Arrival| {
        let pause = first.at + KEPT_AFTER..first.at + Duration::from_secs(PAUSE_S);
        let is_during =
            |other: &&Arrival| pause.contains(&other.at) && gateway(other) == gateway(first);
        arrived.iter().filter(is_during).count()
    };
    arrived.iter().map(during).max().unwrap_or_default()
}

fn check_pauses(arrived: &[Arrival]) {
    let most = most_during_pause(arrived);
    assert!(most <= ALLOWED, "{most} requests of one gateway during a pause");
}

fn retry_after_s(response: &ClientResponse) -> Option<f64> {
    response.header("retry-after").and_then(|text| text.parse().ok())
}

fn request_pause(backend: &Backend, pause_s: u64) -> Instant {
    backend.request_pause(Some(&pause_s.to_string()));
    Instant::now()
}

fn arrived_since(backend: &Backend, since: Instant) -> Vec<Arrival> {
    backend.arrived().into_iter().filter(|arrival| arrival.at >= since).collect()
}

#[tokio::test]
async fn pause_kept() {
    let (deployment, _directory) = start(2, 0).await;
    let paused = &deployment.plain_backends[0];
    let since = request_pause(paused, PAUSE_S);
    let responses = send_for(&deployment, IDEMPOTENT, Duration::from_secs(3 * PAUSE_S)).await;
    assert!(responses.iter().all(|response| response.code() == 200), "the other backend serves");
    let arrived = arrived_since(paused, since);
    assert!(arrived.len() >= GATEWAYS, "each gateway asks again after a pause");
    check_pauses(&arrived);
}

#[tokio::test]
async fn paused_streams() {
    let (deployment, _directory) = start(1, 3).await;
    let paused = &deployment.model_backends[0];
    let since = request_pause(paused, PAUSE_S);
    send_for(&deployment, RESUMABLE, Duration::from_secs(2 * PAUSE_S)).await;
    check_pauses(&arrived_since(paused, since));
}

#[tokio::test]
async fn all_paused() {
    let (deployment, _directory) = start(1, 0).await;
    let paused = &deployment.plain_backends[0];
    let since = request_pause(paused, PAUSE_S);
    let responses = send_for(&deployment, IDEMPOTENT, Duration::from_secs(2 * PAUSE_S)).await;
    assert!(responses.iter().all(|response| response.code() == 503));
    check_pauses(&arrived_since(paused, since));
    let told = responses.iter().filter(|response| response.text().contains(PAUSED));
    let told: Vec<f64> = told.filter_map(retry_after_s).collect();
    assert!(told.len() > responses.len() / 2, "rejected without a request to the backend");
    assert!(told.iter().all(|&seconds| seconds > 0.0), "with a time to return");
}

#[tokio::test]
async fn pause_ended() {
    let (deployment, _directory) = start(1, 0).await;
    let backend = &deployment.plain_backends[0];
    request_pause(backend, 1);
    send_for(&deployment, IDEMPOTENT, INTERVAL * 10).await;
    backend.request_pause(None);
    for gateway in 0..GATEWAYS {
        let served = || async { send(&deployment, gateway, IDEMPOTENT, 0).await.code() == 200 };
        wait_until(served).await;
    }
}
