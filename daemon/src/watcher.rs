//! Follows the store's topics: configuration, backends and peers.

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

/// Timeout for a call to the store. A response usually takes a few milliseconds, and at most a few
/// hundred.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Long-poll wait of a gateway for a new configuration. A silent connection is detected after this
/// time, well within the time allowed for applying a new configuration.
const CONFIG_READ_WAIT: Duration = Duration::from_millis(1_000);
/// Interval between an agent's reads of the configuration, of which it uses only the figures of the
/// engines. A long poll would return at every change of a route or a key.
const ENGINE_FIGURES_READ_INTERVAL: Duration = Duration::from_secs(20);
/// Interval between reads of the backends' records. A leaving backend accepts requests for some
/// seconds after its announcement.
const BACKENDS_READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Initial interval between reads of the peers' records; it doubles with each read. Processes that
/// start together may miss each other's records on the first read.
const PEERS_READ_INITIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum interval between reads of the peers' records. Peers that start later send a hello
/// themselves.
const PEERS_READ_MAX_INTERVAL: Duration = Duration::from_secs(16);
/// Delay before the next call to the store after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Record key of the peers' shared link key. No process has this name.
const SHARED_KEY: &str = "key";
const SHARED_KEY_BYTES: usize = 32;

/// Update read from the store.
#[derive(Debug)]
pub enum Update {
    /// An encoded configuration.
    Config(Bytes),
    /// Full listing of the backends.
    Backends(Vec<(String, Observation)>),
    /// Changed backends.
    BackendChanges(Vec<(String, Observation)>),
    /// The store responds again after an outage.
    StoreReconnected,
    /// The link key shared by all processes.
    SharedKey(LinkKey),
    /// A peer process that registered itself.
    Peer(Peer),
}

/// Channel that receives the updates.
pub type Updates = mpsc::UnboundedSender<Update>;

/// Reader of one topic: lists all records first, then reads new ones.
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
                self.client.list_newest(self.topic, STORE_TIMEOUT).await?;
            self.next_offset = Some(next_offset);
            return Ok(TopicRead::All(records));
        };
        match self.client.read(self.topic, from, wait, STORE_TIMEOUT).await {
            Ok(batch) => {
                self.next_offset = Some(batch.next_offset);
                let decoded = batch.records.into_iter().filter_map(|record| {
                    let decoded = store::decode_keyed_record(record);
                    decoded
                        .inspect_err(
                            |error| log::warn!(error:% = error; "skipping a malformed record"),
                        )
                        .ok()
                });
                Ok(TopicRead::Changes(decoded.collect()))
            }
            Err(error) => {
                if let StoreError::Expired { .. } = error {
                    self.next_offset = None;
                }
                Err(error)
            }
        }
    }

    /// Reads until a call succeeds. Returns the records and whether the store was unreachable
    /// before.
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
                Err(error) if error.is_store_available() => {
                    log::info!(topic = self.topic, error:% = error;
                        "read rejected by the store; listing the topic again");
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

/// Follows the configuration until the receiver of updates is dropped.
pub async fn follow_config(store: SocketAddr, updates: Updates) {
    let mut reader = TopicReader::new(store, names::OPERATOR_TOPIC);
    while send_configs(&mut reader, &updates).await.is_some() {}
}

/// Reads the configuration once it exists and then at long intervals, until the receiver of updates
/// is dropped.
pub async fn follow_engine_figures(store: SocketAddr, updates: Updates) {
    let mut reader = TopicReader::new(store, names::OPERATOR_TOPIC);
    let mut has_config = false;
    while let Some(sent) = send_configs(&mut reader, &updates).await {
        has_config |= sent > 0;
        if has_config {
            tokio::time::sleep(ENGINE_FIGURES_READ_INTERVAL).await;
        }
    }
}

/// Waits for new configurations and sends them. Returns their number, or `None` if the receiver is
/// dropped.
async fn send_configs(reader: &mut TopicReader, updates: &Updates) -> Option<usize> {
    let (read, _) = reader.next_with_retry(CONFIG_READ_WAIT).await;
    let (TopicRead::All(records) | TopicRead::Changes(records)) = read;
    let configs = records.into_iter().filter(|record| record.key == names::CONFIG_KEY);
    let mut sent = 0;
    for config in configs.filter_map(|record| record.value) {
        updates.send(Update::Config(config)).ok()?;
        sent += 1;
    }
    Some(sent)
}

/// Follows the backends until the receiver of updates is dropped.
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

/// Registers this process and follows its peers until the receiver of updates is dropped.
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
                log::warn!(key = record.key.as_str(); "failed to decode a peer record");
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
    let record = store::encode_keyed_record(SHARED_KEY, &value);
    // The append is conditional on the topic's end, so only one of several concurrent creators
    // succeeds.
    let at = reader.next_offset;
    let appended = reader.client.append(names::PEERS_TOPIC, at, &[record], STORE_TIMEOUT).await;
    if let Err(error) = appended {
        log::info!(error:% = error; "failed to create the shared key");
        if !error.is_store_available() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn register(reader: &mut TopicReader, own: &Peer) -> bool {
    let record = store::encode_keyed_record(&own.name, &own.encode_to_vec());
    let appended = reader.client.append(names::PEERS_TOPIC, None, &[record], STORE_TIMEOUT).await;
    match appended {
        Ok(_) => true,
        Err(error) => {
            log::info!(error:% = error; "failed to register this process");
            false
        }
    }
}
