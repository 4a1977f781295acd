//! Waits of innocent requests whose targets are chosen by shared draws.
//!
//! `LOAD_RUNS` sets the number of seeds. The engines work one request at a time, 100 ms each on
//! average, at 70% of their capacity.

mod common;

use common::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;
use rand::Rng;
use std::collections::BTreeMap;

const HOSTS: usize = 3;
const ENGINES: usize = 18;
const INPUT_TOKENS: u32 = 1_000;
/// Requests that arrive in a millisecond.
const RATE: f64 = 0.7 * ENGINES as f64 / 100.0;
const REPORT_MS: u64 = 1_000;
const START_MS: u64 = 1_000;
const END_MS: u64 = 31_000;

struct Load {
    specs: Vec<TargetSpec>,
    hosts: Vec<TestHost>,
    /// When each engine has done its work, milliseconds.
    free: Vec<f64>,
    at_engine: Vec<u32>,
    running: BTreeMap<(u64, u64), (usize, AttemptId, usize)>,
    waits: Vec<u64>,
}

impl Load {
    fn complete(&mut self, now: u64) {
        while self
            .running
            .first_key_value()
            .is_some_and(|(key, _)| key.0 <= now)
        {
            let (_, (host, attempt, engine)) = self.running.pop_first().expect("one is due");
            self.at_engine[engine] -= 1;
            let host = &mut self.hosts[host];
            host.now = ClockTime::from_ms(now);
            host.begin(attempt);
            host.chunk(attempt, 0);
            host.end(attempt, AttemptEnd::CompleteWith { chunks: 1 });
        }
    }

    fn report(&mut self, now: u64) {
        for host in &mut self.hosts {
            for (engine, spec) in self.specs.iter().enumerate() {
                let mut report = report_of(spec, now);
                report.running = self.at_engine[engine].min(1);
                report.waiting = self.at_engine[engine].saturating_sub(1);
                let backlog = (self.free[engine] - now as f64).max(0.0);
                report.queued_tokens = (backlog * 10.0) as u64;
                host.routes.apply_report(ClockTime::from_ms(now), report);
            }
        }
    }

    fn arrive(&mut self, now: u64, number: usize, key: u64, digest: u128, service: f64) {
        let host = &mut self.hosts[number];
        host.now = ClockTime::from_ms(now);
        let mut spec = stream(host.now, digest);
        spec.input_tokens = INPUT_TOKENS;
        spec.deadline = ClockTime::from_ms(10 * END_MS);
        for effect in host.arrive(key, spec) {
            if let RequestEffect::Dispatch {
                attempt, target, ..
            } = effect
            {
                let is_target = |spec: &TargetSpec| spec.name == target;
                let engine = self
                    .specs
                    .iter()
                    .position(is_target)
                    .expect("target is known");
                let start = self.free[engine].max(now as f64);
                self.free[engine] = start + service;
                self.at_engine[engine] += 1;
                self.waits.push((start - now as f64) as u64);
                let end = (start + service) as u64;
                self.running.insert((end, key), (number, attempt, engine));
            }
        }
    }
}

/// Returns the 95th percentile of the waits at the engines if a share of the requests is the same.
fn run(seed: u64, share: f64) -> u64 {
    let specs = targets(ENGINES, 0);
    let mut rng = seeded_rng(seed);
    let hosts = (0..HOSTS).map(|host| TestHost::new(seed * 10 + host as u64, &specs));
    let mut load = Load {
        hosts: hosts.collect(),
        specs,
        free: vec![0.0; ENGINES],
        at_engine: vec![0; ENGINES],
        running: BTreeMap::new(),
        waits: Vec::new(),
    };
    let mut next = START_MS as f64;
    let mut key = 0;
    for now in START_MS..END_MS {
        load.complete(now);
        if now % REPORT_MS == 0 {
            load.report(now);
        }
        while next <= now as f64 {
            next -= (1.0 - rng.random::<f64>()).ln() / RATE;
            key += 1;
            let number = rng.random_range(0..HOSTS);
            let same = rng.random::<f64>() < share;
            let digest = if same { 5 } else { rng.random() };
            let service = rng.random_range(50.0..150.0);
            load.arrive(now, number, key, digest, service);
        }
    }
    load.waits.sort_unstable();
    load.waits[load.waits.len() * 95 / 100]
}

// Guards against a popular body whose requests crowd on the few targets of its shared draws.
#[test]
fn popular_body_waits_no_longer_than_others() {
    let runs = std::env::var("LOAD_RUNS").ok();
    let runs: u64 = runs.and_then(|text| text.parse().ok()).unwrap_or(5);
    let mean = |share| {
        let sum: u64 = (1..=runs).map(|seed| run(seed, share)).sum();
        sum as f64 / runs as f64
    };
    let distinct = mean(0.0);
    for share in [0.1, 0.5] {
        let same = mean(share);
        println!("share {share}: p95 {same:.0} ms, distinct bodies {distinct:.0} ms");
        // Shared draws for completed digests as well made it 480 ms at a tenth.
        assert!(same < 1.2 * distinct, "{same} ms, {distinct} ms");
    }
}
