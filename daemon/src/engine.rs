//! Client of the engine beside a side: load reports and orders about the expert map.

use std::time::Duration;

use bytes::Bytes;
use currantlink_core::coordinator::EngineReport;
use currantlink_core::group::Step;
use currantlink_core::map::{LayerMap, MapError};
use currantlink_wire::link::MapBody;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::backend::{BackendClient, BackendError};
use crate::side_control::Event;

/// What is wrong with the engine.
#[derive(Debug, Display, Error, From)]
pub enum EngineError {
    /// It cannot be reached, or refuses.
    #[display("engine: {_0}")]
    Backend(BackendError),
    /// Its answer does not parse.
    #[display("engine answer does not parse: {_0}")]
    Json(serde_json::Error),
    /// It did not answer an order in time; the order may take effect later.
    #[display("engine did not answer in time")]
    Timeout,
    /// Its map is none.
    #[display("engine map: {_0}")]
    Map(MapError),
}

/// Engine's load report.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LoadReport {
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Version of the map in use.
    pub map_version: u64,
    /// Tokens per layer and expert since the engine's start.
    #[serde(default)]
    pub expert_tokens: Vec<Vec<u64>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct LayerJson {
    slots_per_rank: u32,
    experts: Vec<u32>,
}

#[derive(Serialize)]
struct OrderJson {
    fence: u64,
    version: u64,
    layers: Vec<LayerJson>,
}

#[derive(Clone, Debug, Deserialize)]
struct MapJson {
    map_version: u64,
    staged_version: u64,
    held: bool,
    layers: Vec<LayerJson>,
}

/// State of the engine's ranks.
#[derive(Clone, Debug)]
pub struct MapState {
    /// Versions and hold.
    pub report: EngineReport,
    /// Experts and slots of each layer in use.
    layers: Vec<LayerJson>,
}

impl MapState {
    /// Returns the maps in use.
    ///
    /// # Errors
    ///
    /// Fails where the engine's slots are no map.
    pub fn maps(&self) -> Result<Vec<LayerMap>, EngineError> {
        let map = |layer: &LayerJson| {
            let experts = layer.experts.iter().max().map_or(0, |&e| e as usize + 1);
            let ranks = layer.experts.len() / layer.slots_per_rank.max(1) as usize;
            LayerMap::new(experts, ranks, layer.experts.clone()).map_err(EngineError::Map)
        };
        self.layers.iter().map(map).collect()
    }
}

/// Client of the engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    backend: BackendClient,
    order_timeout: Duration,
}

impl EngineClient {
    /// Creates a client.
    pub fn new(backend: BackendClient, order_timeout: Duration) -> Self {
        Self { backend, order_timeout }
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Fails where the engine does not answer.
    pub async fn load(&self) -> Result<LoadReport, EngineError> {
        let body = self.backend.fetch("GET", "/load", Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Reads the state of the ranks.
    ///
    /// # Errors
    ///
    /// Fails where the engine does not answer in time.
    pub async fn map_state(&self) -> Result<MapState, EngineError> {
        let request = self.backend.fetch("GET", "/map", Bytes::new());
        let response = tokio::time::timeout(self.order_timeout, request).await;
        parse_map_state(&response.map_err(|_| EngineError::Timeout)??)
    }

    /// Gives an order with a fencing number.
    ///
    /// # Errors
    ///
    /// After a timeout the order may still take effect.
    pub async fn send_order(
        &self,
        step: Step,
        fence: u64,
        version: u64,
        map: Option<&MapBody>,
    ) -> Result<MapState, EngineError> {
        let layers = map
            .map_or(&[][..], |m| &m.layers)
            .iter()
            .map(|l| LayerJson { slots_per_rank: l.slots_per_rank, experts: l.experts.clone() });
        let order = OrderJson { fence, version, layers: layers.collect() };
        let body = Bytes::from(serde_json::to_vec(&order)?);
        let path = format!("/map/{step}");
        let request = self.backend.fetch("POST", &path, body);
        let response = tokio::time::timeout(self.order_timeout, request).await;
        parse_map_state(&response.map_err(|_| EngineError::Timeout)??)
    }
}

fn parse_map_state(body: &[u8]) -> Result<MapState, EngineError> {
    let json: MapJson = serde_json::from_slice(body)?;
    let report = EngineReport {
        map_version: json.map_version,
        staged_version: json.staged_version,
        held: json.held,
    };
    Ok(MapState { report, layers: json.layers })
}

/// Reports the engine's adapters and map version to the control thread.
pub async fn poll_load(engine: EngineClient, interval: Duration, events: mpsc::Sender<Event>) {
    let mut polls = tokio::time::interval(interval);
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        polls.tick().await;
        let load = match engine.load().await {
            Ok(load) => load,
            Err(error) => {
                log::debug!(error:% = error; "load report not read");
                continue;
            }
        };
        if events.send(Event::EngineReport(load.adapters, load.map_version)).await.is_err() {
            return;
        }
    }
}
