//! Draining backends, graceful stops and rolling replacement under load.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use common::{System, Topology};
use http::{Method, StatusCode};

const LEAVE_LIMIT: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn operators_drain() {
    let system = System::start(Topology { plain: 2, lag_ms: 60_000, ..Topology::default() }).await;
    let path = "/v1/backends/api-0/drain";
    let reply = system.operate(0, Method::POST, path, r#"{"drained": true}"#).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    let since = Instant::now();
    system.wait_for(0, |backends| backends[0]["taking_work"] == false).await;
    assert!(since.elapsed() < LEAVE_LIMIT);
    let before = system.plain[0].runs().by_body.len();
    for number in 0..20 {
        let ticket = system.ticket(0).await;
        system.present(0, &ticket, &format!("call {number}")).await.unwrap();
    }
    assert_eq!(system.plain[0].runs().by_body.len(), before);
    let reply = system.operate(0, Method::POST, path, r#"{"drained": false}"#).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    system.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn listed_as_leaving() {
    let system = System::start(Topology { plain: 2, ..Topology::default() }).await;
    system.list.set(system.instances(Some("api-1")));
    let since = Instant::now();
    system.wait_for(0, |backends| backends[1]["taking_work"] == false).await;
    assert!(since.elapsed() < LEAVE_LIMIT);
}

/// Sends calls that may run only once until `stop` is set. Calls refused as not run are retried.
async fn send_calls(
    system: Arc<System>,
    entry: usize,
    worker: usize,
    stop: Arc<AtomicBool>,
) -> Vec<String> {
    let mut answered = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let body = format!("worker {worker} call {number}");
        if complete_call(&system, entry, &body).await {
            answered.push(body);
        }
        number += 1;
    }
    answered
}

async fn complete_call(system: &System, first: usize, body: &str) -> bool {
    for turn in 0..100 {
        let entry = (first + turn) % system.entry_urls.len();
        let redirect = system.call(entry, Method::POST, "/v1/services/api/entries", "").await;
        let Some(redirect) = redirect.filter(|r| r.status == StatusCode::TEMPORARY_REDIRECT) else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let ticket = redirect.headers["location"].to_str().unwrap().to_owned();
        match present_until_outcome(system, entry, &ticket, body).await.as_str() {
            "answered" => return true,
            "not-run" => continue,
            other => panic!("{body}: {other}"),
        }
    }
    panic!("{body}: no response");
}

/// Presents a ticket until an entry returns an outcome. Refused connections are retried at another
/// entry, as the load balancer in front of the entries does.
async fn present_until_outcome(system: &System, first: usize, ticket: &str, body: &str) -> String {
    for turn in 0..100 {
        let entry = (first + turn) % system.entry_urls.len();
        match system.present(entry, ticket, body).await {
            Some(reply) if reply.json()["error"] == "stopping" => {}
            Some(reply) => return reply.outcome(),
            None => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    String::from("no entry")
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement() {
    let shape = Topology { entries: 2, plain: 2, call_ms: 20, ..Topology::default() };
    let mut system = System::start(shape).await;
    let mut entries = std::mem::take(&mut system.entries);
    let mut sides = std::mem::take(&mut system.sides);
    let system = Arc::new(system);
    let stop = Arc::new(AtomicBool::new(false));
    let workers: Vec<_> = (0..8)
        .map(|n| tokio::spawn(send_calls(Arc::clone(&system), n % 2, n, Arc::clone(&stop))))
        .collect();
    let clean = Arc::new(AtomicU64::new(0));
    for index in 0..2 {
        for daemons in [&mut sides, &mut entries] {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let mut daemon = daemons.remove(0);
            let counted = Arc::clone(&clean);
            let daemon = tokio::task::spawn_blocking(move || {
                counted.fetch_add(u64::from(daemon.stop()), Ordering::SeqCst);
                daemon.start();
                daemon
            });
            daemons.push(daemon.await.unwrap());
            system.wait_for(index, |r| r.iter().all(|r| r["taking_work"] == true)).await;
            system.wait_for(1 - index, |r| r.iter().all(|r| r["taking_work"] == true)).await;
        }
    }
    stop.store(true, Ordering::SeqCst);
    let mut answered = Vec::new();
    for worker in workers {
        answered.extend(worker.await.unwrap());
    }
    assert_eq!(clean.load(Ordering::SeqCst), 4);
    assert!(answered.len() > 50, "{}", answered.len());
    for body in answered {
        assert_eq!(system.runs_of(&body), 1, "{body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_under_stream() {
    let shape = Topology { engines: 1, plain: 0, ..Topology::default() };
    let mut system = System::start(shape).await;
    let mut sides = std::mem::take(&mut system.sides);
    let mut entries = std::mem::take(&mut system.entries);
    let system = Arc::new(system);
    let background = Arc::clone(&system);
    let stream = tokio::spawn(async move { background.complete(0, "long", 200, true).await });
    let group = system.group.clone().unwrap();
    common::until("the stream runs", || group.record().begun == 1).await;
    let stops = tokio::task::spawn_blocking(move || (entries[0].stop(), sides[0].stop()));
    let reply = stream.await.unwrap().expect("the stream was truncated");
    assert!(reply.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(stops.await.unwrap(), (true, true));
}
