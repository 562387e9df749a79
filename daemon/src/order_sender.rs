//! Sending of orders to one backend.

use std::net::SocketAddr;
use std::sync::Arc;

use currantlink_core::switch::{Action, Order};
use tokio::sync::{Notify, mpsc};

use crate::rank_client::RankClient;

/// Maximum number of attempts to send an order.
const MAX_ATTEMPTS: u32 = 6;

/// Sends orders to one backend in sequence. An order without a response is sent again unless a
/// newer order is queued. Notifies `wake` after each order.
pub async fn send_orders(
    backend: SocketAddr,
    mut orders: mpsc::UnboundedReceiver<Order>,
    wake: Arc<Notify>,
) {
    let mut client = RankClient::new(backend);
    while let Some(order) = orders.recv().await {
        let (action, fence) = (action_name(&order.action), order.fence);
        for sends in 1..=MAX_ATTEMPTS {
            match client.send_order(&order).await {
                Ok(outcome) => {
                    log::info!(action, fence, backend:% = backend, sends, outcome:% = outcome;
                        "order sent");
                    break;
                }
                Err(error) if sends == MAX_ATTEMPTS || !orders.is_empty() => {
                    log::info!(action, fence, backend:% = backend, sends, error:% = error;
                        "order failed");
                    break;
                }
                Err(error) => log::debug!(action, error:% = error; "retrying an order"),
            }
        }
        wake.notify_one();
    }
}

fn action_name(action: &Action) -> &'static str {
    match action {
        Action::Prepare { .. } => "prepare",
        Action::Arm { .. } => "arm",
        Action::Disarm { .. } => "disarm",
        Action::Hold { .. } => "hold",
        Action::Go { .. } => "go",
    }
}
