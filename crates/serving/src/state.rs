//! The reducer of the request path.
//!
//! When a call arrives, it is sent, waits for a target, or is refused. The same decision is made
//! again whenever one of its attempts ends or a slot of a target becomes free. A call that may have
//! run is never refused, since a refusal promises that nothing has run.

mod access;
mod crash_evidence;
mod ends;
mod estimate;
mod fairness;

use crate::call::{CallInfo, CallNeed};
use crate::choose::{choose_target, NoTarget, OwnHost};
use crate::demand::{DemandCounter, ModelDemand};
use crate::engine_rank::{engine_rank, AttemptStart};
use crate::event::{AttemptPlan, RefusalReason, RequestRefusal, ServingEffect, ServingEvent};
use crate::hosts::{report_lifetime, HostShare};
use crate::limits::{ChargeRefusal, TenantLimits, STARTING_RETRY_DELAY};
use crate::retries::{RetryBudget, RetryCount, RetryLimits};
use crate::rules::RuleSet;
use crate::served_ratio::ServedRatios;
use crate::shares::{TenantShares, TenantUsageView, UsageReport};
use crate::targets::{TargetRecord, TargetTable};
use crate::turns::{HostWaiting, ModelKey, TurnTracker};
use crate::waiting::{WaitingCall, WaitingCalls};
use crocusyard_base::heartbeat::heartbeat_interval;
use crocusyard_base::prelude::*;
use crocusyard_crashes::prelude::{CauseVerdict, CrashCause, CrashTracker};
use estimate::{ModelAbsence, QueueKey};
use fairness::{TenantCharge, WaitingGroup};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Shortest interval between two requests for the same absent copy; an order and its answer take
/// less.
const COPY_REQUEST_INTERVAL: ClockTime = ClockTime::from_ms(150);
/// Shortest retry delay sent to callers.
const MIN_RETRY_DELAY: ClockTime = ClockTime::from_ms(100);
/// Longest retry delay sent to callers.
const MAX_RETRY_DELAY: ClockTime = ClockTime::from_secs(5);

/// Number of heartbeats of a host between two reports of its tenants' usage, which keeps them below
/// 6 KB/s. Usage changes over seconds.
pub const USAGE_HEARTBEATS: u32 = 2;

/// Shortest interval at which new calls make the host go through its waiting calls; with thousands of
/// them, this takes about a millisecond.
const ORDER_INTERVAL: ClockTime = ClockTime::from_ms(5);

/// Longest time that a target's pause may last; it also bounds the retry delay that callers get
/// because of it.
pub const MAX_PAUSE: ClockTime = ClockTime::from_secs(30);

/// Settings of the request path, given by the platform.
#[derive(Clone, Debug)]
pub struct ServingConfig {
    /// Name of this host.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Incarnation of the process; it rises with each start.
    pub process: u32,
    /// Seed of random numbers, which differs between processes.
    pub seed: u64,
    /// Limits of the retry budget.
    pub retries: RetryLimits,
}

/// A request in progress: it waits for a target or has been sent to one.
#[derive(Clone, Debug)]
struct RequestState {
    call: Rc<CallInfo>,
    /// Whether the call is charged to its tenant, which gets it back if the call does not run.
    charged: bool,
    /// What the call contains that may crash targets.
    causes: Rc<[CrashCause]>,
    /// Whether the call runs although it contains a blamed cause.
    is_trial: bool,
    /// Whether the call is part of the demand for its model.
    counts_demand: bool,
    arrived: ClockTime,
    /// Attempts that may have reached a target.
    sends: u32,
    tried: Vec<TargetName>,
    /// Target of the current attempt and the start of its incarnation, Unix ms.
    target: Option<(TargetName, u64)>,
    sent_at: ClockTime,
    /// Time from the send to the first event that was expected, ms; `None` for a call whose target
    /// does not report its pace.
    expected_start_ms: Option<f64>,
    /// Whether the first event of the current attempt has arrived.
    has_begun: bool,
    /// Reason for the last wait of the request; `None` if it never waited.
    waited_for: Option<NoTarget>,
    /// Whether a target may have run the call.
    maybe_ran: bool,
    /// What the call waits for if it has to wait.
    group: WaitingGroup,
    /// Charge of the current attempt to the usage of the call's tenant.
    charge: Option<TenantCharge>,
}

/// State of the request path of one host.
#[derive(Clone, Debug)]
pub struct ServingState {
    config: ServingConfig,
    rules: Option<Rc<RuleSet>>,
    /// When `rules` came in force.
    rules_since: ClockTime,
    /// Limits of the tenants.
    pub limits: TenantLimits,
    /// Calls that ended without having run, and whose charges are to be taken back.
    unrun: Vec<Rc<CallInfo>>,
    /// Targets of all services, as this host knows them.
    pub targets: TargetTable,
    /// Whether the target list has been read at least once.
    targets_known: bool,
    requests: HashMap<RequestKey, RequestState>,
    waiting: WaitingCalls,
    turns: TurnTracker,
    /// Recent usage of the tenants on all hosts.
    shares: TenantShares,
    /// Which part of the recent calls of each tenant has been sent.
    served: ServedRatios,
    budget: RetryBudget,
    crashes: CrashTracker,
    demand: DemandCounter,
    /// Moving average of run times by service and model, ms.
    run_times: HashMap<QueueKey, f64>,
    /// Models that calls found no copy of.
    absent: HashMap<QueueKey, ModelAbsence>,
    /// Since when all targets have been full, while calls wait for them.
    full_since: HashMap<QueueKey, ClockTime>,
    share: HostShare,
    /// Start of the host.
    started: ClockTime,
    stopping: bool,
    /// Whether a new call waits behind others although a target could take it, so that waiting calls
    /// can be sent.
    free_target_left: bool,
    /// When the waiting calls were last gone through.
    order_at: ClockTime,
}

/// Effects of one event, in the order in which they are to be carried out.
type Effects = Vec<ServingEffect>;

impl ServingState {
    /// Creates the state of a host that has just started, without configuration and targets.
    pub fn new(config: ServingConfig, now: ClockTime) -> Self {
        Self {
            budget: RetryBudget::after_start(config.retries, now),
            limits: TenantLimits::new(&config.host, config.process, config.seed, now),
            config,
            unrun: Vec::new(),
            rules: None,
            rules_since: now,
            targets: TargetTable::default(),
            targets_known: false,
            requests: HashMap::new(),
            waiting: WaitingCalls::default(),
            turns: TurnTracker::default(),
            shares: TenantShares::new(now),
            served: ServedRatios::default(),
            crashes: CrashTracker::default(),
            demand: DemandCounter::default(),
            run_times: HashMap::new(),
            absent: HashMap::new(),
            full_since: HashMap::new(),
            share: HostShare::equal(1),
            started: now,
            stopping: false,
            free_target_left: false,
            order_at: now,
        }
    }

    /// Returns the configuration in force, or `None` before the first one has arrived.
    pub fn rules(&self) -> Option<&Rc<RuleSet>> {
        self.rules.as_ref()
    }

    /// Returns for how long the present configuration has been in force.
    pub fn rules_age(&self, now: ClockTime) -> ClockTime {
        now.since(self.rules_since)
    }

    /// Returns whether callers need keys.
    pub fn has_tenants(&self) -> bool {
        self.rules
            .as_ref()
            .is_some_and(|rules| rules.tenants.is_some())
    }

    /// Returns whether the configuration and the target list are known.
    pub fn is_ready(&self) -> bool {
        self.rules.is_some() && self.targets_known
    }

    /// Returns the number of requests in progress, waiting ones included.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for a target.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the demand at this host, to be sent to the lease holder.
    pub fn demand_report(&mut self, now: ClockTime) -> Vec<ModelDemand> {
        let mut waiting: HashMap<(ServiceName, CallNeed), u32> = HashMap::new();
        for call in self.waiting_calls() {
            if let Some(need) = &call.need {
                let key = (call.service.clone(), need.clone());
                *waiting.entry(key).or_default() += 1;
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

    /// Returns the number of waiting calls by model, to be sent to the other hosts.
    pub fn waiting_report(&self) -> HostWaiting {
        let mut report = HostWaiting::new();
        if self.has_tenants() {
            for (service, model, weight) in self.waiting_weights() {
                report.insert(ModelKey::of(service, model), weight);
            }
            return report;
        }
        for call in self.waiting_calls() {
            if let Some(model) = call.model() {
                let key = ModelKey::of(&call.service, model);
                let count: &mut u16 = report.entry(key).or_default();
                *count = count.saturating_add(1);
            }
        }
        report
    }

    /// Returns the largest recent usages of tenants on this host, to be sent to the other hosts;
    /// `None` if there are no tenants.
    pub fn usage_report(&self, now: ClockTime) -> Option<UsageReport> {
        self.has_tenants().then(|| self.shares.report(now))
    }

    /// Returns what the retry budget has counted, to be sent to the other hosts; `None` while this host
    /// does not know what was counted before its start.
    pub fn retry_report(&mut self, now: ClockTime) -> Option<Vec<RetryCount>> {
        self.budget.report(now)
    }

    /// Returns the figures by which the calls of a tenant are ordered.
    pub fn tenant_usage(&self, tenant: &TenantName, now: ClockTime) -> TenantUsageView {
        self.shares.view(tenant, now)
    }

    fn waiting_calls(&self) -> impl Iterator<Item = &CallInfo> {
        self.waiting
            .keys()
            .filter_map(|key| self.requests.get(&key))
            .map(|request| &*request.call)
    }

    /// Applies an event and returns the effects to be carried out.
    pub fn reduce(&mut self, event: ServingEvent, now: ClockTime) -> Effects {
        let mut out = Vec::new();
        match event {
            ServingEvent::CallArrived { key, call } => self.arrive(key, call, now, &mut out),
            ServingEvent::AttemptEnded { key, outcome } => self.end(key, outcome, now, &mut out),
            ServingEvent::CallerLeft { key } => {
                self.settle_attempt(key, None, now);
                self.remove_request(key);
                self.send_waiting(now, &mut out);
            }
            ServingEvent::Rules(rules) => {
                self.set_rules(rules, now);
                self.refuse_unadmitted_waiting(&mut out);
            }
            ServingEvent::Targets { upserts, removed } => {
                self.change_targets(upserts, &removed, now);
                self.send_waiting(now, &mut out);
            }
            ServingEvent::Leaving(notice) => {
                if self.targets.record_leaving(&notice, now) {
                    out.push(ServingEffect::ReportLeaving(notice));
                    self.send_waiting(now, &mut out);
                }
            }
            ServingEvent::Pause {
                target,
                incarnation,
                pause,
            } => {
                let pause = pause.min(MAX_PAUSE);
                self.targets.record_pause(&target, incarnation, pause, now);
                self.send_waiting(now, &mut out);
            }
            ServingEvent::Load { target, load } => self.targets.update_load(&target, load, now),
            ServingEvent::Holdings {
                target,
                incarnation,
                models,
            } => {
                self.targets
                    .update_holdings(&target, incarnation, models, now);
                self.send_waiting(now, &mut out);
            }
            ServingEvent::Crash(report) => self.receive_crash(&report, now, &mut out),
            ServingEvent::FormerRetries(counts) => self.budget.adopt(&counts),
            ServingEvent::CrashHistory(history) => {
                self.receive_crash_history(&history, now, &mut out);
            }
            ServingEvent::Evidence(evidence) => self.receive_evidence(&evidence, now, &mut out),
            ServingEvent::PeerLoad { host, load } => self.targets.update_peer(&host, load, now),
            ServingEvent::FirstEvent { key } => self.begin_answer(key, now, &mut out),
            ServingEvent::StreamEnded { key, mean_gap_ms } => {
                self.record_gap(key, mean_gap_ms, now);
            }
            ServingEvent::PeerTargets(reports) => self.targets.receive_reports(&reports, now),
            ServingEvent::PeerWaiting { host, waiting } => {
                self.turns.update_peer(&host, waiting, now);
            }
            ServingEvent::PeerUsage { host, usage } => {
                self.shares.update_peer(&host, usage, now);
            }
            ServingEvent::Hosts(share) => self.set_share(share, now),
            ServingEvent::Stop => {
                self.stopping = true;
                self.send_waiting(now, &mut out);
            }
            ServingEvent::EndAll => {
                let keys: Vec<RequestKey> = self.requests.keys().copied().collect();
                for key in keys {
                    self.fail(key, true, &mut out);
                }
            }
            ServingEvent::Tick => self.tick(now, &mut out),
        }
        self.refund_unrun(now);
        out
    }

    fn tick(&mut self, now: ClockTime, out: &mut Effects) {
        if self.has_tenants() {
            self.shares.update_mean(now);
        }
        self.report_crashes(now, out);
        self.end_expired(now, out);
        self.send_waiting(now, out);
        self.end_hopeless(now, out);
        self.forget_full_targets();
    }

    fn set_share(&mut self, share: HostShare, now: ClockTime) {
        self.share = share;
        let limit = report_lifetime(share.hosts);
        self.targets.drop_silent_peers(limit, now);
        self.turns.drop_expired(limit, now);
        self.shares
            .drop_silent(limit.scale(f64::from(USAGE_HEARTBEATS)), now);
        self.served.drop_decayed(now);
        if self.has_tenants() {
            self.shares.update_mean(now);
        }
    }

    /// Takes back the charges of calls that have ended without having run.
    fn refund_unrun(&mut self, now: ClockTime) {
        for call in std::mem::take(&mut self.unrun) {
            self.limits.refund(&call, now);
        }
    }

    /// Records that the first event of a call has arrived, and when it was expected. A call that
    /// waits for the end of a prefill may be sent now.
    fn begin_answer(&mut self, key: RequestKey, now: ClockTime, out: &mut Effects) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some((target, _)) = request.target.as_ref().filter(|_| !request.has_begun) else {
            return;
        };
        request.has_begun = true;
        self.targets.count_first_event(target, &request.call);
        if let Some(expected) = request.expected_start_ms {
            let took = now.since(request.sent_at).as_ms() as f64;
            let figures = self.targets.figures_mut(&request.call.service);
            figures.record_start(took, expected);
            self.send_waiting(now, out);
        }
    }

    /// Records the average time between the events of a call's stream.
    fn record_gap(&mut self, key: RequestKey, mean_gap_ms: f64, now: ClockTime) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let target = request.target.as_ref();
        let state = target.and_then(|(target, _)| self.targets.get(target));
        if let (Some(state), Some(_)) = (state, request.expected_start_ms) {
            let load = state.engine_load(now);
            let figures = self.targets.figures_mut(&request.call.service);
            figures.record_gap(mean_gap_ms, &load);
        }
    }

    fn change_targets(
        &mut self,
        upserts: Vec<TargetRecord>,
        removed: &[TargetName],
        now: ClockTime,
    ) {
        self.targets_known = true;
        for record in upserts {
            self.targets.upsert(record, now);
        }
        for name in removed {
            self.targets.remove(name, now);
        }
    }

    fn set_rules(&mut self, rules: Rc<RuleSet>, now: ClockTime) {
        let newer = self
            .rules
            .as_ref()
            .is_none_or(|current| rules.version > current.version);
        if newer {
            self.limits.set_tenants(rules.tenants.as_ref(), now);
            for (name, rule) in &rules.services {
                if let Some(engine) = &rule.engine {
                    self.targets.figures_mut(name).kv_tokens = engine.kv_tokens as f64;
                }
            }
            self.rules = Some(rules);
            self.rules_since = now;
        }
    }

    fn arrive(&mut self, key: RequestKey, call: Rc<CallInfo>, now: ClockTime, out: &mut Effects) {
        let charged = match self.limits.charge(&call, now) {
            Ok(charged) => charged,
            Err(refusal) => {
                out.push(ServingEffect::Refuse(limit_refusal(key, refusal)));
                return;
            }
        };
        self.budget.count_request(&call.service, now);
        // Callers may ask for any name; demand for unknown models is no demand.
        let counts_demand = self.model_rule(&call).is_some();
        if counts_demand {
            self.demand.count_arrival(&call, now);
        }
        let causes: Rc<[CrashCause]> = call.crash_causes().into();
        let verdict = self.crashes.judge(&causes, now);
        let request = RequestState {
            charged,
            causes,
            group: WaitingGroup::of(&call),
            charge: None,
            call,
            is_trial: verdict == CauseVerdict::Trial,
            counts_demand,
            arrived: now,
            sends: 0,
            tried: Vec::new(),
            target: None,
            sent_at: now,
            expected_start_ms: None,
            has_begun: false,
            waited_for: None,
            maybe_ran: false,
        };
        self.requests.insert(key, request);
        self.count_arrived(key, now);
        match verdict {
            CauseVerdict::Allowed => {}
            CauseVerdict::Refused(wait) => {
                self.refuse_or_fail(key, RefusalReason::Crashes, wait, out);
                return;
            }
            CauseVerdict::Trial => {
                out.push(ServingEffect::ReportEvidence(self.crashes.evidence(now)));
            }
        }
        self.send_or_wait(key, now, out);
        if std::mem::take(&mut self.free_target_left) && now.since(self.order_at) >= ORDER_INTERVAL
        {
            self.send_waiting(now, out);
        }
    }

    /// Sends a request if a target can take it now; otherwise it waits or is refused.
    fn send_or_wait(&mut self, key: RequestKey, now: ClockTime, out: &mut Effects) {
        if self.refuse_unadmitted(key, out) || self.refuse_blamed(key, out) {
            return;
        }
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let call = request.call.clone();
        if self.exhausts_share(key, &call, now) {
            self.wait_or_refuse(key, &call, NoTarget::AllFull, now, out);
            return;
        }
        let own = OwnHost {
            domain: &self.config.domain,
            fraction: self.share.fraction,
            report_interval: heartbeat_interval(self.share.hosts),
        };
        let chosen = choose_target(&self.targets, &call, &request.tried, own, now);
        if chosen.is_ok() {
            self.record_free_target(&call);
        }
        match chosen {
            Ok(_) if self.goes_behind(key, &call, now) => {
                self.wait_or_refuse(key, &call, NoTarget::AllFull, now, out);
                self.free_target_left = true;
            }
            Ok(_) if !self.takes_turn(&call, now) => {
                self.wait_or_refuse(key, &call, NoTarget::AllFull, now, out);
            }
            Ok(target) => self.send(key, &target, now, out),
            Err(reason) => self.wait_or_refuse(key, &call, reason, now, out),
        }
    }

    /// Sends a request to the chosen target.
    fn send(&mut self, key: RequestKey, target: &TargetName, now: ClockTime, out: &mut Effects) {
        let has_tenants = self.has_tenants();
        self.waiting.remove(key);
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let start = AttemptStart {
            has_tenants,
            arrived: request.arrived,
            maybe_ran: request.maybe_ran,
            now,
        };
        request.sends += 1;
        request.tried.push(target.clone());
        request.target = Some((target.clone(), state.record.incarnation));
        request.sent_at = now;
        request.has_begun = false;
        request.expected_start_ms = None;
        let call = request.call.clone();
        if call.need.is_some() && self.targets.is_paced(&call.service, now) {
            let load = state.engine_load(now);
            let figures = self.targets.figures(&call.service);
            let prompt = f64::from(call.prompt_tokens);
            request.expected_start_ms = Some(figures.time_to_first_event(&load, prompt));
        }
        out.push(ServingEffect::Send(AttemptPlan {
            key,
            target: target.clone(),
            address: state.record.address,
            incarnation: state.record.incarnation,
            attempt: request.sends,
            sent_at: now,
            load_age: state.load_age(now),
            load: state.load(now),
            waited_for: request.waited_for,
            rank: engine_rank(&request.call, start),
        }));
        self.targets.count_sent(target);
        self.charge_attempt(key, now);
        self.count_first_send(key, now);
        self.targets.count_prompt(target, &call);
    }

    /// Lets a request wait for a target, or refuses it if the wait would last too long.
    fn wait_or_refuse(
        &mut self,
        key: RequestKey,
        call: &CallInfo,
        reason: NoTarget,
        now: ClockTime,
        out: &mut Effects,
    ) {
        if self.stopping {
            self.refuse_or_fail(key, RefusalReason::Stopping, MIN_RETRY_DELAY, out);
            return;
        }
        self.record_no_target(call, reason, now);
        if let (NoTarget::AllPaused, Some(pause)) = (reason, self.pause_left(call, now)) {
            // Nobody else can run the call, so that its caller should not wait here.
            if pause > MIN_RETRY_DELAY {
                self.refuse_or_fail(key, RefusalReason::TargetsPaused, pause, out);
                return;
            }
        }
        if self.refuse_hopeless(key, call, reason, now, out) {
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
                send_by: arrived
                    + call
                        .route
                        .latency_objective
                        .since(self.time_to_answer(call)),
                start_deadline: call.start_deadline,
                copy_requested: ClockTime::ZERO,
            };
            self.waiting.insert(key, waiting);
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.waited_for = Some(reason);
        }
        let is_absent = matches!(reason, NoTarget::ModelAbsent | NoTarget::AdapterAbsent);
        let Some(waiting) = self.waiting.get_mut(key) else {
            return;
        };
        let due = waiting.copy_requested == ClockTime::ZERO
            || now.since(waiting.copy_requested) >= COPY_REQUEST_INTERVAL;
        if let (Some(need), true, true) = (&call.need, is_absent, due) {
            waiting.copy_requested = now;
            out.push(copy_request(call, need));
        }
    }

    /// Sends waiting calls for which a target has a free slot now.
    fn send_waiting(&mut self, now: ClockTime, out: &mut Effects) {
        if self.waiting.is_empty() {
            return;
        }
        self.order_at = now;
        // Services and needs of calls that still wait; later calls for the same cannot be sent
        // either.
        let mut blocked: HashSet<(ServiceName, Option<CallNeed>)> = HashSet::new();
        for key in self.service_order(now) {
            let Some(request) = self.requests.get(&key) else {
                self.waiting.remove(key);
                continue;
            };
            let queue = (request.call.service.clone(), request.call.need.clone());
            if blocked.contains(&queue) {
                continue;
            }
            self.send_or_wait(key, now, out);
            let request = self.requests.get(&key);
            let waits_for = request.and_then(|request| request.waited_for);
            // A call with a smaller prompt may be sent while one with a larger prompt waits.
            if self.waiting.contains(key) && waits_for != Some(NoTarget::Prefilling) {
                blocked.insert(queue);
            }
        }
    }
}

/// Refusal of a call that was not charged.
fn limit_refusal(key: RequestKey, refusal: ChargeRefusal) -> RequestRefusal {
    match refusal {
        ChargeRefusal::OverLimit(refusal) => RequestRefusal {
            key,
            reason: RefusalReason::OverLimit,
            retry_after: refusal.retry_after,
            quota: Some(refusal),
        },
        ChargeRefusal::HostsUnknown => RequestRefusal {
            key,
            reason: RefusalReason::HostsUnknown,
            retry_after: STARTING_RETRY_DELAY,
            quota: None,
        },
    }
}

/// Effect that asks the lease holder for a copy that a call needs.
fn copy_request(call: &CallInfo, need: &CallNeed) -> ServingEffect {
    ServingEffect::RequestCopy {
        service: call.service.clone(),
        need: need.clone(),
    }
}
