//! The operators' configuration: routes, services and limits for callers.

use crate::tenants::{CallerIdentity, CallerKey, KeyFault, TenantTable};
use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// Limit on how often a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run at most once.
    NonIdempotent,
    /// The call is answered by a stream of events; it runs at most once unless it is resumable.
    Stream {
        /// Whether another target may continue the stream after the last event.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a call that may already have run may run again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A route: which calls it matches, and which services handle them under which limits.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: RouteName,
    /// Host name that callers address, without a port.
    pub host: String,
    /// Prefix of the paths that the route matches.
    pub path_prefix: String,
    /// Limit on how often a call of the route may run.
    pub kind: CallKind,
    /// Longest time that a caller waits for the whole answer.
    pub timeout: ClockTime,
    /// Latency objective: time within which the answer, or the first event of a stream, should
    /// arrive.
    pub latency_objective: ClockTime,
    /// Longest pause between two events of a stream that is on time; `None` if any pause is.
    pub pause_objective: Option<ClockTime>,
    /// Longest time that a caller waits for the first event of a stream; equal to `timeout` for
    /// other calls.
    pub start_timeout: ClockTime,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that handle the calls, with the weights by which one is drawn for each call.
    pub services: Vec<(ServiceName, f64)>,
    /// Largest number of attempts per request.
    pub max_attempts: u32,
    /// Whether calls need no key, although the configuration has tenants.
    pub anonymous: bool,
}

/// Sizes and load times of a model that the engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRule {
    /// Name by which calls ask for the model.
    pub name: ModelName,
    /// Memory for the weights, MB.
    pub weights_mb: f64,
    /// Time to load the weights from the weight store.
    pub load_time: ClockTime,
    /// Time to load the weights from the engine's own memory.
    pub warm_time: ClockTime,
    /// Time to load the weights from the engine's own disk.
    pub disk_time: ClockTime,
    /// Memory for one adapter of the model, MB.
    pub adapter_mb: f64,
}

/// Sizes and limits of the engines of a service, and the models that they can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Capacity of an engine's key-value cache for prompts and running requests, tokens.
    pub kv_tokens: u64,
    /// Memory of an engine for weights and adapters together, MB.
    pub weights_mb: f64,
    /// Largest number of adapters that an engine holds.
    pub adapter_slots: usize,
    /// Loads from the weight store that may begin per second, over all engines.
    pub loads_per_s: f64,
    /// Models that the engines can hold, by name.
    pub models: HashMap<ModelName, ModelRule>,
}

/// A service: a set of targets that handle the same calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name by which routes and targets refer to the service.
    pub name: ServiceName,
    /// Largest number of connections that a target accepts, from all hosts together.
    pub max_conns: u32,
    /// Rule of its engines; `None` for a plain service, which serves no models.
    pub engine: Option<EngineRule>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request head, bytes.
    pub head_bytes: usize,
    /// Largest size of a request body, bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a head.
    pub head_timeout: ClockTime,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: ClockTime,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    /// Version of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    routes: HashMap<String, Vec<RouteRule>>,
    /// Services, by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Tenants, one of which each call on a route that is not anonymous must belong to; `None` if
    /// callers need no keys.
    pub tenants: Option<TenantTable>,
}

impl RuleSet {
    /// Creates a configuration. Of routes with the same host name and prefix, the first one is
    /// used.
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        services: HashMap<ServiceName, ServiceRule>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<RouteRule>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services,
            limits,
            tenants: None,
        }
    }

    /// Sets the tenants.
    pub fn with_tenants(self, tenants: TenantTable) -> Self {
        Self {
            tenants: Some(tenants),
            ..self
        }
    }

    /// Returns the route of a host name, with or without a port, whose prefix is the longest that
    /// matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.split(':').next().unwrap_or(host);
        let rules = self.routes.get(name)?;
        rules
            .iter()
            .find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// Identifies the caller of a request on a route by its key; `None` if callers need no keys, or
    /// for a caller without a known key on an anonymous route.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and the request has none, several or an unknown one.
    pub fn identify(
        &self,
        route: &RouteRule,
        key: CallerKey,
    ) -> Result<Option<CallerIdentity>, KeyFault> {
        let Some(tenants) = &self.tenants else {
            return Ok(None);
        };
        match tenants.identify(key) {
            Ok(identity) => Ok(Some(identity)),
            Err(_) if route.anonymous => Ok(None),
            Err(fault) => Err(fault),
        }
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the rule of a service's engines, or `None` for a service that is unknown or plain.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineRule> {
        self.services.get(service)?.engine.as_ref()
    }
}
