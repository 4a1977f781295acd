//! The queue of requests that wait for a target.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use std::collections::VecDeque;
use std::sync::Arc;

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedWork {
    /// Request.
    pub key: RequestKey,
    /// Tenant.
    pub tenant: TenantName,
    /// Class.
    pub class: ClassName,
    /// Model, adapter or service; work for one that is blocked does not hold up the others.
    pub resource: Arc<str>,
    /// Point at which the caller gives up.
    pub deadline: ClockTime,
    /// Cost in fair queueing, tokens; 1 for a plain call.
    pub cost: u32,
}

/// Why work was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The tenant has too many requests in progress.
    TenantLimit,
    /// The queue of the class is full.
    QueueFull,
    /// The estimated wait exceeds the deadline.
    DeadlineUnreachable,
    /// The deadline passed in the queue.
    DeadlinePassed,
    /// The class or tenant is not declared.
    Unknown,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRefusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Wait after which a retry can help.
    pub retry_after: Option<ClockTime>,
}

/// Queue of one host.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    queue: VecDeque<QueuedWork>,
}

impl AdmissionQueue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the declared tenants and classes.
    pub fn set_limits(&mut self, _tenants: &[TenantSpec], _classes: &[ClassSpec]) {}

    /// Queues work or refuses it; `estimate` is the expected wait for a target.
    pub fn offer(
        &mut self,
        _now: ClockTime,
        work: QueuedWork,
        _estimate: ClockTime,
    ) -> Result<(), AdmissionRefusal> {
        self.queue.push_back(work);
        Ok(())
    }

    /// Takes the next work for which `ready` holds; work whose resource is not ready is passed over.
    pub fn next(
        &mut self,
        _now: ClockTime,
        ready: &mut dyn FnMut(&QueuedWork) -> bool,
    ) -> Option<QueuedWork> {
        let index = self.queue.iter().position(ready)?;
        self.queue.remove(index)
    }

    /// Takes work whose deadline has passed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<QueuedWork> {
        let (expired, kept): (Vec<_>, Vec<_>) =
            self.queue.drain(..).partition(|work| work.deadline <= now);
        self.queue = kept.into();
        expired
    }

    /// Removes work that its caller abandoned; returns whether it was queued.
    pub fn remove(&mut self, key: RequestKey) -> bool {
        let before = self.queue.len();
        self.queue.retain(|work| work.key != key);
        self.queue.len() < before
    }

    /// Notes that admitted work has ended, which frees its tenant's place.
    pub fn note_ended(&mut self, _now: ClockTime, _work: &QueuedWork) {}

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
