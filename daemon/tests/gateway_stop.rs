//! Requests that reach a gateway after SIGTERM.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    ClientRequest, ClientResponse, Deployment, STREAM, Shape, get, send_request, wait_until,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;
use tokio::task::JoinHandle;

const SHAPE: Shape = Shape { gateways: 1, ranks: 2, plain_backends: 1, events: 5, grace_s: 5 };

async fn start() -> (Deployment, TempDir) {
    let (deployment, directory) = harness::start(SHAPE).await;
    let is_served = || async { deployment.send_request("POST", STREAM, "first").await.is_complete };
    wait_until(is_served).await;
    (deployment, directory)
}

fn stall_streams(deployment: &Deployment, pause: Duration) {
    deployment.model_backends.iter().for_each(|backend| {
        backend.queue_faults([Fault::Stall(pause)]);
    });
}

fn send_stream(deployment: &Deployment, id: &str) -> JoinHandle<ClientResponse> {
    let address = deployment.gateways[0].callers;
    let request = ClientRequest::new("POST", STREAM, id);
    tokio::spawn(async move { send_request(address, &request).await })
}

fn signal(deployment: &Deployment, signal: Signal) {
    let id = deployment.gateways[0].process.id().unwrap();
    kill(Pid::from_raw(id as i32), signal).unwrap();
}

async fn stop(deployment: &Deployment) {
    signal(deployment, Signal::SIGTERM);
    let readiness = deployment.gateways[0].readiness;
    wait_until(|| async move { get(readiness, "/api/readiness").await != Some(200) }).await;
}

fn has_run(deployment: &Deployment, id: &str) -> bool {
    let runs = deployment.model_backends.iter().flat_map(|backend| backend.runs());
    runs.into_iter().any(|run| run.attempt_id == id)
}

fn is_cut_off(deployment: &Deployment, id: &str, response: &ClientResponse) -> bool {
    has_run(deployment, id) && !response.is_complete
}

/// Guards against streams that are accepted late in the grace period and cut off by the exit.
#[tokio::test]
async fn late_streams() {
    let (mut deployment, _directory) = start().await;
    stall_streams(&deployment, Duration::from_millis(3_800));
    let early = send_stream(&deployment, "early");
    wait_until(|| async { has_run(&deployment, "early") }).await;
    stop(&deployment).await;
    tokio::time::sleep(Duration::from_millis(3_200)).await;
    // While the process is paused, the requests arrive together with their connections.
    signal(&deployment, Signal::SIGSTOP);
    let late: Vec<_> = (0..6)
        .map(|index| {
            stall_streams(&deployment, Duration::from_millis(3_000));
            let id = format!("late-{index}");
            (id.clone(), send_stream(&deployment, &id))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    signal(&deployment, Signal::SIGCONT);
    for (id, response) in late {
        let response = response.await.unwrap();
        assert!(!is_cut_off(&deployment, &id, &response), "{id}: {response:?}");
    }
    assert!(early.await.unwrap().is_complete);
    assert!(deployment.gateways[0].process.wait().unwrap());
}

/// Guards against a stop that does not end because callers keep connecting.
#[tokio::test]
async fn steady_callers() {
    let (mut deployment, _directory) = start().await;
    for _ in 0..100 {
        stall_streams(&deployment, Duration::from_millis(300));
    }
    let mut sent = vec![("before".to_owned(), send_stream(&deployment, "before"))];
    stop(&deployment).await;
    while deployment.gateways[0].process.is_running().unwrap() {
        let id = format!("r-{}", sent.len());
        sent.push((id.clone(), send_stream(&deployment, &id)));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for (id, response) in sent {
        let response = response.await.unwrap();
        assert!(!is_cut_off(&deployment, &id, &response), "{id}: {response:?}");
    }
    let log = std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap();
    let (_, closing) = log.split_once("closing caller connections").unwrap();
    assert!(!closing.contains("request placed"), "{closing}");
}
