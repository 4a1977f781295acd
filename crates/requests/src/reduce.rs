//! The request reducer.

use crate::effect::{RefusalCode, RequestEffect, RequestRefusal, RequestSample};
use crate::event::{AttemptEnd, RequestEvent};
use crate::spec::{RequestOutcome, RequestSpec};
use crate::state::{RequestEntry, RequestState};
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
    match event {
        RequestEvent::Arrived { key, spec } => arrive(state, context, key, *spec, out),
        RequestEvent::AttemptHead { attempt } => {
            if let Some(&key) = state.attempts.get(&attempt) {
                out.push(RequestEffect::DeliverHead { key, attempt });
            }
        }
        RequestEvent::AttemptChunk {
            attempt,
            index,
            data,
        } => {
            let Some(key) = state.attempts.get(&attempt).copied() else {
                return;
            };
            let Some(entry) = state.requests.get_mut(&key) else {
                return;
            };
            let Some(target) = entry.target.clone() else {
                return;
            };
            entry.first.get_or_insert(context.now);
            entry.chunks = index + 1;
            out.push(RequestEffect::Deliver {
                key,
                attempt,
                target,
                index,
                data,
            });
        }
        RequestEvent::AttemptEnded { attempt, end } => ended(state, context, attempt, &end, out),
        _ => {}
    }
}

fn arrive(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    key: RequestKey,
    spec: RequestSpec,
    out: &mut Vec<RequestEffect>,
) {
    let query = RouteQuery {
        work: &spec.work,
        prefix: &spec.prefix,
        input_tokens: spec.input_tokens,
        output_tokens: spec.output_tokens,
        tried: &[],
        avoid: None,
    };
    let choice = context.routes.choose(context.now, &query, context.rng);
    let RouteChoice::Target { target, .. } = choice else {
        let refusal = RequestRefusal {
            code: RefusalCode::Unavailable,
            outcome: RequestOutcome::NotRun,
            retry_after: Some(ClockTime::from_secs(1)),
        };
        out.push(RequestEffect::Refuse { key, refusal });
        return;
    };
    context.routes.note_sent(context.now, &target, &query);
    state.attempt_count += 1;
    let attempt =
        AttemptId((u128::from(state.settings.id_seed) << 64) | u128::from(state.attempt_count));
    state.attempts.insert(attempt, key);
    let entry = RequestEntry {
        spec,
        arrived: context.now,
        first: None,
        chunks: 0,
        target: Some(target.clone()),
    };
    state.requests.insert(key, entry);
    out.push(RequestEffect::Dispatch {
        key,
        attempt,
        target,
        resume: None,
    });
}

fn ended(
    state: &mut RequestState,
    context: &mut RequestContext<'_>,
    attempt: AttemptId,
    end: &AttemptEnd,
    out: &mut Vec<RequestEffect>,
) {
    let Some(key) = state.attempts.remove(&attempt) else {
        return;
    };
    let Some(entry) = state.requests.remove(&key) else {
        return;
    };
    if let Some(target) = &entry.target {
        context.routes.note_ended(context.now, target, None);
    }
    let outcome = match end {
        AttemptEnd::Complete => RequestOutcome::Completed,
        _ => RequestOutcome::Unknown,
    };
    if outcome == RequestOutcome::Completed {
        out.push(RequestEffect::Finish { key });
    } else {
        let refusal = RequestRefusal {
            code: RefusalCode::AnswerLost,
            outcome,
            retry_after: None,
        };
        out.push(RequestEffect::Refuse { key, refusal });
    }
    let sample = sample_of(&entry, context.now, outcome);
    out.push(RequestEffect::Measure {
        key,
        sample: Box::new(sample),
    });
}

fn sample_of(entry: &RequestEntry, now: ClockTime, outcome: RequestOutcome) -> RequestSample {
    RequestSample {
        tenant: entry.spec.tenant.clone(),
        class: entry.spec.class.clone(),
        target: entry.target.clone(),
        outcome,
        code: None,
        queued: ClockTime::ZERO,
        first: entry.first.map(|first| first.since(entry.arrived)),
        streaming: entry
            .first
            .map_or(ClockTime::ZERO, |first| now.since(first)),
        whole: now.since(entry.arrived),
        chunks: entry.chunks,
        attempts: 1,
    }
}
