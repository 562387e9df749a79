//! HTTP client of the engine of a side: load reports and expert map orders.

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

/// Error of a request to the engine.
#[derive(Debug, Display, Error, From)]
pub enum EngineError {
    /// The engine is unreachable or responded with an error.
    #[display("engine request failed: {_0}")]
    Backend(BackendError),
    /// The response is not valid JSON of the expected shape.
    #[display("invalid engine response: {_0}")]
    Json(serde_json::Error),
    /// The engine did not respond in time. An order may still take effect later.
    #[display("engine request timed out")]
    Timeout,
    /// The slots that the engine reported are not a valid map.
    #[display("invalid engine map: {_0}")]
    Map(MapError),
}

/// Load report of the engine.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct LoadReport {
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// Version of the current map.
    pub map_version: u64,
    /// Tokens per layer and expert since the engine started. Empty if the engine has no experts.
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

/// Expert map state of the engine.
#[derive(Clone, Debug)]
pub struct MapState {
    /// Versions of the current and the staged map, and whether the ranks are held.
    pub report: EngineReport,
    /// Slots of the current map, per layer.
    layers: Vec<LayerJson>,
}

impl MapState {
    /// Returns the current map of each layer.
    ///
    /// # Errors
    ///
    /// Fails if the slots of a layer are not a valid map.
    pub fn maps(&self) -> Result<Vec<LayerMap>, EngineError> {
        let map = |layer: &LayerJson| {
            let experts = layer.experts.iter().max().map_or(0, |&e| e as usize + 1);
            let ranks = layer.experts.len() / layer.slots_per_rank.max(1) as usize;
            LayerMap::new(experts, ranks, layer.experts.clone()).map_err(EngineError::Map)
        };
        self.layers.iter().map(map).collect()
    }
}

/// HTTP client of the engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    backend: BackendClient,
    order_timeout: Duration,
}

impl EngineClient {
    /// Creates a client. `order_timeout` limits orders and reads of the map state.
    pub fn new(backend: BackendClient, order_timeout: Duration) -> Self {
        Self { backend, order_timeout }
    }

    /// Reads the load report.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable or its response is invalid.
    pub async fn load(&self) -> Result<LoadReport, EngineError> {
        let body = self.backend.fetch("GET", "/load", Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Reads the expert map state.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable, times out, or its response is invalid.
    pub async fn map_state(&self) -> Result<MapState, EngineError> {
        let request = self.backend.fetch("GET", "/map", Bytes::new());
        let response = tokio::time::timeout(self.order_timeout, request).await;
        parse_map_state(&response.map_err(|_| EngineError::Timeout)??)
    }

    /// Sends an order with a fencing token and returns the resulting map state.
    ///
    /// # Errors
    ///
    /// Fails if the engine is unreachable, refuses, times out, or its response is invalid. After a
    /// timeout the order may still take effect.
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

/// Polls the load report and sends adapters and map version to the control thread.
pub async fn poll_load(engine: EngineClient, interval: Duration, events: mpsc::Sender<Event>) {
    let mut polls = tokio::time::interval(interval);
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        polls.tick().await;
        let load = match engine.load().await {
            Ok(load) => load,
            Err(error) => {
                log::debug!(error:% = error; "failed to read the load report");
                continue;
            }
        };
        if events.send(Event::EngineReport(load.adapters, load.map_version)).await.is_err() {
            return;
        }
    }
}
