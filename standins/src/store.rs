//! Stand-in for the rate-limited weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;

use crate::server;

/// Weight store. `POST /transfers?count=N` responds after N transfers are complete.
#[derive(Clone)]
pub struct WeightStore {
    transfer_duration: Duration,
    total_transfers: Arc<Mutex<u64>>,
}

impl WeightStore {
    /// Creates a store that transfers the weights of one expert at a time.
    pub fn new(transfer_duration: Duration) -> Self {
        Self { transfer_duration, total_transfers: Arc::default() }
    }

    /// Serves over HTTP and returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let store = self.clone();
        server::serve(address, move |request| {
            let store = store.clone();
            let count = request.query("count").and_then(|c| c.parse().ok()).unwrap_or(1);
            Box::pin(async move {
                let total = store.transfer(count).await;
                server::json(&serde_json::json!({ "transfers": total }))
            })
        })
        .await
    }

    /// Runs `count` transfers and returns the total number of transfers so far.
    pub async fn transfer(&self, count: u32) -> u64 {
        let mut total = self.total_transfers.lock().await;
        tokio::time::sleep(self.transfer_duration * count).await;
        *total += u64::from(count);
        *total
    }
}
