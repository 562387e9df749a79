//! Follows the store's topics: configuration, backends and peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::evacuation::Reading;
use currantlink_core::fleet::Observation;
use currantlink_core::position::{Position, StoreEra};
use currantlink_core::shared_reads::{self, Reachability};
use currantlink_platform::error::StoreError;
use currantlink_platform::names;
use currantlink_platform::operator::{self, OperatorRecord};
use currantlink_platform::store::{self, KeyedRecord, Listing, StoreClient};
use currantlink_wire::peers::{BackendRecords, Peer};
use prost::Message;
use tokio::sync::{Notify, mpsc, watch};

use crate::key::LinkKey;

/// Timeout for a call to the store. A response usually takes a few milliseconds, and at most a few
/// hundred.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for a call after one that failed: the store may be slow. Together with a first call that
/// fails, it leaves an evacuation time to take effect within 5 s, the bound of its operator.
const SLOW_STORE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest long-poll wait of a call after one that failed.
const SLOW_STORE_WAIT: Duration = Duration::from_millis(250);
/// Long-poll wait of an agent that needs the figures of the engines.
const ENGINE_FIGURES_WAIT: Duration = Duration::from_millis(1_000);
/// Interval between an agent's reads of the configuration, of which it uses only the figures of the
/// engines. A long poll would return at every change of a route or a key.
const ENGINE_FIGURES_READ_INTERVAL: Duration = Duration::from_secs(20);
/// Minimum interval between reads of the configuration. Several changes in quick succession are read
/// together.
const CONFIG_MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time for which a process waits for another one to create the shared key.
const MAX_KEY_DELAY: Duration = Duration::from_millis(500);
/// Interval between reads of the peers' records. Peers that start later send a hello themselves.
const PEERS_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the next call to the store after a failed one.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Record key of the peers' shared link key. No process has this name.
const SHARED_KEY: &str = "key";
const SHARED_KEY_BYTES: usize = 32;

/// Update read from the store.
#[derive(Debug)]
pub enum Update {
    /// An encoded configuration.
    Config(Bytes),
    /// Evacuations of failure domains.
    Evacuations(Reading),
    /// Full listing of the backends.
    Backends(Vec<(String, Observation)>),
    /// Changed backends.
    BackendChanges(Vec<(String, Observation)>),
    /// The store responds again after an outage.
    StoreReconnected {
        /// Time of the first response.
        at_ms: u64,
    },
    /// Records of backends that this process has read, for other gateways.
    PassOn(BackendRecords),
    /// The link key shared by all processes.
    SharedKey(LinkKey),
    /// A peer process that registered itself.
    Peer(Peer),
}

/// Channel that receives the updates.
pub type Updates = mpsc::UnboundedSender<Update>;

/// Reader of one topic: lists all records first, then reads new ones.
pub(crate) struct TopicReader {
    client: StoreClient,
    topic: &'static str,
    /// Position of the next record to read, if the topic has been listed.
    position: Option<Position>,
    /// Era of the last listing.
    listed_era: Option<StoreEra>,
    reachability: Reachability,
    /// Timeout for the next call.
    timeout: Duration,
}

pub(crate) enum TopicRead {
    /// The newest record of each key.
    All {
        /// The records, each with its offset.
        records: Vec<(u64, KeyedRecord)>,
        /// Whether the store has been restored from an older copy since the last listing.
        is_restored: bool,
    },
    /// New records, each with its offset.
    Changes(Vec<(u64, KeyedRecord)>),
}

impl TopicRead {
    fn into_records(self) -> Vec<(u64, KeyedRecord)> {
        match self {
            TopicRead::All { records, .. } | TopicRead::Changes(records) => records,
        }
    }
}

impl TopicReader {
    pub(crate) fn new(store: SocketAddr, topic: &'static str) -> Self {
        Self {
            client: StoreClient::new(store),
            topic,
            position: None,
            listed_era: None,
            reachability: Reachability::default(),
            timeout: STORE_TIMEOUT,
        }
    }

    async fn next(&mut self, wait: Duration) -> Result<TopicRead, StoreError> {
        let Some(from) = self.position else {
            return self.list().await;
        };
        match self.client.read(self.topic, from.offset, wait, self.timeout).await {
            Ok(batch) if batch.next.era == from.era => {
                self.position = Some(batch.next);
                let decoded = (from.offset..).zip(batch.records).filter_map(|(offset, record)| {
                    let decoded = store::decode_keyed_record(record);
                    let decoded = decoded.inspect_err(
                        |error| log::warn!(error:% = error; "skipping a malformed record"),
                    );
                    Some((offset, decoded.ok()?))
                });
                Ok(TopicRead::Changes(decoded.collect()))
            }
            // The offset belongs to another record than the one that follows those that were read.
            Ok(batch) => {
                log::warn!(topic = self.topic, position:% = from, era:% = batch.next.era;
                    "store was restored; listing the topic again");
                self.position = None;
                self.list().await
            }
            Err(error) => {
                if let StoreError::Expired { .. } = error {
                    self.position = None;
                }
                Err(error)
            }
        }
    }

    async fn list(&mut self) -> Result<TopicRead, StoreError> {
        let Listing { next, records, pages } =
            self.client.list_newest(self.topic, self.timeout).await?;
        let is_restored = self.listed_era.replace(next.era).is_some_and(|era| era != next.era);
        log::info!(topic = self.topic, records = records.len(), pages, is_restored; "topic listed");
        self.position = Some(next);
        Ok(TopicRead::All { records, is_restored })
    }

    /// Returns the position of the next record to read, if the topic has been listed.
    pub(crate) fn position(&self) -> Option<Position> {
        self.position
    }

    /// Closes the connection to the store, which may have become silent since the last read.
    pub(crate) fn disconnect(&mut self) {
        self.client.disconnect();
    }

    /// Continues at a position up to which the records have been received otherwise.
    pub(crate) fn set_position(&mut self, position: Position) {
        self.position = Some(position);
        if self.reachability.record_contact() {
            log::info!(dependency = "store", topic = self.topic; "regained");
        }
    }

    /// Reads once. Returns the records and whether the store was unreachable before, or `None` if the
    /// call failed.
    pub(crate) async fn attempt(&mut self, wait: Duration) -> Option<(TopicRead, bool)> {
        match self.next(wait).await {
            Ok(read) => {
                let is_reconnected = self.reachability.record_contact();
                if is_reconnected {
                    log::info!(dependency = "store", topic = self.topic; "regained");
                }
                Some((read, is_reconnected))
            }
            Err(error) if error.is_store_available() => {
                log::info!(topic = self.topic, error:% = error; "read rejected by the store");
                None
            }
            Err(error) => {
                if self.reachability.record_failure() {
                    log::warn!(dependency = "store", topic = self.topic, error:% = error; "lost");
                }
                None
            }
        }
    }

    /// Reads until a call succeeds. After a failed call, the store gets more time to respond, and the
    /// calls wait less long for new records.
    async fn next_with_retry(&mut self, mut wait: Duration) -> TopicRead {
        loop {
            if let Some((read, _)) = self.attempt(wait).await {
                self.timeout = STORE_TIMEOUT;
                return read;
            }
            self.timeout = SLOW_STORE_TIMEOUT;
            wait = wait.min(SLOW_STORE_WAIT);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Follows the operator's records until the receiver of updates is dropped. `outdated` is notified when
/// a peer knows a newer configuration; `gateways` is the number of live gateways.
pub async fn follow_operator(
    store: SocketAddr,
    updates: Updates,
    outdated: Arc<Notify>,
    gateways: watch::Receiver<usize>,
) {
    let mut reader = TopicReader::new(store, names::OPERATOR_TOPIC);
    loop {
        let wait = Duration::from_millis(shared_reads::poll_ms(*gateways.borrow()));
        let sent = tokio::select! {
            sent = send_operator_records(&mut reader, &updates, wait) => sent,
            // The connection of the poll may have become silent. Dropping the call closes it.
            () = outdated.notified() => {
                log::info!("a peer knows a newer configuration");
                send_operator_records(&mut reader, &updates, Duration::ZERO).await
            }
        };
        match sent {
            Some(0) => {}
            Some(_) => tokio::time::sleep(CONFIG_MIN_INTERVAL).await,
            None => return,
        }
    }
}

/// Reads the configuration at long intervals while it is `needed`, until the receiver of updates is
/// dropped.
pub async fn follow_engine_figures(
    store: SocketAddr,
    updates: Updates,
    mut needed: watch::Receiver<bool>,
) {
    let mut reader = TopicReader::new(store, names::OPERATOR_TOPIC);
    let mut has_config = false;
    while needed.wait_for(|needed| *needed).await.is_ok() {
        let (configs, _) = read_operator_records(&mut reader, ENGINE_FIGURES_WAIT).await;
        has_config |= !configs.is_empty();
        if send_configs(configs, &updates).is_none() {
            return;
        }
        if has_config {
            tokio::time::sleep(ENGINE_FIGURES_READ_INTERVAL).await;
        }
    }
}

/// Waits for new records of the operator and sends them. Returns their number, or `None` if the
/// receiver is dropped.
async fn send_operator_records(
    reader: &mut TopicReader,
    updates: &Updates,
    wait: Duration,
) -> Option<usize> {
    let (configs, evacuations) = read_operator_records(reader, wait).await;
    let sent = configs.len() + evacuations.records.len();
    // Requests are routed from the first configuration on, so the evacuations must be known by then.
    if sent > 0 || evacuations.is_listing {
        updates.send(Update::Evacuations(evacuations)).ok()?;
    }
    send_configs(configs, updates)?;
    Some(sent)
}

fn send_configs(configs: Vec<Bytes>, updates: &Updates) -> Option<()> {
    configs.into_iter().try_for_each(|config| updates.send(Update::Config(config)).ok())
}

/// Waits for new records of the operator. Returns the configurations and the evacuations.
async fn read_operator_records(reader: &mut TopicReader, wait: Duration) -> (Vec<Bytes>, Reading) {
    let read = reader.next_with_retry(wait).await;
    let is_listing = matches!(read, TopicRead::All { .. });
    let (mut configs, mut records) = (Vec::new(), Vec::new());
    let next = reader.position().unwrap_or_default();
    for (offset, record) in read.into_records() {
        match operator::decode(Position { offset, ..next }, record) {
            OperatorRecord::Config(config) => configs.push(config),
            OperatorRecord::Evacuation(record) => records.push(record),
            OperatorRecord::Other => {}
        }
    }
    (configs, Reading { next, is_listing, records })
}

/// Registers this process and lists its peers at intervals, until the receiver of updates is dropped.
///
/// The peers are listed after the registration: of two processes that start together, the later one to
/// register finds the other and sends it a hello.
pub async fn follow_peers(store: SocketAddr, own: Peer, updates: Updates) {
    let mut reader = TopicReader::new(store, names::PEERS_TOPIC);
    while !register(&mut reader, &own).await {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    loop {
        let Some(has_key) = send_peers(&mut reader, &updates).await else {
            return;
        };
        if !has_key {
            share_key(&mut reader, &updates).await;
        }
        tokio::time::sleep(PEERS_READ_INTERVAL).await;
        // After a long partition, peers that were removed are found again.
        reader.position = None;
    }
}

/// Creates the shared key if no other process does. Processes that start together wait for different
/// times, so that usually one of them creates it.
async fn share_key(reader: &mut TopicReader, updates: &Updates) {
    tokio::time::sleep(MAX_KEY_DELAY.mul_f64(rand::random())).await;
    while let Some(false) = send_peers(reader, updates).await {
        create_key(reader).await;
    }
}

/// Reads the records of the peers and sends them. Returns whether the shared key was among them, or
/// `None` if the receiver is dropped.
async fn send_peers(reader: &mut TopicReader, updates: &Updates) -> Option<bool> {
    let mut has_key = false;
    for (_, record) in reader.next_with_retry(Duration::ZERO).await.into_records() {
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
        updates.send(update).ok()?;
    }
    Some(has_key)
}

async fn create_key(reader: &mut TopicReader) {
    let value: [u8; SHARED_KEY_BYTES] = rand::random();
    let record = store::encode_keyed_record(SHARED_KEY, &value);
    // The append is conditional on the topic's end, so only one of several concurrent creators
    // succeeds.
    let at = reader.position.map(|position| position.offset);
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
