//! Entry point of the request reducer.

use crate::arrival;
use crate::attempts;
use crate::claims;
use crate::crash_suspects;
use crate::dispatch;
use crate::effect::RequestEffect;
use crate::event::RequestEvent;
use crate::probe;
use crate::records;
use crate::state::RequestState;
use crate::timers;
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;

/// State of other features of the host that the reducer reads and changes.
pub struct RequestContext<'a> {
    /// Present time of the host's clock.
    pub now: ClockTime,
    /// Targets with their load, for the choice of a target.
    pub routes: &'a mut RouteTable,
    /// Queue of the requests that wait for admission.
    pub queue: &'a mut AdmissionQueue,
    /// Generator for the choice of targets and the jitter of waits.
    pub rng: &'a mut SeededRng,
}

/// Applies one event to the state and appends the resulting effects to `out`.
pub fn reduce(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    event: RequestEvent,
    out: &mut Vec<RequestEffect>,
) {
    let now = context.now;
    // Whether the event may have queued a request or freed capacity for a queued one.
    let mut check_queue = true;
    match event {
        RequestEvent::Arrived { key, spec } => arrival::arrive(state, context, key, *spec, out),
        RequestEvent::CallerDisconnected { key } => attempts::caller_left(state, context, key, out),
        RequestEvent::AttemptSent { attempt } => {
            attempts::on_sent(state, now, attempt);
            check_queue = false;
        }
        RequestEvent::AttemptHead { attempt } => {
            attempts::on_head(state, now, attempt);
            check_queue = false;
        }
        RequestEvent::AttemptChunk {
            attempt,
            index,
            data,
        } => {
            attempts::on_chunk(state, context, attempt, index, data, out);
            check_queue = false;
        }
        RequestEvent::AttemptEnded { attempt, end } => {
            attempts::on_ended(state, context, attempt, &end, out);
        }
        RequestEvent::ClaimReplied { key, reply } => {
            claims::on_claim_reply(state, context, key, reply, out);
        }
        RequestEvent::AnswerRecorded { key, stored } => {
            records::on_answer_recorded(state, context, key, stored, out);
        }
        RequestEvent::ExecutionChecked { key, ran } => {
            records::on_execution_checked(state, context, key, ran, out);
        }
        RequestEvent::ProbeEnded { target, alive } => {
            probe::on_probe_ended(state, context, &target, alive, out);
        }
        RequestEvent::CrashReported { digest, target } => {
            state
                .crash_suspects
                .record_crash(now, &state.settings.limits, digest, &target);
            check_queue = false;
        }
        RequestEvent::CrashCleared { digest } => {
            crash_suspects::clear_suspect(state, digest);
            check_queue = false;
        }
        RequestEvent::Tick => timers::tick(state, context, out),
    }
    if check_queue {
        dispatch::dispatch_queued(state, context, out);
    }
}
