//! Execution tickets, which ensure that a non-idempotent call runs at most once.
//!
//! A side mints a ticket for one request of one workspace, authenticated with a key that exists
//! only in that process. Only that incarnation can run the call, and it retains the call until the
//! ticket expires. This needs neither consensus between processes nor persistent state.

use std::marker::PhantomData;

use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::ids::{Incarnation, REQUEST_ID_LEN, RequestId, WorkspaceName};

const VERSION: u8 = 1;
const MAC_LEN: usize = 16;
const FIXED_LEN: usize = 1 + 8 + REQUEST_ID_LEN + 8 + MAC_LEN;
const MAX_BACKEND_LEN: usize = 255;

/// Length of a ticket key in bytes.
pub const TICKET_KEY_LEN: usize = 32;

/// Why a ticket is rejected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum TicketError {
    /// The bytes do not encode a ticket.
    #[display("the ticket is malformed")]
    Malformed,
    /// Another process minted the ticket; the call may have run there.
    #[display("the ticket belongs to another incarnation of the backend")]
    OtherIncarnation,
    /// The ticket has expired; the call may have run, and its record may have been evicted.
    #[display("the ticket has expired")]
    Expired,
    /// The ticket was not minted for this workspace, service and request.
    #[display("the ticket was not issued for this call")]
    Forged,
}

/// State of a ticket whose MAC has not been verified.
#[derive(Clone, Copy, Debug)]
pub struct Unverified;

/// State of a ticket whose MAC was verified by the process that minted it.
#[derive(Clone, Copy, Debug)]
pub struct Verified;

/// Permission to run one call once.
#[derive(Clone, Debug)]
pub struct Ticket<S> {
    incarnation: Incarnation,
    request: RequestId,
    expires_ms: u64,
    backend: String,
    mac: [u8; MAC_LEN],
    state: PhantomData<S>,
}

impl<S> Ticket<S> {
    /// Returns the incarnation that minted the ticket.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the id of the request that the ticket was minted for.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the name of the backend that minted the ticket, the only one that may run the call.
    pub fn backend(&self) -> &str {
        &self.backend
    }

    /// Returns the expiry time, by the clock of the process that minted the ticket.
    pub fn expires_ms(&self) -> u64 {
        self.expires_ms
    }

    /// Encodes the ticket as version, incarnation, request id, expiry, MAC and backend name.
    ///
    /// Integers are big-endian.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.incarnation.0.to_be_bytes());
        bytes.extend(self.request.as_bytes());
        bytes.extend(self.expires_ms.to_be_bytes());
        bytes.extend(self.mac);
        bytes.extend(self.backend.as_bytes());
        bytes
    }
}

impl TryFrom<&[u8]> for Ticket<Unverified> {
    type Error = TicketError;

    fn try_from(bytes: &[u8]) -> Result<Self, TicketError> {
        let backend = bytes.get(FIXED_LEN..).ok_or(TicketError::Malformed)?;
        if bytes[0] != VERSION || backend.len() > MAX_BACKEND_LEN {
            return Err(TicketError::Malformed);
        }
        let backend = std::str::from_utf8(backend).map_err(|_| TicketError::Malformed)?;
        Ok(Ticket {
            incarnation: Incarnation(u64::from_be_bytes(to_array(&bytes[1..9])?)),
            request: RequestId::from(to_array::<REQUEST_ID_LEN>(&bytes[9..25])?),
            expires_ms: u64::from_be_bytes(to_array(&bytes[25..33])?),
            backend: backend.to_owned(),
            mac: to_array(&bytes[33..FIXED_LEN])?,
            state: PhantomData,
        })
    }
}

fn to_array<const N: usize>(bytes: &[u8]) -> Result<[u8; N], TicketError> {
    bytes.try_into().map_err(|_| TicketError::Malformed)
}

/// Mints and verifies the tickets of one incarnation.
#[derive(Clone)]
pub struct Minter {
    incarnation: Incarnation,
    backend: String,
    key: [u8; TICKET_KEY_LEN],
    ttl_ms: u64,
}

impl Minter {
    /// Creates a minter. `key` must be random and must not leave the process.
    pub fn new(
        incarnation: Incarnation,
        backend: impl Into<String>,
        key: [u8; TICKET_KEY_LEN],
        ttl_ms: u64,
    ) -> Self {
        Self { incarnation, backend: backend.into(), key, ttl_ms }
    }

    /// Returns the lifetime of a ticket.
    pub fn ttl_ms(&self) -> u64 {
        self.ttl_ms
    }

    /// Mints a ticket for one request.
    pub fn mint(
        &self,
        now_ms: u64,
        workspace: &WorkspaceName,
        service: &str,
        request: RequestId,
    ) -> Ticket<Verified> {
        let expires_ms = now_ms + self.ttl_ms;
        let full_mac = self.mac(workspace, service, request, expires_ms).finalize().into_bytes();
        let mut mac = [0; MAC_LEN];
        mac.copy_from_slice(&full_mac[..MAC_LEN]);
        Ticket {
            incarnation: self.incarnation,
            request,
            expires_ms,
            backend: self.backend.clone(),
            mac,
            state: PhantomData,
        }
    }

    /// Verifies that this process minted the ticket for this workspace and service.
    ///
    /// # Errors
    ///
    /// `Forged` means that the ticket never allowed a run. `OtherIncarnation` and `Expired` mean
    /// that the call may have run.
    pub fn verify(
        &self,
        now_ms: u64,
        workspace: &WorkspaceName,
        service: &str,
        ticket: Ticket<Unverified>,
    ) -> Result<Ticket<Verified>, TicketError> {
        if ticket.incarnation != self.incarnation {
            return Err(TicketError::OtherIncarnation);
        }
        self.mac(workspace, service, ticket.request, ticket.expires_ms)
            .verify_truncated_left(&ticket.mac)
            .map_err(|_| TicketError::Forged)?;
        if now_ms >= ticket.expires_ms {
            return Err(TicketError::Expired);
        }
        Ok(Ticket {
            incarnation: ticket.incarnation,
            request: ticket.request,
            expires_ms: ticket.expires_ms,
            backend: ticket.backend,
            mac: ticket.mac,
            state: PhantomData,
        })
    }

    #[allow(clippy::expect_used)]
    fn mac(
        &self,
        workspace: &WorkspaceName,
        service: &str,
        request: RequestId,
        expires_ms: u64,
    ) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes any key length");
        mac.update(&self.incarnation.0.to_be_bytes());
        mac.update(request.as_bytes());
        mac.update(&expires_ms.to_be_bytes());
        mac.update(&(workspace.as_str().len() as u64).to_be_bytes());
        mac.update(workspace.as_str().as_bytes());
        mac.update(service.as_bytes());
        mac
    }
}
