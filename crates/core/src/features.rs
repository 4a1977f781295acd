//! Passes each event to the feature that handles it, and ticks the features at their intervals.

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
const PRESET_TICK_INTERVAL: ClockTime = ClockTime::from_ms(250);
/// Time between two ticks of the move reducer.
const MOVE_TICK_INTERVAL: ClockTime = ClockTime::from_ms(200);
/// Time between two updates of the loads, utilisation and demand that this host sends to others.
const SHARING_INTERVAL: ClockTime = ClockTime::from_ms(500);

/// Applies one event to the state and appends its effects to `out`.
pub fn reduce(state: &mut HostState, now: ClockTime, event: HostEvent, out: &mut Vec<HostEffect>) {
    match event {
        HostEvent::Request(event) => requests::reduce(state, now, event, out),
        HostEvent::Membership(event) => members::reduce(state, now, event, out),
        HostEvent::Preset(event) => presets::reduce(state, now, event, out),
        HostEvent::Move(event) => moves::reduce(state, now, event, out),
        HostEvent::LoadReported { report, finished } => {
            targets::apply_report(state, now, *report, finished, out);
        }
        HostEvent::CacheReported(batch) => {
            state.routes.apply_cache_batch(now, &batch);
        }
        HostEvent::CatalogLoaded { catalog, unix_ms } => {
            catalogs::load_start_catalog(state, now, &catalog, unix_ms, out);
        }
        HostEvent::HostListReceived {
            hosts,
            leaving_targets,
        } => {
            members::apply_host_list(state, now, hosts, out);
            leaving::apply_host_list(state, now, &leaving_targets, out);
        }
        HostEvent::DrainStarted => members::start_drain(state, now, out),
        HostEvent::Tick => tick(state, now, out),
    }
}

/// Ticks every feature whose interval is over. The request feature is ticked every time.
fn tick(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    if is_due(
        &mut state.last_ticks.membership,
        now,
        state.membership_tick_interval,
    ) {
        members::reduce(state, now, MembershipEvent::Tick, out);
    }
    if is_due(&mut state.last_ticks.presets, now, PRESET_TICK_INTERVAL) {
        presets::reduce(state, now, PresetEvent::Tick, out);
    }
    if is_due(&mut state.last_ticks.moves, now, MOVE_TICK_INTERVAL) {
        moves::reduce(state, now, MoveEvent::Tick, out);
    }
    if is_due(&mut state.last_ticks.sharing, now, SHARING_INTERVAL) {
        targets::share_load_deltas(state, now, out);
        members::share_utilisation(state, now, out);
        planning::share_demand(state, now, out);
        planning::plan_if_due(state, now, out);
    }
    requests::reduce(state, now, RequestEvent::Tick, out);
}

/// Returns whether `interval` has passed since `last`; if so, sets `last` to `now`.
///
/// A `last` of zero means that there was no earlier tick.
fn is_due(last: &mut ClockTime, now: ClockTime, interval: ClockTime) -> bool {
    if *last > ClockTime::ZERO && now.since(*last) < interval {
        return false;
    }
    *last = now.max(ClockTime::from_ms(1));
    true
}
