//! Compares what was seen with what the system promises.
//!
//! Promises without a time bound hold always. Those with one hold for hosts that were undisturbed
//! for [`STABLE`] before, and between undisturbed parts.

use crate::history::{
    CallRecord, CallShape, OutcomeKind, RunEvidence, SoakArrival, SoakPart, TargetLife,
};
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::{
    answer_text, event_text, AnswerFacts, EVENT_COUNT, STREAM_TIMEOUT_MS, TIMEOUT_MS,
};
use std::collections::{HashMap, HashSet};

/// Undisturbed time after which the bounds of time hold; `stable_ms` of the platform's settings.
pub const STABLE: ClockTime = ClockTime::from_ms(3_000);
/// Time in which a configuration must be in force; `config_apply_ms`.
const APPLY_BOUND: ClockTime = ClockTime::from_ms(2_000);
/// Time after which a leaving target gets no request; `drain_ms`.
const DRAIN_BOUND: ClockTime = ClockTime::from_ms(2_000);
/// Time after which all calls are answered again; `recovery_s`.
pub const RECOVERY_BOUND: ClockTime = ClockTime::from_secs(12);
/// Time in which a process must end after SIGTERM; `grace_s`.
const STOP_BOUND: ClockTime = ClockTime::from_secs(8);
/// Time between looks at the processes, so that an end may be seen this late.
pub const LOOK_PAUSE: ClockTime = ClockTime::from_ms(100);
/// Time in which a target learns that its caller has left, and a call is answered after the time-out
/// of its route; stated by the rules.
const LEAVE_BOUND: ClockTime = ClockTime::from_ms(500);
/// Largest share of left calls at which targets may still work after that; stated by the rules.
const LEAVE_SHARE: f64 = 0.25;
/// Events of a kind that the rules let pass as "a few" or "not more than three".
const FEW: usize = 3;
/// Longest time by which a target may be given more than the caller's, ms; stated by the rules.
const PATIENCE_SLACK_MS: u64 = 500;
/// Arrivals with more time than that; stated by the rules.
const PATIENCE_COUNT: usize = 20;
/// Window of the repeated sends; `retry_window_s`.
const REPEAT_WINDOW: ClockTime = ClockTime::from_secs(10);
/// Repeated sends for each request; `retry_budget`.
const REPEAT_RATIO: f64 = 0.2;
/// Further repeated sends; `retry_slack`.
const REPEAT_SLACK: f64 = 58.0;
/// Share of the stop time in which a target may still be at work on a call that is cut off.
const STOP_TAIL: ClockTime = ClockTime::from_ms(8_000 / 6);

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
pub enum PromiseKind {
    /// An answer belongs to its request, and is whole.
    WholeAnswer,
    /// The events of a stream come once, in order, to the last.
    EventOrder,
    /// Targets get what callers sent.
    UnchangedRequest,
    /// Work that may run once runs once.
    RunsOnce,
    /// Refused work is not run.
    RefusedNotRun,
    /// Proper requests are not denied.
    NotDenied,
    /// Only services of the route run a request.
    AllowedService,
    /// A new configuration is in force in time.
    NewRoutes,
    /// A leaving target gets no requests.
    LeavingTarget,
    /// Sends of one request and repeated sends are bounded, and so is the time given to targets.
    RepeatBudget,
    /// Calls are answered at the time-out of their route.
    Overdue,
    /// Targets learn that a caller has left.
    CallerLeft,
    /// A request that was passed on is answered.
    NotLost,
    /// Processes end only when they are told to, and then in time.
    ProcessLife,
    /// All calls are answered again after the last fault.
    Recovery,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct PromiseViolation {
    /// Promise.
    pub kind: PromiseKind,
    /// What was seen.
    pub detail: String,
}

/// Evidence with its calls and arrivals by identifier.
struct RunJudge<'a> {
    seen: &'a RunEvidence,
    arrivals: HashMap<&'a str, Vec<&'a SoakArrival>>,
    violations: Vec<PromiseViolation>,
}

/// Time-out of the route of a call.
fn timeout(shape: CallShape) -> ClockTime {
    ClockTime::from_ms(match shape {
        CallShape::Once | CallShape::Repeatable => TIMEOUT_MS,
        CallShape::Stream => STREAM_TIMEOUT_MS,
    })
}

/// Lists the broken promises of a run.
pub fn judge_run(seen: &RunEvidence) -> Vec<PromiseViolation> {
    let mut arrivals: HashMap<&str, Vec<&SoakArrival>> = HashMap::new();
    for arrival in &seen.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    let mut judge = RunJudge {
        seen,
        arrivals,
        violations: Vec::new(),
    };
    for call in &seen.calls {
        judge.check_answer(call);
        judge.check_runs(call);
        judge.check_service(call);
        judge.check_leaving(call);
        judge.check_recovery(call);
    }
    judge.check_requests();
    judge.check_budget();
    judge.check_left();
    judge.check_overdue();
    judge.check_lost();
    judge.check_processes();
    judge.violations
}

impl<'a> RunJudge<'a> {
    fn report(&mut self, kind: PromiseKind, detail: String) {
        self.violations.push(PromiseViolation { kind, detail });
    }

    fn arrivals_of(&self, id: &str) -> &[&'a SoakArrival] {
        self.arrivals.get(id).map_or(&[], Vec::as_slice)
    }

    fn runs_of(&self, id: &str) -> impl Iterator<Item = &'a SoakArrival> + '_ {
        self.arrivals_of(id)
            .iter()
            .copied()
            .filter(|arrival| arrival.run)
    }

    /// Answers belong to their requests and are whole.
    fn check_answer(&mut self, call: &CallRecord) {
        let (facts, body, whole) = match &call.outcome {
            OutcomeKind::Answered(facts, body) => (facts, body, true),
            OutcomeKind::Broken(facts, body) => (facts, body, false),
            OutcomeKind::Unsent
            | OutcomeKind::Lost
            | OutcomeKind::Left
            | OutcomeKind::Unanswered => return,
        };
        if facts.id.as_ref().is_some_and(|id| *id != call.id) {
            let detail = format!("{}: answer to {:?}", call.id, facts.id);
            self.report(PromiseKind::WholeAnswer, detail);
        }
        let status = facts.status.as_u16();
        if facts.seal.is_none() && matches!(status, 300..=407 | 409..=420 | 422..=428 | 430..=499) {
            self.report(PromiseKind::NotDenied, format!("{}: {status}", call.id));
        }
        if !facts.status.is_success() {
            return;
        }
        let Some(seal) = &facts.seal else {
            let detail = format!("{}: success without a seal", call.id);
            self.report(PromiseKind::WholeAnswer, detail);
            return;
        };
        if !self.runs_of(&call.id).any(|run| run.target == *seal) {
            let detail = format!("{}: {seal} answers and never ran it", call.id);
            self.report(PromiseKind::WholeAnswer, detail);
        }
        if call.shape == CallShape::Stream {
            self.check_events(call, body, whole);
        } else if whole && body.as_ref() != answer_text(seal, &call.id).as_bytes() {
            let detail = format!("{}: body {body:?} of {seal}", call.id);
            self.report(PromiseKind::WholeAnswer, detail);
        }
    }

    fn check_events(&mut self, call: &CallRecord, body: &[u8], whole: bool) {
        let expected: String = (1..=EVENT_COUNT)
            .map(|number| event_text(&call.id, number))
            .collect();
        let text = String::from_utf8_lossy(body);
        let in_order = if whole {
            text == expected.as_str()
        } else {
            expected.starts_with(text.as_ref())
        };
        if !in_order {
            let detail = format!("{}: events {text:?}, complete: {whole}", call.id);
            self.report(PromiseKind::EventOrder, detail);
        }
    }

    /// Work runs as often as it may, and not after a refusal.
    fn check_runs(&mut self, call: &CallRecord) {
        let runs: Vec<_> = self.runs_of(&call.id).collect();
        let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        if call.shape != CallShape::Once {
            return;
        }
        if runs.len() > 1 {
            let detail = format!("{}: ran at {targets:?}", call.id);
            self.report(PromiseKind::RunsOnce, detail);
        }
        if let OutcomeKind::Answered(AnswerFacts { refused: true, .. }, _) = &call.outcome {
            if !runs.is_empty() {
                let detail = format!("{}: refused, ran at {targets:?}", call.id);
                self.report(PromiseKind::RefusedNotRun, detail);
            }
        }
    }

    /// Only services that a configuration names run a call.
    fn check_service(&mut self, call: &CallRecord) {
        let runs: Vec<_> = self.runs_of(&call.id).collect();
        for run in runs {
            let Some(service) = self.seen.life(&run.target).map(|life| life.service) else {
                continue;
            };
            let ever = self.services(call, None, run.at);
            let since = ClockTime::from_ms(call.at.as_ms().saturating_sub(APPLY_BOUND.as_ms()));
            let now = self.services(call, Some(since), run.at);
            if !ever.contains(service) {
                let detail = format!("{}: run by {service}", call.id);
                self.report(PromiseKind::AllowedService, detail);
            } else if !now.contains(service)
                && self
                    .seen
                    .in_touch(call.host, since.since(STABLE), call.ended)
            {
                let detail = format!("{}: run by {service}, which is out of date", call.id);
                self.report(PromiseKind::NewRoutes, detail);
            }
        }
    }

    /// Services that may run a call: those of all versions sent up to `until`, or only of the one in
    /// force at `since` and the later ones.
    fn services(
        &self,
        call: &CallRecord,
        since: Option<ClockTime>,
        until: ClockTime,
    ) -> HashSet<&'static str> {
        if call.shape != CallShape::Repeatable {
            return HashSet::from([crate::run::FIRST_SERVICE]);
        }
        let versions = &self.seen.versions;
        let first = since.map_or(0, |since| {
            let older = versions.iter().rposition(|version| version.at <= since);
            older.unwrap_or(0)
        });
        let sent = versions[first..]
            .iter()
            .filter(|version| version.at <= until);
        sent.map(|version| version.service).collect()
    }

    /// A target that leaves gets no requests after the bound.
    fn check_leaving(&mut self, call: &CallRecord) {
        let late: Vec<String> = self
            .arrivals_of(&call.id)
            .iter()
            .filter(|arrival| {
                let life = self.seen.life(&arrival.target);
                let left = life.and_then(|life: &TargetLife| life.left);
                left.is_some_and(|left| {
                    arrival.run
                        && arrival.at > left + DRAIN_BOUND
                        && self
                            .seen
                            .in_touch(call.host, left.since(STABLE), arrival.at)
                })
            })
            .map(|arrival| format!("{}: reached {} after it left", call.id, arrival.target))
            .collect();
        for detail in late {
            self.report(PromiseKind::LeavingTarget, detail);
        }
    }

    /// Long after the last fault all calls are answered.
    fn check_recovery(&mut self, call: &CallRecord) {
        let recovered = self.seen.calm_from + RECOVERY_BOUND;
        let answered = match &call.outcome {
            OutcomeKind::Answered(facts, _) => facts.status.is_success(),
            OutcomeKind::Left => true,
            OutcomeKind::Broken(..)
            | OutcomeKind::Unsent
            | OutcomeKind::Lost
            | OutcomeKind::Unanswered => false,
        };
        if call.at >= recovered && !answered {
            let detail = format!("{} at host {}: {:?}", call.id, call.host, call.outcome);
            self.report(PromiseKind::Recovery, detail);
        }
    }

    /// Targets get the requests of callers, unchanged.
    fn check_requests(&mut self) {
        let paths: HashMap<&str, &CallRecord> = self
            .seen
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call))
            .collect();
        let mut over_long = 0;
        for arrival in &self.seen.arrivals {
            let Some(call) = paths.get(arrival.id.as_str()) else {
                let detail = format!("{:?} was never sent", arrival.id);
                self.report(PromiseKind::UnchangedRequest, detail);
                continue;
            };
            if call.path != arrival.path || !arrival.body_kept {
                let detail = format!("{}: {} at {}", call.id, arrival.path, arrival.target);
                self.report(PromiseKind::UnchangedRequest, detail);
            }
            let limit = call.patience_ms + PATIENCE_SLACK_MS;
            if arrival.patience_ms.is_none_or(|given| given > limit) {
                over_long += 1;
            }
        }
        if over_long > PATIENCE_COUNT {
            let detail = format!("{over_long} arrivals with more time than is left");
            self.report(PromiseKind::RepeatBudget, detail);
        }
    }

    /// Repeated sends stay within the attempts of a route and the budget of all hosts.
    fn check_budget(&mut self) {
        let mut over = 0;
        for call in &self.seen.calls {
            let mut targets = HashSet::new();
            for run in self.runs_of(&call.id) {
                if self
                    .seen
                    .is_calm(self.place_of(&run.target), run.at, call.ended)
                {
                    targets.insert(run.target.as_str());
                }
            }
            if call.shape == CallShape::Repeatable
                && targets.len() > crate::run::REPEATABLE_ATTEMPTS as usize
            {
                over += 1;
            }
        }
        if over > FEW {
            let detail = format!("{over} calls at more targets than their route allows");
            self.report(PromiseKind::RepeatBudget, detail);
        }
        let mut first = HashSet::new();
        let repeats: Vec<ClockTime> = self
            .seen
            .arrivals
            .iter()
            .filter(|arrival| !first.insert(arrival.id.as_str()))
            .map(|arrival| arrival.at)
            .collect();
        for (index, end) in repeats.iter().enumerate() {
            let begin = end.since(REPEAT_WINDOW);
            let count = repeats[..=index].iter().filter(|at| **at > begin).count();
            // The requests of this window, the one before or the one between, whichever has most.
            let requests = [0, 5, 10]
                .map(|back| self.calls_between(begin.since(ClockTime::from_secs(back)), *end, back))
                .into_iter()
                .max()
                .unwrap_or(0);
            if count as f64 > REPEAT_RATIO * requests as f64 + REPEAT_SLACK {
                let detail = format!("{count} repeats for {requests} requests up to {end}");
                self.report(PromiseKind::RepeatBudget, detail);
                return;
            }
        }
    }

    fn calls_between(&self, from: ClockTime, end: ClockTime, back_s: u64) -> usize {
        let to = end.since(ClockTime::from_secs(back_s));
        let calls = self.seen.calls.iter();
        calls.filter(|call| call.at > from && call.at <= to).count()
    }

    fn place_of(&self, target: &str) -> SoakPart {
        let place = self.seen.life(target).map(|life| life.place);
        SoakPart::Target(place.unwrap_or(usize::MAX))
    }

    /// Targets stop work for callers that have left.
    fn check_left(&mut self) {
        let (mut working, mut went_on, mut reached) = (0_usize, 0_usize, 0_usize);
        for call in &self.seen.calls {
            let bound = call.ended + LEAVE_BOUND;
            if !matches!(call.outcome, OutcomeKind::Left | OutcomeKind::Unanswered)
                || !self.seen.in_touch(call.host, call.at.since(STABLE), bound)
            {
                continue;
            }
            for arrival in self.arrivals_of(&call.id) {
                reached += usize::from(arrival.at > bound);
            }
            for run in self.runs_of(&call.id) {
                let place = self.place_of(&run.target);
                if call.shape == CallShape::Once
                    || !self.seen.is_calm(place, run.at.since(STABLE), bound)
                    || run.ended.is_some_and(|ended| ended < call.ended)
                {
                    continue;
                }
                working += 1;
                went_on += usize::from(run.ended.is_none_or(|ended| ended > bound));
            }
        }
        if reached > FEW {
            let detail = format!("{reached} requests reached targets after their callers left");
            self.report(PromiseKind::CallerLeft, detail);
        }
        if went_on > FEW && went_on as f64 > LEAVE_SHARE * working as f64 {
            let detail = format!("{went_on} of {working} runs went on after their callers left");
            self.report(PromiseKind::CallerLeft, detail);
        }
    }

    /// Most calls that reach the time-out of their route are answered soon after it.
    fn check_overdue(&mut self) {
        let timeout = timeout(CallShape::Once);
        let (mut reached, mut overdue) = (0_usize, 0_usize);
        for call in &self.seen.calls {
            let took = call.ended.since(call.at);
            let in_touch = self
                .seen
                .in_touch(call.host, call.at.since(STABLE), call.ended);
            if call.shape == CallShape::Stream || took < timeout || !in_touch {
                continue;
            }
            reached += 1;
            overdue += usize::from(took > timeout + LEAVE_BOUND);
        }
        if overdue > FEW && 2 * overdue > reached {
            let detail = format!("{overdue} of {reached} calls had no answer after their time-out");
            self.report(PromiseKind::Overdue, detail);
        }
    }

    /// Calls that were passed on are answered, also during a planned stop.
    fn check_lost(&mut self) {
        let mut kept = Vec::new();
        let mut stopping = Vec::new();
        for call in &self.seen.calls {
            let lost = matches!(call.outcome, OutcomeKind::Lost | OutcomeKind::Broken(..));
            let calm_targets = self.arrivals_of(&call.id).iter().all(|arrival| {
                let place = self.place_of(&arrival.target);
                self.seen.is_calm(place, call.at.since(STABLE), call.ended)
            });
            // What has not ended at the time-out of its route is broken off.
            let timed_out = call.ended.since(call.at) >= timeout(call.shape);
            if !lost || !calm_targets || timed_out || self.arrivals_of(&call.id).is_empty() {
                continue;
            }
            let from = call.at.since(STABLE);
            if call.reused && self.seen.in_touch(call.host, from, call.ended) {
                kept.push(call.id.as_str());
            }
            if self.is_planned_stop(call, from) {
                stopping.push(call.id.as_str());
            }
        }
        if kept.len() > FEW {
            let detail = format!("closed without an answer: {kept:?}");
            self.report(PromiseKind::NotLost, detail);
        }
        if !stopping.is_empty() {
            let detail = format!("cut off by a planned stop: {stopping:?}");
            self.report(PromiseKind::NotLost, detail);
        }
    }

    /// Whether only planned work disturbed the host of a call, and left it the time to answer.
    fn is_planned_stop(&self, call: &CallRecord, from: ClockTime) -> bool {
        let mut planned = false;
        for disruption in &self.seen.disruptions {
            let ended = disruption.to.is_some_and(|end| end < from);
            let elsewhere = match disruption.part {
                SoakPart::Host(host) | SoakPart::CallerLink(host) | SoakPart::StoreLink(host) => {
                    host != call.host
                }
                SoakPart::Target(_) => true,
                SoakPart::Store => false,
            };
            if ended || disruption.from > call.ended || elsewhere {
                continue;
            }
            if !disruption.planned {
                return false;
            }
            let tail = disruption.from + STOP_BOUND.since(STOP_TAIL);
            planned = call.ended < tail;
        }
        planned
    }

    fn check_processes(&mut self) {
        let mut details: Vec<String> = Vec::new();
        for end in &self.seen.ends {
            match end.told {
                None => details.push(format!("host {} ended by itself: {:?}", end.host, end.code)),
                Some(told) if end.at > told + STOP_BOUND + LOOK_PAUSE + LOOK_PAUSE => {
                    details.push(format!(
                        "host {} ended {} late",
                        end.host,
                        end.at.since(told)
                    ));
                }
                Some(_) if end.code != Some(0) => {
                    details.push(format!("host {} stopped with {:?}", end.host, end.code));
                }
                Some(_) => {}
            }
        }
        for detail in details {
            self.report(PromiseKind::ProcessLife, detail);
        }
        for host in &self.seen.unready {
            let detail = format!("host {host} is not ready");
            self.report(PromiseKind::Recovery, detail);
        }
    }
}
