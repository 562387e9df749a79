//! Starts deployments of real processes for tests.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use currantlink_standins::backends::Backend;
use currantlink_standins::deployment::{
    self, ClientRequest, Deployment, IDEMPOTENT, RESUMABLE, Shape, wait_until,
};
use tempfile::TempDir;

/// Starts a deployment. Its settings and logs are deleted when the returned folder is dropped.
pub async fn start(shape: Shape) -> (Deployment, TempDir) {
    let directory = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_currantlinkd"));
    let deployment = Deployment::start(program, directory.path(), shape).await.unwrap();
    deployment.wait_until_ready().await;
    (deployment, directory)
}

/// Starts a deployment and waits until a request is served.
#[allow(dead_code, reason = "not all tests send requests")]
pub async fn start_serving(shape: Shape) -> (Deployment, TempDir) {
    let (deployment, directory) = start(shape).await;
    let serves =
        || async { deployment.send_request("GET", IDEMPOTENT, "first").await.code() == 200 };
    wait_until(serves).await;
    (deployment, directory)
}

/// Starts a deployment and waits until a plain request and a resumable stream are served.
#[allow(dead_code, reason = "not all tests send streams")]
pub async fn start_streaming(shape: Shape) -> (Deployment, TempDir) {
    let (deployment, directory) = start_serving(shape).await;
    wait_until_streaming(&deployment).await;
    (deployment, directory)
}

/// Waits until a resumable stream is served.
#[allow(dead_code, reason = "not all tests send streams")]
pub async fn wait_until_streaming(deployment: &Deployment) {
    let serves =
        || async { deployment.send_request("POST", RESUMABLE, "first").await.code() == 200 };
    wait_until(serves).await;
}

/// Sends a request with an API key to a gateway and returns the status.
#[allow(dead_code, reason = "not all tests choose the gateway or the key")]
pub async fn status_code(deployment: &Deployment, gateway: usize, key: &str) -> u16 {
    let key = Some(key.to_owned());
    let request = ClientRequest { key, ..ClientRequest::new("GET", IDEMPOTENT, "probe") };
    deployment::send_request(deployment.gateways[gateway].callers, &request).await.code()
}

/// Starts and registers one more backend of the plain service. Returns it with its address.
#[allow(dead_code, reason = "not all tests add a backend")]
pub async fn add_spare(deployment: &Deployment) -> (Backend, SocketAddr) {
    let spare = Backend::plain("spare");
    let address = spare.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
    deployment.register("spare", "plain", address, "ready");
    (spare, address)
}

/// Time after the last of the crashes that all gateways may need, by which they must know the cause.
#[allow(dead_code, reason = "not all tests crash backends")]
pub const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Returns how many times the backends have crashed.
#[allow(dead_code, reason = "not all tests crash backends")]
pub fn crashes(backends: &[Backend]) -> usize {
    backends.iter().map(|backend| backend.crashes() as usize).sum()
}

/// Sends `count` requests that crash backends, with a pause after each. Returns how many times they
/// reached a backend, by `reached`, although the backends had crashed `needed` times and all gateways had
/// had time to learn of it.
#[allow(dead_code, reason = "not all tests crash backends")]
pub async fn count_late(
    backends: &[Backend],
    needed: usize,
    count: usize,
    pause: Duration,
    reached: impl Fn() -> usize,
    send: impl AsyncFn(usize),
) -> usize {
    let (mut known_at, mut late) = (None, 0);
    for index in 0..count {
        let is_late = known_at.is_some_and(|at| Instant::now() >= at);
        let before = reached();
        send(index).await;
        late += if is_late { reached() - before } else { 0 };
        if known_at.is_none() && crashes(backends) >= needed {
            known_at = Some(Instant::now() + KNOWN_AFTER);
        }
        tokio::time::sleep(pause).await;
    }
    late
}
