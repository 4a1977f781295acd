//! The retry budget of many hosts together, while their processes end and start again.

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_serving::prelude::*;
use rand::Rng;
use std::collections::VecDeque;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 58.0,
    window: ClockTime::from_ms(10_000),
};
/// Interval at which hosts report to each other.
const REPORT_MS: u64 = 250;
/// Time from the start of a host to the answer of another one.
const ANSWER_MS: u64 = 110;
const END_MS: u64 = 60_000;
/// Time for which targets fail in each period.
const FAILURE_MS: u64 = 4_000;
const FAILURE_PERIOD_MS: u64 = 9_000;

fn service() -> ServiceName {
    ServiceName::new("s")
}

/// Requests and retries of all hosts within the window.
#[derive(Default)]
struct RetryLog {
    /// Times of the requests, and of the retries, ms.
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl RetryLog {
    /// Drops what is older than the window; returns by how much the limit is exceeded.
    fn excess(&mut self, now_ms: u64) -> f64 {
        let oldest = now_ms.saturating_sub(LIMITS.window.as_ms());
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < oldest) {
                times.pop_front();
            }
        }
        let limit = LIMITS.ratio * self.requests.len() as f64 + LIMITS.slack;
        self.retries.len() as f64 - limit
    }
}

/// One host, with what the others know of it.
struct BudgetHost {
    budget: RetryBudget,
    reported: Option<Vec<RetryCount>>,
    /// When another host tells what the process before has taken, ms.
    answer_at: Option<u64>,
}

/// Time for which a host that is stopped in turn leaves before its process ends.
const LEAVE_MS: u64 = 6_000;

/// How processes end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestartKind {
    /// One host after the other; the rest knows their last reports.
    InTurn,
    /// All hosts at the same time.
    Together,
}

/// Plays a service most of whose calls fail for 4 s out of 9 s, while each host ends every `period_ms`;
/// returns the largest excess over the limit and the number of retries.
fn play(
    hosts: usize,
    kind: RestartKind,
    period_ms: u64,
    calls_per_s: f64,
    seed: u64,
) -> (f64, usize) {
    let mut rng = seeded_rng(seed);
    let fraction = 1.0 / hosts as f64;
    let phase_of = |number: usize| match kind {
        RestartKind::InTurn => number as u64 * period_ms / hosts as u64,
        RestartKind::Together => 0,
    };
    // Not all hosts leave at the same time.
    let leave_ms = LEAVE_MS.min(period_ms / 2);
    let is_leaving = |number: usize, now_ms: u64| {
        let left_ms = (phase_of(number) + period_ms - now_ms % period_ms) % period_ms;
        kind == RestartKind::InTurn && (1..=leave_ms).contains(&left_ms)
    };
    let mut all: Vec<BudgetHost> = (0..hosts)
        .map(|_| BudgetHost {
            budget: RetryBudget::new(LIMITS),
            reported: None,
            answer_at: None,
        })
        .collect();
    let mut count = RetryLog::default();
    let (mut excess, mut retries) = (f64::MIN, 0);
    for now_ms in 0..END_MS {
        let now = ClockTime::from_ms(now_ms);
        for (number, host) in all.iter_mut().enumerate() {
            if now_ms > 0 && now_ms % period_ms == phase_of(number) {
                host.budget = RetryBudget::after_start(LIMITS, now);
                host.answer_at = (kind == RestartKind::InTurn).then_some(now_ms + ANSWER_MS);
            }
            if host.answer_at == Some(now_ms) {
                if let Some(uses) = &host.reported {
                    host.budget.adopt(uses);
                }
            }
            if now_ms % REPORT_MS == 0 {
                host.reported = host.budget.report(now).or(host.reported.take());
            }
        }
        if rng.random::<f64>() < calls_per_s / 1_000.0 {
            let live: Vec<usize> = (0..hosts)
                .filter(|number| !is_leaving(*number, now_ms))
                .collect();
            let host = live[rng.random_range(0..live.len())];
            let budget = &mut all[host].budget;
            budget.count_request(&service(), now);
            count.requests.push_back(now_ms);
            let is_failing = now_ms % FAILURE_PERIOD_MS >= FAILURE_PERIOD_MS - FAILURE_MS;
            while is_failing
                && rng.random::<f64>() < 0.8
                && budget.try_take(&service(), fraction, now)
            {
                count.retries.push_back(now_ms);
                retries += 1;
            }
        }
        excess = excess.max(count.excess(now_ms));
    }
    (excess, retries)
}

/// Guards against hosts that take the whole fixed part of the limit again with each process.
#[test]
fn hosts_that_start_again_keep_to_the_limit() {
    for hosts in [3, 9, 75] {
        for kind in [RestartKind::InTurn, RestartKind::Together] {
            for (period_ms, calls_per_s) in [
                (2_500, 100.0),
                (4_000, 100.0),
                (9_000, 100.0),
                (9_000, 20.0),
            ] {
                for seed in 1..=3 {
                    let (excess, retries) = play(hosts, kind, period_ms, calls_per_s, seed);
                    let case = format!(
                        "{hosts} hosts, {kind:?} every {period_ms} ms, {calls_per_s} calls/s, seed {seed}"
                    );
                    assert!(excess <= 0.0, "{case}: {excess} retries over the limit");
                    let knows = kind == RestartKind::InTurn;
                    assert!(retries > 0 || !knows, "{case}: no retry");
                }
            }
        }
    }
}

/// Guards against a host that has just started and takes the fixed part of all hosts, since it knows
/// none of the others.
#[test]
fn host_that_starts_waits_to_know_what_was_taken() {
    let start = ClockTime::from_ms(50_000);
    let mut budget = RetryBudget::after_start(LIMITS, start);
    budget.count_request(&service(), start);
    assert!(!budget.try_take(&service(), 1.0, start));
    assert_eq!(budget.report(start), None);
    let later = start + LIMITS.window;
    assert!(budget.try_take(&service(), 1.0, later));
}

/// Guards against a host that loses its retries for a whole window although others know that the
/// process before it has sent few.
#[test]
fn host_that_knows_what_was_counted_uses_the_rest() {
    let start = ClockTime::from_ms(50_000);
    let mut budget = RetryBudget::after_start(LIMITS, start);
    let former = RetryCount {
        service: service(),
        requests: 0,
        retries: 40,
    };
    budget.adopt(std::slice::from_ref(&former));
    // 0.8 of the fixed part is used: 46, of which 40 are taken.
    let left = std::iter::repeat_with(|| budget.try_take(&service(), 1.0, start));
    assert_eq!(left.take(20).filter(|taken| *taken).count(), 6);
    // An answer that was made after this process has reported its counts is not added to them.
    let own = budget.report(start).expect("the counts are known");
    budget.adopt(&own);
    assert_eq!(budget.report(start), Some(own));
    // The process after this one has to know of both.
    let counts = budget.report(start).expect("the counts are known");
    assert_eq!(counts[0].retries, 46);
}
