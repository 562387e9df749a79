//! Admission level of a gateway, and what it means for requests of each urgency class.

#![allow(clippy::unwrap_used)]

use currantlink_core::admission::{Admission, AdmissionLevel, Room, turned_away_after_ms};
use currantlink_core::turns::{Origin, UrgencyClass};

const CLASSES: u8 = 3;
const SLOTS: u32 = 10;
const INTERVAL_MS: u64 = 250;
const HALF: f64 = 0.5;

/// Lets some new requests of a class arrive and be sent, or rejected for lack of room.
fn arrive(admission: &mut Admission, class: u8, count: u32, has_room: bool, now_ms: u64) {
    for _ in 0..count {
        admission.record_arrival(UrgencyClass(class), now_ms);
        match has_room {
            true => admission.record_sent(UrgencyClass(class), now_ms, 0, 400),
            false => admission.record_without_room(UrgencyClass(class), Origin::New, now_ms),
        }
    }
}

/// Lets a part of the requests of a class find no room for some time.
fn press(admission: &mut Admission, class: u8, from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..until_ms).step_by(10) {
        arrive(admission, class, 1, now_ms.is_multiple_of(20), now_ms);
    }
}

fn level(admission: &mut Admission, now_ms: u64) -> f64 {
    admission.level(now_ms).classes()
}

fn announced(class: u8, next_share: f64) -> AdmissionLevel {
    AdmissionLevel { class: UrgencyClass(class), next_share }
}

#[test]
fn all_admitted() {
    let mut admission = Admission::new(CLASSES, 0);
    for class in 0..CLASSES {
        assert!(admission.admits(UrgencyClass(class), 100, 0.99));
        assert_eq!(admission.reserve(UrgencyClass(class), 100, SLOTS, HALF), 0);
    }
}

// An urgent class found no room while less urgent ones were admitted.
#[test]
fn less_urgent_held_back() {
    let mut admission = Admission::new(CLASSES, 0);
    arrive(&mut admission, 2, 10, true, 0);
    press(&mut admission, 0, 0, 2_000);
    assert!(!admission.admits(UrgencyClass(2), 2_000, 0.0));
    assert!(admission.admits(UrgencyClass(0), 2_000, 0.99), "it is pressed itself");
    assert_eq!(admission.reserve(UrgencyClass(2), 2_000, SLOTS, HALF), 1);
    assert_eq!(admission.reserve(UrgencyClass(0), 2_000, SLOTS, HALF), 0);
}

#[test]
fn falls_faster_than_it_rises() {
    let mut admission = Admission::new(CLASSES, 0);
    press(&mut admission, 0, 0, INTERVAL_MS);
    let fallen = f64::from(CLASSES) - level(&mut admission, INTERVAL_MS);
    let risen = level(&mut admission, 2 * INTERVAL_MS) + fallen - f64::from(CLASSES);
    assert!(fallen > risen && risen > 0.0, "{fallen} {risen}");
    assert_eq!(level(&mut admission, 10_000), f64::from(CLASSES), "the pressure is over");
}

#[test]
fn own_class_pressed() {
    let mut admission = Admission::new(CLASSES, 0);
    press(&mut admission, 2, 0, 1_000);
    let level = admission.level(1_000);
    assert_eq!(level.class, UrgencyClass(1), "more urgent classes have room");
    assert!(level.next_share > 0.1 && level.next_share < 0.9, "{level:?}");
}

// Requests that were held back must not cause others of their class to be held back.
#[test]
fn returned_do_not_press() {
    let mut admission = Admission::new(CLASSES, 0);
    arrive(&mut admission, 2, 20, true, 0);
    for now_ms in 0..100 {
        admission.record_without_room(UrgencyClass(2), Origin::Returned, now_ms);
    }
    assert_eq!(level(&mut admission, INTERVAL_MS), f64::from(CLASSES));
}

#[test]
fn late_streams() {
    let mut admission = Admission::new(CLASSES, 0);
    (0..100).for_each(|index| admission.record_stream(0, index % 2 == 0));
    let level = admission.level(INTERVAL_MS);
    assert_eq!(level.class, UrgencyClass(1), "only the least urgent class is held back");
    assert!(level.next_share < 1.0);
}

#[test]
fn levels_of_others() {
    let mut admission = Admission::new(CLASSES, 0);
    admission.learn("b", announced(0, 0.0), 0);
    assert_eq!(level(&mut admission, 0), 2.0, "mean of 3 and 1");
    assert_eq!(admission.reserve(UrgencyClass(2), 0, SLOTS, HALF), 1, "one is pressed somewhere");
    admission.learn("b", announced(1, 0.0), 500);
    assert_eq!(level(&mut admission, 500), 2.5, "the newest level counts");
    assert_eq!(admission.inputs(1_000).oldest_age_ms, Some(500));
    assert_eq!(level(&mut admission, 3_000), 3.0, "the announcement is too old");
    assert_eq!(admission.reserve(UrgencyClass(2), 3_000, SLOTS, HALF), 0);
}

// A gateway with another configuration may announce classes that do not exist here.
#[test]
fn malformed_levels() {
    let mut admission = Admission::new(CLASSES, 0);
    admission.learn("b", announced(255, 0.0), 0);
    admission.learn("c", announced(0, f64::NAN), 0);
    admission.learn("d", announced(0, -7.0), 0);
    let level = level(&mut admission, 0);
    assert!((1.0..=f64::from(CLASSES)).contains(&level), "{level}");
}

#[test]
fn starved_class() {
    let mut admission = Admission::new(CLASSES, 0);
    press(&mut admission, 0, 0, 2_000);
    arrive(&mut admission, 2, 10, false, 2_000);
    assert!(admission.is_starved(UrgencyClass(2)));
    assert!(admission.admits(UrgencyClass(2), 2_000, 0.99));
    assert_eq!(admission.reserve(UrgencyClass(2), 2_000, SLOTS, HALF), 0);
    assert!(!admission.is_starved(UrgencyClass(0)));
    assert!(!admission.is_starved(UrgencyClass(1)), "it has no requests");
}

#[test]
fn silent_gateway() {
    let mut admission = Admission::new(CLASSES, 0);
    assert_eq!(admission.announced(0), None, "it has had no requests");
    arrive(&mut admission, 0, 10, true, 0);
    assert_eq!(admission.announced(0), None, "all classes are admitted everywhere");
    admission.learn("b", announced(0, 0.0), 0);
    assert_eq!(admission.announced(0), Some(announced(2, 0.0)), "others need it for the mean");
    admission.learn("b", announced(0, 0.0), 20_000);
    assert_eq!(admission.announced(20_000), None, "it has had no requests for long");
}

#[test]
fn room_left() {
    let room = |taken, are_waiting| Room { taken, are_waiting }.is_free();
    assert!(room(0.4, true) && room(0.6, false) && !room(0.6, true) && !room(0.99, false));
}

#[test]
fn spread_of_returns() {
    assert_eq!(turned_away_after_ms(0, 8_000, 0.0), 1_200);
    assert_eq!(turned_away_after_ms(0, 8_000, 1.0), 2_400);
    assert_eq!(turned_away_after_ms(0, 60_000, 1.0), 2_500);
    assert_eq!(turned_away_after_ms(2_000, 8_000, 0.0), 2_000, "recognized when it returns");
    assert_eq!(turned_away_after_ms(9_000, 3_000, 0.0), 900, "callers wait for no longer");
}
