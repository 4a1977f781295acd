//! Body of an answer: whole, or a stream of events.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Pieces that wait for a slow caller; then the target is read no further.
const STREAM_ROOM: usize = 8;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// A whole body, until it is taken.
    Whole(Option<Bytes>),
    /// Pieces of a stream; an error closes the connection without an end.
    Stream(Receiver<Result<Bytes, io::Error>>),
}

/// Sending end of a stream.
pub(crate) type StreamSender = Sender<Result<Bytes, io::Error>>;

impl AnswerBody {
    /// Makes a whole body.
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Makes a stream.
    pub(crate) fn stream() -> (StreamSender, Self) {
        let (sender, receiver) = channel(STREAM_ROOM);
        (sender, Self::Stream(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => receiver
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
