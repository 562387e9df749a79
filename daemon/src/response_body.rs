//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};

use crate::departure::Departure;

/// Error that aborts a response body before its end.
///
/// The HTTP server then closes the connection, so that the body does not look complete to the
/// caller.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("response body ended early")]
pub struct TruncatedBody;

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedBody>>>>;

/// Response body with an optional guard that is dropped together with the body.
pub struct ResponseBody {
    content: Content,
    departure: Option<Box<Departure>>,
    _guard: Option<Box<dyn std::any::Any>>,
}

enum Content {
    Full(Option<Bytes>),
    Chunks(Chunks),
}

impl ResponseBody {
    fn new(content: Content) -> Self {
        Self { content, departure: None, _guard: None }
    }

    /// Creates a body from complete content.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self::new(Content::Full(Some(bytes)))
    }

    /// Creates a body from text.
    pub fn from_text(text: String) -> Self {
        Self::from_bytes(Bytes::from(text))
    }

    /// Creates a body that is streamed in chunks.
    pub fn from_stream(chunks: impl Stream<Item = Result<Bytes, TruncatedBody>> + 'static) -> Self {
        Self::new(Content::Chunks(Box::pin(chunks)))
    }

    /// Watches whether the caller leaves before the end of the body. A complete body counts as sent.
    pub fn with_departure(mut self, mut departure: Departure) -> Self {
        if matches!(self.content, Content::Full(_)) {
            departure.record_answered();
        }
        self.departure = Some(Box::new(departure));
        self
    }

    /// Attaches a guard that is dropped once the body is sent or dropped, with those attached before.
    pub fn with_guard(self, guard: impl std::any::Any) -> Self {
        Self { _guard: Some(Box::new((guard, self._guard))), ..self }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let next = match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Chunks(chunks) => {
                chunks.as_mut().poll_next(context).map(|next| next.map(|p| p.map(Frame::data)))
            }
        };
        if matches!(next, Poll::Ready(None | Some(Err(_)))) {
            self.departure.iter_mut().for_each(|departure| departure.record_answered());
        }
        next
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Chunks(_) => SizeHint::default(),
        }
    }
}
