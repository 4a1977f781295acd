//! The way of an answer from the actor to the handler that serves its caller.

use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_targets::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc;

/// Part of an answer.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// Head of the answer of a plain call.
    Head(Box<ResponseHead>),
    /// Chunk of the answer.
    Chunk {
        /// Attempt that produced it.
        attempt: AttemptId,
        /// Target that ran the attempt.
        target: TargetName,
        /// Position in the whole answer.
        index: u32,
        /// Content.
        data: Bytes,
    },
    /// The answer is whole.
    Finished,
    /// The request was refused, or its answer broke off.
    Refused(RequestRefusal),
}

/// Sending end of an answer. Counts the bytes that its caller has not read yet.
#[derive(Debug)]
pub struct AnswerSender {
    parts: mpsc::UnboundedSender<AnswerPart>,
    unread: Arc<AtomicUsize>,
}

/// Receiving end of an answer.
#[derive(Debug)]
pub struct AnswerReceiver {
    parts: mpsc::UnboundedReceiver<AnswerPart>,
    unread: Arc<AtomicUsize>,
}

/// Makes both ends of an answer.
pub fn answer_channel() -> (AnswerSender, AnswerReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let unread = Arc::new(AtomicUsize::new(0));
    let sender = AnswerSender {
        parts: sender,
        unread: unread.clone(),
    };
    (
        sender,
        AnswerReceiver {
            parts: receiver,
            unread,
        },
    )
}

impl AnswerSender {
    /// Sends a part; returns the bytes that wait to be read, or `None` if the caller has gone.
    pub fn send(&self, part: AnswerPart) -> Option<usize> {
        let size = part_bytes(&part);
        let unread = self.unread.fetch_add(size, Ordering::Relaxed) + size;
        self.parts.send(part).ok().map(|()| unread)
    }
}

impl AnswerReceiver {
    /// Waits for the next part; `None` if the actor dropped the request.
    pub async fn next(&mut self) -> Option<AnswerPart> {
        let part = self.parts.recv().await?;
        self.unread.fetch_sub(part_bytes(&part), Ordering::Relaxed);
        Some(part)
    }
}

fn part_bytes(part: &AnswerPart) -> usize {
    match part {
        AnswerPart::Chunk { data, .. } => data.len(),
        _ => 0,
    }
}
