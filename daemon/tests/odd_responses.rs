//! Backends in trouble whose responses are none of HTTP: a status outside its five classes, or a head that
//! contradicts itself. They are not passed on, and promise nothing.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::{Backend, Fault};
use currantlink_standins::deployment::{Deployment, IDEMPOTENT, ONCE, RESUMABLE, STREAM, Shape};

const STATUS_LINES: [&str; 9] = [
    "000 Unknown",
    "000",
    "099 Unknown",
    "600 Unknown",
    "999 Unknown",
    "1000 Unknown",
    "20 OK",
    "+20 OK",
    "2xx OK",
];
type Headers = &'static [(&'static str, &'static str)];
/// Heads of successful responses that contradict themselves.
const HEADERS: [Headers; 4] = [
    &[("x-not-executed", "1")],
    &[("transfer-encoding", "chunked")],
    &[("content-length", "1")],
    &[("transfer-encoding", "identity")],
];

fn faults() -> impl Iterator<Item = Fault> {
    let statuses = STATUS_LINES.into_iter().map(|status| Fault::Odd(status, &[]));
    statuses.chain(HEADERS.into_iter().map(|headers| Fault::Odd("200 OK", headers)))
}

async fn start() -> (Deployment, tempfile::TempDir) {
    let shape = Shape { plain_backends: 2, ranks: 3, ..Shape::default() };
    harness::start_streaming(shape).await
}

fn runs(backends: &[Backend], id: &str) -> usize {
    backends.iter().flat_map(Backend::runs).filter(|run| run.attempt_id == id).count()
}

/// Guards against a status that is none, or a response that may not be whole, which callers get as a
/// response; and against a rejection that promises that a request has not run.
#[tokio::test]
async fn at_most_once() {
    let (deployment, _directory) = start().await;
    let backends = deployment.plain_backends.iter().chain(&deployment.model_backends);
    let backends: Vec<Backend> = backends.cloned().collect();
    for (index, fault) in faults().enumerate() {
        for path in [ONCE, STREAM] {
            backends.iter().for_each(|backend| backend.queue_faults([fault]));
            let id = format!("r-{index}{}", path.replace('/', "-"));
            let response = deployment.send_request("POST", path, &id).await;
            assert_eq!(response.code(), 502, "{fault:?} {path}: {}", response.text());
            assert_eq!(runs(&backends, &id), 1, "{fault:?} {path}");
            backends.iter().for_each(Backend::clear_faults);
        }
    }
}

/// Guards against requests that are lost although another backend can run them.
#[tokio::test]
async fn sent_again() {
    let (deployment, _directory) = start().await;
    for (index, fault) in faults().enumerate() {
        for (path, backends) in
            [(IDEMPOTENT, &deployment.plain_backends), (RESUMABLE, &deployment.model_backends)]
        {
            for attempt in 0..3 {
                backends[0].queue_faults([fault]);
                let id = format!("r-{index}-{attempt}{}", path.replace('/', "-"));
                let response = deployment.send_request("POST", path, &id).await;
                assert_eq!(response.code(), 200, "{fault:?} {path}: {}", response.text());
                assert!(response.is_complete, "{fault:?} {path}");
                backends[0].clear_faults();
            }
        }
    }
}
