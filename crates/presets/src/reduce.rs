//! The preset reducer.

use crate::accept;
use crate::effect::PresetEffect;
use crate::event::PresetEvent;
use crate::follow;
use crate::state::PresetState;
use crocusyard_base::prelude::*;

/// Applies one event to the state and appends the effects to `out`.
pub fn reduce(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    event: PresetEvent,
    out: &mut Vec<PresetEffect>,
) {
    let in_force_before = state.in_force;
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
                accept::receive_store_result(state, now, rng, accept, stored, out);
            }
        }
        PresetEvent::BodyFetched { call, body } => {
            follow::receive_body(state, now, rng, call, body, out);
        }
        PresetEvent::PeerVersion {
            host,
            domain,
            preset,
        } => follow::receive_peer_version(state, now, host, domain, preset, out),
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
        state.in_force >= in_force_before,
        "preset_version_never_falls",
        "version in force fell from {in_force_before:?} to {:?}",
        state.in_force
    );
}

/// Passes an answer of the table service to the acceptance or the poll that called it.
fn table_answered(
    state: &mut PresetState,
    now: ClockTime,
    rng: &mut SeededRng,
    call: u64,
    answer: TableAnswer,
    out: &mut Vec<PresetEffect>,
) {
    if let Some(accept) = accept::find_by_call(state, call) {
        accept::receive_answer(state, now, rng, accept, answer, out);
        return;
    }
    let Some((_, sent_at)) = state.pending_poll.filter(|(number, _)| *number == call) else {
        return;
    };
    if let TableAnswer::Row(row) = answer {
        follow::finish_poll(state, now, rng, true);
        follow::receive_pointer(state, now, sent_at, row.as_ref(), out);
    } else {
        follow::finish_poll(state, now, rng, false);
    }
}
