//! One account of the memory and descriptors that callers' connections make a process hold.
//!
//! A connection reserves from the budget before its bytes are read. If a reservation does not fit,
//! connections whose peers have stood still give way, the one that has stood still longest first.

use indexmap::IndexMap;

const BYTES_PER_MB: usize = 1 << 20;
/// Memory that the process needs without callers: a gateway is at 10 to 25 MB at rest, and may use 32 MB
/// for control.
const BASE_BYTES: usize = 32 << 20;
/// Lowest budget, for settings that leave less than the base: a gateway must serve requests.
const MIN_BUDGET_BYTES: usize = 8 << 20;
/// Quarters of the memory beyond the base that are reserved at most. The allocator holds more than is
/// in use, by fragments and while a growing buffer is moved.
const BUDGET_QUARTERS: usize = 3;
/// Part of the budget that request bodies may take, so that the responses of requests in flight find
/// room and free the bodies.
const BODY_DIVISOR: usize = 2;
/// Part of the budget that only small holders may use.
const RESERVE_DIVISOR: usize = 8;
/// Part of the budget that the fixed figures of all connections may take.
const CONNECTION_DIVISOR: usize = 2;
/// Largest total of a small holder. An ordinary request without an upload is far below.
pub const SMALL_BYTES: usize = 64 << 10;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors for the store, peers, listeners and pages.
const CONTROL_DESCRIPTORS: usize = 64;
/// Eighths of the remaining descriptors for callers' connections. Each may need a connection to a
/// backend, and the last quarter is for idle connections to backends.
const CALLER_EIGHTHS: usize = 3;
/// Time in which a peer must progress by [`PROGRESS_BYTES`], or it has stood still. A lost segment is
/// sent again after 200 ms.
pub const STANDSTILL_MS: u64 = 250;
/// Progress that counts within [`STANDSTILL_MS`]: a minimum rate of 64 KB/s while memory is short.
pub const PROGRESS_BYTES: u64 = 16 << 10;
/// Part of the body share above which the unfinished bodies of one client give way before others.
const CLIENT_DIVISOR: usize = 4;

/// Limits of a process. `None` is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetLimits {
    memory_bytes: Option<usize>,
    callers: Option<usize>,
    idle_backends: Option<usize>,
}

impl BudgetLimits {
    /// Derives the limits from the memory and the descriptors of a process; 0 is unlimited.
    pub fn new(memory_mb: u64, max_fds: u64) -> Self {
        let memory_mb = usize::try_from(memory_mb).unwrap_or(usize::MAX);
        let memory_bytes = (memory_mb > 0).then(|| {
            let free = memory_mb.saturating_mul(BYTES_PER_MB).saturating_sub(BASE_BYTES);
            (free / 4 * BUDGET_QUARTERS).max(MIN_BUDGET_BYTES)
        });
        let sockets = (max_fds > 0).then(|| {
            let max_fds = usize::try_from(max_fds).unwrap_or(usize::MAX);
            max_fds.saturating_sub(FILE_DESCRIPTORS + CONTROL_DESCRIPTORS)
        });
        Self {
            memory_bytes,
            callers: sockets.map(|sockets| (sockets / 8 * CALLER_EIGHTHS).max(1)),
            idle_backends: sockets.map(|sockets| sockets / 4),
        }
    }

    /// Returns the largest number of idle connections to backends.
    pub fn idle_backends(&self) -> Option<usize> {
        self.idle_backends
    }
}

/// What a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The body of a request.
    Body,
    /// The body of a response.
    Response,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The caller sends a head, or nothing.
    Idle,
    /// The caller sends the body of a request.
    Receiving,
    /// The gateway works on the request. Such a connection does not give way.
    Working,
    /// The caller does not read a response as fast as it is sent.
    Sending,
}

/// Key of a connection in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionKey(u64);

#[derive(Debug)]
struct Connection {
    /// Hash of the caller's address, or of its workspace once known.
    client: u64,
    fixed_bytes: usize,
    body_bytes: usize,
    response_bytes: usize,
    phase: Phase,
    /// Time of the last progress, and the bytes since.
    progress_at_ms: u64,
    progress_bytes: u64,
    gives_way: bool,
}

impl Connection {
    fn held_bytes(&self) -> usize {
        self.fixed_bytes + self.body_bytes + self.response_bytes
    }

    fn stands_still(&self, now_ms: u64) -> bool {
        self.phase != Phase::Working && now_ms >= self.progress_at_ms + STANDSTILL_MS
    }
}

/// What a waiting holder needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A connection.
    Connection,
    /// Memory for a connection: so many bytes more.
    Memory(ConnectionKey, Purpose, usize),
}

/// The account of all connections of callers.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    limits: BudgetLimits,
    connections: IndexMap<ConnectionKey, Connection>,
    next_key: u64,
    fixed_bytes: usize,
    body_bytes: usize,
    response_bytes: usize,
}

impl MemoryBudget {
    /// Replaces the limits. What is reserved already stays reserved.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Returns the limits.
    pub fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Returns the bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.fixed_bytes + self.body_bytes + self.response_bytes
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether one more connection with buffers of `fixed_bytes` fits.
    pub fn has_room(&self, fixed_bytes: usize) -> bool {
        let fixed = self.fixed_bytes + fixed_bytes;
        let fits = |bytes| fixed <= bytes / CONNECTION_DIVISOR && self.used_bytes() < bytes;
        self.limits.callers.is_none_or(|callers| self.connections.len() < callers)
            && (self.connections.is_empty() || self.limits.memory_bytes.is_none_or(fits))
    }

    /// Opens a connection whose buffers take up to `fixed_bytes`.
    pub fn open(&mut self, client: u64, fixed_bytes: usize, now_ms: u64) -> ConnectionKey {
        let key = ConnectionKey(self.next_key);
        self.next_key += 1;
        self.fixed_bytes += fixed_bytes;
        let connection = Connection {
            client,
            fixed_bytes,
            body_bytes: 0,
            response_bytes: 0,
            phase: Phase::Idle,
            progress_at_ms: now_ms,
            progress_bytes: 0,
            gives_way: false,
        };
        self.connections.insert(key, connection);
        key
    }

    /// Closes a connection. Its reservations are released one by one.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.swap_remove(&key) {
            self.fixed_bytes -= connection.fixed_bytes;
        }
    }

    /// Assigns the connection to another client, such as its workspace once that is known.
    pub fn set_client(&mut self, key: ConnectionKey, client: u64) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.client = client;
        }
    }

    /// Records what a connection waits for now. A change of the phase counts as progress, also of a
    /// connection that was chosen to give way: its holder decides whether it is closed.
    pub fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&key)
            && connection.phase != phase
        {
            connection.phase = phase;
            connection.gives_way = false;
            connection.progress_at_ms = now_ms;
            connection.progress_bytes = 0;
        }
    }

    /// Records bytes that a peer has sent or taken.
    pub fn record_bytes(&mut self, key: ConnectionKey, bytes: usize, now_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.progress_bytes += bytes as u64;
            if connection.progress_bytes >= PROGRESS_BYTES {
                connection.progress_bytes = 0;
                connection.progress_at_ms = now_ms;
            }
        }
    }

    /// Reserves `bytes` more for a connection, or returns false if they do not fit.
    pub fn try_reserve(&mut self, key: ConnectionKey, purpose: Purpose, bytes: usize) -> bool {
        let fits = self.excess_bytes(key, purpose, bytes) == 0;
        if fits {
            self.reserve(key, purpose, bytes);
        }
        fits
    }

    /// Reserves `bytes` more for a connection even if they do not fit: they are in memory already.
    pub fn reserve(&mut self, key: ConnectionKey, purpose: Purpose, bytes: usize) {
        let connection = self.connections.get_mut(&key);
        match purpose {
            Purpose::Body => {
                self.body_bytes += bytes;
                connection.into_iter().for_each(|connection| connection.body_bytes += bytes);
            }
            Purpose::Response => {
                self.response_bytes += bytes;
                connection.into_iter().for_each(|connection| connection.response_bytes += bytes);
            }
        }
    }

    /// Releases a reservation.
    pub fn release(&mut self, key: ConnectionKey, purpose: Purpose, bytes: usize) {
        let connection = self.connections.get_mut(&key);
        match purpose {
            Purpose::Body => {
                self.body_bytes -= bytes;
                connection.into_iter().for_each(|connection| connection.body_bytes -= bytes);
            }
            Purpose::Response => {
                self.response_bytes -= bytes;
                connection.into_iter().for_each(|connection| connection.response_bytes -= bytes);
            }
        }
    }

    /// Returns by how many bytes a reservation exceeds the budget.
    fn excess_bytes(&self, key: ConnectionKey, purpose: Purpose, bytes: usize) -> usize {
        let Some(limit) = self.limits.memory_bytes else {
            return 0;
        };
        let held = self.connections.get(&key).map_or(0, |c| c.body_bytes + c.response_bytes);
        let is_small = held.saturating_add(bytes) <= SMALL_BYTES;
        let total = self.used_bytes().saturating_add(bytes);
        let bodies = self.body_bytes.saturating_add(bytes);
        match purpose {
            _ if is_small => total.saturating_sub(limit),
            Purpose::Body => bodies
                .saturating_sub(limit / BODY_DIVISOR)
                .max(total.saturating_sub(limit - limit / RESERVE_DIVISOR)),
            Purpose::Response => total.saturating_sub(limit - limit / RESERVE_DIVISOR),
        }
    }

    /// Returns the connections that give way so that `need` fits, and counts them as closing. A client
    /// that holds more than its part of the body share is first, then the longest standstill.
    pub fn give_way(&mut self, need: Need, now_ms: u64) -> Vec<ConnectionKey> {
        let mut excess = match need {
            Need::Connection => 1,
            Need::Memory(key, purpose, bytes) => self.excess_bytes(key, purpose, bytes),
        };
        let amount = |connection: &Connection| match need {
            Need::Connection => 1,
            Need::Memory(..) => connection.held_bytes(),
        };
        let closing = self.connections.values().filter(|connection| connection.gives_way);
        excess = excess.saturating_sub(closing.map(amount).sum());
        if excess == 0 {
            return Vec::new();
        }
        let mut unfinished = IndexMap::<u64, usize>::new();
        for connection in self.connections.values().filter(|c| c.phase == Phase::Receiving) {
            *unfinished.entry(connection.client).or_default() += connection.body_bytes;
        }
        let client_limit = self.limits.memory_bytes.unwrap_or(usize::MAX) / BODY_DIVISOR;
        let is_within = |connection: &Connection| {
            let bytes = unfinished.get(&connection.client).copied().unwrap_or(0);
            connection.phase != Phase::Receiving || bytes <= client_limit / CLIENT_DIVISOR
        };
        let still = self.connections.iter().filter(|(_, c)| !c.gives_way && c.stands_still(now_ms));
        // Connections without a request are the first where connections are short. They hold too little
        // to free memory.
        let mut still: Vec<_> = still
            .filter(|(_, c)| need == Need::Connection || c.phase != Phase::Idle)
            .map(|(&key, c)| {
                let is_idle = c.phase == Phase::Idle;
                (!is_idle, is_within(c), c.progress_at_ms, key)
            })
            .collect();
        still.sort_unstable_by_key(|&(is_busy, is_within, at_ms, key)| {
            (is_busy, is_within, at_ms, key.0)
        });
        let mut chosen = Vec::new();
        for (.., key) in still {
            if excess == 0 {
                break;
            }
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.gives_way = true;
                excess = excess.saturating_sub(amount(connection));
                chosen.push(key);
            }
        }
        chosen
    }
}
