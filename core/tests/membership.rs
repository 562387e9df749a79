//! Simulated deployments of gateways and agents: how many hello messages they send, and how soon each
//! knows the processes that it needs, with lost messages, herds of restarts and a partition.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use currantlink_core::membership::{EVICT_AFTER_MS, Greeting, Membership, Origin};
use currantlink_wire::peers::{Peer, Role};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TICK_MS: u64 = 100;
const START_SPREAD_MS: u64 = 300;
const RECORDS_INTERVAL_MS: u64 = 60_000;
const GROUP_SIZE: usize = 64;

struct Process {
    membership: Membership,
    group: String,
    sent: usize,
    is_running: bool,
    restarts_at_ms: Option<u64>,
    records_at_ms: u64,
    is_cut_off: bool,
}

struct Deployment {
    processes: Vec<Process>,
    /// Records in the store.
    records: Vec<Peer>,
    now_ms: u64,
    loss: f64,
    random: StdRng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16 + 1))
}

fn peer(index: usize, role: Role, incarnation: u64) -> Peer {
    let name = format!("p{index}");
    Peer {
        name,
        role: role.into(),
        incarnation,
        address: address(index).to_string(),
        ..Peer::default()
    }
}

impl Deployment {
    fn new(gateways: usize, agents: usize, loss: f64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let roles = (0..gateways + agents)
            .map(|index| if index < gateways { Role::Gateway } else { Role::Agent });
        let process = |(index, role): (usize, Role)| Process {
            membership: Membership::new(peer(index, role, 0)),
            group: match role {
                Role::Agent => format!("g{}", (index - gateways) / GROUP_SIZE),
                _ => String::new(),
            },
            sent: 0,
            is_running: false,
            restarts_at_ms: Some(random.random_range(0..START_SPREAD_MS)),
            records_at_ms: 0,
            is_cut_off: false,
        };
        let processes = roles.enumerate().map(process).collect();
        Self { processes, records: Vec::new(), now_ms: 0, loss, random }
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            (0..self.processes.len()).for_each(|index| self.step(index));
        }
    }

    fn step(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if self.processes[index].restarts_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.start(index);
        }
        let process = &mut self.processes[index];
        if !process.is_running {
            return;
        }
        if now_ms >= process.records_at_ms && !process.is_cut_off {
            process.records_at_ms = now_ms + RECORDS_INTERVAL_MS;
            for record in &self.records {
                let address = record.address.parse().unwrap();
                process.membership.register(now_ms, record.clone(), address, Origin::Store);
            }
        }
        let greetings = process.membership.take_greetings(now_ms);
        process.sent += greetings.len();
        let (own, group) = (process.membership.own().clone(), process.group.clone());
        for greeting in greetings {
            let receiver = usize::from(greeting.address.port()) - 1;
            let is_cut = self.processes[receiver].is_cut_off != self.processes[index].is_cut_off;
            if is_cut || !self.processes[receiver].is_running || self.random.random_bool(self.loss)
            {
                continue;
            }
            let Greeting { wants_response, receiver_incarnation, .. } = greeting;
            let origin = Origin::Hello { group: &group, wants_response, receiver_incarnation };
            let membership = &mut self.processes[receiver].membership;
            membership.register(now_ms, own.clone(), address(index), origin);
        }
    }

    /// Starts a process, which registers itself and then reads the records.
    fn start(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let own = process.membership.own();
        let own = Peer { incarnation: own.incarnation + 1, ..own.clone() };
        process.membership = Membership::new(own.clone());
        process.membership.set_own_group(self.now_ms, &process.group);
        process.is_running = true;
        (process.restarts_at_ms, process.records_at_ms) = (None, self.now_ms);
        self.records.retain(|record| record.name != own.name);
        self.records.push(own);
    }

    fn kill(&mut self, index: usize, down_ms: u64) {
        let at_ms = self.now_ms + down_ms + self.random.random_range(0..START_SPREAD_MS);
        let process = &mut self.processes[index];
        (process.is_running, process.restarts_at_ms) = (false, Some(at_ms));
    }

    /// Returns the pairs of running processes of which the first needs the second and does not know
    /// its present incarnation.
    fn unknown_pairs(&self) -> usize {
        let pairs = self.processes.iter().enumerate().flat_map(|(index, process)| {
            let others = self.processes.iter().enumerate().filter(move |(o, _)| *o != index);
            others.map(move |(_, other)| (process, other))
        });
        pairs.filter(|(process, other)| process.is_running && !self.knows(process, other)).count()
    }

    fn knows(&self, process: &Process, other: &Process) -> bool {
        let own = other.membership.own();
        let is_known = |peer: &Peer| peer.name == own.name && peer.incarnation == own.incarnation;
        match own.role() {
            _ if !other.is_running => true,
            Role::Gateway => {
                let mut alive = process.membership.alive(self.now_ms, Role::Gateway);
                alive.any(|(peer, _)| is_known(peer))
            }
            _ if process.group.is_empty() => {
                process.membership.registered(Role::Agent).any(is_known)
            }
            _ if process.group == other.group => {
                process.membership.group_agents().any(|(peer, _)| is_known(peer))
            }
            _ => true,
        }
    }

    /// Returns the hello messages per second of one process of each role, over `duration_ms`.
    fn rates(&mut self, duration_ms: u64) -> (f64, f64) {
        self.processes.iter_mut().for_each(|process| process.sent = 0);
        self.run(duration_ms);
        let rate = |role: Role| {
            let of_role = self.processes.iter().filter(|p| p.membership.own().role() == role);
            let sent: Vec<usize> = of_role.map(|process| process.sent).collect();
            sent.iter().sum::<usize>() as f64 / sent.len() as f64 * 1_000.0 / duration_ms as f64
        };
        (rate(Role::Gateway), rate(Role::Agent))
    }
}

#[test]
fn common_start() {
    for (gateways, agents) in [(6, 24), (16, 84), (44, 256)] {
        for seed in 0..3 {
            let mut deployment = Deployment::new(gateways, agents, 0.02, seed);
            deployment.run(4_000);
            assert_eq!(deployment.unknown_pairs(), 0, "{gateways} gateways, {agents} agents");
        }
    }
}

#[test]
fn bounded_rates() {
    for (gateways, agents) in [(6, 24), (16, 84), (44, 256)] {
        let mut deployment = Deployment::new(gateways, agents, 0.02, 1);
        deployment.run(5_000);
        let (gateway_rate, agent_rate) = deployment.rates(15_000);
        let (others, group) = (gateways as f64, agents.min(GROUP_SIZE) as f64);
        assert!(agent_rate <= (others + group) / 15.0 + 1.0, "{agents} agents: {agent_rate}");
        assert!(gateway_rate <= others * 2.0 + agents as f64 + 1.0, "{gateway_rate}");
    }
}

#[test]
fn restarted_herd() {
    for seed in 0..3 {
        let mut deployment = Deployment::new(34, 192, 0.02, seed);
        deployment.run(10_000);
        (0..226).for_each(|index| deployment.kill(index, 1_300));
        let (_, agent_rate) = deployment.rates(5_600);
        assert_eq!(deployment.unknown_pairs(), 0);
        // One message to each other process, one response, and repeats of lost ones.
        assert!(agent_rate * 5.6 < 3.0 * 226.0, "{agent_rate}");
    }
}

#[test]
fn lone_restart() {
    let mut deployment = Deployment::new(34, 192, 0.1, 4);
    deployment.run(10_000);
    deployment.kill(40, 500);
    let before: usize = deployment.processes.iter().map(|process| process.sent).sum();
    deployment.run(4_000);
    let after: usize = deployment.processes.iter().map(|process| process.sent).sum();
    assert_eq!(deployment.unknown_pairs(), 0);
    let calm = 4.0 * (34.0 * (2.0 * 33.0 + 192.0) + 192.0 * (34.0 + 63.0) / 15.0);
    assert!(((after - before) as f64) < calm * 1.2, "{}", after - before);
}

#[test]
fn long_partition() {
    let mut deployment = Deployment::new(6, 24, 0.02, 5);
    deployment.run(5_000);
    let cut = |deployment: &mut Deployment, is_cut: bool| {
        (0..3).for_each(|index| deployment.processes[index].is_cut_off = is_cut);
    };
    cut(&mut deployment, true);
    deployment.run(EVICT_AFTER_MS + 30_000);
    assert!(deployment.unknown_pairs() > 0);
    cut(&mut deployment, false);
    deployment.run(RECORDS_INTERVAL_MS + 2_000);
    assert_eq!(deployment.unknown_pairs(), 0);
}

#[test]
fn stopped_gateway() {
    let mut deployment = Deployment::new(6, 24, 0.02, 6);
    deployment.run(5_000);
    deployment.kill(0, u64::MAX / 2);
    deployment.run(2_000);
    let stopped = |process: &Process| {
        let mut alive = process.membership.alive(deployment.now_ms, Role::Gateway);
        alive.all(|(peer, _)| peer.name != "p0")
    };
    assert!(deployment.processes[1..6].iter().all(stopped));
}

#[test]
fn outdated_record() {
    let mut membership = Membership::new(peer(0, Role::Gateway, 1));
    let origin = Origin::Hello { group: "", wants_response: false, receiver_incarnation: 1 };
    membership.register(0, peer(1, Role::Gateway, 2), address(1), origin).unwrap();
    let older = peer(1, Role::Gateway, 1);
    let registration = membership.register(100, older, address(2), Origin::Store).unwrap();
    assert!(!registration.is_new);
    let alive: Vec<_> = membership.alive(100, Role::Gateway).collect();
    assert_eq!(alive, [(&peer(1, Role::Gateway, 2), address(1))]);
}

/// Guards against a record of another writer under the name of a process that has not been heard yet: the
/// hello message of the process counts.
#[test]
fn record_under_other_name() {
    for incarnation in [1, 2, 3] {
        for is_first in [false, true] {
            let mut membership = Membership::new(peer(0, Role::Gateway, 1));
            let own = (peer(1, Role::Agent, 2), address(1));
            let other = (peer(1, Role::Agent, incarnation), address(2));
            let records = if is_first { [other, own] } else { [own, other] };
            for (peer, address) in records {
                membership.register(0, peer, address, Origin::Store).unwrap();
            }
            let origin = Origin::Hello { group: "", wants_response: true, receiver_incarnation: 0 };
            membership.register(100, peer(1, Role::Agent, 2), address(1), origin).unwrap();
            let alive: Vec<_> = membership.alive(100, Role::Agent).map(|(_, at)| at).collect();
            assert_eq!(alive, [address(1)], "incarnation {incarnation}, first {is_first}");
        }
    }
}
