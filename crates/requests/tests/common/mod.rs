//! A host's request reducer with its route table and queue, for the tests and benches.
#![allow(dead_code)] // Each test binary uses only some of the items.

use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_requests::prelude::*;
use crocusyard_routing::prelude::*;
use std::sync::Arc;

pub const MODEL: &str = "model-a";
pub const SERVICE: &str = "bookings";

/// A request reducer with the state that it borrows from other features.
pub struct TestHost {
    pub now: ClockTime,
    pub state: RequestState,
    pub routes: RouteTable,
    pub queue: AdmissionQueue,
    pub rng: SeededRng,
}

impl TestHost {
    pub fn new(seed: u64, targets: &[TargetSpec]) -> Self {
        let domain = DomainName::new("d0");
        let mut host = Self {
            now: ClockTime::from_secs(1),
            state: RequestState::new(RequestSettings {
                id_prefix: seed,
                ..RequestSettings::default()
            }),
            routes: RouteTable::new(RouteSettings { domain }),
            queue: AdmissionQueue::new(),
            rng: seeded_rng(seed),
        };
        host.routes.set_targets(targets);
        let tenant = TenantSpec {
            name: TenantName::new("tenant"),
            weight: 1,
            key_env: None,
            in_flight: 100_000,
        };
        let class = ClassSpec {
            name: ClassName::new("class"),
            priority: 0,
            deadline_ms: 10_000,
            aging_ms: 1_000,
            queue_limit: 100_000,
        };
        host.queue.set_limits(&[tenant], &[class]);
        host.apply_reports(targets, 1, &[]);
        host
    }

    /// Applies load reports that show no load, for all targets except the given ones.
    pub fn apply_reports(&mut self, targets: &[TargetSpec], sequence: u64, except: &[&TargetName]) {
        for spec in targets.iter().filter(|spec| !except.contains(&&spec.name)) {
            self.routes
                .apply_report(self.now, report_of(spec, sequence));
        }
    }

    /// Reduces an event and returns its effects.
    pub fn reduce(&mut self, event: RequestEvent) -> Vec<RequestEffect> {
        let mut out = Vec::new();
        self.reduce_into(event, &mut out);
        out
    }

    /// Reduces an event and appends its effects to `out`.
    pub fn reduce_into(&mut self, event: RequestEvent, out: &mut Vec<RequestEffect>) {
        let mut context = RequestContext {
            now: self.now,
            routes: &mut self.routes,
            queue: &mut self.queue,
            rng: &mut self.rng,
        };
        reduce(&mut self.state, &mut context, event, out);
    }

    /// Advances the clock by `ms`, ticks once and returns the effects.
    pub fn advance(&mut self, ms: u64) -> Vec<RequestEffect> {
        self.now += ClockTime::from_ms(ms);
        self.reduce(RequestEvent::Tick)
    }

    pub fn arrive(&mut self, key: u64, spec: RequestSpec) -> Vec<RequestEffect> {
        self.reduce(RequestEvent::Arrived {
            key: RequestKey(key),
            spec: Box::new(spec),
        })
    }

    pub fn reply_to_claim(&mut self, key: u64, reply: ClaimReply) -> Vec<RequestEffect> {
        self.reduce(RequestEvent::ClaimReplied {
            key: RequestKey(key),
            reply,
        })
    }

    pub fn chunk(&mut self, attempt: AttemptId, index: u32) -> Vec<RequestEffect> {
        self.reduce(RequestEvent::AttemptChunk {
            attempt,
            index,
            data: bytes::Bytes::from_static(b"x"),
        })
    }

    /// Feeds the events that an attempt was sent and that the head of its answer arrived.
    pub fn start_answer(&mut self, attempt: AttemptId) {
        self.reduce(RequestEvent::AttemptSent { attempt });
        self.reduce(RequestEvent::AttemptHead { attempt });
    }

    pub fn end(&mut self, attempt: AttemptId, end: AttemptEnd) -> Vec<RequestEffect> {
        self.reduce(RequestEvent::AttemptEnded { attempt, end })
    }
}

/// Returns a load report that shows no load; on an engine, the model is resident.
pub fn report_of(spec: &TargetSpec, sequence: u64) -> LoadReport {
    let copy = CopyReport {
        name: Arc::from(MODEL),
        memory_bytes: 1,
        state: CopyState::Resident,
    };
    LoadReport {
        target: spec.name.clone(),
        sequence,
        incarnation: 1,
        age: ClockTime::ZERO,
        running: 0,
        waiting: 0,
        queued_tokens: 0,
        prefill_rate: 10_000.0,
        decode_rate: 50.0,
        memory_bytes: 10,
        copies: match spec.kind {
            TargetKind::Engine => vec![copy],
            TargetKind::Plain => Vec::new(),
        },
        leaving: false,
    }
}

/// Returns engines `e0`, `e1`, ... and instances `p0`, `p1`, ... of one plain service. The
/// instances with odd numbers keep execution records.
pub fn targets(engines: usize, plain: usize) -> Vec<TargetSpec> {
    let spec = |name: String, kind, number: usize| TargetSpec {
        name: TargetName::new(&name),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: DomainName::new(&format!("d{}", number % 2)),
        kind,
        service: (kind == TargetKind::Plain).then(|| ServiceName::new(SERVICE)),
        memory_bytes: 10,
        concurrency: 1_000,
        checks_fencing: false,
        keeps_records: kind == TargetKind::Plain && number % 2 == 1,
    };
    let engines = (0..engines).map(|n| spec(format!("e{n}"), TargetKind::Engine, n));
    let plain = (0..plain).map(|n| spec(format!("p{n}"), TargetKind::Plain, n));
    engines.chain(plain).collect()
}

fn request_spec(work: WorkKind, now: ClockTime, digest: u128) -> RequestSpec {
    RequestSpec {
        id: RequestId(Arc::from("request")),
        tenant: TenantName::new("tenant"),
        class: ClassName::new("class"),
        work,
        idempotent: true,
        idempotency_key: None,
        digest: BodyDigest(digest),
        prefix: Vec::new(),
        input_tokens: 10,
        output_tokens: 10,
        deadline: now + ClockTime::from_secs(10),
        resume: None,
    }
}

/// Returns a streamed completion, which may run more than once.
pub fn stream_spec(now: ClockTime, digest: u128) -> RequestSpec {
    let work = WorkKind::Model {
        model: ModelName::new(MODEL),
        adapter: None,
    };
    request_spec(work, now, digest)
}

/// Returns a call of the plain service that may not run twice, with an optional idempotency key.
pub fn booking_spec(now: ClockTime, digest: u128, key: Option<&str>) -> RequestSpec {
    let work = WorkKind::Service {
        service: ServiceName::new(SERVICE),
    };
    RequestSpec {
        idempotent: false,
        idempotency_key: key.map(Arc::from),
        ..request_spec(work, now, digest)
    }
}

/// Attempt, target and resume position of a dispatch, see [`RequestEffect::Dispatch`].
pub type Dispatched = (AttemptId, TargetName, Option<(AttemptId, u32)>);

/// Returns the first dispatch among `effects`.
pub fn first_dispatch(effects: &[RequestEffect]) -> Option<Dispatched> {
    effects.iter().find_map(|effect| match effect {
        RequestEffect::Dispatch {
            attempt,
            target,
            resume,
            ..
        } => Some((*attempt, target.clone(), *resume)),
        _ => None,
    })
}

/// Returns the code and outcome of the first refusal among `effects`.
pub fn first_refusal(effects: &[RequestEffect]) -> Option<(RefusalCode, RequestOutcome)> {
    effects.iter().find_map(|effect| match effect {
        RequestEffect::Refuse { refusal, .. } => Some((refusal.code, refusal.outcome)),
        _ => None,
    })
}
