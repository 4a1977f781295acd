//! Reads, writes and compares a catalogue of the planned size, and prints how long each takes.

use crocusyard_catalog::prelude::*;
use std::fmt::Write;
use std::time::Instant;

const MODELS: usize = 1900;
const ADAPTERS: usize = 7000;
const TARGETS: usize = 1400;

fn main() {
    let text = write_catalog();
    let start = Instant::now();
    let catalog = CatalogSpec::from_yaml(&text).expect("the generated catalogue is valid");
    println!("read and check {} bytes: {:?}", text.len(), start.elapsed());

    let start = Instant::now();
    let body = canonical_body(&catalog);
    let digest = digest_of(&body);
    println!(
        "body of {} bytes, digest {digest}: {:?}",
        body.len(),
        start.elapsed()
    );

    let mut changed = catalog.clone();
    changed.models[MODELS / 2].load_ms += 1;
    let start = Instant::now();
    let diff = diff_catalogs(&catalog, &changed);
    println!(
        "diff with {} change: {:?}",
        diff.changes.len(),
        start.elapsed()
    );
}

fn write_catalog() -> String {
    let mut text = String::from(
        "regions:\n  - {name: r, domains: [d0, d1, d2], weight_loads_per_second: 2, \
         weight_loads_at_once: 9, adapter_loads_in_transit: 70}\nmodels:\n",
    );
    // Writing to a string cannot fail.
    for n in 0..MODELS {
        let _ = writeln!(
            text,
            "  - {{name: m{n}, memory_bytes: 20000000000, load_ms: 4000}}"
        );
    }
    text += "adapters:\n";
    for n in 0..ADAPTERS {
        let model = n % MODELS;
        let _ = writeln!(
            text,
            "  - {{name: a{n}, model: m{model}, memory_bytes: 200000000}}"
        );
    }
    text += "targets:\n";
    for n in 0..TARGETS {
        let (high, low, domain) = (n / 250, n % 250 + 1, n % 3);
        let _ = writeln!(
            text,
            "  - {{name: t{n}, address: \"10.0.{high}.{low}:8000\", domain: d{domain}, \
             kind: engine, memory_bytes: 80000000000}}"
        );
    }
    text +=
        "presets:\n  - name: ordinary\n    attainment_weight: 1\n    move_cost: 0.2\n    copies:\n";
    for n in 0..MODELS {
        let _ = writeln!(text, "      - {{model: m{n}, min: 2}}");
    }
    text
}
