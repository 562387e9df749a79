//! Starts deployments of real processes for tests.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use currantlink_standins::deployment::{Deployment, Shape};
use tempfile::TempDir;

/// Starts a deployment. Its settings and logs are deleted when the returned folder is dropped.
pub async fn start(shape: Shape) -> (Deployment, TempDir) {
    let directory = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_currantlinkd"));
    let deployment = Deployment::start(program, directory.path(), shape).await.unwrap();
    deployment.wait_until_ready().await;
    (deployment, directory)
}
