//! Datagrams between gateways and agents, each authenticated by a truncated HMAC.

use std::io;
use std::net::SocketAddr;

use currantlink_core::membership::{Greeting, Membership, Origin};
use currantlink_wire::peers::{Hello, Peer, PeerMessage, Role, peer_message};
use hmac::Mac;
use prost::Message;
use tokio::net::UdpSocket;

use crate::clock::now_ms;
use crate::key::LinkKey;

const TAG_BYTES: usize = 16;
/// Largest datagram over IPv4.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Time after the start by which all live peers have sent a hello message, including peers that
/// started at the same time.
const DISCOVERY_MS: u64 = 10_000;

/// The other processes of the deployment and the socket for datagrams to them.
pub struct Peers {
    socket: UdpSocket,
    membership: Membership,
    keys: Vec<LinkKey>,
    buffer: Vec<u8>,
}

impl Peers {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn bind(address: SocketAddr, own: Peer) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let buffer = vec![0; MAX_DATAGRAM_BYTES];
        Ok(Self { socket, membership: Membership::new(own), keys: Vec::new(), buffer })
    }

    /// Returns this process.
    pub fn own(&self) -> &Peer {
        self.membership.own()
    }

    /// Sets the key for sent datagrams. Datagrams with the previous key are still accepted.
    pub fn set_key(&mut self, key: LinkKey) {
        const ACCEPTED_KEYS: usize = 2;
        if self.keys.first() == Some(&key) {
            return;
        }
        log::info!("link key of the peers read");
        self.keys.insert(0, key);
        self.keys.truncate(ACCEPTED_KEYS);
    }

    /// Sets the group of this agent's rank.
    pub fn set_own_group(&mut self, group: &str) {
        self.membership.set_own_group(now_ms(), group);
    }

    /// Adds or updates a peer that registered itself in the store.
    pub fn register_record(&mut self, peer: Peer) {
        self.register(peer, Origin::Store);
    }

    /// Adds or updates the sender of a hello message. Returns its address if this is the first hello
    /// message of its process.
    pub fn register_hello(&mut self, hello: &Hello) -> Option<SocketAddr> {
        let Hello { wants_response, receiver_incarnation, .. } = *hello;
        let origin = Origin::Hello { group: &hello.group, wants_response, receiver_incarnation };
        self.register(hello.peer.clone()?, origin)
    }

    fn register(&mut self, peer: Peer, origin: Origin<'_>) -> Option<SocketAddr> {
        let Ok(address) = peer.address.parse() else {
            log::warn!(peer = peer.name.as_str(); "peer has a malformed address");
            return None;
        };
        let (name, incarnation) = (peer.name.clone(), peer.incarnation);
        let registration = self.membership.register(now_ms(), peer, address, origin)?;
        if registration.is_new {
            log::info!(peer = name.as_str(), incarnation; "peer discovered");
        }
        registration.is_first_hello.then_some(address)
    }

    /// Returns the gateways that have sent a hello message recently.
    pub fn live_gateways(&self) -> impl Iterator<Item = (&Peer, SocketAddr)> {
        self.membership.alive(now_ms(), Role::Gateway)
    }

    /// Returns the agents that are, or may be, in the group of this agent's rank, alive or not.
    pub fn group_agents(&self) -> impl Iterator<Item = (&Peer, SocketAddr)> {
        self.membership.group_agents()
    }

    /// Returns the names of the gateways, including this process if it is one, in no order.
    ///
    /// Returns `None` before the key has been read from the store. Until all live peers have had
    /// time to send a hello message, all registered gateways count.
    pub fn gateway_names(&self) -> Option<Vec<String>> {
        self.keys.first()?;
        let own = Some(self.membership.own()).filter(|own| own.role() == Role::Gateway);
        let others: Vec<&Peer> = match now_ms() < DISCOVERY_MS {
            true => self.membership.registered(Role::Gateway).collect(),
            false => self.live_gateways().map(|(peer, _)| peer).collect(),
        };
        Some(own.into_iter().chain(others).map(|peer| peer.name.clone()).collect())
    }

    /// Makes hello messages to all gateways due.
    pub fn greet_gateways(&mut self) {
        self.membership.greet_gateways(now_ms());
    }

    /// Sends the hello messages that are due. Only gateways are sent the whole content of `hello`, and
    /// agents the evacuations.
    pub async fn send_hello(&mut self, hello: impl FnOnce() -> Hello) {
        if self.keys.is_empty() {
            return;
        }
        let greetings = self.membership.take_greetings(now_ms());
        if greetings.is_empty() {
            return;
        }
        let content = hello();
        for Greeting { address, role, receiver_incarnation, wants_response } in greetings {
            let content = match role {
                Role::Gateway => content.clone(),
                _ => Hello { evacuations: content.evacuations.clone(), ..Hello::default() },
            };
            let peer = Some(self.membership.own().clone());
            let group = self.membership.own_group().to_owned();
            let hello = Hello { peer, group, wants_response, receiver_incarnation, ..content };
            let datagram = self.seal(peer_message::Body::Hello(hello));
            self.send_sealed(address, &datagram).await;
        }
    }

    /// Sends one message to several peers.
    pub async fn send_all(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
        body: peer_message::Body,
    ) {
        let datagram = self.seal(body);
        for address in addresses {
            self.send_sealed(address, &datagram).await;
        }
    }

    /// Waits for the next authenticated message; returns it with the address of its sender.
    ///
    /// # Errors
    ///
    /// Fails if the socket fails.
    pub async fn receive(&mut self) -> io::Result<(SocketAddr, PeerMessage)> {
        loop {
            let (len, from) = self.socket.recv_from(&mut self.buffer).await?;
            match self.open(&self.buffer[..len]) {
                Some(message) => return Ok((from, message)),
                None => metrics::counter!("currantlink_datagrams_refused_total").increment(1),
            }
        }
    }

    fn seal(&self, body: peer_message::Body) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        let incarnation = self.membership.own().incarnation;
        let message = PeerMessage { incarnation, body: Some(body) };
        let payload = message.encode_to_vec();
        let mut datagram = compute_tag(key, &payload).to_vec();
        datagram.extend_from_slice(&payload);
        Some(datagram)
    }

    async fn send_sealed(&self, address: SocketAddr, datagram: &Option<Vec<u8>>) {
        let Some(datagram) = datagram else {
            return;
        };
        if let Err(error) = self.socket.send_to(datagram, address).await {
            log::debug!(peer:% = address, error:% = error; "failed to send a datagram");
        }
    }

    fn open(&self, datagram: &[u8]) -> Option<PeerMessage> {
        let (received_tag, payload) = datagram.split_at_checked(TAG_BYTES)?;
        let is_authentic = self.keys.iter().any(|key| tag_matches(key, payload, received_tag));
        is_authentic.then(|| PeerMessage::decode(payload).ok()).flatten()
    }
}

fn compute_tag(key: &LinkKey, payload: &[u8]) -> [u8; TAG_BYTES] {
    let mac = key.mac(&[payload]).finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&mac[..TAG_BYTES]);
    tag
}

fn tag_matches(key: &LinkKey, payload: &[u8], received_tag: &[u8]) -> bool {
    key.mac(&[payload]).verify_truncated_left(received_tag).is_ok()
}
