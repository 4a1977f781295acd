//! Bodies of answers to callers: complete ones and streams of events.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Number of chunks that may wait for a slow caller; beyond it the target is not read any further.
const STREAM_BUFFER_CHUNKS: usize = 8;
/// Length from which on a chunk waits alone, so that few long ones do not take as much memory as many
/// ordinary ones, bytes.
pub(crate) const LONG_CHUNK_BYTES: usize = 8 * 1_024;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Chunks of a stream; an error closes the connection without ending the body.
    Stream(Receiver<Result<Bytes, io::Error>>),
}

/// Sender of the chunks of a stream.
pub(crate) type StreamSender = Sender<Result<Bytes, io::Error>>;

impl AnswerBody {
    /// Creates a complete body.
    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// Creates a stream and the sender of its chunks.
    pub(crate) fn stream() -> (StreamSender, Self) {
        let (sender, receiver) = channel(STREAM_BUFFER_CHUNKS);
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
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => receiver
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
