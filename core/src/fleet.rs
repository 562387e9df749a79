//! Registry of the backends in the platform's list, with whether they accept new requests.
//!
//! A backend is a process, see [`Process`]. A restarted process with the same id has no state of its
//! predecessor and counts as another backend.
//!
//! All entries are kept, but only backends are listed that can be used: an entry of a service that the
//! configuration does not name is not from a backend, and has no effect on the others. Which backends
//! are listed is derived from the entries, so a backend that another entry keeps off the list returns
//! with the end of that entry.

use std::net::SocketAddr;

use derive_more::Display;
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

/// A process that has announced itself as a backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    /// Id.
    pub id: String,
    /// Start time in milliseconds since the Unix epoch, or 0 if unknown.
    pub started_at_ms: u64,
    /// Name of the service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
}

impl Announcement {
    /// Returns the process that announces itself under `id`.
    pub fn process(&self, id: &str) -> Process {
        Process {
            id: id.to_owned(),
            started_at_ms: self.started_at_ms,
            service: self.service.clone(),
            address: self.address,
        }
    }
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
    fn announcement(&self) -> Option<&Announcement> {
        match self {
            Observation::Present(announcement) => Some(announcement),
            Observation::Unusable | Observation::Dropped => None,
        }
    }

    /// Returns the address of the backend that the entry describes.
    pub fn address(&self) -> Option<SocketAddr> {
        self.announcement().map(|announcement| announcement.address)
    }

    /// Returns the service of the backend that the entry describes.
    pub fn service(&self) -> Option<&str> {
        self.announcement().map(|announcement| announcement.service.as_str())
    }

    /// Returns whether the entry says that the backend is cold.
    pub fn is_cold(&self) -> bool {
        let remaining_ms = self.announcement().and_then(|announced| announced.cold_remaining_ms);
        remaining_ms.is_some_and(|remaining_ms| remaining_ms > 0)
    }
}

/// Why a backend with an entry is not listed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Unlisted {
    /// The configuration does not name its service.
    #[display("unknown-service")]
    UnknownService,
    /// A later process has its address.
    #[display("superseded")]
    Superseded,
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
    /// Number of the first record of the process.
    first_record: u64,
    /// Number of the last record that was observed.
    last_record: u64,
}

impl Member {
    /// Returns the process of the backend.
    pub fn process(&self) -> Process {
        self.announcement.process(&self.id)
    }
}

/// All backends, stored in an arena with an index by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: Vec<Member>,
    /// Newest backend of each id that has an entry.
    by_id: IndexMap<String, FleetKey>,
    /// Backends that can be used.
    listed: IndexSet<FleetKey>,
    /// Services that the configuration names, once it is known.
    services: Option<IndexSet<String>>,
    /// Processes that are known to leave, whether they have an entry or not.
    leaving: IndexSet<Process>,
    /// Number of observed records.
    records: u64,
    grace_until_ms: u64,
}

impl Fleet {
    /// Returns the backend with this key, listed or not.
    pub fn get(&self, key: FleetKey) -> Option<&Member> {
        self.members.get(key.0 as usize)
    }

    /// Returns the newest backend of an id that has an entry, listed or not.
    pub fn by_id(&self, id: &str) -> Option<FleetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns all listed backends with their keys.
    pub fn listed(&self) -> impl Iterator<Item = (FleetKey, &Member)> {
        self.listed.iter().map(|&key| (key, self.member(key)))
    }

    /// Returns the backends that have an entry and are not listed.
    pub fn unlisted(&self) -> impl Iterator<Item = (FleetKey, &Member, Unlisted)> {
        let unlisted = self.by_id.values().filter(|key| !self.listed.contains(*key));
        unlisted.map(|&key| {
            let reason = match self.is_usable(key) {
                true => Unlisted::Superseded,
                false => Unlisted::UnknownService,
            };
            (key, self.member(key), reason)
        })
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
        !self.listed.contains(&key) && self.listed().any(|(_, member)| is_successor(member))
    }

    /// Replaces the services that the configuration names and returns whether the listed backends
    /// changed.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = String>) -> bool {
        let services = services.into_iter().collect();
        self.services.replace(services) != self.services && self.update_listed()
    }

    /// Starts the grace period after a store outage, because entries that expired during the outage
    /// may reappear.
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + OUTAGE_GRACE_MS;
    }

    /// Applies the state of one list entry and returns whether the listed backends changed.
    pub fn observe(&mut self, id: &str, observation: Observation, now_ms: u64) -> bool {
        self.apply([(id.to_owned(), observation)], now_ms)
    }

    /// Applies changed list entries in the order of their records and returns whether the listed
    /// backends changed.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = (String, Observation)>,
        now_ms: u64,
    ) -> bool {
        let mut is_changed = false;
        for (id, observation) in changes {
            is_changed |= self.record(id, observation, now_ms);
        }
        self.update_listed() || is_changed
    }

    /// Applies a full listing, oldest entries first, and returns whether the listed backends changed.
    ///
    /// Backends that are not in the listing count as removed.
    pub fn replace(&mut self, listing: Vec<(String, Observation)>, now_ms: u64) -> bool {
        let named: IndexMap<&str, ()> = listing.iter().map(|(id, _)| (id.as_str(), ())).collect();
        let missing = self.by_id.keys().filter(|id| !named.contains_key(id.as_str()));
        let missing = missing.map(|id| (id.clone(), Observation::Dropped));
        let missing: Vec<(String, Observation)> = missing.collect();
        let mut is_changed = false;
        for (id, observation) in missing.into_iter().chain(listing) {
            is_changed |= self.record(id, observation, now_ms);
        }
        // The listing has one record of each backend, and its order tells which backends wrote last.
        for key in self.by_id.values() {
            let member = &mut self.members[key.0 as usize];
            member.first_record = member.last_record;
        }
        self.update_listed() || is_changed
    }

    /// Records the state of one list entry. Returns whether it changes a backend that is listed already.
    fn record(&mut self, id: String, observation: Observation, now_ms: u64) -> bool {
        self.records += 1;
        if let Observation::Present(announcement) = &observation
            && announcement.draining
        {
            self.remember_leaving(announcement.process(&id));
        }
        match (observation, self.by_id(&id)) {
            (Observation::Present(announcement), Some(key))
                if self.is_same_process(key, &announcement) =>
            {
                self.update(key, announcement)
            }
            (Observation::Present(announcement), _) => {
                let key = FleetKey(self.members.len() as u32);
                let leaving = self.leaving.contains(&announcement.process(&id));
                self.by_id.insert(id.clone(), key);
                self.members.push(Member {
                    id,
                    announcement,
                    leaving,
                    known_since_ms: now_ms,
                    dropped_at_ms: None,
                    first_record: self.records,
                    last_record: self.records,
                });
                false
            }
            (Observation::Dropped, Some(key)) if now_ms < self.grace_until_ms => {
                self.members[key.0 as usize].dropped_at_ms = Some(now_ms);
                false
            }
            (Observation::Dropped | Observation::Unusable, Some(_)) => {
                self.by_id.shift_remove(&id);
                false
            }
            (Observation::Dropped | Observation::Unusable, None) => false,
        }
    }

    /// Marks a process as leaving after its own or a peer's report and returns whether the fleet changed.
    /// It stays so if it is listed again later.
    pub fn mark_leaving(&mut self, process: Process) -> bool {
        let key = self.by_id(&process.id).filter(|&key| self.member(key).process() == process);
        self.remember_leaving(process);
        let Some(key) = key else {
            return false;
        };
        let member = &mut self.members[key.0 as usize];
        !std::mem::replace(&mut member.leaving, true)
    }

    fn remember_leaving(&mut self, process: Process) {
        self.leaving.insert(process);
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.shift_remove_index(0);
        }
    }

    /// Removes backends that did not reappear within the grace period and returns whether the listed
    /// backends changed.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        if now_ms < self.grace_until_ms {
            return false;
        }
        let before = self.by_id.len();
        let members = &self.members;
        self.by_id.retain(|_, key| members[key.0 as usize].dropped_at_ms.is_none());
        self.by_id.len() != before && self.update_listed()
    }

    /// Derives the listed backends from the entries and returns whether they changed.
    ///
    /// The entry of a crashed process remains for some time beside that of its successor at the same
    /// address. A process whose entry is written again after that of a later one is alive, so both are
    /// listed: the backend at the address refuses requests for the other one.
    fn update_listed(&mut self) -> bool {
        let usable = self.by_id.values().copied().filter(|&key| self.is_usable(key));
        let mut latest = IndexMap::<SocketAddr, FleetKey>::new();
        for key in usable.clone() {
            let known = latest.entry(self.member(key).announcement.address).or_insert(key);
            if self.start_order(key) > self.start_order(*known) {
                *known = key;
            }
        }
        let is_listed = |key: &FleetKey| {
            let member = self.member(*key);
            let latest = latest[&member.announcement.address];
            latest == *key || member.last_record > self.member(latest).first_record
        };
        let listed = usable.filter(is_listed).collect();
        let before = std::mem::replace(&mut self.listed, listed);
        before != self.listed
    }

    fn member(&self, key: FleetKey) -> &Member {
        &self.members[key.0 as usize]
    }

    /// Returns what orders the processes that have had the same address.
    fn start_order(&self, key: FleetKey) -> (u64, u64) {
        let member = self.member(key);
        (member.announcement.started_at_ms, member.first_record)
    }

    /// Returns whether a backend is of a service that the configuration names.
    fn is_usable(&self, key: FleetKey) -> bool {
        let service = &self.member(key).announcement.service;
        self.services.as_ref().is_none_or(|services| services.contains(service))
    }

    fn is_same_process(&self, key: FleetKey, announcement: &Announcement) -> bool {
        let known = &self.member(key).announcement;
        known.started_at_ms == announcement.started_at_ms
            && known.address == announcement.address
            && known.service == announcement.service
    }

    /// Applies a further record of a process. Returns whether it changes a listed backend.
    fn update(&mut self, key: FleetKey, announcement: Announcement) -> bool {
        let member = &mut self.members[key.0 as usize];
        let leaving = member.leaving || announcement.draining;
        let known = &member.announcement;
        let is_changed = leaving != member.leaving
            || known.slots != announcement.slots
            || known.failure_domain != announcement.failure_domain;
        member.announcement = announcement;
        member.leaving = leaving;
        member.dropped_at_ms = None;
        member.last_record = self.records;
        is_changed && self.listed.contains(&key)
    }
}
