//! The fleet follows changes of the platform's list.

use currantlink_core::fleet::{Announcement, Fleet, OUTAGE_GRACE_MS, Observation, Process};

fn announcement(started_at_ms: u64, port: u16) -> Announcement {
    Announcement {
        started_at_ms,
        service: "llm".into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "a".into(),
        draining: false,
        slots: 4,
        cold_remaining_ms: None,
    }
}

fn present(started_at_ms: u64, port: u16) -> Observation {
    Observation::Present(announcement(started_at_ms, port))
}

fn process(id: &str, started_at_ms: u64, port: u16) -> Process {
    announcement(started_at_ms, port).process(id)
}

fn open(fleet: &Fleet) -> Vec<String> {
    fleet.available("llm").map(|(_, member)| member.id.clone()).collect()
}

#[test]
fn heartbeat_changes_nothing() {
    let mut fleet = Fleet::default();
    assert!(fleet.observe("a", present(1, 1), 0));
    assert!(!fleet.observe("a", present(1, 1), 10));
}

/// Guards against a changed failure domain that takes effect only at the next change of another kind:
/// an evacuation goes by the domain.
#[test]
fn other_failure_domain() {
    let mut fleet = Fleet::default();
    assert!(fleet.observe("a", present(1, 1), 0));
    let moved = Announcement { failure_domain: "b".into(), ..announcement(1, 1) };
    assert!(fleet.observe("a", Observation::Present(moved.clone()), 10));
    assert!(!fleet.observe("a", Observation::Present(moved), 20));
}

#[test]
fn draining_stays() {
    let mut fleet = Fleet::default();
    fleet.observe("a", present(1, 1), 0);
    let draining = Announcement { draining: true, ..announcement(1, 1) };
    assert!(fleet.observe("a", Observation::Present(draining), 1));
    fleet.observe("a", present(1, 1), 2);
    assert!(open(&fleet).is_empty());
}

#[test]
fn leaving_and_listed_again() {
    let mut fleet = Fleet::default();
    fleet.observe("a", present(1, 1), 0);
    assert!(fleet.mark_leaving(process("a", 1, 1)));
    let draining = Announcement { draining: true, ..announcement(1, 2) };
    fleet.observe("b", Observation::Present(draining), 0);
    for (id, port) in [("a", 1), ("b", 2)] {
        fleet.observe(id, Observation::Dropped, 1);
        fleet.observe(id, present(1, port), 2);
    }
    assert!(open(&fleet).is_empty(), "the same processes");
    fleet.observe("a", present(2, 1), 3);
    assert_eq!(open(&fleet), ["a"], "a new process under the id");
}

#[test]
fn replaced_processes() {
    let mut fleet = Fleet::default();
    fleet.observe("a", present(1, 1), 0);
    fleet.observe("b", present(1, 2), 0);
    let (a, b) = (fleet.by_id("a").unwrap(), fleet.by_id("b").unwrap());
    fleet.observe("c", present(5, 3), 1);
    fleet.observe("a", Observation::Dropped, 1);
    assert!(!fleet.is_replaced(a) && !fleet.is_replaced(b));
    fleet.observe("a", present(5, 4), 2);
    assert!(fleet.is_replaced(a), "a new process under the id");
    fleet.observe("d", present(5, 2), 3);
    assert!(fleet.is_replaced(b), "a new process at the address");
}

#[test]
fn told_before_listed() {
    let mut fleet = Fleet::default();
    assert!(!fleet.mark_leaving(process("a", 1, 1)));
    fleet.observe("a", present(1, 1), 0);
    assert!(open(&fleet).is_empty());
}

#[test]
fn new_process() {
    let mut fleet = Fleet::default();
    fleet.observe("a", present(1, 1), 0);
    let before = fleet.by_id("a").unwrap();
    assert!(fleet.observe("a", present(2, 1), 1));
    assert_ne!(fleet.by_id("a"), Some(before));
}

#[test]
fn reused_address() {
    // After a power loss, the entries of crashed backends remain in the list next to the entries of
    // their replacements, with the same address.
    let mut fleet = Fleet::default();
    let listing = vec![("old".into(), present(1, 1)), ("new".into(), present(9, 1))];
    fleet.replace(listing, 0);
    assert_eq!(open(&fleet), ["new"]);
}

#[test]
fn unusable_entry() {
    let mut fleet = Fleet::default();
    let listing = vec![
        ("a".into(), present(1, 1)),
        ("b".into(), Observation::Unusable),
        ("c".into(), present(1, 3)),
    ];
    fleet.replace(listing, 0);
    assert_eq!(open(&fleet), ["a", "c"]);
}

#[test]
fn dropped_entry() {
    let mut fleet = Fleet::default();
    fleet.observe("a", present(1, 1), 0);
    assert!(fleet.observe("a", Observation::Dropped, 1));
    assert!(open(&fleet).is_empty());
}

#[test]
fn removal_in_outage() {
    let mut fleet = Fleet::default();
    fleet.observe("a", present(1, 1), 0);
    fleet.observe("b", present(1, 2), 0);
    fleet.store_recovered(100);
    fleet.observe("a", Observation::Dropped, 110);
    fleet.observe("b", Observation::Dropped, 110);
    assert_eq!(open(&fleet), ["a", "b"], "removed entries may reappear");
    fleet.observe("a", present(1, 1), 200);
    assert!(!fleet.remove_expired(100 + OUTAGE_GRACE_MS - 1));
    assert!(fleet.remove_expired(100 + OUTAGE_GRACE_MS));
    assert_eq!(open(&fleet), ["a"]);
}

#[test]
fn leaving_by_peer() {
    let mut fleet = Fleet::default();
    fleet.observe("a", present(5, 1), 0);
    assert!(!fleet.mark_leaving(process("a", 4, 1)), "the report concerns another process");
    assert!(fleet.mark_leaving(process("a", 5, 1)));
    assert!(open(&fleet).is_empty());
}
