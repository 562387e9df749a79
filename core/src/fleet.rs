//! Registry of the backends in the platform's list, with whether they accept new requests.
//!
//! A backend is identified by its id and its start time. A restarted process with the same id has no
//! state of its predecessor and counts as another backend.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

/// Time after a store outage during which a removed entry may reappear.
pub const OUTAGE_GRACE_MS: u64 = 2_000;

/// Maximum number of leaving backends that are remembered.
const MAX_LEAVING: usize = 4_096;

/// Index of a backend in the fleet; never reused while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FleetKey(pub u32);

/// Properties that a backend publishes in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Start time of the process in milliseconds since the Unix epoch, or 0 if unknown.
    pub started_at_ms: u64,
    /// Name of the backend's service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether the backend is shutting down and accepts no new requests.
    pub draining: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time for which the backend remains cold, as of its record, if the record says so.
    pub cold_remaining_ms: Option<u64>,
}

/// New state of one list entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The entry describes a backend.
    Present(Announcement),
    /// The entry is invalid or describes no usable backend.
    Unusable,
    /// The entry was removed.
    Dropped,
}

impl Observation {
    /// Returns whether the entry says that the backend is cold.
    pub fn is_cold(&self) -> bool {
        match self {
            Observation::Present(announcement) => {
                announcement.cold_remaining_ms.is_some_and(|remaining_ms| remaining_ms > 0)
            }
            Observation::Unusable | Observation::Dropped => false,
        }
    }
}

/// A backend of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Id, unique among the listed backends.
    pub id: String,
    /// Latest announcement.
    pub announcement: Announcement,
    /// Whether the backend accepts no new requests; once set, stays set.
    pub leaving: bool,
    /// Time since which the backend is known.
    pub known_since_ms: u64,
    dropped_at_ms: Option<u64>,
}

/// All backends, stored in an arena with an index by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: Vec<Member>,
    by_id: IndexMap<String, FleetKey>,
    /// Ids and start times of backends that are known to leave, listed or not.
    leaving: IndexSet<(String, u64)>,
    grace_until_ms: u64,
}

impl Fleet {
    /// Returns the backend with this key, listed or not.
    pub fn get(&self, key: FleetKey) -> Option<&Member> {
        self.members.get(key.0 as usize)
    }

    /// Returns the key of the listed backend with this id.
    pub fn by_id(&self, id: &str) -> Option<FleetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns all listed backends with their keys.
    pub fn listed(&self) -> impl Iterator<Item = (FleetKey, &Member)> {
        self.by_id.values().map(|&key| (key, &self.members[key.0 as usize]))
    }

    /// Returns the listed backends of a service that accept new requests.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (FleetKey, &'a Member)> {
        self.listed().filter(move |(_, m)| !m.leaving && m.announcement.service == service)
    }

    /// Returns whether another process has a backend's id, or its address in the same service.
    pub fn is_replaced(&self, key: FleetKey) -> bool {
        let Some(Member { id, announcement, .. }) = self.get(key) else {
            return false;
        };
        let is_successor = |other: &Member| {
            let Announcement { started_at_ms, service, address, .. } = &other.announcement;
            *started_at_ms > announcement.started_at_ms
                && (other.id == *id || *address == announcement.address)
                && *service == announcement.service
        };
        self.listed().any(|(other, member)| other != key && is_successor(member))
    }

    /// Starts the grace period after a store outage, because entries that expired during the outage
    /// may reappear.
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + OUTAGE_GRACE_MS;
    }

    /// Applies the state of one list entry and returns whether the fleet changed.
    pub fn observe(&mut self, id: &str, observation: Observation, now_ms: u64) -> bool {
        if let Observation::Present(announcement) = &observation
            && announcement.draining
        {
            self.remember_leaving(id, announcement.started_at_ms);
        }
        match (observation, self.by_id(id)) {
            (Observation::Present(announcement), Some(key))
                if self.is_same_process(key, &announcement) =>
            {
                self.update(key, announcement)
            }
            (Observation::Present(announcement), _) => {
                self.remove_superseded(&announcement);
                let key = FleetKey(self.members.len() as u32);
                let leaving = self.leaving.contains(&(id.to_owned(), announcement.started_at_ms));
                self.members.push(Member {
                    id: id.to_owned(),
                    announcement,
                    leaving,
                    known_since_ms: now_ms,
                    dropped_at_ms: None,
                });
                self.by_id.insert(id.to_owned(), key);
                true
            }
            (Observation::Dropped, Some(key)) if now_ms < self.grace_until_ms => {
                self.members[key.0 as usize].dropped_at_ms = Some(now_ms);
                false
            }
            (Observation::Dropped | Observation::Unusable, Some(_)) => {
                self.by_id.shift_remove(id);
                true
            }
            (Observation::Dropped | Observation::Unusable, None) => false,
        }
    }

    /// Applies a full listing, oldest entries first, and returns whether the fleet changed.
    ///
    /// Backends that are not in the listing count as removed.
    pub fn replace(&mut self, listing: Vec<(String, Observation)>, now_ms: u64) -> bool {
        let mut changed = false;
        let named: IndexMap<&str, ()> = listing.iter().map(|(id, _)| (id.as_str(), ())).collect();
        let missing = self.by_id.keys().filter(|id| !named.contains_key(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        for id in missing {
            changed |= self.observe(&id, Observation::Dropped, now_ms);
        }
        for (id, observation) in listing {
            changed |= self.observe(&id, observation, now_ms);
        }
        changed
    }

    /// Marks a backend as leaving after its own or a peer's report and returns whether the fleet changed.
    /// It stays so if it is listed again later.
    ///
    /// A report for another start time concerns another process.
    pub fn mark_leaving(&mut self, id: &str, started_at_ms: u64) -> bool {
        self.remember_leaving(id, started_at_ms);
        let Some(key) = self.by_id(id) else {
            return false;
        };
        let member = &mut self.members[key.0 as usize];
        let changed = member.announcement.started_at_ms == started_at_ms && !member.leaving;
        member.leaving |= changed;
        changed
    }

    fn remember_leaving(&mut self, id: &str, started_at_ms: u64) {
        self.leaving.insert((id.to_owned(), started_at_ms));
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.shift_remove_index(0);
        }
    }

    /// Removes backends that did not reappear within the grace period and returns whether the fleet
    /// changed.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        if now_ms < self.grace_until_ms {
            return false;
        }
        let before = self.by_id.len();
        let members = &self.members;
        self.by_id.retain(|_, key| members[key.0 as usize].dropped_at_ms.is_none());
        self.by_id.len() != before
    }

    /// Removes earlier backends with the same address: entries of crashed processes remain in the
    /// list for some time.
    fn remove_superseded(&mut self, announcement: &Announcement) {
        let members = &self.members;
        self.by_id.retain(|_, key| {
            let known = &members[key.0 as usize].announcement;
            known.address != announcement.address
                || known.started_at_ms > announcement.started_at_ms
        });
    }

    fn is_same_process(&self, key: FleetKey, announcement: &Announcement) -> bool {
        let known = &self.members[key.0 as usize].announcement;
        known.started_at_ms == announcement.started_at_ms
            && known.address == announcement.address
            && known.service == announcement.service
    }

    fn update(&mut self, key: FleetKey, announcement: Announcement) -> bool {
        let member = &mut self.members[key.0 as usize];
        let leaving = member.leaving || announcement.draining;
        let known = &member.announcement;
        let changed = leaving != member.leaving
            || known.slots != announcement.slots
            || known.failure_domain != announcement.failure_domain;
        member.announcement = announcement;
        member.leaving = leaving;
        member.dropped_at_ms = None;
        changed
    }
}
