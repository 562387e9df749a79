//! Event streams with neither a length nor chunks, which end with their connection.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{Deployment, RESUMABLE, STREAM, Shape};

const EVENTS: u64 = 5;

async fn start(fault: Fault) -> (Deployment, tempfile::TempDir) {
    let shape = Shape { ranks: 2, events: EVENTS, ..Shape::default() };
    let (deployment, directory) = harness::start_serving(shape).await;
    deployment.model_backends.iter().for_each(|backend| backend.queue_faults([fault]));
    (deployment, directory)
}

fn all_events() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

#[tokio::test]
async fn complete_stream() {
    let (deployment, _directory) = start(Fault::UnframedAfter(EVENTS)).await;
    let response = deployment.send_request("POST", STREAM, "r-1").await;
    assert!(response.is_complete);
    assert_eq!(response.text(), all_events());
}

#[tokio::test]
async fn broken_event() {
    let (deployment, _directory) = start(Fault::UnframedAfter(2)).await;
    let response = deployment.send_request("POST", STREAM, "r-1").await;
    assert!(!response.is_complete, "{}", response.text());
}

#[tokio::test]
async fn no_event() {
    let (deployment, _directory) = start(Fault::UnframedAfter(0)).await;
    let response = deployment.send_request("POST", STREAM, "r-1").await;
    assert!(!response.is_complete, "a stream without events is no answer");
}

#[tokio::test]
async fn resumed_stream() {
    let (deployment, _directory) = start(Fault::None).await;
    for after in [0, 2] {
        deployment.model_backends[0].queue_faults([Fault::UnframedAfter(after)]);
        for index in 0..6 {
            let id = format!("r-{after}-{index}");
            let response = deployment.send_request("POST", RESUMABLE, &id).await;
            assert!(response.is_complete, "{id}: {}", response.text());
            assert_eq!(response.text(), all_events(), "{id}");
        }
    }
}
