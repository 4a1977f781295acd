//! Checks of presets against the rest of the catalogue.

use crate::check::{check_reference, check_unique, DeclaredNames};
use crate::declarations::{CatalogSpec, PresetSpec, TargetKind, TargetSpec};
use crate::read::ValueProblem;
use crocusyard_base::prelude::*;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// Checks that all presets refer to declared models and targets, each at most once.
pub(crate) fn check_presets(
    catalog: &CatalogSpec,
    declared: &DeclaredNames<'_>,
    problems: &mut Vec<ValueProblem>,
) {
    if catalog.presets.is_empty() {
        // Exactly one preset is in force at any time.
        problems.push(ValueProblem::new("presets", "at least one preset"));
    }
    for (index, preset) in catalog.presets.iter().enumerate() {
        check_references(preset, index, declared, problems);
    }
}

/// Checks that every preset leaves targets for all models and services, and memory for its copies.
pub(crate) fn check_preset_memory(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    for index in 0..catalog.presets.len() {
        check_drained(catalog, index, problems);
        check_copies(catalog, index, problems);
    }
}

fn check_references(
    preset: &PresetSpec,
    index: usize,
    declared: &DeclaredNames<'_>,
    problems: &mut Vec<ValueProblem>,
) {
    let list = format!("presets[{index}].copies");
    let copies = preset.copies.iter().map(|copies| copies.model.as_str());
    check_unique(&list, ".model", copies, problems);
    for (place, copies) in preset.copies.iter().enumerate() {
        let path = format!("{list}[{place}].model");
        check_reference(
            path,
            "model",
            copies.model.as_str(),
            &declared.models,
            problems,
        );
    }
    let list = format!("presets[{index}].drained");
    let drained = preset.drained.iter().map(TargetName::as_str);
    check_unique(&list, "", drained, problems);
    for (place, target) in preset.drained.iter().enumerate() {
        let path = format!("{list}[{place}]");
        check_reference(path, "target", target.as_str(), &declared.targets, problems);
    }
}

/// Checks that draining leaves a target for every model and service that has one.
fn check_drained(catalog: &CatalogSpec, index: usize, problems: &mut Vec<ValueProblem>) {
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
    let largest_left = largest(&engines_in_use(catalog, preset));
    let all: Vec<&TargetSpec> = catalog.targets.iter().collect();
    let displaced = catalog
        .models
        .iter()
        .find(|model| model.memory_bytes > largest_left && model.memory_bytes <= largest(&all));
    if let Some(model) = displaced {
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

/// Checks that the minimum numbers of copies fit on the engines in use.
///
/// Copies are packed largest first, each on the fullest engine that has room for it, with no two
/// copies of a model on one engine. Copies that would fit only by an exhaustive search are refused
/// too: such a packing would leave no room to load a copy before another is unloaded.
fn check_copies(catalog: &CatalogSpec, index: usize, problems: &mut Vec<ValueProblem>) {
    let preset = &catalog.presets[index];
    let sizes: HashMap<&str, u64> = catalog
        .models
        .iter()
        .map(|model| (model.name.as_str(), model.memory_bytes))
        .collect();
    let mut minimum_copies: Vec<(usize, u64, u32)> = Vec::new();
    for (place, copies) in preset.copies.iter().enumerate() {
        if let Some(size) = sizes.get(copies.model.as_str()) {
            minimum_copies.push((place, *size, copies.min));
        }
    }
    minimum_copies.sort_by_key(|(_, size, min)| (Reverse(*size), Reverse(*min)));
    let engines = engines_in_use(catalog, preset);
    let mut free_bytes: Vec<u64> = engines.iter().map(|target| target.memory_bytes).collect();
    for (place, size, min) in minimum_copies {
        let placed = place_copies(&mut free_bytes, size, min);
        if placed < min {
            let path = format!("presets[{index}].copies[{place}].min");
            let expected = format!("at most {placed}, since no more copies fit on the engines");
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

/// Reserves memory for up to `min` copies on distinct engines; returns how many copies fit.
fn place_copies(free_bytes: &mut [u64], size: u64, min: u32) -> u32 {
    let mut fitting: Vec<usize> = (0..free_bytes.len())
        .filter(|engine| free_bytes[*engine] >= size)
        .collect();
    fitting.sort_by_key(|engine| free_bytes[*engine]);
    fitting.truncate(min as usize);
    for engine in &fitting {
        free_bytes[*engine] -= size;
    }
    fitting.len() as u32
}

/// Returns the engines that the preset does not drain.
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
