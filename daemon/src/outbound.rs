//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};

/// The answer ends early, and its connection with it, so that it does not look complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer ends early")]
pub struct EndsEarly;

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, EndsEarly>>>>;

/// Body of an answer, with what has to live as long as it.
pub struct Outbound {
    content: Content,
    _guard: Option<Box<dyn std::any::Any>>,
}

enum Content {
    Whole(Option<Bytes>),
    Pieces(Pieces),
}

impl Outbound {
    /// A body that is known as a whole.
    pub fn whole(bytes: Bytes) -> Self {
        Self { content: Content::Whole(Some(bytes)), _guard: None }
    }

    /// A body of text.
    pub fn text(text: String) -> Self {
        Self::whole(Bytes::from(text))
    }

    /// A body that arrives piece by piece.
    pub fn pieces(pieces: impl Stream<Item = Result<Bytes, EndsEarly>> + 'static) -> Self {
        Self { content: Content::Pieces(Box::pin(pieces)), _guard: None }
    }

    /// Keeps `guard` until the body is sent or dropped.
    pub fn guarded(self, guard: impl std::any::Any) -> Self {
        Self { _guard: Some(Box::new(guard)), ..self }
    }
}

impl Body for Outbound {
    type Data = Bytes;
    type Error = EndsEarly;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, EndsEarly>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Content::Pieces(pieces) => {
                pieces.as_mut().poll_next(context).map(|next| next.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Content::Pieces(_) => SizeHint::default(),
        }
    }
}
