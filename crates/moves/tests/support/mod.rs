//! Fakes of the table service and of engines, and a simulated cluster that connects them to
//! reducers.

#![allow(dead_code)]

pub mod engine;
pub mod table;
pub mod world;

use crocusyard_base::prelude::*;
use crocusyard_moves::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Returns a time in milliseconds.
pub fn ms(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

/// Returns settings with shorter times than the defaults, for the region `r`.
pub fn settings(host: &str) -> MoveSettings {
    let mut settings = MoveSettings::new(HostName::new(host), RegionName::new("r"));
    settings.max_order_delay = ClockTime::from_secs(8);
    settings.order_retry_max = ClockTime::from_secs(6);
    settings.demand_retention = ClockTime::from_secs(20);
    settings
}

/// Declares engines `t0`, `t1` and so on, of which every second one ignores fencing numbers. Items
/// are pairs of name and bytes; adapters are triples of name, base model and bytes.
pub fn fleet(
    capacities: &[u64],
    items: &[(&str, u64)],
    adapters: &[(&str, &str, u64)],
) -> FleetSpec {
    let mut fleet = FleetSpec {
        model_loads_per_second: 4.0,
        max_model_loads: 6,
        max_adapter_loads: 8,
        ..FleetSpec::default()
    };
    for (index, capacity) in capacities.iter().enumerate() {
        let target = FleetTarget {
            capacity: *capacity,
            domain: DomainName::new(&format!("d{}", index % 3)),
            checks_fencing: index % 2 == 0,
        };
        let name = TargetName::new(&format!("t{index}"));
        fleet.targets.insert(name, target);
    }
    for (name, bytes) in items {
        let own_adapters = adapters.iter().filter(|(_, model, _)| model == name);
        fleet.items.insert(
            Arc::from(*name),
            FleetItem {
                bytes: *bytes,
                adapter_reserve: own_adapters.map(|(_, _, bytes)| *bytes).max().unwrap_or(0),
                kind: ItemKind::Model,
            },
        );
    }
    for (name, model, bytes) in adapters {
        let kind = ItemKind::Adapter {
            model: Arc::from(*model),
        };
        fleet.items.insert(
            Arc::from(*name),
            FleetItem {
                bytes: *bytes,
                adapter_reserve: 0,
                kind,
            },
        );
    }
    fleet
}

/// Returns a plan from names by target and names on demand.
pub fn plan(resident: &[(&str, &[&str])], on_demand: &[&str]) -> ResidencyPlan {
    let resident: BTreeMap<TargetName, BTreeSet<Arc<str>>> = resident
        .iter()
        .map(|(target, names)| {
            let names = names.iter().map(|name| Arc::from(*name)).collect();
            (TargetName::new(target), names)
        })
        .collect();
    ResidencyPlan {
        resident,
        on_demand: on_demand.iter().map(|name| Arc::from(*name)).collect(),
        drained: BTreeSet::new(),
    }
}
