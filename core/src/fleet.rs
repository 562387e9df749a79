//! The backends that the platform's list names, and which of them may get requests.
//!
//! A backend is the pair of its id and the time of its start: the same id with another start knows
//! nothing of before and is another backend.

use std::net::SocketAddr;

use indexmap::IndexMap;

/// Time after a store outage in which a missing entry may still come back.
pub const OUTAGE_GRACE_MS: u64 = 2_000;

/// Index of a backend in the fleet, never used again within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FleetKey(pub u32);

/// What a backend says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Start of the backend, milliseconds since 1970; 0 where it says none.
    pub started_at_ms: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// It leaves and takes no new requests.
    pub draining: bool,
    /// Requests that run at once.
    pub slots: u32,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The backend says this.
    Present(Announcement),
    /// The entry names no backend that can be used.
    Unusable,
    /// The entry was dropped.
    Dropped,
}

/// One backend.
#[derive(Clone, Debug)]
pub struct Member {
    /// Id, unique while it lives.
    pub id: String,
    /// What it announcement last.
    pub announcement: Announcement,
    /// It takes no new requests.
    pub leaving: bool,
    dropped_at_ms: Option<u64>,
}

/// All backends, as an arena with an index by id.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: Vec<Member>,
    by_id: IndexMap<String, FleetKey>,
    grace_until_ms: u64,
}

impl Fleet {
    /// Returns a backend.
    pub fn get(&self, key: FleetKey) -> Option<&Member> {
        self.members.get(key.0 as usize)
    }

    /// Returns the backend that an id means now.
    pub fn by_id(&self, id: &str) -> Option<FleetKey> {
        self.by_id.get(id).copied()
    }

    /// Returns all backends that are listed, with their keys.
    pub fn listed(&self) -> impl Iterator<Item = (FleetKey, &Member)> {
        self.by_id.values().map(|&key| (key, &self.members[key.0 as usize]))
    }

    /// Returns the backends of a service that take new requests.
    pub fn available<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (FleetKey, &'a Member)> {
        self.listed().filter(move |(_, m)| !m.leaving && m.announcement.service == service)
    }

    /// Notes that the store answered after it had been away: entries may be missing that come back.
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + OUTAGE_GRACE_MS;
    }

    /// Takes one change of the list; returns whether the fleet changed.
    pub fn observe(&mut self, id: &str, observation: Observation, now_ms: u64) -> bool {
        match (observation, self.by_id(id)) {
            (Observation::Present(announcement), Some(key))
                if self.is_same_process(key, &announcement) =>
            {
                self.update(key, announcement)
            }
            (Observation::Present(announcement), _) => {
                self.remove_superseded(&announcement);
                let key = FleetKey(self.members.len() as u32);
                let leaving = announcement.draining;
                self.members.push(Member {
                    id: id.to_owned(),
                    announcement,
                    leaving,
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

    /// Takes a full listing, oldest entries first: what it lacks was dropped.
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

    /// Notes from a peer that a backend leaves; returns whether the fleet changed.
    pub fn mark_leaving(&mut self, id: &str, started_at_ms: u64) -> bool {
        let Some(key) = self.by_id(id) else {
            return false;
        };
        let member = &mut self.members[key.0 as usize];
        let changed = member.announcement.started_at_ms == started_at_ms && !member.leaving;
        member.leaving |= changed;
        changed
    }

    /// Removes backends that did not come back after an outage; returns whether the fleet changed.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        if now_ms < self.grace_until_ms {
            return false;
        }
        let before = self.by_id.len();
        let members = &self.members;
        self.by_id.retain(|_, key| members[key.0 as usize].dropped_at_ms.is_none());
        self.by_id.len() != before
    }

    /// Removes the backends that had the address before: entries of crashed ones stay for a while.
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
        let changed = leaving != member.leaving || member.announcement.slots != announcement.slots;
        *member = Member { id: member.id.clone(), announcement, leaving, dropped_at_ms: None };
        changed
    }
}
