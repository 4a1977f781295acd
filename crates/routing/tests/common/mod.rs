//! Shared helpers: target declarations, load reports and queries.

use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_routing::prelude::*;

/// Model that is resident on every target of [`table_with`].
pub const MODEL: &str = "model";

/// Returns a time, or a duration, in milliseconds.
pub fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

pub fn target(index: usize) -> TargetName {
    TargetName::new(&format!("target-{index}"))
}

/// Declares an engine with a concurrency of 8, in one of three failure domains.
pub fn spec(index: usize) -> TargetSpec {
    TargetSpec {
        name: target(index),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: DomainName::new(&format!("domain-{}", index % 3)),
        kind: TargetKind::Engine,
        service: None,
        memory_bytes: 1 << 36,
        concurrency: 8,
        checks_fencing: false,
        keeps_records: false,
    }
}

/// Makes a report of an idle target that holds [`MODEL`].
pub fn report(index: usize, sequence: u64) -> LoadReport {
    LoadReport {
        target: target(index),
        sequence,
        incarnation: 1,
        age: ClockTime::ZERO,
        running: 0,
        waiting: 0,
        queued_tokens: 0,
        prefill_rate: 8_000.0,
        decode_rate: 40.0,
        memory_bytes: 1 << 36,
        copies: vec![copy(MODEL)],
        leaving: false,
    }
}

pub fn copy(name: &str) -> CopyReport {
    CopyReport {
        name: name.into(),
        memory_bytes: 1,
        state: CopyState::Resident,
    }
}

/// Creates a table with declared targets that have each sent one report.
pub fn table_with(targets: usize, tuning: RouteTuning) -> RouteTable {
    let settings = RouteSettings {
        domain: DomainName::new("domain-0"),
    };
    let mut table = RouteTable::with_tuning(settings, tuning);
    table.set_targets(&(0..targets).map(spec).collect::<Vec<_>>());
    for index in 0..targets {
        table.apply_report(at(0), report(index, 1));
    }
    table
}

pub fn model_work() -> WorkKind {
    WorkKind::Model {
        model: MODEL.into(),
        adapter: None,
    }
}

pub fn query<'a>(work: &'a WorkKind, prefix_blocks: &'a [u64]) -> RouteQuery<'a> {
    RouteQuery {
        work,
        prefix_blocks,
        input_tokens: 1_000,
        output_tokens: 100,
        tried: &[],
        avoid_domain: None,
    }
}
