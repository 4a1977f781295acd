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
        self.send_report(incarnation, false);
    }

    fn report_leaving(&mut self, incarnation: u64) {
        self.send_report(incarnation, true);
    }

    fn send_report(&mut self, incarnation: u64, leaving: bool) {
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
                leaving,
            }),
            finished: Vec::new(),
        });
    }

    /// Takes word of a peer that a process of the target is leaving.
    fn hear(&mut self, incarnation: u64, sequence: u64) {
        let peer = ListedHost {
            host: catalog::host_name(1),
            address: catalog::gossip_address(1),
            caller_address: None,
            domain: catalog::domain(1),
            region: RegionName::new(catalog::REGION),
            leaving: false,
        };
        let hosts = vec![peer];
        self.feed(HostEvent::Membership(MembershipEvent::HostList { hosts }));
        let packet = Packet {
            sender: catalog::host_name(1),
            incarnation: 1,
            sequence: 1,
            utilisation: 0,
            messages: vec![WireMessage::Targets(vec![TargetUpdate {
                target: TargetName::new("p0"),
                incarnation,
                sequence,
                leaving: true,
            }])],
        };
        let from = catalog::gossip_address(1);
        self.feed(HostEvent::Membership(MembershipEvent::PacketReceived {
            from,
            packet,
        }));
    }

    fn is_used(&self) -> bool {
        let work = WorkKind::Service {
            service: ServiceName::new("bookings"),
        };
        let query = RouteQuery {
            work: &work,
            prefix_blocks: &[],
            input_tokens: 1,
            output_tokens: 1,
            tried: &[],
            avoid_domain: None,
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
    host.hear(1, 1);
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
    let dropped = host.state.members.targets[&target].update.clone();
    assert!(!dropped.leaving);
    host.list(&["p0"]);
    assert!(!host.is_used(), "the same process leaves later");
    let told = &host.state.members.targets[&target].update;
    assert!(told.leaving, "peers are told");
    assert!(told.sequence > dropped.sequence, "it is news to them");
}

/// Guards against new work for a process that started while this host was paused, when the host
/// list names it before its first report is read (M6).
#[test]
fn listed_leave_after_a_pause_is_that_of_the_next_report() {
    let mut host = TestHost::new();
    host.report(1);
    host.now += ClockTime::from_secs(10);
    host.list(&["p0"]);
    assert!(!host.is_used());
    let target = TargetName::new("p0");
    let told = |host: &TestHost| host.state.members.targets[&target].update.incarnation;
    assert_eq!(told(&host), 1, "peers may know no later process either");
    host.report(2);
    assert!(!host.is_used());
    assert_eq!(told(&host), 2);
    host.report(3);
    assert!(host.is_used(), "a later process is another one");
}

/// Guards against a restarted target that stays out because this host reads its reports rarely (M2).
#[test]
fn listed_leave_is_not_that_of_a_process_seen_much_later() {
    let mut host = TestHost::new();
    host.report(1);
    host.now += ClockTime::from_secs(10);
    host.list(&["p0"]);
    host.now += ClockTime::from_secs(10);
    assert!(!host.is_used());
    host.report(2);
    assert!(host.is_used());
}

/// Guards against word of a process that is lost with word of the process before it (M6).
#[test]
fn reported_leave_outlasts_word_of_the_former_process() {
    let mut host = TestHost::new();
    host.report(1);
    host.hear(1, 10);
    host.report_leaving(2);
    let target = TargetName::new("p0");
    let told = &host.state.members.targets[&target].update;
    assert!(told.leaving && told.incarnation == 2);
}

/// Guards against a later leave of a process that is dropped with word of an earlier one (M6).
#[test]
fn later_word_of_a_leave_is_held_as_long_as_the_first() {
    let mut host = TestHost::new();
    host.report(2);
    host.hear(2, 10);
    assert!(!host.is_used());
    host.now += ClockTime::from_secs(20);
    host.hear(2, 50);
    host.now += ClockTime::from_secs(20);
    host.list(&[]);
    assert!(!host.is_used(), "the later word is 20 s old");
    host.now += ClockTime::from_secs(11);
    host.list(&[]);
    assert!(host.is_used());
}

/// Guards against a dropped leave that a host that still holds it revives (M2).
#[test]
fn dropped_leave_is_not_revived_by_a_peer() {
    let mut host = TestHost::new();
    host.report(2);
    host.hear(2, 10);
    host.now += ClockTime::from_secs(31);
    host.list(&[]);
    assert!(host.is_used());
    host.hear(2, 10);
    assert!(host.is_used(), "the peer drops the same word later");
    host.hear(2, 50);
    assert!(!host.is_used(), "a later leave is news");
}
