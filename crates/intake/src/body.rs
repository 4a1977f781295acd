//! The state of a body that is being read.

use crate::budget::{IntakeBudget, IntakeGuard, IntakeRefusal, IntakeUse};
use bytes::{Bytes, BytesMut};
use crocusyard_base::prelude::*;

/// Memory that a body takes besides its bytes: its task and the objects of its call.
const CALL_OVERHEAD_BYTES: usize = 4 * 1_024;
/// Smallest capacity of the buffer of a body that arrives in several parts, bytes.
const MIN_BUFFER_BYTES: usize = 1_024;

/// A body that is being read into one buffer, whose capacity is charged before it grows. The bytes
/// of tiny chunks are copied there, so that the buffers they arrived in are free again.
#[derive(Debug)]
pub struct BodyIntake {
    guard: IntakeGuard,
    buffer: BytesMut,
    /// Length that was announced; 0 if there was none.
    announced: usize,
    /// Memory that has been charged, bytes.
    charged: usize,
}

impl BodyIntake {
    /// Starts a body; the budget may evict it if it is `Incoming`. `announced` is its length if that is known, else 0.
    ///
    /// # Errors
    ///
    /// Fails with `Full` if there is no room at present.
    pub fn open(
        budget: &IntakeBudget,
        kind: IntakeUse,
        announced: usize,
        now: ClockTime,
    ) -> Result<Self, IntakeRefusal> {
        if !budget.has_room(announced + CALL_OVERHEAD_BYTES) {
            return Err(IntakeRefusal::Full);
        }
        let mut guard = budget.open(kind, now);
        guard.charge_memory(CALL_OVERHEAD_BYTES, 0, now)?;
        Ok(Self {
            guard,
            buffer: BytesMut::new(),
            announced,
            charged: CALL_OVERHEAD_BYTES,
        })
    }

    /// Returns the length of the body so far, bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Nothing is added. After `Full` the same bytes may be added later; the other refusals are
    /// final.
    pub fn push(&mut self, data: &[u8], now: ClockTime) -> Result<(), IntakeRefusal> {
        let length = self.buffer.len() + data.len();
        // The pages of an announced length take memory only once they are written.
        let needed = if length <= self.announced {
            length
        } else if length <= self.buffer.capacity() {
            self.buffer.capacity()
        } else {
            length.max(2 * self.buffer.len()).max(MIN_BUFFER_BYTES)
        };
        let memory = needed + CALL_OVERHEAD_BYTES;
        let added = memory.saturating_sub(self.charged);
        self.guard.charge_memory(added, data.len(), now)?;
        self.charged += added;
        if self.buffer.capacity() < length {
            let capacity = needed.max(self.announced);
            self.buffer.reserve(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Returns whether the body may still be read.
    ///
    /// # Errors
    ///
    /// Fails once the body is evicted or too slow.
    pub fn check(&self, now: ClockTime) -> Result<(), IntakeRefusal> {
        self.guard.check(now)
    }

    /// Returns the whole body, whose charge is released once its last copy is dropped.
    ///
    /// # Errors
    ///
    /// Fails if it was evicted.
    pub fn finish(mut self) -> Result<Bytes, IntakeRefusal> {
        self.guard.complete()?;
        Ok(self.guard.attach(self.buffer.freeze()))
    }
}
