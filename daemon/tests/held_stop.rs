//! Planned stops of sides while their group is held for a map change.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::{System, Topology, until};
use currantlink_standins::engine::Group;

const BACKENDS: usize = 3;
const EXPERTS: usize = 16;
const FEED_INTERVAL: Duration = Duration::from_millis(10);

/// Reports increasing token counts in which the first expert is hot.
async fn feed(group: Group) {
    let mut counts = vec![0_u64; EXPERTS];
    loop {
        for (expert, count) in counts.iter_mut().enumerate() {
            *count += if expert == 0 { 4_000 } else { 100 };
        }
        (0..BACKENDS).for_each(|backend| group.set_expert_tokens(backend, vec![counts.clone()]));
        tokio::time::sleep(FEED_INTERVAL).await;
    }
}

/// Stops a side of a held group and returns whether it left the group held.
async fn is_left_held(side: usize) -> bool {
    let shape = Topology { engines: BACKENDS, plain: 0, ..Topology::default() };
    let mut system = System::start(shape).await;
    let group = system.group.clone().unwrap();
    let feeding = tokio::spawn(feed(group.clone()));
    until("a hold", || group.record().held > 0).await;
    feeding.abort();
    let mut side = system.sides.remove(side);
    assert!(tokio::task::spawn_blocking(move || side.stop()).await.unwrap());
    let record = group.record();
    assert_eq!(record.mixed_steps, Vec::<u64>::new());
    record.held > 0
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_of_held_group() {
    assert!(!is_left_held(0).await, "the leader left the group held");
}

#[tokio::test(flavor = "multi_thread")]
async fn member_of_held_group() {
    assert!(!is_left_held(BACKENDS - 1).await, "a side that the change needs left");
}
