//! Caller connections that are idle or send slowly.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::deployment::{ClientRequest, Deployment, ONCE, Shape, encode_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than the time for reading a header and shorter than the idle time of the configuration.
const PAUSE: Duration = Duration::from_millis(2_000);
/// Longer than the time for reading a header by more than the interval of the check.
const SLOW: Duration = Duration::from_millis(2_500);

async fn connect(deployment: &Deployment) -> TcpStream {
    TcpStream::connect(deployment.gateways[0].callers).await.unwrap()
}

/// Sends a request on an open connection, with a pause in its header, and reads its response.
async fn exchange(stream: &mut TcpStream, id: &str, pause: Duration) -> String {
    let body = bytes::Bytes::new();
    let head = encode_request(&ClientRequest { body, ..ClientRequest::new("POST", ONCE, id) });
    let (first, rest) = head.split_at(head.len() / 2);
    stream.write_all(first).await.unwrap();
    tokio::time::sleep(pause).await;
    let mut reply = Vec::new();
    // Writing and reading fail if the gateway has closed the connection.
    let mut is_open = stream.write_all(rest).await.is_ok();
    while is_open && !String::from_utf8_lossy(&reply).contains(&format!("{id} by")) {
        is_open = stream.read_buf(&mut reply).await.is_ok_and(|len| len > 0);
    }
    String::from_utf8_lossy(&reply).into_owned()
}

#[tokio::test]
async fn reused_after_idle() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    let mut stream = connect(&deployment).await;
    let reply = exchange(&mut stream, "r-1", Duration::ZERO).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply:?}");
    tokio::time::sleep(PAUSE).await;
    let reply = exchange(&mut stream, "r-2", Duration::ZERO).await;
    assert!(reply.starts_with("HTTP/1.1 200"), "closed before the idle time: {reply:?}");
}

#[tokio::test]
async fn slow_header() {
    let (deployment, _directory) = harness::start_serving(Shape::default()).await;
    for is_first in [true, false] {
        let mut stream = connect(&deployment).await;
        if !is_first {
            let reply = exchange(&mut stream, "r-1", Duration::ZERO).await;
            assert!(reply.starts_with("HTTP/1.1 200"), "{reply:?}");
        }
        let reply = exchange(&mut stream, "r-2", SLOW).await;
        assert_eq!(reply, "", "read after the time for a header");
    }
}
