//! Streams whose sound backend pauses for almost as long as callers wait for an event.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{RESUMABLE, STREAM, Shape};

/// Callers wait for 2 s for the next event.
const PAUSE: Duration = Duration::from_millis(1_950);

/// Guards against a gateway that ends an answer which has begun shortly before its next event.
#[tokio::test]
async fn pause_before_event() {
    let shape = Shape { ranks: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_streaming(shape).await;
    for path in [STREAM, RESUMABLE] {
        for backend in &deployment.model_backends {
            backend.queue_faults([Fault::Stall(PAUSE)]);
        }
        let response = deployment.send_request("POST", path, &format!("r{path}")).await;
        assert!(response.is_complete, "{path}: {}", response.text());
    }
}
