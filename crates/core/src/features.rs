//! Hands each event to its feature.

use crate::effect::HostEffect;
use crate::event::HostEvent;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;
use std::sync::Arc;

/// Takes one event and appends its effects.
pub fn reduce(state: &mut HostState, now: ClockTime, event: HostEvent, out: &mut Vec<HostEffect>) {
    match event {
        HostEvent::Request(event) => reduce_request(state, now, event, out),
        HostEvent::LoadReported(report) => {
            state.routes.apply_report(now, *report);
            reduce_request(state, now, RequestEvent::Tick, out);
        }
        HostEvent::CatalogChanged(catalog) => apply_catalog(state, catalog),
        HostEvent::TargetLeaving { target, leaving } => {
            state.routes.set_leaving(&target, leaving);
        }
        HostEvent::Tick => reduce_request(state, now, RequestEvent::Tick, out),
    }
}

fn reduce_request(
    state: &mut HostState,
    now: ClockTime,
    event: RequestEvent,
    out: &mut Vec<HostEffect>,
) {
    let mut effects = Vec::new();
    let mut context = RequestContext {
        now,
        routes: &mut state.routes,
        queue: &mut state.queue,
        rng: &mut state.rng,
    };
    crocusyard_requests::reduce::reduce(&mut state.requests, &mut context, event, &mut effects);
    out.extend(effects.into_iter().map(HostEffect::Request));
}

fn apply_catalog(state: &mut HostState, catalog: Arc<CatalogSpec>) {
    state.routes.set_targets(&catalog.targets);
    state.queue.set_limits(&catalog.tenants, &catalog.classes);
    state.catalog = catalog;
}
