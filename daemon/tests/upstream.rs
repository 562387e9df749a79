//! Connections to backends: body framings, abandoned requests and connection reuse.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::time::Duration;

use currantlink_core::fleet::FleetKey;
use currantlink_daemon::pool::ConnectionPool;
use currantlink_daemon::upstream::{Framing, Upstream, UpstreamError};
use currantlink_platform::response::KeepAlive;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_secs(5);
const READ_BYTES: usize = 16 << 10;

async fn pair() -> (Upstream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = Upstream::connect(address, LIMIT).await.unwrap();
    (upstream, listener.accept().await.unwrap().0)
}

/// Reads the body of a response that arrives in chunks of `size` bytes.
async fn read_body(response: &'static [u8], size: usize) -> Result<Vec<u8>, UpstreamError> {
    let (mut upstream, mut backend) = pair().await;
    let sending = tokio::spawn(async move {
        // Closing with unread bytes would reset the connection.
        let _ = backend.read(&mut [0; 100]).await.unwrap();
        for chunk in response.chunks(size) {
            backend.write_all(chunk).await.unwrap();
            tokio::task::yield_now().await;
        }
    });
    let head = upstream.exchange(b"GET / HTTP/1.1\r\n\r\n", b"").await?;
    let (mut framing, mut body) = (head.framing, Vec::new());
    while let Some(chunk) = upstream.read_body(&mut framing).await? {
        body.extend_from_slice(&chunk);
    }
    sending.await.unwrap();
    Ok(body)
}

#[tokio::test]
async fn every_framing() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nhello",
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    ];
    for response in responses {
        for size in [1, 2, 7, 1_000] {
            assert_eq!(read_body(response, size).await.unwrap(), b"hello", "{size}");
        }
    }
}

#[tokio::test]
async fn early_ends() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n",
        b"not an answer at all\r\n\r\n",
    ];
    for response in responses {
        assert!(read_body(response, 1_000).await.is_err());
    }
}

#[tokio::test]
async fn cut_heads() {
    let responses: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\nX-A: b\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
    ];
    for response in responses {
        for len in 0..response.len() {
            let body = read_body(&response[..len], 1_000).await;
            assert!(body.is_err(), "{len} bytes of {}: {body:?}", response.escape_ascii());
        }
    }
}

#[tokio::test]
async fn given_up() {
    let (mut upstream, mut backend) = pair().await;
    let exchange = upstream.exchange(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n", b"body");
    assert!(tokio::time::timeout(Duration::from_millis(50), exchange).await.is_err());
    drop(upstream);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let read = backend.read_to_end(&mut Vec::new()).await;
    assert_eq!(
        read.unwrap_err().kind(),
        ErrorKind::ConnectionReset,
        "unsent bytes must not arrive later"
    );
}

#[tokio::test]
async fn used_again() {
    let (mut upstream, mut backend) = pair().await;
    for _ in 0..3 {
        let response = b"HTTP/1.1 204 No Content\r\n\r\n";
        backend.write_all(response).await.unwrap();
        let mut head = upstream.exchange(b"GET / HTTP/1.1\r\n\r\n", b"").await.unwrap();
        assert_eq!(head.framing, Framing::Done);
        assert!(upstream.read_body(&mut head.framing).await.unwrap().is_none());
        assert!(upstream.is_reusable());
    }
    backend.write_all(b"extra").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!upstream.is_reusable(), "unread bytes prevent reuse");
}

/// Sends `head`, then `repeated` without end; returns the error that ends the exchange.
async fn endless(head: &'static [u8], repeated: &'static [u8]) -> UpstreamError {
    let (mut upstream, mut backend) = pair().await;
    let sending = tokio::spawn(async move {
        backend.write_all(head).await?;
        let many = repeated.repeat(READ_BYTES / repeated.len());
        while backend.write_all(&many).await.is_ok() {}
        std::io::Result::Ok(())
    });
    let reading = async {
        let head = upstream.exchange(b"GET / HTTP/1.1\r\n\r\n", b"").await?;
        let mut framing = head.framing;
        while upstream.read_body(&mut framing).await?.is_some() {}
        Ok(())
    };
    let result: Result<(), UpstreamError> = tokio::time::timeout(LIMIT, reading).await.unwrap();
    drop(upstream);
    sending.await.unwrap().unwrap();
    result.unwrap_err()
}

#[tokio::test]
async fn endless_heads() {
    let error = endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n").await;
    assert!(matches!(error, UpstreamError::Malformed { .. }), "{error}");
    let error = endless(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n").await;
    assert!(matches!(error, UpstreamError::Malformed { .. }), "{error}");
}

#[tokio::test]
async fn endless_trailers() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let error = endless(head, b"a: b\r\n").await;
    assert!(matches!(error, UpstreamError::Malformed { .. }), "{error}");
}

/// Guards against a panic if a backend advertises an idle timeout that no point in time can express.
#[tokio::test]
async fn endless_keep_alive() {
    let (upstream, _backend) = pair().await;
    let in_flight = ConnectionPool::default().begin_request(FleetKey(0), 0);
    in_flight.put_idle(upstream, KeepAlive::Timeout(Duration::from_secs(u64::MAX)));
    assert!(in_flight.take_idle().is_some(), "the connection is not reused");
}
