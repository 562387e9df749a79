//! Streams are in progress when their machine gets SIGTERM, and two of the three agents are restarted in
//! turn. The runners are sound; they preempt their streams once, for a second. Judged is the rule LOST.

mod common;

use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const EVENTS: u64 = 20;
const EVENT_MS: u64 = 40;
/// Event before which the runner pauses.
const PAUSE_BEFORE: u64 = 10;
const PAUSE_MS: u64 = 1_300;
/// Requests that a runner runs and queues: 12 slots and a few more.
const PLACES: usize = 16;
/// Time from the end of an agent's process until it is started again.
const RESTART_MS: u64 = 1_000;
/// Clients abandon a stream after a gap of two seconds: four times the objective of 400 ms and eight
/// times the pause of 120 ms are shorter.
const CLIENT_GAP: Duration = Duration::from_millis(2_000);
const ROUNDS: usize = 5;
const STREAMS: usize = 36;
const GRACE_S: u64 = 8;
const AGENT_GAP_MS: u64 = 1_000;

fn work(pause_ms: u64) -> Work {
    Arc::new(move |conn, request, headers| {
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        conn.stream.write_all(head.as_bytes()).ok()?;
        for id in after + 1..=EVENTS {
            sleep_ms(if id == PAUSE_BEFORE { pause_ms } else { EVENT_MS });
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            conn.stream.write_all(chunk.as_bytes()).ok()?;
        }
        conn.stream.write_all(b"0\r\n\r\n").ok()
    })
}

enum End {
    Complete,
    /// The client has left after a gap of two seconds.
    Left,
    /// The connection ended without a complete answer.
    Lost,
}

struct Seen {
    attempt: String,
    events: usize,
    end: End,
    longest_gap_ms: f64,
    at: Instant,
}

fn stream(address: std::net::SocketAddr, attempt: &str) -> Seen {
    let (mut events, mut longest) = (0, Duration::ZERO);
    let mut last = Instant::now();
    let mut exchange = || {
        let Ok(stream) = TcpStream::connect(address) else { return End::Lost };
        let _ = stream.set_read_timeout(Some(CLIENT_GAP));
        let mut conn = Conn::new(stream);
        let request = Request {
            method: "POST",
            path: "/stream/2f",
            attempt,
            deadline_ms: 8_000,
            extra: "X-Model: m\r\nX-Token-Count: 700,160\r\nX-Prompt-Prefix: 5c1e07a2:40,e4402b7d:660\r\n",
            body: b"{\"prompt\":1}",
        };
        last = Instant::now();
        let begun = conn.stream.write_all(&request.bytes()).ok().and_then(|()| conn.read_head());
        let Some(head) = begun else { return End::Lost };
        if head.status() != 200 {
            return End::Lost;
        }
        loop {
            let chunk = conn.read_chunk();
            let gap = last.elapsed();
            match chunk {
                Some(chunk) if chunk.is_empty() => return End::Complete,
                Some(chunk) => {
                    longest = longest.max(gap);
                    events += chunk.windows(2).filter(|w| w == b"\n\n").count();
                    last = Instant::now();
                }
                None if gap >= CLIENT_GAP => return End::Left,
                None => {
                    longest = longest.max(gap);
                    return End::Lost;
                }
            }
        }
    };
    let end = exchange();
    let end = match end {
        End::Complete if events as u64 != EVENTS => End::Lost,
        end => end,
    };
    Seen { attempt: attempt.to_owned(), events, end, longest_gap_ms: ms(longest), at: Instant::now() }
}

fn main() {
    let record = Record::new(&case_folder());
    let folder = temporary_folder();
    let store = Store::default();
    let routes = [("stream", "streaming", "clear-llm", true)];
    store.put("keyed.op", "config", config(7, &routes).as_bytes());
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let start = |n| Runner::start(&store, "clear-llm", &format!("i-{n:04}"), &arrivals, work(PAUSE_MS));
    let runners: Vec<Runner> = (0..3).map(start).collect();
    runners.iter().for_each(|runner| runner.places.store(PLACES, Ordering::SeqCst));
    let path = store.path();
    let agent = |n: usize| Gateway::start_agent(&format!("side-{n}"), &folder, &path, runners[n].address);
    let mut agents: Vec<Gateway> = (0..3).map(agent).collect();
    let (mut complete, mut left, mut lost) = (0, 0, 0);
    for round in 0..ROUNDS {
        let mut gateway = Gateway::start("front-1", &folder, &path, GRACE_S);
        gateway.wait_until_ready();
        // Nothing is disturbed for longer than `stable_window_ms`.
        sleep_ms(5_000);
        let address = gateway.callers;
        let clients: Vec<_> = (0..STREAMS).map(|n| {
            let attempt = format!("round{round}-{n}");
            record.line(format!("{attempt} is sent"));
            thread::spawn(move || stream(address, &attempt))
        }).collect();
        sleep_ms(300);
        let term_at = Instant::now();
        gateway.signal("-TERM");
        record.line("front-1 gets SIGTERM");
        if has_trouble() {
            // Stopped and started in turn.
            thread::scope(|scope| {
                for (n, agent) in agents.iter_mut().enumerate().take(2) {
                    let record = &record;
                    scope.spawn(move || {
                        sleep_ms(n as u64 * AGENT_GAP_MS);
                        agent.signal("-TERM");
                        record.line(format!("{} gets SIGTERM", agent.name));
                        agent.wait();
                        sleep_ms(RESTART_MS);
                        agent.run();
                        record.line(format!("{} is started again", agent.name));
                    });
                }
            });
        }
        for client in clients {
            let Ok(seen) = client.join() else { cannot_run("a client failed") };
            let outcome = match seen.end {
                End::Complete => { complete += 1; "is complete" }
                End::Left => { left += 1; "was abandoned by its client" }
                End::Lost => { lost += 1; "ENDED WITHOUT A COMPLETE ANSWER" }
            };
            record.line_at(seen.at, format!(
                "{} {outcome}: {} of {EVENTS} events, longest gap {:.0} ms, {:.0} ms after SIGTERM",
                seen.attempt, seen.events, seen.longest_gap_ms,
                ms(seen.at.saturating_duration_since(term_at))));
        }
        gateway.wait();
        record.line(format!("front-1 has exited, {:.0} ms after SIGTERM", ms(term_at.elapsed())));
    }
    sleep_ms(300);
    for seen in arrivals.lock().unwrap().iter() {
        let end = if seen.done.load(Ordering::SeqCst) { "its run is complete" } else { "its run was cut off" };
        record.line_at(seen.at, format!("{} reaches {}: {end}", seen.attempt, seen.runner));
    }
    for runner in &runners {
        for (at, attempt, id) in runner.full.lock().unwrap().iter() {
            record.line_at(*at, format!("{attempt} reaches {id}, which is full and does not run it"));
        }
    }
    drop(agents);
    let summary = format!("{complete} streams complete, {left} abandoned by clients, {lost} lost");
    record.line(summary.clone());
    record.write();
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&folder);
    finish(i32::from(lost > 0));
}
