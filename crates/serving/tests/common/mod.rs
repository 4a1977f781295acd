//! A host's request path with a small deployment around it.

#![allow(dead_code)]

use crocusyard_base::prelude::*;
use crocusyard_serving::copies::EngineView;
use crocusyard_serving::prelude::*;
use crocusyard_serving::targets::{HeldModels, TargetKey};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Slots of an engine in these tests.
pub const SLOTS: u32 = 8;
/// Time of a load from the weight store in these tests.
pub const LOAD_TIME: ClockTime = ClockTime::from_ms(5_000);

pub fn ms(value: u64) -> ClockTime {
    ClockTime::from_ms(value)
}

pub fn engines() -> ServiceName {
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
        start_timeout: ms(2_000),
        priority: 1,
        services: vec![(engines(), 1.0)],
        max_attempts,
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
    let service = ServiceRule {
        name: engines(),
        max_conns: 100,
        engine: Some(engine_rule(models)),
    };
    RuleSet::new(
        1,
        vec![route(CallKind::NonIdempotent, 1)],
        HashMap::from([(engines(), service)]),
        CallerLimits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            head_timeout: ms(3_000),
            idle_timeout: ms(15_000),
        },
    )
}

pub fn held(models: &[(&str, &[&str])]) -> HeldModels {
    models
        .iter()
        .map(|(name, adapters)| {
            let adapters = adapters.iter().map(|name| AdapterName::new(name));
            (model(name), adapters.collect())
        })
        .collect()
}

pub fn record(name: &str, domain: &str, models: &[(&str, &[&str])]) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        service: engines(),
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

/// An engine as the planner sees it: nothing under way.
pub fn view(name: &str, models: &[(&str, &[&str])]) -> EngineView {
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
        recent_adapters: BTreeSet::new(),
        accepts_orders: true,
    }
}

/// A host that knows a configuration and targets.
pub struct TestHost {
    pub state: ServingState,
    next_key: u64,
}

impl TestHost {
    pub fn new(models: &[&str], targets: Vec<TargetRecord>) -> Self {
        let config = ServingConfig {
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
        host.state
            .reduce(ServingEvent::Rules(Rc::new(rules(models))), ms(0));
        let event = ServingEvent::Targets {
            upserts: targets,
            removed: Vec::new(),
        };
        host.state.reduce(event, ms(0));
        host
    }

    /// A call for a model arrives.
    pub fn call(
        &mut self,
        route: RouteRule,
        need: &str,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        self.call_named(&format!("request-{}", self.next_key), route, need, now)
    }

    /// The same with an identifier of the caller's.
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
        self.arrive(id, route, Some(need), now)
    }

    /// A call that needs no model arrives.
    pub fn plain(&mut self, route: RouteRule, now: ClockTime) -> (RequestKey, Vec<ServingEffect>) {
        self.plain_named(&format!("request-{}", self.next_key), route, now)
    }

    /// The same with an identifier of the caller's.
    pub fn plain_named(
        &mut self,
        id: &str,
        route: RouteRule,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        self.arrive(id, route, None, now)
    }

    fn arrive(
        &mut self,
        id: &str,
        route: RouteRule,
        need: Option<CallNeed>,
        now: ClockTime,
    ) -> (RequestKey, Vec<ServingEffect>) {
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        let (prompt_tokens, output_tokens) = if need.is_some() { (700, 300) } else { (0, 0) };
        let call = Rc::new(CallInfo {
            id: id.into(),
            service: engines(),
            need,
            prompt: Vec::new(),
            prompt_tokens,
            output_tokens,
            deadline: now + route.timeout,
            start_deadline: now + route.start_timeout,
            digest: CallDigest(key.0),
            route,
        });
        let effects = self
            .state
            .reduce(ServingEvent::CallArrived { key, call }, now);
        (key, effects)
    }

    /// Another host tells its requests in progress.
    pub fn hear_load(&mut self, host: &str, load: &[(&str, u16)], now: ClockTime) {
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

    /// Another host tells its waiting calls for a model.
    pub fn hear_waiting(&mut self, host: &str, name: &str, count: u16, now: ClockTime) {
        let event = ServingEvent::PeerWaiting {
            host: HostName::new(host),
            waiting: [(ModelKey::of(&engines(), &model(name)), count)].into(),
        };
        self.state.reduce(event, now);
    }

    pub fn stream(&mut self, need: &str, now: ClockTime) -> (RequestKey, Vec<ServingEffect>) {
        self.call(route(CallKind::Stream { resumable: false }, 1), need, now)
    }

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

pub fn sent_to(effects: &[ServingEffect]) -> Vec<String> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            ServingEffect::Send(plan) => Some(plan.target.as_str().to_owned()),
            _ => None,
        })
        .collect()
}

pub fn refusals(effects: &[ServingEffect]) -> Vec<RequestRefusal> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            ServingEffect::Refuse(refusal) => Some(*refusal),
            _ => None,
        })
        .collect()
}
