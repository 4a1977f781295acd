//! The operators' configuration in the product's words.

use crocusyard_base::prelude::*;
use std::collections::HashMap;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// Answered by a stream of events; runs once at most unless it may be resumed.
    Stream {
        /// Whether another target may go on after the last event.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a call whose fate is unknown may run again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A route: which calls go to which service, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name.
    pub name: RouteName,
    /// Host name that callers use.
    pub host: String,
    /// Beginning of the path.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: ClockTime,
    /// Time within which an answer, or the first event of a stream, is in time.
    pub latency_objective: ClockTime,
    /// Longest time that a caller waits for the first event of a stream; the timeout otherwise.
    pub start_timeout: ClockTime,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<(ServiceName, f64)>,
    /// Most targets to which one request is sent.
    pub max_attempts: u32,
}

/// A model that engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRule {
    /// Name.
    pub name: ModelName,
    /// Size of the weights, MB.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: ClockTime,
    /// Time of a load from the engine's own memory.
    pub warm_time: ClockTime,
    /// Time of a load from the engine's own disk.
    pub disk_time: ClockTime,
    /// Size of one adapter, MB.
    pub adapter_mb: f64,
}

/// What the engines of a service are.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and running requests, tokens.
    pub kv_tokens: u64,
    /// Memory for weights and adapters, MB.
    pub weights_mb: f64,
    /// Adapters that an engine holds at most.
    pub adapter_slots: usize,
    /// Loads from the weight store per second, over all engines.
    pub loads_per_s: f64,
    /// Models by name.
    pub models: HashMap<ModelName, ModelRule>,
}

/// A service: a set of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceName,
    /// Connections that a target accepts from all hosts.
    pub max_conns: u32,
    /// What its engines are, if it serves models.
    pub engine: Option<EngineRule>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, bytes.
    pub head_bytes: usize,
    /// Longest body, bytes.
    pub body_bytes: usize,
    /// Time to send a head.
    pub head_timeout: ClockTime,
    /// Time that a connection may stay idle.
    pub idle_timeout: ClockTime,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSet {
    /// Version; it only rises.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    routes: HashMap<String, Vec<RouteRule>>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RuleSet {
    /// Makes a configuration.
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
        }
    }

    /// Finds the route with the longest prefix.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.split(':').next().unwrap_or(host);
        let rules = self.routes.get(name)?;
        rules
            .iter()
            .find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Rule of the engines of a service.
    pub fn engine(&self, service: &ServiceName) -> Option<&EngineRule> {
        self.services.get(service)?.engine.as_ref()
    }
}
