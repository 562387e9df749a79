//! Which backends count as cold, and until when.
//!
//! A cold backend tolerates few requests. Its record and the heads of its responses say how long it
//! remains cold, but a record is out of date by up to [`MAX_RECORD_AGE_MS`]. So a backend also counts
//! as cold for the cold time of its service after anything that may have made it cold, unless
//! something that it said later shows otherwise.

use std::hash::Hash;

use derive_more::Display;
use indexmap::IndexMap;

/// Maximum age of a backend's record when it is read. Backends write it every 1 to 2.5 s.
pub const MAX_RECORD_AGE_MS: u64 = 2_500;
/// Time for which a backend that could not be reached may return at any moment. A process that has ended has
/// left the list by then. It must not last longer: a gateway without a part of the rate does not hear it.
const ABSENT_UNTIL_MS: u64 = 10_000;
/// Longest remaining time that is kept. A record that names more is wrong.
const MAX_REMAINING_MS: u64 = 600_000;

/// What may have made a backend cold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ColdCause {
    /// This gateway has started and the backend's record does not say whether it is cold.
    #[display("unknown")]
    Unknown,
    /// The process of the backend has started.
    #[display("started")]
    Started,
    /// The backend was not heard for some time.
    #[display("returned")]
    Returned,
    /// The evacuation of its failure domain was lifted.
    #[display("lifted")]
    Lifted,
    /// Its record says so.
    #[display("record")]
    Record,
    /// The head of a response says so.
    #[display("header")]
    Header,
}

/// A backend of the platform's list, as it was read.
#[derive(Clone, Copy, Debug)]
pub struct ListedBackend<'a> {
    /// Id.
    pub id: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Failure domain.
    pub failure_domain: &'a str,
    /// Remaining cold time that its record names, if it names one.
    pub remaining_ms: Option<u64>,
    /// Whether the listing is the first one that this gateway reads.
    pub is_first_listing: bool,
}

/// What is known of the coldness of all backends.
#[derive(Clone, Debug)]
pub struct ColdStates<K> {
    backends: IndexMap<K, ColdState>,
}

#[derive(Clone, Debug)]
struct ColdState {
    id: String,
    service: String,
    failure_domain: String,
    /// The latest event that may have made the backend cold.
    event: Option<ColdEvent>,
    /// What its record said last.
    record: Option<Statement>,
    /// What a response said last.
    header: Option<Statement>,
    /// Time at which the backend could not be reached, if it has not been heard since.
    absent_at_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct ColdEvent {
    at_ms: u64,
    cause: ColdCause,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    said_at_ms: u64,
    until_ms: u64,
}

/// A backend that counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBackend<'a> {
    /// Id.
    pub id: &'a str,
    /// Name of the service.
    pub service: &'a str,
    /// Why it counts as cold.
    pub cause: ColdCause,
    /// Until when, by what is known now.
    pub until_ms: u64,
}

impl<K> Default for ColdStates<K> {
    fn default() -> Self {
        Self { backends: IndexMap::new() }
    }
}

impl<K: Copy + Eq + Hash> ColdStates<K> {
    /// Records a backend's record. A key that is new after the first listing is a process that has started.
    pub fn record_listed(&mut self, key: K, listed: ListedBackend<'_>, now_ms: u64) {
        let ListedBackend { id, service, failure_domain, remaining_ms, is_first_listing } = listed;
        let cause = match (is_first_listing, remaining_ms) {
            (false, _) => Some(ColdCause::Started),
            (true, None) => Some(ColdCause::Unknown),
            (true, Some(_)) => None,
        };
        let state = self.backends.entry(key).or_insert_with(|| ColdState {
            id: id.to_owned(),
            service: service.to_owned(),
            failure_domain: failure_domain.to_owned(),
            event: cause.map(|cause| ColdEvent { at_ms: now_ms, cause }),
            record: None,
            header: None,
            absent_at_ms: None,
        });
        match remaining_ms {
            Some(0) => {
                // The record may have been written before the event.
                let is_earlier = |at_ms: u64| at_ms + MAX_RECORD_AGE_MS <= now_ms;
                state.event = state.event.filter(|event| !is_earlier(event.at_ms));
                state.header = state.header.filter(|header| !is_earlier(header.said_at_ms));
                state.record = None;
            }
            Some(remaining_ms) => state.record = Some(Statement::new(remaining_ms, now_ms)),
            None => {}
        }
    }

    /// Records the remaining cold time in the head of a response to a request sent at `sent_at_ms`.
    pub fn record_header(&mut self, key: K, remaining_ms: u64, sent_at_ms: u64, now_ms: u64) {
        let Some(state) = self.backends.get_mut(&key) else {
            return;
        };
        state.header = Some(Statement::new(remaining_ms, now_ms)).filter(|_| remaining_ms > 0);
        if remaining_ms == 0 {
            state.event = state.event.filter(|event| event.at_ms > sent_at_ms);
            state.record = state.record.filter(|record| record.said_at_ms > sent_at_ms);
        }
    }

    /// Records that a backend cannot be reached.
    pub fn record_absent(&mut self, key: K, now_ms: u64) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.absent_at_ms = Some(now_ms);
        }
    }

    /// Records that a backend was heard. It may have been down if it could not be reached before.
    pub fn record_heard(&mut self, key: K, now_ms: u64) {
        if self.backends.get(&key).is_some_and(|state| state.absent_at_ms.is_some()) {
            self.record_return(key, now_ms);
        }
    }

    /// Records that a backend was heard again after it was not heard for some time.
    pub fn record_return(&mut self, key: K, now_ms: u64) {
        if let Some(state) = self.backends.get_mut(&key) {
            state.absent_at_ms = None;
            state.record_event(ColdEvent { at_ms: now_ms, cause: ColdCause::Returned });
        }
    }

    /// Records that the evacuation of a failure domain was lifted: its backends had no requests before.
    pub fn record_lifted(&mut self, failure_domain: &str, at_ms: u64) {
        let states = self.backends.values_mut().filter(|s| s.failure_domain == failure_domain);
        states.for_each(|s| s.record_event(ColdEvent { at_ms, cause: ColdCause::Lifted }));
    }

    /// Returns a backend if it counts as cold. `start_ms` returns the cold time of a service, or `None` if it
    /// has no cold phase.
    pub fn cold(
        &self,
        key: K,
        start_ms: impl Fn(&str) -> Option<u64>,
        now_ms: u64,
    ) -> Option<ColdBackend<'_>> {
        let state = self.backends.get(&key)?;
        state.cold(start_ms(&state.service)?, now_ms)
    }

    /// Returns the backends that count as cold.
    pub fn all_cold<'a>(
        &'a self,
        start_ms: impl Fn(&str) -> Option<u64> + 'a,
        now_ms: u64,
    ) -> impl Iterator<Item = (K, ColdBackend<'a>)> {
        let states = self.backends.iter().filter(|(_, state)| state.may_be_cold());
        states.filter_map(move |(&key, state)| {
            Some((key, state.cold(start_ms(&state.service)?, now_ms)?))
        })
    }

    /// Returns the service of a backend.
    pub fn service(&self, key: K) -> Option<&str> {
        self.backends.get(&key).map(|state| state.service.as_str())
    }

    /// Removes the backends for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(K) -> bool) {
        self.backends.retain(|&key, _| known(key));
    }
}

impl ColdState {
    fn may_be_cold(&self) -> bool {
        self.absent_at_ms.is_some()
            || self.event.is_some()
            || self.record.is_some()
            || self.header.is_some()
    }

    fn record_event(&mut self, event: ColdEvent) {
        if self.event.is_none_or(|known| known.at_ms <= event.at_ms) {
            self.event = Some(event);
        }
    }

    fn cold(&self, start_ms: u64, now_ms: u64) -> Option<ColdBackend<'_>> {
        let said = |cause| move |said: Statement| (cause, said.until_ms);
        let causes = [
            self.absent_at_ms.map(|at_ms| (ColdCause::Returned, at_ms + ABSENT_UNTIL_MS)),
            self.event.map(|event| (event.cause, event.at_ms.saturating_add(start_ms))),
            self.record.map(said(ColdCause::Record)),
            self.header.map(said(ColdCause::Header)),
        ];
        let latest = causes.into_iter().flatten().max_by_key(|&(_, until_ms)| until_ms);
        let (cause, until_ms) = latest.filter(|&(_, until_ms)| now_ms < until_ms)?;
        Some(ColdBackend { id: &self.id, service: &self.service, cause, until_ms })
    }
}

impl Statement {
    fn new(remaining_ms: u64, now_ms: u64) -> Self {
        Self { said_at_ms: now_ms, until_ms: now_ms + remaining_ms.min(MAX_REMAINING_MS) }
    }
}

/// Time without a report of its agent after which a backend may have been down. Agents report every 80 to
/// 240 ms, so three reports in a row are missing.
const ABSENT_MS: u64 = 750;
/// Time without a report of any backend after which this process, not a backend, has been away.
const DEAF_MS: u64 = 300;

/// Notices backends that are heard again after some time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnDetector {
    heard_at_ms: u64,
    /// Until when this process heard nothing itself.
    deaf_until_ms: u64,
}

impl ReturnDetector {
    /// Records a report of a backend whose report before was at `before_ms`. Returns whether the backend was
    /// not heard for some time although others were.
    pub fn record_report(&mut self, before_ms: Option<u64>, now_ms: u64) -> bool {
        if now_ms.saturating_sub(self.heard_at_ms) > DEAF_MS {
            self.deaf_until_ms = now_ms;
        }
        self.heard_at_ms = now_ms;
        let since_ms = before_ms.map(|before_ms| before_ms.max(self.deaf_until_ms));
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) > ABSENT_MS)
    }
}
