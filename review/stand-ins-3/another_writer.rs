//! Case "another writer": entries of a service that isn't named appear at the addresses of sound runners, after
//! all processes were killed.

#[allow(dead_code)]
#[path = "platform.rs"]
mod platform;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{
    Ended, GatewaySettings, Processes, Record, Runner, Standing, Store, USUAL_EVENTS, free_ports,
    has_trouble, request, unix_ms, wait_ready,
};

/// Plain runners and bounds of zpr-currant-grown; of its 20 gateways, five.
const GATEWAYS: usize = 5;
const RUNNERS: usize = 3;
const RECOVER_S: f64 = 15.0;
/// Time from the return of the machines until the other writer's entries appear.
const WRITTEN_AFTER_S: f64 = 3.0;
const DOWN_S: f64 = 1.2;
const FIGURES: &str = "\"drain_ms\":3000,\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":185,\
    \"retry_window_s\":10,\"memory_mb\":512,\"max_fds\":8192,\"link_mbps\":200,\"store_reads_per_s\":6000";
const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"order-look\",\"host\":\"shop.example\",\
    \"path_prefix\":\"/look/\",\"kind\":\"idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":150,\
    \"priority\":2,\"service\":\"shopdesk\",\"attempts\":2,\"public\":true}],\"services\":[{\"name\":\
    \"shopdesk\",\"health_path\":\"/health\",\"max_connections\":323,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000}}";
const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];

/// Requests without a version: when they were sent, and the status of the answer.
type Sent = Arc<Mutex<Vec<(f64, u16)>>>;

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

fn start_runner(number: usize, store: &Store, record: &Record) -> String {
    let runner = Runner {
        id: format!("i-{number:08x}"),
        service: "shopdesk".to_owned(),
        zone: ZONES[number % 3].to_owned(),
        slots: 6,
        work: Duration::from_millis(30),
        weights: None,
        events: USUAL_EVENTS,
        standing: Standing::default(),
    };
    runner.start("127.0.0.1:0", store, record)
}

fn run(record: &Record) -> i32 {
    let (store, store_address) = Store::start("127.0.0.1:0");
    let addresses: Vec<String> =
        (0..RUNNERS).map(|number| start_runner(number, &store, record)).collect();
    store.put("keyed.op", "config", CONFIG);
    let ports = free_ports("127.0.0.1", 3);
    let ips: Vec<String> = (0..GATEWAYS).map(|index| format!("127.0.2.{}", index + 1)).collect();
    let mut processes = Processes::new(0);
    let start_all = |processes: &mut Processes| {
        for (index, ip) in ips.iter().enumerate() {
            processes.start_gateway(&GatewaySettings {
                name: &format!("front-{}-{index}", ZONES[index % 3]),
                zone: ZONES[index % 3],
                ip,
                front_port: ports[0],
                ready_port: ports[1],
                link_port: ports[2],
                store: &store_address,
                figures: FIGURES,
            });
        }
        ips.iter().all(|ip| wait_ready(&format!("{ip}:{}", ports[1]), Duration::from_secs(15)))
    };
    if !start_all(&mut processes) {
        record.add("a gateway did not become ready");
        return 2;
    }
    sleep_s(2.0);
    let (ended, sent) = (Ended::default(), Sent::default());
    for index in 0..GATEWAYS {
        let address = format!("{}:{}", ips[index], ports[0]);
        let (record, sent, ended) = (record.clone(), Arc::clone(&sent), ended.clone());
        thread::spawn(move || call_repeatedly(index, &address, &record, &sent, &ended));
    }
    sleep_s(6.0);
    let fault_at = record.now();
    if has_trouble() {
        record.add("final fault: all processes are killed");
        processes.kill_all();
        sleep_s(DOWN_S);
        if !start_all(&mut processes) {
            record.add("a gateway did not become ready again");
            return 2;
        }
    }
    let back_at = record.add("the machines are back");
    sleep_s(WRITTEN_AFTER_S);
    if has_trouble() {
        for (number, address) in addresses.iter().enumerate() {
            let (zone, born) = (ZONES[number % 3], unix_ms());
            let entry = format!(
                "{{\"service\":\"host-metrics\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"born\":{born},\"sequence\":0}}"
            );
            store.put("keyed.servers", &format!("metrics-{number}"), &entry);
        }
        record.add("another writer's entries appear: a service that isn't named, at the runners' addresses");
    }
    sleep_s(RECOVER_S + 8.0 - WRITTEN_AFTER_S);
    ended.set();
    judge(record, &sent.lock().unwrap(), fault_at, back_at)
}

/// Sends a request about every 200 ms.
fn call_repeatedly(
    user: usize,
    address: &str,
    record: &Record,
    sent: &Mutex<Vec<(f64, u16)>>,
    ended: &Ended,
) {
    for number in 0.. {
        if ended.is_set() {
            return;
        }
        let attempt = format!("{:016x}", user * 100_000 + number);
        let head = format!(
            "GET /look/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 2500\r\nConnection: close\r\n\r\n"
        );
        let at = record.add(format!("sent {attempt}"));
        let answer = request(address, &head, b"", Duration::from_millis(2_600));
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!("answered {attempt} {status}"));
        sent.lock().unwrap().push((at, status));
        sleep_s(0.2);
    }
}

fn judge(record: &Record, sent: &[(f64, u16)], fault_at: f64, back_at: f64) -> i32 {
    let share = |from: f64, to: f64| {
        let within: Vec<&(f64, u16)> =
            sent.iter().filter(|(at, _)| (from..to).contains(at)).collect();
        let served = within.iter().filter(|(_, status)| *status == 200).count();
        (served, within.len())
    };
    // Before the fault, from the start; after it, later than `recover_s` after the machines are back.
    let (before, all_before) = share(0.0, fault_at);
    let (after, all_after) = share(back_at + RECOVER_S, f64::INFINITY);
    let summary = format!(
        "{before} of {all_before} requests were served before the final fault, and {after} of {all_after} that were sent later than {RECOVER_S} s after the machines were back"
    );
    println!("{summary}");
    record.add(summary);
    match (4 * before >= all_before && before > 0 && all_after > 0, 4 * after < all_after) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}
