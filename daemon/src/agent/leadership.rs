//! The part of an agent that leads its group: claims, heartbeats, orders to the ranks, and direct
//! reads of ranks without an agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use currantlink_core::election::{Claimant, fencing_token};
use currantlink_core::fanout;
use currantlink_core::routes::{ExpertProfile, PoolKey};
use currantlink_core::switch::{Action, Order};
use currantlink_platform::engine::EngineState;
use currantlink_platform::names;
use currantlink_platform::store::StoreClient;
use currantlink_wire::peers::{Hello, Lead, Peer, peer_message};
use indexmap::IndexSet;

use super::{Agent, Event};
use crate::backend_reader;
use crate::clock::now_ms;
use crate::group_leader::{ChangePolicy, GroupLeader, OrderTarget, PaceTarget};
use crate::known_maps::VersionedMap;
use crate::orders;
use crate::rank_client::RankClient;

/// Interval between heartbeats of a leader.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Number of ranks whose agents know the figures of the engines before they claim leadership. They
/// claim before all others.
const FIRST_CLAIMANTS: u32 = 3;
/// Timeout of a claim in the store.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(800);

impl Agent {
    pub(super) async fn advance_change(&mut self) {
        let now = now_ms();
        let policy = self.change_policy();
        let Some(group_leader) = &mut self.group_leader else {
            return;
        };
        let orders = group_leader.advance(now, policy);
        let own_link = self.settings.common.link_address();
        let group = self.rank.as_ref().map(|rank| rank.group.clone()).unwrap_or_default();
        // Agents that are sent a map, by whether they know the map in use.
        let (mut informed, mut uninformed) = (Vec::new(), Vec::new());
        for (target, order) in orders {
            let is_map = matches!(order.action, Action::Prepare { .. });
            match target {
                OrderTarget::Backend(backend) => self.send_order(order, backend),
                OrderTarget::Agent { address, .. } if address == own_link => {
                    self.send_order(order, self.settings.backend_address);
                }
                OrderTarget::Agent { address, has_map_in_use: true } if is_map => {
                    informed.push((address, order));
                }
                OrderTarget::Agent { address, .. } if is_map => uninformed.push((address, order)),
                OrderTarget::Agent { address, .. } => {
                    let command = orders::encode_order(&group, &order, None);
                    self.peers.send_all([address], peer_message::Body::Command(command)).await;
                }
            }
        }
        let base = self.group_leader.as_ref().and_then(GroupLeader::map_in_use);
        self.send_maps(&group, &informed, base).await;
        self.send_maps(&group, &uninformed, None).await;
    }

    fn change_policy(&mut self) -> ChangePolicy {
        let is_evacuated = self.has_evacuated_rank();
        if std::mem::replace(&mut self.has_evacuated_rank, is_evacuated) != is_evacuated {
            log::info!(is_evacuated, evacuated_domains = self.evacuations.active().count();
                "map changes of the group are suspended or resumed");
        }
        match self.exit_at_ms {
            Some(_) => ChangePolicy::Abandon,
            None if is_evacuated => ChangePolicy::Complete,
            None => ChangePolicy::Start,
        }
    }

    /// Returns whether a rank of the group that this agent leads is in an evacuated failure domain.
    fn has_evacuated_rank(&self) -> bool {
        let Some(group_leader) = &self.group_leader else {
            return false;
        };
        if self.evacuations.active().next().is_none() {
            return false;
        }
        let is_rank = |peer: &Peer| {
            peer.backend_address.parse().is_ok_and(|backend| group_leader.has_backend(backend))
        };
        let mut agents = self.peers.group_agents().map(|(peer, _)| peer);
        self.evacuations.is_active(&self.peers.own().failure_domain)
            || agents.any(|p| self.evacuations.is_active(&p.failure_domain) && is_rank(p))
    }

    /// Sends a map to agents, encoded as the difference to `base` if present.
    async fn send_maps(
        &self,
        group: &str,
        orders: &[(SocketAddr, Order)],
        base: Option<&VersionedMap>,
    ) {
        let link_rate = self.settings.common.link_rate();
        for (address, command) in orders::encode_map_orders(group, orders, base, link_rate) {
            self.peers.send_all([address], peer_message::Body::Command(command)).await;
        }
    }

    /// Sends a heartbeat to the agents of the group, which names the collector of each.
    async fn send_heartbeat(&self, group: &str, group_leader: &GroupLeader) {
        let own_link = self.settings.common.link_address();
        let lead = |collector_address: String| {
            let (group, fence) = (group.to_owned(), group_leader.fence());
            peer_message::Body::Lead(Lead { group, fence, collector_address })
        };
        let mut reporting = group_leader.reporting_agents(now_ms());
        reporting.retain(|&address| address != own_link);
        let needs_collectors = self.settings.common.link_rate().is_some_and(|rate| {
            rate.needs_collectors(
                reporting.len(),
                group_leader.counts_bytes(),
                backend_reader::COUNTS_INTERVAL_MS,
            )
        });
        let mut collected = IndexSet::new();
        if needs_collectors {
            for branch in fanout::branches(&reporting) {
                let body = lead(branch[0].to_string());
                self.peers.send_all(branch[1..].iter().copied(), body).await;
                collected.extend(branch[1..].iter().copied());
            }
        }
        let agents = self.peers.group_agents().map(|(_, address)| address);
        let others: Vec<SocketAddr> =
            agents.filter(|address| !collected.contains(address)).collect();
        self.peers.send_all(others, lead(String::new())).await;
    }

    pub(super) async fn tick(&mut self) {
        self.peers.send_hello(Hello::default).await;
        let now = now_ms();
        for domain in self.evacuations.forget_unconfirmed(now) {
            log::info!(failure_domain = domain.as_str(); "evacuation is no longer announced");
        }
        let Some(rank) = self.rank.clone() else {
            return;
        };
        if self.group_leader.as_ref().is_some_and(GroupLeader::is_exhausted) {
            log::info!("leadership is claimed again: no versions of maps are left");
            self.group_leader = None;
        }
        if let Some(group_leader) = &mut self.group_leader {
            let mut backends_to_read = group_leader.take_due_reads(now);
            if group_leader.take_discovery_due(now) {
                let backends = self.peers.group_agents().map(|(peer, _)| &peer.backend_address);
                let backends = backends.filter_map(|backend| backend.parse().ok());
                backends_to_read
                    .extend(backends.filter(|&backend| !group_leader.has_backend(backend)));
            }
            for backend in backends_to_read {
                self.read_remote_rank(backend, rank.group.clone());
            }
            if now >= self.heartbeat_sent_ms + HEARTBEAT_INTERVAL_MS {
                self.heartbeat_sent_ms = now;
                if let Some(group_leader) = &self.group_leader {
                    self.send_heartbeat(&rank.group, group_leader).await;
                }
            }
            self.advance_change().await;
            return;
        }
        let claimant = Claimant {
            rank: rank.rank,
            draw: self.claim_draw,
            silent_since_ms: self.leader.map_or(self.rank_known_ms, |leader| leader.heartbeat_ms),
            claimed_ms: self.claimed_ms,
        };
        self.figures_needed.send_if_modified(|needed| {
            let is_needed = rank.rank < FIRST_CLAIMANTS || claimant.is_waiting_over(now);
            std::mem::replace(needed, is_needed) != is_needed
        });
        if claimant.is_claim_due(now) && self.expert_profile().is_some() {
            self.claimed_ms = Some(now);
            self.claim_leadership(rank.group);
        }
    }

    fn read_remote_rank(&self, backend: SocketAddr, group: String) {
        let events = self.events.clone();
        tokio::spawn(async move {
            match RankClient::new(backend).state().await {
                Ok(EngineState { rank: Some(rank), .. }) if rank.group == group => {
                    // The receiver is dropped only when the process exits.
                    let _ = events.send(Event::RemoteState(backend, rank));
                }
                Ok(_) => {}
                Err(error) => log::info!(backend:% = backend, error:% = error;
                    "failed to read the state of a rank"),
            }
        });
    }

    pub(super) fn read_remote_experts(&self, backend: SocketAddr, rank: u32) {
        let events = self.events.clone();
        tokio::spawn(async move {
            match RankClient::new(backend).experts().await {
                // The receiver is dropped only when the process exits.
                Ok(held) => drop(events.send(Event::RemoteExperts { rank, held })),
                Err(error) => log::info!(backend:% = backend, error:% = error;
                    "failed to read the experts of a rank"),
            }
        });
    }

    fn claim_leadership(&self, group: String) {
        let mut store = StoreClient::new(self.settings.common.store_address);
        let events = self.events.clone();
        tokio::spawn(async move {
            let record = Bytes::from(group.clone().into_bytes());
            let claim = store.append(names::LEADERS_TOPIC, None, &[record], CLAIM_TIMEOUT).await;
            match claim {
                Ok(Some(claim)) => match fencing_token(claim) {
                    // The receiver is dropped only when the process exits.
                    Ok(fence) => drop(events.send(Event::Claimed { fence, group })),
                    Err(error) => log::error!(error:% = error; "failed to claim leadership"),
                },
                Ok(None) => log::warn!("claim of leadership dropped: unknown era of the store"),
                Err(error) => log::info!(error:% = error; "failed to claim leadership"),
            }
        });
    }

    pub(super) fn become_leader(&mut self, fence: u64, group: &str) {
        let has_newer_leader = self.leader.is_some_and(|leader| leader.fence > fence);
        let (Some(rank), Some((profile, pace))) = (self.rank.clone(), self.expert_profile()) else {
            return;
        };
        if has_newer_leader || rank.group != group {
            return;
        }
        log::info!(fence, group; "elected leader of the group");
        let (size, own_rank) = (rank.size as usize, rank.rank as usize);
        let group_leader = GroupLeader::new(now_ms(), fence, size, own_rank, profile, pace);
        let group_leader = self.group_leader.insert(group_leader);
        if let Some(map) = self.known_maps.get(rank.map_version) {
            group_leader.set_known_map(map.clone());
        }
        self.leader = None;
        self.collector = None;
        self.heartbeat_sent_ms = 0;
    }

    /// Returns the expert profile and the pace target of the first service whose engines use expert
    /// maps.
    fn expert_profile(&self) -> Option<(ExpertProfile, PaceTarget)> {
        let table = self.table.as_ref()?;
        table.pools().iter().zip(0..).find_map(|(pool, index)| {
            let engine = pool.engine.clone()?;
            let pause_target_ms = table.pause_target_ms(PoolKey(index));
            Some((engine.experts?, PaceTarget { engine, pause_target_ms }))
        })
    }
}
