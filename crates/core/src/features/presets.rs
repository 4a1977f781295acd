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

/// Author of a version that was made from a start catalogue.
const START_AUTHOR: &str = "start catalogue";

/// Hands an event to the preset reducer.
pub(crate) fn reduce(
    state: &mut HostState,
    now: ClockTime,
    event: PresetEvent,
    out: &mut Vec<HostEffect>,
) {
    let is_empty_table = matches!(
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
        follow(state, now, effect, out);
    }
    if is_empty_table {
        accept_start(state, now, out);
    }
}

/// Makes the catalogue that the host started from version 1 if there is no version at all.
///
/// All hosts of a new deployment try; one of them wins and the others take its version.
fn accept_start(state: &mut HostState, now: ClockTime, out: &mut Vec<HostEffect>) {
    let Some(start) = &mut state.start else {
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

fn follow(state: &mut HostState, now: ClockTime, effect: PresetEffect, out: &mut Vec<HostEffect>) {
    match effect {
        PresetEffect::PutInForce { preset, body } => {
            catalogs::put_in_force(state, now, preset.version, &body, out);
            out.push(HostEffect::Preset(PresetEffect::PutInForce {
                preset,
                body,
            }));
        }
        PresetEffect::Announce(preset) => {
            let notice = PresetReport {
                version: preset.version,
                digest: preset.digest,
            };
            members::reduce(state, now, MembershipEvent::PresetInForce(notice), out);
        }
        PresetEffect::UpToDateChanged { up_to_date } => {
            state.current = up_to_date;
            members::list_self(state, now);
        }
        PresetEffect::AcceptDone { accept, .. } if state.is_start(accept) => {
            // A later poll of an empty table tries again.
            if let Some(start) = &mut state.start {
                start.accept = None;
            }
        }
        effect => out.push(HostEffect::Preset(effect)),
    }
}
