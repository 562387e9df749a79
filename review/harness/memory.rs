//! Clients upload bodies of the largest size that the configuration allows. Many come at once. The
//! script does what the platform does: it kills a process whose memory exceeds `memory_mb`, and starts
//! it again. Judged is the rule Fault.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const MEMORY_MB: u64 = 260;
const MAX_BODY_BYTES: usize = 4_194_304;
/// Uploads at once to each machine; a burst brings 1.7 times as many.
const USUAL: usize = 26;
const BURST_TENTHS: usize = 17;
const WAVES: usize = 8;
const WAVE_MS: u64 = 3_000;
const WORK_MS: u64 = 100;

fn resident_mb(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    // The size of a page, from the kernel's own accounting of this process.
    Some(pages * page_bytes() / (1 << 20))
}

fn page_bytes() -> u64 {
    static PAGE: Mutex<Option<u64>> = Mutex::new(None);
    *PAGE.lock().unwrap().get_or_insert_with(|| {
        let text = std::fs::read_to_string("/proc/self/smaps").unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("KernelPageSize:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(4) * 1_024
    })
}

fn main() {
    let record = Record::new(&case_folder());
    let folder = temporary_folder();
    let store = Store::default();
    let routes = [("once", "non_idempotent", "registry-api", false)];
    store.put("keyed.op", "config", config(7, &routes).as_bytes());
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let work: Work = Arc::new(|conn, _, headers| {
        sleep_ms(WORK_MS);
        conn.respond("200 OK", headers, b"{\"status\":\"stored\"}")
    });
    let start = |n| Runner::start(&store, "registry-api", &format!("i-{n:04}"), &arrivals, Arc::clone(&work));
    let runners: Vec<Runner> = (0..3).map(start).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut machines = Vec::new();
    for n in 1..=2 {
        let gateway = Gateway::start(&format!("front-{n}"), &folder, &store.path(), 8);
        gateway.wait_until_ready();
        let address = gateway.callers;
        let (ends, peak_mb) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (stop, record, ends_2, peak_2) =
            (Arc::clone(&stop), Arc::clone(&record), Arc::clone(&ends), Arc::clone(&peak_mb));
        // The platform: a process that exceeds its memory is killed, and started again.
        let platform = thread::spawn(move || {
            let mut gateway = gateway;
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(2);
                let Some(mb) = gateway.id().and_then(resident_mb) else { continue };
                peak_2.fetch_max(mb as usize, Ordering::SeqCst);
                if mb > MEMORY_MB {
                    gateway.signal("-KILL");
                    gateway.wait();
                    record.line(format!("{} exceeds its memory: {mb} MiB; killed", gateway.name));
                    ends_2.fetch_add(1, Ordering::SeqCst);
                    sleep_ms(300);
                    gateway.run();
                }
            }
        });
        machines.push((n, address, ends, peak_mb, platform));
    }
    sleep_ms(3_500);
    let count = if has_trouble() { USUAL * BURST_TENTHS / 10 } else { USUAL };
    let body = Arc::new(vec![b'x'; MAX_BODY_BYTES]);
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    for wave in 0..WAVES {
        let began = Instant::now();
        record.line(format!("{count} uploads of {MAX_BODY_BYTES} bytes to each machine"));
        let mut clients = Vec::new();
        for &(n, address, ..) in &machines {
            for k in 0..count {
                let (body, answers) = (Arc::clone(&body), Arc::clone(&answers));
                let attempt = format!("front-{n}-{wave}-{k:03}");
                clients.push(thread::spawn(move || {
                    let request = Request {
                        method: "POST",
                        path: "/once/2f",
                        attempt: &attempt,
                        deadline_ms: 2_500,
                        extra: "",
                        body: &body,
                    };
                    let status = send(address, &request);
                    answers.lock().unwrap().push((attempt, status));
                }));
            }
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        sleep_ms(WAVE_MS.saturating_sub(began.elapsed().as_millis() as u64));
    }
    stop.store(true, Ordering::SeqCst);
    let mut ends = Vec::new();
    let mut peaks = Vec::new();
    for (_, _, end, peak_mb, platform) in machines {
        let _ = platform.join();
        ends.push(end.load(Ordering::SeqCst));
        peaks.push(peak_mb.load(Ordering::SeqCst));
    }
    drop(runners);
    let (answers, arrivals) = (answers.lock().unwrap(), arrivals.lock().unwrap());
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let lost = answers.iter().filter(|(id, status)| {
        *status == 0 && arrivals.iter().any(|a| a.attempt == *id)
    }).count();
    for (attempt, status) in answers.iter() {
        let ran = arrivals.iter().filter(|a| a.attempt == *attempt).count();
        record.line(format!("{attempt}: the client got {status}, {ran} runs"));
    }
    let summary = format!(
        "{} uploads, {served} answered 200, {lost} ran and were never answered; processes over \
         {MEMORY_MB} MiB: {} times on front-1, {} times on front-2; peaks {} and {} MiB",
        answers.len(), ends[0], ends[1], peaks[0], peaks[1]);
    record.line(summary.clone());
    record.write();
    println!("{summary}");
    let _ = std::fs::remove_dir_all(&folder);
    if served == 0 {
        cannot_run("no upload was served");
    }
    // "on a tenth of the machines in use (two at least) processes end by themselves three times"
    finish(i32::from(ends.iter().all(|&times| times >= 3)));
}
