//! Encoding of rank reports and orders as messages between agents.

use std::net::{AddrParseError, SocketAddr};
use std::sync::Arc;

use currantlink_core::fanout::{self, LinkRate};
use currantlink_core::map_shape::MapShape;
use currantlink_core::switch::{Action, ExpertMap, Order, RankState};
use currantlink_wire::peers::{
    Arming, Command, ExpertSet, Experts, Prepare, RankChange, RankReport, Receiver, command,
};
use prost::Message;

use crate::group_leader::Report;
use crate::known_maps::{KnownMaps, VersionedMap};

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
        has_map_in_use: report.has_map_in_use,
        pace: report.pace as f32,
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
    let (has_map_in_use, pace) = (report.has_map_in_use, f64::from(report.pace));
    Ok(Report { state, choices, experts, backend, has_map_in_use, pace })
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
        receivers: Vec::new(),
    }
}

/// Encodes a map as its difference to `base`. Without a base it is encoded as its difference to the map
/// of a new group or completely, whichever is shorter.
fn encode_map(version: u64, map: &ExpertMap, base: Option<&VersionedMap>) -> Prepare {
    if let Some((base_version, base)) = base {
        let changes = changes(map, base);
        return Prepare { version, base_version: *base_version, changes, ..Prepare::default() };
    }
    let rank = |experts: &Vec<u32>| Experts { experts: experts.clone() };
    let set = |set: &Vec<Vec<u32>>| ExpertSet { ranks: set.iter().map(rank).collect() };
    let complete = Prepare { version, sets: map.iter().map(set).collect(), ..Prepare::default() };
    let shape = MapShape::of(map);
    let Some(new_group) = shape.assign_in_turn() else {
        return complete;
    };
    let in_turn = Some(shape.into());
    let changes = changes(map, &new_group);
    let difference = Prepare { version, changes, in_turn, ..Prepare::default() };
    if difference.encoded_len() < complete.encoded_len() { difference } else { complete }
}

/// Returns the experts of each rank that differ between two maps of the same shape.
fn changes(map: &ExpertMap, base: &ExpertMap) -> Vec<RankChange> {
    let mut changes = Vec::new();
    for (index, (new, old)) in map.iter().zip(base.iter()).enumerate() {
        let pairs = new.iter().zip(old).enumerate();
        let changed = pairs.filter(|(_, (new, old))| new != old).map(|(rank, (new, _))| {
            RankChange { set: index as u32, rank: rank as u32, experts: new.clone() }
        });
        changes.extend(changed);
    }
    changes
}

/// Encodes the orders of several agents to prepare the same map, with the agent that each message is
/// sent to. Where it is faster, an agent passes the order on to others.
pub fn encode_map_orders(
    group: &str,
    orders: &[(SocketAddr, Order)],
    base: Option<&VersionedMap>,
    link_rate: Option<LinkRate>,
) -> Vec<(SocketAddr, Command)> {
    let Some((_, first)) = orders.first() else {
        return Vec::new();
    };
    let command = encode_order(group, first, base);
    let is_relayed =
        link_rate.is_some_and(|rate| rate.is_relaying_faster(orders.len(), command.encoded_len()));
    match is_relayed {
        true => fanout::branches(orders).map(|branch| address_branch(&command, branch)).collect(),
        false => orders.chunks(1).map(|single| address_branch(&command, single)).collect(),
    }
}

/// Addresses an order to the first agent of a branch, which passes it on to the others.
fn address_branch(command: &Command, branch: &[(SocketAddr, Order)]) -> (SocketAddr, Command) {
    let expected_orders = |order: &Order| order.expected_orders.unwrap_or_default();
    let receiver = |(address, order): &(SocketAddr, Order)| Receiver {
        address: address.to_string(),
        expected_orders: expected_orders(order),
    };
    let (address, order) = &branch[0];
    let command = Command {
        expected_orders: expected_orders(order),
        receivers: branch[1..].iter().map(receiver).collect(),
        ..command.clone()
    };
    (*address, command)
}

/// Removes the receivers of an order and returns the order for each of them.
pub fn take_relayed(command: &mut Command) -> Vec<(SocketAddr, Command)> {
    let receivers = std::mem::take(&mut command.receivers);
    let relayed = receivers.into_iter().filter_map(|Receiver { address, expected_orders }| {
        let address = address.parse();
        let address = address
            .inspect_err(|error| log::warn!(error:% = error; "order has a malformed receiver"));
        Some((address.ok()?, Command { expected_orders, ..command.clone() }))
    });
    relayed.collect()
}

/// Decodes a map. Returns `None` if the map is encoded as the difference to an unknown or invalid map.
fn decode_map(prepare: Prepare, known_maps: &KnownMaps) -> Option<ExpertMap> {
    if !prepare.sets.is_empty() {
        let set = |set: ExpertSet| set.ranks.into_iter().map(|rank| rank.experts).collect();
        return Some(prepare.sets.into_iter().map(set).collect());
    }
    let mut map = match prepare.in_turn {
        Some(shape) => MapShape::from(shape).assign_in_turn()?,
        None => known_maps.get(prepare.base_version)?.1.as_ref().clone(),
    };
    for RankChange { set, rank, experts } in prepare.changes {
        *map.get_mut(set as usize)?.get_mut(rank as usize)? = experts;
    }
    Some(map)
}

/// Decodes an order. Returns `None` if the action is missing, or if a map is encoded as the
/// difference to an unknown map.
pub fn decode_order(command: Command, known_maps: &KnownMaps) -> Option<Order> {
    let action = match command.action? {
        command::Action::Prepare(prepare) => {
            let version = prepare.version;
            Action::Prepare { version, map: Arc::new(decode_map(prepare, known_maps)?) }
        }
        command::Action::Arm(Arming { version, step }) => Action::Arm { version, step },
        command::Action::HoldStep(step) => Action::Hold { step },
        command::Action::GoStep(step) => Action::Go { step },
        command::Action::DisarmVersion(version) => Action::Disarm { version },
    };
    let (fence, epoch) = (command.fence, command.epoch);
    Some(Order { fence, epoch, expected_orders: Some(command.expected_orders), action })
}
