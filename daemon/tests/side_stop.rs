//! Calls at a side that stops.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{System, until};
use nix::sys::signal::Signal;
use serde_json::json;

/// Longer than the time for which a side waits for the call of a ticket.
const TICKET_WAIT: Duration = Duration::from_millis(2_200);
/// Longer than an idle side takes to decide that it exits, and shorter than until it exits.
const IDLE_WAIT: Duration = Duration::from_millis(100);

async fn stop_side(system: &System) {
    system.sides[0].signal(Signal::SIGTERM);
    system.wait_for(0, |backends| backends[0]["draining"] == true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_side_takes_no_call() {
    let system = System::start_with(1_500, json!({}), json!({})).await;
    let ticket = system.ticket(0).await;
    tokio::time::sleep(TICKET_WAIT).await;
    stop_side(&system).await;
    tokio::time::sleep(IDLE_WAIT).await;
    let reply = system.present(0, &ticket, "late").await.unwrap();
    let is_answered = reply.outcome() == "answered";
    assert!(is_answered || system.runs_of("late") == 0, "run and cut off: {reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn call_beyond_grace() {
    let system = System::start_with(4_000, json!({ "grace_ms": 1_500 }), json!({})).await;
    let ticket = system.ticket(0).await;
    stop_side(&system).await;
    let reply = system.present(0, &ticket, "long").await.unwrap();
    let is_answered = reply.outcome() == "answered";
    assert!(is_answered || system.runs_of("long") == 0, "run and cut off: {reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn queued_beyond_grace() {
    let side = json!({ "grace_ms": 3_000, "max_running": 1 });
    let system = Arc::new(System::start_with(2_000, side, json!({})).await);
    let mut calls = Vec::new();
    for body in ["first", "second", "third", "fourth"] {
        let (system, ticket) = (Arc::clone(&system), system.ticket(0).await);
        let call = async move { system.present(0, &ticket, body).await.unwrap().outcome() };
        calls.push((body, tokio::spawn(call)));
    }
    system.wait_for(0, |backends| backends[0]["running"] == 1 && backends[0]["queued"] == 3).await;
    stop_side(&system).await;
    for (body, call) in calls {
        let outcome = call.await.unwrap();
        let expected = if system.runs_of(body) == 0 { "not-run" } else { "answered" };
        assert_eq!(outcome, expected, "{body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_on_lost_link() {
    let system = Arc::new(System::start_with(300, json!({}), json!({ "silence_ms": 1_000 })).await);
    let ticket = system.ticket(0).await;
    tokio::time::sleep(TICKET_WAIT).await;
    let background = Arc::clone(&system);
    let call = tokio::spawn(async move { background.present(0, &ticket, "once").await.unwrap() });
    until("the call runs", || system.runs_of("once") == 1).await;
    system.relays[0].silence();
    system.sides[0].signal(Signal::SIGTERM);
    let reply = call.await.unwrap();
    assert_eq!(reply.outcome(), "answered", "{reply:?}");
}
