//! Tests that leaving targets get no new work, and get it again when they no longer leave.

#[path = "world/catalog.rs"]
#[allow(dead_code)] // The randomised test uses the other functions.
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

    /// Puts a catalogue in force.
    fn load(&mut self, catalog: CatalogSpec) {
        let catalog = Arc::new(catalog);
        self.feed(HostEvent::CatalogLoaded {
            catalog,
            unix_ms: 0,
        });
    }

    /// Receives a host list that names these targets as leaving.
    fn receive_host_list(&mut self, leaving: &[&str]) {
        self.feed(HostEvent::HostListReceived {
            hosts: Vec::new(),
            leaving_targets: leaving.iter().map(|name| TargetName::new(name)).collect(),
        });
    }

    /// Receives a report of a process that does not say that it is leaving.
    fn report(&mut self, incarnation: u64) {
        self.receive_report(incarnation, false);
    }

    /// Receives a report of a process that says that it is leaving.
    fn report_leaving(&mut self, incarnation: u64) {
        self.receive_report(incarnation, true);
    }

    /// Receives the next load report of a process of the target.
    fn receive_report(&mut self, incarnation: u64, leaving: bool) {
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

    /// Receives an update from a peer that a process of the target is leaving.
    fn receive_update(&mut self, incarnation: u64, sequence: u64) {
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

    /// Returns whether new work is routed to the target.
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

/// Guards against new work for a target that the host list named before its first report.
#[test]
fn listed_leave_holds_before_and_after_the_first_report() {
    let mut host = TestHost::new();
    assert!(host.is_used());
    host.receive_host_list(&["p0"]);
    assert!(!host.is_used());
    host.report(1);
    assert!(!host.is_used());
}

/// Guards against a restarted target that stays out of routing because of the lagging host list or
/// late updates.
#[test]
fn restarted_target_is_used_again() {
    let mut host = TestHost::new();
    host.report(1);
    host.receive_host_list(&["p0"]);
    assert!(!host.is_used());
    host.report(2);
    assert!(
        host.is_used(),
        "a listed leave of the earlier process keeps the restarted target out"
    );
    host.receive_update(1, 1);
    assert!(
        host.is_used(),
        "an update about the earlier process keeps the restarted target out"
    );
}

/// Guards against new work for a listed target after the preset no longer drains it.
#[test]
fn listed_leave_outlasts_a_drain() {
    let mut host = TestHost::new();
    host.report(1);
    let mut drained = catalog::catalog(0, 1, 0);
    drained.presets[0].drained.push(TargetName::new("p0"));
    host.load(drained);
    assert!(!host.is_used());
    host.receive_host_list(&["p0"]);
    host.load(catalog::catalog(0, 1, 0));
    assert!(!host.is_used());
}

/// Guards against a target that stays out of routing because the lagging host list was taken to
/// name its new process, and against a later leave of that process that other hosts take for
/// an old update.
#[test]
fn unconfirmed_leave_is_dropped() {
    let mut host = TestHost::new();
    host.report(2);
    host.receive_host_list(&["p0"]);
    host.receive_host_list(&[]);
    assert!(
        !host.is_used(),
        "the leave must stay while other hosts may read an older list"
    );
    host.now += ClockTime::from_secs(31);
    host.receive_host_list(&[]);
    assert!(host.is_used());
    let target = TargetName::new("p0");
    let dropped = host.state.members.targets[&target].update.clone();
    assert!(!dropped.leaving);
    host.receive_host_list(&["p0"]);
    assert!(
        !host.is_used(),
        "a later leave of the same process must keep it out"
    );
    let update = &host.state.members.targets[&target].update;
    assert!(update.leaving, "the later leave is not announced to peers");
    assert!(
        update.sequence > dropped.sequence,
        "peers would take the later leave for the dropped one"
    );
}

/// Guards against new work for a leaving process that started while this host was paused, if the
/// host list names its target before its first load report is read.
#[test]
fn listed_leave_after_a_pause_applies_to_the_next_reported_process() {
    let mut host = TestHost::new();
    host.report(1);
    host.now += ClockTime::from_secs(10);
    host.receive_host_list(&["p0"]);
    assert!(!host.is_used());
    let target = TargetName::new("p0");
    let announced = |host: &TestHost| host.state.members.targets[&target].update.incarnation;
    assert_eq!(
        announced(&host),
        1,
        "peers may know no later process either"
    );
    host.report(2);
    assert!(!host.is_used());
    assert_eq!(announced(&host), 2);
    host.report(3);
    assert!(
        host.is_used(),
        "the leave must not apply to a later process"
    );
}

/// Guards against a restarted target that stays out of routing because this host reads its load
/// reports rarely.
#[test]
fn listed_leave_does_not_apply_to_a_process_reported_much_later() {
    let mut host = TestHost::new();
    host.report(1);
    host.now += ClockTime::from_secs(10);
    host.receive_host_list(&["p0"]);
    host.now += ClockTime::from_secs(10);
    assert!(!host.is_used());
    host.report(2);
    assert!(host.is_used());
}

/// Guards against a leave of a process that is dropped together with the leave of the process
/// before it.
#[test]
fn reported_leave_outlasts_the_leave_of_the_former_process() {
    let mut host = TestHost::new();
    host.report(1);
    host.receive_update(1, 10);
    host.report_leaving(2);
    let target = TargetName::new("p0");
    let update = &host.state.members.targets[&target].update;
    assert!(update.leaving && update.incarnation == 2);
}

/// Guards against a leave of a process that is dropped by the age of an earlier update of the same
/// process.
#[test]
fn later_update_of_a_leave_is_kept_as_long_as_the_first() {
    let mut host = TestHost::new();
    host.report(2);
    host.receive_update(2, 10);
    assert!(!host.is_used());
    host.now += ClockTime::from_secs(20);
    host.receive_update(2, 50);
    host.now += ClockTime::from_secs(20);
    host.receive_host_list(&[]);
    assert!(!host.is_used(), "the later update is only 20 s old");
    host.now += ClockTime::from_secs(11);
    host.receive_host_list(&[]);
    assert!(host.is_used());
}

/// Guards against a dropped leave that comes back by an update of a peer that has not dropped it
/// yet.
#[test]
fn dropped_leave_is_not_revived_by_a_peer() {
    let mut host = TestHost::new();
    host.report(2);
    host.receive_update(2, 10);
    host.now += ClockTime::from_secs(31);
    host.receive_host_list(&[]);
    assert!(host.is_used());
    host.receive_update(2, 10);
    assert!(
        host.is_used(),
        "a repeated update of the dropped leave keeps the target out"
    );
    host.receive_update(2, 50);
    assert!(!host.is_used(), "a later leave must keep the target out");
}
