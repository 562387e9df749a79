//! Framed and mutually authenticated TCP links between processes.
//!
//! Each end proves possession of the shared key with an HMAC over both `Hello` messages. Later
//! frames are neither encrypted nor authenticated individually.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use currantlink_wire::link::{Hello, Proof};
use derive_more::{Display, Error, From};
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::key::LinkKey;

/// Maximum length of a frame on a link.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const CHALLENGE_BYTES: usize = 32;

/// Error of a link, or the reason why it ended.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The socket failed or a frame exceeds `MAX_FRAME_BYTES`.
    #[display("link failed: {_0}")]
    Io(io::Error),
    /// A frame is not a valid message.
    #[display("invalid link message: {_0}")]
    Decode(prost::DecodeError),
    /// The other end closed the link.
    #[display("link closed")]
    Closed,
    /// The other end does not hold the shared key.
    #[display("link peer {name:?} failed authentication")]
    Unauthenticated {
        /// Name in the `Hello` message of the other end.
        name: String,
    },
    /// The handshake did not complete in time.
    #[display("link handshake timed out")]
    HandshakeTimeout,
    /// No message was received in time while calls were in flight.
    #[display("no message received on link in time")]
    Silent,
    /// No connection could be opened in time.
    #[display("could not connect to {address}")]
    Connect {
        /// Address of the listener.
        address: SocketAddr,
    },
}

/// End of a link. The proof of each end covers a label of its own, so that a proof cannot be
/// reflected to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The process that opened the connection.
    Dialer,
    /// The process that accepted the connection.
    Listener,
}

impl LinkEnd {
    fn label(self) -> &'static [u8] {
        match self {
            LinkEnd::Dialer => b"currantlink dialer",
            LinkEnd::Listener => b"currantlink listener",
        }
    }

    fn other(self) -> Self {
        match self {
            LinkEnd::Dialer => LinkEnd::Listener,
            LinkEnd::Listener => LinkEnd::Dialer,
        }
    }
}

/// Identity of this process in a handshake.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the process.
    pub name: String,
    /// Random id of the process.
    pub process_id: u64,
    /// Number that increases with each link to the same listener.
    pub generation: u64,
}

/// Receiving half of a link.
pub struct Receiver(FramedRead<OwnedReadHalf, LengthDelimitedCodec>);

impl Receiver {
    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Fails if the link is closed or broken, or if the frame is not a valid message.
    pub async fn receive<M: Message + Default>(&mut self) -> Result<M, LinkError> {
        let frame: BytesMut = self.0.next().await.ok_or(LinkError::Closed)??;
        Ok(M::decode(frame.freeze())?)
    }
}

/// Sending half of a link.
pub struct Sender(FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>);

impl Sender {
    /// Sends a message and flushes the link.
    ///
    /// # Errors
    ///
    /// Fails if the link is broken.
    pub async fn send(&mut self, message: &impl Message) -> Result<(), LinkError> {
        self.0.send(Bytes::from(message.encode_to_vec())).await?;
        Ok(())
    }

    /// Queues a message without flushing.
    ///
    /// # Errors
    ///
    /// Fails if the link is broken.
    pub async fn feed(&mut self, message: &impl Message) -> Result<(), LinkError> {
        self.0.feed(Bytes::from(message.encode_to_vec())).await?;
        Ok(())
    }

    /// Flushes queued messages.
    ///
    /// # Errors
    ///
    /// Fails if the link is broken.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        SinkExt::<Bytes>::flush(&mut self.0).await?;
        Ok(())
    }
}

/// Opens an authenticated link and returns the `Hello` message of the other end. `timeout` applies
/// to the connection and to the handshake separately.
///
/// # Errors
///
/// Fails if no connection is opened in time, or if the handshake times out or fails.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    key: &LinkKey,
    identity: &Identity,
) -> Result<(Hello, Receiver, Sender), LinkError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        _ => return Err(LinkError::Connect { address }),
    };
    let handshake = authenticate(stream, key, identity, LinkEnd::Dialer);
    tokio::time::timeout(timeout, handshake).await.map_err(|_| LinkError::HandshakeTimeout)?
}

/// Authenticates an accepted connection and returns the `Hello` message of the other end.
///
/// # Errors
///
/// Fails if the handshake times out or fails.
pub async fn accept(
    stream: TcpStream,
    key: &LinkKey,
    identity: &Identity,
) -> Result<(Hello, Receiver, Sender), LinkError> {
    let handshake = authenticate(stream, key, identity, LinkEnd::Listener);
    let limited = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake);
    limited.await.map_err(|_| LinkError::HandshakeTimeout)?
}

async fn authenticate(
    stream: TcpStream,
    key: &LinkKey,
    identity: &Identity,
    end: LinkEnd,
) -> Result<(Hello, Receiver, Sender), LinkError> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let mut receiver = Receiver(FramedRead::new(read, codec()));
    let mut sender = Sender(FramedWrite::new(write, codec()));
    let own = hello_message(identity);
    sender.send(&own).await?;
    let other: Hello = receiver.receive().await?;
    let mac = proof_mac(key, end, &own, &other).finalize().into_bytes();
    sender.send(&Proof { mac: Bytes::copy_from_slice(&mac) }).await?;
    let other_proof: Proof = receiver.receive().await?;
    let is_authentic =
        proof_mac(key, end.other(), &other, &own).verify_slice(&other_proof.mac).is_ok();
    if !is_authentic {
        return Err(LinkError::Unauthenticated { name: other.name });
    }
    Ok((other, receiver, sender))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

fn hello_message(identity: &Identity) -> Hello {
    let challenge: [u8; CHALLENGE_BYTES] = rand::random();
    Hello {
        name: identity.name.clone(),
        challenge: Bytes::copy_from_slice(&challenge),
        process_id: identity.process_id,
        generation: identity.generation,
    }
}

fn proof_mac(key: &LinkKey, end: LinkEnd, own: &Hello, other: &Hello) -> Hmac<Sha256> {
    let (own, other) =
        (own.encode_length_delimited_to_vec(), other.encode_length_delimited_to_vec());
    key.mac(&[end.label(), &own, &other])
}
