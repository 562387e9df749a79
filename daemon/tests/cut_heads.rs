//! Backends that close a connection in the middle of a response's head.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::{Backend, Fault};
use currantlink_standins::deployment::{Deployment, IDEMPOTENT, ONCE, RESUMABLE, STREAM, Shape};

/// Lengths in the status line, between headers, and in the last header and line end.
const LENGTHS: [usize; 6] = [0, 9, 17, 30, 60, usize::MAX];

fn queue(deployment: &Deployment, faults: &[Fault]) {
    let backends = deployment.plain_backends.iter().chain(&deployment.model_backends);
    backends.for_each(|backend: &Backend| {
        backend.clear_faults();
        backend.queue_faults(faults.to_vec());
    });
}

#[tokio::test]
async fn looks_complete() {
    let shape = Shape { ranks: 2, plain_backends: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_streaming(shape).await;
    for path in [IDEMPOTENT, ONCE, RESUMABLE, STREAM] {
        queue(&deployment, &[]);
        let whole = deployment.send_request("POST", path, "whole").await;
        let whole_len = whole.text().len();
        for (index, len) in LENGTHS.into_iter().enumerate() {
            queue(&deployment, &[Fault::CutHead(len)]);
            let id = format!("r-{index}");
            let response = deployment.send_request("POST", path, &id).await;
            let is_whole = response.text().len() + "whole".len() >= whole_len + id.len();
            let looks_complete = response.code() == 200 && response.is_complete;
            assert!(!looks_complete || is_whole, "{path} {len}: {response:?}");
        }
    }
}

#[tokio::test]
async fn resumed_stream() {
    let shape = Shape { ranks: 2, ..Shape::default() };
    let (deployment, _directory) = harness::start_streaming(shape).await;
    let events: String = (1..=5).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect();
    for (index, len) in LENGTHS.into_iter().enumerate() {
        for (backend, fault) in
            deployment.model_backends.iter().zip([Fault::TruncateAfter(2), Fault::CutHead(len)])
        {
            backend.clear_faults();
            backend.queue_faults([fault]);
        }
        let response = deployment.send_request("POST", RESUMABLE, &format!("r-{index}")).await;
        assert!(!response.is_complete || response.code() != 200 || response.text() == events);
    }
}
