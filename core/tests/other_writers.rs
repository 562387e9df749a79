//! Entries of other writers in the list of backends: what they may take from a sound backend, and for how
//! long.

use currantlink_core::fleet::{Announcement, Fleet, FleetKey, Observation, Process};

const SERVICES: [&str; 2] = ["llm", "plain"];
const SOUND: &str = "sound";
const SOUND_PORT: u16 = 1;
const BORN_MS: u64 = 1_000;

fn announcement(service: &str, port: u16, born_ms: u64) -> Announcement {
    Announcement {
        started_at_ms: born_ms,
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "a".into(),
        draining: false,
        slots: 4,
        cold_remaining_ms: None,
    }
}

fn own_record() -> Observation {
    Observation::Present(announcement("llm", SOUND_PORT, BORN_MS))
}

fn new_fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set_services(SERVICES.map(str::to_owned));
    fleet
}

fn sound_key(fleet: &Fleet) -> Option<FleetKey> {
    fleet.available("llm").find(|(_, member)| member.id == SOUND).map(|(key, _)| key)
}

/// An entry of another writer.
#[derive(Clone, Debug)]
struct Entry {
    id: &'static str,
    observation: Observation,
}

impl Entry {
    /// Returns whether the entry is under the sound backend's own id.
    fn has_own_id(&self) -> bool {
        self.id == SOUND
    }

    fn names_backend(&self) -> bool {
        let service = self.observation.service();
        service.is_some_and(|service| SERVICES.contains(&service))
    }

    /// Returns whether the entry is a statement of the sound process about itself.
    fn is_own(&self) -> bool {
        match &self.observation {
            Observation::Present(announcement) => {
                self.has_own_id() && announcement.process(SOUND) == own_process()
            }
            Observation::Unusable | Observation::Dropped => false,
        }
    }
}

fn own_process() -> Process {
    announcement("llm", SOUND_PORT, BORN_MS).process(SOUND)
}

/// Returns entries by id, address, service, `born` and state, and others that cannot be read or have
/// been removed.
fn entries() -> Vec<Entry> {
    let mut entries = Vec::new();
    for id in [SOUND, "other"] {
        for observation in [Observation::Unusable, Observation::Dropped] {
            entries.push(Entry { id, observation });
        }
        for port in [SOUND_PORT, 9] {
            for service in ["llm", "plain", "host-metrics", ""] {
                for born_ms in [0, BORN_MS - 1, BORN_MS, BORN_MS + 1, u64::MAX] {
                    for draining in [false, true] {
                        let announced = announcement(service, port, born_ms);
                        let announced = Announcement { draining, slots: 0, ..announced };
                        entries.push(Entry { id, observation: Observation::Present(announced) });
                    }
                }
            }
        }
    }
    entries.retain(|entry| !entry.is_own());
    entries
}

/// How the records of the sound backend and of the other writer reach a gateway.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// The sound backend's record comes first.
    After,
    /// The other writer's record comes first.
    Before,
    /// A gateway that starts lists both, the sound backend's record first.
    ListedAfter,
    /// A gateway that starts lists both, the other writer's record first.
    ListedBefore,
}

const ARRIVALS: [Arrival; 4] =
    [Arrival::After, Arrival::Before, Arrival::ListedAfter, Arrival::ListedBefore];

fn observe_both(fleet: &mut Fleet, entry: &Entry, arrival: Arrival) {
    let own = (SOUND.to_owned(), own_record());
    let other = (entry.id.to_owned(), entry.observation.clone());
    let (first, second) = match arrival {
        Arrival::After | Arrival::ListedAfter => (own, other),
        Arrival::Before | Arrival::ListedBefore => (other, own),
    };
    match arrival {
        // A listing has one record of each id.
        Arrival::ListedAfter | Arrival::ListedBefore if first.0 == second.0 => {
            fleet.replace(vec![second], 0);
        }
        Arrival::ListedAfter | Arrival::ListedBefore => {
            fleet.replace(vec![first, second], 0);
        }
        Arrival::After | Arrival::Before => {
            fleet.observe(&first.0, first.1, 0);
            fleet.observe(&second.0, second.1, 0);
        }
    }
}

fn for_each(mut check: impl FnMut(Fleet, &Entry, &str)) {
    for entry in entries() {
        for arrival in ARRIVALS {
            let mut fleet = new_fleet();
            observe_both(&mut fleet, &entry, arrival);
            check(fleet, &entry, &format!("{entry:?}, {arrival:?}"));
        }
    }
}

/// Guards against entries of services that the configuration does not name, which took sound backends at
/// the same addresses from all gateways.
#[test]
fn entries_of_no_backend() {
    for_each(|fleet, entry, case| {
        if !entry.has_own_id() && !entry.names_backend() {
            assert!(sound_key(&fleet).is_some(), "{case}");
            assert_eq!(fleet.listed().count(), 1, "{case}");
        }
    });
}

/// Guards against a loss that lasts although the backend goes on writing the same record.
#[test]
fn written_again() {
    for_each(|mut fleet, entry, case| {
        let before = fleet.by_id(SOUND);
        fleet.observe(SOUND, own_record(), 0);
        assert!(sound_key(&fleet).is_some(), "{case}");
        if !entry.has_own_id() {
            assert_eq!(sound_key(&fleet), before, "{case}: the state of the backend is lost");
        }
        fleet.observe(entry.id, entry.observation.clone(), 0);
        fleet.observe(SOUND, own_record(), 0);
        assert!(sound_key(&fleet).is_some(), "{case}: both write");
    });
}

/// Guards against a loss that outlasts the entry that caused it.
#[test]
fn entry_ends() {
    let ends = [Observation::Dropped, Observation::Unusable];
    for end in ends {
        for_each(|mut fleet, entry, case| {
            if !entry.has_own_id() {
                fleet.observe(entry.id, end.clone(), 0);
                assert!(sound_key(&fleet).is_some(), "{case}, {end:?}");
            }
        });
    }
}

/// Guards against a report that another process leaves which is taken for one on the sound backend, from
/// the list or from other gateways.
#[test]
fn other_process_leaves() {
    for_each(|mut fleet, entry, case| {
        let Observation::Present(announcement) = &entry.observation else {
            return;
        };
        fleet.mark_leaving(announcement.process(entry.id));
        fleet.observe(SOUND, own_record(), 0);
        assert!(sound_key(&fleet).is_some(), "{case}");
    });
    let mut fleet = new_fleet();
    fleet.observe(SOUND, own_record(), 0);
    assert!(fleet.mark_leaving(own_process()));
    assert!(sound_key(&fleet).is_none(), "the process itself leaves");
}

/// Guards against entries that take effect by the order in which the configuration and the list are read.
#[test]
fn services_change() {
    for_each(|mut fleet, entry, case| {
        if entry.has_own_id() {
            return;
        }
        let is_listed = |fleet: &Fleet| sound_key(fleet).is_some();
        let before = is_listed(&fleet);
        fleet.set_services(["llm", "plain", "host-metrics", ""].map(str::to_owned));
        fleet.set_services(SERVICES.map(str::to_owned));
        assert_eq!(is_listed(&fleet), before, "{case}");
        fleet.set_services(["llm".to_owned()]);
        let is_of_service = entry.observation.service() == Some("llm");
        assert!(is_listed(&fleet) || is_of_service, "{case}");
    });
}

/// Guards against a listing before the first configuration, in which no entry can be told from others.
#[test]
fn listed_before_configuration() {
    for entry in entries() {
        if entry.has_own_id() || entry.names_backend() {
            continue;
        }
        for arrival in ARRIVALS {
            let mut fleet = Fleet::default();
            observe_both(&mut fleet, &entry, arrival);
            assert!(fleet.set_services(SERVICES.map(str::to_owned)) || sound_key(&fleet).is_some());
            assert!(sound_key(&fleet).is_some(), "{entry:?}, {arrival:?}");
        }
    }
}

/// Guards against a backend that is taken for crashed because another process claims its address.
#[test]
fn not_replaced_while_listed() {
    for_each(|mut fleet, entry, case| {
        if entry.has_own_id() {
            return;
        }
        fleet.observe(SOUND, own_record(), 0);
        let key = sound_key(&fleet);
        assert!(key.is_some_and(|key| !fleet.is_replaced(key)), "{case}");
    });
}
