//! Stand-in of the platform's lagging list of instances.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::server::{self, IncomingRequest};

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Address of its side.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Body of the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Instances {
    /// All instances.
    pub instances: Vec<Instance>,
}

#[derive(Default)]
struct State {
    visible: Instances,
    pending: VecDeque<(Instant, Instances)>,
    outage: bool,
}

/// The list; a change made by `PUT /instances` shows after the lag.
#[derive(Clone)]
pub struct List {
    lag: Duration,
    state: Arc<Mutex<State>>,
}

impl List {
    /// Starts an empty list.
    pub fn new(lag: Duration) -> Self {
        Self { lag, state: Arc::default() }
    }

    /// Serves the list over HTTP.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let list = self.clone();
        server::serve(address, move |request| {
            let response = list.handle(&request);
            Box::pin(async move { response })
        })
        .await
    }

    /// Changes the list without lag.
    pub fn set_immediately(&self, instances: Instances) {
        self.lock().visible = instances;
    }

    /// Changes the list, to be shown after the lag.
    pub fn set(&self, instances: Instances) {
        self.lock().pending.push_back((Instant::now() + self.lag, instances));
    }

    /// Switches an outage.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    fn handle(&self, request: &IncomingRequest) -> http::Response<server::Body> {
        match request.head.method.as_str() {
            "GET" => self.read(request.query("name")),
            "PUT" => match request.json() {
                Some(instances) => {
                    self.set(instances);
                    server::status(StatusCode::NO_CONTENT)
                }
                None => server::status(StatusCode::BAD_REQUEST),
            },
            _ => server::status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn read(&self, name: Option<&str>) -> http::Response<server::Body> {
        let mut state = self.lock();
        while state.pending.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            if let Some((_, instances)) = state.pending.pop_front() {
                state.visible = instances;
            }
        }
        if state.outage {
            return server::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let has_name = |i: &&Instance| name.is_none_or(|name| name == i.name);
        let instances = state.visible.instances.iter().filter(has_name).cloned().collect();
        server::json(&Instances { instances })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
