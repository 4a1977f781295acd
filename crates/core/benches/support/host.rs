//! A host that holds the lease, with fakes around it, for measuring ticks, reports and requests.

#[path = "../../tests/world/catalog.rs"]
#[allow(dead_code)] // The randomised test uses the other functions.
mod catalog;
#[path = "../../../moves/tests/support/table.rs"]
#[allow(dead_code)] // The tests of the moves use the other functions.
mod table;

use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::*;
use crocusyard_core::features::reduce;
use crocusyard_core::prelude::{HostEffect, HostEvent, HostState};
use crocusyard_moves::prelude::{MoveEffect, MoveEvent};
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two ticks.
const TICK: ClockTime = ClockTime::from_ms(20);
/// Ticks between two load reports of a target, so that it reports once a second.
pub const REPORT_TICKS: usize = 50;
/// Chunks in the answer to a request.
const CHUNKS: u32 = 8;

/// A host under measurement, with its fakes.
pub struct BenchHost {
    pub state: HostState,
    pub now: ClockTime,
    table: table::FakeTable,
    catalog: CatalogSpec,
    ticks: usize,
    requests: u64,
}

impl BenchHost {
    pub fn new(targets: usize, models: usize) -> Self {
        let plain = targets / 7;
        let mut host = Self {
            state: HostState::new(catalog::settings(0, 1)),
            now: ClockTime::from_secs(1),
            table: table::FakeTable::default(),
            catalog: catalog::catalog(targets - plain, plain, models),
            ticks: 0,
            requests: 0,
        };
        let catalog = Arc::new(host.catalog.clone());
        host.feed(HostEvent::CatalogLoaded {
            catalog,
            unix_ms: 0,
        });
        // 30 s are enough to take the lease and to plan.
        for _ in 0..30 * REPORT_TICKS {
            host.feed_due_reports();
            host.tick();
        }
        host
    }

    fn feed(&mut self, event: HostEvent) -> Vec<HostEffect> {
        let mut out = Vec::new();
        reduce(&mut self.state, self.now, event, &mut out);
        out
    }

    /// Answers the table calls of the move feature, so that the host takes and keeps the lease.
    fn answer(&mut self, effects: Vec<HostEffect>) {
        for effect in effects {
            if let HostEffect::Move(MoveEffect::CallTable { call, request }) = effect {
                let answer = self.table.perform(&request);
                let event = MoveEvent::TableAnswered { call, answer };
                let effects = self.feed(HostEvent::Move(event));
                self.answer(effects);
            }
        }
    }

    /// Advances the time by one tick and returns the cost of the tick.
    pub fn tick(&mut self) -> Duration {
        self.now += TICK;
        self.ticks += 1;
        let begin = Instant::now();
        let effects = self.feed(HostEvent::Tick);
        let cost = begin.elapsed();
        self.answer(effects);
        cost
    }

    /// Returns the next load report of a target.
    fn report_of(&self, index: usize) -> HostEvent {
        let spec = &self.catalog.targets[index];
        let copies = (0..spec.memory_bytes / 30).map(|number| {
            let models = &self.catalog.models;
            let model = &models[(index * 3 + number as usize) % models.len()];
            CopyReport {
                name: Arc::from(model.name.as_str()),
                memory_bytes: model.memory_bytes,
                state: CopyState::Resident,
            }
        });
        HostEvent::LoadReported {
            report: Box::new(LoadReport {
                target: spec.name.clone(),
                sequence: self.ticks as u64 + 1,
                incarnation: 1,
                age: ClockTime::ZERO,
                running: 1,
                waiting: 0,
                queued_tokens: 0,
                prefill_rate: 20_000.0,
                decode_rate: 50.0,
                memory_bytes: spec.memory_bytes,
                copies: copies.collect(),
                leaving: false,
            }),
            finished: Vec::new(),
        }
    }

    /// Passes the reports that are due at this tick to the host; returns their cost and number.
    pub fn feed_due_reports(&mut self) -> (Duration, u32) {
        self.feed_reports(self.ticks % REPORT_TICKS)
    }

    /// Passes the reports of one of [`REPORT_TICKS`] parts of the targets to the host; returns
    /// their cost and number.
    pub fn feed_reports(&mut self, part: usize) -> (Duration, u32) {
        let due = (part..self.catalog.targets.len()).step_by(REPORT_TICKS);
        let reports: Vec<HostEvent> = due.map(|index| self.report_of(index)).collect();
        let (mut cost, count) = (Duration::ZERO, reports.len() as u32);
        for report in reports {
            let begin = Instant::now();
            let effects = self.feed(report);
            cost += begin.elapsed();
            self.answer(effects);
        }
        (cost, count)
    }

    /// Runs one completion from its arrival to its end; returns whether it was dispatched.
    pub fn request(&mut self) -> bool {
        self.requests += 1;
        let key = RequestKey(self.requests);
        let model = self.requests as usize % self.catalog.models.len().min(54);
        let spec = Box::new(RequestSpec {
            id: RequestId(Arc::from("request")),
            tenant: TenantName::new("tenant"),
            class: ClassName::new("class"),
            work: WorkKind::Model {
                model: self.catalog.models[model].name.clone(),
                adapter: None,
            },
            idempotent: true,
            idempotency_key: None,
            digest: BodyDigest(u128::from(self.requests)),
            prefix: Vec::new(),
            input_tokens: 100,
            output_tokens: CHUNKS,
            deadline: self.now + ClockTime::from_secs(10),
            resume: None,
        });
        let effects = self.feed(HostEvent::Request(RequestEvent::Arrived { key, spec }));
        let attempt = effects.iter().find_map(|effect| match effect {
            HostEffect::Request(RequestEffect::Dispatch { attempt, .. }) => Some(*attempt),
            _ => None,
        });
        let Some(attempt) = attempt else { return false };
        let chunk = |index| RequestEvent::AttemptChunk {
            attempt,
            index,
            data: Bytes::from_static(b"token"),
        };
        let end = AttemptEnd::CompleteWith { chunks: CHUNKS };
        let events = [
            RequestEvent::AttemptSent { attempt },
            RequestEvent::AttemptHead { attempt },
        ];
        let events = events.into_iter().chain((0..CHUNKS).map(chunk));
        for event in events.chain([RequestEvent::AttemptEnded { attempt, end }]) {
            black_box(self.feed(HostEvent::Request(event)));
        }
        true
    }
}
