//! Case "crowded front": many users come at once, so that a gateway has more connections than it keeps.
//! All users look up the state of their order at the turn of a second.

#[allow(dead_code)]
#[path = "platform.rs"]
mod platform;

use std::collections::HashSet;
use std::io::{BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{
    Ended, GatewaySettings, Processes, Record, Runner, Standing, Store, USUAL_EVENTS, free_ports,
    has_trouble, read_message, wait_ready,
};

/// Memory and descriptors of the smallest `front` machines of zpr-currant-grown, and its bounds.
const FIGURES: &str = "\"drain_ms\":3000,\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":185,\
    \"retry_window_s\":10,\"memory_mb\":112,\"max_fds\":2870,\"link_mbps\":28,\"store_reads_per_s\":6000";
/// Users that keep a connection each. The gateway keeps 960.
const USERS: usize = 900;
/// By how much `burst` multiplies them, and for how long.
const BURST: f64 = 1.7;
const BURST_S: f64 = 3.0;
const BURSTS: usize = 6;
const GAP_S: f64 = 3.0;
/// Requests that may be lost (LOST).
const ALLOWED: usize = 3;
const CALM_S: f64 = 8.0;
/// Time within which the users look.
const SPREAD_MS: u64 = 20;
const THREAD_BYTES: usize = 128 << 10;

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"order-look\",\"host\":\"shop.example\",\
    \"path_prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":150,\
    \"priority\":2,\"service\":\"shopdesk\",\"attempts\":2,\"public\":true}],\"services\":[{\"name\":\
    \"shopdesk\",\"health_path\":\"/health\",\"max_connections\":323,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000}}";

/// What happened to the requests.
#[derive(Default)]
struct Counts {
    answered: usize,
    /// Requests on kept connections that were closed without an answer.
    unanswered: Vec<String>,
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let record = Record::new();
    let code = run(&record);
    record.write(&Path::new(&folder).join("record.txt"));
    std::process::exit(code);
}

fn run(record: &Record) -> i32 {
    let (store, store_address) = Store::start("127.0.0.1:0");
    for (index, zone) in ["riga-a", "riga-b", "riga-c"].iter().enumerate() {
        let (id, service) = (format!("i-{index:08x}"), "shopdesk".to_owned());
        let work = Duration::from_millis(30);
        let runner = Runner {
            id,
            service,
            zone: (*zone).to_owned(),
            slots: 200,
            work,
            weights: None,
            events: USUAL_EVENTS,
            standing: Standing::default(),
        };
        runner.start("127.0.0.1:0", &store, record);
    }
    store.put("keyed.op", "config", CONFIG);
    let ports = free_ports("127.0.0.1", 3);
    let mut processes = Processes::new(0);
    processes.start_gateway(&GatewaySettings {
        name: "front-riga-a-1",
        zone: "riga-a",
        ip: "127.0.0.1",
        front_port: ports[0],
        ready_port: ports[1],
        link_port: ports[2],
        store: &store_address,
        figures: FIGURES,
    });
    if !wait_ready(&format!("127.0.0.1:{}", ports[1]), Duration::from_secs(15)) {
        record.add("the gateway did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let (ended, counts) = (Ended::default(), Arc::new(Mutex::new(Counts::default())));
    let address = format!("127.0.0.1:{}", ports[0]);
    let start = |users: std::ops::Range<usize>, ended: &Ended| {
        for user in users {
            let (address, record, counts, ended) =
                (address.clone(), record.clone(), Arc::clone(&counts), ended.clone());
            let thread = thread::Builder::new().stack_size(THREAD_BYTES);
            let task = move || be_user(user, &address, &record, &counts, &ended);
            thread.spawn(task).expect("no thread");
            thread::sleep(Duration::from_micros(200));
        }
    };
    record.add(format!("{USERS} users come"));
    start(0..USERS, &ended);
    thread::sleep(Duration::from_secs_f64(CALM_S));
    let before = counts.lock().unwrap().answered;
    for _ in 0..BURSTS {
        let burst_ended = Ended::default();
        if has_trouble() {
            let users = (USERS as f64 * BURST) as usize;
            record.add(format!("many users come at once: {users} in all"));
            start(USERS..users, &burst_ended);
        }
        thread::sleep(Duration::from_secs_f64(BURST_S));
        burst_ended.set();
        thread::sleep(Duration::from_secs_f64(GAP_S));
    }
    ended.set();
    if !processes.all_run() {
        record.add("the gateway has ended");
    }
    let texts = record.texts();
    let runs = texts.iter().filter_map(|text| text.strip_prefix("run ")?.split(' ').next());
    let arrived: HashSet<&str> = runs.collect();
    let counts = counts.lock().unwrap();
    let lost: Vec<&String> =
        counts.unanswered.iter().filter(|id| arrived.contains(id.as_str())).collect();
    for attempt in &lost {
        record.add(format!(
            "lost {attempt}: it ran, and its connection was closed without an answer"
        ));
    }
    let summary = format!(
        "{} answered ({before} before the burst); {} requests on kept connections had their connection closed without an \
         answer, {} of them had been passed on to a runner ({ALLOWED} are allowed)",
        counts.answered,
        counts.unanswered.len(),
        lost.len()
    );
    println!("{summary}");
    record.add(summary);
    match (before, lost.len()) {
        (0, _) => 2,
        (_, lost) if lost > ALLOWED => 1,
        _ => 0,
    }
}

/// Returns whether the other end has closed a connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Keeps a connection open and sends a request on it about once a second. After a close, connects again.
fn be_user(user: usize, address: &str, record: &Record, counts: &Mutex<Counts>, ended: &Ended) {
    let mut number = 0;
    // Users look at the turn of a second, within some milliseconds.
    let pause = || {
        let into_second_ms = (record.now() * 1_000.0) as u64 % 1_000;
        Duration::from_millis(1_000 - into_second_ms + user as u64 % SPREAD_MS)
    };
    while !ended.is_set() {
        let Ok(mut stream) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(2_600)));
        let mut reader = BufReader::with_capacity(1 << 10, stream.try_clone().unwrap());
        for on_connection in 0.. {
            number += 1;
            let attempt = format!("{user:08x}{number:08x}");
            let head = format!(
                "GET /look/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Deadline-Ms: 2500\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                break;
            }
            let sent_at =
                record.add(format!("sent {attempt}, request {on_connection} of its connection"));
            match read_message(&mut reader) {
                Some(answer) => {
                    record.add(format!("answered {attempt} {}", answer.status()));
                    counts.lock().unwrap().answered += 1;
                    if answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))
                    {
                        break;
                    }
                }
                None => {
                    if ended.is_set() {
                        return;
                    }
                    let closed_at = record.add(format!("closed {attempt} without an answer"));
                    // A close, not the end of the user's patience.
                    if on_connection > 0 && closed_at - sent_at < 2.0 {
                        counts.lock().unwrap().unanswered.push(attempt);
                    }
                    break;
                }
            }
            thread::sleep(pause());
            if ended.is_set() {
                return;
            }
            if is_closed(&stream) {
                break;
            }
        }
    }
}
