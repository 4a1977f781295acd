//! Orders to engines, and what may be ordered now.
//!
//! An engine has one unanswered order at most. An order whose answer was lost is sent again with
//! the same expected number of accepted orders, so that only one of the two can be carried out. A
//! new holder of the lease reads an engine's report before its first order to it.

use crate::call::CallNeed;
use crate::rules::EngineRule;
use crate::targets::TargetHoldings;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Window in which loads from the weight store are counted; the platform counts in the same.
const LOAD_WINDOW: ClockTime = ClockTime::from_secs(5);
/// Pause between reports asked of one engine.
const REPORT_PAUSE: ClockTime = ClockTime::from_ms(250);
/// Time after which an order that got no answer is sent again.
const ORDER_RETRY: ClockTime = ClockTime::from_ms(400);
/// Time for which a loaded adapter is not unloaded: the notice, the sends of the calls that wait for
/// it, and a short answer.
const ADAPTER_STAY: ClockTime = ClockTime::from_ms(300);
/// Pause after an engine refused an order.
const REFUSED_PAUSE: ClockTime = ClockTime::from_ms(300);

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model.
    UnloadModel(ModelName),
    /// Load an adapter.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

/// An order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    /// Engine.
    pub target: TargetName,
    /// Its address.
    pub address: SocketAddr,
    /// What it is told to do.
    pub action: OrderAction,
    /// Orders that the engine must have accepted before.
    pub expected: u64,
    /// Fencing number.
    pub fence: FencingNumber,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Accepted; an adapter order has been carried out or will be within milliseconds.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// Refused for another reason.
    Refused,
    /// No answer; it may be carried out later.
    Unknown,
}

/// Report of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Start of its incarnation, if it tells.
    pub incarnation: Option<u64>,
    /// What it holds.
    pub holdings: TargetHoldings,
    /// Whether an order is in progress.
    pub busy: bool,
}

#[derive(Clone, Debug)]
struct EngineState {
    incarnation: u64,
    holdings: TargetHoldings,
    /// Whether a report was read under this lease.
    known: bool,
    unanswered: Option<OrderAction>,
    retry_at: ClockTime,
    in_progress: Option<OrderAction>,
    done_at: ClockTime,
    asked_at: Option<ClockTime>,
    /// When adapters were loaded.
    loaded: BTreeMap<CallNeed, ClockTime>,
}

impl EngineState {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            holdings: TargetHoldings::default(),
            known: false,
            unanswered: None,
            retry_at: ClockTime::ZERO,
            in_progress: None,
            done_at: ClockTime::ZERO,
            asked_at: None,
            loaded: BTreeMap::new(),
        }
    }
}

/// All engines, at the lease holder.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    engines: BTreeMap<TargetName, EngineState>,
    loads: HashMap<ServiceName, VecDeque<ClockTime>>,
}

impl OrderTracker {
    /// Forgets everything, when the lease is taken or lost.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Follows the list of engines.
    pub fn sync_engines(&mut self, engines: &BTreeMap<TargetName, u64>) {
        self.engines.retain(|name, _| engines.contains_key(name));
        for (name, incarnation) in engines {
            let known = self
                .engines
                .get(name)
                .is_some_and(|state| state.incarnation == *incarnation);
            if !known {
                self.engines
                    .insert(name.clone(), EngineState::new(*incarnation));
            }
        }
    }

    /// Engines whose report is due; counts them as asked.
    pub fn reports_due(&mut self, now: ClockTime) -> Vec<TargetName> {
        let mut due = Vec::new();
        for (name, state) in &mut self.engines {
            let waits = state.in_progress.is_some() && now >= state.done_at;
            let rested = state
                .asked_at
                .is_none_or(|at| now.since(at) >= REPORT_PAUSE);
            if (!state.known || waits) && rested && now >= state.retry_at {
                state.asked_at = Some(now);
                due.push(name.clone());
            }
        }
        due
    }

    /// Takes a report; returns the holdings if it was new enough.
    pub fn receive_report(
        &mut self,
        name: &TargetName,
        report: &EngineReport,
    ) -> Option<TargetHoldings> {
        let state = self.engines.get_mut(name)?;
        if report
            .incarnation
            .is_some_and(|incarnation| incarnation != state.incarnation)
        {
            return None;
        }
        if state.known && report.holdings.accepted_orders < state.holdings.accepted_orders {
            return None;
        }
        if report.holdings.accepted_orders > state.holdings.accepted_orders {
            state.unanswered = None;
        }
        state.holdings = report.holdings.clone();
        state.known = true;
        if !report.busy {
            state.in_progress = None;
        } else if let Some(action @ OrderAction::UnloadModel(_)) = &state.in_progress {
            // The engine lists the model until its requests have ended, but starts no new ones.
            let action = action.clone();
            apply_order(&mut state.holdings, &action);
        }
        if report.busy && state.in_progress.is_none() {
            // Given by an earlier holder; the weights are counted once the engine lists them.
            state.in_progress = Some(OrderAction::UnloadModel(ModelName::new("")));
        }
        Some(state.holdings.clone())
    }

    /// Returns whether an engine can be given an order.
    pub fn accepts_orders(&self, name: &TargetName, now: ClockTime) -> bool {
        self.engines.get(name).is_some_and(|state| {
            state.known
                && state.unanswered.is_none()
                && state.in_progress.is_none()
                && now >= state.retry_at
        })
    }

    /// Holdings as the order book knows them.
    pub fn holdings(&self, name: &TargetName) -> Option<&TargetHoldings> {
        self.engines
            .get(name)
            .filter(|state| state.known)
            .map(|state| &state.holdings)
    }

    /// Model that an engine loads or may be loading.
    pub fn loading_model(&self, name: &TargetName) -> Option<&ModelName> {
        let state = self.engines.get(name)?;
        let action = state.unanswered.as_ref().or(state.in_progress.as_ref())?;
        match action {
            OrderAction::LoadModel(model) => Some(model),
            _ => None,
        }
    }

    /// Adapter that an engine may be loading.
    pub fn loading_adapter(&self, name: &TargetName) -> Option<CallNeed> {
        match self.engines.get(name)?.unanswered.as_ref()? {
            OrderAction::LoadAdapter(model, adapter) => Some(CallNeed::adapter(model, adapter)),
            _ => None,
        }
    }

    /// Adapters that an engine has loaded so lately that they stay.
    pub fn recent_adapters(&self, name: &TargetName, now: ClockTime) -> BTreeSet<CallNeed> {
        let Some(state) = self.engines.get(name) else {
            return BTreeSet::new();
        };
        state
            .loaded
            .iter()
            .filter(|(_, at)| now.since(**at) < ADAPTER_STAY)
            .map(|(need, _)| need.clone())
            .collect()
    }

    /// Loads that may begin now.
    pub fn loads_left(
        &mut self,
        service: &ServiceName,
        rule: &EngineRule,
        now: ClockTime,
    ) -> usize {
        let loads = self.loads.entry(service.clone()).or_default();
        while loads.front().is_some_and(|at| now.since(*at) > LOAD_WINDOW) {
            loads.pop_front();
        }
        let limit = rule.loads_per_s * LOAD_WINDOW.as_ms() as f64 / 1_000.0;
        (limit as usize).saturating_sub(loads.len())
    }

    /// Notes an order that is sent; returns the expected number of accepted orders, or none if the
    /// engine cannot be given an order now.
    pub fn begin(
        &mut self,
        service: &ServiceName,
        name: &TargetName,
        action: &OrderAction,
        now: ClockTime,
    ) -> Option<u64> {
        // Another order may have been given since the engine was seen to be free.
        if !self.accepts_orders(name, now) {
            return None;
        }
        let state = self.engines.get_mut(name)?;
        state.unanswered = Some(action.clone());
        state.retry_at = now + ORDER_RETRY;
        if matches!(action, OrderAction::LoadModel(_)) {
            self.loads
                .entry(service.clone())
                .or_default()
                .push_back(now);
        }
        Some(state.holdings.accepted_orders)
    }

    /// Orders without an answer that are to be sent again.
    pub fn take_retries(&mut self, now: ClockTime) -> Vec<(TargetName, OrderAction, u64)> {
        let mut repeats = Vec::new();
        for (name, state) in &mut self.engines {
            if let (Some(action), true) = (&state.unanswered, now >= state.retry_at) {
                state.retry_at = now + ORDER_RETRY;
                repeats.push((name.clone(), action.clone(), state.holdings.accepted_orders));
            }
        }
        repeats
    }

    /// Takes the answer to an order; returns the holdings if they changed.
    pub fn receive_answer(
        &mut self,
        name: &TargetName,
        action: &OrderAction,
        answer: OrderAnswer,
        load_time: ClockTime,
        now: ClockTime,
    ) -> Option<TargetHoldings> {
        let state = self.engines.get_mut(name)?;
        // A report that counts the order may have come before its answer.
        let is_awaited = state.unanswered.as_ref() == Some(action);
        if answer == OrderAnswer::Unknown || !is_awaited {
            return None;
        }
        state.unanswered = None;
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Holds => {
                // An adapter that is dropped at once also counts as an accepted order.
                let counted = answer == OrderAnswer::Accepted
                    || matches!(action, OrderAction::UnloadAdapter(..));
                if counted {
                    state.holdings.accepted_orders += 1;
                }
                state.retry_at = now;
                apply_order(&mut state.holdings, action);
                state.loaded.retain(|_, at| now.since(*at) < ADAPTER_STAY);
                if let OrderAction::LoadAdapter(model, adapter) = action {
                    state.loaded.insert(CallNeed::adapter(model, adapter), now);
                }
                let slow = matches!(
                    action,
                    OrderAction::LoadModel(_) | OrderAction::UnloadModel(_)
                );
                if slow && answer == OrderAnswer::Accepted {
                    state.in_progress = Some(action.clone());
                    state.done_at = now + load_time;
                }
                Some(state.holdings.clone())
            }
            OrderAnswer::Conflict | OrderAnswer::Refused | OrderAnswer::Unknown => {
                state.known = false;
                state.retry_at = now + REFUSED_PAUSE;
                None
            }
        }
    }
}

/// Applies an accepted order; a model that is loading is not held yet.
pub fn apply_order(holdings: &mut TargetHoldings, action: &OrderAction) {
    match action {
        OrderAction::LoadModel(_) => {}
        OrderAction::UnloadModel(model) => {
            holdings.models.remove(model);
        }
        OrderAction::LoadAdapter(model, adapter) => {
            if let Some(held) = holdings.models.get_mut(model) {
                held.insert(adapter.clone());
            }
        }
        OrderAction::UnloadAdapter(model, adapter) => {
            if let Some(held) = holdings.models.get_mut(model) {
                held.remove(adapter);
            }
        }
    }
}
