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
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a read waits for a new configuration; a connection that has gone silent is noticed
/// after it, well within the time that a new configuration may take to be applied.
pub const CONFIG_READ_WAIT: Duration = Duration::from_millis(1_000);
/// The same for agents, which use only the sizes of expert maps.
pub const EXPERT_SIZES_READ_WAIT: Duration = Duration::from_secs(20);
/// Time between two reads of the backends' records; a leaving backend takes requests for some
/// seconds after it has said so.
const BACKENDS_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the peers' records, at first: processes that start together may miss
/// each other's records. It doubles with each read.
const PEERS_READ_INITIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two reads; later peers greet by themselves.
const PEERS_READ_MAX_INTERVAL: Duration = Duration::from_secs(16);
/// Time before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
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
    StoreReconnected,
    /// The key that all processes share.
    SharedKey(LinkKey),
    /// A process is_registered itself.
    Peer(Peer),
}

/// Where updates go.
pub type Updates = mpsc::UnboundedSender<Update>;

/// One followed topic: lists it, then reads what is new.
struct TopicReader {
    client: StoreClient,
    topic: &'static str,
    next_offset: Option<u64>,
    is_failing: bool,
}

enum TopicRead {
    All(Vec<KeyedRecord>),
    Changes(Vec<KeyedRecord>),
}

impl TopicReader {
    fn new(store: SocketAddr, topic: &'static str) -> Self {
        Self { client: StoreClient::new(store), topic, next_offset: None, is_failing: false }
    }

    async fn next(&mut self, wait: Duration) -> Result<TopicRead, StoreError> {
        let Some(from) = self.next_offset else {
            let Listing { next_offset, records } =
                self.client.newest(self.topic, STORE_TIMEOUT).await?;
            self.next_offset = Some(next_offset);
            return Ok(TopicRead::All(records));
        };
        match self.client.read(self.topic, from, wait, STORE_TIMEOUT).await {
            Ok(batch) => {
                self.next_offset = Some(batch.next_offset);
                let decoded = batch.records.into_iter().filter_map(|record| {
                    let decoded = store::keyed(record);
                    decoded
                        .inspect_err(|error| log::warn!(error:% = error; "record is skipped"))
                        .ok()
                });
                Ok(TopicRead::Changes(decoded.collect()))
            }
            Err(error) => {
                if let StoreError::Dropped { .. } = error {
                    self.next_offset = None;
                }
                Err(error)
            }
        }
    }

    /// Reads on until something succeeds; tells whether the store had been away.
    async fn next_with_retry(&mut self, wait: Duration) -> (TopicRead, bool) {
        loop {
            match self.next(wait).await {
                Ok(read) => {
                    let is_reconnected = std::mem::take(&mut self.is_failing);
                    if is_reconnected {
                        log::info!(dependency = "store", topic = self.topic; "regained");
                    }
                    return (read, is_reconnected);
                }
                Err(error) if error.was_served() => {
                    log::info!(topic = self.topic, error:% = error; "records are listed again");
                }
                Err(error) => {
                    if !self.is_failing {
                        log::warn!(dependency = "store", topic = self.topic, error:% = error;
                            "lost");
                    }
                    self.is_failing = true;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Follows the configuration until nobody listens.
pub async fn follow_config(store: SocketAddr, wait: Duration, updates: Updates) {
    let mut reader = TopicReader::new(store, names::OPERATOR_TOPIC);
    loop {
        let (read, _) = reader.next_with_retry(wait).await;
        let (TopicRead::All(records) | TopicRead::Changes(records)) = read;
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
    let mut reader = TopicReader::new(store, names::BACKENDS_TOPIC);
    let decode = |records: Vec<KeyedRecord>| {
        records.into_iter().map(|record| (record.key.clone(), directory::decode(&record))).collect()
    };
    loop {
        let (read, is_reconnected) = reader.next_with_retry(Duration::ZERO).await;
        let reconnected = is_reconnected.then_some(Update::StoreReconnected);
        let update = match read {
            TopicRead::All(records) => Update::Backends(decode(records)),
            TopicRead::Changes(records) => Update::BackendChanges(decode(records)),
        };
        for update in reconnected.into_iter().chain([update]) {
            if updates.send(update).is_err() {
                return;
            }
        }
        tokio::time::sleep(BACKENDS_READ_INTERVAL).await;
    }
}

/// Registers this process and follows the others until nobody listens.
pub async fn follow_peers(store: SocketAddr, own: Peer, updates: Updates) {
    let mut reader = TopicReader::new(store, names::PEERS_TOPIC);
    let mut is_registered = false;
    let mut has_key = false;
    let mut interval = PEERS_READ_INITIAL_INTERVAL;
    loop {
        let (read, _) = reader.next_with_retry(Duration::ZERO).await;
        let (TopicRead::All(records) | TopicRead::Changes(records)) = read;
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
            create_key(&mut reader).await;
            continue;
        }
        if !is_registered {
            is_registered = register(&mut reader, &own).await;
        }
        if is_registered {
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(PEERS_READ_MAX_INTERVAL);
        } else {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn create_key(reader: &mut TopicReader) {
    let value: [u8; SHARED_KEY_BYTES] = rand::random();
    let record = store::keyed_record(SHARED_KEY, &value);
    // Where others create one at the same time, the append of just one finds the end unchanged.
    let at = reader.next_offset;
    let appended = reader.client.append(names::PEERS_TOPIC, at, &[record], STORE_TIMEOUT).await;
    if let Err(error) = appended {
        log::info!(error:% = error; "peer key is not created");
        if !error.was_served() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn register(reader: &mut TopicReader, own: &Peer) -> bool {
    let record = store::keyed_record(&own.name, &own.encode_to_vec());
    let appended = reader.client.append(names::PEERS_TOPIC, None, &[record], STORE_TIMEOUT).await;
    match appended {
        Ok(_) => true,
        Err(error) => {
            log::info!(error:% = error; "registration failed");
            false
        }
    }
}
