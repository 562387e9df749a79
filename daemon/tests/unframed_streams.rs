//! Event streams with neither a length nor chunks, which end with their connection.

#![allow(clippy::unwrap_used)]

mod harness;

use currantlink_standins::backends::Fault;
use currantlink_standins::deployment::{
    ClientRequest, Deployment, RESUMABLE, STREAM, Shape, encode_request,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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

/// Guards against a stream that is cut off and looks complete to a caller of HTTP/1.0, which is sent no
/// chunks.
#[tokio::test]
async fn old_caller() {
    for (fault, is_complete) in [(Fault::None, true), (Fault::TruncateAfter(2), false)] {
        let (deployment, _directory) = start(fault).await;
        let request = encode_request(&ClientRequest::new("POST", STREAM, "r-1"));
        let request = String::from_utf8(request).unwrap().replace("HTTP/1.1", "HTTP/1.0");
        let mut stream = TcpStream::connect(deployment.gateways[0].callers).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut received = Vec::new();
        let end = stream.read_to_end(&mut received).await;
        let received = String::from_utf8_lossy(&received);
        assert_eq!(end.is_ok(), is_complete, "{fault:?}: {received}");
        assert_eq!(received.ends_with(&all_events()), is_complete, "{received}");
    }
}
