//! The platform's store is restored from an older copy: it loses what the processes wrote since, and gives
//! its offsets out again.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_platform::names;
use currantlink_standins::deployment::{Deployment, IDEMPOTENT, KEY, Process, Shape, wait_until};
use currantlink_standins::records::Health;
use harness::status_code;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Age of a copy from before the start of a deployment.
const BEFORE_START: Duration = Duration::from_secs(60);

/// Returns the fencing tokens with which each agent was elected, in order.
fn elections(deployment: &Deployment) -> Vec<Vec<u64>> {
    let tokens = |agent: &Process| {
        let log = std::fs::read_to_string(agent.log_path()).unwrap_or_default();
        let elected = log.lines().filter(|line| line.contains("elected leader of the group"));
        let token = |line: &str| {
            let text = line.split("fence=").nth(1)?.split_whitespace().next()?;
            text.parse().ok()
        };
        elected.filter_map(token).collect()
    };
    deployment.agents.iter().map(tokens).collect()
}

fn signal(process: &Process, signal: Signal) {
    kill(Pid::from_raw(process.id().unwrap() as i32), signal).unwrap();
}

/// Guards against two leaders with one fencing token, neither of which steps down: the offset of the
/// first one's claim is given out again.
#[tokio::test]
async fn lost_claim() {
    let shape = Shape { gateways: 0, ranks: 3, plain_backends: 0, ..Shape::default() };
    let (deployment, _directory) = harness::start(shape).await;
    // A change of the map needs all agents.
    let group = deployment.group.clone().unwrap();
    wait_until(|| async { group.rank(0).state.map_version > 0 }).await;
    let before = elections(&deployment);
    let token = before.iter().flatten().copied().max().unwrap();
    let first = before.iter().position(|tokens| tokens.contains(&token)).unwrap();
    let lost = deployment.records.restore(BEFORE_START);
    deployment.records.write_again(lost);
    signal(&deployment.agents[first], Signal::SIGSTOP);
    let successors = || {
        let after = elections(&deployment).into_iter().zip(&before);
        after.flat_map(|(after, before)| after[before.len()..].to_vec()).collect::<Vec<_>>()
    };
    wait_until(|| async { !successors().is_empty() }).await;
    signal(&deployment.agents[first], Signal::SIGCONT);
    let tokens = successors();
    assert!(tokens.iter().all(|&successor| successor > token), "{tokens:?} after {token}");
    let log = deployment.agents[first].log_path();
    let has_lost = || async {
        std::fs::read_to_string(&log).unwrap().contains("lost to an agent with a higher")
    };
    wait_until(has_lost).await;
}

/// Guards against a gateway that skips records, here an evacuation: after a restore, the log has grown past
/// the gateway's position before it reads again.
#[tokio::test]
async fn skipped_records() {
    let shape = Shape { plain_backends: 2, zones: &["b", "c"], ..Shape::default() };
    let (deployment, _directory) = harness::start_serving(shape).await;
    deployment.configure(2, &[KEY, "key-two"]);
    wait_until(|| async { status_code(&deployment, 0, "key-two").await == 200 }).await;
    deployment.records.set_health(Health::Busy);
    // The long poll of the gateway ends.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let lost = deployment.records.restore(BEFORE_START);
    let (operator, others) =
        lost.into_iter().partition(|(topic, _)| topic == names::OPERATOR_TOPIC);
    deployment.evacuate("c");
    deployment.records.write_again(operator);
    deployment.records.write_again(others);
    deployment.records.set_health(Health::Up);
    let evacuated = &deployment.plain_backends[1];
    let has_left = || async {
        let before = evacuated.arrivals();
        for _ in 0..20 {
            deployment.send_request("GET", IDEMPOTENT, "probe").await;
        }
        evacuated.arrivals() == before
    };
    wait_until(has_left).await;
}
