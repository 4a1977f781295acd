//! Models and adapters on the engine stand-in, and the orders that change them.

use super::{EngineOptions, EngineState, LoadableAdapter};
use crocusyard_border::engine::{
    CopyPhase, CopyStatus, EngineOrder, OrderAction, OrderState, OrderStatus,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time to load an adapter for a request.
const ADAPTER_LOAD: Duration = Duration::from_millis(10);
/// Finished orders that a load report lists.
const FINISHED_KEPT: usize = 64;
/// Time between two looks at an adapter that another request loads.
const ADAPTER_LOOK: Duration = Duration::from_millis(2);

/// Whether a request for a model or adapter can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readiness {
    /// It is resident.
    Ready,
    /// Neither it nor, for an adapter, its base model is resident.
    Absent,
    /// The adapter does not fit beside what is in use.
    Full,
}

/// What a request for an adapter has to do.
enum AdapterStep {
    Done(Readiness),
    Load,
    Wait,
}

/// Copies and orders of one engine.
pub(super) struct ResidencyState {
    capacity: u64,
    checks_fencing: bool,
    fencing: u64,
    copies: BTreeMap<String, CopyStatus>,
    orders: BTreeMap<String, (OrderState, Option<String>)>,
    finished: VecDeque<String>,
    usage: UsageCounts,
    adapters: Vec<LoadableAdapter>,
    /// Adapters that were loaded for requests, least recently used first.
    on_demand: Vec<String>,
}

/// Memory use, requests and orders since the start, for tests.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(super) struct UsageCounts {
    /// Greatest memory in use at once, bytes.
    peak_bytes: u64,
    /// Requests that were started.
    requests: u64,
    /// Orders that were carried out or are running.
    accepted: u64,
    /// Orders that were refused because memory was full.
    refused_full: u64,
    /// Orders that were refused because of their fencing number.
    refused_fencing: u64,
}

impl ResidencyState {
    pub(super) fn new(settings: &EngineOptions) -> Self {
        let copies = settings.resident.iter().map(|(name, memory_bytes)| {
            let copy = CopyStatus {
                name: name.clone(),
                memory_bytes: *memory_bytes,
                state: CopyPhase::Resident,
            };
            (name.clone(), copy)
        });
        let mut state = Self {
            capacity: settings.memory_bytes,
            checks_fencing: settings.checks_fencing,
            fencing: 0,
            copies: copies.collect(),
            orders: BTreeMap::new(),
            finished: VecDeque::new(),
            usage: UsageCounts::default(),
            adapters: settings.adapters.clone(),
            on_demand: Vec::new(),
        };
        state.note_use();
        state
    }

    pub(super) fn finished_orders(&self) -> Vec<String> {
        self.finished.iter().cloned().collect()
    }

    pub(super) fn note_request(&mut self) {
        self.usage.requests += 1;
    }

    pub(super) fn usage(&self) -> UsageCounts {
        self.usage
    }

    fn used(&self) -> u64 {
        self.copies.values().map(|copy| copy.memory_bytes).sum()
    }

    fn note_use(&mut self) {
        self.usage.peak_bytes = self.usage.peak_bytes.max(self.used());
    }

    fn is_resident(&self, name: &str) -> bool {
        self.copies
            .get(name)
            .is_some_and(|copy| copy.state == CopyPhase::Resident)
    }

    /// Decides about a request; `in_use` tells which adapters have running streams.
    fn step(&mut self, name: &str, in_use: impl Fn(&str) -> bool) -> AdapterStep {
        let option = self.adapters.iter().find(|adapter| adapter.name == name);
        let Some(option) = option.cloned() else {
            let ready = self.is_resident(name);
            return AdapterStep::Done(if ready {
                Readiness::Ready
            } else {
                Readiness::Absent
            });
        };
        if !self.is_resident(&option.model) {
            return AdapterStep::Done(Readiness::Absent);
        }
        if let Some(position) = self.on_demand.iter().position(|other| other == name) {
            let used = self.on_demand.remove(position);
            self.on_demand.push(used);
        }
        match self.copies.get(name).map(|copy| copy.state) {
            Some(CopyPhase::Resident) => return AdapterStep::Done(Readiness::Ready),
            Some(_) => return AdapterStep::Wait,
            None => {}
        }
        if !self.free_for(option.memory_bytes, in_use) {
            return AdapterStep::Done(Readiness::Full);
        }
        let copy = CopyStatus {
            name: name.to_owned(),
            memory_bytes: option.memory_bytes,
            state: CopyPhase::Loading,
        };
        self.copies.insert(name.to_owned(), copy);
        self.on_demand.push(name.to_owned());
        self.note_use();
        AdapterStep::Load
    }

    /// Drops idle adapters that requests brought in until `bytes` fit; returns whether they do.
    fn free_for(&mut self, bytes: u64, in_use: impl Fn(&str) -> bool) -> bool {
        while self.used() + bytes > self.capacity {
            let idle = |name: &String| self.is_resident(name) && !in_use(name);
            let Some(position) = self.on_demand.iter().position(idle) else {
                return false;
            };
            let name = self.on_demand.remove(position);
            self.copies.remove(&name);
        }
        true
    }

    fn finish_adapter(&mut self, name: &str) {
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

    /// Takes an order; returns whether it has to be carried out now.
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
        self.begin(order);
        true
    }

    fn refusal(&mut self, order: &EngineOrder) -> Option<String> {
        if self.checks_fencing && order.fencing < self.fencing {
            self.usage.refused_fencing += 1;
            return Some(format!("fencing number is below {}", self.fencing));
        }
        if !is_load(order.action) || self.copies.contains_key(&order.name) {
            return None;
        }
        if self.used() + order.memory_bytes <= self.capacity {
            return None;
        }
        self.usage.refused_full += 1;
        Some("memory is full".to_owned())
    }

    fn begin(&mut self, order: &EngineOrder) {
        if is_load(order.action) {
            self.copies
                .entry(order.name.clone())
                .or_insert_with(|| CopyStatus {
                    name: order.name.clone(),
                    memory_bytes: order.memory_bytes,
                    state: CopyPhase::Loading,
                });
            self.note_use();
        } else if let Some(copy) = self.copies.get_mut(&order.name) {
            copy.state = CopyPhase::Unloading;
        }
    }

    pub(super) fn finish(&mut self, order: &EngineOrder) {
        if is_load(order.action) {
            if let Some(copy) = self.copies.get_mut(&order.name) {
                copy.state = CopyPhase::Resident;
            }
        } else {
            self.remove(&order.name);
        }
        self.orders
            .insert(order.order_id.clone(), (OrderState::Finished, None));
        self.finished.push_back(order.order_id.clone());
        if self.finished.len() > FINISHED_KEPT {
            self.finished.pop_front();
        }
    }

    /// Removes a copy, and with a model the adapters that requests brought in for it.
    fn remove(&mut self, name: &str) {
        self.copies.remove(name);
        let adapters = std::mem::take(&mut self.on_demand);
        for adapter in adapters {
            let option = self.adapters.iter().find(|option| option.name == adapter);
            if adapter == name {
                continue;
            }
            if option.is_some_and(|option| option.model == name) {
                self.copies.remove(&adapter);
            } else {
                self.on_demand.push(adapter);
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

/// Makes a model or adapter ready for a request; an adapter is loaded beside its base model if it
/// fits.
pub(super) async fn prepare(state: &EngineState, name: &str) -> Readiness {
    loop {
        let step = {
            let streams = state.streams.lock().expect("stream lock");
            let in_use = |name: &str| streams.uses(name);
            let mut residency = state.residency.lock().expect("residency lock");
            residency.step(name, in_use)
        };
        match step {
            AdapterStep::Done(readiness) => return readiness,
            AdapterStep::Wait => actix_rt::time::sleep(ADAPTER_LOOK).await,
            AdapterStep::Load => {
                actix_rt::time::sleep(ADAPTER_LOAD).await;
                let mut residency = state.residency.lock().expect("residency lock");
                residency.finish_adapter(name);
            }
        }
    }
}

/// Waits as long as the transfer of the weights takes; an unload takes no time.
pub(super) async fn transfer(weights: Option<SocketAddr>, order: &EngineOrder) {
    if !is_load(order.action) {
        return;
    }
    let Some(store) = weights else {
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
