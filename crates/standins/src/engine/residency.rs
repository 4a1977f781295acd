//! Models and adapters on the engine stand-in, and the orders that change them.

use super::EngineOptions;
use crocusyard_border::engine::{
    CopyPhase, CopyStatus, EngineOrder, OrderAction, OrderState, OrderStatus,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Copies and orders of one engine.
pub(super) struct ResidencyState {
    capacity: u64,
    checks_fencing: bool,
    fencing: u64,
    copies: BTreeMap<String, CopyStatus>,
    orders: BTreeMap<String, (OrderState, Option<String>)>,
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
        Self {
            capacity: settings.memory_bytes,
            checks_fencing: settings.checks_fencing,
            fencing: 0,
            copies: copies.collect(),
            orders: BTreeMap::new(),
        }
    }

    pub(super) fn serves(&self, name: &str) -> bool {
        self.copies
            .get(name)
            .is_some_and(|copy| copy.state == CopyPhase::Resident)
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

    fn refusal(&self, order: &EngineOrder) -> Option<String> {
        if self.checks_fencing && order.fencing < self.fencing {
            return Some(format!("fencing number is below {}", self.fencing));
        }
        if !is_load(order.action) || self.copies.contains_key(&order.name) {
            return None;
        }
        let used: u64 = self.copies.values().map(|copy| copy.memory_bytes).sum();
        (used + order.memory_bytes > self.capacity).then(|| "memory is full".to_owned())
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
            self.copies.remove(&order.name);
        }
        self.orders
            .insert(order.order_id.clone(), (OrderState::Finished, None));
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
