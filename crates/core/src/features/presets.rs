//! Connects the preset feature with membership and the catalogue.

use super::{catalogs, members};
use crate::effect::HostEffect;
use crate::state::HostState;
use crocusyard_base::prelude::*;
use crocusyard_membership::prelude::MembershipEvent;
use crocusyard_presets::prelude::*;
use crocusyard_wire::prelude::PresetReport;
use rand::Rng;
use std::sync::Arc;

/// Author that the history names for a version made from a start catalogue.
const START_AUTHOR: &str = "start catalogue";

/// Passes an event to the preset reducer and handles its effects.
pub(crate) fn reduce(
    state: &mut HostState,
    now: ClockTime,
    event: PresetEvent,
    out: &mut Vec<HostEffect>,
) {
    let table_is_empty = matches!(
        event,
        PresetEvent::TableAnswered {
            answer: TableAnswer::Row(None),
            ..
        }
    );
    let mut effects = Vec::new();
    crocusyard_presets::reduce::reduce(
        &mut state.presets,
        now,
        &mut state.rng,
        event,
        &mut effects,
    );
    for effect in effects {
        handle_effect(state, now, effect, out);
    }
    if table_is_empty {
        accept_start_catalog(state, now, out);
    }
}

/// Requests that the start catalogue become version 1 if no version is committed.
///
/// All hosts of a new deployment request this; one of them succeeds, and the others put its version
/// in force.
fn accept_start_catalog(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    let Some(start) = &mut state.start_catalog else {
        return;
    };
    if state.catalog.version > 0 || start.accept.is_some() {
        return;
    }
    let accept = AcceptId(state.rng.random());
    start.accept = Some(accept);
    let request = AcceptRequest {
        accept,
        body: start.body.clone(),
        author: Arc::from(START_AUTHOR),
        at_ms: start.unix_ms,
        base_version: Some(0),
    };
    reduce(state, now, PresetEvent::Accept(request), out);
}

/// Passes an effect to the feature that it concerns, or to the shell.
fn handle_effect(
    state: &mut HostState,
    now: ClockTime,
    effect: PresetEffect,
    out: &mut Vec<HostEffect>,
) {
    match effect {
        PresetEffect::PutInForce { preset, body } => {
            catalogs::put_in_force(state, now, preset.version, &body, out);
            out.push(HostEffect::Preset(PresetEffect::PutInForce {
                preset,
                body,
            }));
        }
        PresetEffect::Announce(preset) => {
            let report = PresetReport {
                version: preset.version,
                digest: preset.digest,
            };
            members::reduce(state, now, MembershipEvent::PresetInForce(report), out);
        }
        PresetEffect::UpToDateChanged { up_to_date } => {
            state.up_to_date = up_to_date;
            members::update_own_entry(state, now);
        }
        PresetEffect::AcceptDone { accept, .. } if state.is_start_catalog(accept) => {
            // If the table is still empty at a later poll, the acceptance is tried again.
            if let Some(start) = &mut state.start_catalog {
                start.accept = None;
            }
        }
        effect => out.push(HostEffect::Preset(effect)),
    }
}
