//! Expert map changes by agents of one group: engines keep running during a change, orders without
//! a response are sent again, and a new leader replaces a killed one and completes a change.

#![allow(clippy::unwrap_used)]

mod harness;

use std::path::Path;

use currantlink_standins::deployment::{Deployment, Shape, wait_until};
use tempfile::TempDir;

const RANKS: u32 = 3;

async fn start() -> (Deployment, TempDir) {
    harness::start(Shape { gateways: 0, ranks: RANKS, plain_backends: 0, ..Shape::default() }).await
}

fn version(deployment: &Deployment) -> u64 {
    deployment.group.as_ref().map_or(0, |group| group.rank(0).state.map_version)
}

fn leader(deployment: &Deployment) -> Option<usize> {
    let is_leader = |log: &Path| {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let line = text
            .lines()
            .rfind(|line| line.contains("elected leader of the group"))
            .unwrap_or_default();
        line.contains("\"elected leader of the group\"")
    };
    deployment.agents.iter().position(|agent| is_leader(&agent.log_path()))
}

#[tokio::test]
async fn hot_expert() {
    let (deployment, _directory) = start().await;
    wait_until(|| async { version(&deployment) > 0 }).await;
    let group = deployment.group.as_ref().unwrap();
    assert_eq!(group.mixed_map_passes(), 0);
    let holders = (0..RANKS as usize).filter(|&r| group.experts(r).unwrap()[0].contains(&0));
    assert!(holders.count() > 1, "the hot expert has replicas");
}

#[tokio::test]
async fn lost_orders() {
    let (deployment, _directory) = start().await;
    deployment.group.as_ref().unwrap().lose_order_responses(8);
    wait_until(|| async { version(&deployment) > 0 }).await;
    assert_eq!(deployment.group.as_ref().unwrap().mixed_map_passes(), 0);
}

#[tokio::test]
async fn dead_leader() {
    let (mut deployment, _directory) = start().await;
    wait_until(|| async { leader(&deployment).is_some() }).await;
    let first = leader(&deployment).unwrap();
    deployment.agents[first].kill();
    std::fs::remove_file(deployment.agents[first].log_path()).unwrap();
    wait_until(|| async { leader(&deployment).is_some() && version(&deployment) > 0 }).await;
    let group = deployment.group.clone().unwrap();
    assert_eq!(group.mixed_map_passes(), 0);
    let step = group.rank(0).state.step;
    wait_until(|| async { group.rank(0).state.step > step + 5 }).await;
}
