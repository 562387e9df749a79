//! Scenarios of the review's scripts: `sim SCENARIO PROGRAM RECORD`. Standard library only.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod platform;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use platform::{
    Clients, Deployment, Group, HOST, KEY, Machine, Record, SIGCONT, SIGSTOP, SIGTERM, ask,
    attempt_id, connect_small_window, lock, parse_answer, plain_head, stream_head,
};

const BROKEN: i32 = 1;
const HELD: i32 = 0;
const NOT_RUN: i32 = 2;

/// Machine of a gateway of the first deployments.
const FRONT: Machine = Machine { memory_mb: 260, max_fds: 4_100, link_mbps: 1_000.0 };
/// `recover_s` of the first deployments.
const RECOVER_S: f64 = 12.0;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, program, record_path] = args.as_slice() else {
        eprintln!("usage: sim SCENARIO PROGRAM RECORD");
        std::process::exit(NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let folder = std::env::temp_dir().join(format!("review-2-{scenario}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("no temporary folder: {error}");
        std::process::exit(NOT_RUN);
    }
    let record = Record::new();
    record.say(format!("scenario {scenario}, TROUBLE={trouble}"));
    let (timed, path) = (Arc::clone(&record), PathBuf::from(record_path));
    // The processes end with this one.
    thread::spawn(move || {
        sleep_s(118.0);
        timed.say("result: the case could not run in time");
        timed.write(&path);
        std::process::exit(NOT_RUN);
    });
    let (program, run) = (PathBuf::from(program), Arc::clone(&record));
    let code = match scenario.as_str() {
        "held" => held(&program, &folder, run, &trouble),
        "two-leaders" => two_leaders(&program, &folder, run, &trouble),
        "weights" => weights(&program, &folder, run, &trouble),
        "heads" => heads(&program, &folder, run, &trouble),
        "slow-readers" => slow_readers(&program, &folder, run, &trouble),
        _ => NOT_RUN,
    };
    record.say(match code {
        BROKEN => "result: the rule was broken",
        HELD => "result: the rule held",
        _ => "result: the case could not run",
    });
    record.write(Path::new(record_path));
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(code);
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Moves the demand as `expert_shift` with `count` = 11, `gap_s` = 3.5 and a share of 0.67 does.
fn keep_shifting(group: Arc<Group>) {
    thread::spawn(move || {
        for turn in 0..11 {
            group.shift(5 * turn % 12, 20.0);
            sleep_s(3.5);
        }
    });
}

/// The store comes back from a copy that is older than the claim of the leader. Later the leader's
/// process is killed just after it has held the group. Does the group go on?
fn held(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let (has_drill, has_kill) =
        (trouble == "1" || trouble == "drill", trouble == "1" || trouble == "kill");
    let mut deployment = Deployment::start(program, folder, Arc::clone(&record), 12, 2, FRONT);
    if !deployment.wait_ready(Duration::from_secs(10)) {
        record.say("gateways are not ready");
        return NOT_RUN;
    }
    sleep_s((3.0 - record.now()).max(0.0));
    deployment.group.form();
    let clients = Clients::start(deployment.callers.clone(), 30.0, Arc::clone(&record));
    let mut waited = 0;
    while deployment.store.newest("currantlink-leaders").0 == 0 {
        sleep_s(0.05);
        waited += 1;
        if waited > 200 {
            record.say("no agent claims leadership");
            return NOT_RUN;
        }
    }
    let copy_at = Instant::now() - Duration::from_millis(150);
    keep_shifting(Arc::clone(&deployment.group));
    if !deployment.wait_map_change(Duration::from_secs(10)) {
        record.say("no change of the map");
        return NOT_RUN;
    }
    sleep_s(1.0);
    if has_drill {
        let kept = deployment.store.newest("currantlink-leaders").1;
        if kept.is_none_or(|at| at <= copy_at) {
            record.say("the claim is older than the copy");
            return NOT_RUN;
        }
        deployment.store.drill(copy_at, Duration::from_secs(1));
    }
    let calm_from = record.now();
    sleep_s(8.0);
    let calm_to = record.now();
    let leader = deployment.leader().unwrap_or(0);
    let (sender, holds) = channel();
    *lock(&deployment.group.on_hold) = Some(sender);
    if holds.recv_timeout(Duration::from_secs(10)).is_err() {
        record.say("the leader does not hold the group");
        return NOT_RUN;
    }
    if has_kill {
        deployment.agents[leader].kill();
        record.say(format!(
            "SIGKILL of {}, which has just given the order to hold",
            deployment.agents[leader].name
        ));
        sleep_s(1.0);
        deployment.agents[leader].start();
        record.say(format!("{} started again", deployment.agents[leader].name));
    }
    let back = record.now();
    sleep_s(RECOVER_S);
    let from = record.now();
    sleep_s(20.0);
    let to = record.now();
    clients.stop();
    sleep_s(9.0);
    let (calm, all_calm) = clients.served(calm_from, calm_to);
    let (late, all_late) = clients.served(from, to);
    record.say(format!("before the kill: {calm} of {all_calm} requests served"));
    record.say(format!("sent later than recover_s = {RECOVER_S} s after the machines are back (at {back:.1}): {late} of {all_late} served"));
    if let Some(held_for) = deployment.group.held_for() {
        record.say(format!(
            "the group has been held for {:.1} s and makes no pass",
            held_for.as_secs_f64()
        ));
    }
    let (step, version, highest) = deployment.group.position();
    record.say(format!(
        "{} orders were refused with 409",
        deployment.group.refusals.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "last pass {step}, version in use {}.{}, highest version of a rank {}.{}",
        version >> 20,
        version & 0xfffff,
        highest >> 20,
        highest & 0xfffff
    ));
    deployment.finish();
    if all_calm == 0 || calm * 4 < all_calm {
        record.say("too little was served before the kill");
        return NOT_RUN;
    }
    if late * 4 < all_late { BROKEN } else { HELD }
}

/// The store comes back from a copy that is older than the claim of the leader. Then the leader's
/// machine freezes for 3 s and wakes. Does a pass begin while two ranks have different maps?
fn two_leaders(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let (has_drill, has_freeze) =
        (trouble == "1" || trouble == "drill", trouble == "1" || trouble == "freeze");
    let mut deployment = Deployment::start(program, folder, Arc::clone(&record), 12, 2, FRONT);
    if !deployment.wait_ready(Duration::from_secs(10)) {
        record.say("gateways are not ready");
        return NOT_RUN;
    }
    sleep_s((3.0 - record.now()).max(0.0));
    deployment.group.form();
    let clients = Clients::start(deployment.callers.clone(), 30.0, Arc::clone(&record));
    let mut waited = 0;
    while deployment.store.newest("currantlink-leaders").0 == 0 {
        sleep_s(0.05);
        waited += 1;
        if waited > 200 {
            return NOT_RUN;
        }
    }
    let copy_at = Instant::now() - Duration::from_millis(150);
    sleep_s(3.0);
    if has_drill {
        deployment.store.drill(copy_at, Duration::from_secs(1));
    }
    sleep_s(2.0);
    let leader = deployment.leader().unwrap_or(0);
    if has_freeze {
        deployment.agents[leader].signal(SIGSTOP);
        record.say(format!("{} freezes", deployment.agents[leader].name));
        sleep_s(3.0);
        deployment.agents[leader].signal(SIGCONT);
        record.say(format!("{} wakes", deployment.agents[leader].name));
    }
    let woken = record.now();
    sleep_s(1.0);
    keep_shifting(Arc::clone(&deployment.group));
    sleep_s(RECOVER_S - 1.0);
    let from = record.now();
    while record.now() < woken + 75.0 {
        sleep_s(0.1);
    }
    let to = record.now();
    clients.stop();
    sleep_s(9.0);
    let (late, all_late) = clients.served(from, to);
    record.say(format!(
        "sent later than recover_s after the machine woke: {late} of {all_late} served"
    ));
    if let Some(held_for) = deployment.group.held_for() {
        record.say(format!(
            "the group has been held for {:.1} s and makes no pass",
            held_for.as_secs_f64()
        ));
    }
    let mixed = deployment.group.mixed();
    let holds = deployment.group.holds();
    record.say(format!(
        "the group was held {} times, {:.1} s in all, {:.1} s at most",
        holds.len(),
        holds.iter().sum::<f64>(),
        holds.iter().copied().fold(0.0, f64::max)
    ));
    let (step, version, highest) = deployment.group.position();
    record.say(format!(
        "{} orders were refused with 409",
        deployment.group.refusals.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "last pass {step}, version in use {}.{}, highest version of a rank {}.{}",
        version >> 20,
        version & 0xfffff,
        highest >> 20,
        highest & 0xfffff
    ));
    deployment.finish();
    if mixed.is_empty() && late * 4 >= all_late { HELD } else { BROKEN }
}

/// The runners load new weights one after the other, while a few requests are bound to the old ones. Are the
/// requests without such a wish still served afterwards?
fn weights(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let mut deployment = Deployment::start(program, folder, Arc::clone(&record), 12, 2, FRONT);
    if !deployment.wait_ready(Duration::from_secs(10)) {
        record.say("gateways are not ready");
        return NOT_RUN;
    }
    sleep_s((3.0 - record.now()).max(0.0));
    deployment.group.form();
    let clients = Clients::start(deployment.callers.clone(), 30.0, Arc::clone(&record));
    let (gateways, bound, has_ended) =
        (deployment.callers.clone(), Arc::clone(&record), Arc::new(AtomicBool::new(false)));
    let ended = Arc::clone(&has_ended);
    // One request a second is bound to version 1 of the weights, beside 30 that take any.
    thread::spawn(move || {
        for turn in 0usize.. {
            sleep_s(1.0);
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let (gateway, id) = (gateways[turn % gateways.len()], attempt_id());
            let head = stream_head(&id, 4, "X-Expect-Version: 1\r\n");
            let bound = Arc::clone(&bound);
            thread::spawn(move || {
                let answer = ask(gateway, &head, b"body", Duration::from_millis(8_500));
                let answer = answer.map(|a| {
                    format!(
                        "{} {}",
                        a.status,
                        String::from_utf8_lossy(&a.body).lines().next().unwrap_or_default()
                    )
                });
                bound.add(format!("client: bound {id} to {gateway}: {answer:?}"));
            });
        }
    });
    sleep_s(5.0);
    let calm_from = record.now();
    sleep_s(6.0);
    let calm_to = record.now();
    sleep_s(4.0);
    if trouble != "0" {
        for rank in 0..12 {
            deployment.group.update_weights(rank);
            record.say(format!("runner i-model{rank:02} has version 2 of the weights"));
            sleep_s(1.0);
        }
    }
    sleep_s(RECOVER_S);
    let from = record.now();
    sleep_s(25.0);
    let to = record.now();
    clients.stop();
    has_ended.store(true, Ordering::Relaxed);
    sleep_s(9.0);
    let (calm, all_calm) = clients.served(calm_from, calm_to);
    let (late, all_late) = clients.served(from, to);
    let count = |kind| {
        let outcomes = lock(&clients.outcomes);
        let sent =
            outcomes.iter().filter(|o| o.kind == kind && o.sent_at >= from && o.sent_at < to);
        sent.fold((0, 0), |(served, all), o| (served + usize::from(o.is_served()), all + 1))
    };
    record.say(format!("requests that take any weights, before: {calm} of {all_calm} served; later than recover_s = {RECOVER_S} s after: {late} of {all_late}"));
    record.say(format!("of these, streams: {:?}, plain: {:?}", count("stream"), count("plain")));
    deployment.finish();
    if all_calm == 0 || calm * 4 < all_calm {
        return NOT_RUN;
    }
    if late * 4 < all_late { BROKEN } else { HELD }
}

/// Length of the bodies of the crowd.
const BODY: usize = 12_000;
/// Number of connections of the crowd.
const CROWD: usize = 900;
/// Number of times that the crowd comes to each gateway.
const VISITS: usize = 3;

/// Opens the connections of the crowd. Each sends one request without the last byte of its body, and stays open.
fn open_crowd(gateway: SocketAddr, id_bytes: usize) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for index in 0..CROWD {
        let id = format!("{index:016x}{}", "a".repeat(id_bytes - 16));
        let head = format!(
            "POST /book/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {BODY}\r\n\r\n"
        );
        let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)) else {
            break;
        };
        if stream.write_all(&[head.as_bytes(), &[b'x'; BODY - 1]].concat()).is_err() {
            break;
        }
        open.push(stream);
    }
    open
}

/// A crowd of clients that nobody controls sends requests whose heads are as large as the limits allow, and
/// stops just short of the end of each body. The platform kills a process that exceeds the memory of its
/// machine, and starts it again. How often do the gateways end?
fn heads(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let front = Machine { memory_mb: 112, max_fds: 2_870, link_mbps: 28.0 };
    let mut deployment = Deployment::start(program, folder, Arc::clone(&record), 3, 2, front);
    if !deployment.wait_ready(Duration::from_secs(10)) {
        record.say("gateways are not ready");
        return NOT_RUN;
    }
    sleep_s(2.0);
    let id_bytes = if trouble == "0" { 16 } else { 15_800 };
    let mut ends = vec![0; deployment.gateways.len()];
    for visit in 1..=VISITS {
        for index in 0..deployment.gateways.len() {
            let address = deployment.callers[index];
            let crowd = open_crowd(address, id_bytes);
            if crowd.len() < CROWD / 2 {
                record.say(format!("only {} connections could be opened", crowd.len()));
                return NOT_RUN;
            }
            let id = attempt_id();
            let answer = ask(address, &plain_head(&id, 4), b"body", Duration::from_secs(3))
                .map(|a| a.status);
            record.add(format!("client: ordinary {id}: {answer:?}"));
            let mut peak_kb = 0;
            for _ in 0..30 {
                peak_kb = peak_kb.max(deployment.gateways[index].status_kb("VmRSS").unwrap_or(0));
                if peak_kb > front.memory_mb << 10 {
                    break;
                }
                sleep_s(0.05);
            }
            let gateway = &mut deployment.gateways[index];
            let is_over = peak_kb > front.memory_mb << 10 || gateway.has_ended();
            record.say(format!(
                "visit {visit} to {}: {} connections, heads of {} bytes, bodies of {BODY} bytes without the last one: {peak_kb} kB of {} kB{}",
                gateway.name,
                crowd.len(),
                id_bytes + 172,
                front.memory_mb << 10,
                if is_over { ": over the limit, killed by the platform" } else { "" }
            ));
            if is_over {
                ends[index] += 1;
                gateway.kill();
                sleep_s(0.5);
                gateway.start();
            }
            drop(crowd);
            if !deployment.wait_ready(Duration::from_secs(10)) {
                record.say("a gateway is not ready again");
                return NOT_RUN;
            }
            sleep_s(1.0);
        }
    }
    record.say(format!("ends of the gateways by themselves (memory over the limit): {ends:?}"));
    deployment.finish();
    if ends.iter().filter(|&&count| count >= 3).count() >= 2 { BROKEN } else { HELD }
}

/// Number of callers that read slowly.
const READERS: usize = 8;

/// Callers read their answers slowly: each waits for 4 s before it reads on. Their gateway is stopped as planned
/// meanwhile. Does each of them get its whole answer?
fn slow_readers(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let (is_slow, has_stop) = (trouble != "0", trouble != "slow");
    let mut deployment = Deployment::start(program, folder, Arc::clone(&record), 3, 2, FRONT);
    if !deployment.wait_ready(Duration::from_secs(10)) {
        record.say("gateways are not ready");
        return NOT_RUN;
    }
    sleep_s(3.0);
    let gateway = deployment.callers[0];
    let readers: Vec<_> = (0..READERS)
        .map(|_| {
            let record = Arc::clone(&record);
            thread::spawn(move || slow_reader(gateway, is_slow, &record))
        })
        .collect();
    sleep_s(0.5);
    if has_stop {
        deployment.gateways[0].signal(SIGTERM);
        record.say("SIGTERM of front-00, whose grace_s is 8");
    }
    let complete = readers.into_iter().filter_map(|reader| reader.join().ok().flatten());
    let complete: Vec<bool> = complete.collect();
    let lost = complete.iter().filter(|&&is_complete| !is_complete).count();
    record.say(format!("{lost} of {} answers were not complete", complete.len()));
    if let Some(line) = deployment.gateways[0].log_lines("gateway stopped").pop() {
        record.say(format!("log of front-00: {line}"));
    }
    deployment.finish();
    match complete.len() {
        READERS if lost > 0 => BROKEN,
        READERS => HELD,
        _ => NOT_RUN,
    }
}

/// Sends two requests on one connection, the second one 0.2 s before it stops reading for a while. Returns
/// whether the answer to the second one is complete, or `None` if the first one failed.
fn slow_reader(gateway: SocketAddr, is_slow: bool, record: &Record) -> Option<bool> {
    let mut stream = connect_small_window(gateway).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let (mut buffer, mut bytes) = (vec![0; 4_096], Vec::new());
    let mut id = attempt_id();
    for turn in 0..2 {
        id = attempt_id();
        bytes.clear();
        let head = plain_head(&id, 4)
            .replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 8000")
            .replace("/book/", "/sign/");
        stream.write_all(&[head.as_bytes(), b"body"].concat()).ok()?;
        record.add(format!("client: {id} sent on a kept connection"));
        if turn == 1 && is_slow {
            sleep_s(4.0);
        }
        while parse_answer(&bytes).is_none() {
            match stream.read(&mut buffer) {
                Ok(len) if len > 0 => bytes.extend_from_slice(&buffer[..len]),
                end => {
                    record.say(format!("client: {id} got {} bytes, then {end:?}", bytes.len()));
                    return (turn == 1).then_some(false);
                }
            }
        }
    }
    let answer = parse_answer(&bytes)?;
    record.say(format!("client: {id} got {} and {} bytes", answer.status, answer.body.len()));
    Some(answer.status == 200 && answer.body.starts_with(id.as_bytes()))
}
