//! A group of 72 ranks whose agents have links of 8 Mbit/s: a map reaches all agents and heartbeats
//! are on time while the counts of all ranks arrive.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;

use currantlink_core::fanout::{self, LinkRate};
use currantlink_core::switch::{Action, ExpertMap, Order, RankState};
use currantlink_daemon::group_leader::Report;
use currantlink_daemon::known_maps::KnownMaps;
use currantlink_daemon::orders::{decode_order, encode_map_orders, encode_report, take_relayed};
use currantlink_wire::peers::{Command, MapShape, Prepare, command};
use prost::Message;

const RANKS: usize = 72;
const SETS: usize = 12;
const EXPERTS: usize = 144;
const SLOTS: usize = 3;
const LINK: LinkRate = LinkRate { bytes_per_ms: 1_000.0 };
/// Headers of a datagram, its authentication code and the incarnation of its sender.
const OVERHEAD_BYTES: usize = 60;
const COUNTS_INTERVAL_MS: u64 = 150;

fn map(seed: usize) -> ExpertMap {
    let expert = |set, rank, slot| ((rank + slot * 31 + set * 7 + seed) % EXPERTS) as u32;
    let rank = |set, rank| (0..SLOTS).map(|slot| expert(set, rank, slot)).collect();
    (0..SETS).map(|set| (0..RANKS).map(|r| rank(set, r)).collect()).collect()
}

fn address(rank: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, rank as u8], 7_000))
}

/// Orders of the leader, which is the agent of rank 0, to prepare a map.
fn orders(map: ExpertMap) -> Vec<(SocketAddr, Order)> {
    let action = Action::Prepare { version: 2, map: Arc::new(map) };
    let order = |rank| Order {
        fence: 1,
        epoch: 1,
        expected_orders: Some(rank as u64),
        action: action.clone(),
    };
    (1..RANKS).map(|rank| (address(rank), order(rank))).collect()
}

fn transfer_ms(command: &Command) -> f64 {
    (command.encoded_len() + OVERHEAD_BYTES) as f64 / LINK.bytes_per_ms
}

/// Sends the messages one after the other over each sender's link. Returns the receivers with the
/// expected number of orders, and the time at which the last one has the order.
fn deliver(messages: Vec<(SocketAddr, Command)>) -> (Vec<(SocketAddr, u64)>, f64) {
    let (mut received, mut last_ms, mut sent_ms) = (Vec::new(), 0.0_f64, 0.0);
    for (address, mut command) in messages {
        sent_ms += transfer_ms(&command);
        let mut relayed_ms = sent_ms;
        for (receiver, relayed) in take_relayed(&mut command) {
            relayed_ms += transfer_ms(&relayed);
            received.push((receiver, relayed.expected_orders));
        }
        received.push((address, command.expected_orders));
        last_ms = last_ms.max(relayed_ms);
    }
    received.sort_unstable();
    (received, last_ms)
}

#[test]
fn whole_map() {
    let (received, last_ms) = deliver(encode_map_orders("g", &orders(map(0)), None, Some(LINK)));
    assert_eq!(received, (1..RANKS).map(|r| (address(r), r as u64)).collect::<Vec<_>>());
    assert!(last_ms < 200.0, "the last agent has the map after {last_ms} ms");
}

#[test]
fn map_difference() {
    let base = (1, Arc::new(map(0)));
    let mut next = map(0);
    (0..RANKS).for_each(|rank| next[rank % SETS][rank][0] = 1);
    let messages = encode_map_orders("g", &orders(next), Some(&base), Some(LINK));
    let (received, last_ms) = deliver(messages);
    assert_eq!(received.len(), RANKS - 1);
    assert!(last_ms < 50.0, "the last agent has the difference after {last_ms} ms");
}

#[test]
fn first_map() {
    let in_turn = |rank: usize| (rank..EXPERTS).step_by(RANKS).map(|expert| expert as u32);
    let set = || (0..RANKS).map(|rank| in_turn(rank).collect()).collect::<Vec<Vec<u32>>>();
    let mut next: ExpertMap = (0..SETS).map(|_| set()).collect();
    (0..RANKS).for_each(|rank| next[rank % SETS][rank].push(1 + rank as u32 % 2));
    let messages = encode_map_orders("g", &orders(next.clone()), None, Some(LINK));
    for (_, command) in &messages {
        let order = decode_order(command.clone(), &KnownMaps::default()).unwrap();
        assert_eq!(order.action, Action::Prepare { version: 2, map: Arc::new(next.clone()) });
    }
    let (received, last_ms) = deliver(messages);
    assert_eq!(received.len(), RANKS - 1);
    assert!(last_ms < 50.0, "the last agent has the first map after {last_ms} ms");
}

#[test]
fn invalid_shape() {
    let shape = MapShape { sets: u32::MAX, ranks: 1, experts: u32::MAX };
    for in_turn in [shape, MapShape { ranks: 0, ..shape }, MapShape { sets: 1 << 20, ..shape }] {
        let prepare = Prepare { version: 2, in_turn: Some(in_turn), ..Prepare::default() };
        let action = Some(command::Action::Prepare(prepare));
        let command = Command { action, ..Command::default() };
        assert!(decode_order(command, &KnownMaps::default()).is_none());
    }
}

#[test]
fn collected_counts() {
    assert!(LINK.needs_collectors(RANKS, SETS * EXPERTS, COUNTS_INTERVAL_MS));
    let report = Report {
        state: RankState { group: String::from("g"), ..RankState::default() },
        choices: (0..SETS * EXPERTS).map(|expert| 9 * expert as u64).collect(),
        experts: Vec::new(),
        backend: address(1),
        has_map_in_use: true,
        pace: 1.0,
    };
    let report_bytes = encode_report(report).encoded_len() + OVERHEAD_BYTES;
    let agents: Vec<usize> = (1..RANKS).collect();
    let collectors = fanout::branches(&agents).count();
    let share = |reports: usize| {
        (reports * report_bytes) as f64 / (COUNTS_INTERVAL_MS as f64 * LINK.bytes_per_ms)
    };
    assert!(share(collectors) < 0.2, "{}", share(collectors));
    let largest_branch = fanout::branches(&agents).map(<[usize]>::len).max().unwrap();
    assert!(share(largest_branch) < 0.2, "{}", share(largest_branch));
}

#[test]
fn small_group() {
    let few: Vec<(SocketAddr, Order)> = orders(map(0)).into_iter().take(3).collect();
    let fast = LinkRate { bytes_per_ms: 125_000.0 };
    let messages = encode_map_orders("g", &few, None, Some(fast));
    assert!(messages.iter().all(|(_, command)| command.receivers.is_empty()));
    assert_eq!(encode_map_orders("g", &few, None, None).len(), 3);
}
