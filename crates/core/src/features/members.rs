//! Connects membership with the address answers, targets, presets and crash blame.

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

/// Hands an event to the membership reducer.
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
        follow(state, now, effect, out);
    }
    if is_tick {
        list_self(state, now);
        note_live(state, now);
    }
}

/// Takes the host list.
pub(crate) fn list(
    state: &mut HostState,
    now: ClockTime,
    hosts: Vec<ListedHost>,
    out: &mut Vec<HostEffect>,
) {
    reduce(state, now, MembershipEvent::HostList { hosts }, out);
    // Hosts that were known before their address for callers belong into the answers now.
    for view in host_views(&state.members) {
        apply_view(state, now, &view);
    }
}

/// Begins the planned stop of this host.
pub(crate) fn stop(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    state.stopping = true;
    list_self(state, now);
    reduce(state, now, MembershipEvent::OwnLeaving, out);
}

/// Brings this host's own entry in the address answers up to date.
pub(crate) fn list_self(state: &mut HostState, now: ClockTime) {
    let identity = &state.identity;
    let host = EntryHost {
        name: identity.name.clone(),
        address: identity.callers,
        domain: identity.domain.clone(),
        load: f64::from(state.busy) / 100.0,
        leaving: !state.takes_work(),
    };
    state.entry_directory.upsert_host(now, host);
}

fn follow(
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
            tell_peer_counts(state, now, out);
        }
        MembershipEffect::HostForgotten(host) => {
            state.entry_directory.remove_host(&host);
            state.peer_demand.forget(&host);
            tell_peer_counts(state, now, out);
        }
        MembershipEffect::IncarnationRaised { .. } => {}
        MembershipEffect::SelfLeaving => out.push(HostEffect::StartDrain),
        MembershipEffect::PauseDetected { gap } => {
            out.push(HostEffect::PauseDetected(gap));
            moves::reduce(state, now, MoveEvent::Tick, out);
        }
        effect => follow_news(state, now, effect, out),
    }
}

/// Hands what other hosts tell to the feature that it concerns.
fn follow_news(
    state: &mut HostState,
    now: ClockTime,
    effect: MembershipEffect,
    out: &mut Vec<HostEffect>,
) {
    match effect {
        MembershipEffect::TargetChanged(notice) => leaving::tell(state, now, &notice),
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
            // A failure domain's sum takes the place of a host's delta under the domain's name.
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
        MembershipEffect::ModelWantReceived { catalog, model }
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
        MembershipEffect::CrashReceived(notice) => {
            requests::reduce(state, now, crash_event(notice), out);
        }
        MembershipEffect::LeaseReceived(notice) => {
            state.leases.insert(notice.region.clone(), notice);
        }
        _ => {}
    }
}

fn crash_event(notice: CrashReport) -> RequestEvent {
    let digest = BodyDigest(u128::from_le_bytes(notice.digest));
    match notice.target {
        Some(target) => RequestEvent::CrashReported { digest, target },
        None => RequestEvent::CrashCleared { digest },
    }
}

/// Counts every host that membership holds for alive as heard of.
///
/// Hosts do not exchange packets with every other one within the time after which the entry directory takes
/// a host for silent; membership finds silent hosts through others.
fn note_live(state: &mut HostState, now: ClockTime) {
    for view in host_views(&state.members) {
        if view.state == LivenessState::Alive {
            state.entry_directory.record_seen(now, &view.host);
        }
    }
}

/// Tells the other hosts how full the queues of this one are.
pub(crate) fn share_busy(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    let classes = &state.catalog.catalog.classes;
    let places: u64 = classes
        .iter()
        .map(|class| u64::from(class.queue_limit))
        .sum();
    let queued = state.queue.len() as u64;
    let percent = (queued * 100).checked_div(places).unwrap_or(0).min(100);
    state.busy = u8::try_from(percent).unwrap_or(100);
    reduce(state, now, MembershipEvent::OwnUtilisation(state.busy), out);
}

/// Brings another host's entry in the address answers up to date.
///
/// A host whose address for callers is not known yet cannot be handed out.
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

/// Tells the preset feature how many hosts and failure domains there are.
fn tell_peer_counts(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    // Dead hosts count until they are forgotten: a host that is cut off takes all others for dead,
    // and must not take itself for the only one, which is always current.
    let views = host_views(&state.members);
    let mut domains: BTreeSet<&DomainName> = views.iter().map(|view| &view.domain).collect();
    domains.insert(&state.identity.domain);
    let event = PresetEvent::PeersChanged {
        domain_count: u32::try_from(domains.len()).unwrap_or(u32::MAX),
        peer_count: u32::try_from(views.len()).unwrap_or(u32::MAX),
    };
    presets::reduce(state, now, event, out);
}
