//! Simulated gateways that follow a topic of the store and pass on what they read: the number of reads,
//! and how long a gateway lacks a record, with lost messages.

use currantlink_core::fleet::{Announcement, Fleet, Observation};
use currantlink_core::position::{Position, StoreEra};
use currantlink_core::shared_reads::{
    MIN_OUTAGE_MS, Reachability, ReadRange, StoreContact, Use, is_other_reconnection,
    may_have_been_away, next_read_ms, poll_ms,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const DURATION_MS: u64 = 60_000;
const READ_MS: u64 = 5;
const PASS_ON_MS: u64 = 3;

const ERA: StoreEra = StoreEra(3);

fn at(offset: u64) -> Position {
    Position { era: ERA, offset }
}

fn read_range(from_offset: u64, next_offset: u64) -> ReadRange {
    ReadRange { era: ERA, from_offset, next_offset }
}

struct Reader {
    position: u64,
    read_at_ms: u64,
}

/// Returns the reads per second of all gateways, and the longest time without a new position of any
/// gateway. A record is appended every 50 ms.
fn play(gateways: usize, loss: f64, seed: u64) -> (f64, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut readers: Vec<Reader> = (0..gateways)
        .map(|_| Reader { position: 0, read_at_ms: random.random_range(0..1_000) })
        .collect();
    let (mut reads, mut longest_ms) = (0, 0);
    let mut known_ms = vec![0; gateways];
    let mut messages: Vec<(u64, usize, ReadRange)> = Vec::new();
    for now_ms in 0..DURATION_MS {
        let end = now_ms / 50;
        for index in 0..gateways {
            if readers[index].read_at_ms != now_ms {
                continue;
            }
            reads += 1;
            let range = read_range(readers[index].position, end);
            readers[index] = Reader {
                position: end,
                read_at_ms: now_ms + READ_MS + next_read_ms(READ_MS, random.random()),
            };
            known_ms[index] = now_ms;
            for other in (0..gateways).filter(|&other| other != index) {
                if !random.random_bool(loss) {
                    messages.push((now_ms + READ_MS + PASS_ON_MS, other, range));
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|m| m.0 <= now_ms);
        messages = later;
        for (_, to, range) in due {
            if range.use_at(Some(at(readers[to].position))) == Use::New {
                let read_at_ms = now_ms + next_read_ms(READ_MS, random.random());
                readers[to] = Reader { position: range.next_offset, read_at_ms };
                known_ms[to] = now_ms;
            }
        }
        let oldest = known_ms.iter().map(|known_ms| now_ms - known_ms).max();
        longest_ms = longest_ms.max(oldest.unwrap_or_default());
    }
    (reads as f64 * 1_000.0 / DURATION_MS as f64, longest_ms)
}

#[test]
fn constant_reads() {
    for gateways in [1, 5, 34, 100] {
        let (reads_per_s, longest_ms) = play(gateways, 0.02, 1);
        assert!(reads_per_s < 4.5, "{gateways} gateways read {reads_per_s} times a second");
        assert!(longest_ms < 1_300, "{gateways} gateways: {longest_ms} ms");
    }
}

#[test]
fn lost_messages() {
    for loss in [0.5, 1.0] {
        let (_, longest_ms) = play(34, loss, 2);
        assert!(longest_ms < 1_300, "{longest_ms} ms");
    }
}

#[test]
fn read_positions() {
    let range = read_range(10, 20);
    assert_eq!(range.use_at(None), Use::Gap);
    assert_eq!(range.use_at(Some(at(9))), Use::Gap);
    assert_eq!(range.use_at(Some(at(10))), Use::New);
    assert_eq!(range.use_at(Some(at(15))), Use::New);
    assert_eq!(range.use_at(Some(at(20))), Use::New);
    assert_eq!(range.use_at(Some(at(21))), Use::Outdated);
}

/// Guards against records that are skipped because the store has given their offsets out before.
#[test]
fn other_eras() {
    let range = read_range(10, 20);
    for offset in [5, 10, 15, 20, 25] {
        let position = |era| Some(Position { era: StoreEra(era), offset });
        assert_eq!(range.use_at(position(2)), Use::Gap, "{offset}");
        assert_eq!(range.use_at(position(4)), Use::Outdated, "{offset}");
    }
}

/// Guards against backends that count as removed while they register again after a restore.
#[test]
fn restored_store() {
    let mut contact = StoreContact::default();
    assert!(!contact.record_read(1_000, false, false));
    assert!(contact.record_read(2_000, false, true));
    assert_eq!(contact.announced_age_ms(2_500), Some(500));
}

#[test]
fn poll_times() {
    assert_eq!(poll_ms(1), 1_000);
    assert_eq!(poll_ms(5), 1_250);
    assert_eq!(poll_ms(360), 10_000);
}

#[test]
fn slow_reader() {
    // A read that took a second postpones the next one only by the rest of the interval.
    for draw in 0..2_000 {
        assert!(1_000 + next_read_ms(1_000, draw) <= 1_250);
        assert_eq!(next_read_ms(1_300, draw), 0);
    }
}

#[test]
fn one_reconnection() {
    assert!(is_other_reconnection(None, 500));
    // Other gateways notice the same end up to two seconds later.
    assert!(!is_other_reconnection(Some(1_000), 2_900));
    assert!(is_other_reconnection(Some(1_000), 30_000));
}

#[test]
fn covered_outage() {
    let mut reachability = Reachability::default();
    assert!(reachability.record_failure());
    assert!(!reachability.record_failure());
    assert!(reachability.record_contact(), "the end of an outage");
    reachability.record_failure();
    reachability.record_contact();
    assert!(!reachability.record_contact(), "nothing was missed");
}

/// Guards against a gateway that was cut off and makes all others keep removed backends, as if the store
/// had been away.
#[test]
fn outage_of_another() {
    let longest_ms = next_read_ms(0, 500) + READ_MS;
    assert!(longest_ms < MIN_OUTAGE_MS, "undisturbed gateways read more often");
    assert!(!may_have_been_away(Some(10_000 - longest_ms), 10_000), "it has read itself");
    assert!(!may_have_been_away(Some(10_200), 10_000));
    assert!(may_have_been_away(Some(10_000 - MIN_OUTAGE_MS), 10_000));
    assert!(may_have_been_away(None, 10_000), "it has not read anything yet");
}

/// Time for which a backend serves after its entry was removed.
const DRAIN_MS: u64 = 2_000;
const RETRY_MS: u64 = 200;

fn announcement() -> Announcement {
    Announcement {
        started_at_ms: 1,
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        draining: false,
        slots: 4,
        cold_remaining_ms: None,
    }
}

/// Returns how long a gateway uses a backend after its entry was removed at `removed_ms`. The gateway reads
/// at 0 and `interval_ms` later, when `failures` calls fail before one succeeds.
fn use_after_removal(interval_ms: u64, failures: u64, removed_ms: u64) -> u64 {
    let (mut reachability, mut contact) = (Reachability::default(), StoreContact::default());
    let mut fleet = Fleet::default();
    contact.record_read(0, reachability.record_contact(), false);
    fleet.observe("a", Observation::Present(announcement()), 0);
    for _ in 0..failures {
        reachability.record_failure();
    }
    let mut now_ms = interval_ms + failures * RETRY_MS;
    if contact.record_read(now_ms, reachability.record_contact(), false) {
        fleet.store_recovered(now_ms);
    }
    fleet.observe("a", Observation::Dropped, now_ms);
    while fleet.available("llm").count() > 0 {
        now_ms += 1;
        fleet.remove_expired(now_ms);
    }
    now_ms - removed_ms
}

/// Guards against a gateway that takes a failed call for an outage of the store, in which entries expire,
/// and keeps a backend that was removed.
#[test]
fn failed_calls() {
    for interval_ms in (next_read_ms(0, 0)..=next_read_ms(0, 500)).step_by(50) {
        for failures in 0..=2 {
            for removed_ms in (1..interval_ms + failures * RETRY_MS).step_by(25) {
                let used_ms = use_after_removal(interval_ms, failures, removed_ms);
                assert!(used_ms < DRAIN_MS, "{used_ms} ms, {failures} failures at {interval_ms}");
            }
        }
    }
    // An outage of that length may have removed entries of backends that live on.
    assert!(use_after_removal(1_000, 10, 2_900) > DRAIN_MS);
}

/// A gateway that follows the list of one backend, as `backend_follower` does.
struct Follower {
    position: u64,
    read_at_ms: u64,
    reachability: Reachability,
    contact: StoreContact,
    fleet: Fleet,
}

impl Follower {
    fn new(read_at_ms: u64) -> Self {
        let mut fleet = Fleet::default();
        fleet.observe("a", Observation::Present(announcement()), 0);
        let (reachability, contact) = (Reachability::default(), StoreContact::default());
        Self { position: 0, read_at_ms, reachability, contact, fleet }
    }

    fn advance_to(&mut self, position: u64, now_ms: u64) {
        if position > std::mem::replace(&mut self.position, position) {
            self.fleet.observe("a", Observation::Dropped, now_ms);
        }
    }

    /// Reads, and returns what other gateways are told: the range and the age of the end of an outage.
    fn read(&mut self, end: u64, now_ms: u64, draw: u64) -> (ReadRange, Option<u64>) {
        let range = read_range(self.position, end);
        if self.contact.record_read(now_ms, self.reachability.record_contact(), false) {
            self.fleet.store_recovered(now_ms);
        }
        self.advance_to(end, now_ms);
        self.read_at_ms = now_ms + next_read_ms(0, draw);
        (range, self.contact.announced_age_ms(now_ms))
    }

    fn receive(&mut self, (range, age_ms): (ReadRange, Option<u64>), now_ms: u64, draw: u64) {
        if range.use_at(Some(at(self.position))) != Use::New {
            return;
        }
        let reconnected_at_ms = age_ms.map(|age_ms| now_ms - age_ms);
        if let Some(at_ms) = self.contact.record_passed_on(now_ms, reconnected_at_ms) {
            self.fleet.store_recovered(at_ms);
        }
        self.advance_to(range.next_offset, now_ms);
        self.reachability.record_contact();
        self.read_at_ms = now_ms + next_read_ms(0, draw);
    }
}

/// Guards against a gateway that was cut off and makes an undisturbed one keep a backend that was removed,
/// in any order of the cut, the removal and the reads of both.
#[test]
fn cut_gateway() {
    for seed in 0..2_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let cut_ms = random.random_range(2_000..4_000);
        let healed_ms = cut_ms + random.random_range(200..6_000);
        let removed_ms = random.random_range(cut_ms..healed_ms + 1_500);
        // Messages may be lost, and the cut may hold for them as well.
        let (loss, is_isolated) = (random.random_range(0.0..1.0), random.random_bool(0.5));
        let mut gateways = [0, 1].map(|_| Follower::new(random.random_range(0..1_000)));
        for now_ms in 0..removed_ms + DRAIN_MS {
            let is_cut = (cut_ms..healed_ms).contains(&now_ms);
            for index in 0..2 {
                gateways[index].fleet.remove_expired(now_ms);
                if gateways[index].read_at_ms != now_ms {
                    continue;
                }
                if is_cut && index == 0 {
                    gateways[index].reachability.record_failure();
                    gateways[index].read_at_ms = now_ms + RETRY_MS;
                    continue;
                }
                let told =
                    gateways[index].read(u64::from(now_ms >= removed_ms), now_ms, random.random());
                let is_lost = random.random_bool(loss) || is_isolated && is_cut;
                if !is_lost {
                    gateways[1 - index].receive(told, now_ms, random.random());
                }
            }
        }
        assert_eq!(gateways[1].fleet.available("llm").count(), 0, "seed {seed}");
    }
}

/// Guards against the end of an outage that is announced again and again by gateways that learned of it
/// from each other.
#[test]
fn announced_once() {
    let mut contact = StoreContact::default();
    assert!(!contact.record_read(1_000, false, false));
    assert_eq!(contact.record_passed_on(5_000, Some(4_900)), Some(4_900));
    assert_eq!(contact.record_passed_on(5_100, Some(4_950)), None);
    assert_eq!(contact.announced_age_ms(5_900), Some(1_000));
    assert_eq!(contact.announced_age_ms(6_900), None);
}
