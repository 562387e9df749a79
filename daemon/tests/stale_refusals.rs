//! Backends that write an earlier refusal once more on a kept connection.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::{Backend, Fault};
use currantlink_standins::deployment::{Deployment, IDEMPOTENT, ONCE, Shape, wait_until};

const REQUESTS: usize = 10;

/// Starts a deployment whose gateway keeps a connection to each backend.
async fn start() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { plain_backends: 2, ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    let are_connected = || async {
        deployment.send_request("POST", IDEMPOTENT, "connects").await;
        deployment.plain_backends.iter().all(|backend| !backend.runs().is_empty())
    };
    wait_until(are_connected).await;
    (deployment, directory)
}

/// Sends a request that is answered, so that its connection is kept, then one whose backend writes the
/// refusal of another request before it answers. Returns the status of the second one.
async fn send_after_refusal(deployment: &Deployment, path: &str, id: &str) -> u16 {
    deployment.plain_backends.iter().for_each(Backend::clear_faults);
    for index in 0..4 {
        deployment.send_request("POST", path, &format!("{id}-before-{index}")).await;
    }
    deployment.plain_backends.iter().for_each(|b| b.queue_faults([Fault::StaleRefusal]));
    deployment.send_request("POST", path, id).await.code()
}

fn runs(deployment: &Deployment, id: &str) -> usize {
    let runs = deployment.plain_backends.iter().flat_map(Backend::runs);
    runs.filter(|run| run.attempt_id == id).count()
}

#[tokio::test]
async fn refused_but_run() {
    let (deployment, _directory) = start().await;
    for index in 0..REQUESTS {
        let id = format!("r-{index}");
        let code = send_after_refusal(&deployment, ONCE, &id).await;
        let runs = runs(&deployment, &id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(code != 503 || runs == 0, "{id} was refused and has run");
    }
}

#[tokio::test]
async fn repeatable_request() {
    let (deployment, _directory) = start().await;
    for index in 0..REQUESTS {
        let id = format!("r-{index}");
        let code = send_after_refusal(&deployment, IDEMPOTENT, &id).await;
        assert_ne!(code, 503, "{id} has run");
    }
}

#[tokio::test]
async fn own_refusal() {
    let (deployment, _directory) = start().await;
    for backend in &deployment.plain_backends {
        backend.queue_faults(vec![Fault::Refuse; REQUESTS]);
    }
    assert_eq!(deployment.send_request("POST", ONCE, "r-1").await.code(), 503);
    assert_eq!(runs(&deployment, "r-1"), 0);
}
