//! Detection of backends that have stopped or cannot be reached.

use currantlink_core::silence::{SILENT_AFTER_MS, SILENT_UNTIL_MS, silent_backends};

const NOW_MS: u64 = 100_000;

fn silent(ages_ms: &[u64]) -> Vec<usize> {
    let heard: Vec<_> = ages_ms.iter().enumerate().map(|(key, age)| (key, NOW_MS - age)).collect();
    silent_backends(&heard, NOW_MS).into_iter().collect()
}

#[test]
fn one_silent() {
    assert_eq!(silent(&[40, SILENT_AFTER_MS, 120]), [1]);
    assert_eq!(silent(&[40, SILENT_AFTER_MS - 1, 120]), [] as [usize; 0]);
}

#[test]
fn most_silent() {
    assert_eq!(silent(&[2_000, 100, 3_000, 2_500]), [0, 2, 3]);
}

#[test]
fn nothing_received() {
    assert_eq!(silent(&[1_000, 2_000, 4_000]), [] as [usize; 0], "the process was suspended");
    assert_eq!(silent(&[1_000]), [] as [usize; 0], "one backend cannot be compared");
}

#[test]
fn agent_gone() {
    assert_eq!(silent(&[40, SILENT_UNTIL_MS]), [] as [usize; 0], "the list governs by then");
}

#[test]
fn future_times() {
    let heard = [(0, NOW_MS + 5), (1, NOW_MS - SILENT_AFTER_MS)];
    assert_eq!(silent_backends(&heard, NOW_MS).into_iter().collect::<Vec<_>>(), [1]);
}
