//! Handles expert map orders of coordinators on a side and forwards them to the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use currantlink_core::coordinator::EngineReport;
use currantlink_core::group::{Action, Ballot, Member, Order, Step};
use currantlink_core::ids::Incarnation;
use currantlink_wire::link::{ExpertLoad, GroupAnswer, GroupOrder, LayerTokens, group_order};
use tokio::sync::Mutex;

use crate::engine::{EngineClient, EngineError};
use crate::platform::PlatformClient;

/// Time within which an engine executes or drops an order. After an order without a response, and
/// after the start of a side, no other order is sent for this time, because an earlier order may
/// still take effect.
const ORDER_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Timeout of the weight transfers of one change, below the coordinator's timeout for staging.
const FETCH_TIMEOUT: Duration = Duration::from_secs(55);

/// Executes the group's orders on one side, one at a time.
pub struct GroupOrderHandler {
    engine: EngineClient,
    store: Option<PlatformClient>,
    member: Mutex<Member>,
    fetched_version: AtomicU64,
}

impl GroupOrderHandler {
    /// Creates the handler of one incarnation. It refuses orders until those that the previous
    /// process may have sent to the engine have settled.
    ///
    /// Must be called within a Tokio runtime.
    pub fn new(incarnation: u64, engine: EngineClient, store_url: Option<&str>) -> Arc<Self> {
        let member = Mutex::new(Member::new(Incarnation(incarnation)));
        let handler = Arc::new(Self {
            engine,
            store: store_url.map(PlatformClient::new),
            member,
            fetched_version: AtomicU64::new(0),
        });
        tokio::spawn(settle_after_start(Arc::clone(&handler)));
        handler
    }

    /// Handles an order and returns the state of the engine.
    pub async fn handle_order(&self, incarnation: u64, order: GroupOrder) -> GroupAnswer {
        let mut member = self.member.lock().await;
        let core_order = Order {
            incarnation: Incarnation(incarnation),
            ballot: Ballot { round: order.ballot_round, owner: order.ballot_owner },
            step: core_step(order.step()),
            map_version: order.map_version,
        };
        let report = match member.receive(core_order) {
            Ok(Action::Report) => self.report().await,
            Ok(Action::Execute) => self.execute(&mut member, core_order, &order).await,
            Err(error) => {
                log::info!(
                    target: "group", step:% = core_order.step, ballot:% = core_order.ballot,
                    error:% = error; "order refused"
                );
                None
            }
        };
        group_answer(&order, &member, report)
    }

    /// Reads the token counts per layer and expert from the engine; empty if the read fails.
    pub async fn expert_load(&self, stream: u64) -> ExpertLoad {
        let load = self.engine.load().await.unwrap_or_default();
        let layers = load.expert_tokens.into_iter().map(|tokens| LayerTokens { tokens });
        ExpertLoad { stream, layers: layers.collect() }
    }

    async fn report(&self) -> Option<EngineReport> {
        self.engine.map_state().await.ok().map(|state| state.report)
    }

    async fn execute(
        &self,
        member: &mut Member,
        core_order: Order,
        order: &GroupOrder,
    ) -> Option<EngineReport> {
        if core_order.step == Step::Stage && !self.fetch_weights(order).await {
            member.record_result(core_order.step, false);
            return None;
        }
        let (fence, version) = (core_order.ballot.round, core_order.map_version);
        let result =
            self.engine.send_order(core_order.step, fence, version, order.map.as_ref()).await;
        if matches!(result, Err(EngineError::Timeout | EngineError::Backend(_))) {
            tokio::time::sleep(ORDER_SETTLE_TIME).await;
        }
        member.record_result(core_order.step, result.is_ok());
        log::info!(
            target: "group", step:% = core_order.step, ballot:% = core_order.ballot, version,
            done = result.is_ok(); "order sent to engine"
        );
        result.ok().map(|state| state.report)
    }

    /// Transfers the weights that the side's ranks lack for a map. Staging the same version again
    /// does not repeat the transfers. Returns whether the weights are present.
    async fn fetch_weights(&self, order: &GroupOrder) -> bool {
        let transfers = order.transfers;
        if self.fetched_version.load(Ordering::Relaxed) == order.map_version {
            return true;
        }
        let fetched = self.transfer_weights(transfers).await;
        if fetched {
            self.fetched_version.store(order.map_version, Ordering::Relaxed);
        }
        fetched
    }

    async fn transfer_weights(&self, transfers: u32) -> bool {
        match &self.store {
            Some(store) if transfers > 0 => {
                let fetching = tokio::time::timeout(FETCH_TIMEOUT, store.transfer(transfers)).await;
                let fetched = matches!(fetching, Ok(Ok(())));
                log::info!(target: "group", transfers, fetched; "weight transfers ended");
                fetched
            }
            _ => true,
        }
    }
}

async fn settle_after_start(handler: Arc<GroupOrderHandler>) {
    tokio::time::sleep(ORDER_SETTLE_TIME).await;
    handler.member.lock().await.mark_settled();
}

fn group_answer(order: &GroupOrder, member: &Member, report: Option<EngineReport>) -> GroupAnswer {
    let promised = member.promised();
    let accepted = report.is_some();
    let report = report.unwrap_or_default();
    GroupAnswer {
        group: order.group.clone(),
        ballot_round: order.ballot_round,
        ballot_owner: order.ballot_owner,
        step: order.step,
        accepted,
        map_version: report.map_version,
        staged_version: report.staged_version,
        held: report.held,
        promised_round: promised.round,
        promised_owner: promised.owner,
        stream: order.stream,
    }
}

/// Decodes a step.
pub fn core_step(step: group_order::Step) -> Step {
    match step {
        group_order::Step::Prepare => Step::Prepare,
        group_order::Step::Stage => Step::Stage,
        group_order::Step::Hold => Step::Hold,
        group_order::Step::Switch => Step::Switch,
        group_order::Step::Confirm => Step::Confirm,
        group_order::Step::Release => Step::Release,
    }
}

/// Encodes a step.
pub fn wire_step(step: Step) -> group_order::Step {
    match step {
        Step::Prepare => group_order::Step::Prepare,
        Step::Stage => group_order::Step::Stage,
        Step::Hold => group_order::Step::Hold,
        Step::Switch => group_order::Step::Switch,
        Step::Confirm => group_order::Step::Confirm,
        Step::Release => group_order::Step::Release,
    }
}
