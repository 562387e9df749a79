//! Routes of one service that differ in priority, while all backends are busy.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::{Backend, Fault, Run};
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, RESUMABLE, STREAM, Shape, wait_until,
};
use tokio::task::JoinHandle;

const RANKS: usize = 3;
const SLOTS: usize = 4;
const MAX_BUSY_REQUESTS: usize = 3 * RANKS * SLOTS;
const LESS_URGENT: usize = 40;
const SEND_INTERVAL: Duration = Duration::from_millis(50);
const CONFIG_VERSION: u64 = 2;
/// More than the time between the reports of an agent whose backend's load changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

fn send(deployment: &Deployment, path: &str, id: String) -> JoinHandle<ClientResponse> {
    let (address, path) = (deployment.gateways[0].callers, path.to_owned());
    tokio::spawn(async move {
        deployment::send_request(address, &ClientRequest::new("POST", &path, &id)).await
    })
}

/// Starts a deployment in which streams are more urgent than resumable ones.
async fn start() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { ranks: RANKS as u32, slots: Some(SLOTS), ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    let mut config = deployment::config(CONFIG_VERSION, &[deployment::KEY]);
    deployment::set_on_routes(&mut config, "gap_target_ms", 500);
    config["routes"][0]["priority"] = 7.into();
    deployment.put_config(&config.to_string());
    let applied = format!("\"configuration applied\" version={CONFIG_VERSION}");
    wait_until(|| async { log(&deployment).contains(&applied) }).await;
    harness::wait_until_streaming(&deployment).await;
    (deployment, directory)
}

fn log(deployment: &Deployment) -> String {
    std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap()
}

fn run(deployment: &Deployment, id: &str) -> Option<Run> {
    let mut runs = deployment.model_backends.iter().flat_map(Backend::runs);
    runs.find(|run| run.attempt_id == id)
}

async fn occupy(deployment: &Deployment) {
    let hold = |backend: &Backend| backend.queue_faults([Fault::Hold; SLOTS]);
    deployment.model_backends.iter().for_each(hold);
    let running = || {
        let runs = deployment.model_backends.iter().flat_map(Backend::runs);
        runs.filter(|run| run.attempt_id.starts_with("busy-")).count()
    };
    let mut sent = 0;
    while running() < RANKS * SLOTS {
        assert!(sent < MAX_BUSY_REQUESTS, "{} of {sent} requests run", running());
        drop(send(deployment, RESUMABLE, format!("busy-{sent}")));
        sent += 1;
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

// The class that is sent to backends is the rank of the route's priority.
#[tokio::test]
async fn class_at_backend() {
    let (deployment, _directory) = start().await;
    for (path, id, urgency) in [(STREAM, "urgent", 0), (RESUMABLE, "less", 2)] {
        assert_eq!(send(&deployment, path, id.to_owned()).await.unwrap().code(), 200);
        assert_eq!(run(&deployment, id).unwrap().urgency, Some(urgency), "{id}");
    }
}

// Less urgent requests found no room and were not told when to return, and later ones were sent while
// urgent ones were rejected.
#[tokio::test]
async fn held_back() {
    let (deployment, _directory) = start().await;
    occupy(&deployment).await;
    let mut responses = Vec::new();
    for index in 0..LESS_URGENT {
        responses.push(send(&deployment, RESUMABLE, format!("less-{index}")));
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    for response in responses {
        let response = response.await.unwrap();
        // A few wait at backends and have no event.
        if response.code() == 504 {
            continue;
        }
        assert_eq!(response.code(), 503);
        let after_s: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(after_s > 0.3, "{after_s}");
    }
    assert!(log(&deployment).contains("request held back for more urgent ones"));
    let address = deployment.gateways[0].metrics;
    assert_eq!(deployment::get(address, "/metrics").await, Some(200));
}
