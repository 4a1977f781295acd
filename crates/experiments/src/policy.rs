//! The routing policies that are compared, as each entry host runs them: the route table and its
//! baselines.

use crate::deployment::{Arrival, Workload};
use crocusyard_base::prelude::*;
use crocusyard_routing::prelude::*;
use rand::Rng;

/// A policy for the choice of a target. Holders are the targets with a copy of the model.
#[derive(Clone, Debug)]
pub enum RoutePolicy {
    /// A random holder of the model.
    Random,
    /// The holders in turn, separately for each model and host.
    RoundRobin,
    /// The holder with the fewest requests in its last report; ties are broken at random.
    LeastReported,
    /// The one of two random holders with fewer requests in its last report.
    TwoChoices,
    /// The one of two random holders with fewer requests in progress from this host.
    TwoChoicesLocal,
    /// The route table with this tuning.
    Table(Box<RouteTuning>),
}

/// State of a policy on one host.
#[derive(Debug)]
pub struct PolicyState {
    /// Route table; only [`RoutePolicy::Table`] uses it and applies later reports to it.
    pub table: RouteTable,
    /// Requests of each target in its last report.
    pub reported: Vec<u32>,
    /// This host's requests in progress on each target.
    pub in_flight: Vec<u32>,
    /// Position of the last chosen holder of each model, for [`RoutePolicy::RoundRobin`].
    pub last_turns: Vec<usize>,
}

/// Decision of a policy about one arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// Send the request to this target.
    Target(usize),
    /// Every holder is busy; try again later.
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
    let pick = |rng: &mut SeededRng| holders[rng.random_range(0..holders.len())];
    let target = match policy {
        RoutePolicy::Random => pick(rng),
        RoutePolicy::RoundRobin => {
            let turn = &mut state.last_turns[arrival.model];
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
        RoutePolicy::TwoChoices => less_loaded(pick(rng), pick(rng), &state.reported),
        RoutePolicy::TwoChoicesLocal => less_loaded(pick(rng), pick(rng), &state.in_flight),
        RoutePolicy::Table(_) => {
            let query = route_query(arrival);
            match state.table.choose(now, &query, rng) {
                RouteChoice::Target { target, .. } => target_index(&target),
                _ => return PolicyChoice::Wait,
            }
        }
    };
    PolicyChoice::Target(target)
}

/// Returns the route query for an arrival.
pub fn route_query(arrival: &Arrival) -> RouteQuery<'_> {
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

/// Returns the number in the name of a target.
fn target_index(target: &TargetName) -> usize {
    target
        .as_str()
        .trim_start_matches("target-")
        .parse()
        .unwrap_or(0)
}

/// Returns the target with the lower load, or `left` if the loads are equal.
fn less_loaded(left: usize, right: usize, load: &[u32]) -> usize {
    if load[right] < load[left] {
        right
    } else {
        left
    }
}
