//! Fake of an engine. It runs loads that exceed its memory and records the violation.

use crocusyard_base::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An engine that keeps its copies and orders in memory.
pub struct FakeEngine {
    /// Target name.
    pub name: TargetName,
    /// Memory, bytes.
    pub capacity: u64,
    /// Whether the engine refuses old fencing numbers.
    pub checks_fencing: bool,
    /// Process number; rises with every restart.
    pub incarnation: u64,
    /// Number of the last report of this process.
    pub sequence: u64,
    /// Highest fencing number seen; survives restarts.
    pub fence: FencingNumber,
    /// Memory in bytes and state of each copy, by name.
    pub copies: BTreeMap<Arc<str>, (u64, CopyState)>,
    /// Result of each order of this process; `None` while the order runs.
    pub orders: BTreeMap<OrderId, Option<OrderResult>>,
    /// Time until which an overrun has an external cause: the capacity shrank, or a copy appeared
    /// without an order.
    pub overcommit_allowed_until: u64,
    /// Loads that exceeded the memory without an external cause.
    pub overcommitted: u64,
    /// Orders refused for an old fencing number.
    pub stale_refusals: u64,
    /// Orders received more than once.
    pub duplicates: u64,
}

/// Immediate reply to an order.
pub enum EngineReply {
    /// The answer is final.
    Answer(OrderAnswer),
    /// The order runs until `finish` is called.
    Started,
}

impl FakeEngine {
    /// Creates an engine without copies.
    pub fn new(name: TargetName, capacity: u64, checks_fencing: bool) -> Self {
        Self {
            name,
            capacity,
            checks_fencing,
            incarnation: 1,
            sequence: 0,
            fence: FencingNumber(0),
            copies: BTreeMap::new(),
            orders: BTreeMap::new(),
            overcommit_allowed_until: 0,
            overcommitted: 0,
            stale_refusals: 0,
            duplicates: 0,
        }
    }

    /// Returns the memory of all copies, bytes.
    pub fn used(&self) -> u64 {
        self.copies.values().map(|(bytes, _)| bytes).sum()
    }

    /// Raises the fencing number; returns whether the given number is not an old one.
    pub fn raise(&mut self, fencing: FencingNumber) -> bool {
        let is_current = fencing >= self.fence;
        self.fence = self.fence.max(fencing);
        is_current
    }

    /// Handles an order; `refuse` makes the engine refuse an order that it has not seen before.
    pub fn order(&mut self, now: u64, order: &EngineOrder, refuse: bool) -> EngineReply {
        if self.checks_fencing && !self.raise(order.fencing) {
            self.stale_refusals += 1;
            return EngineReply::Answer(OrderAnswer::StaleFencing);
        }
        if let Some(known_result) = self.orders.get(&order.id) {
            self.duplicates += 1;
            return EngineReply::Answer(
                known_result.map_or(OrderAnswer::Accepted, OrderAnswer::Ended),
            );
        }
        let existing = self.copies.get(&order.name).copied();
        let resident = matches!(existing, Some((_, CopyState::Resident)));
        let has_no_effect = match order.action {
            OrderAction::Load => resident,
            OrderAction::Unload => existing.is_none(),
        };
        let can_start = match order.action {
            OrderAction::Load => existing.is_none(),
            OrderAction::Unload => resident,
        };
        let immediate_result = if refuse {
            Some(OrderResult::Refused)
        } else if has_no_effect {
            Some(OrderResult::Done)
        } else if can_start {
            None
        } else {
            Some(OrderResult::Refused)
        };
        self.orders.insert(order.id, immediate_result);
        if let Some(result) = immediate_result {
            return EngineReply::Answer(OrderAnswer::Ended(result));
        }
        let (bytes, state) = match (order.action, existing) {
            (OrderAction::Unload, Some((bytes, _))) => (bytes, CopyState::Unloading),
            _ => (order.bytes, CopyState::Loading),
        };
        self.copies.insert(order.name.clone(), (bytes, state));
        if self.used() > self.capacity
            && state == CopyState::Loading
            && now >= self.overcommit_allowed_until
        {
            self.overcommitted += 1;
        }
        EngineReply::Started
    }

    /// Ends a running order; returns `false` if the process that ran it is gone.
    pub fn finish(&mut self, incarnation: u64, order: &EngineOrder) -> bool {
        if incarnation != self.incarnation {
            return false;
        }
        match order.action {
            OrderAction::Load => {
                if let Some(copy) = self.copies.get_mut(&order.name) {
                    copy.1 = CopyState::Resident;
                }
            }
            OrderAction::Unload => {
                self.copies.remove(&order.name);
            }
        }
        self.orders.insert(order.id, Some(OrderResult::Done));
        true
    }

    /// Restarts the process: copies and order ids are lost, and the fencing number is kept.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.copies.clear();
        self.orders.clear();
    }

    /// Returns the load report and the orders that it lists as ended.
    pub fn report(&mut self) -> (LoadReport, Vec<FinishedOrder>) {
        self.sequence += 1;
        let copies = self
            .copies
            .iter()
            .map(|(name, (bytes, state))| CopyReport {
                name: name.clone(),
                memory_bytes: *bytes,
                state: *state,
            })
            .collect();
        let finished = self
            .orders
            .iter()
            .filter_map(|(order, result)| result.map(|result| (*order, result)))
            .map(|(id, result)| FinishedOrder { id, result })
            .collect();
        let report = LoadReport {
            target: self.name.clone(),
            sequence: self.sequence,
            incarnation: self.incarnation,
            age: ClockTime::ZERO,
            running: 0,
            waiting: 0,
            queued_tokens: 0,
            prefill_rate: 1.0,
            decode_rate: 1.0,
            memory_bytes: self.capacity,
            copies,
            leaving: false,
        };
        (report, finished)
    }
}
