//! Encoding of rank reports and orders as messages between agents.

use std::net::{AddrParseError, SocketAddr};
use std::sync::Arc;

use currantlink_core::switch::{Action, ExpertMap, Order, RankState};
use currantlink_wire::peers::{
    Arming, Command, ExpertSet, Experts, Prepare, RankChange, RankReport, command,
};

use crate::group_leader::Report;

/// An expert map with its version.
pub type VersionedMap = (u64, Arc<ExpertMap>);

/// Encodes a report.
pub fn encode_report(report: Report) -> RankReport {
    let state = report.state;
    let choices_shift = choices_shift(&report.choices);
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
        choices_shift,
        choices: report.choices.into_iter().map(|count| count >> choices_shift).collect(),
        experts: report.experts.into_iter().map(|experts| Experts { experts }).collect(),
    }
}

/// Returns the right shift that makes each count fit one byte of a message, so that a report of
/// some thousand experts fits a packet.
fn choices_shift(choices: &[u64]) -> u32 {
    const ONE_BYTE_BITS: u32 = 7;
    let greatest = choices.iter().copied().max().unwrap_or(0);
    (u64::BITS - greatest.leading_zeros()).saturating_sub(ONE_BYTE_BITS)
}

/// Decodes a report.
///
/// # Errors
///
/// Fails if the backend's address is malformed.
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
    let unshift = |count: u64| count.checked_shl(report.choices_shift).unwrap_or(0);
    let choices = report.choices.into_iter().map(unshift).collect();
    Ok(Report { state, choices, experts, backend })
}

/// Encodes an order. A map is encoded as its difference to `base`, if present.
pub fn encode_order(group: &str, order: &Order, base: Option<&VersionedMap>) -> Command {
    let action = match &order.action {
        Action::Prepare { version, map } => {
            command::Action::Prepare(encode_map(*version, map, base))
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

fn encode_map(version: u64, map: &ExpertMap, base: Option<&VersionedMap>) -> Prepare {
    let Some((base_version, base)) = base else {
        let rank = |experts: &Vec<u32>| Experts { experts: experts.clone() };
        let set = |set: &Vec<Vec<u32>>| ExpertSet { ranks: set.iter().map(rank).collect() };
        let sets = map.iter().map(set).collect();
        return Prepare { version, sets, ..Prepare::default() };
    };
    let mut changes = Vec::new();
    for (index, (new, old)) in map.iter().zip(base.iter()).enumerate() {
        let pairs = new.iter().zip(old).enumerate();
        let changed = pairs.filter(|(_, (new, old))| new != old).map(|(rank, (new, _))| {
            RankChange { set: index as u32, rank: rank as u32, experts: new.clone() }
        });
        changes.extend(changed);
    }
    Prepare { version, base_version: *base_version, changes, ..Prepare::default() }
}

/// Decodes a map. Returns `None` if the map is encoded as the difference to a map other than
/// `base`.
fn decode_map(prepare: Prepare, base: Option<&VersionedMap>) -> Option<ExpertMap> {
    if !prepare.sets.is_empty() {
        let set = |set: ExpertSet| set.ranks.into_iter().map(|rank| rank.experts).collect();
        return Some(prepare.sets.into_iter().map(set).collect());
    }
    let (version, base) = base?;
    let mut map = (*version == prepare.base_version).then(|| base.as_ref().clone())?;
    for RankChange { set, rank, experts } in prepare.changes {
        *map.get_mut(set as usize)?.get_mut(rank as usize)? = experts;
    }
    Some(map)
}

/// Decodes an order. Returns `None` if the action is missing, or if a map is encoded as the
/// difference to a map other than `base`.
pub fn decode_order(command: Command, base: Option<&VersionedMap>) -> Option<Order> {
    let action = match command.action? {
        command::Action::Prepare(prepare) => {
            let version = prepare.version;
            Action::Prepare { version, map: Arc::new(decode_map(prepare, base)?) }
        }
        command::Action::Arm(Arming { version, step }) => Action::Arm { version, step },
        command::Action::HoldStep(step) => Action::Hold { step },
        command::Action::GoStep(step) => Action::Go { step },
        command::Action::DisarmVersion(version) => Action::Disarm { version },
    };
    let (fence, epoch) = (command.fence, command.epoch);
    Some(Order { fence, epoch, expected_orders: Some(command.expected_orders), action })
}
