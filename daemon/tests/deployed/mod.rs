//! Deployments of real processes for the tests.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use currantlink_standins::deployment::{Deployment, Shape};
use tempfile::TempDir;

/// Starts a deployment; its settings and logs live as long as the folder.
pub async fn start(shape: Shape) -> (Deployment, TempDir) {
    let directory = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_currantlinkd"));
    let deployment = Deployment::start(program, directory.path(), shape).await.unwrap();
    deployment.ready().await;
    (deployment, directory)
}
