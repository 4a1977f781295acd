//! Leaving targets get no new work, and get it again when they no longer leave.

#[path = "world/catalog.rs"]
#[allow(dead_code)] // The randomised run uses the rest.
mod catalog;

use crocusyard_base::prelude::*;
use crocusyard_base::random::seeded_rng;
use crocusyard_catalog::prelude::*;
use crocusyard_core::prelude::*;
use crocusyard_membership::prelude::*;
use crocusyard_routing::prelude::*;
use crocusyard_wire::prelude::*;
use std::sync::Arc;

/// A host with one plain target.
struct TestHost {
    state: HostState,
    now: ClockTime,
    sequence: u64,
}

impl TestHost {
    fn new() -> Self {
        let mut host = Self {
            state: HostState::new(catalog::settings(0, 1)),
            now: ClockTime::from_secs(1),
            sequence: 0,
        };
        host.load(catalog::catalog(0, 1, 0));
        host
    }

    fn feed(&mut self, event: HostEvent) -> Vec<HostEffect> {
        let mut out = Vec::new();
        crocusyard_core::features::reduce(&mut self.state, self.now, event, &mut out);
        out
    }

    fn load(&mut self, catalog: CatalogSpec) {
        let catalog = Arc::new(catalog);
        self.feed(HostEvent::CatalogLoaded {
            catalog,
            unix_ms: 0,
        });
    }

    fn list(&mut self, leaving: &[&str]) {
        self.feed(HostEvent::HostsListed {
            hosts: Vec::new(),
            leaving_targets: leaving.iter().map(|name| TargetName::new(name)).collect(),
        });
    }

    fn report(&mut self, incarnation: u64) {
        self.sequence += 1;
        self.feed(HostEvent::LoadReported {
            report: Box::new(LoadReport {
                target: TargetName::new("p0"),
                sequence: self.sequence,
                incarnation,
                age: ClockTime::ZERO,
                running: 0,
                waiting: 0,
                queued_tokens: 0,
                prefill_rate: 1.0,
                decode_rate: 1.0,
                memory_bytes: 0,
                copies: Vec::new(),
                leaving: false,
            }),
            finished: Vec::new(),
        });
    }

    fn is_used(&self) -> bool {
        let work = WorkKind::Service {
            service: ServiceName::new("bookings"),
        };
        let query = RouteQuery {
            work: &work,
            prefix: &[],
            input_tokens: 1,
            output_tokens: 1,
            tried: &[],
            avoid: None,
        };
        let choice = self
            .state
            .routes
            .choose(self.now, &query, &mut seeded_rng(1));
        matches!(choice, RouteChoice::Target { .. })
    }
}

/// Guards against new work for a target that the host list named before its first report (M6).
#[test]
fn listed_leave_holds_before_and_after_the_first_report() {
    let mut host = TestHost::new();
    assert!(host.is_used());
    host.list(&["p0"]);
    assert!(!host.is_used());
    host.report(1);
    assert!(!host.is_used());
}

/// Guards against a restarted target that stays out for good, by the list or late packets (M2).
#[test]
fn restarted_target_is_used_again() {
    let mut host = TestHost::new();
    host.report(1);
    host.list(&["p0"]);
    assert!(!host.is_used());
    host.report(2);
    assert!(host.is_used(), "the list lags behind the restart");
    let packet = Packet {
        sender: catalog::host_name(1),
        incarnation: 1,
        sequence: 1,
        busy: 0,
        messages: vec![WireMessage::Targets(vec![TargetNotice {
            target: TargetName::new("p0"),
            incarnation: 1,
            leaving: true,
        }])],
    };
    let from = catalog::gossip_address(1);
    host.feed(HostEvent::Membership(MembershipEvent::Received {
        from,
        packet,
    }));
    assert!(host.is_used(), "the packet is about the earlier process");
}

/// Guards against new work for a listed target when a preset no longer drains it (M6).
#[test]
fn listed_leave_outlasts_a_drain() {
    let mut host = TestHost::new();
    host.report(1);
    let mut drained = catalog::catalog(0, 1, 0);
    drained.presets[0].drained.push(TargetName::new("p0"));
    host.load(drained);
    assert!(!host.is_used());
    host.list(&["p0"]);
    host.load(catalog::catalog(0, 1, 0));
    assert!(!host.is_used());
}

/// Guards against a target that is lost because the lagging list named its new process (M2), and
/// against a later leave of that process that is no news to the other hosts (M6).
#[test]
fn unconfirmed_leave_is_dropped() {
    let mut host = TestHost::new();
    host.report(2);
    host.list(&["p0"]);
    host.list(&[]);
    assert!(!host.is_used(), "other hosts may read an older list");
    host.now += ClockTime::from_secs(31);
    host.list(&[]);
    assert!(host.is_used());
    let target = TargetName::new("p0");
    assert!(!host.state.members.targets.contains_key(&target));
    host.list(&["p0"]);
    assert!(!host.is_used(), "the same process leaves later");
    assert!(
        host.state.members.targets[&target].leaving,
        "peers are told"
    );
}
