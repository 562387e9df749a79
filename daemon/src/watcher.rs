//! Follows the store: configuration, backends, peers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::fleet::Observation;
use currantlink_platform::error::StoreError;
use currantlink_platform::store::{self, KeyedRecord, Listing, StoreClient};
use currantlink_platform::{directory, names};
use currantlink_wire::peers::Peer;
use prost::Message;
use tokio::sync::mpsc;

use crate::key::LinkKey;

/// Time for an answer of the store. It takes a few milliseconds, a slow one some hundred.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Time that a read waits for a new configuration; a connection that has gone silent is noticed
/// after it, well within the time that a new configuration may take to be applied.
pub const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// The same for agents, which use only the sizes of expert maps.
pub const SIZES_WAIT: Duration = Duration::from_secs(20);
/// Time between two reads of the backends' records; a leaving backend takes requests for some
/// seconds after it has said so.
const BACKENDS_EVERY: Duration = Duration::from_millis(500);
/// Time between two reads of the peers' records, at first: processes that start together may miss
/// each other's records. It doubles with each read.
const PEERS_FIRST: Duration = Duration::from_millis(500);
/// Longest time between two reads; later peers greet by themselves.
const PEERS_EVERY: Duration = Duration::from_secs(16);
/// Time before the next call after a failed one.
const PAUSE: Duration = Duration::from_millis(200);
/// Key under which the peers' shared key is kept. Not a name of a process.
const SHARED_KEY: &str = "key";
const SHARED_KEY_BYTES: usize = 32;

/// What was read.
#[derive(Debug)]
pub enum Update {
    /// A configuration, not decoded yet.
    Config(Bytes),
    /// All backends.
    Backends(Vec<(String, Observation)>),
    /// Changed backends.
    BackendChanges(Vec<(String, Observation)>),
    /// The store answers again after it had not.
    StoreReturned,
    /// The key that all processes share.
    SharedKey(LinkKey),
    /// A process registered itself.
    Peer(Peer),
}

/// Where updates go.
pub type Updates = mpsc::UnboundedSender<Update>;

/// One followed topic: lists it, then reads what is new.
struct Follower {
    client: StoreClient,
    topic: &'static str,
    next_offset: Option<u64>,
    failing: bool,
}

enum Seen {
    All(Vec<KeyedRecord>),
    Changes(Vec<KeyedRecord>),
}

impl Follower {
    fn new(store: SocketAddr, topic: &'static str) -> Self {
        Self { client: StoreClient::new(store), topic, next_offset: None, failing: false }
    }

    async fn next(&mut self, wait: Duration) -> Result<Seen, StoreError> {
        let Some(from) = self.next_offset else {
            let Listing { next_offset, records } =
                self.client.list_newest(self.topic, CALL_LIMIT).await?;
            self.next_offset = Some(next_offset);
            return Ok(Seen::All(records));
        };
        match self.client.read(self.topic, from, wait, CALL_LIMIT).await {
            Ok(read) => {
                self.next_offset = Some(read.next_offset);
                let decoded = read.records.into_iter().filter_map(|record| {
                    let decoded = store::decode_keyed_record(record);
                    decoded
                        .inspect_err(|error| log::warn!(error:% = error; "record is skipped"))
                        .ok()
                });
                Ok(Seen::Changes(decoded.collect()))
            }
            Err(error) => {
                if let StoreError::Expired { .. } = error {
                    self.next_offset = None;
                }
                Err(error)
            }
        }
    }

    /// Reads on until something succeeds; tells whether the store had been away.
    async fn next_read(&mut self, wait: Duration) -> (Seen, bool) {
        loop {
            match self.next(wait).await {
                Ok(seen) => {
                    let returned = std::mem::take(&mut self.failing);
                    if returned {
                        log::info!(dependency = "store", topic = self.topic; "regained");
                    }
                    return (seen, returned);
                }
                Err(error) if error.is_store_available() => {
                    log::info!(topic = self.topic, error:% = error; "records are listed again");
                }
                Err(error) => {
                    if !self.failing {
                        log::warn!(dependency = "store", topic = self.topic, error:% = error;
                            "lost");
                    }
                    self.failing = true;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// Follows the configuration until nobody listens.
pub async fn follow_config(store: SocketAddr, wait: Duration, updates: Updates) {
    let mut follower = Follower::new(store, names::OPERATOR_TOPIC);
    loop {
        let (seen, _) = follower.next_read(wait).await;
        let (Seen::All(records) | Seen::Changes(records)) = seen;
        let configs = records.into_iter().filter(|record| record.key == names::CONFIG_KEY);
        for config in configs.filter_map(|record| record.value) {
            if updates.send(Update::Config(config)).is_err() {
                return;
            }
        }
    }
}

/// Follows the backends until nobody listens.
pub async fn follow_backends(store: SocketAddr, updates: Updates) {
    let mut follower = Follower::new(store, names::BACKENDS_TOPIC);
    let decode = |records: Vec<KeyedRecord>| {
        records.into_iter().map(|record| (record.key.clone(), directory::decode(&record))).collect()
    };
    loop {
        let (seen, returned) = follower.next_read(Duration::ZERO).await;
        let returned = returned.then_some(Update::StoreReturned);
        let update = match seen {
            Seen::All(records) => Update::Backends(decode(records)),
            Seen::Changes(records) => Update::BackendChanges(decode(records)),
        };
        for update in returned.into_iter().chain([update]) {
            if updates.send(update).is_err() {
                return;
            }
        }
        tokio::time::sleep(BACKENDS_EVERY).await;
    }
}

/// Registers this process and follows the others until nobody listens.
pub async fn follow_peers(store: SocketAddr, own: Peer, updates: Updates) {
    let mut follower = Follower::new(store, names::PEERS_TOPIC);
    let mut registered = false;
    let mut has_key = false;
    let mut pause = PEERS_FIRST;
    loop {
        let (seen, _) = follower.next_read(Duration::ZERO).await;
        let (Seen::All(records) | Seen::Changes(records)) = seen;
        for record in records {
            let Some(value) = record.value else {
                continue;
            };
            let update = match record.key.as_str() {
                SHARED_KEY => LinkKey::try_from(value.as_ref()).map(Update::SharedKey).ok(),
                _ => Peer::decode(value).map(Update::Peer).ok(),
            };
            has_key |= matches!(update, Some(Update::SharedKey(_)));
            let Some(update) = update else {
                log::warn!(key = record.key.as_str(); "peer record does not decode");
                continue;
            };
            if updates.send(update).is_err() {
                return;
            }
        }
        if !has_key {
            create_key(&mut follower).await;
            continue;
        }
        if !registered {
            registered = register(&mut follower, &own).await;
        }
        if registered {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PEERS_EVERY);
        } else {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn create_key(follower: &mut Follower) {
    let value: [u8; SHARED_KEY_BYTES] = rand::random();
    let record = store::encode_keyed_record(SHARED_KEY, &value);
    // Where others create one at the same time, the append of just one finds the end unchanged.
    let at = follower.next_offset;
    let appended = follower.client.append(names::PEERS_TOPIC, at, &[record], CALL_LIMIT).await;
    if let Err(error) = appended {
        log::info!(error:% = error; "peer key is not created");
        if !error.is_store_available() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn register(follower: &mut Follower, own: &Peer) -> bool {
    let record = store::encode_keyed_record(&own.name, &own.encode_to_vec());
    let appended = follower.client.append(names::PEERS_TOPIC, None, &[record], CALL_LIMIT).await;
    match appended {
        Ok(_) => true,
        Err(error) => {
            log::info!(error:% = error; "registration failed");
            false
        }
    }
}
