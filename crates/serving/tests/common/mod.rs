//! Helpers of the tests: the request path of one host, and small sets of rules, targets and
//! engines.

#![allow(dead_code)]

pub mod fake_target;
pub mod fleet;
pub mod placement;
pub mod uneven;

use crocusyard_base::prelude::*;
use crocusyard_serving::copies::EngineView;
use crocusyard_serving::prelude::*;
use crocusyard_serving::targets::{HeldModels, TargetKey};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Slots of each engine and target.
pub const SLOTS: u32 = 8;
/// Time to load any model from the weight store.
pub const LOAD_TIME: ClockTime = ClockTime::from_ms(5_000);

pub fn ms(value: u64) -> ClockTime {
    ClockTime::from_ms(value)
}

/// Name of the only service.
pub fn service() -> ServiceName {
    ServiceName::new("engines")
}

pub fn model(name: &str) -> ModelName {
    ModelName::new(name)
}

pub fn route(kind: CallKind, max_attempts: u32) -> RouteRule {
    RouteRule {
        name: RouteName::new("route"),
        host: "a.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind,
        timeout: ms(12_000),
        latency_objective: ms(300),
        pause_objective: Some(ms(150)),
        start_timeout: ms(2_000),
        priority: 1,
        services: vec![(service(), 1.0)],
        max_attempts,
        anonymous: false,
    }
}

pub fn model_rule(name: &str) -> ModelRule {
    ModelRule {
        name: model(name),
        weights_mb: 60_000.0,
        load_time: LOAD_TIME,
        warm_time: ms(600),
        disk_time: ms(1_200),
        adapter_mb: 12.0,
    }
}

pub fn engine_rule(models: &[&str]) -> EngineRule {
    EngineRule {
        slots: SLOTS,
        kv_tokens: 80_000,
        weights_mb: 200_000.0,
        adapter_slots: 2,
        loads_per_s: 2.0,
        models: models
            .iter()
            .map(|name| (model(name), model_rule(name)))
            .collect(),
    }
}

pub fn rules(models: &[&str]) -> RuleSet {
    let rule = ServiceRule {
        name: service(),
        max_conns: 100,
        engine: Some(engine_rule(models)),
    };
    RuleSet::new(
        1,
        vec![route(CallKind::NonIdempotent, 1)],
        HashMap::from([(service(), rule)]),
        CallerLimits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            head_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
    )
}

/// Holdings given as models with their adapters.
pub fn held(models: &[(&str, &[&str])]) -> HeldModels {
    models
        .iter()
        .map(|(name, adapters)| {
            let adapters = adapters.iter().map(|name| AdapterName::new(name));
            (model(name), adapters.collect())
        })
        .collect()
}

/// Report of an engine in its first incarnation.
pub fn engine_report(accepted_orders: u64, models: &[(&str, &[&str])], busy: bool) -> EngineReport {
    EngineReport {
        incarnation: Some(1),
        holdings: TargetHoldings {
            accepted_orders,
            models: held(models),
        },
        busy,
    }
}

pub fn record(name: &str, domain: &str, models: &[(&str, &[&str])]) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: DomainName::new(domain),
        incarnation: 1,
        sequence: 1,
        slots: SLOTS,
        leaving: false,
        models: held(models),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

/// An engine as the planner sees it, with no order in progress.
pub fn engine_view(name: &str, models: &[(&str, &[&str])]) -> EngineView {
    EngineView {
        name: TargetName::new(name),
        domain: DomainName::new("a"),
        holdings: TargetHoldings {
            accepted_orders: 0,
            models: held(models),
        },
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
        loading_model: None,
        loading_adapter: None,
        unloading: false,
        held_for: BTreeMap::new(),
        recent_adapters: BTreeSet::new(),
        accepts_orders: true,
    }
}

/// The request path of a host that knows a configuration and targets.
pub struct TestHost {
    pub state: ServingState,
    next_key: u64,
}

impl TestHost {
    pub fn new(models: &[&str], targets: Vec<TargetRecord>) -> Self {
        Self::named("h", models, targets)
    }

    /// Creates the host `name`.
    pub fn named(name: &str, models: &[&str], targets: Vec<TargetRecord>) -> Self {
        let config = ServingConfig {
            process: 1,
            seed: 1,
            host: HostName::new(name),
            domain: DomainName::new("a"),
            retries: RetryLimits {
                ratio: 0.2,
                slack: 58.0,
                window: ms(10_000),
            },
        };
        let mut host = Self {
            state: ServingState::new(config, ms(0)),
            next_key: 1,
        };
        // No process has run before this one.
        host.state
            .reduce(ServingEvent::FormerRetries(Vec::new()), ms(0));
        host.state
            .reduce(ServingEvent::Rules(Rc::new(rules(models))), ms(0));
        let event = ServingEvent::Targets {
            upserts: targets,
            removed: Vec::new(),
        };
        host.state.reduce(event, ms(0));
        host
    }

    /// Lets a call arrive; `need` has the form `MODEL` or `MODEL/ADAPTER`.
    pub fn call(
        &mut self,
        route: RouteRule,
        need: &str,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        self.call_named(&format!("request-{}", self.next_key), route, need, now)
    }

    /// Lets a call arrive with the request identifier `id`.
    pub fn call_named(
        &mut self,
        id: &str,
        route: RouteRule,
        need: &str,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        let (name, adapter) = match need.split_once('/') {
            Some((name, adapter)) => (name, Some(AdapterName::new(adapter))),
            None => (need, None),
        };
        let need = CallNeed {
            model: model(name),
            adapter,
        };
        self.arrive(id, route, Some(need), None, now)
    }

    /// Lets a call of a tenant arrive that needs a model, with the digest of the tenant's key.
    pub fn call_of(
        &mut self,
        identity: Option<(KeyDigest, Rc<TenantRule>)>,
        route: RouteRule,
        name: &str,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        let need = CallNeed {
            model: model(name),
            adapter: None,
        };
        let id = format!("request-{}", self.next_key);
        self.arrive(&id, route, Some(need), identity, now)
    }

    /// Lets a call arrive that needs no model.
    pub fn plain_call(
        &mut self,
        route: RouteRule,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        self.plain_call_named(&format!("request-{}", self.next_key), route, now)
    }

    /// Lets a call arrive that needs no model, with the request identifier `id`.
    pub fn plain_call_named(
        &mut self,
        id: &str,
        route: RouteRule,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        self.arrive(id, route, None, None, now)
    }

    /// Lets a call with a prompt arrive; the prompt tells it from other calls.
    pub fn prompt_call(
        &mut self,
        route: RouteRule,
        name: &str,
        prompt: Vec<PromptPart>,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        let call = Rc::new(CallInfo {
            id: format!("request-{}", key.0).into(),
            service: service(),
            need: Some(CallNeed {
                model: model(name),
                adapter: None,
            }),
            prompt_tokens: prompt.iter().map(|part| part.tokens).sum(),
            output_tokens: 300,
            deadline: now + route.timeout,
            start_deadline: now + route.start_timeout,
            digest: CallDigest::of(&route.path_prefix, b"", &prompt),
            prompt,
            key: None,
            tenant: None,
            cost: 1,
            route,
        });
        let event = ServingEvent::CallArrived { key, call };
        (key, self.state.reduce(event, now))
    }

    fn arrive(
        &mut self,
        id: &str,
        route: RouteRule,
        need: Option<CallNeed>,
        identity: Option<(KeyDigest, Rc<TenantRule>)>,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        let call = Rc::new(self.info(id, route, need, identity, now));
        let effects = self
            .state
            .reduce(ServingEvent::CallArrived { key, call }, now);
        (key, effects)
    }

    /// Returns a call of a tenant that needs a model, without letting it arrive.
    pub fn info_of(
        &mut self,
        identity: Option<(KeyDigest, Rc<TenantRule>)>,
        route: RouteRule,
        name: &str,
    ) -> CallInfo {
        let need = CallNeed {
            model: model(name),
            adapter: None,
        };
        self.info("request", route, Some(need), identity, ms(0))
    }

    fn info(
        &self,
        id: &str,
        route: RouteRule,
        need: Option<CallNeed>,
        identity: Option<(KeyDigest, Rc<TenantRule>)>,
        now: ClockTime,
    ) -> CallInfo {
        let (caller_key, tenant) = identity.unzip();
        let (prompt_tokens, output_tokens) = if need.is_some() { (700, 300) } else { (0, 0) };
        CallInfo {
            id: id.into(),
            service: service(),
            need,
            prompt: Vec::new(),
            prompt_tokens,
            output_tokens,
            deadline: now + route.timeout,
            start_deadline: now + route.start_timeout,
            digest: CallDigest(self.next_key - 1),
            key: caller_key,
            tenant,
            cost: 1,
            route,
        }
    }

    /// Applies a report of another host about its requests in progress, by target.
    pub fn report_load(&mut self, host: &str, load: &[(&str, u16)], now: ClockTime) {
        let key = |name: &str| TargetKey::of(&TargetName::new(name));
        let event = ServingEvent::PeerLoad {
            host: HostName::new(host),
            load: load
                .iter()
                .map(|(name, count)| (key(name), *count))
                .collect(),
        };
        self.state.reduce(event, now);
    }

    /// Applies a report of another host about its waiting calls for a model.
    pub fn report_waiting(&mut self, host: &str, name: &str, count: u16, now: ClockTime) {
        let event = ServingEvent::PeerWaiting {
            host: HostName::new(host),
            waiting: [(ModelKey::of(&service(), &model(name)), count)].into(),
        };
        self.state.reduce(event, now);
    }

    /// Lets a call arrive that is answered by a stream and must not run twice.
    pub fn stream(&mut self, need: &str, now: ClockTime) -> (RequestKey, Vec<ServingEffect>) {
        self.call(route(CallKind::Stream { resumable: false }, 1), need, now)
    }

    /// Ends the current attempt of a request.
    pub fn end(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        now: ClockTime,
    ) -> Vec<ServingEffect> {
        self.state
            .reduce(ServingEvent::AttemptEnded { key, outcome }, now)
    }
}

/// Targets of all sends among the effects.
pub fn sent_to(effects: &[ServingEffect]) -> Vec<String> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            ServingEffect::Send(plan) => Some(plan.target.as_str().to_owned()),
            _ => None,
        })
        .collect()
}

/// All refusals among the effects.
pub fn refusals(effects: &[ServingEffect]) -> Vec<RequestRefusal> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            ServingEffect::Refuse(refusal) => Some(*refusal),
            _ => None,
        })
        .collect()
}
