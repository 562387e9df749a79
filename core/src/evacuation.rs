//! Evacuations of failure domains: the operator requests that the backends of a domain get no new
//! requests until further notice.
//!
//! The load that it answers is an instruction that must reach all gateways within seconds, also those
//! that cannot reach the store. The state of a domain is known as of a position in the operator's topic;
//! of two states, the one with the higher position is in force. A gateway that has read the topic up to
//! a position does not believe what others announce as of an earlier one, and contradicts it.

use std::borrow::Borrow;
use std::cmp::Reverse;

use derive_more::{Display, Error};
use indexmap::{IndexMap, IndexSet};

use crate::position::Position;

/// Time for which the end of an evacuation is announced. Hello messages are sent every 500 ms to
/// gateways and every second to agents, and several in a row may be lost.
const LIFTED_ANNOUNCE_MS: u64 = 10_000;
/// Time after which an evacuation that no gateway announces any more is forgotten by a process that
/// does not read the operator's topic.
const UNCONFIRMED_MS: u64 = 10_000;
/// Time after a restore of the store within which the operator writes again what it lost.
const REWRITE_MS: u64 = 2_000;
/// Number of domains in one announcement. Their names may have 246 bytes, and a datagram 65,507.
const MAX_ANNOUNCED: usize = 64;
/// Number of domains without an evacuation that are remembered.
const MAX_LIFTED: usize = 256;

/// Name of a failure domain; not empty.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FailureDomain(String);

/// The name of a failure domain is empty.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("name of a failure domain is empty")]
pub struct EmptyDomainName;

impl TryFrom<&str> for FailureDomain {
    type Error = EmptyDomainName;

    fn try_from(name: &str) -> Result<Self, EmptyDomainName> {
        match name.is_empty() {
            true => Err(EmptyDomainName),
            false => Ok(Self(name.to_owned())),
        }
    }
}

impl Borrow<str> for FailureDomain {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl FailureDomain {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// What the operator's newest record of a domain says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Instruction {
    /// The domain's backends get no new requests.
    Evacuate,
    /// The domain is used again.
    Lift,
    /// The record cannot be read and changes nothing.
    Unreadable,
}

/// A record of the operator's topic about a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// Position of the record.
    pub position: Position,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Instruction.
    pub instruction: Instruction,
}

/// A read of the operator's topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Position up to which all records are known.
    pub next: Position,
    /// Whether the records are the newest of each key, rather than those since the previous read.
    pub is_listing: bool,
    /// Records about domains, in the order of their positions.
    pub records: Vec<EvacuationRecord>,
}

/// State of a domain as of a position, as gateways announce it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Failure domain.
    pub domain: FailureDomain,
    /// Position as of which the state is known.
    pub position: Position,
    /// Whether the domain is evacuated.
    pub is_active: bool,
}

/// What an announcement of another process changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// Nothing.
    Nothing,
    /// An evacuation that this process did not know was lifted recently.
    PastEvacuation,
    /// The evacuation of the domain begins or is lifted.
    Change,
}

#[derive(Clone, Copy, Debug)]
struct DomainState {
    position: Position,
    is_active: bool,
    /// Time at which the evacuation began or was lifted, as far as this process knows.
    changed_at_ms: u64,
    /// Time at which the evacuation was last read or announced by another process.
    heard_at_ms: u64,
    /// Time until which other processes are told that the evacuation was lifted.
    announced_until_ms: u64,
    /// Time since which the evacuation is missing in a restored store.
    missing_since_ms: Option<u64>,
}

/// Evacuations that this process knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: IndexMap<FailureDomain, DomainState>,
    /// Domains whose newest record is unreadable. What others announce of these is believed, because
    /// the record that counts is not in the topic's listing any more.
    unreadable: IndexSet<FailureDomain>,
    /// Position up to which this process has read the topic, the lowest one if it has not.
    next: Position,
}

impl Evacuations {
    /// Applies what was read from the operator's topic. Returns the domains whose evacuation began or
    /// was lifted, in order.
    ///
    /// A domain that is missing in a listing is not evacuated as of the listing. After a restore, the store
    /// may have lost the evacuation: it is lifted by [`Self::lift_missing`] unless it is written again.
    pub fn apply_reading(&mut self, reading: Reading, now_ms: u64) -> Vec<Announcement> {
        let Reading { next, is_listing, records } = reading;
        let as_of = next.before();
        let mut changes = Vec::new();
        if is_listing {
            let listed: IndexSet<&FailureDomain> = records.iter().map(|r| &r.domain).collect();
            let active = self.domains.iter().filter(|(_, state)| state.is_active);
            let missing = active.map(|(domain, _)| domain).filter(|d| !listed.contains(*d));
            let is_restored = self.next != Position::default() && self.next.era != next.era;
            for domain in missing.cloned().collect::<Vec<_>>() {
                match self.domains.get_mut(&domain) {
                    Some(state) if is_restored => {
                        state.missing_since_ms.get_or_insert(now_ms);
                    }
                    _ => changes.extend(self.apply(domain, as_of, false, now_ms)),
                }
            }
            self.unreadable.clear();
        }
        for EvacuationRecord { position, domain, instruction } in records {
            self.unreadable.shift_remove(&domain);
            // The listing shows the state as of its own position, whichever record it is from.
            let position = if is_listing { position.max(as_of) } else { position };
            match instruction {
                Instruction::Evacuate => changes.extend(self.apply(domain, position, true, now_ms)),
                Instruction::Lift => changes.extend(self.apply(domain, position, false, now_ms)),
                Instruction::Unreadable => drop(self.unreadable.insert(domain)),
            }
        }
        self.next = self.next.max(next);
        self.limit_lifted();
        changes
    }

    /// Lifts the evacuations that were missing in a restored store and were not written again. Returns
    /// their domains.
    pub fn lift_missing(&mut self, now_ms: u64) -> Vec<Announcement> {
        let is_due = |state: &DomainState| {
            state.is_active && state.missing_since_ms.is_some_and(|at| at + REWRITE_MS <= now_ms)
        };
        let due = self.domains.iter().filter(|(_, state)| is_due(state));
        let due: Vec<FailureDomain> = due.map(|(domain, _)| domain.clone()).collect();
        let as_of = self.next.before();
        due.into_iter().filter_map(|domain| self.apply(domain, as_of, false, now_ms)).collect()
    }

    /// Applies what another process announces.
    pub fn learn(&mut self, announced: Announcement, now_ms: u64) -> Learned {
        let Announcement { domain, position, is_active } = announced;
        let is_read = position < self.next && !self.unreadable.contains(&domain);
        match is_read {
            true if is_active && !self.is_active(domain.as_str()) => {
                self.contradict(domain, now_ms);
                Learned::Nothing
            }
            _ if !is_active && !self.domains.contains_key(&domain) => {
                self.remember_lifted(domain, position, now_ms);
                Learned::PastEvacuation
            }
            true => Learned::Nothing,
            false => match self.apply(domain, position, is_active, now_ms) {
                Some(_) => Learned::Change,
                None => Learned::Nothing,
            },
        }
    }

    /// Returns what other processes are told: evacuations, and those that were lifted recently. The
    /// newest come first.
    pub fn announced(&self, now_ms: u64) -> Vec<Announcement> {
        let is_announced =
            |state: &DomainState| state.is_active || now_ms < state.announced_until_ms;
        let states = self.domains.iter().filter(|(_, state)| is_announced(state));
        let mut announced: Vec<Announcement> = states
            .map(|(domain, state)| Announcement {
                domain: domain.clone(),
                position: state.position,
                is_active: state.is_active,
            })
            .collect();
        announced.sort_by_key(|a| (!a.is_active, Reverse(a.position)));
        announced.truncate(MAX_ANNOUNCED);
        announced
    }

    /// Returns whether a domain is evacuated.
    pub fn is_active(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|state| state.is_active)
    }

    /// Returns the evacuated domains.
    pub fn active(&self) -> impl Iterator<Item = &FailureDomain> {
        self.domains.iter().filter(|(_, state)| state.is_active).map(|(domain, _)| domain)
    }

    /// Returns when this process learned that the evacuation of a domain was lifted. `None` if the
    /// domain is evacuated, or no evacuation of it is known.
    pub fn lifted_at_ms(&self, domain: &str) -> Option<u64> {
        let state = self.domains.get(domain).filter(|state| !state.is_active)?;
        Some(state.changed_at_ms)
    }

    /// Forgets evacuations that no process has announced for some time. For processes that do not read
    /// the operator's topic and may have missed the end. Returns the domains.
    pub fn forget_unconfirmed(&mut self, now_ms: u64) -> Vec<FailureDomain> {
        let is_old = |state: &DomainState| {
            state.is_active && now_ms.saturating_sub(state.heard_at_ms) >= UNCONFIRMED_MS
        };
        let old = self.domains.extract_if(.., |_, state| is_old(state));
        old.map(|(domain, _)| domain).collect()
    }

    /// Applies the state of a domain if it is known as of a higher position than before.
    fn apply(
        &mut self,
        domain: FailureDomain,
        position: Position,
        is_active: bool,
        now_ms: u64,
    ) -> Option<Announcement> {
        let new = DomainState {
            position,
            is_active,
            changed_at_ms: now_ms,
            heard_at_ms: now_ms,
            announced_until_ms: now_ms + LIFTED_ANNOUNCE_MS,
            missing_since_ms: None,
        };
        match self.domains.get_mut(&domain) {
            None if !is_active => None,
            Some(known) if known.is_active == is_active => {
                if position > known.position {
                    known.position = position;
                    known.missing_since_ms = None;
                }
                known.heard_at_ms = now_ms;
                None
            }
            Some(known) if known.position >= position => None,
            Some(_) | None => {
                self.domains.insert(domain.clone(), new);
                Some(Announcement { domain, position, is_active })
            }
        }
    }

    /// Remembers that a domain is not evacuated of which no evacuation was known. Only those that knew
    /// it announce its end: it would be announced without end if each process that starts did.
    fn remember_lifted(&mut self, domain: FailureDomain, position: Position, now_ms: u64) {
        let state = DomainState {
            position,
            is_active: false,
            changed_at_ms: now_ms,
            heard_at_ms: now_ms,
            announced_until_ms: 0,
            missing_since_ms: None,
        };
        self.domains.insert(domain, state);
        self.limit_lifted();
    }

    /// Announces again that a domain is not evacuated, because another process has missed it.
    fn contradict(&mut self, domain: FailureDomain, now_ms: u64) {
        let position = self.next.before();
        if !self.domains.contains_key(&domain) {
            self.remember_lifted(domain.clone(), position, now_ms);
        }
        if let Some(state) = self.domains.get_mut(&domain) {
            state.position = state.position.max(position);
            state.announced_until_ms = now_ms + LIFTED_ANNOUNCE_MS;
        }
    }

    /// Forgets the domains that have been without an evacuation for longest.
    fn limit_lifted(&mut self) {
        let lifted = self.domains.iter().filter(|(_, state)| !state.is_active);
        let mut lifted: Vec<(u64, FailureDomain)> =
            lifted.map(|(domain, state)| (state.changed_at_ms, domain.clone())).collect();
        let excess = lifted.len().saturating_sub(MAX_LIFTED);
        lifted.sort_unstable();
        for (_, domain) in lifted.into_iter().take(excess) {
            self.domains.shift_remove(&domain);
        }
    }
}
