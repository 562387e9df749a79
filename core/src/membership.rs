//! Which processes a gateway or an agent knows, and when it sends a hello message to each of them.
//!
//! Gateways need to know soon which gateways are alive, and agents which gateways are. Agents need the
//! addresses of their group's agents. No process needs more, so the messages of an agent grow with its
//! group and the number of gateways, not with the size of the deployment. A process that is discovered
//! is sent one hello message, which is repeated at growing intervals until it responds.

use std::net::SocketAddr;

use currantlink_wire::peers::{Peer, Role};
use indexmap::IndexMap;

/// Interval between hello messages from gateway to gateway.
const GATEWAY_INTERVAL_MS: u64 = 500;
/// Interval between hello messages from a gateway to an agent, which sends its load to live gateways.
const AGENT_INTERVAL_MS: u64 = 1_000;
/// Interval between hello messages from an agent, which only keep it from being removed.
const KEEP_INTERVAL_MS: u64 = 15_000;
/// First interval between hello messages to a process that has not responded yet; it doubles.
const FIRST_RETRY_MS: u64 = 500;
/// Number of intervals without a hello message after which a process counts as stopped. It allows for
/// several lost messages.
const TIMEOUT_INTERVALS: u64 = 4;
/// Time without a hello message after which a process is removed. Hello messages are sent to it until
/// then, since it may return.
pub const EVICT_AFTER_MS: u64 = 60_000;

/// How a process became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// From its record in the store, which may be out of date.
    Store,
    /// From its hello message, which shows that it is alive.
    Hello {
        /// Group of its rank; empty if unknown.
        group: &'a str,
        /// Whether it waits for a response.
        wants_response: bool,
        /// Incarnation of this process as the sender knows it.
        receiver_incarnation: u64,
    },
}

/// Result of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Whether the process was unknown or had another incarnation.
    pub is_new: bool,
    /// Whether this is the first hello message of the process.
    pub is_first_hello: bool,
}

/// A hello message to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Greeting {
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Role of the receiver.
    pub role: Role,
    /// Incarnation of the receiver.
    pub receiver_incarnation: u64,
    /// Whether nothing shows yet that the receiver knows this process.
    pub wants_response: bool,
}

#[derive(Clone, Debug)]
struct Member {
    peer: Peer,
    address: SocketAddr,
    group: String,
    heard_ms: Option<u64>,
    knows_own: bool,
    known_since_ms: u64,
    greet_at_ms: u64,
    retry_ms: u64,
}

impl Member {
    /// Creates a process that has not been heard and is greeted at once.
    fn new(now_ms: u64, peer: Peer, address: SocketAddr) -> Self {
        Self {
            peer,
            address,
            group: String::new(),
            heard_ms: None,
            knows_own: false,
            known_since_ms: now_ms,
            greet_at_ms: now_ms,
            retry_ms: FIRST_RETRY_MS,
        }
    }
}

/// The other processes of the deployment as one process knows them.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Peer,
    own_group: String,
    members: IndexMap<String, Member>,
}

impl Membership {
    /// Creates the membership of a process that knows no others.
    pub fn new(own: Peer) -> Self {
        Self { own, own_group: String::new(), members: IndexMap::new() }
    }

    /// Returns this process.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Returns the group of this process's rank; empty if unknown.
    pub fn own_group(&self) -> &str {
        &self.own_group
    }

    /// Sets the group of this process's rank, of which all agents are told.
    pub fn set_own_group(&mut self, now_ms: u64, group: &str) {
        if self.own_group == group {
            return;
        }
        group.clone_into(&mut self.own_group);
        let agents = self.members.values_mut().filter(|m| m.peer.role() == Role::Agent);
        agents.for_each(|member| member.greet_at_ms = now_ms);
    }

    /// Adds or updates a process. Returns `None` for this process itself.
    ///
    /// A record does not replace a process that has been heard: it may be older, and the process of a newer
    /// one sends a hello message itself.
    pub fn register(
        &mut self,
        now_ms: u64,
        peer: Peer,
        address: SocketAddr,
        origin: Origin<'_>,
    ) -> Option<Registration> {
        if peer.name == self.own.name {
            return None;
        }
        let is_hello = origin != Origin::Store;
        let is_superseded = |known: &Member| {
            let is_same = known.peer.incarnation == peer.incarnation && known.address == address;
            !is_same && (is_hello || known.heard_ms.is_none())
        };
        let is_new = self.members.get(&peer.name).is_none_or(is_superseded);
        let name = peer.name.clone();
        if is_new {
            self.members.insert(name.clone(), Member::new(now_ms, peer, address));
        }
        let member = &mut self.members[&name];
        let is_first_hello = is_hello && member.heard_ms.is_none();
        if let Origin::Hello { group, wants_response, receiver_incarnation } = origin {
            member.heard_ms = Some(now_ms);
            member.knows_own |= receiver_incarnation == self.own.incarnation;
            group.clone_into(&mut member.group);
            if wants_response {
                member.greet_at_ms = now_ms;
            }
        }
        Some(Registration { is_new, is_first_hello })
    }

    /// Makes hello messages to all gateways due.
    pub fn greet_gateways(&mut self, now_ms: u64) {
        let gateways = self.members.values_mut().filter(|m| m.peer.role() == Role::Gateway);
        gateways.for_each(|member| member.greet_at_ms = now_ms);
    }

    /// Returns the processes of a role that have sent a hello message recently.
    pub fn alive(&self, now_ms: u64, role: Role) -> impl Iterator<Item = (&Peer, SocketAddr)> {
        let timeout_ms = TIMEOUT_INTERVALS * interval_ms(role, self.own.role());
        let alive = move |member: &&Member| {
            member.peer.role() == role
                && member.heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + timeout_ms)
        };
        self.members.values().filter(alive).map(|member| (&member.peer, member.address))
    }

    /// Returns all known processes of a role, alive or not.
    pub fn registered(&self, role: Role) -> impl Iterator<Item = &Peer> {
        self.members.values().map(|member| &member.peer).filter(move |peer| peer.role() == role)
    }

    /// Returns the agents that are known to be, or may be, in the group of this process's rank.
    pub fn group_agents(&self) -> impl Iterator<Item = (&Peer, SocketAddr)> {
        let agents = self.members.values().filter(|member| {
            member.peer.role() == Role::Agent && is_same_group(&self.own_group, &member.group)
        });
        agents.map(|member| (&member.peer, member.address))
    }

    /// Removes processes that have been silent for long. Returns the hello messages that are due, and
    /// records that they are sent.
    pub fn take_greetings(&mut self, now_ms: u64) -> Vec<Greeting> {
        self.members.retain(|_, member| {
            now_ms < member.heard_ms.unwrap_or(member.known_since_ms) + EVICT_AFTER_MS
        });
        let (own_role, own_group) = (self.own.role(), &self.own_group);
        let due = self.members.values_mut().filter(|member| now_ms >= member.greet_at_ms);
        let greetings = due.map(|member| {
            let (role, wants_response) = (member.peer.role(), !member.knows_own);
            let interval_ms = interval_ms(own_role, role);
            let is_needed = own_role == Role::Gateway
                || role == Role::Gateway
                || is_same_group(own_group, &member.group);
            member.greet_at_ms = match (wants_response, is_needed) {
                (true, _) => now_ms + member.retry_ms.min(interval_ms),
                (false, true) => now_ms + interval_ms,
                (false, false) => u64::MAX,
            };
            member.retry_ms = (member.retry_ms * 2).min(KEEP_INTERVAL_MS);
            let (address, receiver_incarnation) = (member.address, member.peer.incarnation);
            Greeting { address, role, receiver_incarnation, wants_response }
        });
        greetings.collect()
    }
}

/// Returns the interval between hello messages from a process of one role to one of another.
fn interval_ms(from: Role, to: Role) -> u64 {
    match (from, to) {
        (Role::Gateway, Role::Gateway) => GATEWAY_INTERVAL_MS,
        (Role::Gateway, _) => AGENT_INTERVAL_MS,
        _ => KEEP_INTERVAL_MS,
    }
}

/// Returns whether two groups may be the same: an empty name is an unknown group.
fn is_same_group(own: &str, other: &str) -> bool {
    own.is_empty() || other.is_empty() || own == other
}
