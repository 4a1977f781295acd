//! Checks of presets against the rest of the catalogue.

use crate::check::{check_known, check_unique, KnownNames};
use crate::declarations::{CatalogSpec, PresetSpec, TargetKind, TargetSpec};
use crate::read::ValueProblem;
use crocusyard_base::prelude::*;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// Checks names and references of all presets.
pub(crate) fn check_presets(
    catalog: &CatalogSpec,
    known: &KnownNames<'_>,
    problems: &mut Vec<ValueProblem>,
) {
    if catalog.presets.is_empty() {
        // Exactly one preset is in force at any time.
        problems.push(ValueProblem::new("presets", "at least one preset"));
    }
    for (index, preset) in catalog.presets.iter().enumerate() {
        check_references(preset, index, known, problems);
    }
}

/// Checks that every preset leaves a place for all that it keeps.
pub(crate) fn check_preset_memory(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    for index in 0..catalog.presets.len() {
        check_reach(catalog, index, problems);
        check_copies(catalog, index, problems);
    }
}

fn check_references(
    preset: &PresetSpec,
    index: usize,
    known: &KnownNames<'_>,
    problems: &mut Vec<ValueProblem>,
) {
    let list = format!("presets[{index}].copies");
    let copies = preset.copies.iter().map(|copies| copies.model.as_str());
    check_unique(&list, ".model", copies, problems);
    for (place, copies) in preset.copies.iter().enumerate() {
        let path = format!("{list}[{place}].model");
        check_known(
            path,
            "model",
            copies.model.as_str(),
            &known.models,
            problems,
        );
    }
    let list = format!("presets[{index}].drained");
    let drained = preset.drained.iter().map(TargetName::as_str);
    check_unique(&list, "", drained, problems);
    for (place, target) in preset.drained.iter().enumerate() {
        let path = format!("{list}[{place}]");
        check_known(path, "target", target.as_str(), &known.targets, problems);
    }
}

/// Draining must leave a target for every model and service that has one.
fn check_reach(catalog: &CatalogSpec, index: usize, problems: &mut Vec<ValueProblem>) {
    let preset = &catalog.presets[index];
    if preset.drained.is_empty() {
        return;
    }
    let path = format!("presets[{index}].drained");
    let largest = |targets: &[&TargetSpec]| {
        targets
            .iter()
            .map(|target| target.memory_bytes)
            .max()
            .unwrap_or(0)
    };
    let left = largest(&engines_in_use(catalog, preset));
    let all: Vec<&TargetSpec> = catalog.targets.iter().collect();
    let lost = catalog
        .models
        .iter()
        .find(|model| model.memory_bytes > left && model.memory_bytes <= largest(&all));
    if let Some(model) = lost {
        let expected = format!("an engine left that holds model `{}`", model.name);
        problems.push(ValueProblem::new(&path, expected));
    }
    for service in &catalog.services {
        let mut runners = catalog
            .targets
            .iter()
            .filter(|target| target.service.as_ref() == Some(&service.name))
            .peekable();
        let served = runners.peek().is_some();
        if served && runners.all(|target| preset.drained.contains(&target.name)) {
            let expected = format!("a target left that runs service `{}`", service.name);
            problems.push(ValueProblem::new(&path, expected));
        }
    }
}

/// Checks that the smallest numbers of copies fit on the targets that are in use.
///
/// The copies are packed largest first, each on the fullest target that holds it, with no target
/// holding two copies of a model. A packing that only an exhaustive search finds is refused too: it
/// would leave no room to load a copy before another is dropped.
fn check_copies(catalog: &CatalogSpec, index: usize, problems: &mut Vec<ValueProblem>) {
    let preset = &catalog.presets[index];
    let sizes: HashMap<&str, u64> = catalog
        .models
        .iter()
        .map(|model| (model.name.as_str(), model.memory_bytes))
        .collect();
    let mut wanted: Vec<(usize, u64, u32)> = Vec::new();
    for (place, copies) in preset.copies.iter().enumerate() {
        if let Some(size) = sizes.get(copies.model.as_str()) {
            wanted.push((place, *size, copies.min));
        }
    }
    wanted.sort_by_key(|(_, size, min)| (Reverse(*size), Reverse(*min)));
    let engines = engines_in_use(catalog, preset);
    let mut free: Vec<u64> = engines.iter().map(|target| target.memory_bytes).collect();
    for (place, size, min) in wanted {
        let placed = place_copies(&mut free, size, min);
        if placed < min {
            let path = format!("presets[{index}].copies[{place}].min");
            let expected = format!("at most {placed}, since no more copies fit on the engines");
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

/// Takes memory for up to `min` copies on distinct targets; returns how many fit.
fn place_copies(free: &mut [u64], size: u64, min: u32) -> u32 {
    let mut order: Vec<usize> = (0..free.len())
        .filter(|target| free[*target] >= size)
        .collect();
    order.sort_by_key(|target| free[*target]);
    order.truncate(min as usize);
    for target in &order {
        free[*target] -= size;
    }
    order.len() as u32
}

fn engines_in_use<'a>(catalog: &'a CatalogSpec, preset: &PresetSpec) -> Vec<&'a TargetSpec> {
    let drained: HashSet<&str> = preset.drained.iter().map(TargetName::as_str).collect();
    let engines = catalog
        .targets
        .iter()
        .filter(|target| target.kind == TargetKind::Engine);
    engines
        .filter(|target| !drained.contains(target.name.as_str()))
        .collect()
}
