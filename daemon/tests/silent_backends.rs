//! Backends whose instance has stopped while requests are in flight.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::{Backend, Fault, Run};
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, RESUMABLE, Shape, wait_until,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::task::JoinHandle;

const REQUESTS: usize = 12;
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

async fn start() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { ranks: 3, ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    let are_reported = || async {
        deployment.send_request("POST", RESUMABLE, "first").await;
        (0..3).all(|rank| is_reported(&deployment, rank))
    };
    wait_until(are_reported).await;
    (deployment, directory)
}

fn log(deployment: &Deployment) -> String {
    std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap()
}

/// Returns whether a request was placed by a report of this rank's agent.
fn is_reported(deployment: &Deployment, rank: usize) -> bool {
    let backend = format!("backend=model-{rank} ");
    let is_reported = |line: &str| line.contains(&backend) && !line.contains("report_age_ms=None");
    log(deployment).lines().any(|line| line.contains("request placed") && is_reported(line))
}

fn stop_agent(deployment: &Deployment, rank: usize) {
    let id = deployment.agents[rank].id().unwrap();
    kill(Pid::from_raw(id as i32), Signal::SIGSTOP).unwrap();
}

fn is_silent(deployment: &Deployment) -> bool {
    log(deployment).contains("backend is silent")
}

fn send_requests(deployment: &Deployment) -> Vec<JoinHandle<ClientResponse>> {
    let address = deployment.gateways[0].callers;
    let send = |index: usize| {
        let id = format!("r-{index}");
        tokio::spawn(async move {
            deployment::send_request(address, &ClientRequest::new("POST", RESUMABLE, &id)).await
        })
    };
    (0..REQUESTS).map(send).collect()
}

async fn check_served(requests: Vec<JoinHandle<ClientResponse>>) {
    for request in requests {
        let response = request.await.unwrap();
        assert_eq!((response.code(), response.is_complete), (200, true), "{}", response.text());
    }
}

#[tokio::test]
async fn stranded_requests() {
    let (deployment, _directory) = start().await;
    deployment.model_backends[0].queue_faults(vec![Fault::Hang; REQUESTS]);
    let requests = send_requests(&deployment);
    let is_stranded = |run: &Run| run.attempt_id.starts_with("r-");
    wait_until(|| async { deployment.model_backends[0].runs().iter().any(is_stranded) }).await;
    stop_agent(&deployment, 0);
    let others = &deployment.model_backends[1..];
    check_served(requests).await;
    let stranded = deployment.model_backends[0].runs();
    let stranded = stranded.iter().filter(|run| is_stranded(run)).map(|run| &run.attempt_id);
    for id in stranded {
        let again = others.iter().flat_map(Backend::runs).find(|run| run.attempt_id == *id);
        assert_eq!(again.unwrap().urgency, Some(0), "{id} is served first");
    }
}

#[tokio::test]
async fn stalled_group() {
    let (deployment, _directory) = start().await;
    let group = deployment.group.as_ref().unwrap();
    group.set_stalled(true);
    let requests = send_requests(&deployment);
    let is_stalled = || async {
        let probe = deployment.send_request("POST", RESUMABLE, "probe");
        // A request that was placed before the stall was reported has no response yet.
        drop(tokio::time::timeout(PROBE_INTERVAL, probe).await);
        log(&deployment).contains("all backend groups are forming or stalled")
    };
    wait_until(is_stalled).await;
    stop_agent(&deployment, 0);
    let is_abandoned =
        || async { log(&deployment).contains("attempt abandoned at a silent backend") };
    wait_until(is_abandoned).await;
    group.set_stalled(false);
    check_served(requests).await;
}

#[tokio::test]
async fn stranded_streams() {
    let (deployment, _directory) = start().await;
    deployment.model_backends.iter().for_each(|backend| backend.queue_faults([Fault::Hold]));
    let address = deployment.gateways[0].callers;
    let request = tokio::spawn(async move {
        deployment::send_request(address, &ClientRequest::new("POST", RESUMABLE, "r-1")).await
    });
    let has_run = |backend: &Backend| backend.runs().iter().any(|run| run.attempt_id == "r-1");
    wait_until(|| async { deployment.model_backends.iter().any(has_run) }).await;
    let holder = deployment.model_backends.iter().position(has_run).unwrap();
    for (index, backend) in deployment.model_backends.iter().enumerate() {
        if index != holder {
            backend.release_streams();
        }
    }
    stop_agent(&deployment, holder);
    let response = request.await.unwrap();
    assert!(response.is_complete, "{} {}", response.code(), response.text());
    let events: String = (1..=5).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    assert_eq!(response.text(), events);
}

#[tokio::test]
async fn chosen_while_silent() {
    let (deployment, _directory) = start().await;
    stop_agent(&deployment, 0);
    wait_until(|| async { is_silent(&deployment) }).await;
    let before = deployment.model_backends[0].arrivals();
    for index in 0..REQUESTS {
        let id = format!("r-{index}");
        assert_eq!(deployment.send_request("POST", RESUMABLE, &id).await.code(), 200);
    }
    assert_eq!(deployment.model_backends[0].arrivals(), before);
}
