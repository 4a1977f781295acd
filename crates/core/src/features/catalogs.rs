//! Puts a catalogue and its preset in force.

use super::{leaving, moves};
use crate::body::PresetBody;
use crate::effect::HostEffect;
use crate::state::{CatalogState, HostState, StartCatalog};
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_moves::prelude::{FleetSpec, MoveEvent};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Puts the catalogue that the host starts from in force, unless a version already is.
pub(crate) fn load_start_catalog(
    state: &mut HostState,
    now: ClockTime,
    catalog: &CatalogSpec,
    unix_ms: u64,
    out: &mut Vec<HostEffect>,
) {
    if state.catalog.version > 0 {
        return;
    }
    let Some(preset) = catalog.presets.first() else {
        return;
    };
    let body = PresetBody::new(preset.name.clone(), catalog.clone());
    state.start_catalog = Some(StartCatalog {
        body: body.encode(),
        unix_ms,
        accept: None,
    });
    apply(state, now, 0, body, out);
}

/// Puts a committed version in force. Its body has been checked against its digest.
pub(crate) fn put_in_force(
    state: &mut HostState,
    now: ClockTime,
    version: u64,
    body: &[u8],
    out: &mut Vec<HostEffect>,
) {
    let is_newer = invariant!(
        version > state.catalog.version,
        "preset_version_rises",
        "{version} after {}",
        state.catalog.version
    );
    if !is_newer {
        return;
    }
    // A body that cannot be decoded was written by a newer release. The present catalogue stays in
    // force.
    let Some(body) = PresetBody::decode(body) else {
        return;
    };
    apply(state, now, version, body, out);
}

/// Hands a catalogue and its preset to all features.
fn apply(
    state: &mut HostState,
    now: ClockTime,
    version: u64,
    body: PresetBody,
    out: &mut Vec<HostEffect>,
) {
    let drained = body
        .preset()
        .map(|preset| preset.drained.clone())
        .unwrap_or_default();
    let catalog = Arc::new(body.catalog);
    state.catalog = CatalogState {
        version,
        preset: Some(body.in_force.clone()),
        model_positions: positions(catalog.models.iter().map(|model| &model.name)),
        target_positions: positions(catalog.targets.iter().map(|target| &target.name)),
        catalog: catalog.clone(),
    };
    state.own_load_deltas.clear();
    state.own_demand.clear();
    state.peer_demand.clear();
    state.planning.reset(&catalog);
    state.routes.set_regions(&catalog.regions);
    state.routes.set_targets(&catalog.targets);
    state.routes.set_models(&catalog.models);
    state.queue.set_limits(&catalog.tenants, &catalog.classes);
    leaving::set_drained(state, drained);
    if let Some(fleet) = FleetSpec::from_catalog(&catalog, &state.identity.region) {
        moves::reduce(state, now, MoveEvent::FleetChanged(Arc::new(fleet)), out);
    }
    out.push(HostEffect::CatalogInForce {
        version,
        preset: body.in_force,
        catalog,
    });
}

/// Numbers the entries of a catalogue list in their order.
fn positions<'a, N: Clone + Ord + 'a>(names: impl Iterator<Item = &'a N>) -> BTreeMap<N, u16> {
    names
        .zip(0..)
        .map(|(name, position)| (name.clone(), position))
        .collect()
}
