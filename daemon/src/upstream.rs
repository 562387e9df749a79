//! One HTTP/1.1 connection to a backend.
//!
//! A general HTTP client library does not fit here: responses are matched to requests by id,
//! responses to other requests are skipped, and the bytes sent before a failure decide whether a
//! request may be retried.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use crate::sockets;

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 32 << 10;
const READ_BUFFER_BYTES: usize = 16 << 10;
const MAX_CHUNK_LINE_BYTES: usize = 1 << 10;
const MAX_TRAILER_BYTES: usize = 8 << 10;
/// Status codes of the five classes of HTTP.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;
/// Maximum number of informational responses before the final one.
const MAX_INFORMATIONAL: u32 = 16;
const CRLF: &[u8] = b"\r\n";
const CRLF_CRLF: &[u8] = b"\r\n\r\n";

/// Error on a connection to a backend.
#[derive(Debug, Display, Error, From)]
pub enum UpstreamError {
    /// The socket failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The backend closed the connection before the end of the response.
    #[display("connection closed early")]
    Closed,
    /// The received bytes are not a valid HTTP/1.1 response.
    #[display("malformed response: {detail}")]
    #[from(ignore)]
    Malformed {
        /// What is malformed.
        detail: &'static str,
    },
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Framing of the body.
    pub framing: Framing,
}

/// Framing of a body: how its end is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body ends after this many more bytes.
    Length(u64),
    /// The body ends after the last chunk.
    Chunked {
        /// Remaining bytes of the current chunk.
        remaining: u64,
        /// Whether the line end of the previous chunk has not been read yet.
        after_chunk: bool,
    },
    /// The body ends when the connection is closed.
    UntilClose,
    /// The end has been reached.
    Done,
}

/// How far the last request of a connection has been sent.
#[derive(Debug)]
enum Sending {
    /// Completely.
    Sent,
    /// This part has not been sent yet.
    Unsent(Chain<Bytes, Bytes>),
    /// The rest is not sent, since the response has come before it.
    Stopped,
    /// The rest could not be sent.
    ///
    /// The system reports the error of a socket once. If a write is told of a reset, reads that follow
    /// return the end of the connection, as if it were orderly.
    Failed(io::Error),
}

/// An HTTP/1.1 connection to a backend.
#[derive(Debug)]
pub struct Upstream {
    stream: TcpStream,
    buffer: BytesMut,
    sending: Sending,
    /// Number of informational responses to the current request.
    informational: u32,
    /// Whether a request has been started and its response has not ended.
    is_in_flight: bool,
}

impl Drop for Upstream {
    /// Resets the connection if its request is abandoned: bytes still in transit must not reach the
    /// backend later, when the response is no longer awaited.
    fn drop(&mut self) {
        if self.is_in_flight
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!(error:% = error; "failed to reset a connection");
        }
    }
}

impl Upstream {
    /// Connects to a backend.
    ///
    /// # Errors
    ///
    /// Fails if the backend refuses the connection or does not respond in time. No request bytes
    /// have been sent then.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = sockets::connect(address, limit).await?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            sending: Sending::Sent,
            informational: 0,
            is_in_flight: false,
        })
    }

    /// Returns whether another request may be sent on the connection.
    ///
    /// The connection must be open, have no unread bytes, and have sent the last request
    /// completely.
    pub fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        let is_quiet = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        matches!(self.sending, Sending::Sent) && self.buffer.is_empty() && is_quiet
    }

    /// Waits until the backend closes an idle connection or sends something, no longer than `until`.
    /// Returns whether neither has happened.
    pub async fn stays_open(&self, until: Instant) -> bool {
        let changed = async { while self.stream.readable().await.is_ok() && self.is_reusable() {} };
        tokio::time::timeout_at(until, changed).await.is_err()
    }

    /// Begins to send a request, and reads the next response head, which may arrive before the request
    /// is fully sent. The rest is sent while more is read, until [`Upstream::stop_sending`] is called.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the response is malformed. The backend may have received
    /// the request then.
    pub async fn exchange(&mut self, head: Bytes, body: Bytes) -> Result<Head, UpstreamError> {
        self.sending = Sending::Unsent(match head.len() + body.len() <= READ_BUFFER_BYTES {
            true => Bytes::from([head, body].concat()).chain(Bytes::new()),
            false => head.chain(body),
        });
        self.informational = 0;
        self.is_in_flight = true;
        self.read_head().await
    }

    /// Sends no more of the request: the response is that to the request, and does not wait for the rest.
    pub fn stop_sending(&mut self) {
        if let Sending::Unsent(_) = self.sending {
            self.sending = Sending::Stopped;
        }
    }

    /// Reads the next response head.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the response is malformed.
    pub async fn read_head(&mut self) -> Result<Head, UpstreamError> {
        loop {
            if let Some(response) = parse_final_head(&mut self.buffer, &mut self.informational)? {
                return Ok(response);
            }
            self.fill_or_closed().await?;
        }
    }

    /// Reads the next bytes of a body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early or is malformed.
    pub async fn read_body(
        &mut self,
        framing: &mut Framing,
    ) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            match *framing {
                Framing::Done => {
                    self.is_in_flight = false;
                    return Ok(None);
                }
                Framing::Length(0) => *framing = Framing::Done,
                Framing::Length(remaining) if !self.buffer.is_empty() => {
                    let chunk = self.take_buffered(remaining);
                    *framing = Framing::Length(remaining - chunk.len() as u64);
                    return Ok(Some(chunk));
                }
                Framing::Chunked { remaining: 0, after_chunk } => {
                    match self.parse_chunk_line(after_chunk)? {
                        Some(next) => *framing = next,
                        None => self.fill_or_closed().await?,
                    }
                }
                Framing::Chunked { remaining, .. } if !self.buffer.is_empty() => {
                    let chunk = self.take_buffered(remaining);
                    let remaining = remaining - chunk.len() as u64;
                    *framing = Framing::Chunked { remaining, after_chunk: remaining == 0 };
                    return Ok(Some(chunk));
                }
                Framing::UntilClose if !self.buffer.is_empty() => {
                    return Ok(Some(self.take_buffered(u64::MAX)));
                }
                Framing::UntilClose => {
                    if self.fill().await? == 0 {
                        *framing = Framing::Done;
                    }
                }
                Framing::Length(_) | Framing::Chunked { .. } => self.fill_or_closed().await?,
            }
        }
    }

    fn take_buffered(&mut self, max_bytes: u64) -> Bytes {
        let len = self.buffer.len().min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
        self.buffer.split_to(len).freeze()
    }

    async fn fill_or_closed(&mut self) -> Result<(), UpstreamError> {
        match self.fill().await? {
            0 => Err(UpstreamError::Closed),
            _ => Ok(()),
        }
    }

    /// Receives bytes, and meanwhile sends the rest of the request. Returns 0 at an orderly end of the
    /// connection.
    async fn fill(&mut self) -> Result<usize, UpstreamError> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let (mut read, mut write) = self.stream.split();
        loop {
            let sending = async {
                match &mut self.sending {
                    Sending::Unsent(rest) => write_some(&mut write, rest).await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                sent = sending => match sent {
                    Ok(true) => self.sending = Sending::Sent,
                    Ok(false) => {}
                    Err(error) => self.sending = Sending::Failed(error),
                },
                received = read.read_buf(&mut self.buffer) => {
                    let received = received?;
                    return match std::mem::replace(&mut self.sending, Sending::Stopped) {
                        Sending::Failed(error) if received == 0 => Err(error.into()),
                        sending => {
                            self.sending = sending;
                            Ok(received)
                        }
                    };
                }
            }
        }
    }

    /// Parses the chunk size line before the next chunk. Returns `None` if more bytes are needed.
    fn parse_chunk_line(&mut self, after_chunk: bool) -> Result<Option<Framing>, UpstreamError> {
        let malformed = |detail| UpstreamError::Malformed { detail };
        let start = if after_chunk { CRLF.len() } else { 0 };
        if self.buffer.len() < start {
            return Ok(None);
        }
        if !self.buffer.starts_with(&CRLF[..start]) {
            return Err(malformed("chunk exceeds its declared size"));
        }
        let rest = &self.buffer[start..];
        let Some(len) = rest.windows(CRLF.len()).position(|w| w == CRLF) else {
            let too_long = rest.len() > MAX_CHUNK_LINE_BYTES;
            return if too_long { Err(malformed("chunk size line is too long")) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&rest[..len]).unwrap_or_default();
        let digits = line.split(';').next().unwrap_or_default().trim();
        let size = Some(digits).filter(|digits| is_number(digits, 16));
        let size = size.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        let size = size.ok_or(malformed("invalid chunk size"))?;
        if size > 0 {
            self.buffer.advance(start + len + CRLF.len());
            return Ok(Some(Framing::Chunked { remaining: size, after_chunk: true }));
        }
        let end = rest[len..].windows(CRLF_CRLF.len()).position(|w| w == CRLF_CRLF);
        match end {
            Some(end) => {
                self.buffer.advance(start + len + end + CRLF_CRLF.len());
                Ok(Some(Framing::Done))
            }
            None if rest.len() > MAX_TRAILER_BYTES => Err(malformed("trailers are too long")),
            None => Ok(None),
        }
    }
}

/// Sends a part of `rest` and returns whether nothing is left.
async fn write_some(write: &mut WriteHalf<'_>, rest: &mut Chain<Bytes, Bytes>) -> io::Result<bool> {
    match write.write_buf(rest).await? {
        0 => Err(io::ErrorKind::WriteZero.into()),
        _ => Ok(!rest.has_remaining()),
    }
}

fn parse_final_head(
    buffer: &mut BytesMut,
    informational: &mut u32,
) -> Result<Option<Head>, UpstreamError> {
    loop {
        let Some((len, head)) = parse_response_head(buffer)? else {
            return Ok(None);
        };
        buffer.advance(len);
        // Informational (1xx) responses do not report the outcome of the request.
        if !head.status.is_informational() {
            return Ok(Some(head));
        }
        *informational += 1;
        if *informational > MAX_INFORMATIONAL {
            return Err(UpstreamError::Malformed { detail: "too many informational responses" });
        }
    }
}

fn parse_response_head(buffer: &BytesMut) -> Result<Option<(usize, Head)>, UpstreamError> {
    let malformed = |detail| UpstreamError::Malformed { detail };
    let mut storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut storage);
    let len = match parsed.parse(buffer).map_err(|_| malformed("invalid head"))? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial if buffer.len() > MAX_HEAD_BYTES => {
            return Err(malformed("head is too long"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let code = parsed.code.filter(|code| STATUS_CODES.contains(code));
    let status = code.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(malformed("invalid status code"))?;
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(malformed("invalid header"));
        };
        headers.append(name, value);
    }
    let framing = framing(status, &headers)?;
    Ok(Some((len, Head { status, headers, framing })))
}

fn framing(status: StatusCode, headers: &HeaderMap) -> Result<Framing, UpstreamError> {
    let has_no_body = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if has_no_body || status.is_informational() {
        return Ok(Framing::Done);
    }
    let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    if let Some(coding) = codings.next() {
        let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return match (is_chunked && codings.next().is_none(), lengths.next()) {
            (true, None) => Ok(Framing::Chunked { remaining: 0, after_chunk: false }),
            (true, Some(_)) => {
                Err(UpstreamError::Malformed { detail: "content length of a chunked body" })
            }
            (false, _) => Err(UpstreamError::Malformed { detail: "unsupported transfer coding" }),
        };
    }
    match (lengths.next(), lengths.next()) {
        (None, _) => Ok(Framing::UntilClose),
        (Some(length), None) => {
            let length = length.to_str().ok().filter(|text| is_number(text, 10));
            length
                .and_then(|text| text.parse().ok())
                .map(Framing::Length)
                .ok_or(UpstreamError::Malformed { detail: "invalid content length" })
        }
        (Some(_), Some(_)) => {
            Err(UpstreamError::Malformed { detail: "more than one content length" })
        }
    }
}

/// Returns whether a text has only digits. Parsing alone accepts a sign.
fn is_number(text: &str, radix: u32) -> bool {
    !text.is_empty() && text.chars().all(|digit| digit.is_digit(radix))
}
