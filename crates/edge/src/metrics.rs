//! Metrics of the process.

use crate::store_calls::StoreCalls;
use crate::tenant_metrics::TenantMetrics;
use crocusyard_base::prelude::*;
use crocusyard_serving::prelude::*;
use log::warn;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Metric, Registry};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;

/// Bucket bounds of the latency histograms, s; the latency objectives of the routes lie between
/// them.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.3, 0.6, 1.2, 2.5, 5.0, 12.0];
/// Number of routes with a label of their own; all further routes share one, so that a large
/// configuration does not take unbounded memory.
const MAX_ROUTE_LABELS: usize = 64;
/// Label of what has no label of its own.
const OTHER_LABEL: &str = "other";

/// Labels of the request counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    service: String,
    outcome: &'static str,
}

/// Labels of the latency histogram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LatencyLabels {
    route: String,
    service: String,
}

/// Labels of the counter of streams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StreamLabels {
    route: String,
    result: &'static str,
}

/// Labels of the counter of refusals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    route: String,
    reason: String,
}

/// Labels of the counter of what was refused or closed to protect the host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct IntakeLabels {
    reason: &'static str,
}

/// Labels of the order counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OrderLabels {
    answer: String,
}

/// Metrics of the memory budget and of callers' connections.
struct IntakeMetrics {
    refusals: Family<IntakeLabels, Counter>,
    bytes: Gauge,
    connections: Gauge,
}

impl IntakeMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            refusals: registered(
                registry,
                "intake_refusals",
                "Bodies, heads and connections that were refused or closed to protect the host",
            ),
            bytes: registered(
                registry,
                "intake_bytes",
                "Bytes that the memory budget holds",
            ),
            connections: registered(
                registry,
                "caller_connections",
                "Open connections of callers",
            ),
        }
    }
}

/// Metrics of crashes of targets and their causes.
struct CrashMetrics {
    reported: Counter,
    suspected: Gauge,
    blamed: Gauge,
}

impl CrashMetrics {
    fn register(registry: &mut Registry) -> Self {
        Self {
            reported: registered(
                registry,
                "crashes_reported",
                "Crashes of targets that broke calls of this host",
            ),
            suspected: registered(
                registry,
                "suspected_causes",
                "Calls and prompt parts against which crashes of targets count",
            ),
            blamed: registered(
                registry,
                "blamed_causes",
                "Calls and prompt parts that are refused because they crash targets",
            ),
        }
    }
}

/// Creates a metric and adds it to the registry.
pub(crate) fn registered<M: Metric + Clone + Default>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

/// All metrics of the process.
pub(crate) struct EdgeMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    streams: Family<StreamLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    attempts: Counter,
    orders: Family<OrderLabels, Counter>,
    in_progress: Gauge,
    waiting: Gauge,
    connections: Gauge,
    crashes: CrashMetrics,
    intake: IntakeMetrics,
    /// Calls to the store by table and reason.
    pub(crate) store_calls: StoreCalls,
    /// Metrics by tenant.
    pub(crate) tenants: TenantMetrics,
    routes: BoundedLabels<RouteName>,
}

/// Names that have a label of their own: the first ones that were seen, up to a number.
pub(crate) struct BoundedLabels<N> {
    most: usize,
    names: RefCell<BTreeSet<N>>,
}

impl<N: Ord + Clone + Display> BoundedLabels<N> {
    pub(crate) fn new(most: usize) -> Self {
        Self {
            most,
            names: RefCell::default(),
        }
    }

    /// Returns the label of a name.
    pub(crate) fn label(&self, name: &N) -> String {
        let mut names = self.names.borrow_mut();
        if names.len() < self.most {
            names.insert(name.clone());
        }
        if names.contains(name) {
            name.to_string()
        } else {
            OTHER_LABEL.to_owned()
        }
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BOUNDS_S)
}

impl EdgeMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("crocusyard_entry");
        let requests = Family::<RequestLabels, Counter>::default();
        let latency: Family<LatencyLabels, Histogram, fn() -> Histogram> =
            Family::new_with_constructor(latency_histogram);
        let (attempts, orders) = (Counter::default(), Family::default());
        let (in_progress, waiting, connections) =
            (Gauge::default(), Gauge::default(), Gauge::default());
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register(
            "latency_seconds",
            "Time to the head of the answer",
            latency.clone(),
        );
        registry.register("attempts", "Sends to targets", attempts.clone());
        registry.register(
            "orders",
            "Orders to engines by answer",
            Family::clone(&orders),
        );
        registry.register("in_progress", "Requests in progress", in_progress.clone());
        registry.register(
            "waiting",
            "Requests that wait for a target",
            waiting.clone(),
        );
        registry.register(
            "connections_opened",
            "Connections opened",
            connections.clone(),
        );
        let (streams, refusals) = (Family::default(), Family::default());
        registry.register(
            "streams",
            "Streams that have ended, by what made them late",
            Family::clone(&streams),
        );
        registry.register(
            "refusals",
            "Refused requests by reason",
            Family::clone(&refusals),
        );
        let crashes = CrashMetrics::register(&mut registry);
        let tenants = TenantMetrics::register(&mut registry);
        let intake = IntakeMetrics::register(&mut registry);
        let store_calls = StoreCalls::default();
        registry.register(
            "store_calls",
            "Calls to the store by table and reason",
            store_calls.family.clone(),
        );
        Self {
            registry,
            store_calls,
            requests,
            latency,
            streams,
            refusals,
            attempts,
            orders,
            in_progress,
            waiting,
            connections,
            crashes,
            intake,
            tenants,
            routes: BoundedLabels::new(MAX_ROUTE_LABELS),
        }
    }

    /// Counts a request that has got the head of its answer, or was refused or failed.
    pub(crate) fn count_request(&self, call: &CallInfo, outcome: &'static str, elapsed: ClockTime) {
        let route = self.route_label(&call.route.name);
        let service = call.service.as_str().to_owned();
        let labels = LatencyLabels {
            route: route.clone(),
            service: service.clone(),
        };
        self.latency
            .get_or_create(&labels)
            .observe(elapsed.as_ms() as f64 / 1_000.0);
        let labels = RequestLabels {
            route,
            service,
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a stream that has ended.
    pub(crate) fn count_stream(&self, route: &RouteName, result: StreamResult) {
        let labels = StreamLabels {
            route: self.route_label(route),
            result: result.label(),
        };
        self.streams.get_or_create(&labels).inc();
    }

    /// Counts a refused request.
    pub(crate) fn count_refusal(&self, route: &RouteName, reason: RefusalReason) {
        let labels = RefusalLabels {
            route: self.route_label(route),
            reason: format!("{reason:?}"),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts what was refused or closed to protect the host.
    pub(crate) fn count_intake_refusal(&self, reason: &'static str) {
        self.intake
            .refusals
            .get_or_create(&IntakeLabels { reason })
            .inc();
    }

    /// Sets the gauges of the memory budget and of callers' connections.
    pub(crate) fn set_intake(&self, held_bytes: usize, connections: usize) {
        self.intake
            .bytes
            .set(i64::try_from(held_bytes).unwrap_or(i64::MAX));
        self.intake
            .connections
            .set(i64::try_from(connections).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_crash(&self) {
        self.crashes.reported.inc();
    }

    /// Sets the gauges of the causes of crashes.
    pub(crate) fn set_causes(&self, suspected: usize, blamed: usize) {
        self.crashes
            .suspected
            .set(i64::try_from(suspected).unwrap_or(i64::MAX));
        self.crashes
            .blamed
            .set(i64::try_from(blamed).unwrap_or(i64::MAX));
    }

    pub(crate) fn count_attempt(&self) {
        self.attempts.inc();
    }

    pub(crate) fn count_order(&self, answer: OrderAnswer) {
        let labels = OrderLabels {
            answer: format!("{answer:?}"),
        };
        self.orders.get_or_create(&labels).inc();
    }

    /// Returns the label of a route.
    fn route_label(&self, name: &RouteName) -> String {
        self.routes.label(name)
    }

    /// Sets the gauges and returns all metrics in the text format of Prometheus.
    pub(crate) fn text(&self, in_progress: usize, waiting: usize, opened: u64) -> String {
        self.in_progress
            .set(i64::try_from(in_progress).unwrap_or(i64::MAX));
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        self.connections
            .set(i64::try_from(opened).unwrap_or(i64::MAX));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            warn!("the metrics cannot be encoded: {error}");
        }
        text
    }
}
