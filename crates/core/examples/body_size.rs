//! Prints the size of a preset body at the planned size of the catalogue, plain and compressed.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use std::net::SocketAddr;

const MODELS: usize = 1900;
const ADAPTERS: usize = 7000;
const TARGETS: usize = 1400;
/// Configuration changes a day.
const CHANGES_PER_DAY: usize = 2000;
const SECONDS_PER_DAY: usize = 86_400;

fn main() {
    let body = PresetBody::new(PresetName::new("ordinary"), catalog());
    let plain = serde_json::to_vec(&body).unwrap_or_default().len();
    let start = std::time::Instant::now();
    let compressed = body.encode();
    let encoding = start.elapsed();
    let start = std::time::Instant::now();
    let decoded = PresetBody::decode(&compressed);
    println!("plain {plain} bytes, compressed {} bytes", compressed.len());
    println!("encoded in {encoding:?}, decoded in {:?}", start.elapsed());
    println!("decodes to the same: {}", decoded == Some(body));
    let rate = |size: usize| size * CHANGES_PER_DAY / SECONDS_PER_DAY;
    println!(
        "received by a host: plain {} B/s, compressed {} B/s",
        rate(plain),
        rate(compressed.len())
    );
}

/// Creates a catalogue of the planned size.
fn catalog() -> CatalogSpec {
    let models = (0..MODELS).map(|n| ModelSpec {
        name: ModelName::new(&format!("model-{n}")),
        memory_bytes: 8_000_000_000 + (n as u64 * 7919 % 1000) * 10_000_000,
        load_ms: 900 + n as u64 * 31 % 3000,
    });
    let adapters = (0..ADAPTERS).map(|n| AdapterSpec {
        name: AdapterName::new(&format!("adapter-{n}")),
        model: ModelName::new(&format!("model-{}", n % MODELS)),
        memory_bytes: 40_000_000 + (n as u64 * 104_729 % 1000) * 10_000,
    });
    let targets = (0..TARGETS).map(|n| TargetSpec {
        name: TargetName::new(&format!("engine-{n}")),
        address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8 + 1], 8000)),
        domain: DomainName::new(&format!("domain-{}", n % 10)),
        kind: TargetKind::Engine,
        service: None,
        memory_bytes: 80_000_000_000,
        concurrency: 16,
        checks_fencing: n % 2 == 0,
        keeps_records: false,
    });
    CatalogSpec {
        models: models.collect(),
        adapters: adapters.collect(),
        targets: targets.collect(),
        ..CatalogSpec::default()
    }
}
