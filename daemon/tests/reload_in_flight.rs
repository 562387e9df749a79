//! Requests in flight at a gateway while its settings, the configuration or the backends change.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::deployment::{
    self, ClientRequest, ClientResponse, Deployment, IDEMPOTENT, STREAM, Shape, config, wait_until,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::task::JoinHandle;

/// Events of a stream, which takes about 1.5 s.
const EVENTS: u64 = 100;
/// Events of a stream that outlasts an eviction, which takes about 2.5 s.
const LONG_EVENTS: u64 = 160;
/// Longer than the interval between evictions of removed backends.
const EVICTION: Duration = Duration::from_millis(1_200);

/// Starts a stream and waits until its backend runs it.
async fn start_stream(deployment: &Deployment) -> JoinHandle<ClientResponse> {
    let address = deployment.gateways[0].callers;
    let request = ClientRequest::new("POST", STREAM, "stream");
    let stream = tokio::spawn(async move { deployment::send_request(address, &request).await });
    wait_until(|| async {
        deployment.model_backends.iter().any(|backend| !backend.runs().is_empty())
    })
    .await;
    stream
}

async fn assert_whole(stream: JoinHandle<ClientResponse>, events: u64) {
    let reply = stream.await.unwrap();
    assert_eq!((reply.code(), reply.is_complete), (200, true), "{}", reply.text());
    assert!(reply.text().contains(&format!("id: {events}\n")));
}

fn signal(deployment: &Deployment, signal: Signal) {
    let id = deployment.gateways[0].process.id().unwrap();
    kill(Pid::from_raw(id as i32), signal).unwrap();
}

async fn wait_for_log(deployment: &Deployment, text: &str) {
    let log = deployment.gateways[0].process.log_path();
    wait_until(|| async { std::fs::read_to_string(&log).unwrap().contains(text) }).await;
}

async fn reload(deployment: &Deployment, settings: &str, logged: &str) {
    std::fs::write(&deployment.gateways[0].process.settings, settings).unwrap();
    signal(deployment, Signal::SIGHUP);
    wait_for_log(deployment, logged).await;
}

fn with_grace(deployment: &Deployment, grace_s: f64) -> String {
    let text = std::fs::read_to_string(&deployment.gateways[0].process.settings).unwrap();
    let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
    settings["grace_s"] = grace_s.into();
    settings.to_string()
}

fn model() -> Shape {
    Shape { ranks: 2, events: EVENTS, ..Shape::default() }
}

#[tokio::test]
async fn reload_under_stream() {
    let (deployment, _directory) = harness::start_serving(model()).await;
    let stream = start_stream(&deployment).await;
    let shorter = with_grace(&deployment, 0.5);
    reload(&deployment, "{", "settings rejected").await;
    reload(&deployment, &shorter, "settings reloaded").await;
    assert_whole(stream, EVENTS).await;
}

#[tokio::test]
async fn reload_during_stop() {
    let (mut deployment, _directory) = harness::start_serving(model()).await;
    let stream = start_stream(&deployment).await;
    let shorter = with_grace(&deployment, 0.5);
    signal(&deployment, Signal::SIGTERM);
    wait_for_log(&deployment, "gateway stopping").await;
    reload(&deployment, "{", "settings rejected").await;
    reload(&deployment, &shorter, "settings reloaded").await;
    signal(&deployment, Signal::SIGTERM);
    assert_whole(stream, EVENTS).await;
    assert!(deployment.gateways[0].process.wait().unwrap());
}

#[tokio::test]
async fn removed_under_stream() {
    let (deployment, _directory) = harness::start_serving(model()).await;
    let stream = start_stream(&deployment).await;
    let mut changed = config(5, &["key-two"]);
    changed["routes"].as_array_mut().unwrap().retain(|route| route["service"] != "model");
    changed["services"].as_array_mut().unwrap().retain(|service| service["name"] != "model");
    changed["limits"]["idle_timeout_ms"] = 100.into();
    changed["limits"]["header_timeout_ms"] = 100.into();
    deployment.put_config(&changed.to_string());
    let address = deployment.gateways[0].callers;
    wait_until(|| async {
        let key = Some("key-two".to_owned());
        let request = ClientRequest { key, ..ClientRequest::new("GET", IDEMPOTENT, "probe") };
        deployment::send_request(address, &request).await.code() == 200
    })
    .await;
    assert_eq!(deployment.send_request("POST", STREAM, "gone").await.code(), 404);
    assert_whole(stream, EVENTS).await;
}

#[tokio::test]
async fn backends_gone_under_stream() {
    let (deployment, _directory) =
        harness::start_serving(Shape { events: LONG_EVENTS, ..model() }).await;
    let stream = start_stream(&deployment).await;
    let topic = currantlink_platform::names::BACKENDS_TOPIC;
    for index in 0..deployment.model_backends.len() {
        deployment.records.put(topic, &format!("model-{index}"), b"");
    }
    // The gateway's connections to removed backends are closed with the next eviction.
    tokio::time::sleep(EVICTION).await;
    assert_eq!(deployment.send_request("POST", STREAM, "gone").await.code(), 503);
    assert!(!stream.is_finished());
    assert_whole(stream, LONG_EVENTS).await;
}

#[tokio::test]
async fn stopped_at_start() {
    let (mut deployment, _directory) = harness::start(Shape::default()).await;
    let gateway = &mut deployment.gateways[0];
    gateway.process.kill();
    gateway.process.start().unwrap();
    while std::net::TcpStream::connect(gateway.callers).is_err() {
        std::hint::spin_loop();
    }
    signal(&deployment, Signal::SIGTERM);
    let process = &mut deployment.gateways[0].process;
    assert!(process.wait().unwrap(), "the signal ends the process at once");
}
