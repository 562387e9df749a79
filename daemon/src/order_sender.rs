//! Orders on their way to one backend.

use std::net::SocketAddr;
use std::sync::Arc;

use currantlink_core::switch::{Action, Order};
use tokio::sync::{Notify, mpsc};

use crate::rank::RankClient;

/// Times that an order is sent while it is not answered.
const MAX_ATTEMPTS: u32 = 6;

/// Gives orders to one backend, one after the other. One that is not answered is sent again until a
/// newer one is to be given.
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
                        "order given");
                    break;
                }
                Err(error) if sends == MAX_ATTEMPTS || !orders.is_empty() => {
                    log::info!(action, fence, backend:% = backend, sends, error:% = error;
                        "order not answered");
                    break;
                }
                Err(error) => log::debug!(action, error:% = error; "order is sent again"),
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
