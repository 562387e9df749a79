//! Configuration changes through the platform's log: concurrent changes, outages, lost responses to
//! appends, and restarts.
#![allow(clippy::unwrap_used)]

mod common;

use common::{System, Topology};
use currantlink_standins::log::Faults;
use http::{Method, StatusCode};

const EXTRA: &str = r#"{"workspaces": [{"name": "extra"}]}"#;

async fn system() -> System {
    System::start(Topology { entries: 2, ..Topology::default() }).await
}

async fn files(system: &System, entry: usize) -> serde_json::Value {
    system.operate(entry, Method::GET, "/v1/config", "").await.unwrap().json()
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let system = system().await;
    let (first, second) = tokio::join!(
        system.change(0, 10, "20.json", 0, Some(EXTRA)),
        system.change(1, 11, "20.json", 0, Some(r#"{"workspaces": [{"name": "rival"}]}"#)),
    );
    let mut statuses = [first.unwrap().status, second.unwrap().status];
    statuses.sort();
    assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT]);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let system = system().await;
    let before = system.log.appended_records();
    system.log.set_faults(Faults { lose_answers: true, ..Faults::default() });
    let reply = system.change(0, 10, "20.json", 0, Some(EXTRA)).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    let again = system.change(0, 10, "20.json", 0, Some(EXTRA)).await.unwrap();
    assert_eq!(again.body, reply.body);
    assert_eq!(system.log.appended_records(), before + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage() {
    let system = system().await;
    system.log.set_faults(Faults { outage: true, ..Faults::default() });
    let reply = system.change(0, 10, "20.json", 0, Some(EXTRA)).await.unwrap();
    assert_eq!(reply.json()["error"], "log-unavailable");
    assert_eq!(reply.outcome(), "unknown");
    let call = system.call(0, Method::GET, "/v1/services/api/x", "").await.unwrap();
    assert_eq!(call.status, StatusCode::OK);
    system.log.set_faults(Faults::default());
    let again = system.change(0, 10, "20.json", 0, Some(EXTRA)).await.unwrap();
    assert_eq!(again.status, StatusCode::OK, "{again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn start_in_outage() {
    let mut system = system().await;
    let before = files(&system, 0).await;
    system.log.set_faults(Faults { outage: true, ..Faults::default() });
    system.entries[0].kill();
    system.entries[0].start();
    system.wait_ready().await;
    assert_eq!(files(&system, 0).await, before);
    let status = system.operate(0, Method::GET, "/v1/status", "").await.unwrap().json();
    assert_eq!(status["config_source"], "peer");
    let call = system.call(0, Method::GET, "/v1/services/api/x", "").await.unwrap();
    assert_eq!(call.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_log() {
    let mut system = system().await;
    let before = files(&system, 0).await;
    system.log.set_faults(Faults { keep_records: 1, ..Faults::default() });
    let more = system.change(0, 10, "20.json", 0, Some(EXTRA)).await.unwrap();
    assert_eq!(more.status, StatusCode::OK);
    system.entries[0].kill();
    system.entries[0].start();
    system.wait_ready().await;
    let after = files(&system, 0).await;
    assert_eq!(after[0], before[0]);
    assert_eq!(after.as_array().unwrap().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_files() {
    let system = system().await;
    let wrong = r#"{"backends": [{"name": "x", "service": "nowhere"}], "colour": 1}"#;
    let reply = system.change(0, 10, "20.json", 0, Some(wrong)).await.unwrap();
    assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(files(&system, 0).await.as_array().unwrap().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn everywhere_soon() {
    let system = system().await;
    let reply = system.change(0, 10, "20.json", 0, Some(EXTRA)).await.unwrap();
    let offset = reply.json()["offset"].as_u64();
    for entry in [0, 1] {
        let is_applied = |r: &serde_json::Value| r["config_offset"].as_u64() >= offset;
        system.wait_for(entry, |backends| backends.iter().all(is_applied)).await;
    }
}
