//! Requests that reach a gateway after SIGTERM.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, KEY, ONCE, STREAM, Shape,
    encode_request, get, send_request, wait_until,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Target for pauses with which callers wait for the next event for 20 s.
const GAP_TARGET_MS: u64 = 2_500;
const MAX_LATE_CALLS: usize = 200;
const LATE_DEADLINES_MS: [u64; 5] = [100, 400, 900, 2_000, 20_000];
const CLOSING: &str = "closing caller connections";

/// Starts a deployment whose routes and connections allow more time than the grace period.
async fn start(grace_s: u64) -> (Deployment, TempDir) {
    let shape = Shape { ranks: 2, grace_s, ..Shape::default() };
    let (deployment, directory) = harness::start(shape).await;
    let mut config = deployment::config(2, &[KEY]);
    deployment::set_on_routes(&mut config, "timeout_ms", 20_000);
    deployment::set_on_routes(&mut config, "gap_target_ms", GAP_TARGET_MS);
    config["limits"]["header_timeout_ms"] = 20_000.into();
    deployment.put_config(&config.to_string());
    wait_until(|| async { log(&deployment).contains("version=2") }).await;
    let is_served = || async { deployment.send_request("POST", STREAM, "first").await.is_complete };
    wait_until(is_served).await;
    (deployment, directory)
}

fn log(deployment: &Deployment) -> String {
    std::fs::read_to_string(deployment.gateways[0].process.log_path()).unwrap()
}

fn queue_stream_fault(deployment: &Deployment, fault: Fault) {
    deployment.model_backends.iter().for_each(|backend| backend.queue_faults([fault]));
}

fn send(deployment: &Deployment, request: ClientRequest) -> JoinHandle<ClientResponse> {
    let address = deployment.gateways[0].callers;
    tokio::spawn(async move { send_request(address, &request).await })
}

fn send_stream(deployment: &Deployment, id: &str) -> JoinHandle<ClientResponse> {
    send(deployment, ClientRequest::new("POST", STREAM, id))
}

/// Sends SIGTERM and waits until the gateway reports not ready.
async fn stop(deployment: &Deployment) {
    let id = deployment.gateways[0].process.id().unwrap();
    kill(Pid::from_raw(id as i32), Signal::SIGTERM).unwrap();
    let readiness = deployment.gateways[0].readiness;
    wait_until(|| async move { get(readiness, "/api/readiness").await != Some(200) }).await;
}

/// Stops the gateway while a stream runs, and waits until the gateway closes its connections. The
/// stream ends with `release_streams`.
async fn stop_until_closing(deployment: &Deployment) -> JoinHandle<ClientResponse> {
    queue_stream_fault(deployment, Fault::Hold);
    let held = send_stream(deployment, "held");
    wait_until(|| async { has_run(deployment, "held") }).await;
    stop(deployment).await;
    wait_until(|| async { log(deployment).contains(CLOSING) }).await;
    held
}

/// Lets the held stream end and waits for the exit of the gateway.
async fn release(deployment: &mut Deployment, held: JoinHandle<ClientResponse>) {
    deployment.model_backends.iter().for_each(|backend| backend.release_streams());
    assert!(held.await.unwrap().is_complete);
    assert!(deployment.gateways[0].process.wait().unwrap());
}

fn has_run(deployment: &Deployment, id: &str) -> bool {
    let backends = deployment.model_backends.iter().chain(&deployment.plain_backends);
    backends.flat_map(|backend| backend.runs()).any(|run| run.attempt_id == id)
}

/// Guards against streams that are accepted late in the grace period and cut off by the exit.
#[tokio::test]
async fn late_streams() {
    let (mut deployment, _directory) = start(8).await;
    let held = stop_until_closing(&deployment).await;
    let late: Vec<_> = (0..6)
        .map(|index| {
            queue_stream_fault(&deployment, Fault::Hold);
            let id = format!("late-{index}");
            (id.clone(), send_stream(&deployment, &id))
        })
        .collect();
    for (id, response) in late {
        let response = response.await.unwrap();
        assert_eq!((response.code(), response.is_complete), (503, true), "{id}: {response:?}");
        assert_eq!(response.header("connection"), Some("close"), "{id}: {response:?}");
        assert!(response.header("retry-after").is_some(), "{id}: {response:?}");
        assert!(!has_run(&deployment, &id), "{id}");
    }
    release(&mut deployment, held).await;
}

/// Guards against a stop that does not end because callers keep connecting.
#[tokio::test]
async fn steady_callers() {
    let (mut deployment, _directory) = start(8).await;
    for _ in 0..200 {
        queue_stream_fault(&deployment, Fault::Stall(Duration::from_millis(300)));
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
        let is_cut_off = has_run(&deployment, &id) && !response.is_complete;
        assert!(!is_cut_off, "{id}: {response:?}");
    }
    let log = log(&deployment);
    let (draining, closing) = log.split_once(CLOSING).unwrap();
    assert!(closing.contains("msg=\"gateway stopped\" open=0"), "{closing}");
    for line in closing.lines().filter(|line| line.contains("request placed")) {
        let id = line.split("request=").nth(1).unwrap().split(' ').next().unwrap();
        assert!(draining.contains(&format!("request={id} ")), "accepted while closing: {line}");
    }
}

/// Guards against connections that are closed before their request is read.
#[tokio::test]
async fn slow_connections() {
    let (mut deployment, _directory) = start(8).await;
    let address = deployment.gateways[0].callers;
    let early = TcpStream::connect(address).await.unwrap();
    let held = stop_until_closing(&deployment).await;
    let late = TcpStream::connect(address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    for mut connection in [early, late] {
        let request = encode_request(&ClientRequest::new("POST", STREAM, "slow"));
        connection.write_all(&request).await.unwrap();
        let mut response = String::new();
        connection.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    release(&mut deployment, held).await;
}

/// Guards against the rejection of requests that certainly end before the exit.
#[tokio::test]
async fn short_deadline() {
    let (mut deployment, _directory) = start(8).await;
    let held = stop_until_closing(&deployment).await;
    let request = ClientRequest { deadline_ms: 500, ..ClientRequest::new("GET", IDEMPOTENT, "r") };
    let response = send(&deployment, request).await.unwrap();
    assert_eq!((response.code(), response.is_complete), (200, true), "{response:?}");
    release(&mut deployment, held).await;
}

/// Guards against requests that are sent to a backend late in the grace period and cut off by the exit.
#[tokio::test]
async fn late_calls() {
    let (mut deployment, _directory) = start(3).await;
    deployment.plain_backends[0].queue_faults([Fault::Hang; MAX_LATE_CALLS]);
    queue_stream_fault(&deployment, Fault::Hold);
    let held = send_stream(&deployment, "held");
    wait_until(|| async { has_run(&deployment, "held") }).await;
    stop(&deployment).await;
    let mut sent = Vec::new();
    while deployment.gateways[0].process.is_running().unwrap() {
        let (id, path) = (format!("r-{}", sent.len()), [ONCE, IDEMPOTENT][sent.len() % 2]);
        let deadline_ms = LATE_DEADLINES_MS[sent.len() % LATE_DEADLINES_MS.len()];
        let request = ClientRequest { deadline_ms, ..ClientRequest::new("POST", path, &id) };
        sent.push((id, send(&deployment, request)));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert!(sent.len() < MAX_LATE_CALLS);
    let mut have_run = 0;
    for (id, response) in sent {
        let response = response.await.unwrap();
        let is_answered = response.is_complete && response.code() >= 500;
        assert!(!has_run(&deployment, &id) || is_answered, "{id}: {response:?}");
        have_run += usize::from(has_run(&deployment, &id));
    }
    assert!(have_run > 0, "no request was sent to a backend while stopping");
    assert!(!held.await.unwrap().is_complete);
}

/// Guards against an exit that closes connections whose request has no response yet.
#[tokio::test]
async fn unanswered_request() {
    let (mut deployment, _directory) = start(3).await;
    deployment.plain_backends[0].queue_faults([Fault::Hang]);
    let request = send(&deployment, ClientRequest::new("POST", ONCE, "hangs"));
    wait_until(|| async { has_run(&deployment, "hangs") }).await;
    stop(&deployment).await;
    let response = request.await.unwrap();
    assert_eq!((response.code(), response.is_complete), (502, true), "{response:?}");
    assert!(deployment.gateways[0].process.wait().unwrap());
}
