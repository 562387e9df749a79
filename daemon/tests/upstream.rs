//! Connections to backends: body framings, abandoned requests and connection reuse.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::FleetKey;
use currantlink_daemon::pool::ConnectionPool;
use currantlink_daemon::upstream::{Framing, Upstream, UpstreamError};
use currantlink_platform::response::KeepAlive;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_secs(5);
const READ_BYTES: usize = 16 << 10;
const GET: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

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
    let head = upstream.exchange(Bytes::from_static(GET), Bytes::new()).await?;
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
    let head = Bytes::from_static(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n");
    let exchange = upstream.exchange(head, Bytes::from_static(b"body"));
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
        let mut head = upstream.exchange(Bytes::from_static(GET), Bytes::new()).await.unwrap();
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
        let head = upstream.exchange(Bytes::from_static(GET), Bytes::new()).await?;
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

/// How a backend ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It sends no more.
    Orderly,
    Reset,
}

/// What of an answer has been read when the backend ends its connection.
#[derive(Clone, Copy, Debug)]
enum ReadBefore {
    Nothing,
    Head,
    /// The head and the body as far as it was sent.
    All,
}

/// More than the buffers of a connection hold.
const LARGE_BODY_BYTES: usize = 16 << 20;

/// Reads an answer whose backend sends `sent` and ends its connection. Returns the body if it is taken for
/// complete.
async fn read_ended(
    sent: &'static [u8],
    body_bytes: usize,
    read_before: ReadBefore,
    end: End,
) -> Option<Vec<u8>> {
    let (mut upstream, backend) = pair().await;
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let head = format!("POST / HTTP/1.1\r\nContent-Length: {body_bytes}\r\n\r\n");
    let end_connection = |backend: TcpStream| match end {
        End::Orderly => {
            socket2::SockRef::from(&backend).shutdown(std::net::Shutdown::Write).unwrap();
            Some(backend)
        }
        End::Reset => {
            backend.set_zero_linger().unwrap();
            drop(backend);
            None
        }
    };
    let mut backend = Some(backend);
    let mut exchange = Box::pin(upstream.exchange(Bytes::from(head), body));
    // The request is sent as far as it is read, which a large body is not.
    while futures::poll!(&mut exchange).is_pending() {
        let mut received = vec![0; READ_BYTES];
        let reading = backend.as_mut().unwrap().read(&mut received);
        let is_large = body_bytes == LARGE_BODY_BYTES;
        if is_large || tokio::time::timeout(Duration::from_millis(20), reading).await.is_err() {
            break;
        }
    }
    // The next lines do not let the exchange go on, so it finds the bytes and the end together.
    let stream = backend.take().unwrap();
    assert_eq!(stream.try_write(sent).unwrap(), sent.len());
    backend = match read_before {
        ReadBefore::Nothing => end_connection(stream),
        ReadBefore::Head | ReadBefore::All => Some(stream),
    };
    let mut head = exchange.await.ok()?;
    upstream.stop_sending();
    let mut content = Vec::new();
    if matches!(read_before, ReadBefore::All)
        && let Some(chunk) = upstream.read_body(&mut head.framing).await.ok()?
    {
        content.extend_from_slice(&chunk);
    }
    if !matches!(read_before, ReadBefore::Nothing) {
        backend = end_connection(backend.take().unwrap());
    }
    while let Some(chunk) = upstream.read_body(&mut head.framing).await.ok()? {
        content.extend_from_slice(&chunk);
    }
    drop(backend);
    Some(content)
}

/// Guards against a part of an answer that is taken for all of it: the system reports a reset once, and a
/// write that has been told of it leaves an orderly end to the reads that follow.
#[tokio::test]
async fn ended_answers() {
    // A body, and whether it is complete by itself, or if the connection ends in order.
    let answers: [(&'static [u8], bool, bool); 6] = [
        (b"HTTP/1.1 200 OK\r\n\r\nhello", false, true),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", false, true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true, true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello", false, false),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            true,
            true,
        ),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false, false),
    ];
    for (sent, is_complete, is_complete_in_order) in answers {
        for body_bytes in [0, 100, LARGE_BODY_BYTES] {
            for read_before in [ReadBefore::Nothing, ReadBefore::Head, ReadBefore::All] {
                for end in [End::Orderly, End::Reset] {
                    let body = read_ended(sent, body_bytes, read_before, end).await;
                    let expected = match end {
                        End::Orderly => is_complete_in_order,
                        End::Reset => is_complete,
                    };
                    let case =
                        format!("{} {body_bytes} {read_before:?} {end:?}", sent.escape_ascii());
                    assert_eq!(body.is_some(), expected, "{case}: {body:?}");
                    assert!(body.is_none_or(|body| body == b"hello"), "{case}");
                }
            }
        }
    }
}
