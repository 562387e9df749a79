//! A ticket is valid only for its workspace, service and request, on the incarnation that minted
//! it.
#![allow(clippy::unwrap_used)]

mod common;

use currantlink_core::ids::{Incarnation, RequestId, WorkspaceName};
use currantlink_core::ticket::{Minter, Ticket, TicketError, Unverified};
use proptest::collection::vec;
use proptest::prelude::*;

fn minter(incarnation: u64, key: u8) -> Minter {
    Minter::new(Incarnation(incarnation), "backend", [key; 32], 1_000)
}

fn ticket_bytes() -> Vec<u8> {
    let workspace = WorkspaceName::from("a");
    minter(1, 1).mint(0, &workspace, "s", RequestId::from([5; 16])).to_bytes()
}

fn verify_error(
    minter: &Minter,
    now_ms: u64,
    workspace: &str,
    service: &str,
) -> Option<TicketError> {
    let ticket = Ticket::<Unverified>::try_from(ticket_bytes().as_slice()).unwrap();
    minter.verify(now_ms, &WorkspaceName::from(workspace), service, ticket).err()
}

#[test]
fn own_call() {
    assert_eq!(verify_error(&minter(1, 1), 999, "a", "s"), None);
}

#[test]
fn other_calls() {
    let own = minter(1, 1);
    assert_eq!(verify_error(&own, 0, "b", "s"), Some(TicketError::Forged));
    assert_eq!(verify_error(&own, 0, "a", "t"), Some(TicketError::Forged));
    assert_eq!(verify_error(&own, 1_000, "a", "s"), Some(TicketError::Expired));
    assert_eq!(verify_error(&minter(2, 1), 0, "a", "s"), Some(TicketError::OtherIncarnation));
    assert_eq!(verify_error(&minter(1, 2), 0, "a", "s"), Some(TicketError::Forged));
}

proptest! {
    #![proptest_config(common::proptest_config(1_000))]

    #[test]
    fn changed_bytes(index in 0_usize..49, flip in 1_u8..) {
        let mut bytes = ticket_bytes();
        bytes[index] ^= flip;
        let Ok(ticket) = Ticket::<Unverified>::try_from(bytes.as_slice()) else {
            return Ok(());
        };
        let verified = minter(1, 1).verify(0, &WorkspaceName::from("a"), "s", ticket);
        prop_assert!(verified.is_err());
    }

    #[test]
    fn random_bytes(bytes in vec(any::<u8>(), 0..400)) {
        if let Ok(ticket) = Ticket::<Unverified>::try_from(bytes.as_slice()) {
            prop_assert_eq!(ticket.to_bytes(), bytes);
        }
    }
}
