//! The request reducer.

use crate::arrival;
use crate::attempts;
use crate::blame;
use crate::claims;
use crate::dispatch;
use crate::effect::RequestEffect;
use crate::event::RequestEvent;
use crate::probe;
use crate::settle;
use crate::state::RequestState;
use crate::timers;
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;

/// What the reducer borrows from the other features of the host.
pub struct RequestContext<'a> {
    /// Now.
    pub now: ClockTime,
    /// Targets.
    pub routes: &'a mut RouteTable,
    /// Waiting requests.
    pub queue: &'a mut AdmissionQueue,
    /// Random generator.
    pub rng: &'a mut SeededRng,
}

/// Takes one event and appends its effects.
pub fn reduce(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    event: RequestEvent,
    out: &mut Vec<RequestEffect>,
) {
    let now = context.now;
    // Whether the event may have made room for a queued request, or queued one.
    let mut pump = true;
    match event {
        RequestEvent::Arrived { key, spec } => arrival::arrive(state, context, key, *spec, out),
        RequestEvent::CallerDisconnected { key } => attempts::caller_gone(state, context, key, out),
        RequestEvent::AttemptSent { attempt } => {
            attempts::sent(state, now, attempt);
            pump = false;
        }
        RequestEvent::AttemptHead { attempt } => {
            attempts::head(state, now, attempt);
            pump = false;
        }
        RequestEvent::AttemptChunk {
            attempt,
            index,
            data,
        } => {
            attempts::chunk(state, context, attempt, index, data, out);
            pump = false;
        }
        RequestEvent::AttemptEnded { attempt, end } => {
            attempts::ended(state, context, attempt, &end, out);
        }
        RequestEvent::ClaimReplied { key, reply } => {
            claims::answered(state, context, key, reply, out);
        }
        RequestEvent::AnswerRecorded { key, stored } => {
            settle::record_answered(state, context, key, stored, out);
        }
        RequestEvent::ExecutionChecked { key, ran } => {
            settle::settle_answered(state, context, key, ran, out);
        }
        RequestEvent::ProbeEnded { target, alive } => {
            probe::answered(state, context, &target, alive, out);
        }
        RequestEvent::CrashReported { digest, target } => {
            state
                .blame
                .note(now, &state.settings.limits, digest, &target);
            pump = false;
        }
        RequestEvent::CrashCleared { digest } => {
            blame::clear_reported(state, digest);
            pump = false;
        }
        RequestEvent::Tick => timers::tick(state, context, out),
    }
    if pump {
        dispatch::pump(state, context, out);
    }
}
