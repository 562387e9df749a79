//! Starts deployments of real processes for tests.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use currantlink_standins::deployment::{Deployment, IDEMPOTENT, Shape, wait_until};
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
