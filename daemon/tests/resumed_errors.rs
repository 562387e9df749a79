//! Streams that break off and are answered with something else by the next backend.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{RESUMABLE, Shape};

const FIRST_EVENTS: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

/// Sends requests whose streams break off after two events and whose next backend answers with a status
/// line and a body. Their callers must get the two events, and see that the stream is not complete.
async fn check(status: &'static str, body: &'static str) {
    let shape = Shape { ranks: 3, events: 5, ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    for index in 0..4 {
        for backend in &deployment.model_backends {
            backend.queue_faults([Fault::FailResumed(status, body)]);
        }
        let id = format!("r-{index}");
        let response = deployment.send_request("POST", RESUMABLE, &id).await;
        assert_eq!(response.text(), FIRST_EVENTS, "{status}");
        assert!(!response.is_complete, "{status}: the stream has more events");
        deployment.model_backends.iter().for_each(|backend| backend.clear_faults());
    }
}

#[tokio::test]
async fn error_in_stream() {
    check("409 Conflict", "conflict\n\n").await;
    check("404 Not Found", "id: 3\ndata: not found\n\n").await;
}

#[tokio::test]
async fn empty_error() {
    check("400 Bad Request", "").await;
}

#[tokio::test]
async fn empty_success() {
    check("200 OK", "").await;
    check("204 No Content", "").await;
}

#[tokio::test]
async fn text_in_stream() {
    check("200 OK", "no such conversation\n\n").await;
}

#[tokio::test]
async fn repeated_events() {
    check("200 OK", "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n")
        .await;
}
