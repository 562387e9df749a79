//! Planning of consecutive map changes: after a change, the leader plans the next one without
//! waiting for the ranks to report the experts of the map that it planned.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use currantlink_core::routes::{EngineProfile, ExpertProfile};
use currantlink_core::switch::{Action, Order, RankState};
use currantlink_daemon::group_leader::{
    ChangePolicy, GroupLeader, OrderTarget, PaceTarget, Report,
};

const RANKS: u32 = 2;
const PROFILE: ExpertProfile = ExpertProfile {
    sets: 1,
    experts: 4,
    slots_per_rank: 3,
    new_per_set: 1,
    copy_ms: 10.0,
    expert_share: 0.85,
    form_ms: 600.0,
};
/// Experts of each rank in the first map.
const FIRST_MAP: [[u32; 2]; 2] = [[0, 1], [2, 3]];

/// Engines without streams, so that every map that repays its copies is planned.
fn pace() -> PaceTarget {
    let engine = EngineProfile {
        slots: 8,
        stride_steps: 1,
        step_ms: 5.0,
        per_request_ms: 0.4,
        prefill_tokens_per_ms: 75.0,
        mean_prompt_tokens: 800.0,
        mean_response_tokens: 160.0,
        experts: Some(PROFILE),
    };
    PaceTarget { engine, pause_target_ms: None }
}

fn address(rank: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + rank as u16))
}

/// A group leader with two simulated ranks, which execute orders immediately.
struct Group {
    leader: GroupLeader,
    ranks: Vec<RankState>,
    now_ms: u64,
    policy: ChangePolicy,
}

impl Group {
    fn new() -> Self {
        let leader = GroupLeader::new(0, 1, RANKS as usize, 0, PROFILE, pace());
        let rank = |rank| RankState {
            group: String::from("g"),
            epoch: 1,
            rank,
            size: RANKS,
            is_open: true,
            ..RankState::default()
        };
        Self {
            leader,
            ranks: (0..RANKS).map(rank).collect(),
            now_ms: 0,
            policy: ChangePolicy::Start,
        }
    }

    /// Reports the state of all ranks; also their experts if `choices` is not empty.
    fn report(&mut self, choices: &[u64]) {
        self.now_ms += 20;
        for state in &self.ranks {
            let experts = match choices.is_empty() {
                true => Vec::new(),
                false => vec![FIRST_MAP[state.rank as usize].to_vec()],
            };
            let backend = address(100 + state.rank);
            let report = Report {
                state: state.clone(),
                choices: choices.to_vec(),
                experts,
                backend,
                has_map_in_use: false,
                pace: 1.0,
            };
            self.leader.record_report(self.now_ms, address(state.rank), report);
        }
    }

    /// Advances the leader and executes its orders; returns the version of a map to prepare.
    fn advance(&mut self) -> Option<u64> {
        let mut prepared = None;
        for (target, Order { action, .. }) in self.leader.advance(self.now_ms, self.policy) {
            let is_target = |rank: &&mut RankState| match target {
                OrderTarget::Agent { address: to, .. } => to == address(rank.rank),
                OrderTarget::Backend(to) => to == address(100 + rank.rank),
            };
            let rank = self.ranks.iter_mut().find(is_target).unwrap();
            rank.orders += 1;
            match action {
                Action::Prepare { version, .. } => {
                    rank.prepared_version = Some(version);
                    prepared = Some(version);
                }
                Action::Arm { version, step } => rank.armed = Some((version, step)),
                Action::Disarm { .. } => rank.armed = None,
                Action::Hold { step } => rank.held_step = Some(step),
                Action::Go { step } => {
                    for rank in &mut self.ranks {
                        let (version, _) = rank.armed.take().unwrap();
                        (rank.map_version, rank.step) = (version, step);
                        (rank.held_step, rank.prepared_version) = (None, None);
                    }
                    return prepared;
                }
            }
        }
        prepared
    }
}

#[test]
fn next_plan() {
    let mut group = Group::new();
    group.report(&[20_000, 1_000, 1_000, 1_000]);
    let first = group.advance().unwrap();
    while group.ranks[0].map_version != first {
        group.report(&[]);
        group.advance();
    }
    // Demand shifts to another expert, and no rank has reported its experts in the new map.
    for _ in 0..40 {
        group.now_ms += 50;
        let (choices, state) = (vec![1_000, 1_000, 1_000, 20_000], group.ranks[0].clone());
        let (experts, backend) = (Vec::new(), address(100));
        let report = Report { state, choices, experts, backend, has_map_in_use: false, pace: 1.0 };
        group.leader.record_report(group.now_ms, address(0), report);
    }
    group.report(&[]);
    let next = group.advance();
    assert!(next.is_some_and(|next| next > first), "{next:?} after {first}");
}

/// Guards against a change of the expert map that begins while a rank's failure domain is evacuated, and
/// against one that is left half-way when the evacuation begins.
#[test]
fn evacuated_rank() {
    let mut group = Group::new();
    group.policy = ChangePolicy::Complete;
    group.report(&[20_000, 1_000, 1_000, 1_000]);
    for _ in 0..40 {
        assert_eq!(group.advance(), None);
        group.report(&[]);
    }
    group.policy = ChangePolicy::Start;
    group.report(&[20_000, 1_000, 1_000, 1_000]);
    let first = group.advance().unwrap();
    group.policy = ChangePolicy::Complete;
    for _ in 0..40 {
        group.report(&[]);
        group.advance();
    }
    assert_eq!(group.ranks[0].map_version, first);
    assert!(!group.leader.is_changing());
}

/// Guards against a leader that ends because a backend reports experts that do not exist.
#[test]
fn unknown_experts() {
    let mut group = Group::new();
    group.report(&[20_000, 1_000, 1_000, 1_000]);
    let report = Report {
        state: RankState { map_version: 7, ..group.ranks[1].clone() },
        choices: vec![1_000, 1_000, 1_000, 20_000],
        experts: vec![vec![2, u32::MAX]],
        backend: address(101),
        has_map_in_use: false,
        pace: 1.0,
    };
    group.leader.record_report(group.now_ms, address(1), report);
    group.leader.record_experts(1, 7, vec![vec![2, PROFILE.experts as u32]]);
    group.leader.record_experts(0, 7, vec![vec![0, 1]]);
    group.ranks.iter_mut().for_each(|rank| rank.map_version = 7);
    for _ in 0..40 {
        group.report(&[]);
        assert_eq!(group.advance(), None, "the map in use is unknown");
    }
}
