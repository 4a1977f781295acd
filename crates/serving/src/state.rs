//! The reducer of the request path.
//!
//! Each call is sent, waits, or is refused when it arrives, and again whenever an attempt ends or a
//! place becomes free. A call that may have run is never refused.

mod estimate;

use crate::call::{AttemptOutcome, CallInfo, CallNeed};
use crate::choose::{choose_target, NoTarget, OwnHost};
use crate::crashes::{CrashReport, CrashTracker};
use crate::demand::{DemandCounter, ModelDemand};
use crate::event::{AttemptPlan, RefusalReason, RequestRefusal, ServingEffect, ServingEvent};
use crate::hosts::{report_lifetime, HostShare};
use crate::retries::{RetryBudget, RetryLimits};
use crate::rules::RuleSet;
use crate::targets::TargetTable;
use crate::turns::{HostWaiting, ModelKey, TurnTracker};
use crate::waiting::{WaitingCall, WaitingCalls};
use crocusyard_base::prelude::*;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Pause between requests for an absent copy; an order and its answer take less.
const WANT_PAUSE: ClockTime = ClockTime::from_ms(150);
/// Shortest time in which an answer can come; less is left to a call that is refused.
const SHORTEST_ANSWER: ClockTime = ClockTime::from_ms(30);
/// Wait told to callers when no target of the service is known; a target list is that old at most.
const NO_TARGET_RETRY: ClockTime = ClockTime::from_ms(1_000);
/// Shortest wait told to callers.
const RETRY_MIN: ClockTime = ClockTime::from_ms(100);
/// Longest wait told to callers.
const RETRY_MAX: ClockTime = ClockTime::from_secs(5);

/// Limits that the platform gives.
#[derive(Clone, Debug)]
pub struct ServingConfig {
    /// Own failure domain.
    pub domain: DomainName,
    /// Repeated sends.
    pub retries: RetryLimits,
}

#[derive(Clone, Debug)]
struct RequestState {
    call: Rc<CallInfo>,
    arrived: ClockTime,
    sends: u32,
    tried: Vec<TargetName>,
    target: Option<(TargetName, u64)>,
    sent_at: ClockTime,
    /// What it waited for last.
    waited_for: Option<NoTarget>,
    /// Whether an attempt may have run.
    maybe_ran: bool,
}

/// State of the request path of one host.
#[derive(Clone, Debug)]
pub struct ServingState {
    config: ServingConfig,
    rules: Option<Rc<RuleSet>>,
    /// Targets.
    pub targets: TargetTable,
    targets_known: bool,
    requests: HashMap<RequestKey, RequestState>,
    waiting: WaitingCalls,
    turns: TurnTracker,
    budget: RetryBudget,
    crashes: CrashTracker,
    demand: DemandCounter,
    run_times: HashMap<(ServiceName, Option<ModelName>), f64>,
    /// Since when models have been missed at all targets.
    absent: HashMap<(ServiceName, ModelName), ClockTime>,
    share: HostShare,
    started: ClockTime,
    stopping: bool,
}

type Effects = Vec<ServingEffect>;

impl ServingState {
    /// Makes the state of a host that knows nothing.
    pub fn new(config: ServingConfig, now: ClockTime) -> Self {
        Self {
            budget: RetryBudget::new(config.retries),
            config,
            rules: None,
            targets: TargetTable::default(),
            targets_known: false,
            requests: HashMap::new(),
            waiting: WaitingCalls::default(),
            turns: TurnTracker::default(),
            crashes: CrashTracker::default(),
            demand: DemandCounter::default(),
            run_times: HashMap::new(),
            absent: HashMap::new(),
            share: HostShare::equal(1),
            started: now,
            stopping: false,
        }
    }

    /// Configuration in force.
    pub fn rules(&self) -> Option<&Rc<RuleSet>> {
        self.rules.as_ref()
    }

    /// Returns whether configuration and targets are known.
    pub fn is_ready(&self) -> bool {
        self.rules.is_some() && self.targets_known
    }

    /// Requests in progress.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Demand, for the lease holder.
    pub fn demand_report(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        let mut waiting: HashMap<(ServiceName, CallNeed), u32> = HashMap::new();
        for call in self.waiting_calls() {
            if let Some(need) = &call.need {
                let place = (call.service.clone(), need.clone());
                *waiting.entry(place).or_default() += 1;
            }
        }
        self.demand.set_waiting(&waiting);
        let mut demands = self.demand.report(now);
        for demand in &mut demands {
            let key = (demand.service.clone(), Some(demand.need.model.clone()));
            demand.run_ms = self.run_times.get(&key).map(|ms| *ms as u32);
        }
        demands
    }

    /// Waiting calls by model, for the other hosts.
    pub fn waiting_report(&self) -> HostWaiting {
        let mut report = HostWaiting::new();
        for call in self.waiting_calls() {
            if let Some(model) = call.model() {
                let key = ModelKey::of(&call.service, model);
                let count: &mut u16 = report.entry(key).or_default();
                *count = count.saturating_add(1);
            }
        }
        report
    }

    fn waiting_calls(&self) -> impl Iterator<Item = &CallInfo> {
        self.waiting
            .keys()
            .filter_map(|key| self.requests.get(&key))
            .map(|request| &*request.call)
    }

    /// Handles an event.
    pub fn reduce(&mut self, event: ServingEvent, now: ClockTime) -> Effects {
        let mut out = Vec::new();
        match event {
            ServingEvent::CallArrived { key, call } => self.arrive(key, call, now, &mut out),
            ServingEvent::AttemptEnded { key, outcome } => self.end(key, outcome, now, &mut out),
            ServingEvent::CallerLeft { key } => {
                self.leave(key);
                self.serve_waiting(now, &mut out);
            }
            ServingEvent::Rules(rules) => self.set_rules(rules),
            ServingEvent::Targets { upserts, removed } => {
                self.targets_known = true;
                for record in upserts {
                    self.targets.upsert(record, now);
                }
                for name in removed {
                    self.targets.remove(&name);
                }
                self.serve_waiting(now, &mut out);
            }
            ServingEvent::Load { target, load } => self.targets.update_load(&target, load, now),
            ServingEvent::Holdings {
                target,
                incarnation,
                models,
            } => {
                self.targets
                    .update_holdings(&target, incarnation, models, now);
                self.serve_waiting(now, &mut out);
            }
            ServingEvent::Crash(report) => {
                self.crashes.record(&report, now);
            }
            ServingEvent::PeerLoad { host, load } => self.targets.update_peer(&host, load, now),
            ServingEvent::PeerWaiting { host, waiting } => {
                self.turns.update_peer(&host, waiting, now);
            }
            ServingEvent::Hosts(share) => {
                self.share = share;
                let limit = report_lifetime(share.hosts);
                self.targets.drop_silent_peers(limit, now);
                self.turns.drop_expired(limit, now);
            }
            ServingEvent::Stop => {
                self.stopping = true;
                self.serve_waiting(now, &mut out);
            }
            ServingEvent::Tick => {
                self.expire(now, &mut out);
                self.serve_waiting(now, &mut out);
            }
        }
        out
    }

    fn set_rules(&mut self, rules: Rc<RuleSet>) {
        let newer = self
            .rules
            .as_ref()
            .is_none_or(|current| rules.version > current.version);
        if newer {
            self.rules = Some(rules);
        }
    }

    fn arrive(&mut self, key: RequestKey, call: Rc<CallInfo>, now: ClockTime, out: &mut Effects) {
        self.budget.count_request(&call.service, now);
        if let Some(need) = &call.need {
            self.demand.count_arrival(&call.service, need, now);
        }
        let refused = self.crashes.is_refused(call.digest, now);
        let request = RequestState {
            call,
            arrived: now,
            sends: 0,
            tried: Vec::new(),
            target: None,
            sent_at: now,
            waited_for: None,
            maybe_ran: false,
        };
        self.requests.insert(key, request);
        if refused {
            self.refuse(key, RefusalReason::Crashes, RETRY_MAX, out);
            return;
        }
        self.place(key, now, out);
    }

    /// Sends a request, lets it wait, or ends it.
    fn place(&mut self, key: RequestKey, now: ClockTime, out: &mut Effects) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let call = request.call.clone();
        if self.spends_share(key, &call, now) {
            self.wait(key, &call, NoTarget::AllFull, now, out);
            return;
        }
        let own = OwnHost {
            domain: &self.config.domain,
            fraction: self.share.fraction,
        };
        match choose_target(&self.targets, &call, &request.tried, own, now) {
            Ok(_) if !self.takes_turn(&call, now) => {
                self.wait(key, &call, NoTarget::AllFull, now, out);
            }
            Ok(target) => {
                if let (Some(need), false) = (&call.need, self.absent.is_empty()) {
                    self.absent
                        .remove(&(call.service.clone(), need.model.clone()));
                }
                self.send(key, &target, now, out);
            }
            Err(reason) => self.wait(key, &call, reason, now, out),
        }
    }

    fn send(&mut self, key: RequestKey, target: &TargetName, now: ClockTime, out: &mut Effects) {
        self.waiting.remove(key);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(state) = self.targets.get(target) else {
            return;
        };
        request.sends += 1;
        request.tried.push(target.clone());
        request.target = Some((target.clone(), state.record.incarnation));
        request.sent_at = now;
        out.push(ServingEffect::Send(AttemptPlan {
            key,
            target: target.clone(),
            address: state.record.address,
            attempt: request.sends,
            load_age: state.load_age(now),
            load: state.load(now),
            waited_for: request.waited_for,
        }));
        self.targets.count_sent(target);
    }

    fn wait(
        &mut self,
        key: RequestKey,
        call: &CallInfo,
        reason: NoTarget,
        now: ClockTime,
        out: &mut Effects,
    ) {
        if self.stopping {
            self.refuse(key, RefusalReason::Stopping, RETRY_MIN, out);
            return;
        }
        self.note_absent(call, reason, now);
        let left = call.start_deadline.since(now);
        let estimate = self.wait_estimate(key, call, reason, now);
        if estimate + SHORTEST_ANSWER > left {
            let refusal = match reason {
                NoTarget::NoneKnown => RefusalReason::NoTarget,
                NoTarget::ModelAbsent | NoTarget::AdapterAbsent => RefusalReason::ModelAbsent,
                NoTarget::AllFull => RefusalReason::Overloaded,
            };
            self.refuse(key, refusal, estimate, out);
            if let (Some(need), true) = (&call.need, refusal == RefusalReason::ModelAbsent) {
                out.push(want(call, need));
            }
            return;
        }
        let arrived = self
            .requests
            .get(&key)
            .map_or(now, |request| request.arrived);
        if !self.waiting.contains(key) {
            let waiting = WaitingCall {
                priority: call.route.priority,
                arrived,
                send_by: arrived + call.route.latency_objective.since(self.answer_lead(call)),
                start_deadline: call.start_deadline,
                copy_requested: ClockTime::ZERO,
            };
            self.waiting.insert(key, waiting);
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.waited_for = Some(reason);
        }
        let absent = matches!(reason, NoTarget::ModelAbsent | NoTarget::AdapterAbsent);
        let Some(waiting) = self.waiting.get_mut(key) else {
            return;
        };
        let due = waiting.copy_requested == ClockTime::ZERO
            || now.since(waiting.copy_requested) >= WANT_PAUSE;
        if let (Some(need), true, true) = (&call.need, absent, due) {
            waiting.copy_requested = now;
            out.push(want(call, need));
        }
    }

    fn refuse(
        &mut self,
        key: RequestKey,
        reason: RefusalReason,
        wait: ClockTime,
        out: &mut Effects,
    ) {
        // A refusal promises that nothing has run.
        if self
            .requests
            .get(&key)
            .is_some_and(|request| request.maybe_ran)
        {
            self.fail(key, false, out);
            return;
        }
        let wait = if reason == RefusalReason::NoTarget {
            NO_TARGET_RETRY
        } else {
            wait
        };
        out.push(ServingEffect::Refuse(RequestRefusal {
            key,
            reason,
            retry_after: wait.clamp(RETRY_MIN, RETRY_MAX),
        }));
        self.leave(key);
    }

    fn leave(&mut self, key: RequestKey) {
        self.waiting.remove(key);
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        if let Some((target, _)) = &request.target {
            self.targets.count_ended(target);
        }
        if let Some(need) = &request.call.need {
            self.demand.count_end(&request.call.service, need);
        }
    }

    fn end(&mut self, key: RequestKey, outcome: AttemptOutcome, now: ClockTime, out: &mut Effects) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let call = request.call.clone();
        let Some((target, incarnation)) = request.target.take() else {
            return;
        };
        let ran = now.since(request.sent_at);
        self.targets.count_ended(&target);
        match outcome {
            AttemptOutcome::Answered { status } => {
                self.note_run_time(&call, ran);
                let again = status >= 500 && call.route.kind.may_repeat();
                if again && self.may_send_again(key, now) {
                    self.mark_ran(key);
                    self.place(key, now, out);
                } else {
                    self.leave(key);
                }
            }
            AttemptOutcome::NotRun { full, misplaced } => {
                self.note_refused(&target, &call, full, misplaced, now);
                self.repeat_or_end(key, RefusalReason::TargetRefused, now, out);
            }
            AttemptOutcome::Unsent => {
                self.targets.record_failure(&target, now);
                self.unsend(key);
                self.place(key, now, out);
            }
            AttemptOutcome::Lost { broken, .. } => {
                self.targets.record_failure(&target, now);
                if broken {
                    self.accuse(&call, target, incarnation, now, out);
                }
                self.mark_ran(key);
                if call.route.kind.may_repeat() && !self.crashes.is_refused(call.digest, now) {
                    self.repeat_or_end(key, RefusalReason::NoBudget, now, out);
                } else {
                    self.fail(key, false, out);
                }
            }
            AttemptOutcome::Expired => {
                self.mark_ran(key);
                self.fail(key, true, out);
            }
        }
        self.serve_waiting(now, out);
    }

    fn note_refused(
        &mut self,
        target: &TargetName,
        call: &CallInfo,
        full: bool,
        misplaced: bool,
        now: ClockTime,
    ) {
        if full {
            self.targets.record_full(target, call.model(), now);
        }
        if let (true, Some(need)) = (misplaced, &call.need) {
            self.targets
                .record_missing(target, &need.model, need.adapter.as_ref());
        }
    }

    fn mark_ran(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.maybe_ran = true;
        }
    }

    fn unsend(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.sends = request.sends.saturating_sub(1);
        }
    }

    fn accuse(
        &mut self,
        call: &CallInfo,
        target: TargetName,
        incarnation: u64,
        now: ClockTime,
        out: &mut Effects,
    ) {
        let report = CrashReport {
            digest: call.digest,
            target,
            incarnation,
        };
        if self.crashes.record(&report, now) {
            out.push(ServingEffect::ReportCrash(report));
        }
    }

    /// Takes a repeated send from the attempts of the route and the budget.
    fn may_send_again(&mut self, key: RequestKey, now: ClockTime) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        if request.sends >= request.call.route.max_attempts {
            return false;
        }
        let service = request.call.service.clone();
        self.budget.try_take(&service, self.share.fraction, now)
    }

    fn repeat_or_end(
        &mut self,
        key: RequestKey,
        reason: RefusalReason,
        now: ClockTime,
        out: &mut Effects,
    ) {
        if self.may_send_again(key, now) {
            self.place(key, now, out);
            return;
        }
        self.refuse(key, reason, RETRY_MIN, out);
    }

    fn fail(&mut self, key: RequestKey, expired: bool, out: &mut Effects) {
        out.push(ServingEffect::Fail { key, expired });
        self.leave(key);
    }

    fn expire(&mut self, now: ClockTime, out: &mut Effects) {
        for key in self.waiting.expired(SHORTEST_ANSWER, now) {
            let maybe_ran = self
                .requests
                .get(&key)
                .is_some_and(|request| request.maybe_ran);
            if maybe_ran {
                self.fail(key, true, out);
            } else {
                self.refuse(key, RefusalReason::Expired, RETRY_MIN, out);
            }
        }
    }

    /// Sends waiting calls for which a target has a place now.
    fn serve_waiting(&mut self, now: ClockTime, out: &mut Effects) {
        if self.waiting.is_empty() {
            return;
        }
        let mut blocked: HashSet<(ServiceName, Option<CallNeed>)> = HashSet::new();
        for key in self.waiting.in_order(now) {
            let Some(request) = self.requests.get(&key) else {
                self.waiting.remove(key);
                continue;
            };
            let place = (request.call.service.clone(), request.call.need.clone());
            if blocked.contains(&place) {
                continue;
            }
            self.place(key, now, out);
            if self.waiting.contains(key) {
                blocked.insert(place);
            }
        }
    }
}

fn want(call: &CallInfo, need: &CallNeed) -> ServingEffect {
    ServingEffect::RequestCopy {
        service: call.service.clone(),
        need: need.clone(),
    }
}
