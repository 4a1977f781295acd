//! Tests of the plans of a lease holder, some with engines that send no load reports.

#[path = "world/catalog.rs"]
#[allow(dead_code)] // The randomised test uses the other functions.
mod catalog;
#[path = "../../moves/tests/support/table.rs"]
#[allow(dead_code)] // The tests of the moves use the other functions.
mod table;

use crocusyard_base::prelude::*;
use crocusyard_core::features::reduce;
use crocusyard_core::prelude::{HostEffect, HostEvent, HostState};
use crocusyard_moves::prelude::{MoveEffect, MoveEvent, OrderAnswer};
use crocusyard_routing::prelude::*;
use std::ops::Range;
use std::sync::Arc;

/// Runs a lease holder for 60 s with one engine for each range, which reports in these seconds, and
/// returns the targets of the orders sent after second `from`, each with its time in tenths of a
/// second.
///
/// Engine 0 holds a copy of the only model. An engine accepts an order at once and lists the copy
/// in its next report.
fn sent_orders(reporting: &[Range<u64>], from: u64) -> Vec<(TargetName, u64)> {
    let spec = Arc::new(catalog::catalog(reporting.len(), 0, 1));
    let mut state = HostState::new(catalog::settings(0, 1));
    let mut rows = table::FakeTable::default();
    let mut events = vec![HostEvent::CatalogLoaded {
        catalog: spec.clone(),
        unix_ms: 0,
    }];
    let mut ordered: Vec<(TargetName, u64)> = Vec::new();
    for step in 1..600 {
        let now = ClockTime::from_ms(step * 100);
        events.push(HostEvent::Tick);
        let engines = spec.targets.iter().zip(reporting).enumerate();
        for (index, (target, _)) in engines.filter(|(_, (_, span))| span.contains(&(step / 10))) {
            let copies =
                (index == 0 || ordered.iter().any(|(name, _)| *name == target.name)).then(|| {
                    CopyReport {
                        name: Arc::from(spec.models[0].name.as_str()),
                        memory_bytes: spec.models[0].memory_bytes,
                        state: CopyState::Resident,
                    }
                });
            events.push(HostEvent::LoadReported {
                report: Box::new(LoadReport {
                    target: target.name.clone(),
                    sequence: step,
                    incarnation: 1,
                    age: ClockTime::ZERO,
                    running: 0,
                    waiting: 0,
                    queued_tokens: 0,
                    prefill_rate: 1.0,
                    decode_rate: 1.0,
                    memory_bytes: target.memory_bytes,
                    copies: copies.into_iter().collect(),
                    leaving: false,
                }),
                finished: Vec::new(),
            });
        }
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            reduce(&mut state, now, event, &mut out);
            for effect in out {
                match effect {
                    HostEffect::Move(MoveEffect::CallTable { call, request }) => {
                        let answer = rows.perform(&request);
                        let event = MoveEvent::TableAnswered { call, answer };
                        events.push(HostEvent::Move(event));
                    }
                    HostEffect::Move(MoveEffect::RaiseFencing {
                        target, fencing, ..
                    }) => events.push(HostEvent::Move(MoveEvent::FencingConfirmed {
                        target,
                        incarnation: 1,
                        fencing,
                    })),
                    HostEffect::Move(MoveEffect::SendOrder { target, order, .. })
                        if step > from * 10 =>
                    {
                        ordered.push((target, step));
                        events.push(HostEvent::Move(MoveEvent::OrderAnswered {
                            order: order.id,
                            answer: OrderAnswer::Accepted,
                        }));
                    }
                    _ => {}
                }
            }
        }
    }
    ordered
}

/// Guards against a region without any plan because one engine never reports.
#[test]
fn engine_that_never_reports_does_not_stop_the_plan() {
    let ordered = sent_orders(&[0..0, 0..60], 0);
    assert_eq!(ordered[0].0, TargetName::new("e1"));
}

/// Guards against a model that stays without a copy when the engine of its only copy stops
/// reporting.
#[test]
fn copy_on_a_silent_engine_is_replaced() {
    let ordered = sent_orders(&[0..20, 0..60], 20);
    assert_eq!(ordered[0].0, TargetName::new("e1"));
}

/// Guards against a second copy of a model whose engine reports late after a takeover of the lease.
#[test]
fn plan_waits_for_the_first_reports() {
    assert_eq!(sent_orders(&[8..60, 0..60], 0), Vec::new());
}

/// Guards against an order that counts as running, and reserves memory, long after a report shows
/// its effect. Load reports do not list the ended order here, so the host has to ask for its result
/// by repeating it.
#[test]
fn order_is_repeated_at_once_after_a_report_shows_its_effect() {
    let ordered = sent_orders(&[0..0, 0..60], 0);
    assert!(
        ordered[1].1 - ordered[0].1 <= 5,
        "the order is repeated late: {ordered:?}"
    );
}
