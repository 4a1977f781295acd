//! Checks the history of a run against what the system promises.
//!
//! Promises without a time bound are checked for every call. Those with one are checked only where
//! the host and the other parts involved were undisturbed, from [`STABLE_TIME`] before on.

use crate::history::{
    ArrivalRecord, CallKind, CallOutcome, CallRecord, RunHistory, SoakPart, TargetLifetime,
};
use crate::tenants::CALL_COST;
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::{
    answer_text, event_text, AnswerFacts, EVENT_COUNT, STREAM_TIMEOUT_MS, TIMEOUT_MS,
};
use std::collections::{HashMap, HashSet};

/// Undisturbed time after which time bounds hold; `stable_ms` of the platform's settings.
pub const STABLE_TIME: ClockTime = ClockTime::from_ms(3_000);
/// Time in which hosts must apply a new configuration; `config_apply_ms`.
const APPLY_BOUND: ClockTime = ClockTime::from_ms(2_000);
/// Time in which hosts must apply a changed tenant, stated by the rules for tenants.
const TENANT_APPLY_BOUND: ClockTime = ClockTime::from_ms(3_000);
/// Time window in which the usage of a tenant is bounded; `quota_window_s`.
const QUOTA_WINDOW: ClockTime = ClockTime::from_secs(8);
/// Usage of a window beyond its limit, as a part of that; `quota_excess`.
const QUOTA_EXCESS: f64 = 0.1;
/// Usage of a window beyond its limit and that part, tokens; `quota_slack`.
const QUOTA_SLACK: f64 = 7_400.0;
/// Time after which a leaving target must get no request; `drain_ms`.
const DRAIN_BOUND: ClockTime = ClockTime::from_ms(2_000);
/// Time after the last fault from which all calls must be answered; `recovery_s`.
pub const RECOVERY_BOUND: ClockTime = ClockTime::from_secs(12);
/// Time in which a process must exit after SIGTERM; `grace_s`.
const STOP_BOUND: ClockTime = ClockTime::from_secs(8);
/// Interval at which processes are polled; an exit may be noticed this late.
pub const POLL_INTERVAL: ClockTime = ClockTime::from_ms(100);
/// Time in which a target must learn that its caller has left, and in which a call must be answered
/// after the timeout of its route; stated by the rules.
const CALL_END_BOUND: ClockTime = ClockTime::from_ms(500);
/// Largest share of executions that may go on for longer after their callers left; stated by the
/// rules.
const MAX_CONTINUED_SHARE: f64 = 0.25;
/// Number of deviations that the rules tolerate as "a few" or "not more than three".
const TOLERATED_EVENTS: usize = 3;
/// Longest time by which the timeout stated to a target may exceed the caller's, ms; stated by the
/// rules.
const TIMEOUT_SLACK_MS: u64 = 500;
/// Tolerated arrivals with a longer timeout than that; stated by the rules.
const TOLERATED_LONG_TIMEOUTS: usize = 20;
/// Time window in which retries are counted; `retry_window_s`.
const RETRY_WINDOW: ClockTime = ClockTime::from_secs(10);
/// Allowed retries for each request of a window; `retry_budget`.
const RETRY_RATIO: f64 = 0.2;
/// Retries allowed in a window beyond that ratio; `retry_slack`.
const RETRY_SLACK: f64 = 58.0;
/// Time after a refusal with a pause from which on the target gets no more requests; stated by the
/// rules.
const PAUSE_BOUND: ClockTime = ClockTime::from_ms(500);
/// Requests of a host within a pause that the rules tolerate.
const TOLERATED_PAUSED: usize = 2;
/// Last sixth of the stop time, in which a host may cut off calls that targets are still executing.
const STOP_TAIL: ClockTime = ClockTime::from_ms(8_000 / 6);

/// A promise of the system; the names are written to the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
pub enum PromiseKind {
    /// An answer belongs to its request and is whole.
    WholeAnswer,
    /// The events of a stream arrive once each, in order, to the last.
    EventOrder,
    /// Targets receive what callers sent.
    UnchangedRequest,
    /// A call that must not run more than once does not.
    RunsOnce,
    /// A refused call has not run.
    RefusedNotRun,
    /// Valid requests are not rejected as invalid.
    NotDenied,
    /// A call without a valid key does not reach a target.
    ValidKey,
    /// A target learns the tenant of a call and not its key.
    KeyHidden,
    /// A call that is refused for its key or the limit of its tenant has not run.
    TenantRefusal,
    /// The usage of a tenant over all hosts is within the bound of its limit.
    UsageBound,
    /// Only targets of the route's services execute a request.
    AllowedService,
    /// A new configuration is applied in time.
    NewRoutes,
    /// A leaving target gets no requests once its drain time is over.
    LeavingTarget,
    /// Attempts for one request, retries of all requests and the timeouts stated to targets are
    /// bounded.
    RepeatBudget,
    /// A target that wants no requests for a while gets few.
    TargetPause,
    /// Calls are answered at the timeout of their route.
    Overdue,
    /// Targets learn in time that a caller has left.
    CallerLeft,
    /// A call whose request reached a target is answered.
    NotLost,
    /// Processes exit only when they are asked to, and then in time and with code 0.
    ProcessLife,
    /// All hosts are ready and all calls are answered some time after the last fault.
    Recovery,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct PromiseViolation {
    /// The promise that did not hold.
    pub kind: PromiseKind,
    /// What was observed, with the calls, targets or hosts concerned.
    pub detail: String,
}

/// Collects the violations in a history, whose arrivals it indexes by request identifier.
struct HistoryChecker<'a> {
    history: &'a RunHistory,
    arrivals: HashMap<&'a str, Vec<&'a ArrivalRecord>>,
    violations: Vec<PromiseViolation>,
}

/// Returns the timeout of the route for a kind of call.
fn route_timeout(kind: CallKind) -> ClockTime {
    ClockTime::from_ms(match kind {
        CallKind::Once | CallKind::Repeatable => TIMEOUT_MS,
        CallKind::Stream => STREAM_TIMEOUT_MS,
    })
}

/// Returns all broken promises in the history of a run.
pub fn check_history(history: &RunHistory) -> Vec<PromiseViolation> {
    let mut arrivals: HashMap<&str, Vec<&ArrivalRecord>> = HashMap::new();
    for arrival in &history.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    let mut checker = HistoryChecker {
        history,
        arrivals,
        violations: Vec::new(),
    };
    for call in &history.calls {
        checker.check_answer(call);
        checker.check_runs(call);
        checker.check_key(call);
        checker.check_key_hidden(call);
        checker.check_tenant_refusal(call);
        checker.check_service(call);
        checker.check_leaving_targets(call);
        checker.check_recovery(call);
    }
    checker.check_usage();
    checker.check_requests();
    checker.check_retries();
    checker.check_pauses();
    checker.check_left_callers();
    checker.check_overdue_calls();
    checker.check_lost_calls();
    checker.check_processes();
    checker.violations
}

impl<'a> HistoryChecker<'a> {
    fn report(&mut self, kind: PromiseKind, detail: String) {
        self.violations.push(PromiseViolation { kind, detail });
    }

    /// Returns the arrivals of a request at any target.
    fn arrivals_of(&self, id: &str) -> &[&'a ArrivalRecord] {
        self.arrivals.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the arrivals of a request that the target began to execute.
    fn runs_of(&self, id: &str) -> impl Iterator<Item = &'a ArrivalRecord> + '_ {
        self.arrivals_of(id)
            .iter()
            .copied()
            .filter(|arrival| arrival.executed)
    }

    /// Checks that the answer belongs to its request and is whole.
    fn check_answer(&mut self, call: &CallRecord) {
        let (facts, body, whole) = match &call.outcome {
            CallOutcome::Answered(facts, body) => (facts, body, true),
            CallOutcome::Broken(facts, body) => (facts, body, false),
            CallOutcome::Unsent
            | CallOutcome::Lost
            | CallOutcome::Left
            | CallOutcome::Unanswered => return,
        };
        if facts.id.as_ref().is_some_and(|id| *id != call.id) {
            let detail = format!("{}: the answer belongs to request {:?}", call.id, facts.id);
            self.report(PromiseKind::WholeAnswer, detail);
        }
        let status = facts.status.as_u16();
        let expected = status == 401 && self.is_invalid_key(call, call.ended);
        if !expected
            && facts.seal.is_none()
            && matches!(status, 300..=407 | 409..=420 | 422..=428 | 430..=499)
        {
            self.report(PromiseKind::NotDenied, format!("{}: got {status}", call.id));
        }
        if !facts.status.is_success() {
            return;
        }
        let Some(seal) = &facts.seal else {
            let detail = format!("{}: the successful answer has no seal of a target", call.id);
            self.report(PromiseKind::WholeAnswer, detail);
            return;
        };
        if !self.runs_of(&call.id).any(|run| run.target == *seal) {
            let detail = format!("{}: {seal} answered but never ran it", call.id);
            self.report(PromiseKind::WholeAnswer, detail);
        }
        if call.kind == CallKind::Stream {
            self.check_events(call, body, whole);
        } else if whole && body.as_ref() != answer_text(seal, &call.id).as_bytes() {
            let detail = format!("{}: unexpected body {body:?} from {seal}", call.id);
            self.report(PromiseKind::WholeAnswer, detail);
        }
    }

    /// Checks that the events are those expected, or the first of them if the answer broke off.
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
            let detail = format!("{}: unexpected events {text:?}, complete: {whole}", call.id);
            self.report(PromiseKind::EventOrder, detail);
        }
    }

    /// Checks that a call that must not be repeated ran at most once, and not at all if refused.
    fn check_runs(&mut self, call: &CallRecord) {
        let runs: Vec<_> = self.runs_of(&call.id).collect();
        let targets: Vec<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        if call.kind != CallKind::Once {
            return;
        }
        if runs.len() > 1 {
            let detail = format!("{}: ran more than once, at {targets:?}", call.id);
            self.report(PromiseKind::RunsOnce, detail);
        }
        if let CallOutcome::Answered(AnswerFacts { refused: true, .. }, _) = &call.outcome {
            if !runs.is_empty() {
                let detail = format!("{}: refused, but ran at {targets:?}", call.id);
                self.report(PromiseKind::RefusedNotRun, detail);
            }
        }
    }

    /// Returns whether the key of a call was never valid or had been revoked by a time.
    fn is_invalid_key(&self, call: &CallRecord, at: ClockTime) -> bool {
        call.key.is_some_and(|key| {
            let mut revocations = self.history.revocations.iter();
            key.tenant.is_none()
                || revocations.any(|revoked| revoked.key == key.text && revoked.at <= at)
        })
    }

    /// Returns when a host must have applied the tenants published at a time, after which they must
    /// not return to an older state; `None` if the host or its store was always disturbed.
    fn applied_at(&self, host: usize, published: ClockTime) -> Option<ClockTime> {
        let parts = [
            SoakPart::Host(host),
            SoakPart::Store,
            SoakPart::StoreLink(host),
        ];
        let ends = self.history.disruptions.iter();
        let settled = ends
            .filter(|disruption| parts.contains(&disruption.part))
            .filter_map(|disruption| disruption.to)
            .map(|end| end + STABLE_TIME + ClockTime::from_ms(1));
        settled
            .chain([published])
            .filter(|begin| *begin >= published)
            .filter(|begin| {
                let (from, to) = (begin.since(STABLE_TIME), *begin + TENANT_APPLY_BOUND);
                let mut parts = parts.iter();
                parts.all(|part| self.history.is_undisturbed(*part, from, to))
            })
            .min()
            .map(|begin| begin + TENANT_APPLY_BOUND)
    }

    /// Checks that no call with an unknown key reached a target, nor one with a key whose
    /// revocation the host must have applied. The first attempt counts from its arrival, as a queued
    /// call is refused too; later ones count from the begin of the call, which was admitted.
    fn check_key(&mut self, call: &CallRecord) {
        let Some(key) = call.key else {
            return;
        };
        let mut revocations = self.history.revocations.iter();
        let revoked = revocations.find(|revoked| revoked.key == key.text);
        let applied = revoked.and_then(|revoked| self.applied_at(call.host, revoked.at));
        let mut details = Vec::new();
        for (index, arrival) in self.arrivals_of(&call.id).iter().enumerate() {
            let from = arrival.at.since(STABLE_TIME);
            let undisturbed = self
                .history
                .target_undisturbed(&arrival.target, from, arrival.at);
            // A disturbed connection may have held up the request.
            let sent = if index == 0 && undisturbed {
                arrival.at
            } else {
                call.started
            };
            if key.tenant.is_none() {
                details.push(format!(
                    "{}: reached {} with an unknown key",
                    call.id, arrival.target
                ));
            } else if applied.is_some_and(|applied| sent > applied) {
                details.push(format!(
                    "{}: reached {} through host {} at {} with a key revoked at {:?}, \
                     applied at {applied:?}",
                    call.id,
                    arrival.target,
                    call.host,
                    arrival.at,
                    revoked.map(|revoked| revoked.at)
                ));
            }
        }
        for detail in details {
            self.report(PromiseKind::ValidKey, detail);
        }
    }

    /// Checks that targets learned the tenant of the call, and no key.
    fn check_key_hidden(&mut self, call: &CallRecord) {
        let tenant = call.key.and_then(|key| key.tenant);
        let wrong = self.arrivals_of(&call.id).iter().find(|arrival| {
            arrival.key_count > 0 || !arrival.tenants.iter().map(String::as_str).eq(tenant)
        });
        if let Some(arrival) = wrong {
            let detail = format!(
                "{}: {} got {} keys and the tenants {:?} for a call of tenant {tenant:?}",
                call.id, arrival.target, arrival.key_count, arrival.tenants
            );
            self.report(PromiseKind::KeyHidden, detail);
        }
    }

    /// Checks that a call of any kind that is refused for its key or a limit has not run.
    fn check_tenant_refusal(&mut self, call: &CallRecord) {
        let (Some(_), CallOutcome::Answered(facts, _)) = (call.key, &call.outcome) else {
            return;
        };
        let status = facts.status.as_u16();
        let runs: Vec<&str> = self
            .runs_of(&call.id)
            .map(|run| run.target.as_str())
            .collect();
        if facts.seal.is_none() && matches!(status, 401 | 429) && !runs.is_empty() {
            let detail = format!("{}: got {status}, but ran at {runs:?}", call.id);
            self.report(PromiseKind::TenantRefusal, detail);
        }
    }

    /// Checks the usage that was sent in each window and ran, against the highest limit that a host
    /// may have applied in it.
    fn check_usage(&mut self) {
        let limits = &self.history.limits;
        let Some(tenant) = limits.first().map(|limit| limit.tenant) else {
            return;
        };
        let hosts: HashSet<usize> = self.history.calls.iter().map(|call| call.host).collect();
        // An older limit ends when all hosts must have applied the next one.
        let ends: Vec<Option<ClockTime>> = (1..=limits.len())
            .map(|next| {
                let next = limits.get(next)?;
                let applied = hosts.iter().map(|host| self.applied_at(*host, next.at));
                applied.collect::<Option<Vec<_>>>()?.into_iter().max()
            })
            .collect();
        let calls = self.history.calls.iter();
        let mut sent: Vec<ClockTime> = calls
            .filter(|call| call.key.and_then(|key| key.tenant) == Some(tenant))
            .filter(|call| self.runs_of(&call.id).next().is_some())
            .map(|call| call.started)
            .collect();
        sent.sort();
        let mut largest: Option<(f64, String)> = None;
        for (index, begin) in sent.iter().enumerate() {
            let end = *begin + QUOTA_WINDOW;
            let count = sent[index..].partition_point(|at| *at < end);
            let bound = limits
                .iter()
                .zip(&ends)
                .filter(|(limit, ended)| limit.at < end && ended.is_none_or(|to| to > *begin))
                .map(|(limit, _)| {
                    let usage = limit.rate_per_s * QUOTA_WINDOW.as_ms() as f64 / 1_000.0;
                    (usage + limit.burst) * (1.0 + QUOTA_EXCESS) + QUOTA_SLACK
                })
                .fold(0.0, f64::max);
            let usage = count as f64 * CALL_COST as f64;
            if usage > bound
                && largest
                    .as_ref()
                    .is_none_or(|(most, _)| usage / bound > *most)
            {
                let detail = format!("{tenant}: {usage} tokens from {begin} on, at most {bound}");
                largest = Some((usage / bound, detail));
            }
        }
        if let Some((_, detail)) = largest {
            self.report(PromiseKind::UsageBound, detail);
        }
    }

    /// Checks that only services of the route ran the call, and no outdated ones.
    fn check_service(&mut self, call: &CallRecord) {
        let runs: Vec<_> = self.runs_of(&call.id).collect();
        for run in runs {
            let Some(service) = self
                .history
                .target(&run.target)
                .map(|target| target.service)
            else {
                continue;
            };
            let published = self.allowed_services(call, None, run.at);
            let since =
                ClockTime::from_ms(call.started.as_ms().saturating_sub(APPLY_BOUND.as_ms()));
            let current = self.allowed_services(call, Some(since), run.at);
            if !published.contains(service) {
                let detail = format!(
                    "{}: run by service {service}, which no version of the route names",
                    call.id
                );
                self.report(PromiseKind::AllowedService, detail);
            } else if !current.contains(service)
                && self
                    .history
                    .host_undisturbed(call.host, since.since(STABLE_TIME), call.ended)
            {
                let detail = format!(
                    "{}: run by service {service} of an outdated version",
                    call.id
                );
                self.report(PromiseKind::NewRoutes, detail);
            }
        }
    }

    /// Returns the services that may run a call: those of all versions published up to `until`, or
    /// with `since` only those of the version in force at that time and of later ones.
    fn allowed_services(
        &self,
        call: &CallRecord,
        since: Option<ClockTime>,
        until: ClockTime,
    ) -> HashSet<&'static str> {
        if call.kind != CallKind::Repeatable {
            return HashSet::from([crate::run::MAIN_SERVICE]);
        }
        let versions = &self.history.versions;
        let first = since.map_or(0, |since| {
            let older = versions.iter().rposition(|version| version.at <= since);
            older.unwrap_or(0)
        });
        let sent = versions[first..]
            .iter()
            .filter(|version| version.at <= until);
        sent.map(|version| version.service).collect()
    }

    /// Checks that a leaving target ran no request after the drain time. A request that a disturbed
    /// connection may have held up does not count, as in the platform's rules.
    fn check_leaving_targets(&mut self, call: &CallRecord) {
        let late: Vec<String> = self
            .arrivals_of(&call.id)
            .iter()
            .filter(|arrival| {
                let target = self.history.target(&arrival.target);
                let leaving_since = target.and_then(|target: &TargetLifetime| target.leaving_since);
                leaving_since.is_some_and(|since| {
                    let link = SoakPart::TargetLink(target.map_or(usize::MAX, |t| t.place));
                    let stable_from = arrival.at.since(STABLE_TIME);
                    arrival.executed
                        && self.history.is_undisturbed(link, stable_from, arrival.at)
                        && arrival.at > since + DRAIN_BOUND
                        && self.history.host_undisturbed(
                            call.host,
                            since.since(STABLE_TIME),
                            arrival.at,
                        )
                })
            })
            .map(|arrival| format!("{}: run by {} after it had left", call.id, arrival.target))
            .collect();
        for detail in late {
            self.report(PromiseKind::LeavingTarget, detail);
        }
    }

    /// Checks that a call which began after the recovery bound succeeded or was cancelled. Calls with
    /// an invalid key must be refused for it, and those of a tenant with a limit may be over that.
    fn check_recovery(&mut self, call: &CallRecord) {
        let recovered = self.history.faults_ended + RECOVERY_BOUND;
        let answered = match &call.outcome {
            CallOutcome::Answered(facts, _) => match facts.status.as_u16() {
                status if self.is_invalid_key(call, call.started) => status == 401,
                429 => {
                    let tenant = call.key.and_then(|key| key.tenant);
                    let mut limits = self.history.limits.iter();
                    limits.any(|limit| tenant == Some(limit.tenant))
                }
                _ => facts.status.is_success(),
            },
            CallOutcome::Left => true,
            CallOutcome::Broken(..)
            | CallOutcome::Unsent
            | CallOutcome::Lost
            | CallOutcome::Unanswered => false,
        };
        if call.started >= recovered && !answered {
            let detail = format!(
                "{}: not answered with success by host {} after recovery: {:?}",
                call.id, call.host, call.outcome
            );
            self.report(PromiseKind::Recovery, detail);
        }
    }

    /// Checks that targets received only requests of callers, unchanged and with a proper timeout.
    fn check_requests(&mut self) {
        let calls_by_id: HashMap<&str, &CallRecord> = self
            .history
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call))
            .collect();
        let mut too_long = 0;
        for arrival in &self.history.arrivals {
            let Some(call) = calls_by_id.get(arrival.id.as_str()) else {
                let detail = format!(
                    "request {:?} reached a target, but no caller sent it",
                    arrival.id
                );
                self.report(PromiseKind::UnchangedRequest, detail);
                continue;
            };
            if call.path != arrival.path || !arrival.body_unchanged {
                let detail = format!(
                    "{}: arrived changed, with path {} at {}",
                    call.id, arrival.path, arrival.target
                );
                self.report(PromiseKind::UnchangedRequest, detail);
            }
            let limit = call.timeout_ms + TIMEOUT_SLACK_MS;
            if arrival.timeout_ms.is_none_or(|given| given > limit) {
                too_long += 1;
            }
        }
        if too_long > TOLERATED_LONG_TIMEOUTS {
            let detail = format!("{too_long} arrivals with a longer timeout than their caller's");
            self.report(PromiseKind::RepeatBudget, detail);
        }
    }

    /// Checks that retries stay within the attempts of a route and the retry budget of all hosts.
    fn check_retries(&mut self) {
        let mut over_limit = 0;
        for call in &self.history.calls {
            let mut targets = HashSet::new();
            for run in self.runs_of(&call.id) {
                let undisturbed = self
                    .history
                    .target_undisturbed(&run.target, run.at, call.ended);
                if undisturbed {
                    targets.insert(run.target.as_str());
                }
            }
            if call.kind == CallKind::Repeatable
                && targets.len() > crate::run::REPEATABLE_ATTEMPTS as usize
            {
                over_limit += 1;
            }
        }
        if over_limit > TOLERATED_EVENTS {
            let detail = format!("{over_limit} calls ran at more targets than their route allows");
            self.report(PromiseKind::RepeatBudget, detail);
        }
        let mut first = HashSet::new();
        let repeats: Vec<ClockTime> = self
            .history
            .arrivals
            .iter()
            .filter(|arrival| !first.insert(arrival.id.as_str()))
            .map(|arrival| arrival.at)
            .collect();
        for (index, end) in repeats.iter().enumerate() {
            let begin = end.since(RETRY_WINDOW);
            let count = repeats[..=index].iter().filter(|at| **at > begin).count();
            // The largest number of requests in this window, the one before and the one half-way
            // between.
            let requests = [0, 5, 10]
                .map(|back| self.calls_between(begin.since(ClockTime::from_secs(back)), *end, back))
                .into_iter()
                .max()
                .unwrap_or(0);
            if count as f64 > RETRY_RATIO * requests as f64 + RETRY_SLACK {
                let detail =
                    format!("{count} retries for {requests} requests in the window up to {end}");
                self.report(PromiseKind::RepeatBudget, detail);
                return;
            }
        }
    }

    /// Checks that a target which turned requests away for a while got few requests in that time.
    /// Which host sent a request is not recorded, so that the bound is that of all hosts together,
    /// each of which may have asked once before it knew.
    fn check_pauses(&mut self) {
        let hosts: HashSet<usize> = self.history.calls.iter().map(|call| call.host).collect();
        let limit = hosts.len() * (TOLERATED_PAUSED + 1);
        let mut details = Vec::new();
        for refusal in &self.history.arrivals {
            let Some(pause) = refusal.pause.filter(|pause| *pause > PAUSE_BOUND) else {
                continue;
            };
            let (from, to) = (refusal.at + PAUSE_BOUND, refusal.at + pause);
            let undisturbed = hosts.iter().all(|host| {
                self.history
                    .host_undisturbed(*host, refusal.at.since(STABLE_TIME), to)
            });
            let arrivals = self.history.arrivals.iter();
            let count = arrivals
                .filter(|arrival| arrival.target == refusal.target)
                .filter(|arrival| arrival.at > from && arrival.at <= to)
                .count();
            if undisturbed && count > limit {
                details.push(format!(
                    "{count} requests reached {} within its pause from {from} to {to}",
                    refusal.target
                ));
            }
        }
        if let Some(detail) = details.into_iter().next() {
            self.report(PromiseKind::TargetPause, detail);
        }
    }

    /// Counts the calls that started after `from` and at the latest `back_s` seconds before `end`.
    fn calls_between(&self, from: ClockTime, end: ClockTime, back_s: u64) -> usize {
        let to = end.since(ClockTime::from_secs(back_s));
        let calls = self.history.calls.iter();
        calls
            .filter(|call| call.started > from && call.started <= to)
            .count()
    }

    /// Checks that targets stop work for callers that have left.
    fn check_left_callers(&mut self) {
        let (mut working, mut continued, mut reached) = (0_usize, 0_usize, 0_usize);
        for call in &self.history.calls {
            let bound = call.ended + CALL_END_BOUND;
            if !matches!(call.outcome, CallOutcome::Left | CallOutcome::Unanswered)
                || !self
                    .history
                    .host_undisturbed(call.host, call.started.since(STABLE_TIME), bound)
            {
                continue;
            }
            for arrival in self.arrivals_of(&call.id) {
                reached += usize::from(arrival.at > bound);
            }
            for run in self.runs_of(&call.id) {
                let undisturbed =
                    self.history
                        .target_undisturbed(&run.target, run.at.since(STABLE_TIME), bound);
                if call.kind == CallKind::Once
                    || !undisturbed
                    || run.ended.is_some_and(|ended| ended < call.ended)
                {
                    continue;
                }
                working += 1;
                continued += usize::from(run.ended.is_none_or(|ended| ended > bound));
            }
        }
        if reached > TOLERATED_EVENTS {
            let detail = format!("{reached} requests reached targets after their callers had left");
            self.report(PromiseKind::CallerLeft, detail);
        }
        if continued > TOLERATED_EVENTS && continued as f64 > MAX_CONTINUED_SHARE * working as f64 {
            let detail =
                format!("{continued} of {working} executions went on after their callers had left");
            self.report(PromiseKind::CallerLeft, detail);
        }
    }

    /// Checks that most calls that reach the timeout of their route are answered soon after it.
    fn check_overdue_calls(&mut self) {
        let timeout = route_timeout(CallKind::Once);
        let (mut reached, mut overdue) = (0_usize, 0_usize);
        for call in &self.history.calls {
            let took = call.ended.since(call.started);
            let host_undisturbed = self.history.host_undisturbed(
                call.host,
                call.started.since(STABLE_TIME),
                call.ended,
            );
            if call.kind == CallKind::Stream || took < timeout || !host_undisturbed {
                continue;
            }
            reached += 1;
            overdue += usize::from(took > timeout + CALL_END_BOUND);
        }
        if overdue > TOLERATED_EVENTS && 2 * overdue > reached {
            let detail =
                format!("{overdue} of {reached} calls were answered too late after their timeout");
            self.report(PromiseKind::Overdue, detail);
        }
    }

    /// Checks that calls that reached a target are answered, also during a planned stop.
    fn check_lost_calls(&mut self) {
        let mut undisturbed = Vec::new();
        let mut during_stop = Vec::new();
        for call in &self.history.calls {
            let lost = matches!(call.outcome, CallOutcome::Lost | CallOutcome::Broken(..));
            let targets_undisturbed = self.arrivals_of(&call.id).iter().all(|arrival| {
                self.history.target_undisturbed(
                    &arrival.target,
                    call.started.since(STABLE_TIME),
                    call.ended,
                )
            });
            // A host breaks off calls that have not ended at the timeout of their route.
            let timed_out = call.ended.since(call.started) >= route_timeout(call.kind);
            if !lost || !targets_undisturbed || timed_out || self.arrivals_of(&call.id).is_empty() {
                continue;
            }
            let from = call.started.since(STABLE_TIME);
            if call.reused && self.history.host_undisturbed(call.host, from, call.ended) {
                undisturbed.push(call.id.as_str());
            }
            if self.is_planned_stop(call, from) {
                during_stop.push(call.id.as_str());
            }
        }
        if undisturbed.len() > TOLERATED_EVENTS {
            let detail = format!("calls cut off without a fault: {undisturbed:?}");
            self.report(PromiseKind::NotLost, detail);
        }
        if !during_stop.is_empty() {
            let detail = format!("calls cut off by a planned stop: {during_stop:?}");
            self.report(PromiseKind::NotLost, detail);
        }
    }

    /// Returns whether only a planned stop or reload disturbed the host of a call, and left it
    /// enough time to answer.
    fn is_planned_stop(&self, call: &CallRecord, from: ClockTime) -> bool {
        let mut planned = false;
        for disruption in &self.history.disruptions {
            let ended = disruption.to.is_some_and(|end| end < from);
            let unrelated = match disruption.part {
                SoakPart::Host(host) | SoakPart::CallerLink(host) | SoakPart::StoreLink(host) => {
                    host != call.host
                }
                SoakPart::Target(_) | SoakPart::TargetLink(_) => true,
                SoakPart::Store => false,
            };
            if ended || disruption.from > call.ended || unrelated {
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

    /// Checks that processes exited only as asked, and that all hosts were ready in the end.
    fn check_processes(&mut self) {
        let mut details: Vec<String> = Vec::new();
        for exit in &self.history.exits {
            match exit.stop_requested {
                None => details.push(format!(
                    "host {} exited by itself: {:?}",
                    exit.host, exit.code
                )),
                Some(requested)
                    if exit.at > requested + STOP_BOUND + POLL_INTERVAL + POLL_INTERVAL =>
                {
                    details.push(format!(
                        "host {} exited only {} after SIGTERM",
                        exit.host,
                        exit.at.since(requested)
                    ));
                }
                Some(_) if exit.code != Some(0) => {
                    details.push(format!(
                        "host {} exited with {:?} after SIGTERM",
                        exit.host, exit.code
                    ));
                }
                Some(_) => {}
            }
        }
        for detail in details {
            self.report(PromiseKind::ProcessLife, detail);
        }
        for host in &self.history.unready_hosts {
            let detail = format!("host {host} is not ready after recovery");
            self.report(PromiseKind::Recovery, detail);
        }
    }
}
