//! The channel that carries an answer from the actor to the handler that serves the caller.

use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_intake::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_targets::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;

/// One part of an answer. Parts are sent in the order in which the caller receives them.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// Status and headers of the answer to a plain call.
    Head(Box<ResponseHead>),
    /// A chunk of the answer's body or stream.
    Chunk {
        /// Attempt that produced the chunk.
        attempt: AttemptId,
        /// Target that ran the attempt.
        target: TargetName,
        /// Position of the chunk in the whole answer, from 0.
        index: u32,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// The answer is complete.
    Finished,
    /// The request was refused, or its answer ended before it was complete.
    Refused(RequestRefusal),
}

/// Sending half of an answer channel. It counts the bytes that the caller has not read yet.
#[derive(Debug)]
pub struct AnswerSender {
    parts: mpsc::UnboundedSender<AnswerPart>,
    unread: Arc<AtomicUsize>,
    charge: Arc<Mutex<IntakeGuard>>,
}

/// Receiving half of an answer channel.
#[derive(Debug)]
pub struct AnswerReceiver {
    parts: mpsc::UnboundedReceiver<AnswerPart>,
    unread: Arc<AtomicUsize>,
    charge: Arc<Mutex<IntakeGuard>>,
}

/// Creates the channel of one answer, whose unread bytes are charged to the memory budget.
pub fn answer_channel(budget: &IntakeBudget) -> (AnswerSender, AnswerReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let unread = Arc::new(AtomicUsize::new(0));
    // The budget reads no clock for charges of this kind.
    let charge = budget.open(IntakeUse::Held, ClockTime::ZERO);
    let charge = Arc::new(Mutex::new(charge));
    let sender = AnswerSender {
        parts: sender,
        unread: unread.clone(),
        charge: charge.clone(),
    };
    (
        sender,
        AnswerReceiver {
            parts: receiver,
            unread,
            charge,
        },
    )
}

impl AnswerSender {
    /// Sends a part and returns the number of unread bytes, or `None` if the caller has
    /// disconnected or there is no memory for the part.
    pub fn send(&self, part: AnswerPart) -> Option<usize> {
        let size = part_bytes(&part);
        let charged = lock(&self.charge).charge(size, ClockTime::ZERO);
        charged.ok()?;
        let unread = self.unread.fetch_add(size, Ordering::Relaxed) + size;
        self.parts.send(part).ok().map(|()| unread)
    }
}

impl AnswerReceiver {
    /// Waits for the next part; returns `None` if the actor dropped the request.
    pub async fn next(&mut self) -> Option<AnswerPart> {
        let part = self.parts.recv().await?;
        let size = part_bytes(&part);
        self.unread.fetch_sub(size, Ordering::Relaxed);
        lock(&self.charge).release(size);
        Some(part)
    }
}

fn lock(charge: &Mutex<IntakeGuard>) -> MutexGuard<'_, IntakeGuard> {
    charge.lock().unwrap_or_else(PoisonError::into_inner)
}

fn part_bytes(part: &AnswerPart) -> usize {
    match part {
        AnswerPart::Chunk { data, .. } => data.len(),
        _ => 0,
    }
}
