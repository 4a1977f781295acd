//! Configurations that are written while the store leaves calls unanswered, and soon after that.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{call, route, EntryHost, POLL_INTERVAL};
use hyper::StatusCode;
use std::time::{Duration, Instant};

/// Time after a disruption of the store from which the usual bounds hold.
const STABLE_TIME: Duration = Duration::from_millis(3_000);
/// Time within which a configuration has to be in force.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Time that a host needs to read a configuration from a store without faults.
const READ_TIME: Duration = Duration::from_millis(500);

const FIRST_ROUTE: TestRoute = route("/first/", RouteKind::Idempotent, 2);
const SECOND_ROUTE: TestRoute = route("/second/", RouteKind::Idempotent, 2);
const THIRD_ROUTE: TestRoute = route("/third/", RouteKind::Idempotent, 2);

/// A store with one target, and hosts that have read the first configuration.
struct Deployment {
    store: StoreStandin,
    _target: TargetStandin,
    hosts: Vec<EntryHost>,
}

impl Deployment {
    async fn start(host_count: usize) -> Self {
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        store.put_configuration(&configuration(1, &[FIRST_ROUTE]));
        let target = TargetStandin::start("i-1")
            .await
            .expect("the target stand-in cannot start");
        store.put_target(&target.name(), &target.record("s"));
        let hosts: Vec<EntryHost> = (1..=host_count)
            .map(|number| EntryHost::start(&format!("edge-{number}"), store.address))
            .collect();
        for host in &hosts {
            host.wait_ready().await;
        }
        actix_rt::time::sleep(READ_TIME).await;
        Self {
            store,
            _target: target,
            hosts,
        }
    }

    /// Returns the hosts that do not serve a route by `bound`.
    async fn hosts_without_route(&self, path: &str, bound: Instant) -> Vec<String> {
        let mut late = Vec::new();
        for (number, host) in self.hosts.iter().enumerate() {
            let mut attempt = 0;
            loop {
                let id = format!("{number}{attempt}");
                let status = call(host, path, &id).await.map(|answer| answer.0);
                if status == Some(StatusCode::OK) {
                    break;
                }
                if Instant::now() >= bound {
                    late.push(format!("edge-{}: {status:?}", number + 1));
                    break;
                }
                attempt += 1;
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
        }
        late
    }

    /// Writes a configuration while the store has a fault for `outage`, and another one when it has
    /// been stable again for `STABLE_TIME`; both have to be in force on all hosts in time.
    async fn check_outage(&self, fault: StoreFault, outage: Duration) {
        self.store.set_fault(fault);
        // Wakes the calls that wait for changes; their answers are lost.
        let second = configuration(2, &[FIRST_ROUTE, SECOND_ROUTE]);
        self.store.put_configuration(&second);
        actix_rt::time::sleep(outage).await;
        self.store.set_fault(StoreFault::None);
        let stable = Instant::now() + STABLE_TIME;
        let late = self.hosts_without_route("/second/1", stable).await;
        assert!(
            late.is_empty(),
            "configuration 2, written in an outage of {outage:?}, is not in force {STABLE_TIME:?} after it: {late:?}"
        );
        actix_rt::time::sleep(stable.saturating_duration_since(Instant::now())).await;
        let third = configuration(3, &[FIRST_ROUTE, SECOND_ROUTE, THIRD_ROUTE]);
        self.store.put_configuration(&third);
        let bound = Instant::now() + APPLY_BOUND;
        let late = self.hosts_without_route("/third/1", bound).await;
        assert!(
            late.is_empty(),
            "configuration 3, written {STABLE_TIME:?} after an outage of {outage:?}, is not in force {APPLY_BOUND:?} later: {late:?}"
        );
    }
}

/// Guards against the review's first CONFIG fault: a host waited 26.5 s for the answer to a call that
/// the store had received in an outage.
#[actix_rt::test]
async fn configuration_is_in_force_after_a_silent_outage_of_the_store() {
    let deployment = Deployment::start(3).await;
    let outage = Duration::from_millis(4_500);
    deployment.check_outage(StoreFault::Silent, outage).await;
}

/// Guards against the same fault where only the answer to the waiting call is lost, so that no other
/// call of the host fails.
#[actix_rt::test]
async fn configuration_is_in_force_after_a_single_lost_answer() {
    let deployment = Deployment::start(1).await;
    let outage = Duration::from_millis(20);
    deployment.check_outage(StoreFault::Silent, outage).await;
}

/// Guards against the same fault when outages follow each other, each within the recovery from the one
/// before.
#[actix_rt::test]
async fn configuration_is_in_force_after_repeated_silent_outages() {
    let deployment = Deployment::start(1).await;
    for _ in 0..3 {
        deployment.store.set_fault(StoreFault::Silent);
        actix_rt::time::sleep(Duration::from_millis(1_700)).await;
        deployment.store.set_fault(StoreFault::None);
        actix_rt::time::sleep(Duration::from_millis(900)).await;
    }
    let outage = Duration::from_millis(700);
    deployment.check_outage(StoreFault::Silent, outage).await;
}
