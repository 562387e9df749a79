//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};

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
    _guard: Option<Box<dyn std::any::Any>>,
}

enum Content {
    Full(Option<Bytes>),
    Chunks(Chunks),
}

impl ResponseBody {
    /// Creates a body from complete content.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self { content: Content::Full(Some(bytes)), _guard: None }
    }

    /// Creates a body from text.
    pub fn from_text(text: String) -> Self {
        Self::from_bytes(Bytes::from(text))
    }

    /// Creates a body that is streamed in chunks.
    pub fn from_stream(chunks: impl Stream<Item = Result<Bytes, TruncatedBody>> + 'static) -> Self {
        Self { content: Content::Chunks(Box::pin(chunks)), _guard: None }
    }

    /// Attaches a guard that is dropped once the body is sent or dropped, with those attached before.
    pub fn with_guard(self, guard: impl std::any::Any) -> Self {
        Self { content: self.content, _guard: Some(Box::new((guard, self._guard))) }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Chunks(chunks) => {
                chunks.as_mut().poll_next(context).map(|next| next.map(|p| p.map(Frame::data)))
            }
        }
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
