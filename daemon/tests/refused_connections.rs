//! Backends whose process has ended and that are still listed.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::deployment::{IDEMPOTENT, Shape};

const REQUESTS: usize = 40;
/// Number of connection attempts that find out that the process has ended.
const MAX_REFUSED: usize = 2;

#[tokio::test]
async fn ended_backend() {
    let shape = Shape { plain_backends: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    deployment.plain_backends[0].crash();
    for index in 0..REQUESTS {
        let id = format!("r-{index}");
        assert_eq!(deployment.send_request("GET", IDEMPOTENT, &id).await.code(), 200);
        if deployment.plain_backends[0].id() != "plain-0" {
            break;
        }
    }
    let log = std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap();
    let refused = log.lines().filter(|line| line.contains("Connection refused")).count();
    assert!(refused <= MAX_REFUSED, "{refused} connections to a backend that has ended");
}
