//! Stand-in for a model engine: backends whose ranks run in lockstep as one group.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::server::{self, IncomingRequest};

const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Size and timing of a group.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of backends in the group.
    pub backends: usize,
    /// Number of ranks per backend.
    pub ranks_per_backend: usize,
    /// Duration of one step.
    pub step_duration: Duration,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Delay before an order is applied.
    pub order_duration: Duration,
    /// Number of experts in the only layer.
    pub experts: u32,
    /// Number of expert slots per rank.
    pub slots_per_rank: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            backends: 1,
            ranks_per_backend: 2,
            step_duration: Duration::from_millis(5),
            checks_fence: false,
            order_duration: Duration::ZERO,
            experts: 8,
            slots_per_rank: 4,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Rank {
    map_version: u64,
    staged: IndexSet<u64>,
    held: bool,
    fence: u64,
}

#[derive(Default)]
struct State {
    ranks: Vec<Rank>,
    step: u64,
    missed_steps: u64,
    mixed_steps: Vec<u64>,
    switches: u64,
    answered: u64,
    begun: u64,
    running: IndexMap<usize, u32>,
    adapters: IndexSet<String>,
    expert_tokens: IndexMap<usize, Vec<Vec<u64>>>,
    maps: IndexMap<u64, Vec<Layer>>,
}

/// Expert of each slot of one layer, ordered by rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layer {
    /// Number of slots per rank.
    pub slots_per_rank: u32,
    /// Expert index of each slot.
    pub experts: Vec<u32>,
}

/// Group of ranks behind one or more backends. Clones share their state.
#[derive(Clone)]
pub struct Group {
    options: Options,
    state: Arc<Mutex<State>>,
    steps: Arc<watch::Sender<u64>>,
}

/// Counters and state of a group.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Number of completed steps.
    pub step: u64,
    /// Number of steps that were skipped because a rank was held.
    pub missed_steps: u64,
    /// Steps in which the ranks used different maps.
    pub mixed_steps: Vec<u64>,
    /// Map version of each rank.
    pub map_versions: Vec<u64>,
    /// Number of ranks that are held.
    pub held: usize,
    /// Number of map switches, counted per rank.
    pub switches: u64,
    /// Number of requests started.
    pub begun: u64,
    /// Number of requests completed.
    pub answered: u64,
}

#[derive(Deserialize)]
struct CompletionRequest {
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    adapter: Option<String>,
}

/// Order that stages, holds, switches or releases an expert map.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MapOrder {
    /// Fencing token.
    pub fence: u64,
    /// Map version.
    pub version: u64,
    /// Layers of the map, for `/map/stage`.
    #[serde(default)]
    pub layers: Vec<Layer>,
}

/// Map state of the ranks of one backend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MapState {
    /// Version in use; the lowest one if the ranks differ.
    pub map_version: u64,
    /// Latest staged version; the lowest one if the ranks differ.
    pub staged_version: u64,
    /// Whether all ranks are held.
    pub held: bool,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Number of ranks of this backend.
    pub ranks: usize,
    /// Layers of the map in use.
    pub layers: Vec<Layer>,
}

#[derive(Serialize)]
struct Load {
    running: u32,
    adapters: Vec<String>,
    map_version: u64,
    expert_tokens: Vec<Vec<u64>>,
}

impl Group {
    /// Starts a group that runs steps until the process ends. Must be called within a Tokio runtime.
    pub fn start(options: Options) -> Self {
        let ranks = vec![Rank::default(); options.backends * options.ranks_per_backend];
        let maps = IndexMap::from([(0, initial_map(&options))]);
        let state = Arc::new(Mutex::new(State { ranks, maps, ..State::default() }));
        let group = Self { options, state, steps: Arc::new(watch::Sender::new(0)) };
        tokio::spawn(group.clone().run_steps());
        group
    }

    /// Serves one backend over HTTP and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, backend: usize, address: SocketAddr) -> io::Result<SocketAddr> {
        let group = self.clone();
        server::serve(address, move |request| {
            let group = group.clone();
            Box::pin(async move { group.handle(backend, request).await })
        })
        .await
    }

    /// Returns the current counters and state.
    pub fn record(&self) -> GroupRecord {
        let state = self.lock();
        GroupRecord {
            step: state.step,
            missed_steps: state.missed_steps,
            mixed_steps: state.mixed_steps.clone(),
            map_versions: state.ranks.iter().map(|r| r.map_version).collect(),
            held: state.ranks.iter().filter(|r| r.held).count(),
            switches: state.switches,
            begun: state.begun,
            answered: state.answered,
        }
    }

    /// Sets the cumulative token counts, per layer and expert, that a backend reports.
    pub fn set_expert_tokens(&self, backend: usize, layers: Vec<Vec<u64>>) {
        self.lock().expert_tokens.insert(backend, layers);
    }

    async fn run_steps(self) {
        let mut ticks = tokio::time::interval(self.options.step_duration);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let step = self.lock().advance();
            self.steps.send_replace(step);
        }
    }

    async fn handle(
        &self,
        backend: usize,
        request: IncomingRequest,
    ) -> http::Response<server::Body> {
        match (request.head.method.as_str(), request.path()) {
            ("POST", "/v1/completions") => self.complete(backend, &request).await,
            ("GET", "/load") => server::json(&self.load(backend)),
            ("GET", "/record") => server::json(&self.record()),
            ("GET", "/map") => server::json(&self.map_state(backend)),
            ("POST", "/map/stage" | "/map/hold" | "/map/switch" | "/map/release") => {
                self.handle_order(backend, &request).await
            }
            ("POST", "/adapters") => self.load_adapter(&request),
            _ => server::status(StatusCode::NOT_FOUND),
        }
    }

    async fn complete(
        &self,
        backend: usize,
        request: &IncomingRequest,
    ) -> http::Response<server::Body> {
        let Some(completion) = request.json::<CompletionRequest>() else {
            return server::status(StatusCode::BAD_REQUEST);
        };
        if let Some(adapter) = &completion.adapter
            && !self.lock().adapters.contains(adapter)
        {
            return server::status(StatusCode::NOT_FOUND);
        }
        let running = RunningRequest::start(self.clone(), backend);
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let tokens = tokens(&completion.prompt, completion.max_tokens.unwrap_or(16));
        let steps = self.steps.subscribe();
        if completion.stream {
            let stream = futures::stream::unfold(
                (tokens.into_iter(), steps, Some(running)),
                |(mut tokens, mut steps, mut running)| async move {
                    running.as_ref()?;
                    // The channel cannot close: `running` holds the group, which owns the sender.
                    let _ = steps.changed().await;
                    let data = match tokens.next() {
                        Some(token) => Bytes::from(format!("data: {{\"token\":\"{token}\"}}\n\n")),
                        None => {
                            running.take()?.finish();
                            Bytes::from_static(DONE_EVENT)
                        }
                    };
                    Some((data, (tokens, steps, running)))
                },
            );
            return server::events(SyncStream(Mutex::new(Box::pin(stream))));
        }
        self.wait_steps(steps, tokens.len()).await;
        running.finish();
        server::json(&serde_json::json!({ "request_id": id, "text": tokens.join(" ") }))
    }

    async fn wait_steps(&self, mut steps: watch::Receiver<u64>, count: usize) {
        let end = *steps.borrow_and_update() + count as u64;
        // The channel cannot close: the group owns the sender.
        let _ = steps.wait_for(|&step| step >= end).await;
    }

    fn load(&self, backend: usize) -> Load {
        let state = self.lock();
        Load {
            running: state.running.get(&backend).copied().unwrap_or(0),
            adapters: state.adapters.iter().cloned().collect(),
            map_version: state.ranks[self.rank_range(backend).start].map_version,
            expert_tokens: state.expert_tokens.get(&backend).cloned().unwrap_or_default(),
        }
    }

    fn load_adapter(&self, request: &IncomingRequest) -> http::Response<server::Body> {
        match request.query("name") {
            Some(name) => {
                self.lock().adapters.insert(name.to_owned());
                server::status(StatusCode::NO_CONTENT)
            }
            None => server::status(StatusCode::BAD_REQUEST),
        }
    }

    async fn handle_order(
        &self,
        backend: usize,
        request: &IncomingRequest,
    ) -> http::Response<server::Body> {
        let Some(order) = request.json::<MapOrder>() else {
            return server::status(StatusCode::BAD_REQUEST);
        };
        tokio::time::sleep(self.options.order_duration).await;
        let mut state = self.lock();
        if !order.layers.is_empty() {
            state.maps.insert(order.version, order.layers.clone());
        }
        for index in self.rank_range(backend) {
            let rank = &mut state.ranks[index];
            if self.options.checks_fence && order.fence < rank.fence {
                return server::status(StatusCode::CONFLICT);
            }
            rank.fence = rank.fence.max(order.fence);
            let switched = match request.path() {
                "/map/stage" => {
                    rank.staged.insert(order.version);
                    false
                }
                "/map/hold" => {
                    rank.held = true;
                    false
                }
                "/map/switch" => rank.switch_to(order.version),
                _ => {
                    rank.held = false;
                    false
                }
            };
            state.switches += u64::from(switched);
        }
        drop(state);
        server::json(&self.map_state(backend))
    }

    fn map_state(&self, backend: usize) -> MapState {
        let state = self.lock();
        let ranks = &state.ranks[self.rank_range(backend)];
        let version = ranks.iter().map(|r| r.map_version).min().unwrap_or(0);
        MapState {
            ranks: ranks.len(),
            layers: state.maps.get(&version).cloned().unwrap_or_default(),
            map_version: ranks.iter().map(|r| r.map_version).min().unwrap_or(0),
            staged_version: ranks
                .iter()
                .filter_map(|r| r.staged.last())
                .min()
                .copied()
                .unwrap_or(0),
            held: ranks.iter().all(|r| r.held),
            fence: ranks.iter().map(|r| r.fence).max().unwrap_or(0),
        }
    }

    fn rank_range(&self, backend: usize) -> std::ops::Range<usize> {
        let per_backend = self.options.ranks_per_backend;
        backend * per_backend..(backend + 1) * per_backend
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rank {
    fn switch_to(&mut self, version: u64) -> bool {
        let switches = self.staged.contains(&version) && self.map_version != version;
        if switches {
            self.map_version = version;
        }
        switches
    }
}

impl State {
    /// Runs one step unless a rank is held; returns the number of completed steps.
    fn advance(&mut self) -> u64 {
        if self.ranks.iter().any(|r| r.held) {
            self.missed_steps += 1;
            return self.step;
        }
        self.step += 1;
        let first = self.ranks[0].map_version;
        if self.ranks.iter().any(|r| r.map_version != first) {
            self.mixed_steps.push(self.step);
        }
        self.step
    }
}

/// Running request. A value that is dropped without `finish` is a cancelled request.
struct RunningRequest {
    group: Group,
    backend: usize,
}

impl RunningRequest {
    fn start(group: Group, backend: usize) -> Self {
        let mut state = group.lock();
        state.begun += 1;
        *state.running.entry(backend).or_default() += 1;
        drop(state);
        Self { group, backend }
    }

    fn finish(self) {
        self.group.lock().answered += 1;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if let Some(count) = self.group.lock().running.get_mut(&self.backend) {
            *count -= 1;
        }
    }
}

/// Returns a map with one layer whose slots are assigned to the experts round-robin.
fn initial_map(options: &Options) -> Vec<Layer> {
    let ranks = options.backends * options.ranks_per_backend;
    let slots = ranks * options.slots_per_rank as usize;
    let experts = (0..slots as u32).map(|slot| slot % options.experts.max(1));
    vec![Layer { slots_per_rank: options.slots_per_rank, experts: experts.collect() }]
}

/// Generates the tokens that follow a prompt. The result is deterministic.
pub fn tokens(prompt: &str, count: u32) -> Vec<String> {
    let mut seed = prompt.bytes().fold(7_u32, |s, b| s.wrapping_mul(31).wrapping_add(b.into()));
    let mut next = || {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        format!("t{}", seed >> 20)
    };
    (0..count).map(|_| next()).collect()
}

type BoxedStream = std::pin::Pin<Box<dyn futures::Stream<Item = Bytes> + Send>>;

/// Wrapper that makes a stream `Sync`, as response bodies must be.
struct SyncStream(Mutex<BoxedStream>);

impl futures::Stream for SyncStream {
    type Item = Bytes;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Bytes>> {
        let mut stream = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        stream.as_mut().poll_next(context)
    }
}
