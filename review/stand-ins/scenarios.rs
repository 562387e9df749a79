// Scenarios of the cases, and the entry point: `sim SCENARIO PROGRAM RECORD`.
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

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
    let (program, run) = (PathBuf::from(program), Arc::clone(&record));
    let code = match scenario.as_str() {
        "held" => held(&program, &folder, run, &trouble),
        "two-leaders" => two_leaders(&program, &folder, run, &trouble),
        "weights" => weights(&program, &folder, run, &trouble),
        "heads" => heads(&program, &folder, run, &trouble),
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

/// Keeps the demand moving: every 2 s the experts of another rank are in demand.
fn keep_shifting(group: Arc<Group>, from_rank: usize) {
    thread::spawn(move || {
        for turn in 0.. {
            group.shift((from_rank + 5 * turn) % 12, 20.0);
            sleep_s(2.0);
        }
    });
}

/// The store comes back from a copy that is older than the claim of the leader. Later the leader's
/// process is killed just after it has held the group. Does the group go on?
fn held(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let (has_drill, has_kill) = (trouble == "1" || trouble == "drill", trouble == "1" || trouble == "kill");
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
    keep_shifting(Arc::clone(&deployment.group), 0);
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
        record.say(format!("SIGKILL of {}, which has just given the order to hold", deployment.agents[leader].name));
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
        record.say(format!("the group has been held for {:.1} s and makes no pass", held_for.as_secs_f64()));
    }
    let (step, version, highest) = deployment.group.position();
    record.say(format!("last pass {step}, version in use {}.{}, highest version of a rank {}.{}", version >> 20, version & 0xfffff, highest >> 20, highest & 0xfffff));
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
    let (has_drill, has_freeze) = (trouble == "1" || trouble == "drill", trouble == "1" || trouble == "freeze");
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
    keep_shifting(Arc::clone(&deployment.group), 0);
    sleep_s(RECOVER_S - 1.0);
    let from = record.now();
    while record.now() < woken + 75.0 {
        sleep_s(0.1);
    }
    let to = record.now();
    clients.stop();
    sleep_s(9.0);
    let (late, all_late) = clients.served(from, to);
    record.say(format!("sent later than recover_s after the machine woke: {late} of {all_late} served"));
    let mixed = deployment.group.mixed();
    let holds = deployment.group.holds();
    record.say(format!("the group was held {} times, {:.1} s in all, {:.1} s at most", holds.len(), holds.iter().sum::<f64>(), holds.iter().copied().fold(0.0, f64::max)));
    let (step, version, highest) = deployment.group.position();
    record.say(format!("last pass {step}, version in use {}.{}, highest version of a rank {}.{}", version >> 20, version & 0xfffff, highest >> 20, highest & 0xfffff));
    deployment.finish();
    if mixed.is_empty() && late * 4 >= all_late { HELD } else { BROKEN }
}

/// A client asks for weights that no runner has yet. Are the requests of other clients still served?
fn weights(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let mut deployment = Deployment::start(program, folder, Arc::clone(&record), 12, 2, FRONT);
    if !deployment.wait_ready(Duration::from_secs(10)) {
        record.say("gateways are not ready");
        return NOT_RUN;
    }
    sleep_s((3.0 - record.now()).max(0.0));
    deployment.group.form();
    let clients = Clients::start(deployment.callers.clone(), 30.0, Arc::clone(&record));
    sleep_s(5.0);
    let calm_from = record.now();
    sleep_s(6.0);
    let calm_to = record.now();
    sleep_s(4.0);
    for gateway in deployment.callers.clone() {
        let id = attempt_id();
        let more = if trouble == "0" { "X-Expect-Version: 1\r\n" } else { "X-Expect-Version: 2\r\n" };
        let answer = ask(gateway, &stream_head(&id, 4, more), b"body", Duration::from_secs(9));
        let answer = answer.map(|a| format!("{} {}", a.status, String::from_utf8_lossy(&a.body).lines().next().unwrap_or_default()));
        record.say(format!("client: {id} with {} to {gateway}: {answer:?}", more.trim_end()));
    }
    sleep_s(RECOVER_S);
    let from = record.now();
    sleep_s(25.0);
    let to = record.now();
    clients.stop();
    sleep_s(9.0);
    let (calm, all_calm) = clients.served(calm_from, calm_to);
    let (late, all_late) = clients.served(from, to);
    record.say(format!("before: {calm} of {all_calm} requests served; later than recover_s = {RECOVER_S} s after: {late} of {all_late}"));
    deployment.finish();
    if all_calm == 0 || calm * 4 < all_calm {
        return NOT_RUN;
    }
    if late * 4 < all_late { BROKEN } else { HELD }
}

/// A crowd of clients that nobody controls sends requests whose heads are as large as the limits allow, and
/// stops just short of the end of each body. Does the process stay within the memory of its machine?
fn heads(program: &Path, folder: &Path, record: Arc<Record>, trouble: &str) -> i32 {
    let front = Machine { memory_mb: 112, max_fds: 2_870, link_mbps: 28.0 };
    let mut deployment = Deployment::start(program, folder, Arc::clone(&record), 3, 1, front);
    if !deployment.wait_ready(Duration::from_secs(10)) {
        return NOT_RUN;
    }
    sleep_s(2.0);
    let crowd: usize = std::env::var("CROWD").ok().and_then(|v| v.parse().ok()).unwrap_or(940);
    let id_bytes = if trouble == "0" { 16 } else { 15_800 };
    let gateway = deployment.callers[0];
    let before = deployment.gateways[0].status_kb("VmRSS").unwrap_or(0);
    let mut open = Vec::new();
    for index in 0..crowd {
        let id = format!("{index:016x}{}", "a".repeat(id_bytes - 16));
        let head = format!(
            "POST /book/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 600\r\n\r\n"
        );
        let Ok(mut stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)) else { break };
        if stream.write_all(&[head.as_bytes(), &[b'x'; 599]].concat()).is_err() {
            break;
        }
        open.push(stream);
    }
    record.say(format!("{} connections with heads of {} bytes and bodies that lack their last byte", open.len(), id_bytes + 170));
    let mut peak = 0;
    for _ in 0..40 {
        sleep_s(0.1);
        peak = peak.max(deployment.gateways[0].status_kb("VmRSS").unwrap_or(0));
    }
    let high = deployment.gateways[0].status_kb("VmHWM").unwrap_or(0);
    record.say(format!("gateway: {before} kB before, {peak} kB at most while they stay open, high-water mark {high} kB; its machine has {} kB", front.memory_mb << 10));
    drop(open);
    let has_ended = deployment.gateways[0].has_ended();
    deployment.finish();
    if has_ended || high > front.memory_mb << 10 { BROKEN } else { HELD }
}
