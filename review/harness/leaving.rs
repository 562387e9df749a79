//! A machine is cut off from the store for some seconds. Within a second before its path returns, a
//! runner leaves as planned without reporting `draining`: its entry is removed. The other machine is
//! not disturbed. Judged is the rule DRAIN at that other machine.

mod common;

use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DRAIN_MS: u64 = 2_000;
/// Runners serve a little longer than `drain_ms`, then exit.
const LINGER_MS: u64 = 150;
const WORK_MS: u64 = 100;
const ROUNDS: usize = 12;
const MIN_CUT: Duration = Duration::from_millis(2_500);
const MAX_CUT: Duration = Duration::from_millis(5_500);

fn work() -> Work {
    Arc::new(|conn, _, headers| {
        sleep_ms(WORK_MS);
        conn.respond("200 OK", headers, b"{\"status\":\"cleared\"}")
    })
}

fn main() {
    let record = Record::new(&case_folder());
    let folder = temporary_folder();
    let store = Store::default();
    let routes = [("once", "non_idempotent", "registry-api", false)];
    store.put("keyed.op", "config", config(7, &routes).as_bytes());
    let arrivals = Arc::default();
    let start = |n: usize| {
        Runner::start(&store, "registry-api", &format!("i-{n:04}"), &arrivals, work())
    };
    let mut runners: Vec<Runner> = (0..3).map(start).collect();
    let (path_1, path_2) = (store.path(), store.path());
    let gateway_1 = Gateway::start("front-1", &folder, &path_1, 8);
    let gateway_2 = Gateway::start("front-2", &folder, &path_2, 8);
    gateway_1.wait_until_ready();
    gateway_2.wait_until_ready();
    sleep_ms(4_000);

    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let mut clients = Vec::new();
    for (gateway, interval_ms) in [(&gateway_1, 60), (&gateway_2, 12)] {
        let (name, address) = (gateway.name.clone(), gateway.callers);
        let (stop, answers) = (Arc::clone(&stop), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let (attempt, answers) = (format!("{name}-{n:06}"), Arc::clone(&answers));
                thread::spawn(move || {
                    let request = Request {
                        method: "POST",
                        path: "/once/2f",
                        attempt: &attempt,
                        deadline_ms: 2_500,
                        extra: "",
                        body: b"{\"work\":1}",
                    };
                    let status = send(address, &request);
                    answers.lock().unwrap().insert(attempt, status);
                });
                sleep_ms(interval_ms);
            }
        }));
    }

    let began = Instant::now();
    let mut left: Vec<(String, Instant)> = Vec::new();
    for round in 0..ROUNDS {
        if began.elapsed() > Duration::from_secs(85) {
            break;
        }
        // A release: the new runner starts first, then an old one leaves.
        runners.push(start(10 + round));
        let cut_at = Instant::now();
        if has_trouble() {
            record.line("front-1 is cut off from the store (its connections are reset)");
            path_1.cut();
            // The list of runners is read about once a second.
            loop {
                let refused = path_1.last_list_read().is_some_and(|r| !r.served && r.at > cut_at + MIN_CUT);
                if refused || cut_at.elapsed() > MAX_CUT {
                    break;
                }
                thread::sleep(Duration::from_micros(500));
            }
        } else {
            thread::sleep(MIN_CUT + Duration::from_millis(137 * round as u64 % 1_000));
        }
        let leaving = runners.remove(0);
        let acknowledged = leaving.leave();
        record.line_at(acknowledged, format!("{} leaves: acknowledged by the store", leaving.id));
        if has_trouble() {
            path_1.heal();
            record.line("front-1 reaches the store again");
        }
        left.push((leaving.id.clone(), acknowledged));
        thread::sleep(Duration::from_millis(DRAIN_MS + LINGER_MS).saturating_sub(acknowledged.elapsed()));
        leaving.exit();
        record.line(format!("{} has exited", leaving.id));
        // Until the next round the machines are undisturbed for longer than `stable_window_ms`.
        sleep_ms(1_500);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep_ms(2_600);

    let (answers, arrivals) = (answers.lock().unwrap(), arrivals.lock().unwrap().clone());
    let (mut late, mut lost, mut latest_ms) = (0, 0, 0.0f64);
    for (id, acknowledged) in &left {
        for seen in arrivals.iter().filter(|a| a.runner == *id && a.at > *acknowledged) {
            let after_ms = ms(seen.at - *acknowledged);
            let is_late = after_ms > DRAIN_MS as f64;
            let status = answers.get(&seen.attempt).copied().unwrap_or(0);
            let ran = if seen.done.load(Ordering::SeqCst) { "ran" } else { "began to run, was cut off" };
            record.line_at(seen.at, format!(
                "{} reaches {id} {after_ms:.0} ms after the acknowledgement{}: {ran}; the client got {status}",
                seen.attempt, if is_late { " (LATE)" } else { "" }));
            if seen.attempt.starts_with("front-2") {
                latest_ms = latest_ms.max(after_ms);
                late += usize::from(is_late);
                lost += usize::from(is_late && status != 200);
            }
        }
    }
    let served = answers.values().filter(|&&status| status == 200).count();
    let summary = format!(
        "{} requests, {served} answered 200; {} runners left; from front-2 {late} requests reached a \
         runner later than {DRAIN_MS} ms, {lost} of them were lost; the latest after {latest_ms:.0} ms",
        answers.len(), left.len());
    record.line(summary.clone());
    record.write();
    println!("{summary}");
    drop((gateway_1, gateway_2));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    if served < answers.len() / 2 {
        cannot_run("most requests were not served");
    }
    finish(i32::from(late > 0));
}
