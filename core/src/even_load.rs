//! Divides the slots of backends among gateways by demand, so that gateways which know the same reports do
//! not all choose the same backend.
//!
//! A report is out of date when it is used, but a gateway knows its own requests at any moment. Each slot
//! of a backend belongs to one gateway, by a number that all gateways derive from the backend and by the
//! request rates that they announce. A gateway that uses only slots of its own needs no news of the
//! others. Slots of others are used if the gateway has none left, by the reports.

use xxhash_rust::xxh3::xxh3_64;

use crate::least_loaded::{self, Candidate, Choice, Limits, LoadReport};

/// Part of the mean request rate that is added to the rate of each gateway, so that one without recent
/// requests has slots for its first ones.
const MIN_RATE_SHARE: f64 = 0.1;
/// Number of backends with own slots that are compared. A report is used until the next one, so a larger
/// sample makes the gateways choose the few backends that reported the least load.
const OWN_SAMPLE: usize = 3;
/// Numbers that a backend can have for the division.
const DIVISION_NUMBERS: f64 = 65_536.0;

/// Part of the slots of each backend that belongs to a gateway: an interval between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GatewayShare {
    start: f64,
    end: f64,
}

impl GatewayShare {
    /// Returns the share of the gateway `own`, beside `others` with their names and rates. The shares of
    /// gateways that know the same rates are adjacent, in the order of the names. Returns `None` if there
    /// are no others.
    pub fn new<'a>(
        own: &str,
        own_per_s: f64,
        others: impl IntoIterator<Item = (&'a str, f64)>,
    ) -> Option<Self> {
        let (mut sum_per_s, mut gateways) = (own_per_s, 1.0);
        let (mut before_per_s, mut gateways_before) = (0.0, 0.0);
        for (name, per_s) in others {
            sum_per_s += per_s;
            gateways += 1.0;
            if name < own {
                before_per_s += per_s;
                gateways_before += 1.0;
            }
        }
        if gateways <= 1.0 {
            return None;
        }
        let least_per_s = (sum_per_s / gateways * MIN_RATE_SHARE).max(f64::MIN_POSITIVE);
        let total_per_s = sum_per_s + least_per_s * gateways;
        let start = (before_per_s + least_per_s * gateways_before) / total_per_s;
        Some(Self { start, end: start + (own_per_s + least_per_s) / total_per_s })
    }

    /// Returns the size of the share, between 0 and 1.
    pub fn size(self) -> f64 {
        self.end - self.start
    }

    /// Returns how many of `slots` belong to this share. `number` is that of the backend. Over the adjacent
    /// shares of all gateways, the sum is `slots`.
    pub fn own_slots(self, slots: u32, number: u16) -> u32 {
        // The slot with index i is at the position (offset + i) / slots. Half a number keeps it off the bounds
        // of equal shares, where gateways could round differently.
        let offset = (f64::from(number) + 0.5) / DIVISION_NUMBERS;
        let slots_before = |position: f64| (position * f64::from(slots) - offset).ceil().max(0.0);
        (slots_before(self.end) - slots_before(self.start)) as u32
    }
}

/// Returns the number by which all gateways divide the slots of the backend with this address.
pub fn backend_number(address: &str) -> u16 {
    xxh3_64(address.as_bytes()) as u16
}

/// How a gateway chooses beside others.
#[derive(Clone, Copy, Debug)]
pub struct Competition {
    /// Share of this gateway, unless it knows of no other one.
    pub share: Option<GatewayShare>,
    /// Result of [`least_loaded::competing_gateways`].
    pub competing: usize,
    /// Result of [`least_loaded::sample_size`].
    pub sample_size: usize,
}

/// Result of the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Selected backend, or why there is none.
    pub choice: Choice,
    /// Whether the request uses a slot that belongs to this gateway.
    pub is_own_slot: bool,
}

/// Selects the least loaded of some backends at which a slot of this gateway is free, or if there is none,
/// a backend by [`least_loaded::choose`]. `draw` is a uniform random number.
///
/// If the gateways compete for the room that reports show, they divide that room instead, in proportion to
/// their rates: the slots of others are in use then, whoever they belong to.
pub fn choose(
    candidates: &[Candidate],
    limits: Limits,
    competition: Competition,
    draw: u64,
) -> Selection {
    let Competition { share, competing, sample_size } = competition;
    let common = |choice| Selection { choice, is_own_slot: false };
    match share {
        Some(share) if competing > 1 => {
            let share_of = |room, report: &LoadReport| share.own_slots(room, report.room_number);
            let has_room = |c: &Candidate| c.has_room(limits, share_of);
            let choice =
                least_loaded::choose_where(candidates, limits, has_room, sample_size, draw);
            return common(choice);
        }
        Some(share) => {
            let has_own_slot = |c: &&Candidate| has_own_slot(c, limits, share);
            let own: Vec<Candidate> = candidates.iter().filter(has_own_slot).copied().collect();
            let free = Limits { queued: 0, ..limits };
            let choice = least_loaded::choose(&own, free, 1, OWN_SAMPLE, draw);
            if matches!(choice, Choice::Send(_)) {
                return Selection { choice, is_own_slot: true };
            }
        }
        None => {}
    }
    common(least_loaded::choose(candidates, limits, competing, sample_size, draw))
}

/// Returns whether this gateway uses fewer slots of a healthy backend than belong to it.
fn has_own_slot(candidate: &Candidate, limits: Limits, share: GatewayShare) -> bool {
    let running = limits.running.map_or(candidate.slots, |running| running.min(candidate.slots));
    let own_slots = |number| share.own_slots(running, number);
    let report = candidate.report.filter(|report| report.is_serving && !candidate.ejected);
    report.is_some_and(|report| candidate.own_requests < own_slots(report.backend_number))
}
