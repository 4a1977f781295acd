//! Connects membership with the address answers, targets, presets and crash suspects.

use super::{leaving, moves, presets, requests, targets};
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_moves::prelude::MoveEvent;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::RequestEvent;
use crocusyard_routing::prelude::EntryHost;
use crocusyard_wire::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Passes an event to the membership reducer and handles its effects.
pub(crate) fn reduce(
    state: &mut HostState,
    now: ClockTime,
    event: MembershipEvent,
    out: &mut Vec<HostEffect>,
) {
    let is_tick = event == MembershipEvent::Tick;
    let mut effects = Vec::new();
    crocusyard_membership::reduce::reduce(
        &mut state.members,
        now,
        &mut state.rng,
        event,
        &mut effects,
    );
    for effect in effects {
        handle_effect(state, now, effect, out);
    }
    if is_tick {
        update_own_entry(state, now);
        record_live_hosts(state, now);
    }
}

/// Applies the host list to membership and to the address answers.
pub(crate) fn apply_host_list(
    state: &mut HostState,
    now: ClockTime,
    hosts: Vec<ListedHost>,
    out: &mut Vec<HostEffect>,
) {
    reduce(state, now, MembershipEvent::HostList { hosts }, out);
    // The list may add the caller address of a host that was known without one.
    for view in host_views(&state.members) {
        apply_view(state, now, &view);
    }
}

/// Begins the planned stop of this host.
pub(crate) fn start_drain(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    state.stopping = true;
    update_own_entry(state, now);
    reduce(state, now, MembershipEvent::OwnLeaving, out);
}

/// Updates this host's own entry in the directory for address answers.
pub(crate) fn update_own_entry(state: &mut HostState, now: ClockTime) {
    let identity = &state.identity;
    let host = EntryHost {
        name: identity.name.clone(),
        address: identity.caller_address,
        domain: identity.domain.clone(),
        load: f64::from(state.utilisation) / 100.0,
        leaving: !state.takes_work(),
    };
    state.entry_directory.upsert_host(now, host);
}

/// Passes an effect to the feature that it concerns, or to the shell.
fn handle_effect(
    state: &mut HostState,
    now: ClockTime,
    effect: MembershipEffect,
    out: &mut Vec<HostEffect>,
) {
    match effect {
        MembershipEffect::Send {
            recipient,
            address,
            packet,
        } => {
            out.push(HostEffect::SendPacket {
                recipient,
                address,
                packet,
            });
        }
        MembershipEffect::HostChanged(view) => {
            apply_view(state, now, &view);
            update_peer_counts(state, now, out);
        }
        MembershipEffect::HostForgotten(host) => {
            state.entry_directory.remove_host(&host);
            state.peer_demand.remove_host(&host);
            update_peer_counts(state, now, out);
        }
        MembershipEffect::IncarnationRaised { .. } => {}
        MembershipEffect::SelfLeaving => out.push(HostEffect::StartDrain),
        MembershipEffect::PauseDetected { gap } => {
            out.push(HostEffect::PauseDetected(gap));
            moves::reduce(state, now, MoveEvent::Tick, out);
        }
        effect => handle_update(state, now, effect, out),
    }
}

/// Passes an update from other hosts to the feature that it concerns.
fn handle_update(
    state: &mut HostState,
    now: ClockTime,
    effect: MembershipEffect,
    out: &mut Vec<HostEffect>,
) {
    match effect {
        MembershipEffect::TargetChanged(update) => leaving::apply_update(state, now, &update),
        MembershipEffect::PeerLoads {
            host,
            catalog,
            deltas,
            ..
        } => {
            targets::apply_deltas(state, now, &host, catalog, &deltas);
        }
        MembershipEffect::DomainLoads {
            domain,
            catalog,
            deltas,
            ..
        } => {
            // The sum of a failure domain is recorded as if the domain were one host of that name.
            let from = HostName::new(domain.as_str());
            targets::apply_deltas(state, now, &from, catalog, &deltas);
        }
        MembershipEffect::DemandReceived {
            source,
            catalog,
            entries,
        } if catalog == state.catalog.version => {
            state.peer_demand.apply(source, &entries);
        }
        MembershipEffect::MissingModelReceived { catalog, model }
            if catalog == state.catalog.version =>
        {
            let declared = &state.catalog.catalog.models;
            let Some(spec) = declared.get(usize::from(model)) else {
                return;
            };
            let name = Arc::from(spec.name.as_str());
            moves::reduce(state, now, MoveEvent::ModelRequested { name }, out);
        }
        MembershipEffect::PeerUtilisation { host, percent } => {
            state
                .entry_directory
                .set_load(&host, f64::from(percent) / 100.0);
        }
        MembershipEffect::PresetReceived {
            host,
            domain,
            preset,
        } => {
            let preset = PresetVersion {
                version: preset.version,
                digest: preset.digest,
            };
            presets::reduce(
                state,
                now,
                PresetEvent::PeerVersion {
                    host,
                    domain,
                    preset,
                },
                out,
            );
        }
        MembershipEffect::CrashReceived(report) => {
            requests::reduce(state, now, crash_event(report), out);
        }
        MembershipEffect::LeaseReceived(update) => {
            state.leases.insert(update.region.clone(), update);
        }
        _ => {}
    }
}

/// Converts a crash report into an event of the request feature.
fn crash_event(report: CrashReport) -> RequestEvent {
    let digest = BodyDigest(u128::from_le_bytes(report.digest));
    match report.target {
        Some(target) => RequestEvent::CrashReported { digest, target },
        None => RequestEvent::CrashCleared { digest },
    }
}

/// Marks each host as seen in the entry directory if membership takes it as alive.
///
/// Within the timeout of the entry directory, a host does not exchange packets with every other
/// host. Membership detects silent hosts through others.
fn record_live_hosts(state: &mut HostState, now: ClockTime) {
    for view in host_views(&state.members) {
        if view.state == LivenessState::Alive {
            state.entry_directory.record_seen(now, &view.host);
        }
    }
}

/// Shares with other hosts how full the queues of this host are, in percent.
pub(crate) fn share_utilisation(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    let classes = &state.catalog.catalog.classes;
    let queue_limit: u64 = classes
        .iter()
        .map(|class| u64::from(class.queue_limit))
        .sum();
    let queued = state.queue.len() as u64;
    let percent = (queued * 100)
        .checked_div(queue_limit)
        .unwrap_or(0)
        .min(100);
    state.utilisation = u8::try_from(percent).unwrap_or(100);
    reduce(
        state,
        now,
        MembershipEvent::OwnUtilisation(state.utilisation),
        out,
    );
}

/// Updates the entry of another host in the directory for address answers.
///
/// A host without a known caller address is not listed.
fn apply_view(state: &mut HostState, now: ClockTime, view: &HostView) {
    if view.state != LivenessState::Alive {
        state.entry_directory.remove_host(&view.host);
        return;
    }
    let Some(address) = view.caller_address else {
        return;
    };
    let host = EntryHost {
        name: view.host.clone(),
        address,
        domain: view.domain.clone(),
        load: state.entry_directory.load_of(&view.host),
        leaving: view.leaving,
    };
    state.entry_directory.upsert_host(now, host);
}

/// Passes the numbers of known hosts and failure domains to the preset feature.
fn update_peer_counts(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    // Dead hosts count until they are forgotten. A host that is cut off takes all others as dead,
    // and must not take itself as the only host: an only host always counts as up to date.
    let views = host_views(&state.members);
    let mut domains: BTreeSet<&DomainName> = views.iter().map(|view| &view.domain).collect();
    domains.insert(&state.identity.domain);
    let event = PresetEvent::PeersChanged {
        domain_count: u32::try_from(domains.len()).unwrap_or(u32::MAX),
        peer_count: u32::try_from(views.len()).unwrap_or(u32::MAX),
    };
    presets::reduce(state, now, event, out);
}
