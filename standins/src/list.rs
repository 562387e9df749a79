//! Stand-in for the instance list of the platform, which shows changes after a lag.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::server::{self, IncomingRequest};

/// Entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Instance name.
    pub name: String,
    /// Address of the side on the instance.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Response body of the instance list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Instances {
    /// Instances.
    pub instances: Vec<Instance>,
}

#[derive(Default)]
struct State {
    visible: Instances,
    pending: VecDeque<(Instant, Instances)>,
    outage: bool,
}

/// Instance list. A change made with `PUT /instances` becomes visible after the lag.
#[derive(Clone)]
pub struct List {
    lag: Duration,
    state: Arc<Mutex<State>>,
}

impl List {
    /// Creates an empty list.
    pub fn new(lag: Duration) -> Self {
        Self { lag, state: Arc::default() }
    }

    /// Serves the list over HTTP and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let list = self.clone();
        server::serve(address, move |request| {
            let response = list.handle(&request);
            Box::pin(async move { response })
        })
        .await
    }

    /// Replaces the list without lag.
    pub fn set_immediately(&self, instances: Instances) {
        self.lock().visible = instances;
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn set(&self, instances: Instances) {
        self.lock().pending.push_back((Instant::now() + self.lag, instances));
    }

    /// Sets whether reads fail with status 503.
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
