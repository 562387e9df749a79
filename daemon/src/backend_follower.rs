//! Follows the backends in the store. Gateways pass on to each other what they read.

use std::net::SocketAddr;
use std::time::Duration;

use currantlink_core::fleet::Observation;
use currantlink_core::position::{Position, StoreEra};
use currantlink_core::shared_reads::{self, ReadRange, StoreContact, Use};
use currantlink_platform::store::KeyedRecord;
use currantlink_platform::{directory, names};
use currantlink_wire::peers::{BackendRecords, StoreRecord};
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::clock::now_ms;
use crate::watcher::{RETRY_DELAY, TopicRead, TopicReader, Update, Updates};

/// Records that other gateways have read.
pub type ReceivedRecords = mpsc::UnboundedReceiver<BackendRecords>;

/// Follows the backends until a channel is closed. `services` are those that the configuration names.
pub async fn follow(
    store: SocketAddr,
    updates: Updates,
    mut received: ReceivedRecords,
    services: watch::Receiver<IndexSet<String>>,
) {
    let reader = TopicReader::new(store, names::BACKENDS_TOPIC);
    let mut follower = BackendFollower {
        reader,
        entries: Entries::default(),
        is_listed: false,
        contact: StoreContact::default(),
        updates,
        services,
    };
    let mut read_at = Instant::now();
    loop {
        let is_open = tokio::select! {
            message = received.recv() => match message {
                Some(message) => follower.apply_received(message, &mut read_at),
                None => return,
            },
            () = tokio::time::sleep_until(read_at) => follower.read(&mut read_at).await,
        };
        if is_open.is_none() {
            return;
        }
    }
}

struct BackendFollower {
    reader: TopicReader,
    /// Last observation of each backend. Records that only confirm it are not passed on.
    entries: Entries,
    /// Whether the topic has been listed since the last read. A listing may contain records beyond its
    /// position, so what the next read only confirms may be new to other gateways.
    is_listed: bool,
    contact: StoreContact,
    updates: Updates,
    services: watch::Receiver<IndexSet<String>>,
}

impl BackendFollower {
    /// Reads once and schedules the next read. Returns `None` if the receiver of updates is dropped.
    async fn read(&mut self, read_at: &mut Instant) -> Option<()> {
        let (from, began_ms) = (self.reader.position(), now_ms());
        // A connection may have become silent while others read, and a timeout would delay this read.
        self.reader.disconnect();
        let Some((read, is_reconnected)) = self.reader.attempt(Duration::ZERO).await else {
            *read_at = Instant::now() + RETRY_DELAY;
            return Some(());
        };
        let at_ms = now_ms();
        let is_restored = matches!(read, TopicRead::All { is_restored: true, .. });
        if self.contact.record_read(at_ms, is_reconnected, is_restored) {
            self.updates.send(Update::StoreReconnected { at_ms }).ok()?;
        }
        match read {
            TopicRead::All { records, .. } => {
                let listing: Vec<(String, Observation)> =
                    records.iter().map(|(_, record)| decode(record)).collect();
                self.entries = Entries::from(listing.as_slice());
                self.is_listed = true;
                self.updates.send(Update::Backends(listing)).ok()?;
            }
            TopicRead::Changes(records) => {
                let range = from.zip(self.reader.position());
                let changes = self.apply(records)?;
                let is_first = std::mem::take(&mut self.is_listed);
                if let Some((Position { era, offset: from_offset }, next)) = range
                    && !is_first
                {
                    let range = ReadRange { era, from_offset, next_offset: next.offset };
                    self.pass_on(range, changes, began_ms)?;
                }
            }
        }
        *read_at = next_read(now_ms().saturating_sub(began_ms));
        Some(())
    }

    /// Applies the records of another gateway's read, if they follow those that are known.
    fn apply_received(&mut self, message: BackendRecords, read_at: &mut Instant) -> Option<()> {
        let BackendRecords { era, from_offset, next_offset, .. } = message;
        let range = ReadRange { era: StoreEra(era), from_offset, next_offset };
        let Some(position) = self.reader.position() else {
            return Some(());
        };
        if range.use_at(Some(position)) != Use::New {
            return Some(());
        }
        let (now, read_age_ms) = (now_ms(), message.read_age_ms);
        let reconnected_at_ms = message.reconnected_age_ms.map(|age_ms| now.saturating_sub(age_ms));
        let read_at_ms = now.saturating_sub(read_age_ms);
        if let Some(at_ms) = self.contact.record_passed_on(read_at_ms, reconnected_at_ms) {
            self.updates.send(Update::StoreReconnected { at_ms }).ok()?;
        }
        let new = message.records.into_iter().filter(|r| r.offset >= position.offset);
        let new = new.map(|StoreRecord { offset, key, value }| {
            let value = (!value.is_empty()).then_some(value);
            (offset, KeyedRecord { key, value })
        });
        self.apply(new)?;
        self.reader.set_position(range.next());
        *read_at = next_read(read_age_ms);
        Some(())
    }

    /// Applies records, and returns those that change an entry.
    fn apply(
        &mut self,
        records: impl IntoIterator<Item = (u64, KeyedRecord)>,
    ) -> Option<Vec<StoreRecord>> {
        let (mut changes, mut changed) = (Vec::new(), Vec::new());
        let services = self.services.borrow().clone();
        for (offset, record) in records {
            let (key, observation) = decode(&record);
            // A backend that is cold still must be known to be so, even if its record says the same. Of
            // backends at one address, the one that goes on writing is alive.
            let is_confirmation = self.entries.get(&key) == Some(&observation);
            let is_needed =
                observation.is_cold() || self.entries.is_shared(&observation, &services);
            if is_confirmation && !is_needed {
                continue;
            }
            self.entries.apply(key.clone(), &observation);
            changes.push((key.clone(), observation));
            let value = record.value.unwrap_or_default();
            changed.push(StoreRecord { offset, key, value });
        }
        if !changes.is_empty() {
            self.updates.send(Update::BackendChanges(changes)).ok()?;
        }
        Some(changed)
    }

    fn pass_on(&self, range: ReadRange, records: Vec<StoreRecord>, began_ms: u64) -> Option<()> {
        let now = now_ms();
        let ReadRange { era, from_offset, next_offset } = range;
        let message = BackendRecords {
            era: era.0,
            from_offset,
            next_offset,
            records,
            reconnected_age_ms: self.contact.announced_age_ms(now),
            read_age_ms: now.saturating_sub(began_ms),
        };
        self.updates.send(Update::PassOn(message)).ok()
    }
}

/// The entries of the list, with the keys of those at each address.
#[derive(Default)]
struct Entries {
    observations: IndexMap<String, Observation>,
    keys: IndexMap<SocketAddr, IndexSet<String>>,
}

impl Entries {
    fn get(&self, key: &str) -> Option<&Observation> {
        self.observations.get(key)
    }

    fn apply(&mut self, key: String, observation: &Observation) {
        let before = match observation {
            Observation::Dropped => self.observations.shift_remove(&key),
            _ => self.observations.insert(key.clone(), observation.clone()),
        };
        if let Some(address) = before.as_ref().and_then(Observation::address)
            && let Some(keys) = self.keys.get_mut(&address)
        {
            keys.swap_remove(&key);
            if keys.is_empty() {
                self.keys.swap_remove(&address);
            }
        }
        if let Some(address) = observation.address() {
            self.keys.entry(address).or_default().insert(key);
        }
    }

    /// Returns whether the address of an entry is that of several entries of these services.
    fn is_shared(&self, observation: &Observation, services: &IndexSet<String>) -> bool {
        let keys = observation.address().and_then(|address| self.keys.get(&address));
        let Some(keys) = keys.filter(|keys| keys.len() > 1) else {
            return false;
        };
        let entries = keys.iter().filter_map(|key| self.observations.get(key));
        let services_there = entries.filter_map(Observation::service);
        services_there.filter(|&service| services.contains(service)).count() > 1
    }
}

impl From<&[(String, Observation)]> for Entries {
    fn from(listing: &[(String, Observation)]) -> Self {
        let mut entries = Self::default();
        for (key, observation) in listing {
            entries.apply(key.clone(), observation);
        }
        entries
    }
}

fn decode(record: &KeyedRecord) -> (String, Observation) {
    (record.key.clone(), directory::decode(record))
}

/// Returns the time of the next read after one that began `age_ms` ago.
fn next_read(age_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(shared_reads::next_read_ms(age_ms, rand::random()))
}
