//! Requests at an entry that is stopped or receives other signals.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{System, Topology, until};
use currantlink_daemon::call::{CallBody, CallResponse};
use currantlink_daemon::reply;
use currantlink_wire::link::Head;
use http_body_util::BodyExt;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

const STREAMS: usize = 32;
const CONTINUE: [u8; 25] = *b"HTTP/1.1 100 Continue\r\n\r\n";

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

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_looks_incomplete() {
    let system = engine().await;
    let streams = start_streams(&system, STREAMS).await;
    system.entries[0].signal(Signal::SIGTERM);
    system.entries[0].signal(Signal::SIGINT);
    for stream in streams {
        assert_ne!(stream.await.unwrap(), Some(false), "a stream that was cut off looks complete");
    }
}

/// Guards against a stream that is cut off and looks complete to a caller of HTTP/1.0, which is sent no
/// chunks.
#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_of_old_caller() {
    for is_cut in [false, true] {
        let system = engine().await;
        let address = system.entry_urls[0].trim_start_matches("http://");
        let mut stream = TcpStream::connect(address).await.unwrap();
        let body = r#"{"prompt": "long", "max_tokens": 200, "stream": true}"#;
        let request = format!(
            "POST /v1/models/llm/completions HTTP/1.0\r\nhost: a\r\nauthorization: Bearer {}\r\n\
             content-length: {}\r\n\r\n{body}",
            common::TOKEN,
            body.len()
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let group = system.group.clone().unwrap();
        until("the stream runs", || group.record().begun == 1).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        if is_cut {
            system.entries[0].signal(Signal::SIGTERM);
            system.entries[0].signal(Signal::SIGINT);
        }
        let mut received = Vec::new();
        let end = stream.read_to_end(&mut received).await;
        let received = String::from_utf8_lossy(&received);
        let is_whole = received.ends_with("data: [DONE]\n\n");
        assert!(is_whole || is_cut, "{received}");
        let looks_complete = end.is_ok() && received.starts_with("HTTP/1.0 200");
        assert_eq!(looks_complete, is_whole, "{received}");
    }
}

/// The task that fills a body is dropped, for example at the forced end of the process.
#[tokio::test]
async fn body_without_source() {
    let (sender, chunks) = mpsc::channel(1);
    drop(sender);
    let head = Head { status: 200, headers: Vec::new() };
    let response = CallResponse { head, body: CallBody::Streamed(chunks) };
    let response = reply::call_response(response, "request").unwrap();
    assert!(response.into_body().collect().await.is_err(), "the body looks complete");
}

/// Sends the head and a part of the body of a call, and returns the connection once the entry reads
/// the body.
async fn begin_call(system: &System, first: &str, rest: &str) -> TcpStream {
    let address = system.entry_urls[0].trim_start_matches("http://");
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /v1/models/llm/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: {}\r\nexpect: 100-continue\r\n\r\n",
        common::TOKEN,
        first.len() + rest.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut interim = [0; CONTINUE.len()];
    stream.read_exact(&mut interim).await.unwrap();
    assert_eq!(interim, CONTINUE);
    stream.write_all(first.as_bytes()).await.unwrap();
    stream
}

async fn stop_entry(system: &System) {
    system.entries[0].signal(Signal::SIGTERM);
    let log = system.dir.path().join("entry-0.log");
    let is_stopping = || std::fs::read_to_string(&log).unwrap().contains("entry stopping");
    until("the entry stops", is_stopping).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body_at_stop() {
    let system = engine().await;
    let (first, rest) = (r#"{"prompt": "a", "#, r#""max_tokens": 1}"#);
    let mut stream = begin_call(&system, first, rest).await;
    stop_entry(&system).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    assert!(reply.starts_with("HTTP/1.1 503") && reply.contains("not-run"), "{reply:?}");
    assert_eq!(system.group.as_ref().unwrap().record().begun, 0);
}

/// A caller that lost the response presents its ticket again, at an entry that is stopping.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_at_stop() {
    let system = Arc::new(System::start(Topology { call_ms: 1_000, ..Topology::default() }).await);
    let (ticket, other) = (system.ticket(0).await, system.ticket(0).await);
    assert_eq!(system.present(0, &ticket, "once").await.unwrap().outcome(), "answered");
    let background = Arc::clone(&system);
    let call = tokio::spawn(async move { background.present(0, &other, "other").await });
    until("another call keeps the entry running", || system.runs_of("other") == 1).await;
    stop_entry(&system).await;
    let reply = system.present(0, &ticket, "once").await.unwrap();
    assert_ne!(reply.outcome(), "not-run", "the call has run: {reply:?}");
    assert_eq!(call.await.unwrap().unwrap().outcome(), "answered");
}
