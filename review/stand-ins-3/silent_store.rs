//! Case "silent connections to the store": the open connections of all 20 gateways to the store go silent
//! shortly after a change of the configuration; then a key is taken away.

#[allow(dead_code)]
#[path = "platform.rs"]
mod platform;

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{
    Ended, GatewaySettings, Processes, Proxy, Record, Runner, Standing, Store, USUAL_EVENTS,
    free_ports, has_trouble, request, wait_ready,
};

/// Number of `front` machines of zpr-currant-grown, and its bounds.
const GATEWAYS: usize = 20;
const CONFIG_APPLY_S: f64 = 3.0;
const STABLE_WINDOW_S: f64 = 4.0;
/// Time that is added before machines count as in touch, since the connections go silent one after the
/// other. The bench counts half a second.
const SETTLE_S: f64 = 0.6;
const FIGURES: &str = "\"drain_ms\":3000,\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":185,\
    \"retry_window_s\":10,\"memory_mb\":512,\"max_fds\":8192,\"link_mbps\":200,\"store_reads_per_s\":6000";

fn config(version: u64, extra_route: bool, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"shopdesk\",\"attempts\":2,\"public\":false}}"
        )
    };
    let mut routes = vec![route("order-look", "/look/")];
    if extra_route {
        routes.push(route("order-list", "/list/"));
    }
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"shopdesk\",\
         \"health_path\":\"/health\",\"max_connections\":323,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"florist\",\"api_keys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
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
    let (proxy, proxy_address) = Proxy::start("127.0.0.1:0", store_address);
    for (index, zone) in ["riga-a", "riga-b", "riga-c"].iter().enumerate() {
        let (id, service) = (format!("i-{index:08x}"), "shopdesk".to_owned());
        let runner = Runner {
            id,
            service,
            zone: (*zone).to_owned(),
            slots: 6,
            work: Duration::from_millis(5),
            weights: None,
            events: USUAL_EVENTS,
            standing: Standing::default(),
        };
        runner.start("127.0.0.1:0", &store, record);
    }
    store.put("keyed.op", "config", &config(1, false, &["key-kept", "key-revoked"]));
    let mut processes = Processes::new(0);
    let ports = free_ports("127.0.0.1", 3);
    let ips: Vec<String> = (0..GATEWAYS).map(|index| format!("127.0.1.{}", index + 1)).collect();
    for (index, ip) in ips.iter().enumerate() {
        let zone = ["riga-a", "riga-b", "riga-c"][index % 3];
        processes.start_gateway(&GatewaySettings {
            name: &format!("front-{zone}-{index}"),
            zone,
            ip,
            front_port: ports[0],
            ready_port: ports[1],
            link_port: ports[2],
            store: &proxy_address,
            figures: FIGURES,
        });
    }
    if !ips.iter().all(|ip| wait_ready(&format!("{ip}:{}", ports[1]), Duration::from_secs(15))) {
        record.add("a gateway did not become ready");
        return 2;
    }
    record.add(format!("{GATEWAYS} gateways are ready"));
    // Processes that start together have told each other of themselves after 10 s.
    sleep_s(12.0);

    let ended = Ended::default();
    let sent = Arc::new(Mutex::new(HashMap::new()));
    let callers: Vec<_> = (0..GATEWAYS)
        .map(|index| {
            let (address, ended) = (format!("{}:{}", ips[index], ports[0]), ended.clone());
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            thread::spawn(move || call_repeatedly(index, &address, &record, &sent, &ended))
        })
        .collect();
    sleep_s(1.0);

    store.put("keyed.op", "config", &config(2, true, &["key-kept", "key-revoked"]));
    record.add("store acknowledges version 2: a route is added");
    sleep_s(0.4);
    let silent_at = match has_trouble() {
        true => {
            proxy.silence_open_connections();
            record.add("all open connections to the store go silent; new ones work")
        }
        false => record.add("no disruption"),
    };
    sleep_s(0.5);
    store.put("keyed.op", "config", &config(3, true, &["key-kept"]));
    let acked_at = record.add("store acknowledges version 3: key-revoked is taken away");
    let bound_at = (acked_at + CONFIG_APPLY_S).max(silent_at + SETTLE_S + STABLE_WINDOW_S);
    sleep_s(9.0);
    ended.set();
    for caller in callers {
        let _ = caller.join();
    }
    if !processes.all_run() {
        record.add("a gateway has ended");
    }
    judge(record, &sent.lock().unwrap(), acked_at, bound_at)
}

/// Sends a request with the key that is revoked every 100 ms.
fn call_repeatedly(
    gateway: usize,
    address: &str,
    record: &Record,
    sent: &Mutex<HashMap<String, (f64, u16)>>,
    ended: &Ended,
) {
    for number in 0.. {
        if ended.is_set() {
            return;
        }
        let attempt = format!("{:016x}", gateway * 100_000 + number);
        let head = format!(
            "GET /look/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 2500\r\nAuthorization: Bearer key-revoked\r\nConnection: close\r\n\r\n"
        );
        let at = record.add(format!("sent {attempt} to gateway {gateway} with key-revoked"));
        let answer = request(address, &head, b"", Duration::from_millis(2_600));
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!("answered {attempt} {status}"));
        sent.lock().unwrap().insert(attempt, (at, status));
        sleep_s(0.1);
    }
}

fn judge(record: &Record, sent: &HashMap<String, (f64, u16)>, acked_at: f64, bound_at: f64) -> i32 {
    let served_before =
        sent.values().filter(|(at, status)| *at < acked_at - 0.5 && *status == 200).count();
    let late: Vec<(&String, f64)> = sent
        .iter()
        .filter(|(_, (at, status))| *at > bound_at && *status == 200)
        .map(|(id, s)| (id, s.0))
        .collect();
    let refused = sent.values().filter(|(at, status)| *at > bound_at && *status == 401).count();
    let last = late.iter().map(|(_, at)| *at - acked_at).fold(0.0, f64::max);
    let gateways: HashSet<usize> = late
        .iter()
        .filter_map(|(id, _)| usize::from_str_radix(id, 16).ok())
        .map(|number| number / 100_000)
        .collect();
    let summary = format!(
        "{served_before} served before; requests sent later than {:.1} s after the acknowledgement, by machines \
         in touch: {} run with the revoked key at {} gateways, the last one sent {last:.1} s after it; {refused} \
         refused with 401",
        bound_at - acked_at,
        late.len(),
        gateways.len()
    );
    println!("{summary}");
    record.add(summary);
    match (served_before, late.len(), refused) {
        (0, ..) => 2,
        (_, 0, 0) => 2,
        (_, 0, _) => 0,
        _ => 1,
    }
}
