//! Requests at an entry that is stopped or receives other signals.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;

use common::{System, Topology, until};
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

async fn start_streams(system: &Arc<System>, count: usize) -> Vec<JoinHandle<Option<bool>>> {
    let streams = (0..count).map(|_| {
        let system = Arc::clone(system);
        tokio::spawn(async move {
            let reply = system.complete(0, "long", 400, true).await?;
            Some(reply.body.ends_with(b"data: [DONE]\n\n"))
        })
    });
    let streams: Vec<_> = streams.collect();
    let group = system.group.clone().unwrap();
    until("the streams run", || group.record().begun == count as u64).await;
    streams
}

async fn engine() -> Arc<System> {
    Arc::new(System::start(Topology { engines: 1, plain: 0, ..Topology::default() }).await)
}

#[tokio::test(flavor = "multi_thread")]
async fn hangup_under_stream() {
    let system = engine().await;
    let streams = start_streams(&system, 1).await;
    system.entries[0].signal(Signal::SIGHUP);
    system.sides[0].signal(Signal::SIGHUP);
    for stream in streams {
        assert_eq!(stream.await.unwrap(), Some(true), "the stream was cut off");
    }
}

/// Sends the head and a part of the body of a call and returns the connection.
async fn begin_call(system: &System, ticket: &str) -> TcpStream {
    let address = system.entry_urls[0].trim_start_matches("http://");
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST {ticket} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\ncontent-length: 8\r\n\r\nhalf",
        common::TOKEN
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

#[tokio::test(flavor = "multi_thread")]
async fn body_at_stop() {
    let system = System::start(Topology::default()).await;
    let ticket = system.ticket(0).await;
    let mut stream = begin_call(&system, &ticket).await;
    system.entries[0].signal(Signal::SIGTERM);
    let log = system.dir.path().join("entry-0.log");
    until("the entry stops", || std::fs::read_to_string(&log).unwrap().contains("entry stopping"))
        .await;
    stream.write_all(b"body").await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    assert!(reply.starts_with("HTTP/1.1 503") && reply.contains("not-run"), "{reply:?}");
    assert_eq!(system.runs_of("halfbody"), 0);
}
