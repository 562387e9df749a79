//! Admission of requests by urgency class, agreed between gateways without a coordinator.
//!
//! Addresses overload by less urgent requests of a service whose routes differ in priority. Each
//! gateway lowers its admission level when requests wait long, are turned away for lack of room, or
//! are streamed with pauses that are too long, and raises it gradually otherwise. Gateways announce
//! their levels to each other. Less urgent requests are held back at once while the mean level is low,
//! and leave a reserve of slots to more urgent ones while any level is low. The level follows DAGOR
//! (overload control by business priority, with levels that are piggybacked on messages); the reserve
//! follows the trunk reservation of telephone networks.

use std::cmp::Ordering;

use indexmap::IndexMap;

use crate::gateway_rates::MAX_ANNOUNCEMENT_AGE_MS;
use crate::turns::{Origin, UrgencyClass};

/// Interval between two changes of the level: at least one report of each backend.
const UPDATE_INTERVAL_MS: u64 = 250;
/// Fall of the level, in classes, if none of the requests of a class that is admitted completely found
/// room in an interval.
const FALL: f64 = 1.0;
/// Part by which the share of the class that is admitted partly falls if none of its new requests found
/// room in an interval.
const SHARE_FALL: f64 = 0.5;
/// Rise of the level, in classes, in an interval without pressure: one class in a second.
const RISE: f64 = 0.25;
/// Share of the requests of a class without room that does not count: single ones are due to reports that
/// are out of date.
const MIN_PRESSURE: f64 = 0.02;
/// Part of the target time beyond which a request that waits counts as one without room.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Part of the slots that must be taken for a request to be held back while none waits. Below, there is
/// room for what comes until the next reports.
const MIN_TAKEN: f64 = 0.93;
/// Part of the slots of a backend that is reserved for more urgent classes, if the level is low.
const RESERVE: f64 = 0.1;
/// A class is starved if its served share falls below this part of the served share of all requests. No
/// class may get less than a quarter.
const STARVED: f64 = 0.4;
/// Time over which served shares are averaged.
const SHARE_MS: f64 = 2_000.0;
/// Smallest number of requests from which a served share is computed.
const MIN_REQUESTS: f64 = 4.0;
/// Longest delay before a request that was turned away returns, as a share of its remaining time. Callers
/// do not wait longer than a third of it.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// Shortest delay, as a part of the longest. Bursts last longer than the delays, so a request that
/// returns later is more likely to find room.
const MIN_RETRY_AFTER: f64 = 0.5;
/// Longest delay. A gateway recognizes requests that return within 3 s of its last rejection.
const MAX_RETRY_AFTER_MS: f64 = 2_500.0;

/// Returns the delay before a request that was turned away should be sent again. `draw` is a uniform
/// random number below 1, which spreads the requests.
///
/// It is not shorter than `at_least_ms`, if the remaining time allows that.
pub fn turned_away_after_ms(at_least_ms: u64, remaining_ms: u64, draw: f64) -> u64 {
    let honoured_ms = MAX_RETRY_AFTER_SHARE * remaining_ms as f64;
    let longest_ms = honoured_ms.min(MAX_RETRY_AFTER_MS);
    let spread_ms = longest_ms * (MIN_RETRY_AFTER + (1.0 - MIN_RETRY_AFTER) * draw);
    spread_ms.max((at_least_ms as f64).min(honoured_ms)) as u64
}

/// Admission level of a gateway for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// Least urgent class that is admitted completely.
    pub class: UrgencyClass,
    /// Share of the next class that is admitted.
    pub next_share: f64,
}

impl AdmissionLevel {
    /// Returns the level as a number of classes.
    pub fn classes(self) -> f64 {
        f64::from(self.class.0) + 1.0 + self.next_share
    }

    /// Returns the level that admits a number of classes.
    fn of_classes(classes: f64) -> Self {
        let complete = classes.floor().clamp(1.0, f64::from(u8::MAX));
        let class = UrgencyClass(complete as u8 - 1);
        Self { class, next_share: (classes - complete).clamp(0.0, 1.0) }
    }

    /// Returns the share of a class that is admitted.
    fn share(self, class: UrgencyClass) -> f64 {
        (self.classes() - f64::from(class.0)).clamp(0.0, 1.0)
    }
}

/// What the level in force was computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelInputs {
    /// Level of this gateway.
    pub own: AdmissionLevel,
    /// Number of other gateways whose levels are known.
    pub others: usize,
    /// Age of the oldest of these levels.
    pub oldest_age_ms: Option<u64>,
}

/// Load of the backends of a service, as this gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Slots that are taken, as a part of those that may be used.
    pub taken: f64,
    /// Whether requests wait in this gateway.
    pub are_waiting: bool,
}

impl Room {
    /// Returns whether there is room for requests of all classes.
    ///
    /// Requests that wait while half of the slots are free do not wait for slots.
    pub fn is_free(self) -> bool {
        self.taken < 0.5 || self.taken < MIN_TAKEN && !self.are_waiting
    }
}

/// Requests of a class in the current interval, and recent ones with less weight the older they are.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    arrived: u32,
    without_room: u32,
    /// Requests without room that did not arrive for the first time.
    others_without_room: u32,
    recent_arrived: f64,
    recent_sent: f64,
}

impl ClassCounts {
    /// Returns the share of the requests that found no room.
    fn pressure(&self) -> f64 {
        share(self.without_room + self.others_without_room, self.arrived)
    }

    /// Returns the share of the new requests that found no room.
    ///
    /// Those that return do not count against the new ones of their class, or requests that were held
    /// back would cause others to be held back.
    fn new_pressure(&self) -> f64 {
        share(self.without_room, self.arrived)
    }
}

/// Returns whether an announced level counts.
fn is_current(announced_at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(announced_at_ms) < MAX_ANNOUNCEMENT_AGE_MS
}

/// Returns the share of `count` in `of`.
fn share(count: u32, of: u32) -> f64 {
    (f64::from(count) / f64::from(of.max(1))).min(1.0)
}

/// Admission to one service in a gateway.
#[derive(Clone, Debug)]
pub struct Admission {
    counts: Vec<ClassCounts>,
    /// Streams that ended in the current interval, and those of them with too long pauses.
    streams: u32,
    late_streams: u32,
    /// Number of classes that this gateway would admit.
    own: f64,
    updated_at_ms: u64,
    averaged_at_ms: u64,
    others: IndexMap<String, (u64, AdmissionLevel)>,
}

impl Admission {
    /// Creates the state for a service with a number of urgency classes.
    pub fn new(classes: u8, now_ms: u64) -> Self {
        Self {
            counts: vec![ClassCounts::default(); usize::from(classes.max(1))],
            streams: 0,
            late_streams: 0,
            own: f64::from(classes.max(1)),
            updated_at_ms: now_ms,
            averaged_at_ms: now_ms,
            others: IndexMap::new(),
        }
    }

    /// Returns the number of urgency classes.
    pub fn classes(&self) -> u8 {
        self.counts.len() as u8
    }

    /// Records a request that arrives for the first time.
    pub fn record_arrival(&mut self, class: UrgencyClass, now_ms: u64) {
        self.update(now_ms);
        if let Some(counts) = self.counts_mut(class) {
            counts.arrived += 1;
            counts.recent_arrived += 1.0;
        }
    }

    /// Records a request that was sent to a backend after a wait in this gateway.
    pub fn record_sent(
        &mut self,
        class: UrgencyClass,
        now_ms: u64,
        waited_ms: u64,
        target_ms: u64,
    ) {
        self.update(now_ms);
        let is_long = waited_ms as f64 > MAX_WAIT_SHARE * target_ms as f64;
        if let Some(counts) = self.counts_mut(class) {
            counts.recent_sent += 1.0;
            counts.without_room += u32::from(is_long);
        }
    }

    /// Records a request that is rejected because no backend takes it in time.
    pub fn record_without_room(&mut self, class: UrgencyClass, origin: Origin, now_ms: u64) {
        self.update(now_ms);
        if let Some(counts) = self.counts_mut(class) {
            match origin {
                Origin::New => counts.without_room += 1,
                Origin::Moved | Origin::Returned => counts.others_without_room += 1,
            }
        }
    }

    /// Records the end of a stream of any class. `is_late` is whether a pause between its events was too
    /// long.
    pub fn record_stream(&mut self, now_ms: u64, is_late: bool) {
        self.update(now_ms);
        self.streams += 1;
        self.late_streams += u32::from(is_late);
    }

    /// Records the level that another gateway announces.
    pub fn learn(&mut self, gateway: &str, level: AdmissionLevel, now_ms: u64) {
        if level.next_share.is_finite() {
            self.others.insert(gateway.to_owned(), (now_ms, level));
        }
    }

    /// Returns the level that this gateway announces. It announces none if it has too few requests to know
    /// one, or if all classes are admitted at all gateways, which saves the bytes.
    pub fn announced(&mut self, now_ms: u64) -> Option<AdmissionLevel> {
        self.update(now_ms);
        let arrived: f64 = self.counts.iter().map(|counts| counts.recent_arrived).sum();
        let is_low = self.least(now_ms) < self.counts.len() as f64;
        (is_low && arrived >= MIN_REQUESTS).then(|| AdmissionLevel::of_classes(self.own))
    }

    /// Returns the level in force here: the mean of all gateways.
    pub fn level(&mut self, now_ms: u64) -> AdmissionLevel {
        self.update(now_ms);
        let (sum, count) = self
            .others(now_ms)
            .fold((self.own, 1.0), |(sum, count), other| (sum + other, count + 1.0));
        AdmissionLevel::of_classes(sum / count)
    }

    /// Returns whether a new request is admitted whatever room there is. `draw` is a uniform random
    /// number below 1. Other new requests are held back unless there is [room](Room::is_free).
    pub fn admits(&mut self, class: UrgencyClass, now_ms: u64, draw: f64) -> bool {
        draw < self.level(now_ms).share(class) || self.is_starved(class)
    }

    /// Returns what the level in force was computed from, for the log.
    pub fn inputs(&self, now_ms: u64) -> LevelInputs {
        let ages = self.others.values().map(|(at_ms, _)| now_ms.saturating_sub(*at_ms));
        let current = ages.filter(|&age_ms| age_ms < MAX_ANNOUNCEMENT_AGE_MS);
        LevelInputs {
            own: AdmissionLevel::of_classes(self.own),
            others: current.clone().count(),
            oldest_age_ms: current.max(),
        }
    }

    /// Returns how many of `slots` of a backend a request of a class leaves to more urgent ones. `draw`
    /// is a uniform random number below 1, by which a fraction is rounded.
    pub fn reserve(&mut self, class: UrgencyClass, now_ms: u64, slots: u32, draw: f64) -> u32 {
        self.update(now_ms);
        let classes = self.counts.len() as f64;
        if self.least(now_ms) >= classes || class.0 == 0 || self.is_starved(class) {
            return 0;
        }
        let part = f64::from(class.0) / (classes - 1.0).max(1.0);
        let reserve = RESERVE * part.min(1.0) * f64::from(slots);
        let whole = reserve.floor();
        (whole as u32 + u32::from(draw < reserve - whole)).min(slots / 2)
    }

    /// Returns whether a class is served so much less often than all requests that it goes before others.
    pub fn is_starved(&self, class: UrgencyClass) -> bool {
        let Some(own) = self.counts.get(usize::from(class.0)) else {
            return false;
        };
        let arrived: f64 = self.counts.iter().map(|counts| counts.recent_arrived).sum();
        let sent: f64 = self.counts.iter().map(|counts| counts.recent_sent).sum();
        own.recent_arrived >= MIN_REQUESTS
            && own.recent_sent / own.recent_arrived < STARVED * (sent / arrived).min(1.0)
    }

    /// Returns the lowest level of any gateway.
    fn least(&self, now_ms: u64) -> f64 {
        self.others(now_ms).fold(self.own, f64::min)
    }

    fn others(&self, now_ms: u64) -> impl Iterator<Item = f64> {
        let most = self.counts.len() as f64;
        let current = self.others.values().filter(move |(at_ms, _)| is_current(*at_ms, now_ms));
        current.map(move |(_, level)| level.classes().clamp(1.0, most))
    }

    fn counts_mut(&mut self, class: UrgencyClass) -> Option<&mut ClassCounts> {
        self.counts.get_mut(usize::from(class.0))
    }

    /// Changes the level by what was seen since the last change.
    fn update(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.averaged_at_ms) as f64;
        let decay = (-elapsed_ms / SHARE_MS).exp();
        self.averaged_at_ms = self.averaged_at_ms.max(now_ms);
        for counts in &mut self.counts {
            counts.recent_arrived *= decay;
            counts.recent_sent *= decay;
        }
        let intervals = now_ms.saturating_sub(self.updated_at_ms) / UPDATE_INTERVAL_MS;
        if intervals == 0 {
            return;
        }
        self.updated_at_ms += intervals * UPDATE_INTERVAL_MS;
        self.others.retain(|_, (at_ms, _)| is_current(*at_ms, now_ms));
        let most = self.counts.len() as f64;
        // The class that is admitted partly, or the least urgent one if all are admitted.
        let partial = (self.own.floor() as usize).min(self.counts.len() - 1);
        let complete = partial as f64;
        // Streams of all classes pause alike, so only the least urgent class is held back for that.
        let late_streams = share(self.late_streams, self.streams);
        let pressed = |(class, counts): (usize, &ClassCounts)| {
            let pressure = match class.cmp(&partial) {
                Ordering::Less => counts.pressure(),
                Ordering::Equal if class + 1 == self.counts.len() => {
                    counts.new_pressure().max(late_streams)
                }
                Ordering::Equal | Ordering::Greater => counts.new_pressure(),
            };
            (pressure > MIN_PRESSURE).then_some((class, pressure))
        };
        self.own = match self.counts.iter().enumerate().find_map(pressed) {
            None => (self.own + RISE * intervals as f64).min(most),
            Some((class, pressure)) if class < partial => {
                (self.own - FALL * pressure).max((class + 1) as f64)
            }
            Some((class, pressure)) if class == partial => {
                complete + (self.own - complete) * (1.0 - SHARE_FALL * pressure)
            }
            // Those that are admitted completely have room.
            Some(_) => self.own,
        };
        (self.streams, self.late_streams) = (0, 0);
        for counts in &mut self.counts {
            let ClassCounts { recent_arrived, recent_sent, .. } = *counts;
            *counts = ClassCounts { recent_arrived, recent_sent, ..ClassCounts::default() };
        }
    }
}
