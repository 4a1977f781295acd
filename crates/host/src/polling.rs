//! Polling of the targets' load, of the engines' cache events and of the host list.

use crate::actor::{HostActor, HostsRead, LoadRead, TICK_INTERVAL};
use actix::{AsyncContext, Context, Handler, Message};
use crocusyard_base::prelude::*;
use crocusyard_border::engine::{CacheChange, CacheEvents, CopyPhase, LoadCounts, LoadStatus};
use crocusyard_border::platform::HostListing;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_membership::prelude::ListedHost;
use crocusyard_moves::prelude::{FinishedOrder, OrderResult};
use crocusyard_routing::prelude::*;
use crocusyard_settings::prelude::HostSettings;
use crocusyard_targets::management::{read_cache_events, read_load_since, LoadAnswer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Poll interval of idle targets, as a multiple of the interval of active ones.
const IDLE_INTERVAL_FACTOR: f64 = 4.0;
/// Longest interval between checks for targets that are due for a load read.
///
/// The default poll intervals are multiples of it. Reads that start together share their wake-ups,
/// which cost more processor time than the reports themselves.
const LOAD_POLL_STEP: ClockTime = ClockTime::from_ms(100);
/// Time for which a target counts as active after an attempt was sent to it.
const ACTIVE_WINDOW: ClockTime = ClockTime::from_secs(10);

/// Returns the poll intervals and the largest poll rate from the settings.
pub(crate) fn poll_tuning(settings: &HostSettings) -> PollTuning {
    let active_interval = settings.requests.load_poll_ms;
    PollTuning {
        active_interval,
        idle_interval: active_interval.scale(IDLE_INTERVAL_FACTOR),
        active_window: ACTIVE_WINDOW,
        max_rate: f64::from(settings.requests.load_polls),
    }
}

impl HostActor {
    /// Reads the load of the targets that are due, if at least one poll step has passed.
    ///
    /// It runs on the reducer's tick, because a separate timer would also wake the host between
    /// ticks.
    pub(crate) fn poll_targets_on_tick(&mut self, context: &mut Context<Self>) {
        let step = LOAD_POLL_STEP.min(self.settings.requests.load_poll_ms);
        let tick_ms = u64::try_from(TICK_INTERVAL.as_millis()).unwrap_or(u64::MAX);
        self.ticks_since_poll += 1;
        if self.ticks_since_poll * tick_ms >= step.as_ms() {
            self.ticks_since_poll = 0;
            self.poll_targets(context);
        }
    }

    /// Reads the load of the targets that are due.
    pub(crate) fn poll_targets(&mut self, context: &mut Context<Self>) {
        let timeout = Duration::from_millis(self.settings.requests.load_poll_ms.as_ms());
        let now = self.now();
        for target in self.poll_schedule.take_due(now) {
            let Some(address) = self.address_of(&target) else {
                continue;
            };
            let client = self.pools.client(address);
            let actor = context.address();
            let base = self.tagged_reports.get(&target).cloned();
            actix_rt::spawn(async move {
                let tag = base.as_ref().map(|base| &*base.tag);
                let answer = read_load_since(&client, address, tag, timeout).await.ok();
                actor.do_send(LoadRead {
                    target,
                    answer,
                    base,
                });
            });
        }
    }

    /// Turns the answer to a load read into an event; returns `None` if the read failed.
    pub(crate) fn load_event(&mut self, read: LoadRead) -> Option<HostEvent> {
        let (report, finished) = match read.answer? {
            LoadAnswer::Whole(mut status) => {
                let tag = status.residency.take();
                let finished = finished_orders(&status);
                let report = load_report(read.target, *status);
                if let Some(tag) = tag {
                    let base = TaggedReport {
                        tag,
                        report: report.clone(),
                        finished: finished.clone(),
                    };
                    self.tagged_reports
                        .insert(report.target.clone(), Arc::new(base));
                } else {
                    self.tagged_reports.remove(&report.target);
                }
                (report, finished)
            }
            LoadAnswer::Counts(counts) => {
                // The counts refer to the report whose tag this read sent, even if a later read has
                // replaced it.
                let base = read.base?;
                (report_with_counts(&base, &counts), base.finished.clone())
            }
        };
        let report = Box::new(report);
        Some(HostEvent::LoadReported { report, finished })
    }

    /// Reads the new cache events of the active engines. Prefix hints of others would expire
    /// unused.
    pub(crate) fn poll_caches(&mut self, context: &mut Context<Self>) {
        let timeout = Duration::from_millis(self.settings.requests.load_poll_ms.as_ms());
        let resync_targets = self.state.routes.cache_resync_targets();
        for target in self.poll_schedule.active_targets(self.now()) {
            let Some(spec) = self.state.routes.spec_of(&target).cloned() else {
                continue;
            };
            if spec.kind != TargetKind::Engine {
                continue;
            }
            let Some(report) = self.state.routes.report_of(&spec.name) else {
                continue;
            };
            let full = resync_targets.contains(&spec.name);
            let after = if full {
                0
            } else {
                self.last_cache_sequences
                    .get(&spec.name)
                    .copied()
                    .unwrap_or(0)
            };
            let (client, address) = (self.pools.client(spec.address), spec.address);
            let (target, incarnation) = (spec.name.clone(), report.incarnation);
            let actor = context.address();
            actix_rt::spawn(async move {
                let read = read_cache_events(&client, address, after, timeout).await;
                if let Ok(events) = read {
                    actor.do_send(CacheRead {
                        target,
                        incarnation,
                        events,
                        full,
                    });
                }
            });
        }
    }

    /// Reads the host list from the platform.
    pub(crate) fn poll_hosts(&mut self, context: &mut Context<Self>) {
        let platform = self.platform.clone();
        let actor = context.address();
        actix_rt::spawn(async move {
            let listing = platform.list_hosts().await;
            if let Err(error) = &listing {
                log::warn!("the host list cannot be read from the platform: {error}");
            }
            actor.do_send(HostsRead(listing.ok()));
        });
    }
}

/// A full load report with a tag. Later reads send the tag and may get only the changed counts.
pub(crate) struct TaggedReport {
    /// Tag that the target gave the report.
    tag: String,
    report: LoadReport,
    /// Orders that the target listed as carried out.
    finished: Vec<FinishedOrder>,
}

/// Returns a tagged report with its counts replaced by newer ones.
fn report_with_counts(base: &TaggedReport, counts: &LoadCounts) -> LoadReport {
    LoadReport {
        sequence: counts.sequence,
        age: ClockTime::from_ms(counts.age_ms),
        running: counts.running,
        waiting: counts.waiting,
        queued_tokens: counts.queued_tokens,
        prefill_rate: counts.prefill_rate,
        decode_rate: counts.decode_rate,
        ..base.report.clone()
    }
}

/// Returns the orders that a target lists as carried out.
fn finished_orders(status: &LoadStatus) -> Vec<FinishedOrder> {
    let ids = status.finished_orders.iter();
    ids.filter_map(|id| OrderId::parse(id))
        .map(|id| FinishedOrder {
            id,
            result: OrderResult::Done,
        })
        .collect()
}

/// Converts a target's load answer into a load report.
fn load_report(target: TargetName, status: LoadStatus) -> LoadReport {
    let copies = status.copies.into_iter().map(|copy| CopyReport {
        name: copy.name.into(),
        memory_bytes: copy.memory_bytes,
        state: match copy.state {
            CopyPhase::Loading => CopyState::Loading,
            CopyPhase::Resident => CopyState::Resident,
            CopyPhase::Unloading => CopyState::Unloading,
        },
    });
    LoadReport {
        target,
        sequence: status.sequence,
        incarnation: status.incarnation,
        age: ClockTime::from_ms(status.age_ms),
        running: status.running,
        waiting: status.waiting,
        queued_tokens: status.queued_tokens,
        prefill_rate: status.prefill_rate,
        decode_rate: status.decode_rate,
        memory_bytes: status.memory_bytes,
        copies: copies.collect(),
        leaving: status.leaving,
    }
}

/// Cache events read from an engine.
#[derive(Message)]
#[rtype(result = "()")]
struct CacheRead {
    target: TargetName,
    incarnation: u64,
    events: CacheEvents,
    /// Whether the events were read from the start, after a gap in their sequence.
    full: bool,
}

impl Handler<CacheRead> for HostActor {
    type Result = ();

    fn handle(&mut self, read: CacheRead, context: &mut Context<Self>) {
        let Some(first) = read.events.events.first().map(|event| event.sequence) else {
            return;
        };
        if let Some(last) = read.events.events.last() {
            self.last_cache_sequences
                .insert(read.target.clone(), last.sequence);
        }
        let events = read.events.events.iter().map(|event| match event.change {
            CacheChange::Stored => CacheEvent::Stored { block: event.block },
            CacheChange::Evicted => CacheEvent::Evicted { block: event.block },
        });
        let batch = CacheBatch {
            target: read.target,
            incarnation: read.incarnation,
            first,
            events: events.collect(),
            full: read.full,
        };
        self.apply_event(HostEvent::CacheReported(batch), context);
    }
}

/// Converts the host list into an event. Hosts without a valid gossip address are left out.
pub(crate) fn hosts_event(listing: &HostListing, state: &HostState) -> HostEvent {
    let hosts = listing.hosts.iter().filter_map(|host| {
        let domain = DomainName::new(&host.domain);
        Some(ListedHost {
            host: HostName::new(&host.name),
            address: host.gossip_address.as_ref()?.parse().ok()?,
            caller_address: caller_address(host),
            region: region_of(state, &domain),
            domain,
            leaving: host.leaving,
        })
    });
    let leaving = listing.targets.iter().filter(|target| target.leaving);
    HostEvent::HostListReceived {
        hosts: hosts.collect(),
        leaving_targets: leaving
            .map(|target| TargetName::new(&target.name))
            .collect(),
    }
}

/// Returns the address of a listed host for callers; `None` if it has no valid one.
fn caller_address(host: &crocusyard_border::platform::ListedHost) -> Option<SocketAddr> {
    host.caller_address.as_ref()?.parse().ok()
}

/// Returns the region of a failure domain; an undeclared domain counts as part of this host's region.
fn region_of(state: &HostState, domain: &DomainName) -> RegionName {
    let regions = &state.catalog.catalog.regions;
    let found = regions
        .iter()
        .find(|region| region.domains.contains(domain));
    found.map_or_else(
        || state.identity.region.clone(),
        |region| region.name.clone(),
    )
}
