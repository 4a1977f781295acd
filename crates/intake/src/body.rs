//! The state of a body that is being read.

use crate::budget::{IntakeBudget, IntakeGuard, IntakeRefusal, IntakeUse};
use bytes::{Bytes, BytesMut};
use crocusyard_base::prelude::*;
use std::mem;

/// Memory that a body takes besides its bytes: its task and the objects of its call.
const CALL_OVERHEAD_BYTES: usize = 4 * 1_024;
/// Length from which on a body has its connection read into large buffers, bytes.
const LONG_BODY_BYTES: usize = 16 * 1_024;
/// Time without a byte after which a body gives way to one that has been announced.
const IDLE_BODY_TIME: ClockTime = ClockTime::from_secs(1);
/// Smallest and largest capacity of a segment, bytes. Segments of few sizes are reused after other
/// bodies; one buffer that grows leaves holes of many sizes behind.
const SEGMENT_BYTES: std::ops::RangeInclusive<usize> = 1_024..=65_536;

/// A body that is being read into segments, whose capacity is charged before they are allocated. The
/// bytes of tiny chunks are copied there, so that the buffers they arrived in are free again.
#[derive(Debug)]
pub struct BodyIntake {
    guard: IntakeGuard,
    segments: Vec<BytesMut>,
    length: usize,
    /// Length that was announced; 0 if there was none.
    announced: usize,
    /// Memory that is charged for the buffers of its connection once it is long.
    read_buffer_bytes: usize,
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
            // A body of which nothing has arrived yet must not displace one that arrives.
            budget.evict_idle(IDLE_BODY_TIME, now);
            return Err(IntakeRefusal::Full);
        }
        let limits = budget.limits();
        let mut guard = budget.open(kind, now);
        guard.charge_memory(CALL_OVERHEAD_BYTES, 0, now)?;
        Ok(Self {
            guard,
            segments: Vec::new(),
            length: 0,
            announced,
            read_buffer_bytes: if announced > 0 {
                limits.read_buffer_bytes
            } else {
                limits.chunk_buffer_bytes
            },
        })
    }

    /// Returns the length of the body so far, bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds bytes that have arrived.
    ///
    /// # Errors
    ///
    /// Nothing is added. After `Full` the same bytes may be added later; the other refusals are
    /// final.
    pub fn push(&mut self, data: &[u8], now: ClockTime) -> Result<(), IntakeRefusal> {
        let length = self.length + data.len();
        let last = self.segments.last();
        let free = last.map_or(0, |segment| segment.capacity() - segment.len());
        let (head, rest) = data.split_at(free.min(data.len()));
        let new_bytes = if rest.is_empty() {
            0
        } else {
            rest.len().max(self.next_segment_bytes())
        };
        let is_long = self.length <= LONG_BODY_BYTES && length > LONG_BODY_BYTES;
        let read_buffer = if is_long { self.read_buffer_bytes } else { 0 };
        self.guard
            .charge_memory(new_bytes + read_buffer, data.len(), now)?;
        if let Some(last) = self.segments.last_mut() {
            last.extend_from_slice(head);
        }
        if !rest.is_empty() {
            let mut segment = BytesMut::with_capacity(new_bytes);
            segment.extend_from_slice(rest);
            self.segments.push(segment);
        }
        self.length = length;
        Ok(())
    }

    /// Returns the capacity of the next segment, bytes: as much as is still announced, or twice that
    /// of the last one.
    fn next_segment_bytes(&self) -> usize {
        let wanted = if self.announced > self.length {
            self.announced - self.length
        } else {
            let last = self.segments.last();
            last.map_or(0, |segment| 2 * segment.capacity())
        };
        wanted.clamp(*SEGMENT_BYTES.start(), *SEGMENT_BYTES.end())
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
        if self.length > LONG_BODY_BYTES {
            self.guard.release(self.read_buffer_bytes);
        }
        if self.segments.len() <= 1 {
            let bytes = self.segments.pop().unwrap_or_default().freeze();
            return Ok(self.guard.attach(bytes));
        }
        let mut bytes = Vec::with_capacity(self.length);
        for segment in mem::take(&mut self.segments) {
            bytes.extend_from_slice(&segment);
        }
        let excess = self.guard.bytes().saturating_sub(self.length);
        self.guard
            .release(excess.saturating_sub(CALL_OVERHEAD_BYTES));
        Ok(self.guard.attach(bytes))
    }
}
