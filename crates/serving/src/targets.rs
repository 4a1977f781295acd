//! The targets as one host knows them: their records in the store, what they hold and their load.
//!
//! Holdings come from the target's own record in the store and, sooner, from the lease holder.
//! Loads come from the answers of the target and from the heartbeats of the other hosts.

mod index;
mod state;

use crate::call::CallInfo;
use crate::failures::FailureReport;
use crate::pace::PaceEstimate;
use crate::peer_reports::PeerReports;
use crate::rules::CallKind;
use crate::target_model::EngineFigures;
use crate::target_reports::{LoadReport, PromptReport, TargetReports};
use crocusyard_base::ids::short_key;
use crocusyard_base::prelude::*;
use index::TargetIndex;
use serde::{Deserialize, Serialize};
use state::ReportedLoad;
use std::collections::{BTreeMap, BTreeSet};

pub use state::{HeldModels, LeavingNotice, TargetHoldings, TargetLoad, TargetRecord, TargetState};

/// Time for which calls for a model are kept away from a target that refused one; the lease holder
/// reports the unload within it.
const MODEL_REFUSAL_TIME: ClockTime = ClockTime::from_ms(500);
/// Time for which no calls are sent to a target that refused one because it was full.
const FULL_TIME: ClockTime = ClockTime::from_ms(100);
/// Time after the last report of a pace from which a service is served as one without.
const PACE_MEMORY: ClockTime = ClockTime::from_secs(60);
/// Age up to which a load that a target reported is passed on to the other hosts.
const RELAYED_LOAD_AGE: ClockTime = ClockTime::from_secs(2);
/// Time after the last failure from which all targets count as sound; the failure rate of each has
/// fallen below what is regarded by then.
const FAILURE_MEMORY: ClockTime = ClockTime::from_secs(30);
/// Time for which the last record of a removed target is kept. Writes of a target whose answers were
/// lost may be carried out seconds later, after the removal.
const DEPARTED_LIFETIME: ClockTime = ClockTime::from_secs(30);
/// Time for which a host tells the others that a target said in an answer that it is leaving; the
/// news reaches all hosts within a few rounds of messages.
const LEAVING_NEWS_TIME: ClockTime = ClockTime::from_ms(4_000);

/// Prompt tokens that count as unanswered until the first event of a call. Only a stream shows when
/// its prompt has been prefilled.
fn prefilling_tokens(call: &CallInfo) -> u32 {
    match call.route.kind {
        CallKind::Stream { .. } => call.prompt_tokens,
        _ => 0,
    }
}

/// Short key of a target, used in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetKey(pub u32);

impl TargetKey {
    /// Computes the key of a target; two targets with the same key only look more loaded than they
    /// are.
    pub fn of(name: &TargetName) -> Self {
        Self(short_key(&[name.as_str()]))
    }
}

/// Number of requests of one host in progress, by target.
pub type HostLoad = BTreeMap<TargetKey, u16>;

/// What remains known of a target that was removed.
#[derive(Clone, Copy, Debug)]
struct DepartedTarget {
    incarnation: u64,
    /// Number of its newest known write.
    sequence: u64,
    leaving: bool,
    removed_at: ClockTime,
}

/// All targets that one host knows.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    states: BTreeMap<TargetName, TargetState>,
    index: TargetIndex,
    /// Names of the targets by the keys that other hosts send.
    names: BTreeMap<TargetKey, TargetName>,
    /// Targets that were removed recently.
    departed: BTreeMap<TargetName, DepartedTarget>,
    peers: PeerReports<HostLoad>,
    /// When a call at any target was last known to fail.
    failed_at: Option<ClockTime>,
    /// Services whose targets report their pace, with the time of the last report.
    paced: BTreeMap<ServiceName, ClockTime>,
    /// Figures of the engines, by service.
    figures: BTreeMap<ServiceName, EngineFigures>,
}

impl TargetTable {
    /// Adds or updates a target; a record older than the known one is ignored, also after the
    /// removal of the target.
    ///
    /// Within one incarnation, a target that is leaving stays marked as leaving, whether its record
    /// or an answer said so. A later incarnation starts anew.
    pub fn upsert(&mut self, mut record: TargetRecord, now: ClockTime) {
        let Some(state) = self.states.get_mut(&record.name) else {
            if let Some(departed) = self.departed.remove(&record.name) {
                if departed.incarnation == record.incarnation {
                    if record.sequence <= departed.sequence {
                        self.departed.insert(record.name, departed);
                        return;
                    }
                    record.leaving |= departed.leaving;
                }
            }
            let name = record.name.clone();
            self.names.insert(TargetKey::of(&name), name.clone());
            let state = TargetState::new(record);
            self.index.add(&state);
            self.states.insert(name, state);
            return;
        };
        let older = (record.incarnation, record.sequence)
            < (state.record.incarnation, state.record.sequence);
        if older {
            return;
        }
        let is_moved = record.service != state.record.service || record.models != state.models;
        if is_moved {
            self.index.remove(state);
        }
        state.replace_record(record, now);
        if is_moved {
            self.index.add(state);
        }
    }
    /// Updates the holdings of a target from the lease holder, which knows them before the target's
    /// record shows them.
    pub fn update_holdings(
        &mut self,
        name: &TargetName,
        incarnation: u64,
        models: HeldModels,
        now: ClockTime,
    ) {
        if let Some(state) = self.states.get_mut(name) {
            if state.record.incarnation == incarnation {
                self.index.remove(state);
                state.models = models;
                state.holdings_at = Some(now);
                self.index.add(state);
            }
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, name: &TargetName, now: ClockTime) {
        self.departed
            .retain(|_, departed| now.since(departed.removed_at) < DEPARTED_LIFETIME);
        self.names.remove(&TargetKey::of(name));
        if let Some(state) = self.states.remove(name) {
            self.index.remove(&state);
            let departed = DepartedTarget {
                incarnation: state.record.incarnation,
                sequence: state.record.sequence,
                leaving: state.is_leaving(),
                removed_at: now,
            };
            self.departed.insert(name.clone(), departed);
        }
    }

    /// Returns a target by its name.
    pub fn get(&self, name: &TargetName) -> Option<&TargetState> {
        self.states.get(name)
    }

    /// Returns whether a target is known and takes new calls.
    pub fn takes_calls(&self, name: &TargetName) -> bool {
        self.get(name).is_some_and(|state| !state.is_leaving())
    }

    /// Records that a target said in an answer that it is leaving; returns whether that is news.
    /// What a later or earlier incarnation said does not count.
    pub fn record_leaving(&mut self, notice: &LeavingNotice, now: ClockTime) -> bool {
        if let Some(departed) = self.departed.get_mut(&notice.target) {
            departed.leaving |= departed.incarnation == notice.incarnation;
        }
        let Some(state) = self.states.get_mut(&notice.target) else {
            return false;
        };
        if state.record.incarnation != notice.incarnation || state.leaving_at.is_some() {
            return false;
        }
        state.leaving_at = Some(now);
        true
    }

    /// Returns the targets that have recently said in an answer that they are leaving, to be sent
    /// to the other hosts.
    pub fn leaving_notices(&self, now: ClockTime) -> Vec<LeavingNotice> {
        self.notices(|leaving_at| now.since(leaving_at) < LEAVING_NEWS_TIME)
    }

    /// Returns all targets that have said so, for hosts that start later.
    pub fn all_leaving_notices(&self) -> Vec<LeavingNotice> {
        self.notices(|_| true)
    }

    fn notices(&self, is_told: impl Fn(ClockTime) -> bool) -> Vec<LeavingNotice> {
        self.states
            .values()
            .filter(|state| state.leaving_at.is_some_and(&is_told))
            .map(|state| LeavingNotice {
                target: state.record.name.clone(),
                incarnation: state.record.incarnation,
            })
            .collect()
    }

    /// Records that a target wants no request from this host for `pause`, as this incarnation said
    /// in an answer. The end that was announced last holds.
    pub fn record_pause(
        &mut self,
        name: &TargetName,
        incarnation: u64,
        pause: ClockTime,
        now: ClockTime,
    ) {
        if let Some(state) = self.states.get_mut(name) {
            if state.record.incarnation == incarnation {
                state.paused_until = now + pause;
            }
        }
    }

    /// Iterates over all targets in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.states.values()
    }

    /// Iterates over the targets of a service that are not leaving.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &TargetState> {
        self.present(self.index.of_service(service))
    }

    /// Iterates over the targets that could run a call, in the order of their names: those of its
    /// service that hold its model, if it needs one, and are not leaving.
    pub fn for_call(&self, call: &CallInfo) -> impl Iterator<Item = &TargetState> {
        self.present(match call.model() {
            Some(model) => self.index.holders(&call.service, model),
            None => self.index.of_service(&call.service),
        })
    }

    fn present<'a>(
        &'a self,
        names: Option<&'a BTreeSet<TargetName>>,
    ) -> impl Iterator<Item = &'a TargetState> {
        names
            .into_iter()
            .flatten()
            .filter_map(|name| self.states.get(name))
            .filter(|state| !state.is_leaving())
    }

    /// Counts a request of this host that is sent to a target.
    pub fn count_sent(&mut self, name: &TargetName) {
        if let Some(state) = self.states.get_mut(name) {
            state.in_flight += 1;
        }
    }

    /// Counts the end of a request of this host at a target.
    pub fn count_ended(&mut self, name: &TargetName) {
        if let Some(state) = self.states.get_mut(name) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Counts the tokens of a call that is sent to a target.
    pub fn count_prompt(&mut self, name: &TargetName, call: &CallInfo) {
        let Some(state) = self.states.get_mut(name) else {
            return;
        };
        let tokens = call.prompt_tokens.saturating_add(call.output_tokens);
        state.own_prefilling = state.own_prefilling.saturating_add(prefilling_tokens(call));
        state.own_tokens = state.own_tokens.saturating_add(tokens);
        state.unreported_prompts = state.unreported_prompts.saturating_add(call.prompt_tokens);
        let figures = self.figures.entry(call.service.clone()).or_default();
        figures.record_call(f64::from(tokens));
    }

    /// Counts the first event of a call at a target, or its end without one.
    pub fn count_first_event(&mut self, name: &TargetName, call: &CallInfo) {
        if let Some(state) = self.states.get_mut(name) {
            state.own_prefilling = state.own_prefilling.saturating_sub(prefilling_tokens(call));
        }
    }

    /// Counts the end of a call whose tokens were counted; `is_answered` is whether its first event
    /// was counted.
    pub fn count_tokens_ended(&mut self, name: &TargetName, call: &CallInfo, is_answered: bool) {
        if !is_answered {
            self.count_first_event(name, call);
        }
        if let Some(state) = self.states.get_mut(name) {
            let tokens = call.prompt_tokens.saturating_add(call.output_tokens);
            state.own_tokens = state.own_tokens.saturating_sub(tokens);
        }
    }

    /// Returns whether targets of a service have reported their pace recently.
    pub fn is_paced(&self, service: &ServiceName, now: ClockTime) -> bool {
        self.paced
            .get(service)
            .is_some_and(|at| now.since(*at) < PACE_MEMORY)
    }

    /// Returns the figures of a service's engines.
    pub fn figures(&self, service: &ServiceName) -> EngineFigures {
        self.figures.get(service).copied().unwrap_or_default()
    }

    /// Returns the figures of a service's engines for changes.
    pub fn figures_mut(&mut self, service: &ServiceName) -> &mut EngineFigures {
        self.figures.entry(service.clone()).or_default()
    }

    /// Returns what this host knows of targets since its last report, to be sent to the other hosts.
    pub fn take_reports(&mut self, now: ClockTime) -> TargetReports {
        let mut reports = TargetReports {
            failures: self.take_failure_reports(now),
            ..TargetReports::default()
        };
        if self.paced.is_empty() {
            return reports;
        }
        for (name, state) in &mut self.states {
            let prompts = std::mem::take(&mut state.unreported_prompts);
            let is_load_unreported = std::mem::take(&mut state.is_load_unreported);
            if prompts == 0 && !is_load_unreported {
                continue;
            }
            let is_paced = self.paced.get(&state.record.service);
            if is_paced.is_none_or(|at| now.since(*at) >= PACE_MEMORY) {
                continue;
            }
            let target = TargetKey::of(name);
            if prompts > 0 {
                reports.prompts.push(PromptReport::new(target, prompts));
            }
            let reported = state.reported.filter(|_| is_load_unreported);
            if let Some(ReportedLoad { load, at, .. }) = reported {
                let age = now.since(at);
                if let (Some(pace), true) = (load.pace, age < RELAYED_LOAD_AGE) {
                    reports.loads.push(LoadReport {
                        target,
                        running: u16::try_from(load.running).unwrap_or(u16::MAX),
                        waiting: u16::try_from(load.waiting).unwrap_or(u16::MAX),
                        pace,
                        age_ms: u16::try_from(age.as_ms()).unwrap_or(u16::MAX),
                    });
                }
            }
        }
        reports
    }

    /// Applies what another host knows of targets.
    pub fn receive_reports(&mut self, reports: &TargetReports, now: ClockTime) {
        self.receive_failures(&reports.failures, now);
        for report in &reports.prompts {
            let name = self.names.get(&report.target);
            if let Some(state) = name.and_then(|name| self.states.get_mut(name)) {
                state.peer_prompts.add(report.tokens(), now);
            }
        }
        for report in &reports.loads {
            let name = self.names.get(&report.target);
            let Some(state) = name.and_then(|name| self.states.get_mut(name)) else {
                continue;
            };
            let at = now - ClockTime::from_ms(u64::from(report.age_ms));
            let load = TargetLoad {
                running: u32::from(report.running),
                waiting: u32::from(report.waiting),
                slots: state.record.slots,
                pace: Some(report.pace),
            };
            if state.reported.is_none_or(|known| known.at < at) {
                let own = state.in_flight;
                state.reported = Some(ReportedLoad { load, own, at });
                // Only the host that got the answer passes it on.
                state.is_load_unreported = false;
            }
            self.paced.insert(state.record.service.clone(), at);
            PaceEstimate::observe(&mut state.pace, f64::from(report.pace) / 100.0, at);
        }
    }

    /// Returns the requests of this host in progress by target, to be sent to the other hosts.
    pub fn own_load(&self) -> HostLoad {
        self.states
            .values()
            .filter(|state| state.in_flight > 0)
            .map(|state| {
                let count = u16::try_from(state.in_flight).unwrap_or(u16::MAX);
                (TargetKey::of(&state.record.name), count)
            })
            .collect()
    }

    /// Replaces the requests in progress of another host.
    pub fn update_peer(&mut self, host: &HostName, load: HostLoad, now: ClockTime) {
        if let Some(old) = self.peers.update(host, load.clone(), now) {
            self.change_others(&old, false);
        }
        self.change_others(&load, true);
    }

    /// Returns the number of other hosts that have reported their requests recently.
    pub fn reporting_peers(&self) -> usize {
        self.peers.host_count()
    }

    /// Drops the reports of hosts that have been silent for `limit`.
    pub fn drop_silent_peers(&mut self, limit: ClockTime, now: ClockTime) {
        for old in self.peers.drop_silent(limit, now) {
            self.change_others(&old, false);
        }
    }

    /// Adds the load of another host to its targets, or subtracts it.
    fn change_others(&mut self, load: &HostLoad, add: bool) {
        for (key, count) in load {
            let state = self
                .names
                .get(key)
                .and_then(|name| self.states.get_mut(name));
            let Some(state) = state else {
                continue;
            };
            let count = u32::from(*count);
            state.others = if add {
                state.others + count
            } else {
                state.others.saturating_sub(count)
            };
        }
    }

    /// Updates the load that a target reported.
    pub fn update_load(&mut self, name: &TargetName, load: TargetLoad, now: ClockTime) {
        if let Some(state) = self.states.get_mut(name) {
            let own = state.in_flight;
            state.reported = Some(ReportedLoad { load, own, at: now });
            if let Some(percent) = load.pace {
                let factor = f64::from(percent) / 100.0;
                PaceEstimate::observe(&mut state.pace, factor, now);
                state.is_load_unreported = true;
                match self.paced.get_mut(&state.record.service) {
                    Some(at) => *at = now,
                    None => {
                        self.paced.insert(state.record.service.clone(), now);
                    }
                }
            }
        }
    }

    /// Records that a target refused a call because it is full or about to unload the model; the
    /// latter is assumed if the target should have free slots.
    pub fn record_full(&mut self, name: &TargetName, model: Option<&ModelName>, now: ClockTime) {
        let Some(state) = self.states.get_mut(name) else {
            return;
        };
        match model {
            Some(model) if state.load(now) < state.slots() => {
                state
                    .refused_models
                    .insert(model.clone(), now + MODEL_REFUSAL_TIME);
            }
            _ => state.full_until = now + FULL_TIME,
        }
    }

    /// Records that a call of this host was lost after it was sent to a target.
    pub fn record_lost(&mut self, name: &TargetName, now: ClockTime) {
        if let Some(state) = self.states.get_mut(name) {
            state.record_failure(now);
            state.failures.record_lost(now);
            self.failed_at = Some(now);
        }
    }

    /// Records that a call could not be sent to a target.
    pub fn record_failure(&mut self, name: &TargetName, now: ClockTime) {
        if let Some(state) = self.states.get_mut(name) {
            state.record_failure(now);
        }
    }

    /// Records that a target answered a call of this host, and whether the answer is a failure.
    pub fn record_answer(&mut self, name: &TargetName, is_failure: bool, now: ClockTime) {
        if let Some(state) = self.states.get_mut(name) {
            state.failures.record_answer(is_failure, now);
            if is_failure {
                self.failed_at = Some(now);
            }
        }
    }

    /// Returns whether calls have failed at any target so recently that failure rates are regarded.
    pub fn has_failures(&self, now: ClockTime) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) < FAILURE_MEMORY)
    }

    /// Returns what this host knows of calls at targets that fail some of them, since the last
    /// report; to be sent to the other hosts.
    pub fn take_failure_reports(&mut self, now: ClockTime) -> Vec<FailureReport> {
        if !self.has_failures(now) {
            return Vec::new();
        }
        let states = self.states.values_mut();
        let reports = states.filter_map(|state| {
            let (calls, failures) = state.failures.take_report(now)?;
            Some(FailureReport {
                target: TargetKey::of(&state.record.name),
                calls,
                failures,
            })
        });
        reports.collect()
    }

    /// Applies the reports of another host about calls at targets that fail some of them.
    pub fn receive_failures(&mut self, reports: &[FailureReport], now: ClockTime) {
        for report in reports {
            let name = self.names.get(&report.target);
            let state = name.and_then(|name| self.states.get_mut(name));
            let Some(state) = state else {
                continue;
            };
            state.failures.receive(report, now);
            if report.failures > 0 {
                self.failed_at = Some(now);
            }
        }
    }

    /// Records that a target does not hold a model or adapter that was listed for it.
    pub fn record_missing(
        &mut self,
        name: &TargetName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
    ) {
        let Some(state) = self.states.get_mut(name) else {
            return;
        };
        match adapter {
            Some(adapter) => {
                if let Some(held) = state.models.get_mut(model) {
                    held.remove(adapter);
                }
            }
            None => {
                self.index.remove(state);
                state.models.remove(model);
                self.index.add(state);
            }
        }
    }
}
