//! Planned stops of agents in the middle of a map change.

#![allow(clippy::unwrap_used)]

mod harness;

use std::time::Duration;

use currantlink_standins::deployment::{Deployment, Process, STREAM, Shape, wait_until};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

const RANKS: u32 = 3;
const HOLD_TIMEOUT: Duration = Duration::from_secs(20);

fn is_held(deployment: &Deployment) -> bool {
    let group = deployment.group.as_ref().unwrap();
    (0..RANKS as usize).any(|rank| group.rank(rank).state.held_step.is_some())
}

fn is_leader(agent: &Process) -> bool {
    let log = std::fs::read_to_string(agent.log_path()).unwrap_or_default();
    log.contains("\"elected leader of the group\"")
}

/// Starts a group and waits until a change of its map holds it.
async fn start_held() -> (Deployment, TempDir) {
    let shape = Shape { ranks: RANKS, plain_backends: 0, ..Shape::default() };
    let (deployment, directory) = harness::start(shape).await;
    let holding = async {
        while !is_held(&deployment) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(HOLD_TIMEOUT, holding).await.unwrap();
    (deployment, directory)
}

/// Stops agents and waits until they have ended.
async fn stop(agents: Vec<Process>) {
    for agent in &agents {
        kill(Pid::from_raw(agent.id().unwrap() as i32), Signal::SIGTERM).unwrap();
    }
    for mut agent in agents {
        let ended = tokio::task::spawn_blocking(move || agent.wait().unwrap());
        assert!(ended.await.unwrap(), "the agent ends with success");
    }
}

#[tokio::test]
async fn all_stopped_at_hold() {
    let (mut deployment, _directory) = start_held().await;
    stop(std::mem::take(&mut deployment.agents)).await;
    assert!(!is_held(&deployment), "no agent is left to release the group");
    let reply = deployment.send_request("POST", STREAM, "r-1").await;
    assert!(reply.is_complete, "{:?}", reply.text());
    assert_eq!(deployment.group.as_ref().unwrap().mixed_map_passes(), 0);
}

#[tokio::test]
async fn leader_stopped_at_hold() {
    let (mut deployment, _directory) = start_held().await;
    let leader = deployment.agents.iter().position(is_leader).unwrap();
    stop(vec![deployment.agents.remove(leader)]).await;
    let is_left_held = is_held(&deployment);
    wait_until(|| async { !is_held(&deployment) }).await;
    let group = deployment.group.as_ref().unwrap();
    println!("held for {} ms", group.held_duration().as_millis());
    assert_eq!(group.mixed_map_passes(), 0);
    assert!(!is_left_held, "the leader left the group held");
}
