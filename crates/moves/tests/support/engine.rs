//! Fake of an engine. It never refuses for want of memory: it records the violation instead.

use crocusyard_base::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_routing::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

pub struct FakeEngine {
    pub name: TargetName,
    pub capacity: u64,
    pub checks: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub fence: FencingNumber,
    pub copies: BTreeMap<Arc<str>, (u64, CopyState)>,
    pub orders: BTreeMap<OrderId, Option<OrderResult>>,
    /// Until when an overrun is explained by a capacity that shrank or a copy nobody ordered.
    pub excused_until: u64,
    pub overcommitted: u64,
    pub stale_refused: u64,
    pub duplicates: u64,
}

pub enum EngineReply {
    Answer(OrderAnswer),
    /// The order runs; it ends when `finish` is called.
    Started,
}

impl FakeEngine {
    pub fn new(name: TargetName, capacity: u64, checks: bool) -> Self {
        Self {
            name,
            capacity,
            checks,
            incarnation: 1,
            sequence: 0,
            fence: FencingNumber(0),
            copies: BTreeMap::new(),
            orders: BTreeMap::new(),
            excused_until: 0,
            overcommitted: 0,
            stale_refused: 0,
            duplicates: 0,
        }
    }

    pub fn used(&self) -> u64 {
        self.copies.values().map(|(bytes, _)| bytes).sum()
    }

    pub fn raise(&mut self, fencing: FencingNumber) -> bool {
        let newer = fencing >= self.fence;
        self.fence = self.fence.max(fencing);
        newer
    }

    pub fn order(&mut self, now: u64, order: &EngineOrder, refuse: bool) -> EngineReply {
        if self.checks && !self.raise(order.fencing) {
            self.stale_refused += 1;
            return EngineReply::Answer(OrderAnswer::StaleFencing);
        }
        if let Some(known) = self.orders.get(&order.id) {
            self.duplicates += 1;
            return EngineReply::Answer(known.map_or(OrderAnswer::Accepted, OrderAnswer::Ended));
        }
        let present = self.copies.get(&order.name).copied();
        let resident = matches!(present, Some((_, CopyState::Resident)));
        let nothing_to_do = match order.action {
            OrderAction::Load => resident,
            OrderAction::Unload => present.is_none(),
        };
        let runs = match order.action {
            OrderAction::Load => present.is_none(),
            OrderAction::Unload => resident,
        };
        let done = if refuse {
            Some(OrderResult::Refused)
        } else if nothing_to_do {
            Some(OrderResult::Done)
        } else if runs {
            None
        } else {
            Some(OrderResult::Refused)
        };
        self.orders.insert(order.id, done);
        if let Some(result) = done {
            return EngineReply::Answer(OrderAnswer::Ended(result));
        }
        let (bytes, state) = match (order.action, present) {
            (OrderAction::Unload, Some((bytes, _))) => (bytes, CopyState::Unloading),
            _ => (order.bytes, CopyState::Loading),
        };
        self.copies.insert(order.name.clone(), (bytes, state));
        if self.used() > self.capacity && state == CopyState::Loading && now >= self.excused_until {
            self.overcommitted += 1;
        }
        EngineReply::Started
    }

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

    /// Restarts the process: copies and order ids are gone, a checked fencing number stays.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.copies.clear();
        self.orders.clear();
    }

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
