//! Hands each event to its feature.

mod catalogs;
pub(crate) mod leaving;
mod members;
mod moves;
mod presets;
mod requests;
mod targets;

use crate::effect::HostEffect;
use crate::event::HostEvent;
use crate::planning;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_moves::prelude::MoveEvent;
use crocusyard_presets::prelude::PresetEvent;
use crocusyard_requests::prelude::RequestEvent;

/// Time between two ticks of the preset reducer.
const PRESET_TICK: ClockTime = ClockTime::from_ms(250);
/// Time between two ticks of the move reducer.
const MOVE_TICK: ClockTime = ClockTime::from_ms(200);
/// Time between two updates of what this host tells the others.
const SHARING_TICK: ClockTime = ClockTime::from_ms(500);

/// Takes one event and appends its effects.
pub fn reduce(state: &mut HostState, now: ClockTime, event: HostEvent, out: &mut Vec<HostEffect>) {
    match event {
        HostEvent::Request(event) => requests::reduce(state, now, event, out),
        HostEvent::Membership(event) => members::reduce(state, now, event, out),
        HostEvent::Preset(event) => presets::reduce(state, now, event, out),
        HostEvent::Move(event) => moves::reduce(state, now, event, out),
        HostEvent::LoadReported { report, finished } => {
            targets::report(state, now, *report, finished, out);
        }
        HostEvent::CacheReported(batch) => {
            state.routes.apply_cache_batch(now, &batch);
        }
        HostEvent::CatalogLoaded { catalog, unix_ms } => {
            catalogs::load(state, now, &catalog, unix_ms, out);
        }
        HostEvent::HostListReceived {
            hosts,
            leaving_targets,
        } => {
            members::list(state, now, hosts, out);
            leaving::list(state, now, &leaving_targets, out);
        }
        HostEvent::DrainStarted => members::stop(state, now, out),
        HostEvent::Tick => tick(state, now, out),
    }
}

/// Ticks every feature that is due.
fn tick(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    if is_due(&mut state.ticked.membership, now, state.membership_tick) {
        members::reduce(state, now, MembershipEvent::Tick, out);
    }
    if is_due(&mut state.ticked.presets, now, PRESET_TICK) {
        presets::reduce(state, now, PresetEvent::Tick, out);
    }
    if is_due(&mut state.ticked.moves, now, MOVE_TICK) {
        moves::reduce(state, now, MoveEvent::Tick, out);
    }
    if is_due(&mut state.ticked.sharing, now, SHARING_TICK) {
        targets::share_loads(state, now, out);
        members::share_busy(state, now, out);
        planning::share_demand(state, now, out);
        planning::plan_if_due(state, now, out);
    }
    requests::reduce(state, now, RequestEvent::Tick, out);
}

/// Returns whether a rhythm is due, and notes it.
fn is_due(last: &mut ClockTime, now: ClockTime, interval: ClockTime) -> bool {
    if *last > ClockTime::ZERO && now.since(*last) < interval {
        return false;
    }
    *last = now.max(ClockTime::from_ms(1));
    true
}
