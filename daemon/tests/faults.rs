//! Calls through real processes while processes are killed or paused and links are cut or silent.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Response, System, Topology, until};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;

const CALL_MS: u64 = 600;

async fn slow_system() -> Arc<System> {
    let shape = Topology { entries: 2, plain: 1, call_ms: CALL_MS, ..Topology::default() };
    Arc::new(System::start(shape).await)
}

/// Presents a ticket in the background and waits until the call runs.
async fn running_call(
    system: &Arc<System>,
    ticket: &str,
    body: &'static str,
) -> tokio::task::JoinHandle<Option<Response>> {
    let (background, ticket) = (Arc::clone(system), ticket.to_owned());
    let call = tokio::spawn(async move { background.present(0, &ticket, body).await });
    until("the call runs", || system.runs_of(body) == 1).await;
    call
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_entry() {
    let system = slow_system().await;
    let ticket = system.ticket(0).await;
    let call = running_call(&system, &ticket, "billed").await;
    let mut system = into_exclusive(system, call).await;
    system.entries[0].kill();
    let reply = system.present(1, &ticket, "billed").await.unwrap();
    assert_eq!(reply.json()["body"], "billed");
    assert_eq!(system.runs_of("billed"), 1);
}

/// Aborts the background call and returns the system, which is no longer shared then.
async fn into_exclusive(
    system: Arc<System>,
    call: tokio::task::JoinHandle<Option<Response>>,
) -> System {
    call.abort();
    let _ = call.await;
    Arc::into_inner(system).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_side() {
    let system = slow_system().await;
    let ticket = system.ticket(0).await;
    let call = running_call(&system, &ticket, "billed").await;
    let mut system = into_exclusive(system, call).await;
    system.sides[0].kill();
    system.sides[0].start();
    system.wait_ready().await;
    for entry in [0, 1] {
        let reply = system.present(entry, &ticket, "billed").await.unwrap();
        assert_eq!(reply.outcome(), "unknown", "{reply:?}");
    }
    assert_eq!(system.runs_of("billed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_both() {
    let system = slow_system().await;
    let ticket = system.ticket(0).await;
    let call = running_call(&system, &ticket, "billed").await;
    let mut system = into_exclusive(system, call).await;
    system.entries[0].kill();
    system.sides[0].kill();
    system.sides[0].start();
    system.entries[0].start();
    system.wait_ready().await;
    let reply = system.present(0, &ticket, "billed").await.unwrap();
    assert_eq!(reply.outcome(), "unknown", "{reply:?}");
    assert_eq!(system.runs_of("billed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_link() {
    let system = slow_system().await;
    let ticket = system.ticket(0).await;
    let call = running_call(&system, &ticket, "billed").await;
    system.relays[0].cut();
    let reply = call.await.unwrap().unwrap();
    assert_eq!(reply.json()["body"], "billed", "{reply:?}");
    assert_eq!(system.runs_of("billed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_link() {
    let system = slow_system().await;
    let ticket = system.ticket(0).await;
    let call = running_call(&system, &ticket, "billed").await;
    system.relays[0].silence();
    let reply = call.await.unwrap().unwrap();
    assert_eq!(reply.json()["body"], "billed", "{reply:?}");
    assert_eq!(system.runs_of("billed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_side() {
    let system = slow_system().await;
    let ticket = system.ticket(0).await;
    let call = running_call(&system, &ticket, "billed").await;
    system.sides[0].signal(Signal::SIGSTOP);
    let first = call.await.unwrap().unwrap();
    assert_eq!(first.outcome(), "unknown", "{first:?}");
    system.sides[0].signal(Signal::SIGCONT);
    system.wait_ready().await;
    let second = system.present(1, &ticket, "billed").await.unwrap();
    assert_eq!(second.json()["body"], "billed", "{second:?}");
    assert_eq!(system.runs_of("billed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_entry() {
    let system = slow_system().await;
    let ticket = system.ticket(0).await;
    let call = running_call(&system, &ticket, "billed").await;
    system.entries[0].signal(Signal::SIGSTOP);
    let second = system.present(1, &ticket, "billed").await.unwrap();
    assert_eq!(second.json()["body"], "billed", "{second:?}");
    system.entries[0].signal(Signal::SIGCONT);
    let first = call.await.unwrap().unwrap();
    assert_eq!(first.body, second.body);
    assert_eq!(system.runs_of("billed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream() {
    let shape = Topology { engines: 1, plain: 0, ..Topology::default() };
    let system = Arc::new(System::start(shape).await);
    let uninterrupted = system.complete(0, "long", 100, true).await.unwrap();
    for fault in [System::cut_first as fn(&System), System::silence_first] {
        let background = Arc::clone(&system);
        let stream = tokio::spawn(async move { background.complete(0, "long", 100, true).await });
        let begun = system.group.as_ref().unwrap().record().begun;
        until("the stream runs", || {
            system.group.as_ref().unwrap().record().begun > begun || stream.is_finished()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        fault(&system);
        assert_eq!(stream.await.unwrap().unwrap().body, uninterrupted.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream() {
    let shape = Topology { engines: 1, plain: 0, ..Topology::default() };
    let system = Arc::new(System::start(shape).await);
    let background = Arc::clone(&system);
    let stream = tokio::spawn(async move { background.complete(0, "long", 400, true).await });
    until("the stream runs", || system.group.as_ref().unwrap().record().begun == 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    system.sides[0].signal(Signal::SIGKILL);
    let reply = stream.await.unwrap();
    assert!(reply.is_none(), "a truncated stream looks complete: {reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn other_backend() {
    let mut system = System::start(Topology { plain: 2, ..Topology::default() }).await;
    system.sides[0].kill();
    for _ in 0..20 {
        let reply = system.call(0, Method::GET, "/v1/services/api/x", "").await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_call() {
    let shape = Topology { engines: 1, plain: 0, ..Topology::default() };
    let system = Arc::new(System::start(shape).await);
    let background = Arc::clone(&system);
    let call = tokio::spawn(async move { background.complete(0, "long", 2_000, false).await });
    let group = system.group.clone().unwrap();
    until("the call runs", || group.record().begun == 1).await;
    call.abort();
    let url = format!("{}/v1/backends", system.entry_urls[0]);
    assert!(!url.is_empty());
    system.wait_for(0, |backends| backends[0]["running"] == 0).await;
    assert_eq!(group.record().answered, 0);
}

impl System {
    fn cut_first(&self) {
        self.relays[0].cut();
    }

    fn silence_first(&self) {
        self.relays[0].silence();
    }
}
