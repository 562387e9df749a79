//! Case "pinned weights": one client names the version of the weights that it knows; the runners are replaced
//! by ones with other weights, and all processes are killed.

#[allow(dead_code)]
#[path = "platform.rs"]
mod platform;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{
    Ended, GatewaySettings, Processes, Record, Runner, Standing, Store, USUAL_EVENTS, free_ports,
    has_trouble, request, wait_ready,
};

/// Machines and bounds of faelles-clear.
const GATEWAYS: usize = 5;
const RUNNERS: usize = 12;
const DRAIN_S: f64 = 2.0;
const RECOVER_S: f64 = 12.0;
const DOWN_S: f64 = 1.2;
const FIGURES: &str = "\"drain_ms\":2000,\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":92,\
    \"retry_window_s\":10,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000,\"store_reads_per_s\":2000";
const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"work-match\",\"host\":\"clear.example\",\
    \"path_prefix\":\"/match/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":400,\
    \"priority\":1,\"service\":\"clear-llm\",\"attempts\":2,\"public\":true,\"sticky\":true,\"resumable\":true,\
    \"gap_target_ms\":120}],\"services\":[{\"name\":\"clear-llm\",\"health_path\":\"/health\",\
    \"max_connections\":258,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":12,\"kv_tokens\":494000,\
    \"stride\":5,\"models\":[{\"name\":\"m\"}],\"step_ms\":4.84,\"per_seq_ms\":1.09,\"read_per_s\":74800.0,\
    \"usual\":{\"prompt\":835,\"answer\":97}}}],\"limits\":{\"max_header_bytes\":16384,\
    \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
const ZONES: [&str; 3] = ["ballerup", "glostrup", "taastrup"];

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

fn start_runner(number: usize, weights: u32, store: &Store, record: &Record) -> Standing {
    let standing = Standing::default();
    let runner = Runner {
        id: format!("i-{number:08x}"),
        service: "clear-llm".to_owned(),
        zone: ZONES[number % 3].to_owned(),
        slots: 12,
        work: Duration::from_millis(20),
        weights: Some(weights),
        events: USUAL_EVENTS,
        standing: standing.clone(),
    };
    runner.start("127.0.0.1:0", store, record);
    standing
}

fn run(record: &Record) -> i32 {
    let (store, store_address) = Store::start("127.0.0.1:0");
    let mut old: Vec<Standing> =
        (0..RUNNERS).map(|number| start_runner(number, 1, &store, record)).collect();
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
        for user in 0..3 {
            let (address, record, sent, ended) =
                (address.clone(), record.clone(), Arc::clone(&sent), ended.clone());
            thread::spawn(move || {
                call_repeatedly(index * 10 + user, &address, &record, Some(&sent), &ended)
            });
        }
        // The client that names a version: its connections go to each gateway in turn.
        let (record, ended) = (record.clone(), ended.clone());
        thread::spawn(move || call_repeatedly(index * 10 + 9, &address, &record, None, &ended));
    }
    sleep_s(6.0);
    if has_trouble() {
        // 45 in 100 of the runners at a time, two each second; the new one starts first.
        for (batch, count) in [5, 5, 2].into_iter().enumerate() {
            for number in 0..count {
                start_runner(100 + batch * 10 + number, 2, &store, record);
                let standing = old.remove(0);
                standing.drain();
                thread::spawn(move || {
                    sleep_s(DRAIN_S + 1.0);
                    standing.remove();
                });
                sleep_s(0.5);
            }
            record.add(format!(
                "release {batch}: {count} runners are replaced by ones with weights of version 2"
            ));
        }
        sleep_s(DRAIN_S + 2.0);
    }
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
    sleep_s(RECOVER_S + 8.0);
    ended.set();
    judge(record, &sent.lock().unwrap(), fault_at, back_at)
}

/// Sends a request about every 200 ms; with a version each second, if `sent` is none.
fn call_repeatedly(
    user: usize,
    address: &str,
    record: &Record,
    sent: Option<&Mutex<Vec<(f64, u16)>>>,
    ended: &Ended,
) {
    for number in 0.. {
        if ended.is_set() {
            return;
        }
        let attempt = format!("{:016x}", user * 100_000 + number);
        let version = if sent.is_none() { "X-Expect-Version: 1\r\n" } else { "" };
        let body = format!("prompt {attempt}");
        let head = format!(
            "POST /match/{number} HTTP/1.1\r\nHost: clear.example\r\nX-Attempt-Id: {attempt}\r\n{version}\
             X-Model: m\r\nX-Token-Count: 700,80\r\nX-Prompt-Prefix: 5c1e07a2:40,{user:08x}:660\r\n\
             X-Deadline-Ms: 8000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let at = record.add(format!("sent {attempt} {}", version.trim_end()));
        let answer = request(address, &head, body.as_bytes(), Duration::from_millis(8_000));
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!("answered {attempt} {status}"));
        match sent {
            Some(sent) => {
                sent.lock().unwrap().push((at, status));
                sleep_s(0.2);
            }
            None => sleep_s(1.0),
        }
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
        "of the requests that name no version, {before} of {all_before} were served before the final fault, and {after} \
         of {all_after} that were sent later than {RECOVER_S} s after the machines were back"
    );
    println!("{summary}");
    record.add(summary);
    match (4 * before >= all_before && before > 0 && all_after > 0, 4 * after < all_after) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}
