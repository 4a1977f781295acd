//! Metrics by tenant.

use crate::metrics::{registered, BoundedLabels};
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Bucket bounds of the histogram of queueing times, s; most calls do not wait at all.
const QUEUE_BOUNDS_S: [f64; 9] = [0.001, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 8.0, 20.0];
/// Number of tenants with a label of their own, which bounds the memory and the text of the metrics;
/// all further ones share one label.
const MAX_TENANT_LABELS: usize = 128;

/// Label with the name of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
}

/// Labels of the counter of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    tenant: String,
    reason: String,
}

/// Labels of the counter of calls that were not admitted for their keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KeyLabels {
    reason: &'static str,
}

/// Gauge of a figure of a tenant.
type TenantGauge = Family<TenantLabels, Gauge<f64, AtomicU64>>;

fn queue_histogram() -> Histogram {
    Histogram::new(QUEUE_BOUNDS_S)
}

/// Metrics by tenant; those of calls without a tenant are not counted here.
pub(crate) struct TenantMetrics {
    credit: TenantGauge,
    usage_rate: TenantGauge,
    usage: TenantGauge,
    requested: Family<TenantLabels, Counter>,
    admitted: Family<TenantLabels, Counter>,
    refused: Family<RefusalLabels, Counter>,
    tokens: Family<TenantLabels, Counter>,
    queueing: Family<TenantLabels, Histogram, fn() -> Histogram>,
    unauthorized: Family<KeyLabels, Counter>,
    labels: BoundedLabels<TenantName>,
}

impl TenantMetrics {
    /// Creates the metrics and adds them to the registry.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let queueing: Family<TenantLabels, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(queue_histogram);
        registry.register(
            "tenant_queueing_seconds",
            "Time from the arrival to the first send to a target",
            queueing.clone(),
        );
        Self {
            credit: registered(
                registry,
                "tenant_credit",
                "Credit of a tenant over all hosts, as this host knows it",
            ),
            usage_rate: registered(
                registry,
                "tenant_usage_per_second",
                "Usage of a tenant per second over all hosts",
            ),
            usage: registered(
                registry,
                "tenant_usage",
                "Usage of a tenant over all hosts since their processes started",
            ),
            requested: registered(
                registry,
                "tenant_requests",
                "Requests with a valid key by tenant",
            ),
            admitted: registered(
                registry,
                "tenant_admitted",
                "Requests sent to a target by tenant",
            ),
            refused: registered(
                registry,
                "tenant_refusals",
                "Refused requests by tenant and reason",
            ),
            tokens: registered(
                registry,
                "tenant_tokens",
                "Tokens of prompts and answers, as stated, of requests sent to a target",
            ),
            queueing,
            unauthorized: registered(
                registry,
                "unauthorized",
                "Requests that were not admitted for their keys",
            ),
            labels: BoundedLabels::new(MAX_TENANT_LABELS),
        }
    }

    /// Replaces the usage and the credit of the tenants with limits.
    pub(crate) fn set_usage(&self, usages: &[NamedUsage]) {
        for gauge in [&self.credit, &self.usage_rate, &self.usage] {
            gauge.clear();
        }
        for NamedUsage { name, usage } in usages.iter().take(MAX_TENANT_LABELS) {
            let labels = TenantLabels {
                tenant: name.as_str().to_owned(),
            };
            let set = |gauge: &TenantGauge, value| gauge.get_or_create(&labels).set(value);
            set(&self.credit, usage.credit);
            set(&self.usage_rate, usage.usage_per_s);
            set(&self.usage, usage.total as f64);
        }
    }

    fn labels(&self, tenant: &TenantRule) -> TenantLabels {
        TenantLabels {
            tenant: self.labels.label(&tenant.name),
        }
    }

    /// Counts a request whose key is valid.
    pub(crate) fn count_requested(&self, call: &CallInfo) {
        if let Some(tenant) = &call.tenant {
            self.requested.get_or_create(&self.labels(tenant)).inc();
        }
    }

    /// Counts a request that is sent to a target for the first time, `waited` after it arrived.
    pub(crate) fn count_admitted(&self, call: &CallInfo, waited: ClockTime) {
        let Some(tenant) = &call.tenant else {
            return;
        };
        let labels = self.labels(tenant);
        self.admitted.get_or_create(&labels).inc();
        let tokens = u64::from(call.prompt_tokens) + u64::from(call.output_tokens);
        self.tokens.get_or_create(&labels).inc_by(tokens);
        self.queueing
            .get_or_create(&labels)
            .observe(waited.as_ms() as f64 / 1_000.0);
    }

    /// Counts a refused request.
    pub(crate) fn count_refused(&self, call: &CallInfo, reason: RefusalReason) {
        if let Some(tenant) = &call.tenant {
            let labels = RefusalLabels {
                tenant: self.labels.label(&tenant.name),
                reason: format!("{reason:?}"),
            };
            self.refused.get_or_create(&labels).inc();
        }
    }

    /// Counts a request that was not admitted for its key.
    pub(crate) fn count_unauthorized(&self, fault: KeyFault) {
        let reason = fault.label();
        self.unauthorized.get_or_create(&KeyLabels { reason }).inc();
    }
}
