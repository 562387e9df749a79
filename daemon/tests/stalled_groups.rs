//! Groups that make no pass for longer than callers wait for an event.

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

const RANKS: usize = 3;
const REQUESTS: usize = 12;
/// Time that callers wait for an event.
const PATIENCE: Duration = Duration::from_secs(2);

/// Sends requests whose callers leave when they have waited for an event for too long. Returns `None` for
/// those that left.
fn send_requests(deployment: &Deployment) -> Vec<JoinHandle<Option<ClientResponse>>> {
    let address = deployment.gateways[0].callers;
    let send = |index: usize| {
        let id = format!("r-{index}");
        tokio::spawn(async move {
            let request = ClientRequest::new("POST", RESUMABLE, &id);
            let sending = deployment::send_request(address, &request);
            tokio::time::timeout(PATIENCE, sending).await.ok()
        })
    };
    (0..REQUESTS).map(send).collect()
}

async fn start(fault: Fault) -> (Deployment, tempfile::TempDir) {
    let shape = Shape { ranks: RANKS as u32, ..Shape::default() };
    let (deployment, directory) = harness::start_streaming(shape).await;
    let queue = |backend: &Backend| backend.queue_faults(vec![fault; REQUESTS]);
    deployment.model_backends.iter().for_each(queue);
    (deployment, directory)
}

fn is_counted(run: &Run) -> bool {
    run.attempt_id.starts_with("r-")
}

/// Stops the group and the agent of the first rank once its backend has a request.
async fn stop_rank(deployment: &Deployment) {
    let holds_request = || async { deployment.model_backends[0].runs().iter().any(is_counted) };
    wait_until(holds_request).await;
    deployment.group.as_ref().unwrap().set_stalled(true);
    let id = deployment.agents[0].id().unwrap();
    kill(Pid::from_raw(id as i32), Signal::SIGSTOP).unwrap();
}

/// Returns the responses, of which none promises that a request that has run has not.
async fn responses(
    deployment: &Deployment,
    requests: Vec<JoinHandle<Option<ClientResponse>>>,
) -> Vec<Option<ClientResponse>> {
    let mut responses = Vec::new();
    for request in requests {
        responses.push(request.await.unwrap());
    }
    let runs: Vec<Run> = deployment.model_backends.iter().flat_map(Backend::runs).collect();
    for (index, response) in responses.iter().enumerate() {
        let has_run = runs.iter().any(|run| run.attempt_id == format!("r-{index}"));
        let code = response.as_ref().map(ClientResponse::code);
        assert!(!has_run || code != Some(503), "r-{index} has run");
    }
    responses
}

/// Returns the responses to requests whose backends have a fault and whose group stops.
async fn responses_in_stall(fault: Fault) -> Vec<Option<ClientResponse>> {
    let (deployment, _directory) = start(fault).await;
    let requests = send_requests(&deployment);
    stop_rank(&deployment).await;
    responses(&deployment, requests).await
}

#[tokio::test]
async fn left_in_stall() {
    let responses = responses_in_stall(Fault::Hang).await;
    let left = responses.iter().filter(|response| response.is_none()).count();
    assert_eq!(left, 0, "of {REQUESTS} callers left without an answer");
}

#[tokio::test]
async fn left_mid_stream() {
    let responses = responses_in_stall(Fault::Hold).await;
    let left = responses.iter().filter(|response| response.is_none()).count();
    assert_eq!(left, 0, "of {REQUESTS} callers left without the end of their stream");
    let complete = responses.iter().flatten().filter(|response| response.is_complete).count();
    assert_eq!(complete, 0, "streams end as complete before their last event");
}
