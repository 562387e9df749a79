//! Gateways under changes and failures of the configuration, the backends and the store.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::deployment::{Deployment, IDEMPOTENT, KEY, ONCE, Shape, get, wait_until};
use currantlink_standins::records::Health;
use harness::status_code;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

async fn start(shape: Shape) -> (Deployment, TempDir) {
    let (deployment, directory) = harness::start(shape).await;
    wait_until(|| async { status_code(&deployment, 0, KEY).await == 200 }).await;
    (deployment, directory)
}

fn signal(deployment: &Deployment, gateway: usize, signal: Signal) {
    let id = deployment.gateways[gateway].process.id().unwrap();
    kill(Pid::from_raw(id as i32), signal).unwrap();
}

#[tokio::test]
async fn new_keys() {
    let (deployment, _directory) = start(Shape::default()).await;
    deployment.configure(5, &["key-two"]);
    wait_until(|| async { status_code(&deployment, 0, "key-two").await == 200 }).await;
    assert_eq!(status_code(&deployment, 0, KEY).await, 401);
}

#[tokio::test]
async fn never_older() {
    let (deployment, _directory) = start(Shape::default()).await;
    deployment.configure(5, &["key-two"]);
    wait_until(|| async { status_code(&deployment, 0, "key-two").await == 200 }).await;
    deployment.configure(4, &[KEY]);
    deployment.put_config("{\"version\": 9, \"routes\": 7");
    deployment.put_config("{\"version\": 9, \"routes\": [{\"name\": 3}]}");
    deployment.configure(10, &["key-two", "key-three"]);
    wait_until(|| async { status_code(&deployment, 0, "key-three").await == 200 }).await;
    assert_eq!(status_code(&deployment, 0, KEY).await, 401);
}

#[tokio::test]
async fn store_outage() {
    for health in [Health::Busy, Health::Silent, Health::LoseResponses] {
        let (mut deployment, _directory) = start(Shape::default()).await;
        deployment.records.set_health(health);
        for _ in 0..20 {
            assert_eq!(status_code(&deployment, 0, KEY).await, 200, "{health:?}");
        }
        deployment.gateways[0].process.kill();
        deployment.gateways[0].process.start().unwrap();
        let readiness = deployment.gateways[0].readiness;
        wait_until(|| async move { get(readiness, "/api/readiness").await == Some(503) }).await;
        assert_eq!(status_code(&deployment, 0, KEY).await, 503, "no configuration is known");
        deployment.configure(8, &["key-two"]);
        deployment.records.set_health(Health::Up);
        wait_until(|| async { status_code(&deployment, 0, "key-two").await == 200 }).await;
    }
}

#[tokio::test]
async fn history_forgotten() {
    let (deployment, _directory) = start(Shape::default()).await;
    deployment.records.truncate();
    deployment.configure(8, &["key-two"]);
    deployment.records.truncate();
    wait_until(|| async { status_code(&deployment, 0, "key-two").await == 200 }).await;
}

#[tokio::test]
async fn leaving_backend() {
    let (deployment, _directory) = start(Shape { plain_backends: 2, ..Shape::default() }).await;
    let (spare, address) = harness::add_spare(&deployment).await;
    let reaches_spare = || async {
        deployment.send_request("POST", ONCE, "r-1").await;
        !spare.runs().is_empty()
    };
    wait_until(reaches_spare).await;
    deployment.register("spare", "plain", address, "draining");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let runs = spare.runs().len();
    for _ in 0..20 {
        assert_eq!(deployment.send_request("POST", ONCE, "r-2").await.code(), 200);
    }
    assert_eq!(spare.runs().len(), runs);
}

#[tokio::test]
async fn malformed_records() {
    let (deployment, _directory) = start(Shape::default()).await;
    let topic = currantlink_platform::names::BACKENDS_TOPIC;
    deployment.records.put(topic, "other-writer", b"\xff\xfe");
    deployment.records.put(topic, "half", b"{\"service\":\"plain\",\"state\":7}");
    tokio::time::sleep(Duration::from_millis(600)).await;
    for _ in 0..10 {
        assert_eq!(status_code(&deployment, 0, KEY).await, 200);
    }
}

#[tokio::test]
async fn planned_stop() {
    let (mut deployment, _directory) = start(Shape::default()).await;
    signal(&deployment, 0, Signal::SIGTERM);
    let readiness = deployment.gateways[0].readiness;
    wait_until(|| async move { get(readiness, "/api/readiness").await == Some(503) }).await;
    let reply = deployment.send_request("GET", IDEMPOTENT, "late").await;
    assert_eq!((reply.code(), reply.header("connection")), (200, Some("close")));
    assert!(deployment.gateways[0].process.wait().unwrap());
}

#[tokio::test]
async fn changed_settings() {
    let (deployment, _directory) = start(Shape::default()).await;
    let path = &deployment.gateways[0].process.settings;
    let text = std::fs::read_to_string(path).unwrap();
    std::fs::write(path, "{").unwrap();
    signal(&deployment, 0, Signal::SIGHUP);
    std::fs::write(path, text.replace("60.0", "61.0")).unwrap();
    signal(&deployment, 0, Signal::SIGHUP);
    let log = deployment.gateways[0].process.log_path();
    let is_reloaded =
        || async { std::fs::read_to_string(&log).unwrap().contains("settings reloaded") };
    wait_until(is_reloaded).await;
    assert_eq!(status_code(&deployment, 0, KEY).await, 200);
}

#[tokio::test]
async fn metrics_page() {
    let (deployment, _directory) = start(Shape::default()).await;
    assert_eq!(get(deployment.gateways[0].metrics, "/metrics").await, Some(200));
}
