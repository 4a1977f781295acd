//! Checks of a catalogue beyond the shape of its values: names, references and memory.

use crate::check_presets::{check_preset_memory, check_presets};
use crate::declarations::{CatalogSpec, RouteSpec, TargetKind, TargetSpec};
use crate::read::ValueProblem;
use crate::shape::nearest_name;
use crocusyard_base::prelude::*;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Checks the names, references and memory of a complete catalogue, including its presets.
///
/// An empty list means that the catalogue may be put in force.
pub fn check_catalog(catalog: &CatalogSpec) -> Vec<ValueProblem> {
    check_declarations(catalog, true)
}

/// Checks a catalogue from which wrong values may have been left out.
///
/// Only a `complete` catalogue is checked for memory and for the targets of each service, since a
/// value that was left out would make these look wrong.
pub(crate) fn check_declarations(catalog: &CatalogSpec, complete: bool) -> Vec<ValueProblem> {
    let mut problems = Vec::new();
    let declared = DeclaredNames::new(catalog);
    check_names(catalog, &mut problems);
    check_domains(catalog, &mut problems);
    check_adapters(catalog, &declared, &mut problems);
    check_targets(catalog, &declared, &mut problems);
    check_routes(catalog, &declared, &mut problems);
    check_tenants(catalog, &mut problems);
    check_presets(catalog, &declared, &mut problems);
    if complete {
        check_engine_memory(catalog, &mut problems);
        check_model_memory(catalog, &mut problems);
        check_adapter_memory(catalog, &mut problems);
        check_service_targets(catalog, &mut problems);
        check_preset_memory(catalog, &mut problems);
    }
    problems
}

/// Names that the catalogue declares, for looking up references.
pub(crate) struct DeclaredNames<'a> {
    pub(crate) domains: BTreeSet<&'a str>,
    pub(crate) models: BTreeSet<&'a str>,
    pub(crate) targets: BTreeSet<&'a str>,
    pub(crate) services: BTreeSet<&'a str>,
    pub(crate) classes: BTreeSet<&'a str>,
}

impl<'a> DeclaredNames<'a> {
    fn new(catalog: &'a CatalogSpec) -> Self {
        let regions = catalog.regions.iter();
        let domains = regions.flat_map(|region| &region.domains);
        let models = catalog.models.iter();
        let targets = catalog.targets.iter();
        let services = catalog.services.iter();
        let classes = catalog.classes.iter();
        Self {
            domains: domains.map(DomainName::as_str).collect(),
            models: models.map(|model| model.name.as_str()).collect(),
            targets: targets.map(|target| target.name.as_str()).collect(),
            services: services.map(|service| service.name.as_str()).collect(),
            classes: classes.map(|class| class.name.as_str()).collect(),
        }
    }
}

/// Reports each name that repeats an earlier one of the same list.
pub(crate) fn check_unique<'a>(
    list: &str,
    field: &str,
    names: impl Iterator<Item = &'a str>,
    problems: &mut Vec<ValueProblem>,
) {
    let mut first_uses: HashMap<&str, usize> = HashMap::new();
    for (index, name) in names.enumerate() {
        if let Some(first) = first_uses.get(name) {
            let path = format!("{list}[{index}]{field}");
            let expected = format!("`{name}` once; it is already {list}[{first}]");
            problems.push(ValueProblem::new(path, expected));
        } else {
            first_uses.insert(name, index);
        }
    }
}

/// Reports a reference to a name that is not declared, and suggests the nearest declared name.
pub(crate) fn check_reference(
    path: String,
    kind: &str,
    name: &str,
    declared: &BTreeSet<&str>,
    problems: &mut Vec<ValueProblem>,
) {
    if declared.contains(name) {
        return;
    }
    let nearest = nearest_name(name, declared.iter().copied());
    let expected = match nearest {
        Some(nearest) => format!("declared {kind}; `{name}` is none, the nearest is `{nearest}`"),
        None => format!("declared {kind}; none is declared"),
    };
    problems.push(ValueProblem::new(path, expected));
}

fn check_names(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    let regions = catalog.regions.iter().map(|region| region.name.as_str());
    check_unique("regions", ".name", regions, problems);
    let models = catalog.models.iter().map(|model| model.name.as_str());
    check_unique("models", ".name", models, problems);
    let adapters = catalog.adapters.iter().map(|adapter| adapter.name.as_str());
    check_unique("adapters", ".name", adapters, problems);
    let targets = catalog.targets.iter().map(|target| target.name.as_str());
    check_unique("targets", ".name", targets, problems);
    let services = catalog.services.iter().map(|service| service.name.as_str());
    check_unique("services", ".name", services, problems);
    let tenants = catalog.tenants.iter().map(|tenant| tenant.name.as_str());
    check_unique("tenants", ".name", tenants, problems);
    let classes = catalog.classes.iter().map(|class| class.name.as_str());
    check_unique("classes", ".name", classes, problems);
    let presets = catalog.presets.iter().map(|preset| preset.name.as_str());
    check_unique("presets", ".name", presets, problems);
}

fn check_domains(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    if catalog.regions.is_empty() {
        problems.push(ValueProblem::new("regions", "at least one region"));
    }
    let mut declared_before = HashSet::new();
    for (index, region) in catalog.regions.iter().enumerate() {
        if region.domains.is_empty() {
            let path = format!("regions[{index}].domains");
            problems.push(ValueProblem::new(path, "at least one failure domain"));
        }
        for (place, domain) in region.domains.iter().enumerate() {
            if !declared_before.insert(domain) {
                let path = format!("regions[{index}].domains[{place}]");
                let expected = format!("`{domain}` once among the failure domains of all regions");
                problems.push(ValueProblem::new(path, expected));
            }
        }
    }
}

/// Checks that every model fits on some engine; a model that does not could never be served.
fn check_model_memory(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    let largest = largest_engine_memory(catalog);
    for (index, model) in catalog.models.iter().enumerate() {
        if model.memory_bytes > largest {
            let path = format!("models[{index}].memory_bytes");
            let expected = format!("at most the memory of the largest engine, {largest}");
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

fn check_adapters(
    catalog: &CatalogSpec,
    declared: &DeclaredNames<'_>,
    problems: &mut Vec<ValueProblem>,
) {
    for (index, adapter) in catalog.adapters.iter().enumerate() {
        let path = format!("adapters[{index}].model");
        check_reference(
            path,
            "model",
            adapter.model.as_str(),
            &declared.models,
            problems,
        );
        // Callers address models and adapters by name alike, so the two share one set of names.
        if declared.models.contains(adapter.name.as_str()) {
            let path = format!("adapters[{index}].name");
            let expected = format!("name that no model has; `{}` is a model", adapter.name);
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

/// Checks that every adapter fits on some engine together with its base model.
fn check_adapter_memory(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    let largest = largest_engine_memory(catalog);
    let sizes: HashMap<&str, u64> = catalog
        .models
        .iter()
        .map(|model| (model.name.as_str(), model.memory_bytes))
        .collect();
    for (index, adapter) in catalog.adapters.iter().enumerate() {
        let Some(size) = sizes.get(adapter.model.as_str()) else {
            continue;
        };
        if *size <= largest && size.saturating_add(adapter.memory_bytes) > largest {
            let path = format!("adapters[{index}].memory_bytes");
            let left = largest - size;
            let expected = format!("at most {left}, what the largest engine has beside the model");
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

fn check_targets(
    catalog: &CatalogSpec,
    declared: &DeclaredNames<'_>,
    problems: &mut Vec<ValueProblem>,
) {
    let mut addresses = HashMap::new();
    for (index, target) in catalog.targets.iter().enumerate() {
        let path = |field: &str| format!("targets[{index}].{field}");
        check_reference(
            path("domain"),
            "failure domain",
            target.domain.as_str(),
            &declared.domains,
            problems,
        );
        if let Some(first) = addresses.insert(target.address, index) {
            let expected = format!("address of its own; targets[{first}] has the same");
            problems.push(ValueProblem::new(path("address"), expected));
        }
        if target.address.port() == 0 || target.address.ip().is_unspecified() {
            problems.push(ValueProblem::new(
                path("address"),
                "address that can be connected to",
            ));
        }
        match target.kind {
            TargetKind::Engine => check_engine_target(target, index, problems),
            TargetKind::Plain => check_plain_target(declared, target, index, problems),
        }
    }
}

fn check_engine_target(target: &TargetSpec, index: usize, problems: &mut Vec<ValueProblem>) {
    if target.service.is_some() {
        let path = format!("targets[{index}].service");
        problems.push(ValueProblem::new(path, "no service on an engine"));
    }
    if target.keeps_records {
        let path = format!("targets[{index}].keeps_records");
        problems.push(ValueProblem::new(
            path,
            "`false` on an engine; plain services keep records",
        ));
    }
}

/// Checks that every engine can hold at least the smallest model.
///
/// An engine that cannot hold any model is useless, and its size is probably mistyped.
fn check_engine_memory(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    let sizes = catalog.models.iter().map(|model| model.memory_bytes);
    let smallest = sizes.min().unwrap_or(1);
    for (index, target) in catalog.targets.iter().enumerate() {
        if target.kind == TargetKind::Engine && target.memory_bytes < smallest {
            let path = format!("targets[{index}].memory_bytes");
            let expected = format!("at least the memory of the smallest model, {smallest}");
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

fn check_plain_target(
    declared: &DeclaredNames<'_>,
    target: &TargetSpec,
    index: usize,
    problems: &mut Vec<ValueProblem>,
) {
    let path = format!("targets[{index}].service");
    match &target.service {
        Some(service) => {
            check_reference(
                path,
                "service",
                service.as_str(),
                &declared.services,
                problems,
            );
        }
        None => problems.push(ValueProblem::new(
            path,
            "service that the plain target runs",
        )),
    }
    if target.memory_bytes != 0 {
        let path = format!("targets[{index}].memory_bytes");
        problems.push(ValueProblem::new(path, "0 on a plain target"));
    }
    if target.checks_fencing {
        let path = format!("targets[{index}].checks_fencing");
        problems.push(ValueProblem::new(
            path,
            "`false` on a plain target; it takes no orders",
        ));
    }
}

/// Checks that every service has a plain target that runs it.
fn check_service_targets(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    for (index, service) in catalog.services.iter().enumerate() {
        let served = catalog.targets.iter().any(|target| {
            target.kind == TargetKind::Plain && target.service.as_ref() == Some(&service.name)
        });
        if !served {
            let path = format!("services[{index}]");
            let expected = "at least one target that runs the service";
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

fn check_routes(
    catalog: &CatalogSpec,
    declared: &DeclaredNames<'_>,
    problems: &mut Vec<ValueProblem>,
) {
    for (index, service) in catalog.services.iter().enumerate() {
        let path = format!("services[{index}]");
        if service.routes.is_empty() {
            let path = format!("{path}.routes");
            problems.push(ValueProblem::new(path, "at least one route"));
        }
        for (place, route) in service.routes.iter().enumerate() {
            let path = format!("{path}.routes[{place}]");
            check_route(declared, route, &path, problems);
            let earlier = &service.routes[..place];
            if let Some(shadowing) = earlier.iter().position(|other| shadows(other, route)) {
                let expected = format!(
                    "route that can match; services[{index}].routes[{shadowing}] matches all its calls"
                );
                problems.push(ValueProblem::new(path, expected));
            }
        }
    }
}

fn check_route(
    declared: &DeclaredNames<'_>,
    route: &RouteSpec,
    path: &str,
    problems: &mut Vec<ValueProblem>,
) {
    let method = route.method.as_str();
    let uppercase = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    if method != "*" && !uppercase {
        let path = format!("{path}.method");
        problems.push(ValueProblem::new(path, "method in capitals, or `*`"));
    }
    if !route.path.starts_with('/') {
        let path = format!("{path}.path");
        problems.push(ValueProblem::new(path, "path that starts with `/`"));
    }
    let path = format!("{path}.class");
    check_reference(
        path,
        "class",
        route.class.as_str(),
        &declared.classes,
        problems,
    );
}

/// Returns whether the first route matches every call that the second one matches.
fn shadows(first: &RouteSpec, second: &RouteSpec) -> bool {
    let method = first.method == "*" || first.method == second.method;
    method && second.path.starts_with(&first.path)
}

/// Checks that no two tenants read their API key from the same environment variable.
fn check_tenants(catalog: &CatalogSpec, problems: &mut Vec<ValueProblem>) {
    let mut variables = HashMap::new();
    for (index, tenant) in catalog.tenants.iter().enumerate() {
        let Some(variable) = &tenant.key_env else {
            continue;
        };
        if let Some(first) = variables.insert(variable, index) {
            let path = format!("tenants[{index}].key_env");
            let expected = format!("variable of its own; tenants[{first}] has the same");
            problems.push(ValueProblem::new(path, expected));
        }
    }
}

/// Returns the memory of the largest engine, bytes; 0 without engines.
fn largest_engine_memory(catalog: &CatalogSpec) -> u64 {
    let engines = catalog
        .targets
        .iter()
        .filter(|target| target.kind == TargetKind::Engine);
    engines.map(|target| target.memory_bytes).max().unwrap_or(0)
}
