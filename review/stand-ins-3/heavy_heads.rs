//! Case "heavy heads": many users come at once, with requests of legal size. The platform kills a process that
//! exceeds its memory, and starts it again.

#[allow(dead_code)]
#[path = "platform.rs"]
mod platform;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{
    Ended, GatewaySettings, Processes, Record, Runner, Standing, Store, free_ports, has_trouble,
    read_head, wait_ready,
};

/// Memory and descriptors of the smallest `front` machines of zpr-currant-grown, and its bounds.
const MEMORY_MB: u64 = 112;
const FIGURES: &str = "\"drain_ms\":3000,\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":185,\
    \"retry_window_s\":10,\"memory_mb\":112,\"max_fds\":2870,\"link_mbps\":28,\"store_reads_per_s\":6000";
const GATEWAYS: usize = 2;
/// Number of ends of a process in a day that are a fault.
const ENDS: usize = 3;
/// Users of each gateway, which keeps 960 connections.
const USERS: usize = 560;
const BURST: f64 = 1.7;
const BURST_S: f64 = 3.0;
const BURSTS: usize = 6;
const GAP_S: f64 = 10.0;
const RESTART_S: f64 = 1.0;
/// Size of a head, of which 16,384 bytes are allowed, and of a body, of which 4 MiB are.
const HEAD_BYTES: usize = 12_000;
const BODY_BYTES: usize = 30_000;
const RUNNERS: usize = 72;
const EVENTS: (u32, Duration) = (40, Duration::from_millis(140));
const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"card-note\",\"host\":\"shop.example\",\
    \"path_prefix\":\"/note/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":500,\
    \"priority\":1,\"service\":\"florist-lm\",\"attempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,\
    \"gap_target_ms\":150}],\"services\":[{\"name\":\"florist-lm\",\"health_path\":\"/health\",\
    \"max_connections\":585,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let record = Record::new();
    let code = run(&record);
    record.write(&Path::new(&folder).join("record.txt"));
    std::process::exit(code);
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Returns the memory of a process without mapped files, in KiB.
fn memory_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
}

fn run(record: &Record) -> i32 {
    let (store, store_address) = Store::start("127.0.0.1:0");
    for number in 0..RUNNERS {
        let runner = Runner {
            id: format!("i-{number:08x}"),
            service: "florist-lm".to_owned(),
            zone: ["riga-a", "riga-b", "riga-c"][number % 3].to_owned(),
            slots: 30,
            work: Duration::from_millis(20),
            weights: Some(1),
            events: EVENTS,
            standing: Standing::default(),
        };
        runner.start("127.0.0.1:0", &store, record);
    }
    store.put("keyed.op", "config", CONFIG);
    let ports = free_ports("127.0.0.1", 3);
    let ended = Ended::default();
    let answered = Arc::new(AtomicUsize::new(0));
    let ends: Vec<Arc<AtomicUsize>> = (0..GATEWAYS).map(|_| Arc::default()).collect();
    let highest: Vec<Arc<Mutex<u64>>> = (0..GATEWAYS).map(|_| Arc::default()).collect();
    let mut platforms = Vec::new();
    for index in 0..GATEWAYS {
        let (store, record, ended) = (store_address.clone(), record.clone(), ended.clone());
        let (ends, highest, ports) =
            (Arc::clone(&ends[index]), Arc::clone(&highest[index]), ports.clone());
        platforms.push(thread::spawn(move || {
            run_gateway(index, &ports, &store, &record, &ended, &ends, &highest)
        }));
    }
    for index in 0..GATEWAYS {
        if !wait_ready(&format!("127.0.3.{}:{}", index + 1, ports[1]), Duration::from_secs(15)) {
            record.add("a gateway did not become ready");
            return 2;
        }
    }
    sleep_s(2.0);
    let start = |users: std::ops::Range<usize>, is_once: bool| {
        for user in users {
            for index in 0..GATEWAYS {
                let address = format!("127.0.3.{}:{}", index + 1, ports[0]);
                let (ended, answered, record) =
                    (ended.clone(), Arc::clone(&answered), record.clone());
                let task = move || {
                    be_user(index * 10_000 + user, &address, is_once, &record, &answered, &ended)
                };
                let thread = thread::Builder::new().stack_size(128 << 10);
                thread.spawn(task).expect("no thread");
            }
            thread::sleep(Duration::from_micros(500));
        }
    };
    record.add(format!("{USERS} users come to each of {GATEWAYS} gateways"));
    start(0..USERS, false);
    sleep_s(12.0);
    let before = answered.load(Ordering::SeqCst);
    let calm_ends: usize = ends.iter().map(|ends| ends.load(Ordering::SeqCst)).sum();
    for burst in 0..BURSTS {
        if has_trouble() {
            let users = (USERS as f64 * BURST) as usize;
            record.add(format!("many users come at once: {users} at each gateway"));
            start(USERS * (burst + 2)..USERS * (burst + 2) + users - USERS, true);
        }
        sleep_s(BURST_S + GAP_S);
    }
    ended.set();
    for platform in platforms {
        let _ = platform.join();
    }
    let ends: Vec<usize> = ends.iter().map(|ends| ends.load(Ordering::SeqCst)).collect();
    let highest: Vec<u64> = highest.iter().map(|kb| *kb.lock().unwrap() / 1_024).collect();
    let summary = format!(
        "{before} requests answered before the first burst, {} in all; the gateways used up to {highest:?} MB of \
         {MEMORY_MB}, and were killed {ends:?} times for it, {calm_ends} times before the first burst",
        answered.load(Ordering::SeqCst)
    );
    println!("{summary}");
    record.add(summary);
    match (before, ends.iter().filter(|&&ends| ends >= ENDS).count()) {
        (0, _) => 2,
        (_, 2..) => 1,
        _ => 0,
    }
}

/// Runs a gateway as the platform does: kills it when it exceeds its memory, and starts it again.
fn run_gateway(
    index: usize,
    ports: &[u16],
    store: &str,
    record: &Record,
    ended: &Ended,
    ends: &AtomicUsize,
    highest: &Mutex<u64>,
) {
    let mut processes = Processes::new(index);
    let zone = ["riga-a", "riga-b"][index];
    while !ended.is_set() {
        processes.start_gateway(&GatewaySettings {
            name: &format!("front-{zone}-1"),
            zone,
            ip: &format!("127.0.3.{}", index + 1),
            front_port: ports[0],
            ready_port: ports[1],
            link_port: ports[2],
            store,
            figures: FIGURES,
        });
        let id = processes.ids()[0];
        loop {
            thread::sleep(Duration::from_millis(20));
            if ended.is_set() {
                return;
            }
            let kb = memory_kb(id);
            let mut highest = highest.lock().unwrap();
            *highest = kb.max(*highest);
            if kb > MEMORY_MB * 1_024 {
                record.add(format!(
                    "gateway {index} uses {kb} KiB, more than {MEMORY_MB} MB: it is killed"
                ));
                break;
            }
            if !processes.all_run() {
                record.add(format!("gateway {index} has ended"));
                break;
            }
        }
        processes.kill_all();
        ends.fetch_add(1, Ordering::SeqCst);
        sleep_s(RESTART_S);
    }
}

/// Sends requests on a kept connection and reads the streams that answer them; one request if `is_once`.
fn be_user(
    user: usize,
    address: &str,
    is_once: bool,
    record: &Record,
    answered: &AtomicUsize,
    ended: &Ended,
) {
    let padding: String =
        (0..HEAD_BYTES / 200).map(|n| format!("X-Context-{n}: {}\r\n", "c".repeat(184))).collect();
    let body = vec![b'p'; BODY_BYTES];
    let mut number = 0;
    while !ended.is_set() {
        let Ok(mut stream) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(300));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
        let mut reader = BufReader::with_capacity(1 << 10, stream.try_clone().unwrap());
        loop {
            number += 1;
            let attempt = format!("{user:08x}{number:08x}");
            let head = format!(
                "POST /note/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
                 X-Token-Count: 7500,100\r\nX-Prompt-Prefix: 5c1e07a2:40,{user:08x}:7460\r\nX-Deadline-Ms: 8000\r\n\
                 {padding}Content-Length: {BODY_BYTES}\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_err() {
                break;
            }
            record.add(format!("sent {attempt}"));
            let status = read_stream(&mut reader);
            record.add(format!("answered {attempt} {}", status.unwrap_or(0)));
            answered.fetch_add(usize::from(status == Some(200)), Ordering::SeqCst);
            if ended.is_set() || is_once {
                return;
            }
            if status != Some(200) {
                thread::sleep(Duration::from_millis(500));
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}

/// Reads an answer to its end and returns its status.
fn read_stream(reader: &mut impl BufRead) -> Option<u16> {
    let head = read_head(reader)?;
    if head.header("transfer-encoding").is_none() {
        let length = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        reader.read_exact(&mut vec![0; length]).ok()?;
        return Some(head.status());
    }
    loop {
        let mut size = String::new();
        reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        reader.read_exact(&mut vec![0; size + 2]).ok()?;
        if size == 0 {
            return Some(head.status());
        }
    }
}
