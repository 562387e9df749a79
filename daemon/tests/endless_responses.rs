//! Backends that send bytes without end to an agent or another reader of their state: the reader stops at a
//! bound, rather than at its timeout with all that arrived until then in memory.

#![allow(clippy::unwrap_used)]

use currantlink_daemon::rank_client::{RankClient, RankError};
use currantlink_daemon::upstream::UpstreamError;
use currantlink_standins::endless;

const CHUNK: &[u8] = b"20\r\n12345678901234567890123456789012\r\n";
const ATTEMPTS: usize = 20;

/// Guards against an agent that runs out of memory while it reads the state of its backend.
#[tokio::test(flavor = "multi_thread")]
async fn rank_state() {
    let responses: [(&[u8], &[u8]); 5] = [
        (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n", b"x"),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
        (b"", b"x"),
    ];
    for (head, repeated) in responses {
        let mut client = RankClient::new(endless::serve(head, repeated).await.unwrap());
        let mut errors = Vec::new();
        // On a busy machine, a read may end at its timeout of 150 ms before it reaches the bound.
        for _ in 0..ATTEMPTS {
            errors.push(client.state().await.unwrap_err());
        }
        let is_bound = |error: &RankError| {
            matches!(error, RankError::Connection(UpstreamError::Malformed { .. }))
        };
        assert!(errors.iter().any(is_bound), "{}: {errors:?}", head.escape_ascii());
    }
}
