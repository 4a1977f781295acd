//! Models and adapters that the engine stand-in holds, and the orders that change them.

use super::{EngineOptions, EngineState, LoadableAdapter};
use crocusyard_border::engine::{
    CopyPhase, CopyStatus, EngineOrder, OrderAction, OrderState, OrderStatus,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that it takes to load an adapter on demand.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(10);
/// Finished orders that a load report lists; the oldest ones are dropped.
const MAX_FINISHED_ORDERS: usize = 64;
/// Interval at which a request checks an adapter that is being loaded or unloaded.
const ADAPTER_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Whether a request for a model or adapter can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readiness {
    /// The model or adapter is resident.
    Ready,
    /// The model, or the base model of an on-demand adapter, is not resident.
    Absent,
    /// The adapter does not fit beside the models and adapters in use.
    Full,
}

/// What a request for a model or adapter has to do next.
enum AdapterStep {
    /// Run if the model or adapter is ready, and fail otherwise.
    Done(Readiness),
    /// Load the adapter, for which memory is reserved.
    Load,
    /// Wait until the adapter is loaded or unloaded.
    Wait,
}

/// Models, adapters and orders of one engine.
pub(super) struct ResidencyState {
    /// Accelerator memory, bytes.
    capacity: u64,
    checks_fencing: bool,
    /// Highest fencing number seen.
    fencing: u64,
    copies: BTreeMap<String, CopyStatus>,
    /// State and, if refused, reason by order id.
    orders: BTreeMap<String, (OrderState, Option<String>)>,
    /// Ids of the last finished orders, oldest first.
    finished: VecDeque<String>,
    usage: UsageCounts,
    /// Adapters that can be loaded on demand.
    adapters: Vec<LoadableAdapter>,
    /// Adapters loaded on demand, least recently used first.
    on_demand: Vec<String>,
}

/// Peak memory, requests and orders since the start, for tests.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(super) struct UsageCounts {
    /// Highest memory use so far, bytes.
    peak_bytes: u64,
    /// Requests that were started.
    requests: u64,
    /// Orders that were accepted, finished or not.
    accepted: u64,
    /// Orders that were refused because memory was full.
    refused_full: u64,
    /// Orders that were refused because of their fencing number.
    refused_fencing: u64,
}

impl ResidencyState {
    pub(super) fn new(options: &EngineOptions) -> Self {
        let copies = options.resident.iter().map(|(name, memory_bytes)| {
            let copy = CopyStatus {
                name: name.clone(),
                memory_bytes: *memory_bytes,
                state: CopyPhase::Resident,
            };
            (name.clone(), copy)
        });
        let mut state = Self {
            capacity: options.memory_bytes,
            checks_fencing: options.checks_fencing,
            fencing: 0,
            copies: copies.collect(),
            orders: BTreeMap::new(),
            finished: VecDeque::new(),
            usage: UsageCounts::default(),
            adapters: options.adapters.clone(),
            on_demand: Vec::new(),
        };
        state.update_peak();
        state
    }

    pub(super) fn finished_orders(&self) -> Vec<String> {
        self.finished.iter().cloned().collect()
    }

    pub(super) fn count_request(&mut self) {
        self.usage.requests += 1;
    }

    pub(super) fn usage(&self) -> UsageCounts {
        self.usage
    }

    fn used_bytes(&self) -> u64 {
        self.copies.values().map(|copy| copy.memory_bytes).sum()
    }

    fn update_peak(&mut self) {
        self.usage.peak_bytes = self.usage.peak_bytes.max(self.used_bytes());
    }

    fn is_resident(&self, name: &str) -> bool {
        self.copies
            .get(name)
            .is_some_and(|copy| copy.state == CopyPhase::Resident)
    }

    /// Returns what a request for a model or adapter has to do next. `in_use` returns whether an
    /// adapter has running streams.
    fn next_step(&mut self, name: &str, in_use: impl Fn(&str) -> bool) -> AdapterStep {
        let adapter = self.adapters.iter().find(|adapter| adapter.name == name);
        let Some(adapter) = adapter.cloned() else {
            let ready = self.is_resident(name);
            return AdapterStep::Done(if ready {
                Readiness::Ready
            } else {
                Readiness::Absent
            });
        };
        if !self.is_resident(&adapter.model) {
            return AdapterStep::Done(Readiness::Absent);
        }
        if let Some(position) = self.on_demand.iter().position(|other| other == name) {
            // The adapter becomes the most recently used one.
            let used = self.on_demand.remove(position);
            self.on_demand.push(used);
        }
        match self.copies.get(name).map(|copy| copy.state) {
            Some(CopyPhase::Resident) => return AdapterStep::Done(Readiness::Ready),
            Some(_) => return AdapterStep::Wait,
            None => {}
        }
        if !self.make_room(adapter.memory_bytes, in_use) {
            return AdapterStep::Done(Readiness::Full);
        }
        let copy = CopyStatus {
            name: name.to_owned(),
            memory_bytes: adapter.memory_bytes,
            state: CopyPhase::Loading,
        };
        self.copies.insert(name.to_owned(), copy);
        self.on_demand.push(name.to_owned());
        self.update_peak();
        AdapterStep::Load
    }

    /// Removes idle on-demand adapters, least recently used first, until `bytes` fit; returns
    /// whether they do.
    fn make_room(&mut self, bytes: u64, in_use: impl Fn(&str) -> bool) -> bool {
        while self.used_bytes() + bytes > self.capacity {
            let is_idle = |name: &String| self.is_resident(name) && !in_use(name);
            let Some(position) = self.on_demand.iter().position(is_idle) else {
                return false;
            };
            let name = self.on_demand.remove(position);
            self.copies.remove(&name);
        }
        true
    }

    fn mark_adapter_resident(&mut self, name: &str) {
        if let Some(copy) = self.copies.get_mut(name) {
            copy.state = CopyPhase::Resident;
        }
    }

    pub(super) fn copies(&self) -> Vec<CopyStatus> {
        self.copies.values().cloned().collect()
    }

    pub(super) fn raise_fencing(&mut self, fencing: u64) {
        self.fencing = self.fencing.max(fencing);
    }

    /// Records a new order; returns whether it was accepted and must be carried out now.
    pub(super) fn accept(&mut self, order: &EngineOrder) -> bool {
        if self.orders.contains_key(&order.order_id) {
            return false;
        }
        let refusal = self.refusal(order);
        let state = if refusal.is_some() {
            OrderState::Refused
        } else {
            self.usage.accepted += 1;
            OrderState::Running
        };
        self.orders.insert(order.order_id.clone(), (state, refusal));
        if state == OrderState::Refused {
            return false;
        }
        self.raise_fencing(order.fencing);
        self.begin_order(order);
        true
    }

    /// Returns why an order is refused and counts the refusal; `None` if the order is accepted.
    fn refusal(&mut self, order: &EngineOrder) -> Option<String> {
        if self.checks_fencing && order.fencing < self.fencing {
            self.usage.refused_fencing += 1;
            return Some(format!("fencing number is below {}", self.fencing));
        }
        if !is_load(order.action) || self.copies.contains_key(&order.name) {
            return None;
        }
        if self.used_bytes() + order.memory_bytes <= self.capacity {
            return None;
        }
        self.usage.refused_full += 1;
        Some("memory is full".to_owned())
    }

    fn begin_order(&mut self, order: &EngineOrder) {
        if is_load(order.action) {
            self.copies
                .entry(order.name.clone())
                .or_insert_with(|| CopyStatus {
                    name: order.name.clone(),
                    memory_bytes: order.memory_bytes,
                    state: CopyPhase::Loading,
                });
            self.update_peak();
        } else if let Some(copy) = self.copies.get_mut(&order.name) {
            copy.state = CopyPhase::Unloading;
        }
    }

    pub(super) fn finish_order(&mut self, order: &EngineOrder) {
        if is_load(order.action) {
            if let Some(copy) = self.copies.get_mut(&order.name) {
                copy.state = CopyPhase::Resident;
            }
        } else {
            self.remove_copy(&order.name);
        }
        self.orders
            .insert(order.order_id.clone(), (OrderState::Finished, None));
        self.finished.push_back(order.order_id.clone());
        if self.finished.len() > MAX_FINISHED_ORDERS {
            self.finished.pop_front();
        }
    }

    /// Removes a model or adapter, and with a model also its on-demand adapters.
    fn remove_copy(&mut self, name: &str) {
        self.copies.remove(name);
        let on_demand = std::mem::take(&mut self.on_demand);
        for other in on_demand {
            let adapter = self.adapters.iter().find(|adapter| adapter.name == other);
            if other == name {
                continue;
            }
            if adapter.is_some_and(|adapter| adapter.model == name) {
                self.copies.remove(&other);
            } else {
                self.on_demand.push(other);
            }
        }
    }

    pub(super) fn status(&self, id: &str) -> OrderStatus {
        let (state, reason) = self
            .orders
            .get(id)
            .cloned()
            .unwrap_or((OrderState::Unseen, None));
        OrderStatus {
            order_id: id.to_owned(),
            state,
            reason,
            fencing: self.fencing,
        }
    }
}

fn is_load(action: OrderAction) -> bool {
    matches!(action, OrderAction::LoadModel | OrderAction::LoadAdapter)
}

/// Waits until a request for a model or adapter can run or must fail. An on-demand adapter is
/// loaded beside its base model if it fits.
pub(super) async fn prepare(state: &EngineState, name: &str) -> Readiness {
    loop {
        let step = {
            let streams = state.streams.lock().expect("the stream lock is poisoned");
            let in_use = |name: &str| streams.uses(name);
            let mut residency = state
                .residency
                .lock()
                .expect("the residency lock is poisoned");
            residency.next_step(name, in_use)
        };
        match step {
            AdapterStep::Done(readiness) => return readiness,
            AdapterStep::Wait => actix_rt::time::sleep(ADAPTER_POLL_INTERVAL).await,
            AdapterStep::Load => {
                actix_rt::time::sleep(ADAPTER_LOAD_TIME).await;
                let mut residency = state
                    .residency
                    .lock()
                    .expect("the residency lock is poisoned");
                residency.mark_adapter_resident(name);
            }
        }
    }
}

/// Waits while the weights of a load order are transferred; an unload takes no time.
pub(super) async fn transfer(weight_store: Option<SocketAddr>, order: &EngineOrder) {
    if !is_load(order.action) {
        return;
    }
    let Some(store) = weight_store else {
        actix_rt::time::sleep(Duration::from_millis(order.load_ms)).await;
        return;
    };
    let url = format!(
        "http://{store}/weights/{}?full_speed_ms={}",
        order.name, order.load_ms
    );
    let client = awc::Client::builder().disable_timeout().finish();
    while client.post(&url).send().await.is_err() {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
}
