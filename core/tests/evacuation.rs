//! Evacuations of failure domains: order of offsets, lost and repeated announcements, listings, records
//! that cannot be read, and a simulated deployment in which all gateways follow the operator.

#![allow(clippy::unwrap_used)]

use currantlink_core::evacuation::{
    Announcement, EvacuationRecord, Evacuations, FailureDomain, Instruction, Learned, Reading,
};
use currantlink_core::position::{Position, StoreEra};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn domain(name: &str) -> FailureDomain {
    FailureDomain::try_from(name).unwrap()
}

fn at(offset: u64) -> Position {
    Position { era: StoreEra(1), offset }
}

fn record(offset: u64, name: &str, instruction: Instruction) -> EvacuationRecord {
    EvacuationRecord { position: at(offset), domain: domain(name), instruction }
}

fn changes(next_offset: u64, records: Vec<EvacuationRecord>) -> Reading {
    Reading { next: at(next_offset), is_listing: false, records }
}

fn listing(next_offset: u64, records: Vec<EvacuationRecord>) -> Reading {
    Reading { next: at(next_offset), is_listing: true, records }
}

fn announcement(offset: u64, name: &str, is_active: bool) -> Announcement {
    Announcement { domain: domain(name), position: at(offset), is_active }
}

/// Returns the state of a process that has read an evacuation of "a" at offset 5.
fn evacuated() -> Evacuations {
    let mut state = Evacuations::default();
    let begun = state.apply_reading(changes(6, vec![record(5, "a", Instruction::Evacuate)]), 1_000);
    assert_eq!(begun, [announcement(5, "a", true)]);
    state
}

#[test]
fn records_in_order() {
    let mut state = evacuated();
    assert!(state.is_active("a") && !state.is_active("b"));
    assert_eq!(state.lifted_at_ms("a"), None);
    let again = changes(7, vec![record(6, "a", Instruction::Evacuate)]);
    assert_eq!(state.apply_reading(again, 2_000), []);
    let lifted = state.apply_reading(changes(8, vec![record(7, "a", Instruction::Lift)]), 3_000);
    assert_eq!(lifted, [announcement(7, "a", false)]);
    assert_eq!(state.lifted_at_ms("a"), Some(3_000));
    let both = vec![record(8, "a", Instruction::Evacuate), record(9, "a", Instruction::Lift)];
    assert_eq!(state.apply_reading(changes(10, both), 4_000).len(), 2);
    assert_eq!(state.lifted_at_ms("a"), Some(4_000));
    assert_eq!(state.lifted_at_ms("b"), None);
}

/// Guards against an older view that undoes a newer one, in each direction.
#[test]
fn highest_offset_wins() {
    let mut state = Evacuations::default();
    assert_eq!(state.learn(announcement(5, "a", true), 0), Learned::Change);
    assert_eq!(state.learn(announcement(4, "a", false), 1), Learned::Nothing);
    assert_eq!(state.learn(announcement(5, "a", false), 2), Learned::Nothing);
    assert!(state.is_active("a"));
    assert_eq!(state.learn(announcement(7, "a", false), 3), Learned::Change);
    assert_eq!(state.learn(announcement(6, "a", true), 4), Learned::Nothing);
    assert_eq!(state.learn(announcement(7, "a", true), 5), Learned::Nothing);
    assert_eq!(state.lifted_at_ms("a"), Some(3));
    assert_eq!(state.learn(announcement(8, "a", true), 6), Learned::Change);
    // An older record that is read late changes nothing.
    assert_eq!(state.apply_reading(changes(8, vec![record(7, "a", Instruction::Lift)]), 7), []);
    assert!(state.is_active("a"));
}

/// Guards against a lost last message: the end of an evacuation is repeated for some seconds, and an
/// evacuation for as long as it lasts.
#[test]
fn repeated_announcements() {
    let mut state = evacuated();
    assert_eq!(state.announced(1_000_000), [announcement(5, "a", true)]);
    state.apply_reading(changes(9, vec![record(8, "a", Instruction::Lift)]), 1_000_000);
    assert_eq!(state.announced(1_005_000), [announcement(8, "a", false)]);
    assert_eq!(state.announced(1_010_000), []);
    // The time of the end is known for longer than a minute.
    assert_eq!(state.lifted_at_ms("a"), Some(1_000_000));
    assert_eq!(state.learn(announcement(5, "a", true), 1_200_000), Learned::Nothing);
    assert!(!state.is_active("a"));
}

/// Guards against a stale view of a process that was frozen or cut off: whoever has read the topic
/// contradicts it, also if it has never known the evacuation.
#[test]
fn stale_peer() {
    let mut state = Evacuations::default();
    state.apply_reading(listing(20, Vec::new()), 0);
    assert_eq!(state.learn(announcement(5, "a", true), 100), Learned::Nothing);
    assert!(!state.is_active("a"));
    assert_eq!(state.announced(100), [announcement(19, "a", false)]);
    let mut stale = evacuated();
    assert_eq!(stale.learn(announcement(19, "a", false), 200), Learned::Change);
    assert_eq!(state.announced(10_100), []);
    assert_eq!(state.learn(announcement(20, "a", true), 20_000), Learned::Change);
}

/// Guards against announcements of the end that go on without end, as each process that starts hears
/// the last one.
#[test]
fn past_evacuation() {
    for mut state in [Evacuations::default(), {
        let mut read = Evacuations::default();
        read.apply_reading(listing(20, Vec::new()), 0);
        read
    }] {
        assert_eq!(state.learn(announcement(8, "a", false), 500), Learned::PastEvacuation);
        assert_eq!(state.learn(announcement(8, "a", false), 900), Learned::Nothing);
        assert_eq!(state.lifted_at_ms("a"), Some(500));
        assert_eq!(state.announced(900), []);
        assert_eq!(state.learn(announcement(5, "a", true), 950), Learned::Nothing);
        assert!(!state.is_active("a"));
    }
}

#[test]
fn listings() {
    let mut state = evacuated();
    let both = vec![record(5, "a", Instruction::Evacuate), record(8, "b", Instruction::Evacuate)];
    assert_eq!(state.apply_reading(listing(10, both), 2_000), [announcement(9, "b", true)]);
    let lifted =
        state.apply_reading(listing(12, vec![record(8, "b", Instruction::Evacuate)]), 3_000);
    assert_eq!(lifted, [announcement(11, "a", false)]);
    assert!(state.is_active("b"));
    assert_eq!(state.lifted_at_ms("a"), Some(3_000));
    // A record after the listing counts.
    let again = changes(13, vec![record(12, "a", Instruction::Evacuate)]);
    assert_eq!(state.apply_reading(again, 4_000), [announcement(12, "a", true)]);
}

/// Guards against records without a readable value: they neither begin nor lift an evacuation, also in
/// the listing of a process that has not seen the record before.
#[test]
fn unreadable_records() {
    let mut state = evacuated();
    let unreadable = || vec![record(6, "a", Instruction::Unreadable)];
    assert_eq!(state.apply_reading(changes(7, unreadable()), 2_000), []);
    assert_eq!(state.apply_reading(listing(9, unreadable()), 3_000), []);
    assert!(state.is_active("a"));
    let mut restarted = Evacuations::default();
    assert_eq!(restarted.apply_reading(listing(9, unreadable()), 0), []);
    assert!(!restarted.is_active("a"));
    let announced = state.announced(4_000).remove(0);
    assert_eq!(restarted.learn(announced, 10), Learned::Change);
    let lift = || changes(10, vec![record(9, "a", Instruction::Lift)]);
    assert_eq!(restarted.apply_reading(lift(), 20).len(), 1);
    assert_eq!(state.apply_reading(lift(), 5_000).len(), 1);
    assert_eq!(restarted.learn(announcement(5, "a", true), 30), Learned::Nothing);
}

/// Guards against an agent that has missed the end of an evacuation and suspends map changes forever.
#[test]
fn unconfirmed() {
    let mut agent = Evacuations::default();
    agent.learn(announcement(5, "a", true), 0);
    agent.learn(announcement(5, "a", true), 9_000);
    assert_eq!(agent.forget_unconfirmed(18_900), []);
    assert_eq!(agent.forget_unconfirmed(19_000), [domain("a")]);
    assert!(!agent.is_active("a"));
}

/// Guards against evacuations that end, or never begin, because a restored store gives their offsets out
/// again: a position of a later era is higher.
#[test]
fn restored_store() {
    let of_era = |era, offset| Position { era: StoreEra(era), offset };
    let restored = |records| Reading { next: of_era(2, 3), is_listing: true, records };
    let mut state = evacuated();
    assert_eq!(state.apply_reading(restored(Vec::new()), 2_000), []);
    assert!(state.is_active("a"), "the operator may write it again");
    assert_eq!(state.lift_missing(3_900), []);
    let lifted = state.lift_missing(4_000).remove(0);
    assert_eq!((lifted.position, lifted.is_active), (of_era(2, 2), false));
    assert_eq!(state.learn(announcement(90, "a", true), 4_100), Learned::Nothing);
    assert_eq!(evacuated().learn(lifted, 0), Learned::Change);

    let again = EvacuationRecord {
        position: of_era(2, 3),
        domain: domain("a"),
        instruction: Instruction::Evacuate,
    };
    let again = Reading { next: of_era(2, 4), is_listing: false, records: vec![again] };
    let mut state = evacuated();
    state.apply_reading(restored(Vec::new()), 2_000);
    assert_eq!(state.apply_reading(again.clone(), 2_500), []);
    assert_eq!(state.lift_missing(9_000), []);
    assert!(state.is_active("a"));
    let mut other = Evacuations::default();
    other.apply_reading(listing(90, Vec::new()), 0);
    assert_eq!(other.apply_reading(restored(Vec::new()), 1_000), []);
    assert_eq!(other.apply_reading(again, 2_000).len(), 1);
}

/// Guards against memory and messages that grow with the number of domains that were ever evacuated.
#[test]
fn many_domains() {
    let mut state = Evacuations::default();
    for index in 0..2_000_u64 {
        let name = format!("d{index}");
        let records = vec![
            record(2 * index, &name, Instruction::Evacuate),
            record(2 * index + 1, &name, Instruction::Lift),
        ];
        state.apply_reading(changes(2 * index + 2, records), index);
    }
    assert_eq!(state.announced(2_000).len(), 64);
    assert_eq!(state.lifted_at_ms("d0"), None);
    assert_eq!(state.lifted_at_ms("d1999"), Some(1_999));
    assert!(FailureDomain::try_from("").is_err());
}

const TICK_MS: u64 = 100;
const HELLO_TICKS: u64 = 5;
/// Time after the operator's last record by which all gateways agree: an evacuation takes effect within
/// 5 s, and here only the views of gateways without the store depend on others.
const AGREED_MS: u64 = 5_000;

struct Gateway {
    state: Evacuations,
    position: Option<u64>,
    reaches_store: bool,
}

/// Gateways of which a part reaches the store, with 2.5 % of the messages lost and a tenth restarted
/// at a time. The operator evacuates and lifts two domains at random.
fn play(gateways: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let start =
        |reaches_store| Gateway { state: Evacuations::default(), position: None, reaches_store };
    let mut fleet: Vec<Gateway> = (0..gateways).map(|index| start(index % 3 == 0)).collect();
    let mut log: Vec<EvacuationRecord> = Vec::new();
    let mut written_ms = 0;
    for tick in 0..1_200_u64 {
        let now_ms = tick * TICK_MS;
        if now_ms >= written_ms + 2 * AGREED_MS {
            written_ms = now_ms;
            for _ in 0..random.random_range(1..4) {
                let name = if random.random() { "a" } else { "b" };
                let instruction = match random.random_range(0..5) {
                    0 | 1 => Instruction::Evacuate,
                    2 | 3 => Instruction::Lift,
                    _ => Instruction::Unreadable,
                };
                log.push(record(log.len() as u64, name, instruction));
            }
        }
        let end = log.len() as u64;
        for gateway in &mut fleet {
            // A restart loses the state. Gateways without the store start with the views of others.
            if random.random_bool(0.001) {
                *gateway = start(gateway.reaches_store);
            }
            if !gateway.reaches_store || random.random_bool(0.5) {
                continue;
            }
            let reading = match gateway.position {
                None => listing(end, newest(&log)),
                Some(from) => changes(end, log[from as usize..].to_vec()),
            };
            gateway.position = Some(end);
            gateway.state.apply_reading(reading, now_ms);
        }
        for sender in 0..gateways {
            if tick % HELLO_TICKS != sender as u64 % HELLO_TICKS {
                continue;
            }
            let announced = fleet[sender].state.announced(now_ms);
            for receiver in (0..gateways).filter(|&receiver| receiver != sender) {
                if !random.random_bool(0.025) {
                    for announced in announced.clone() {
                        fleet[receiver].state.learn(announced, now_ms);
                    }
                }
            }
        }
        if now_ms == written_ms + AGREED_MS {
            for name in ["a", "b"] {
                let expected = expected(&log, name);
                let differ = fleet.iter().filter(|g| g.state.is_active(name) != expected).count();
                assert_eq!(differ, 0, "{name} at {now_ms} ms, seed {seed}: {log:?}");
            }
        }
    }
}

/// Returns the records that the store lists: the newest of each key, unless it has no value.
fn newest(log: &[EvacuationRecord]) -> Vec<EvacuationRecord> {
    let last = |record: &&EvacuationRecord| {
        !log.iter().any(|other| other.domain == record.domain && other.position > record.position)
    };
    let listed = log.iter().filter(last).filter(|r| r.instruction != Instruction::Lift);
    listed.cloned().collect()
}

fn expected(log: &[EvacuationRecord], name: &str) -> bool {
    let readable = log.iter().rev().filter(|r| r.instruction != Instruction::Unreadable);
    let last = readable.filter(|r| r.domain.as_str() == name).map(|r| r.instruction).next();
    last == Some(Instruction::Evacuate)
}

/// Guards against gateways that disagree for longer than the operator's bound, whoever reaches the store.
#[test]
fn all_agree() {
    for seed in 0..20 {
        play(3, seed);
        play(14, seed);
    }
    play(40, 1);
}
