//! Load pattern: 16 tenants send more calls than the engines can run, one of them far more than the
//! others.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_serving::engine_rank::{engine_rank, AttemptStart};
use crocusyard_serving::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Run time of each call.
const RUN_TIME: ClockTime = ClockTime::from_ms(400);
/// Interval between two heartbeats, with which the hosts report to each other.
const HEARTBEAT: ClockTime = ClockTime::from_ms(250);
/// Step of the simulated time.
const STEP_MS: u64 = 5;

fn key_of(name: &str) -> KeyDigest {
    KeyDigest::of(name.as_bytes())
}

fn tenant(name: &str, priority: u8) -> Rc<TenantRule> {
    Rc::new(TenantRule {
        name: TenantName::new(name),
        priority,
        limit: None,
        plain_cost: 1,
        unit: CostUnit::Calls,
    })
}

/// Returns rules with these tenants, each with its name as its key.
fn rules_with(tenants: &[Rc<TenantRule>]) -> ServingEvent {
    let mut table = TenantTable::default();
    for tenant in tenants {
        let keys = [key_of(tenant.name.as_str())];
        table
            .add((**tenant).clone(), &keys)
            .expect("the tenant is valid");
    }
    let mut rules = rules(&["m"]).with_tenants(table);
    rules.version = 2;
    ServingEvent::Rules(Rc::new(rules))
}

/// Calls that arrive per second, by tenant, at one host.
type Load = Vec<(Rc<TenantRule>, f64)>;

/// Calls of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: f64,
    in_time: f64,
}

impl Served {
    fn fraction(self) -> f64 {
        self.in_time / self.sent.max(1.0)
    }
}

/// Hosts that share engines, in simulated time.
struct Simulation {
    /// Largest number of attempts per call.
    attempts: u32,
    hosts: Vec<TestHost>,
    loads: Vec<Load>,
    /// Calls that are due but have not arrived, as a fraction, by host and position in its load.
    due: Vec<Vec<f64>>,
    /// Ends of runs, by host.
    ends: BTreeSet<(ClockTime, usize, RequestKey)>,
    /// Calls in progress with tenant and arrival.
    calls: BTreeMap<(usize, RequestKey), (TenantName, ClockTime)>,
    /// Requests in progress by engine.
    running: BTreeMap<TargetName, u32>,
    targets: BTreeMap<(usize, RequestKey), TargetName>,
    served: BTreeMap<TenantName, Served>,
}

impl Simulation {
    fn new(engines: usize, tenants: &[Rc<TenantRule>], loads: Vec<Load>) -> Self {
        let records = || {
            (0..engines)
                .map(|number| record(&format!("t{number}"), "a", &[("m", &[])]))
                .collect()
        };
        let hosts: Vec<TestHost> = (0..loads.len())
            .map(|number| {
                let mut host = TestHost::named(&format!("h{number}"), &["m"], records());
                host.state.reduce(rules_with(tenants), ms(0));
                let share = ServingEvent::Hosts(HostShare::equal(loads.len()));
                host.state.reduce(share, ms(0));
                host
            })
            .collect();
        Self {
            attempts: 1,
            hosts,
            due: loads.iter().map(|load| vec![0.0; load.len()]).collect(),
            loads,
            ends: BTreeSet::new(),
            calls: BTreeMap::new(),
            running: BTreeMap::new(),
            targets: BTreeMap::new(),
            served: BTreeMap::new(),
        }
    }

    fn run(&mut self, length: ClockTime) {
        let mut now = ms(1_000);
        let end = now + length;
        while now < end {
            now += ms(STEP_MS);
            while let Some(&(at, host, key)) = self.ends.first().filter(|(at, ..)| *at <= now) {
                self.ends.pop_first();
                self.end(host, key, at);
            }
            for host in 0..self.hosts.len() {
                self.arrive(host, now);
                if now.as_ms() % 25 == 0 {
                    let effects = self.hosts[host].state.reduce(ServingEvent::Tick, now);
                    self.apply(host, &effects, now);
                }
            }
            if now.as_ms() % HEARTBEAT.as_ms() == 0 {
                self.exchange_reports(now);
            }
        }
    }

    fn arrive(&mut self, host: usize, now: ClockTime) {
        for index in 0..self.loads[host].len() {
            let (tenant, per_s) = self.loads[host][index].clone();
            self.due[host][index] += per_s * STEP_MS as f64 / 1_000.0;
            while self.due[host][index] >= 1.0 {
                self.due[host][index] -= 1.0;
                let identity = (key_of(tenant.name.as_str()), tenant.clone());
                let mut route = route(CallKind::NonIdempotent, self.attempts);
                route.latency_objective = ms(1_500);
                let (key, effects) = self.hosts[host].call_of(Some(identity), route, "m", now);
                self.served.entry(tenant.name.clone()).or_default().sent += 1.0;
                self.calls.insert((host, key), (tenant.name.clone(), now));
                self.apply(host, &effects, now);
            }
        }
    }

    fn apply(&mut self, host: usize, effects: &[ServingEffect], now: ClockTime) {
        for effect in effects {
            let ServingEffect::Send(plan) = effect else {
                continue;
            };
            let running = self.running.entry(plan.target.clone()).or_default();
            if *running >= SLOTS {
                let outcome = AttemptOutcome::NotRun {
                    full: true,
                    misplaced: false,
                };
                let event = ServingEvent::AttemptEnded {
                    key: plan.key,
                    outcome,
                };
                let effects = self.hosts[host].state.reduce(event, now);
                self.apply(host, &effects, now);
                continue;
            }
            *running += 1;
            self.targets.insert((host, plan.key), plan.target.clone());
            self.ends.insert((now + RUN_TIME, host, plan.key));
            if let Some((tenant, arrived)) = self.calls.get(&(host, plan.key)) {
                if now.since(*arrived) <= ms(1_500) {
                    self.served.entry(tenant.clone()).or_default().in_time += 1.0;
                }
            }
        }
    }

    fn end(&mut self, host: usize, key: RequestKey, now: ClockTime) {
        if let Some(running) = self
            .targets
            .remove(&(host, key))
            .and_then(|target| self.running.get_mut(&target))
        {
            *running -= 1;
        }
        self.calls.remove(&(host, key));
        let outcome = AttemptOutcome::Answered { status: 200 };
        let event = ServingEvent::AttemptEnded { key, outcome };
        let effects = self.hosts[host].state.reduce(event, now);
        self.apply(host, &effects, now);
    }

    /// Delivers all reports that go with heartbeats.
    fn exchange_reports(&mut self, now: ClockTime) {
        for from in 0..self.hosts.len() {
            let state = &self.hosts[from].state;
            let host = HostName::new(&format!("h{from}"));
            let events = [
                ServingEvent::PeerLoad {
                    host: host.clone(),
                    load: state.targets.own_load(),
                },
                ServingEvent::PeerWaiting {
                    host: host.clone(),
                    waiting: state.waiting_report(),
                },
                ServingEvent::PeerUsage {
                    host,
                    usage: state.usage_report(now).expect("there are tenants"),
                },
            ];
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                for event in &events {
                    self.hosts[to].state.reduce(event.clone(), now);
                }
            }
        }
        let share = ServingEvent::Hosts(HostShare::equal(self.hosts.len()));
        for host in &mut self.hosts {
            host.state.reduce(share.clone(), now);
        }
    }

    fn served(&self, name: &str) -> f64 {
        self.served[&TenantName::new(name)].fraction()
    }

    fn served_by_all(&self) -> f64 {
        let all = self.served.values();
        let sent: f64 = all.clone().map(|served| served.sent).sum();
        all.map(|served| served.in_time).sum::<f64>() / sent
    }
}

/// Sixteen tenants of priority 1: tenant 0 sends `largest` calls per second, tenant 15 a single one,
/// and the others between 4 and 18.
fn sixteen_tenants(largest: f64) -> Load {
    (0..16)
        .map(|number| {
            let per_s = match number {
                0 => largest,
                15 => 1.0,
                _ => 18.0 - f64::from(number),
            };
            (tenant(&format!("t{number}"), 1), per_s)
        })
        .collect()
}

fn tenants_of(load: &Load) -> Vec<Rc<TenantRule>> {
    load.iter().map(|(tenant, _)| tenant.clone()).collect()
}

/// Guards against calls that are served in the order of their arrival, so that the tenant with most
/// calls takes most slots: with one host, while the largest tenant sends ten times its usual load.
#[test]
fn smallest_tenant_is_served_as_well_as_all_while_the_largest_overloads() {
    let load = sixteen_tenants(300.0);
    let mut simulation = Simulation::new(10, &tenants_of(&load), vec![load]);
    simulation.run(ClockTime::from_secs(20));
    let all = simulation.served_by_all();
    assert!(
        (0.2..0.8).contains(&all),
        "the load is no overload: {all:.2}"
    );
    assert!(
        simulation.served("t15") >= all,
        "{:.2} of the smallest tenant's calls are served, {all:.2} of all",
        simulation.served("t15")
    );
    for number in 0..16 {
        let served = simulation.served(&format!("t{number}"));
        assert!(
            served >= all / 4.0,
            "{served:.3} of the calls of t{number} are served, {all:.2} of all"
        );
    }
}

/// Lets the calls of the largest tenant arrive at one of four hosts, and those of the others at the
/// other three.
fn assert_shares_hold_across_hosts(attempts: u32) {
    let all = sixteen_tenants(300.0);
    let loads: Vec<Load> = (0..4)
        .map(|host| match host {
            0 => all[..1].to_vec(),
            _ => all[1..].iter().skip(host - 1).step_by(3).cloned().collect(),
        })
        .collect();
    let mut simulation = Simulation::new(10, &tenants_of(&all), loads);
    simulation.attempts = attempts;
    simulation.run(ClockTime::from_secs(40));
    let served = simulation.served_by_all();
    assert!((0.2..0.8).contains(&served), "no overload: {served:.2}");
    assert!(
        simulation.served("t15") >= served,
        "{attempts} attempts: {:.2} of the smallest tenant's calls are served, {served:.2} of all",
        simulation.served("t15")
    );
    for number in 0..16 {
        let own = simulation.served(&format!("t{number}"));
        assert!(
            own >= served / 4.0,
            "{attempts} attempts: {own:.3} of the calls of t{number} are served, {served:.2} of all"
        );
    }
}

/// Guards against a host that knows only the usage of its own calls. An engine refuses calls beyond
/// its slots, and such a refusal ends the call.
#[test]
fn shares_hold_across_hosts() {
    assert_shares_hold_across_hosts(1);
}

/// Guards against shares that depend on calls being given up after the first refusal of an engine.
#[test]
fn shares_hold_across_hosts_with_retries() {
    assert_shares_hold_across_hosts(3);
}

/// Guards against a fair share that overrides priorities, and against a tenant of low priority that
/// gets nothing while one of high priority overloads the engines.
#[test]
fn priority_precedes_fairness_and_aging_keeps_the_rest_alive() {
    let load: Load = vec![
        (tenant("urgent", 0), 300.0),
        (tenant("other", 1), 100.0),
        (tenant("last", 2), 10.0),
    ];
    let mut simulation = Simulation::new(10, &tenants_of(&load), vec![load]);
    simulation.run(ClockTime::from_secs(20));
    let all = simulation.served_by_all();
    let [urgent, other, last] = ["urgent", "other", "last"].map(|name| simulation.served(name));
    assert!(
        urgent >= 1.5 * other,
        "urgent {urgent:.2}, other {other:.2}"
    );
    for (name, served) in [("other", other), ("last", last)] {
        assert!(
            served >= all / 4.0,
            "{served:.3} of the calls of {name} are served, {all:.2} of all"
        );
    }
}

/// Guards against an order of service that takes longer than the calls: 4,000 calls of 1,000 tenants
/// wait.
#[test]
fn order_of_many_waiting_calls_is_cheap() {
    let tenants: Vec<Rc<TenantRule>> = (0..1_000)
        .map(|number| tenant(&format!("t{number}"), 1))
        .collect();
    let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
    host.state.reduce(rules_with(&tenants), ms(0));
    let mut running = Vec::new();
    for number in 0..4_000 + SLOTS as usize {
        let tenant = &tenants[number % tenants.len()];
        let identity = (key_of(tenant.name.as_str()), tenant.clone());
        let mut route = route(CallKind::NonIdempotent, 1);
        route.start_timeout = ms(10_000_000);
        route.timeout = ms(10_000_000);
        let (key, effects) = host.call_of(Some(identity), route, "m", ms(10));
        if !sent_to(&effects).is_empty() {
            running.push(key);
        }
    }
    assert_eq!(host.state.waiting_count(), 4_000);
    let start = Instant::now();
    let mut sent = 0;
    for key in running.clone() {
        let outcome = AttemptOutcome::Answered { status: 200 };
        let event = ServingEvent::AttemptEnded { key, outcome };
        sent += sent_to(&host.state.reduce(event, ms(20))).len();
    }
    let each = start.elapsed() / u32::try_from(running.len()).expect("few runs");
    assert_eq!(sent, running.len());
    // Far more than an optimized build needs, as tests are not optimized.
    assert!(each < Duration::from_millis(100), "{each:?} for each call");
}

/// Guards against a rank of a deployment without tenants that differs from the route's priority, and
/// against a call that outranks one of a more urgent tenant.
#[test]
fn rank_follows_tenant_then_route_then_time() {
    let rank = |tenant_priority: Option<u8>, route_priority: u8, waited: u64, maybe_ran: bool| {
        let mut route = route(CallKind::NonIdempotent, 1);
        route.priority = route_priority;
        let mut host = TestHost::new(&["m"], vec![record("t1", "a", &[("m", &[])])]);
        let named = tenant_priority.map(|priority| tenant("t", priority));
        let start = AttemptStart {
            has_tenants: named.is_some(),
            arrived: ms(0),
            maybe_ran,
            now: ms(waited),
        };
        let call = host.info_of(named.map(|tenant| (key_of("t"), tenant)), route, "m");
        engine_rank(&call, start)
    };
    for waited in [0, 290, 5_000] {
        let ranks = [0, 1, 2, 9, 200].map(|priority| rank(None, priority, waited, false));
        assert_eq!(ranks, [0, 1, 2, 9, 9], "without tenants");
    }
    assert_eq!(rank(Some(0), 200, 0, false), 2);
    assert_eq!(rank(Some(1), 0, 0, false), 3);
    assert_eq!(rank(Some(1), 1, 0, false), 4);
    assert_eq!(rank(Some(1), 1, 290, false), 3);
    assert_eq!(rank(Some(1), 0, 290, false), 3);
    assert_eq!(rank(Some(200), 200, 0, false), 8);
    assert_eq!(rank(Some(0), 0, 301, false), 9);
    // A stream that is resumed has met its objective for the first event, or not, before.
    assert_eq!(rank(Some(0), 0, 5_000, true), 0);
}
