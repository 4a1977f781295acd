//! The routing decision and its baselines, as each entry host runs them.

use crate::deployment::{Arrival, Workload};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;

/// A way to choose a target.
#[derive(Clone, Debug)]
pub enum RoutePolicy {
    /// A random holder.
    Random,
    /// Holders in turn, by model and host.
    RoundRobin,
    /// The holder with the fewest requests in its last report; ties are broken at random.
    LeastReported,
    /// The better of two random holders by their last reports.
    TwoChoices,
    /// The better of two random holders by this host's requests in progress.
    TwoChoicesLocal,
    /// The route table.
    Table(Box<RouteTuning>),
}

/// What a policy keeps on one host.
#[derive(Debug)]
pub struct PolicyState {
    /// Route table; also fed when a baseline chooses, so that the cost of reports is the same.
    pub table: RouteTable,
    /// Requests of each target in its last report.
    pub reported: Vec<u32>,
    /// This host's requests in progress on each target.
    pub in_flight: Vec<u32>,
    /// Next holder of each model.
    pub turns: Vec<usize>,
}

/// What a policy decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// Send to this target.
    Target(usize),
    /// Ask again later.
    Wait,
}

/// Chooses a target for an arrival.
pub fn choose(
    policy: &RoutePolicy,
    state: &mut PolicyState,
    workload: &Workload,
    now: ClockTime,
    arrival: &Arrival,
    rng: &mut SeededRng,
) -> PolicyChoice {
    let holders = &workload.holders[arrival.model];
    let any = |rng: &mut SeededRng| holders[rng.random_range(0..holders.len())];
    let target = match policy {
        RoutePolicy::Random => any(rng),
        RoutePolicy::RoundRobin => {
            let turn = &mut state.turns[arrival.model];
            *turn += 1;
            holders[*turn % holders.len()]
        }
        RoutePolicy::LeastReported => {
            let start = rng.random_range(0..holders.len());
            (0..holders.len())
                .map(|offset| holders[(start + offset) % holders.len()])
                .min_by_key(|&target| state.reported[target])
                .unwrap_or(holders[0])
        }
        RoutePolicy::TwoChoices => better(any(rng), any(rng), &state.reported),
        RoutePolicy::TwoChoicesLocal => better(any(rng), any(rng), &state.in_flight),
        RoutePolicy::Table(_) => {
            let query = query_of(arrival);
            match state.table.choose(now, &query, rng) {
                RouteChoice::Target { target, .. } => index_of(&target),
                _ => return PolicyChoice::Wait,
            }
        }
    };
    PolicyChoice::Target(target)
}

/// Returns the question of an arrival.
pub fn query_of(arrival: &Arrival) -> RouteQuery<'_> {
    RouteQuery {
        work: &arrival.work,
        prefix_blocks: &arrival.prefix,
        input_tokens: arrival.input_tokens,
        output_tokens: arrival.output_tokens,
        tried: &[],
        avoid_domain: None,
    }
}

/// Returns the name of a target.
pub fn target_name(target: usize) -> TargetName {
    TargetName::new(&format!("target-{target}"))
}

fn index_of(target: &TargetName) -> usize {
    target
        .as_str()
        .trim_start_matches("target-")
        .parse()
        .unwrap_or(0)
}

fn better(left: usize, right: usize, load: &[u32]) -> usize {
    if load[right] < load[left] {
        right
    } else {
        left
    }
}
