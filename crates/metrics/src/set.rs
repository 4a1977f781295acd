//! The metric families and the functions that record into them.

use crate::labels::{
    MemberState, MoveAction, MoveResult, OutcomeLabel, RequestLabels, SeriesNames,
    TrafficDirection, CLASSES_MAX, TENANTS_MAX,
};
use crocusyard_base::invariants::violation_counts;
use crocusyard_base::prelude::*;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Content type of the text that [`MetricSet::encode_text`] returns.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

// Upper bounds of histogram buckets, seconds. The objectives, 1.7 s to the first token and 46 ms
// between tokens, are bounds, so that the share of requests that meets them is exact.
const FIRST_TOKEN_SECONDS: [f64; 10] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 3.0, 6.0, 15.0];
const TOKEN_GAP_SECONDS: [f64; 10] = [0.01, 0.02, 0.03, 0.046, 0.06, 0.1, 0.25, 0.5, 1.0, 5.0];
const QUEUE_SECONDS: [f64; 10] = [0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 5.0, 30.0];
const REQUEST_SECONDS: [f64; 10] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 300.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    tenant: Arc<str>,
    class: Arc<str>,
    outcome: OutcomeLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MoveLabels {
    action: MoveAction,
    result: MoveResult,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InvariantLabels {
    invariant: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    direction: TrafficDirection,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemberLabels {
    state: MemberState,
}

type HistogramFamily = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// All metrics of one host.
#[derive(Debug)]
pub struct MetricSet {
    registry: Registry,
    tenants: SeriesNames,
    classes: SeriesNames,
    first_token: HistogramFamily,
    token_gap: HistogramFamily,
    queue_time: HistogramFamily,
    request_time: HistogramFamily,
    requests: Family<OutcomeLabels, Counter>,
    attempts: Counter,
    retries: Counter,
    refusals: Family<CodeLabels, Counter>,
    moves: Family<MoveLabels, Counter>,
    violations: Family<InvariantLabels, Counter>,
    /// Held while the counters of violations are raised.
    violations_lock: Mutex<()>,
    traffic: Family<TrafficLabels, Counter>,
    in_progress: Family<ClassLabels, Gauge>,
    queued: Family<ClassLabels, Gauge>,
    preset_version: Gauge,
    members: Family<MemberLabels, Gauge>,
}

impl Default for MetricSet {
    fn default() -> Self {
        Self::new()
    }
}

impl MetricSet {
    /// Creates a set with all families registered and nothing recorded.
    pub fn new() -> Self {
        let mut set = Self {
            registry: Registry::with_prefix("crocusyard"),
            tenants: SeriesNames::new(TENANTS_MAX),
            classes: SeriesNames::new(CLASSES_MAX),
            first_token: Family::new_with_constructor(|| Histogram::new(FIRST_TOKEN_SECONDS)),
            token_gap: Family::new_with_constructor(|| Histogram::new(TOKEN_GAP_SECONDS)),
            queue_time: Family::new_with_constructor(|| Histogram::new(QUEUE_SECONDS)),
            request_time: Family::new_with_constructor(|| Histogram::new(REQUEST_SECONDS)),
            requests: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            refusals: Family::default(),
            moves: Family::default(),
            violations: Family::default(),
            violations_lock: Mutex::default(),
            traffic: Family::default(),
            in_progress: Family::default(),
            queued: Family::default(),
            preset_version: Gauge::default(),
            members: Family::default(),
        };
        set.register_times();
        set.register_counters();
        set.register_gauges();
        set
    }

    fn register_times(&mut self) {
        let families = [
            ("first_token", "Time to the first token", &self.first_token),
            ("token_gap", "Time between two tokens", &self.token_gap),
            ("queue_time", "Time in the queue", &self.queue_time),
            (
                "request_time",
                "Time from arrival to the end",
                &self.request_time,
            ),
        ];
        for (name, help, family) in families {
            let family = family.clone();
            self.registry
                .register_with_unit(name, help, Unit::Seconds, family);
        }
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "attempts",
            "Requests sent to targets",
            self.attempts.clone(),
        );
        registry.register(
            "retries",
            "Attempts after the first one",
            self.retries.clone(),
        );
        registry.register("refusals", "Requests refused", self.refusals.clone());
        registry.register("moves", "Loads and unloads that ended", self.moves.clone());
        registry.register(
            "invariant_violations",
            "Actions refused because they would break an invariant",
            self.violations.clone(),
        );
        registry.register_with_unit(
            "control_traffic",
            "Control traffic between hosts",
            Unit::Bytes,
            self.traffic.clone(),
        );
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests_in_progress",
            "Requests with an attempt",
            self.in_progress.clone(),
        );
        registry.register("requests_queued", "Requests that wait", self.queued.clone());
        registry.register(
            "preset_version",
            "Version of the preset in force on this host",
            self.preset_version.clone(),
        );
        registry.register("members", "Entry hosts by state", self.members.clone());
    }

    /// Gives declared tenants and classes their own series, up to the limits.
    pub fn declare_names<'a>(
        &self,
        tenants: impl IntoIterator<Item = &'a TenantName>,
        classes: impl IntoIterator<Item = &'a ClassName>,
    ) {
        for tenant in tenants {
            self.tenants.add(tenant.as_str());
        }
        for class in classes {
            self.classes.add(class.as_str());
        }
    }

    /// Returns the labels of a request, which the caller keeps for all its records.
    pub fn labels_of(&self, tenant: &TenantName, class: &ClassName) -> RequestLabels {
        RequestLabels {
            tenant: self.tenants.label_of(tenant.as_str()),
            class: self.classes.label_of(class.as_str()),
        }
    }

    /// Records the time from arrival to the first token.
    pub fn record_first_token(&self, labels: &RequestLabels, duration: ClockTime) {
        observe(&self.first_token, labels, duration);
    }

    /// Records the time between two tokens of one stream.
    pub fn record_token_gap(&self, labels: &RequestLabels, duration: ClockTime) {
        observe(&self.token_gap, labels, duration);
    }

    /// Records the time that a request spent in the queue.
    pub fn record_queue_time(&self, labels: &RequestLabels, duration: ClockTime) {
        observe(&self.queue_time, labels, duration);
    }

    /// Records the end of a request and the time since its arrival.
    pub fn record_end(&self, labels: &RequestLabels, outcome: OutcomeLabel, duration: ClockTime) {
        observe(&self.request_time, labels, duration);
        let labels = OutcomeLabels {
            tenant: Arc::clone(&labels.tenant),
            class: Arc::clone(&labels.class),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the first attempt of a request.
    pub fn record_attempt(&self) {
        self.attempts.inc();
    }

    /// Records an attempt of a request after the first one.
    pub fn record_retry(&self) {
        self.attempts.inc();
        self.retries.inc();
    }

    /// Records a refused request under the `code` of its problem document.
    pub fn record_refusal(&self, code: &'static str) {
        self.refusals.get_or_create(&CodeLabels { code }).inc();
    }

    /// Records the end of a load or unload.
    pub fn record_move(&self, action: MoveAction, result: MoveResult) {
        let labels = MoveLabels { action, result };
        self.moves.get_or_create(&labels).inc();
    }

    /// Records bytes of control traffic between hosts.
    pub fn record_traffic(&self, direction: TrafficDirection, bytes: u64) {
        let labels = TrafficLabels { direction };
        self.traffic.get_or_create(&labels).inc_by(bytes);
    }

    /// Sets the number of requests of a class that have an attempt in progress.
    pub fn set_in_progress(&self, class: &ClassName, count: usize) {
        let class = self.classes.label_of(class.as_str());
        let gauge = self.in_progress.get_or_create_owned(&ClassLabels { class });
        gauge.set(count as i64);
    }

    /// Sets the number of queued requests of a class.
    pub fn set_queued(&self, class: &ClassName, count: usize) {
        let class = self.classes.label_of(class.as_str());
        let gauge = self.queued.get_or_create_owned(&ClassLabels { class });
        gauge.set(count as i64);
    }

    /// Sets the version of the preset in force on this host.
    pub fn set_preset_version(&self, version: u64) {
        self.preset_version.set(version as i64);
    }

    /// Sets the number of entry hosts in a state.
    pub fn set_members(&self, state: MemberState, count: usize) {
        let gauge = self.members.get_or_create_owned(&MemberLabels { state });
        gauge.set(count as i64);
    }

    /// Raises the counters of violated invariants to the given counts, which include earlier ones.
    pub fn record_violations(&self, counts: &BTreeMap<&'static str, u64>) {
        // The lock keeps two concurrent scrapes from adding the same difference twice.
        let guard = self.violations_lock.lock();
        for (invariant, count) in counts {
            let labels = InvariantLabels { invariant };
            let counter = self.violations.get_or_create_owned(&labels);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        drop(guard);
    }

    /// Encodes all metrics as text, including the invariant violations of this process.
    pub fn encode_text(&self) -> String {
        self.record_violations(&violation_counts());
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn observe(family: &HistogramFamily, labels: &RequestLabels, duration: ClockTime) {
    let seconds = duration.as_ms() as f64 / 1000.0;
    family.get_or_create(labels).observe(seconds);
}
