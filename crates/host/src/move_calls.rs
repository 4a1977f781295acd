//! Performs the effects of the move feature: table calls, orders to engines, metrics and logs.

use crate::actor::HostActor;
use crate::effects::TaskEvent;
use actix::{AsyncContext, Context, Handler, Message};
use crocusyard_base::prelude::*;
use crocusyard_border::engine as border;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_metrics::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_targets::management;
use std::time::Duration;

/// Timeout of a call that sends an order to an engine. The engine answers before it loads.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// An engine confirmed that it refuses orders below a fencing number.
#[derive(Message)]
#[rtype(result = "()")]
struct FencingRaised {
    target: TargetName,
    fencing: FencingNumber,
}

impl Handler<FencingRaised> for HostActor {
    type Result = ();

    fn handle(&mut self, raised: FencingRaised, context: &mut Context<Self>) {
        let Some(report) = self.state.routes.report_of(&raised.target) else {
            return;
        };
        let event = MoveEvent::FencingConfirmed {
            incarnation: report.incarnation,
            target: raised.target,
            fencing: raised.fencing,
        };
        self.apply_event(HostEvent::Move(event), context);
    }
}

impl HostActor {
    /// Performs an effect of the move feature.
    pub(crate) fn perform_move(&mut self, effect: MoveEffect, context: &mut Context<Self>) {
        match effect {
            MoveEffect::CallTable { call, request } => {
                let platform = self.platform.clone();
                let actor = context.address();
                actix_rt::spawn(async move {
                    let answer = platform.call_table(&request).await;
                    let event = MoveEvent::TableAnswered { call, answer };
                    actor.do_send(TaskEvent(HostEvent::Move(event)));
                });
            }
            MoveEffect::SendOrder {
                target,
                order,
                valid_until,
            } => {
                self.send_order(&target, &order, valid_until, context);
            }
            MoveEffect::RaiseFencing {
                target,
                fencing,
                valid_until,
            } => {
                self.raise_fencing(target, fencing, valid_until, context);
            }
            MoveEffect::Log(entry) => self.log_move(&entry),
        }
    }

    fn send_order(
        &mut self,
        target: &TargetName,
        order: &EngineOrder,
        valid_until: ClockTime,
        context: &mut Context<Self>,
    ) {
        let Some(address) = self.address_of(target) else {
            return;
        };
        let body = self.engine_order(order);
        let id = order.id;
        let client = self.pools.client(address);
        let actor = context.address();
        let clock = self.clock();
        actix_rt::spawn(async move {
            // The process may have been paused since the reducer's decision, and the lease may have
            // expired.
            let answer = if clock.now() >= valid_until {
                OrderAnswer::Lost
            } else {
                match management::send_order(&client, address, &body, ORDER_TIMEOUT).await {
                    Ok(status) => order_answer(&status, body.fencing),
                    Err(_) => OrderAnswer::Lost,
                }
            };
            let event = MoveEvent::OrderAnswered { order: id, answer };
            actor.do_send(TaskEvent(HostEvent::Move(event)));
        });
    }

    fn raise_fencing(
        &mut self,
        target: TargetName,
        fencing: FencingNumber,
        valid_until: ClockTime,
        context: &mut Context<Self>,
    ) {
        let Some(address) = self.address_of(&target) else {
            return;
        };
        let client = self.pools.client(address);
        let actor = context.address();
        let clock = self.clock();
        actix_rt::spawn(async move {
            if clock.now() >= valid_until {
                return;
            }
            let raised = management::raise_fencing(&client, address, fencing, ORDER_TIMEOUT).await;
            if raised.is_ok_and(|status| status.fencing >= fencing.0) {
                actor.do_send(FencingRaised { target, fencing });
            }
        });
    }

    fn engine_order(&self, order: &EngineOrder) -> border::EngineOrder {
        let catalog = &self.state.catalog.catalog;
        let model = catalog
            .models
            .iter()
            .find(|model| model.name.as_str() == &*order.name);
        let action = match (order.action, model) {
            (OrderAction::Load, Some(_)) => border::OrderAction::LoadModel,
            (OrderAction::Load, None) => border::OrderAction::LoadAdapter,
            (OrderAction::Unload, Some(_)) => border::OrderAction::UnloadModel,
            (OrderAction::Unload, None) => border::OrderAction::UnloadAdapter,
        };
        border::EngineOrder {
            order_id: order.id.to_string(),
            fencing: order.fencing.0,
            action,
            name: order.name.to_string(),
            memory_bytes: order.bytes,
            load_ms: model.map_or(ADAPTER_LOAD_MS, |model: &ModelSpec| model.load_ms),
        }
    }

    fn log_move(&mut self, entry: &MoveLog) {
        match entry {
            MoveLog::LeaseAcquired { fencing } => log::info!("lease acquired, fencing {fencing}"),
            MoveLog::LeaseLost => log::info!("lease lost"),
            MoveLog::OrderEnded {
                order,
                target,
                action,
                name,
                result,
            } => {
                self.metrics
                    .record_move(metric_action(*action), metric_result(*result));
                log::info!("order {order} ended on {target}: {action:?} {name}, {result:?}");
            }
            MoveLog::OverCapacity {
                target,
                used,
                capacity,
            } => {
                log::error!(
                    "target {target} uses {used} bytes, more than its capacity of {capacity} bytes"
                );
            }
            MoveLog::LoadBlocked { target, name } => {
                log::warn!(
                    "the load of {name} on {target} waits for memory: \
                     every copy there is the last one of its model or adapter"
                );
            }
            MoveLog::InvalidRow { key } => log::error!(
                "table row {key} cannot be read as an intent; no order is sent while it exists"
            ),
        }
    }
}

/// Time that an adapter takes to load at full speed, milliseconds.
const ADAPTER_LOAD_MS: u64 = 10;

fn order_answer(status: &border::OrderStatus, fencing: u64) -> OrderAnswer {
    match status.state {
        border::OrderState::Unseen => OrderAnswer::Lost,
        border::OrderState::Running => OrderAnswer::Accepted,
        border::OrderState::Finished => OrderAnswer::Ended(OrderResult::Done),
        border::OrderState::Refused if status.fencing > fencing => OrderAnswer::StaleFencing,
        border::OrderState::Refused => OrderAnswer::Ended(OrderResult::Refused),
    }
}

fn metric_action(action: OrderAction) -> MoveAction {
    match action {
        OrderAction::Load => MoveAction::Load,
        OrderAction::Unload => MoveAction::Unload,
    }
}

fn metric_result(result: OrderResult) -> MoveResult {
    match result {
        OrderResult::Done => MoveResult::Done,
        OrderResult::Refused => MoveResult::Failed,
    }
}
