//! Rank reports and orders as datagrams.

use std::net::{AddrParseError, SocketAddr};
use std::sync::Arc;

use currantlink_core::switch::{Action, Order, RankState};
use currantlink_wire::peers::{Arming, Command, ExpertSet, Experts, Prepare, RankReport, command};

use crate::conductor::Report;

/// Writes a report.
pub fn encode_report(report: Report) -> RankReport {
    let state = report.state;
    RankReport {
        backend_address: report.backend.to_string(),
        group: state.group,
        epoch: state.epoch,
        rank: state.rank,
        size: state.size,
        is_open: state.is_open,
        orders: state.orders,
        step: state.step,
        map_version: state.map_version,
        prepared_version: state.prepared_version,
        armed: state.armed.map(|(version, step)| Arming { version, step }),
        held_step: state.held_step,
        busy: state.busy,
        counts: report.counts,
        experts: report.experts.into_iter().map(|experts| Experts { experts }).collect(),
        highest_fence: 0,
    }
}

/// Reads a report.
///
/// # Errors
///
/// Fails where the backend's address is none.
pub fn decode_report(report: RankReport) -> Result<Report, AddrParseError> {
    let backend: SocketAddr = report.backend_address.parse()?;
    let state = RankState {
        group: report.group,
        epoch: report.epoch,
        rank: report.rank,
        size: report.size,
        is_open: report.is_open,
        orders: report.orders,
        step: report.step,
        map_version: report.map_version,
        prepared_version: report.prepared_version,
        armed: report.armed.map(|armed| (armed.version, armed.step)),
        held_step: report.held_step,
        busy: report.busy,
    };
    let experts = report.experts.into_iter().map(|set| set.experts).collect();
    Ok(Report { state, counts: report.counts, experts, backend })
}

/// Writes an order.
pub fn encode_order(group: &str, order: &Order) -> Command {
    let action = match &order.action {
        Action::Prepare { version, map } => {
            let rank = |experts: &Vec<u32>| Experts { experts: experts.clone() };
            let set = |set: &Vec<Vec<u32>>| ExpertSet { ranks: set.iter().map(rank).collect() };
            let sets = map.iter().map(set).collect();
            command::Action::Prepare(Prepare { version: *version, sets })
        }
        &Action::Arm { version, step } => command::Action::Arm(Arming { version, step }),
        &Action::Hold { step } => command::Action::HoldStep(step),
        &Action::Go { step } => command::Action::GoStep(step),
        &Action::Disarm { version } => command::Action::DisarmVersion(version),
    };
    Command {
        group: group.to_owned(),
        fence: order.fence,
        epoch: order.epoch,
        expected_orders: order.expected_orders.unwrap_or_default(),
        action: Some(action),
    }
}

/// Reads an order; nothing where it has no action.
pub fn decode_order(command: Command) -> Option<Order> {
    let action = match command.action? {
        command::Action::Prepare(Prepare { version, sets }) => {
            let set = |set: ExpertSet| set.ranks.into_iter().map(|rank| rank.experts).collect();
            Action::Prepare { version, map: Arc::new(sets.into_iter().map(set).collect()) }
        }
        command::Action::Arm(Arming { version, step }) => Action::Arm { version, step },
        command::Action::HoldStep(step) => Action::Hold { step },
        command::Action::GoStep(step) => Action::Go { step },
        command::Action::DisarmVersion(version) => Action::Disarm { version },
    };
    let (fence, epoch) = (command.fence, command.epoch);
    Some(Order { fence, epoch, expected_orders: Some(command.expected_orders), action })
}
