//! Expert map changes of a group with real sides: all ranks use the same map in each step, even if
//! sides are killed.
#![allow(clippy::unwrap_used)]

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{System, Topology, until};
use currantlink_standins::engine::Group;

const EXPERTS: usize = 16;
const FEED_INTERVAL_MS: u64 = 10;

/// Reports increasing token counts in which one expert is hot; the hot expert changes periodically.
async fn feed(group: Group, backends: usize, stop: Arc<AtomicBool>) {
    let mut counts = vec![0_u64; EXPERTS];
    for round in 0_u64.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let hot = (round / 200) as usize % EXPERTS;
        for (expert, count) in counts.iter_mut().enumerate() {
            *count += if expert == hot { 4_000 } else { 100 + (round * 7 + expert as u64) % 13 };
        }
        for backend in 0..backends {
            group.set_expert_tokens(backend, vec![counts.clone()]);
        }
        tokio::time::sleep(Duration::from_millis(FEED_INTERVAL_MS)).await;
    }
}

async fn system(backends: usize) -> (System, Group, Arc<AtomicBool>) {
    let shape = Topology { engines: backends, plain: 0, ..Topology::default() };
    let system = System::start(shape).await;
    let group = system.group.clone().unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    tokio::spawn(feed(group.clone(), backends, Arc::clone(&stop)));
    (system, group, stop)
}

fn version(group: &Group) -> u64 {
    group.record().map_versions.iter().copied().max().unwrap_or(0)
}

async fn settle(group: &Group, stop: &AtomicBool) {
    stop.store(true, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = group.record().step;
    until("the group steps", || group.record().step > before).await;
    let record = group.record();
    assert_eq!(record.mixed_steps, Vec::<u64>::new());
    assert_eq!(record.held, 0, "{record:?}");
    assert!(record.map_versions.windows(2).all(|pair| pair[0] == pair[1]), "{record:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hot_expert() {
    let (_system, group, stop) = system(3).await;
    until("a first change", || version(&group) >= 1).await;
    settle(&group, &stop).await;
    let record = group.record();
    println!("{} steps missed by {} changes", record.missed_steps, version(&group));
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_sides() {
    let (mut system, group, stop) = system(3).await;
    until("a first change", || version(&group) >= 1).await;
    for round in 0..6 {
        let side = round % 3;
        tokio::time::sleep(Duration::from_millis(40 + 37 * round as u64)).await;
        system.sides[side].kill();
        tokio::time::sleep(Duration::from_millis(100)).await;
        system.sides[side].start();
    }
    system.wait_ready().await;
    settle(&group, &stop).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_leader() {
    let (mut system, group, stop) = system(3).await;
    until("a hold", || group.record().held > 0).await;
    system.sides[0].kill();
    // A change requires the promises of all sides, so the group waits for the restarted process.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(group.record().mixed_steps, Vec::<u64>::new());
    system.sides[0].start();
    until("the group is released", || group.record().held == 0).await;
    system.wait_ready().await;
    settle(&group, &stop).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_leader() {
    use nix::sys::signal::Signal;
    let (system, group, stop) = system(3).await;
    until("a hold", || group.record().held > 0).await;
    system.sides[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    system.sides[0].signal(Signal::SIGCONT);
    until("the group is released", || group.record().held == 0).await;
    settle(&group, &stop).await;
}
