//! Calls that wait in the queue of a side.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;

use common::{System, TOKEN};
use http::Method;
use serde_json::json;

const CALL_MS: u64 = 1_500;
/// Time that ends while the second of two calls runs.
const DEADLINE_MS: &str = "2500";

#[tokio::test(flavor = "multi_thread")]
async fn run_beyond_deadline() {
    let side = json!({ "max_running": 1 });
    let system = Arc::new(System::start_with(CALL_MS, side, json!({})).await);
    let (first, second) = (system.ticket(0).await, system.ticket(0).await);
    let background = Arc::clone(&system);
    let running = tokio::spawn(async move { background.present(0, &first, "first").await });
    common::until("the first call runs", || system.runs_of("first") == 1).await;
    let url = format!("{}{second}", system.entry_urls[0]);
    let headers = [("x-deadline-ms", DEADLINE_MS)];
    let reply = common::send(Method::POST, &url, TOKEN, &headers, "second").await.unwrap();
    assert_ne!(reply.outcome(), "answered", "the call cannot end in time");
    assert_eq!(running.await.unwrap().unwrap().outcome(), "answered");
    system.wait_for(0, |backends| backends[0]["running"] == 0).await;
    let runs = system.plain[0].runs();
    assert_eq!(runs.by_body.get("second"), Some(&1), "the call has started");
    assert_eq!(runs.completed_by_body.get("second"), None, "the call ran beyond its deadline");
}
