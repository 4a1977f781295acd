//! A target as one host knows it: its record in the store, what it holds, its load and its failures.

use crate::failures::FailureRate;
use crate::pace::PaceEstimate;
use crate::target_model::EngineLoad;
use crate::target_reports::PromptRate;
use crocusyard_base::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Age up to which a load that a target reported is used; about one heartbeat interval of the
/// hosts.
const REPORTED_LOAD_LIFETIME: ClockTime = ClockTime::from_ms(300);
/// Time for which a target is avoided after its first failure; it doubles with each further
/// failure.
const MIN_AVOID_TIME: ClockTime = ClockTime::from_ms(500);
/// Longest time for which a target is avoided after a failure.
const MAX_AVOID_TIME: ClockTime = ClockTime::from_secs(4);
/// Time without failures after which the next failure counts as the first one again.
const AVOID_RESET_TIME: ClockTime = ClockTime::from_secs(5);
/// Time for which holdings reported by the lease holder take precedence over the target's record:
/// the interval between two writes of a target, and the delay until a write is read.
const HOLDINGS_PRECEDENCE: ClockTime = ClockTime::from_secs(3);
/// Time for which a prompt of another host is expected to be ahead of later ones, ms, at the usual
/// pace: the prefill of an average prompt, and a few steps.
const PEER_PREFILL_MS: f64 = 60.0;

/// Models that an engine holds, each with its adapters.
pub type HeldModels = BTreeMap<ModelName, BTreeSet<AdapterName>>;

/// Models and adapters that an engine holds after a number of accepted orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHoldings {
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Models that it holds, each with its adapters.
    pub models: HeldModels,
}

/// Record that a target writes about itself to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name under which it is listed in the store.
    pub name: TargetName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that calls are sent to.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Incarnation, given as the time of its start: Unix ms by the target's own clock.
    pub incarnation: u64,
    /// Number of the write to the store; it rises within an incarnation.
    pub sequence: u64,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// Whether the target is leaving and takes no new work.
    pub leaving: bool,
    /// Models that it holds, each with its adapters.
    pub models: HeldModels,
    /// Models that are not loaded but whose weights are in the engine's memory.
    pub in_memory: BTreeSet<ModelName>,
    /// Models that are not loaded but whose weights are on the engine's disk.
    pub on_disk: BTreeSet<ModelName>,
}

impl TargetRecord {
    /// Returns whether another record differs in its sequence number at most.
    pub fn has_same_content(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.sequence = self.sequence;
        *self == other
    }
}

/// Load that a target reported with an answer; it counts the requests of all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the target's own queue.
    pub waiting: u32,
    /// Number of requests that can run at once.
    pub slots: u32,
    /// How long work takes on the machine at this moment, percent of the usual time; `None` if the
    /// target does not report it.
    pub pace: Option<u32>,
}

/// Last load report of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedLoad {
    pub(super) load: TargetLoad,
    /// Requests of this host in progress at the target when the report arrived.
    pub(super) own: u32,
    /// Arrival of the report.
    pub(super) at: ClockTime,
}

/// Notice that a target said in an answer that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Target that is leaving.
    pub target: TargetName,
    /// Incarnation that gave the answer, given as its start: Unix ms by the target's own clock.
    pub incarnation: u64,
}

/// State of a target, as known to one host.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Newest record from the store.
    pub record: TargetRecord,
    /// Models that it holds, each with its adapters, from the record or from the lease holder.
    pub models: HeldModels,
    /// When the lease holder last reported the holdings.
    pub(super) holdings_at: Option<ClockTime>,
    /// Requests of this host in progress at the target.
    pub in_flight: u32,
    /// Requests of the other hosts in progress at the target, by their last heartbeats.
    pub(super) others: u32,
    pub(super) reported: Option<ReportedLoad>,
    pub(super) pace: Option<PaceEstimate>,
    pub(super) failures: FailureRate,
    /// Prompt tokens of this host's calls that have got no first event.
    pub(super) own_prefilling: u32,
    /// Prompt and output tokens of this host's calls in progress.
    pub(super) own_tokens: u32,
    /// Prompt tokens that other hosts send.
    pub(super) peer_prompts: PromptRate,
    /// Prompt tokens that have not been reported to the other hosts.
    pub(super) unreported_prompts: u32,
    /// Whether the last load that the target reported to this host has not been passed on.
    pub(super) is_load_unreported: bool,
    avoid_until: ClockTime,
    /// Time for which the next failure of the target makes this host avoid it.
    avoid_time: ClockTime,
    last_failure: ClockTime,
    /// Models for which it refused calls, with the time until which no calls for them are sent.
    pub(super) refused_models: BTreeMap<ModelName, ClockTime>,
    pub(super) full_until: ClockTime,
    /// When this host first heard that the target said in an answer that it is leaving.
    pub(super) leaving_at: Option<ClockTime>,
    /// Time until which the target wants no request from this host.
    pub(super) paused_until: ClockTime,
}

impl TargetState {
    pub(super) fn new(record: TargetRecord) -> Self {
        Self {
            models: record.models.clone(),
            holdings_at: None,
            record,
            in_flight: 0,
            others: 0,
            reported: None,
            pace: None,
            failures: FailureRate::default(),
            own_prefilling: 0,
            own_tokens: 0,
            peer_prompts: PromptRate::default(),
            unreported_prompts: 0,
            is_load_unreported: false,
            avoid_until: ClockTime::ZERO,
            avoid_time: MIN_AVOID_TIME,
            last_failure: ClockTime::ZERO,
            refused_models: BTreeMap::new(),
            full_until: ClockTime::ZERO,
            leaving_at: None,
            paused_until: ClockTime::ZERO,
        }
    }

    /// Returns whether the target takes no new work, by its record or by one of its answers.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.leaving_at.is_some()
    }

    /// Returns the time for which the target still wants no request from this host, or `None` if it
    /// takes requests.
    pub fn pause_left(&self, now: ClockTime) -> Option<ClockTime> {
        (now < self.paused_until).then(|| self.paused_until.since(now))
    }

    /// Estimates the requests of all hosts in progress at the target.
    ///
    /// The load that the target reported counts the requests of all hosts but is only as new as the
    /// target's last answer; the counts of the other hosts are only as new as their last
    /// heartbeats. The higher estimate is used.
    pub fn load(&self, now: ClockTime) -> u32 {
        let shared = self.in_flight + self.others;
        match self.reported {
            Some(reported) if now.since(reported.at) < REPORTED_LOAD_LIFETIME => {
                let total = reported.load.running + reported.load.waiting;
                shared.max(total.saturating_sub(reported.own) + self.in_flight)
            }
            _ => shared,
        }
    }

    /// Returns the age of the load that the target reported last, or `None` if it has reported
    /// none.
    pub fn load_age(&self, now: ClockTime) -> Option<ClockTime> {
        self.reported.map(|reported| now.since(reported.at))
    }

    /// Returns how long work is expected to take now, as a multiple of the usual time; `None` if the
    /// target does not report its pace.
    pub fn pace(&self, now: ClockTime) -> Option<f64> {
        self.pace.map(|pace| pace.expected(now))
    }

    /// Number of requests that can run at once; at least 1.
    pub fn slots(&self) -> u32 {
        self.record.slots.max(1)
    }

    /// Returns whether the target is avoided after a failure.
    pub fn is_avoided(&self, now: ClockTime) -> bool {
        now < self.avoid_until
    }

    /// Returns the load of the target, for the expected times of a call there.
    pub fn engine_load(&self, now: ClockTime) -> EngineLoad {
        let pace = self.pace(now).unwrap_or(1.0);
        EngineLoad {
            requests: f64::from(self.load(now)),
            prompt_tokens: f64::from(self.own_prefilling)
                + self.peer_prompts.per_ms(now) * PEER_PREFILL_MS * pace,
            own_requests: f64::from(self.in_flight),
            own_tokens: f64::from(self.own_tokens),
            pace,
        }
    }

    /// Returns the prompt tokens of this host's calls that have got no first event.
    pub fn own_prefilling(&self) -> u32 {
        self.own_prefilling
    }

    /// Returns the expected fraction of calls that fail at the target.
    pub fn failure_rate(&self, now: ClockTime) -> f64 {
        self.failures.rate(now)
    }

    /// Returns whether the target has a free slot for a call that needs `model`, or for a plain
    /// call.
    ///
    /// For a plain call, only the calls of this host count: the loads that the target and other
    /// hosts reported are older than the run time of such a call.
    pub fn has_free_slot(&self, model: Option<&ModelName>, now: ClockTime) -> bool {
        let used = match model {
            Some(_) => self.load(now),
            None => self.in_flight,
        };
        let is_refused = model.is_some_and(|model| self.refuses_model(model, now));
        let is_paused = self.pause_left(now).is_some();
        !is_refused && !is_paused && now >= self.full_until && used < self.slots()
    }

    /// Returns whether the target holds a model and, if one is given, an adapter of that model.
    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.models
            .get(model)
            .is_some_and(|held| adapter.is_none_or(|adapter| held.contains(adapter)))
    }

    /// Returns whether the target has recently refused a call for a model.
    fn refuses_model(&self, model: &ModelName, now: ClockTime) -> bool {
        self.refused_models
            .get(model)
            .is_some_and(|until| now < *until)
    }

    /// Replaces the record by a newer one.
    pub(super) fn replace_record(&mut self, record: TargetRecord, now: ClockTime) {
        if record.incarnation > self.record.incarnation {
            let former = std::mem::replace(self, Self::new(record));
            self.in_flight = former.in_flight;
            self.others = former.others;
            self.own_prefilling = former.own_prefilling;
            self.own_tokens = former.own_tokens;
            return;
        }
        if self
            .holdings_at
            .is_none_or(|at| now.since(at) >= HOLDINGS_PRECEDENCE)
        {
            self.models = record.models.clone();
        }
        let leaving = self.record.leaving;
        self.record = record;
        self.record.leaving |= leaving;
    }

    pub(super) fn record_failure(&mut self, now: ClockTime) {
        if now.since(self.last_failure) > AVOID_RESET_TIME {
            self.avoid_time = MIN_AVOID_TIME;
        }
        self.last_failure = now;
        self.avoid_until = now + self.avoid_time;
        let doubled = self.avoid_time + self.avoid_time;
        self.avoid_time = doubled.min(MAX_AVOID_TIME);
    }
}
