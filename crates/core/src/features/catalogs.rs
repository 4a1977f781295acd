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

/// Takes the catalogue that the host starts from, unless a version is in force already.
pub(crate) fn load(
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
    state.start = Some(StartCatalog {
        body: body.encode(),
        unix_ms,
        accept: None,
    });
    apply(state, now, 0, body, out);
}

/// Puts a committed version in force.
pub(crate) fn put_in_force(
    state: &mut HostState,
    now: ClockTime,
    version: u64,
    body: &[u8],
    out: &mut Vec<HostEffect>,
) {
    let rises = invariant!(
        version > state.catalog.version,
        "preset_version_rises",
        "{version} after {}",
        state.catalog.version
    );
    if !rises {
        return;
    }
    // A body that cannot be read was written by a newer release; the present catalogue stays.
    let Some(body) = PresetBody::decode(body) else {
        return;
    };
    apply(state, now, version, body, out);
}

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
        models: positions(catalog.models.iter().map(|model| &model.name)),
        targets: positions(catalog.targets.iter().map(|target| &target.name)),
        catalog: catalog.clone(),
    };
    state.own_loads.clear();
    state.own_demand.clear();
    state.peer_demand.clear();
    state.planning.reset(&catalog);
    state.routes.set_regions(&catalog.regions);
    state.routes.set_targets(&catalog.targets);
    state.routes.set_models(&catalog.models);
    state.queue.set_limits(&catalog.tenants, &catalog.classes);
    leaving::drain(state, drained);
    if let Some(fleet) = FleetSpec::from_catalog(&catalog, &state.identity.region) {
        moves::reduce(state, now, MoveEvent::FleetChanged(Arc::new(fleet)), out);
    }
    out.push(HostEffect::CatalogInForce {
        version,
        preset: body.in_force,
        catalog,
    });
}

fn positions<'a, N: Clone + Ord + 'a>(names: impl Iterator<Item = &'a N>) -> BTreeMap<N, u16> {
    names
        .zip(0..)
        .map(|(name, position)| (name.clone(), position))
        .collect()
}
