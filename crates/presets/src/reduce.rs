//! The preset reducer.

use crate::accept;
use crate::effect::PresetEffect;
use crate::event::PresetEvent;
use crate::follow;
use crate::state::PresetState;
use crocusyard_base::prelude::*;

/// Takes one event and appends its effects.
pub fn reduce(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    event: PresetEvent,
    out: &mut Vec<PresetEffect>,
) {
    let before = state.in_force;
    match event {
        PresetEvent::Tick => {
            accept::tick(state, now, rng, out);
            follow::tick(state, now, rng, out);
        }
        PresetEvent::Accept(request) => accept::start(state, now, request, out),
        PresetEvent::TableAnswered { call, answer } => {
            table_answered(state, now, rng, call, answer, out);
        }
        PresetEvent::BodyStored { call, stored } => {
            if let Some(accept) = accept::find_by_call(state, call) {
                accept::body_stored(state, now, rng, accept, stored, out);
            }
        }
        PresetEvent::BodyFetched { call, body } => {
            follow::body_fetched(state, now, rng, call, body, out);
        }
        PresetEvent::PeerVersion {
            host,
            domain,
            preset,
        } => follow::peer_version(state, now, host, domain, preset, out),
        PresetEvent::PeersChanged {
            domain_count,
            peer_count,
        } => {
            state.domain_count = domain_count;
            state.peer_count = peer_count;
        }
    }
    follow::check_up_to_date(state, now, out);
    invariant!(
        state.in_force >= before,
        "preset_version_never_falls",
        "{before:?} to {:?}",
        state.in_force
    );
}

fn table_answered(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    call: u64,
    answer: TableAnswer,
    out: &mut Vec<PresetEffect>,
) {
    if let Some(accept) = accept::find_by_call(state, call) {
        accept::table_answered(state, now, rng, accept, answer, out);
        return;
    }
    let Some((_, sent)) = state.poll.filter(|(number, _)| *number == call) else {
        return;
    };
    if let TableAnswer::Row(row) = answer {
        follow::poll_ended(state, now, rng, true);
        follow::pointer_polled(state, now, sent, row.as_ref(), out);
    } else {
        follow::poll_ended(state, now, rng, false);
    }
}
