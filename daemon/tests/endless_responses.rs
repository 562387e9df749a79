//! Backends that send bytes without end to an agent or another reader of their state: the reader stops at a
//! bound, rather than at its timeout with all that arrived until then in memory.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use currantlink_daemon::rank_client::{RankClient, RankError};
use currantlink_daemon::upstream::UpstreamError;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const READ_BYTES: usize = 16 << 10;

/// Starts a backend that answers each request with `head` and then `repeated` without end.
async fn serve(head: &'static [u8], repeated: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let many = repeated.repeat(READ_BYTES / repeated.len());
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 1_000]).await;
                let _ = stream.write_all(head).await;
                while stream.write_all(&many).await.is_ok() {}
            });
        }
    });
    address
}

/// Guards against an agent that runs out of memory while it reads the state of its backend.
#[tokio::test(flavor = "multi_thread")]
async fn rank_state() {
    let responses: [(&[u8], &[u8]); 5] = [
        (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"5\r\nhello\r\n"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
        (b"", b"x"),
    ];
    for (head, repeated) in responses {
        let mut client = RankClient::new(serve(head, repeated).await);
        for _ in 0..3 {
            let error = client.state().await.unwrap_err();
            let is_bound = matches!(error, RankError::Connection(UpstreamError::Malformed { .. }));
            assert!(is_bound, "{}: {error}", head.escape_ascii());
        }
    }
}
