//! Backends that say in their responses that they leave, while the list does not.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::Backend;
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, RESUMABLE, Shape, wait_until,
};

const GATEWAYS: usize = 3;
/// Time by which no gateway that was told sends to a leaving backend.
const DRAINED_AFTER: Duration = Duration::from_secs(2);

async fn start(plain_backends: usize, ranks: u32) -> (Deployment, tempfile::TempDir) {
    let shape = Shape { gateways: GATEWAYS, plain_backends, ranks, ..Shape::default() };
    harness::start_serving(shape).await
}

async fn send(deployment: &Deployment, gateway: usize, path: &str) -> ClientResponse {
    let request = ClientRequest::new("POST", path, "r-1");
    deployment::send_request(deployment.gateways[gateway].callers, &request).await
}

/// Sends requests to a gateway until one has reached the backend.
async fn reach(deployment: &Deployment, gateway: usize, path: &str, backend: &Backend) {
    let before = backend.arrivals();
    let reached = || async {
        send(deployment, gateway, path).await;
        backend.arrivals() > before
    };
    wait_until(reached).await;
}

async fn arrivals_of(
    deployment: &Deployment,
    gateway: usize,
    path: &str,
    backend: &Backend,
) -> u64 {
    let before = backend.arrivals();
    for _ in 0..40 {
        assert_eq!(send(deployment, gateway, path).await.code(), 200);
    }
    backend.arrivals() - before
}

#[tokio::test]
async fn told_in_responses() {
    for path in [IDEMPOTENT, RESUMABLE] {
        let (deployment, _directory) = start(2, 3).await;
        let leaving = match path {
            IDEMPOTENT => &deployment.plain_backends[0],
            _ => &deployment.model_backends[0],
        };
        leaving.announce_leaving();
        reach(&deployment, 0, path, leaving).await;
        assert_eq!(arrivals_of(&deployment, 0, path, leaving).await, 0, "{path}");
    }
}

#[tokio::test]
async fn told_by_peers() {
    let (deployment, _directory) = start(2, 0).await;
    let leaving = &deployment.plain_backends[0];
    leaving.announce_leaving();
    reach(&deployment, 0, IDEMPOTENT, leaving).await;
    tokio::time::sleep(DRAINED_AFTER).await;
    for gateway in 0..GATEWAYS {
        let arrivals = arrivals_of(&deployment, gateway, IDEMPOTENT, leaving).await;
        assert_eq!(arrivals, 0, "gateway {gateway}");
    }
}

#[tokio::test]
async fn listed_again() {
    let (deployment, _directory) = start(2, 0).await;
    let (leaving, address) = harness::add_spare(&deployment).await;
    leaving.announce_leaving();
    reach(&deployment, 0, IDEMPOTENT, &leaving).await;
    for _ in 0..3 {
        deployment.unregister("spare");
        tokio::time::sleep(DRAINED_AFTER).await;
        deployment.register("spare", "plain", address, "ready");
        tokio::time::sleep(DRAINED_AFTER).await;
        assert_eq!(arrivals_of(&deployment, 0, IDEMPOTENT, &leaving).await, 0);
    }
}

#[tokio::test]
async fn returned_backend() {
    let (deployment, _directory) = start(2, 0).await;
    let leaving = &deployment.plain_backends[0];
    leaving.announce_leaving();
    reach(&deployment, 0, IDEMPOTENT, leaving).await;
    leaving.crash();
    for gateway in 0..GATEWAYS {
        reach(&deployment, gateway, IDEMPOTENT, leaving).await;
    }
}
