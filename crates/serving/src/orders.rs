//! Tracks the orders to engines and decides which orders may be given now.
//!
//! An engine has at most one unanswered order. An order whose answer was lost is sent again with
//! the same expected number of accepted orders, so that the engine can carry out only one of the
//! two. A new holder of the lease reads the report of an engine before it gives that engine an
//! order.

use crate::call::CallNeed;
use crate::rules::EngineRule;
use crate::targets::TargetHoldings;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Window in which loads from the weight store are counted; the platform counts them in the same
/// window.
const LOAD_WINDOW: ClockTime = ClockTime::from_secs(5);
/// Fraction of the time of a load from the weight store by which a load has to be over to count as
/// one from the engine's own memory or disk.
const OWN_WEIGHTS_FRACTION: f64 = 0.4;
/// Time after which the end of a load from the disk is known at the latest: two intervals of the
/// engine's reports, and their delay.
const REPORT_DELAY: ClockTime = ClockTime::from_ms(600);
/// Shortest interval between two report requests to one engine.
const REPORT_INTERVAL: ClockTime = ClockTime::from_ms(250);
/// Time after which an order without an answer is sent again.
const ORDER_RETRY_DELAY: ClockTime = ClockTime::from_ms(400);
/// Time for which an adapter is not unloaded after its load. It covers the report of the new
/// holdings to all hosts, the sends of the calls that wait for the adapter, and a short answer.
const MIN_ADAPTER_STAY: ClockTime = ClockTime::from_ms(300);
/// Time for which an engine gets no further order after it has refused one.
const REFUSED_ORDER_DELAY: ClockTime = ClockTime::from_ms(300);

/// Action that an order asks an engine to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load the weights of a model.
    LoadModel(ModelName),
    /// Unload a model with all its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a model that the engine holds.
    LoadAdapter(ModelName, AdapterName),
    /// Unload an adapter and keep its model.
    UnloadAdapter(ModelName, AdapterName),
}

/// An order to be sent to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOrder {
    /// Engine that gets the order.
    pub target: TargetName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Action that the engine takes if it accepts the order.
    pub action: OrderAction,
    /// Number of orders that the engine must have accepted before; it refuses the order otherwise.
    pub expected: u64,
    /// Fencing number of the lease holder that gives the order.
    pub fence: FencingNumber,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was accepted; an adapter order has been carried out or will be within
    /// milliseconds.
    Accepted,
    /// The engine already is in the state that the order asks for.
    Holds,
    /// Another order is in progress, or the number of accepted orders is not the expected one.
    Conflict,
    /// The order was refused for another reason.
    Refused,
    /// No answer arrived; the order may still be carried out.
    Unknown,
}

/// Report of an engine about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Incarnation of the engine, given as its start in Unix ms; `None` if the report lacks it.
    pub incarnation: Option<u64>,
    /// Models and adapters that the engine holds.
    pub holdings: TargetHoldings,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
}

/// State of one engine, as known to the lease holder.
#[derive(Clone, Debug)]
struct EngineState {
    incarnation: u64,
    holdings: TargetHoldings,
    /// Whether the holdings are known; false until a report has been read under this lease, and
    /// again after a refused order.
    known: bool,
    /// Order that has been sent and not been answered.
    unanswered: Option<OrderAction>,
    /// Time before which the engine gets no order and no report request.
    retry_at: ClockTime,
    /// Accepted order that the engine is still carrying out.
    in_progress: Option<OrderAction>,
    /// Time at which the order in progress is expected to be done.
    done_at: ClockTime,
    /// When the last report was requested.
    report_requested_at: Option<ClockTime>,
    /// When the last adapters were loaded.
    loaded_at: BTreeMap<CallNeed, ClockTime>,
    /// When this host first saw each held model on the engine.
    models_since: BTreeMap<ModelName, ClockTime>,
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
            report_requested_at: None,
            loaded_at: BTreeMap::new(),
            models_since: BTreeMap::new(),
        }
    }

    /// Records since when the engine holds the models that it holds now.
    fn note_models(&mut self, now: ClockTime) {
        let held = &self.holdings.models;
        self.models_since
            .retain(|model, _| held.contains_key(model));
        for model in held.keys() {
            self.models_since.entry(model.clone()).or_insert(now);
        }
    }
}

/// A load that counts against the limit of the weight store.
#[derive(Clone, Debug)]
struct CountedLoad {
    begun: ClockTime,
    engine: TargetName,
    model: ModelName,
    /// When the engine was first seen to hold the model.
    seen_at: Option<ClockTime>,
}

impl CountedLoad {
    /// Returns whether the load was over so soon that the weights did not come from the weight
    /// store.
    ///
    /// What an engine wrote about its memory and disk may be outdated, so that each load counts
    /// until its duration shows where the weights came from.
    fn had_own_weights(&self, rule: &EngineRule) -> bool {
        let (Some(seen_at), Some(model)) = (self.seen_at, rule.models.get(&self.model)) else {
            return false;
        };
        let from_disk = model.disk_time.max(model.warm_time) + REPORT_DELAY;
        let limit = from_disk.min(model.load_time.scale(OWN_WEIGHTS_FRACTION));
        seen_at.since(self.begun) < limit
    }
}

/// Orders to all engines, tracked by the lease holder.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    engines: BTreeMap<TargetName, EngineState>,
    /// Loads within the window that may be from the weight store.
    loads: HashMap<ServiceName, VecDeque<CountedLoad>>,
    /// Latest time at which the former holder of the lease may have begun loads.
    former_loads: Option<ClockTime>,
}

impl OrderTracker {
    /// Forgets all engines; to be called when the lease is taken or lost.
    ///
    /// `former_loads` is the latest time at which another holder may have begun loads; `None` if
    /// there was none.
    pub fn start_term(&mut self, former_loads: Option<ClockTime>) {
        self.engines.clear();
        self.former_loads = self.former_loads.max(former_loads);
    }

    /// Adopts the list of engines, given with their incarnations.
    ///
    /// Engines that are not listed are forgotten; a new incarnation starts without known holdings.
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

    /// Returns the engines whose report is due, and counts their reports as requested.
    pub fn reports_due(&mut self, now: ClockTime) -> Vec<TargetName> {
        let mut due = Vec::new();
        for (name, state) in &mut self.engines {
            let is_overdue = state.in_progress.is_some() && now >= state.done_at;
            let interval_over = state
                .report_requested_at
                .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
            if (!state.known || is_overdue) && interval_over && now >= state.retry_at {
                state.report_requested_at = Some(now);
                due.push(name.clone());
            }
        }
        due
    }

    /// Applies the report of an engine; returns its holdings unless the report is outdated.
    pub fn receive_report(
        &mut self,
        name: &TargetName,
        report: &EngineReport,
        now: ClockTime,
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
            if let Some(OrderAction::LoadModel(model)) = state.in_progress.take() {
                if report.holdings.models.contains_key(&model) {
                    note_loaded(&mut self.loads, name, &model, now);
                }
            }
        } else if let Some(action @ OrderAction::UnloadModel(_)) = &state.in_progress {
            // The engine lists the model until its requests have ended, but starts no new requests.
            let action = action.clone();
            apply_order(&mut state.holdings, &action);
        }
        if report.busy && state.in_progress.is_none() {
            // The order came from an earlier holder of the lease. Its weights are counted once the
            // engine lists them.
            state.in_progress = Some(OrderAction::UnloadModel(ModelName::new("")));
        }
        state.note_models(now);
        Some(state.holdings.clone())
    }

    /// Returns whether an engine can be given an order now.
    pub fn accepts_orders(&self, name: &TargetName, now: ClockTime) -> bool {
        self.engines.get(name).is_some_and(|state| {
            state.known
                && state.unanswered.is_none()
                && state.in_progress.is_none()
                && now >= state.retry_at
        })
    }

    /// Returns the holdings of an engine with all answered orders applied, or `None` if they are
    /// not known.
    pub fn holdings(&self, name: &TargetName) -> Option<&TargetHoldings> {
        self.engines
            .get(name)
            .filter(|state| state.known)
            .map(|state| &state.holdings)
    }

    /// Returns the model that an engine is loading or, by an unanswered order, may be loading.
    pub fn loading_model(&self, name: &TargetName) -> Option<&ModelName> {
        let state = self.engines.get(name)?;
        let action = state.unanswered.as_ref().or(state.in_progress.as_ref())?;
        match action {
            OrderAction::LoadModel(model) => Some(model),
            _ => None,
        }
    }

    /// Returns whether an engine is unloading a model or, by an unanswered order, may be.
    pub fn is_unloading(&self, name: &TargetName) -> bool {
        self.engines.get(name).is_some_and(|state| {
            let action = state.unanswered.as_ref().or(state.in_progress.as_ref());
            matches!(action, Some(OrderAction::UnloadModel(_)))
        })
    }

    /// Returns for how long an engine has held each model, as far as this host knows.
    pub fn held_for(&self, name: &TargetName, now: ClockTime) -> BTreeMap<ModelName, ClockTime> {
        let state = self.engines.get(name);
        let held = state.into_iter().flat_map(|state| &state.models_since);
        held.map(|(model, since)| (model.clone(), now.since(*since)))
            .collect()
    }

    /// Returns the adapter that an engine may be loading by an unanswered order.
    pub fn loading_adapter(&self, name: &TargetName) -> Option<CallNeed> {
        match self.engines.get(name)?.unanswered.as_ref()? {
            OrderAction::LoadAdapter(model, adapter) => Some(CallNeed::adapter(model, adapter)),
            _ => None,
        }
    }

    /// Returns the adapters that an engine has loaded too recently to unload them.
    pub fn recent_adapters(&self, name: &TargetName, now: ClockTime) -> BTreeSet<CallNeed> {
        let Some(state) = self.engines.get(name) else {
            return BTreeSet::new();
        };
        state
            .loaded_at
            .iter()
            .filter(|(_, at)| now.since(**at) < MIN_ADAPTER_STAY)
            .map(|(need, _)| need.clone())
            .collect()
    }

    /// Returns how many loads from the weight store may begin now.
    ///
    /// The loads of the former holder are not known. It is assumed to have begun as many as allowed.
    pub fn loads_left(
        &mut self,
        service: &ServiceName,
        rule: &EngineRule,
        now: ClockTime,
    ) -> usize {
        if self
            .former_loads
            .is_some_and(|at| now.since(at) <= LOAD_WINDOW)
        {
            return 0;
        }
        let loads = self.loads.entry(service.clone()).or_default();
        loads.retain(|load| now.since(load.begun) <= LOAD_WINDOW && !load.had_own_weights(rule));
        let limit = rule.loads_per_s * LOAD_WINDOW.as_ms() as f64 / 1_000.0;
        (limit as usize).saturating_sub(loads.len())
    }

    /// Records an order that is about to be sent.
    ///
    /// Returns the expected number of accepted orders, or `None` if the engine cannot be given an
    /// order now.
    pub fn begin(
        &mut self,
        service: &ServiceName,
        name: &TargetName,
        action: &OrderAction,
        now: ClockTime,
    ) -> Option<u64> {
        // Another order may have been given since the caller checked the engine.
        if !self.accepts_orders(name, now) {
            return None;
        }
        let state = self.engines.get_mut(name)?;
        state.unanswered = Some(action.clone());
        state.retry_at = now + ORDER_RETRY_DELAY;
        if let OrderAction::LoadModel(model) = action {
            let load = CountedLoad {
                begun: now,
                engine: name.clone(),
                model: model.clone(),
                seen_at: None,
            };
            let loads = self.loads.entry(service.clone()).or_default();
            loads.push_back(load);
        }
        Some(state.holdings.accepted_orders)
    }

    /// Returns the orders without an answer that are to be sent again now, each with the expected
    /// number of accepted orders.
    pub fn take_retries(&mut self, now: ClockTime) -> Vec<(TargetName, OrderAction, u64)> {
        let mut retries = Vec::new();
        for (name, state) in &mut self.engines {
            if let (Some(action), true) = (&state.unanswered, now >= state.retry_at) {
                state.retry_at = now + ORDER_RETRY_DELAY;
                retries.push((name.clone(), action.clone(), state.holdings.accepted_orders));
            }
        }
        retries
    }

    /// Applies the answer to an order; returns the holdings if the order was accepted or not
    /// needed.
    ///
    /// `load_time` is the expected time from the acceptance to the end of the order.
    pub fn receive_answer(
        &mut self,
        name: &TargetName,
        action: &OrderAction,
        answer: OrderAnswer,
        load_time: ClockTime,
        now: ClockTime,
    ) -> Option<TargetHoldings> {
        let state = self.engines.get_mut(name)?;
        // A report that already counts the order may have arrived before the answer.
        let is_awaited = state.unanswered.as_ref() == Some(action);
        if answer == OrderAnswer::Unknown || !is_awaited {
            return None;
        }
        state.unanswered = None;
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Holds => {
                // The engine counts an adapter that is unloaded at once as an accepted order,
                // although its answer is `Holds`.
                let counted = answer == OrderAnswer::Accepted
                    || matches!(action, OrderAction::UnloadAdapter(..));
                if counted {
                    state.holdings.accepted_orders += 1;
                }
                state.retry_at = now;
                apply_order(&mut state.holdings, action);
                state
                    .loaded_at
                    .retain(|_, at| now.since(*at) < MIN_ADAPTER_STAY);
                if let OrderAction::LoadAdapter(model, adapter) = action {
                    state
                        .loaded_at
                        .insert(CallNeed::adapter(model, adapter), now);
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
                state.retry_at = now + REFUSED_ORDER_DELAY;
                None
            }
        }
    }
}

/// Records the end of the last load of a model on an engine.
fn note_loaded(
    loads: &mut HashMap<ServiceName, VecDeque<CountedLoad>>,
    engine: &TargetName,
    model: &ModelName,
    now: ClockTime,
) {
    let mut all = loads.values_mut().flat_map(|loads| loads.iter_mut().rev());
    let load = all.find(|load| load.engine == *engine && load.model == *model);
    if let Some(load) = load {
        load.seen_at.get_or_insert(now);
    }
}

/// Applies an accepted order to the holdings of an engine. A model that is loading is not held yet.
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
