//! What admission by urgency class decides and records for one request. All of this has no effect on
//! requests for services whose routes have the same priority.

use std::time::Duration;

use currantlink_core::admission::{Admission, turned_away_after_ms};
use currantlink_core::turns::{Origin, UrgencyClass};

use crate::clock::now_ms;
use crate::rejection::{NotRunReason, Rejection};
use crate::request_handler::{Call, Gateway};

impl Gateway {
    /// Records that a request arrives, and rejects it if it is to be held back.
    ///
    /// # Errors
    ///
    /// Fails if more urgent requests need the room.
    pub(crate) fn admit_in_class(&self, call: &Call, origin: Origin) -> Result<(), Rejection> {
        let (Some(class), Origin::New) = (call.class, origin) else {
            return Ok(());
        };
        let now = now_ms();
        let admits = self.with_admission(call, |admission, class| {
            admission.record_arrival(class, now);
            admission.admits(class, now, rand::random())
        });
        if admits.unwrap_or(true) {
            return Ok(());
        }
        let room = self.room(call);
        if room.is_free() {
            return Ok(());
        }
        let view = self.with_admission(call, |a, _| (a.level(now), a.inputs(now)));
        if let Some((level, inputs)) = view {
            log::info!(request = call.attempt_id.as_str(), route = call.route().name.as_str(),
                class:% = class, level = level.classes(), own_level = inputs.own.classes(),
                gateways = inputs.others, level_age_ms = inputs.oldest_age_ms, taken = room.taken,
                waiting = room.are_waiting, config_version = call.table.version();
                "request held back for more urgent ones");
        }
        metrics::counter!("currantlink_held_back_total", "service" => call.service().name.clone(),
            "class" => class.to_string())
        .increment(1);
        Err(self.not_run_rejection(call, NotRunReason::HeldBack))
    }

    /// Returns the urgency class by which a request waits: its own, or the most urgent one if its class is
    /// starved.
    pub(crate) fn turn_class(&self, call: &Call) -> UrgencyClass {
        let is_starved = self.with_admission(call, |admission, class| admission.is_starved(class));
        match is_starved {
            Some(true) => UrgencyClass::default(),
            Some(false) | None => call.class.unwrap_or_default(),
        }
    }

    /// Returns how many of `slots` of a backend a request leaves to more urgent ones.
    pub(crate) fn reserved_slots(&self, call: &Call, slots: u32) -> u32 {
        let reserve = |admission: &mut Admission, class| {
            admission.reserve(class, now_ms(), slots, rand::random())
        };
        self.with_admission(call, reserve).unwrap_or(0)
    }

    /// Records that a request was sent to a backend for the first time, after a wait in this gateway.
    pub(crate) fn record_sent_in_class(&self, call: &Call, waited_ms: u64) {
        let target_ms = call.route().target_ms;
        self.with_admission(call, |admission, class| {
            admission.record_sent(class, now_ms(), waited_ms, target_ms);
        });
    }

    /// Records that a request is rejected because no backend takes it in time.
    pub(crate) fn record_without_room(&self, call: &Call, origin: Origin) {
        self.with_admission(call, |admission, class| {
            admission.record_without_room(class, origin, now_ms());
        });
    }

    /// Records the longest pause between the events of a completed stream.
    pub(crate) fn record_pause_in_class(&self, call: &Call, longest_ms: f64) {
        let target_ms = call.route().repeat.gap_target_ms();
        let is_late = target_ms.is_some_and(|target_ms| longest_ms > target_ms as f64);
        self.with_admission(call, |admission, _| admission.record_stream(now_ms(), is_late));
    }

    /// Returns the delay before a request that found no room should be sent again, or `None` if its
    /// service has a single urgency class.
    pub(crate) fn class_retry_after(&self, call: &Call, at_least_ms: u64) -> Option<Duration> {
        call.class?;
        let left_ms = call.remaining().as_millis() as u64;
        let after_ms = turned_away_after_ms(at_least_ms, left_ms, rand::random());
        Some(Duration::from_millis(after_ms))
    }

    fn with_admission<R>(
        &self,
        call: &Call,
        update: impl FnOnce(&mut Admission, UrgencyClass) -> R,
    ) -> Option<R> {
        let class = call.class?;
        let classes = call.table.class_count(call.service_key);
        let service = &call.service().name;
        Some(self.admission.with(service, classes, |admission| update(admission, class)))
    }
}
