//! Measures how long it takes until a preset version is in force on all hosts.

use crate::support::FakeNetwork;
use crate::{new_network, percentile, run_with_load};
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_presets::follow::put_in_force;
use crocusyard_presets::prelude::{
    digest_of, BodySource, PresetEffect, PresetEvent, PresetSettings, PresetState, PresetVersion,
};
use crocusyard_wire::prelude::*;
use rand::Rng;

/// Preset reducers on the hosts of a network.
struct PresetRun {
    /// State of the preset reducer of each host.
    states: Vec<PresetState>,
    /// Answers to effects, each with its time and the index of its host.
    answers: Vec<(ClockTime, usize, PresetEvent)>,
    /// Number of bodies that each host has served to peers.
    served: Vec<u64>,
    /// Body of the version that is being distributed.
    body: std::sync::Arc<[u8]>,
    /// Times at which hosts put that version in force.
    in_force: Vec<ClockTime>,
}

/// Measures how long it takes until a version is in force on all hosts, with the real preset
/// reducers.
///
/// The table and the object store are down, so that hosts get versions and bodies from peers only.
/// A fetch takes 20 to 120 ms, and one in 50 fails.
pub fn measure_preset(size: (usize, usize, usize), seed: u64) {
    let hosts = size.0;
    let mut network = new_network(size, seed);
    network.spec.follow_presets = false;
    run_with_load(&mut network, 15);
    let new_state = |_| PresetState::new(PresetSettings::default());
    let mut run = PresetRun {
        states: (0..hosts).map(new_state).collect(),
        answers: Vec::new(),
        served: vec![0; hosts],
        body: Vec::new().into(),
        in_force: Vec::new(),
    };
    let mut times = Vec::new();
    for version in 1..=10u64 {
        network.effects.clear();
        let since = network.now;
        run.body = format!("body {version}").into_bytes().into();
        let preset = PresetVersion {
            version,
            digest: digest_of(&run.body),
        };
        let first = network.rng.random_range(0..hosts);
        let mut effects = Vec::new();
        run.states[first].newest = Some(preset);
        let body = run.body.clone();
        put_in_force(&mut run.states[first], preset, body, &mut effects);
        perform_presets(&mut run, &mut network, first, effects);
        while network.now.since(since) < ClockTime::from_secs(10) {
            network.run_for(ClockTime::from_ms(5));
            step_presets(&mut run, &mut network);
        }
        let reached = run.in_force.drain(..);
        times.extend(reached.map(|at| at.since(since).as_ms()));
    }
    times.sort_unstable();
    println!(
        "{hosts} {} {} {} {} {}",
        percentile(&times, 0.5),
        percentile(&times, 0.99),
        percentile(&times, 1.0),
        run.served.iter().max().copied().unwrap_or(0),
        10 * hosts - times.len(),
    );
}

/// Passes due answers, the versions of peers that membership received, and ticks to the reducers.
fn step_presets(run: &mut PresetRun, network: &mut FakeNetwork) {
    let now = network.now;
    let answers = std::mem::take(&mut run.answers);
    let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, _, _)| *at <= now);
    run.answers = later;
    let due = due.into_iter().map(|(_, index, event)| (index, event));
    let mut events: Vec<(usize, PresetEvent)> = due.collect();
    for (_, index, effect) in network.effects.drain(..) {
        if let MembershipEffect::PresetReceived {
            host,
            domain,
            preset,
        } = effect
        {
            let preset = PresetVersion {
                version: preset.version,
                digest: preset.digest,
            };
            let event = PresetEvent::PeerVersion {
                host,
                domain,
                preset,
            };
            events.push((index, event));
        }
    }
    if now.as_ms() % 250 == 0 {
        events.extend((0..run.states.len()).map(|index| (index, PresetEvent::Tick)));
    }
    for (index, event) in events {
        let mut out = Vec::new();
        let state = &mut run.states[index];
        crocusyard_presets::prelude::reduce(state, now, &mut network.rng, event, &mut out);
        perform_presets(run, network, index, out);
    }
}

/// Performs the effects of one host's preset reducer.
fn perform_presets(
    run: &mut PresetRun,
    network: &mut FakeNetwork,
    index: usize,
    effects: Vec<PresetEffect>,
) {
    for effect in effects {
        match effect {
            PresetEffect::PutInForce { .. } => run.in_force.push(network.now),
            PresetEffect::Announce(PresetVersion { version, digest }) => {
                let report = PresetReport { version, digest };
                network.handle(index, MembershipEvent::PresetInForce(report));
            }
            PresetEffect::FetchBody {
                call,
                digest,
                source: BodySource::Peer(name),
            } => {
                let peer = network.hosts.iter().position(|host| host.name == name);
                let peer = peer.unwrap_or(index);
                let has_body = run.states[peer]
                    .in_force
                    .is_some_and(|v| v.digest == digest);
                let failed = network.rng.random_bool(0.02);
                run.served[peer] += u64::from(has_body);
                let body = (has_body && !failed).then(|| run.body.clone());
                let delay = ClockTime::from_ms(network.rng.random_range(20..=120));
                let event = PresetEvent::BodyFetched { call, body };
                run.answers.push((network.now + delay, index, event));
            }
            PresetEffect::FetchBody { call, .. } => {
                let event = PresetEvent::BodyFetched { call, body: None };
                run.answers.push((network.now, index, event));
            }
            PresetEffect::Table { call, .. } => {
                let answer = TableAnswer::Failed;
                let event = PresetEvent::TableAnswered { call, answer };
                run.answers.push((network.now, index, event));
            }
            _ => {}
        }
    }
}
