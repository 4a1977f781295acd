//! Catalogue and host settings of the simulated deployment.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_moves::prelude::*;
use crocusyard_presets::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use std::net::SocketAddr;

/// Name of the only region.
pub const REGION: &str = "r";
/// Weight loads a second; enough that every model is resident again soon after an engine restarts.
const LOADS_PER_SECOND: f64 = 8.0;

/// Time after which claimed calls of disconnected callers are given up; shorter than by default, so
/// that a run ends.
const CLAIM_LINGER: ClockTime = ClockTime::from_secs(60);

pub fn host_name(host: usize) -> HostName {
    HostName::new(&format!("h{host}"))
}

/// Returns the gossip address of a host. Numbers from 100 give the caller addresses of hosts, and
/// numbers from 1,000 the addresses of targets.
pub fn gossip_address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + host as u16))
}

/// Returns one of the three failure domains.
pub fn domain(number: usize) -> DomainName {
    DomainName::new(&format!("d{}", number % 3))
}

fn target(name: String, number: usize, kind: TargetKind) -> TargetSpec {
    let is_plain = kind == TargetKind::Plain;
    TargetSpec {
        name: TargetName::new(&name),
        address: gossip_address(1_000 + number),
        domain: domain(number),
        kind,
        service: is_plain.then(|| ServiceName::new("bookings")),
        memory_bytes: if is_plain { 0 } else { 100 },
        concurrency: 64,
        checks_fencing: number % 2 == 0,
        keeps_records: is_plain && number % 2 == 1,
    }
}

/// Creates a catalogue. Its first preset drains no target, each other preset drains one engine.
pub fn catalog(engines: usize, plain: usize, models: usize) -> CatalogSpec {
    let preset = |name: String, drained: Vec<TargetName>| PresetSpec {
        name: PresetName::new(&name),
        attainment_weight: 1.0,
        move_cost: 0.1,
        copies: Vec::new(),
        drained,
    };
    let engine = |number| target(format!("e{number}"), number, TargetKind::Engine);
    let service = |number| target(format!("p{number}"), number, TargetKind::Plain);
    let drain_presets = (0..engines).map(|n| preset(format!("without-e{n}"), vec![engine(n).name]));
    CatalogSpec {
        regions: vec![RegionSpec {
            name: RegionName::new(REGION),
            domains: (0..3).map(domain).collect(),
            weight_loads_per_second: LOADS_PER_SECOND,
            weight_loads_at_once: 8,
            adapter_loads_in_transit: 16,
        }],
        models: (0..models)
            .map(|n| ModelSpec {
                name: ModelName::new(&format!("m{n:04}")),
                memory_bytes: 20 + 5 * (n as u64 % 3),
                load_ms: 600,
            })
            .collect(),
        adapters: (0..models / 2)
            .map(|n| AdapterSpec {
                name: AdapterName::new(&format!("a{n:04}")),
                model: ModelName::new(&format!("m{n:04}")),
                memory_bytes: 1,
            })
            .collect(),
        targets: (0..engines)
            .map(engine)
            .chain((0..plain).map(service))
            .collect(),
        services: Vec::new(),
        tenants: vec![TenantSpec {
            name: TenantName::new("tenant"),
            weight: 1,
            key_env: None,
            in_flight: 100_000,
        }],
        classes: vec![ClassSpec {
            name: ClassName::new("class"),
            priority: 0,
            deadline_ms: 10_000,
            aging_ms: 1_000,
            queue_limit: 100_000,
        }],
        presets: std::iter::once(preset("all".to_owned(), Vec::new()))
            .chain(drain_presets)
            .collect(),
    }
}

/// Returns the settings of one process of a host; the seed follows from the host and the process.
pub fn settings(host: usize, incarnation: u64) -> FeatureSettings {
    let seed = incarnation * 64 + host as u64;
    let (name, region) = (host_name(host), RegionName::new(REGION));
    let mut moves = MoveSettings::new(name.clone(), region.clone());
    moves.max_order_delay = ClockTime::from_secs(8);
    moves.order_retry_max = ClockTime::from_secs(6);
    moves.demand_retention = ClockTime::from_secs(20);
    FeatureSettings {
        identity: HostIdentity {
            name: name.clone(),
            domain: domain(host),
            region: region.clone(),
            caller_address: gossip_address(100 + host),
        },
        address_tuning: AddressTuning::default(),
        requests: RequestSettings {
            id_prefix: seed,
            limits: RequestLimits {
                claim_linger: CLAIM_LINGER,
                ..RequestLimits::default()
            },
        },
        membership: MembershipSettings::new(
            name,
            gossip_address(host),
            domain(host),
            region,
            incarnation,
        ),
        presets: PresetSettings::default(),
        moves,
        seed,
    }
}
