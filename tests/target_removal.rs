//! Targets that leave while the store fails for some of the hosts, or for all of them.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{call, route, EntryHost};
use hyper::StatusCode;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after the removal of a target within which requests may still reach it.
const REMOVAL_BOUND: Duration = Duration::from_millis(2_000);
/// Time after that for which calls are sent, so that a late use of the target shows.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(40);
/// Interval between two writes of each target.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Number of targets; their heartbeats are spread over the interval.
const TARGET_COUNT: usize = 6;

const ROUTES: [TestRoute; 1] = [route("/once/", RouteKind::NonIdempotent, 1)];

/// A store with an address for each of two hosts, and targets that write heartbeats.
struct Deployment {
    /// The store, at the address that the first host uses.
    first_store: StoreStandin,
    /// The store, at the address that the second host uses.
    second_store: StoreStandin,
    targets: Vec<TargetStandin>,
    /// For each target, whether it writes heartbeats.
    writes: Vec<Rc<Cell<bool>>>,
    first: EntryHost,
    _second: EntryHost,
}

impl Deployment {
    async fn start() -> Self {
        let first_store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        let second_store = first_store
            .open_address()
            .await
            .expect("the store stand-in cannot listen on a second address");
        first_store.put_configuration(&configuration(1, &ROUTES));
        let (mut targets, mut writes) = (Vec::new(), Vec::new());
        for number in 0..TARGET_COUNT {
            let target = TargetStandin::start(&format!("i-{number}"))
                .await
                .expect("the target stand-in cannot start");
            first_store.put_target(&target.name(), &target.record("s"));
            let writing = Rc::new(Cell::new(true));
            actix_rt::spawn(write_heartbeats(
                first_store.clone(),
                target.clone(),
                HEARTBEAT * number as u32 / TARGET_COUNT as u32,
                writing.clone(),
            ));
            targets.push(target);
            writes.push(writing);
        }
        let first = EntryHost::start("edge-1", first_store.address);
        let second = EntryHost::start("edge-2", second_store.address);
        first.wait_ready().await;
        second.wait_ready().await;
        // Time for heartbeats of the targets and messages between the hosts.
        actix_rt::time::sleep(HEARTBEAT * 2).await;
        Self {
            first_store,
            second_store,
            targets,
            writes,
            first,
            _second: second,
        }
    }

    /// Removes the row of the first target, which goes on serving and writes nothing more.
    fn remove_first_target(&self) {
        self.writes[0].set(false);
        self.first_store.remove_target(&self.targets[0].name());
    }

    /// Sends calls to the first host until `end`; returns how many were answered with success.
    async fn send_calls(&self, label: &str, end: Instant) -> (usize, usize) {
        let (mut sent, mut answered) = (0, 0);
        while Instant::now() < end {
            let id = format!("{label}{sent}");
            let answer = call(&self.first, "/once/1", &id).await;
            sent += 1;
            answered += usize::from(answer.is_some_and(|answer| answer.0 == StatusCode::OK));
            actix_rt::time::sleep(CALL_PAUSE).await;
        }
        (sent, answered)
    }

    /// Checks that no request that the first host sends later than the bound after the removal of
    /// the first target reaches it; called right after the removal.
    async fn check_no_late_arrivals(&self) {
        actix_rt::time::sleep(REMOVAL_BOUND).await;
        let bound = Instant::now();
        let (sent, answered) = self.send_calls("r", bound + CALL_TIME).await;
        assert_eq!(answered, sent, "calls failed after the removal");
        let arrivals = self.targets[0].arrivals();
        let late: Vec<Duration> = arrivals
            .borrow()
            .iter()
            .filter(|arrival| arrival.at >= bound)
            .map(|arrival| REMOVAL_BOUND + arrival.at.duration_since(bound))
            .collect();
        assert!(
            late.is_empty(),
            "{} of {sent} requests reached the removed target later than {REMOVAL_BOUND:?}: {late:?}",
            late.len()
        );
    }
}

/// Writes the record of a target at its interval while `writing` is set.
async fn write_heartbeats(
    store: StoreStandin,
    target: TargetStandin,
    delay: Duration,
    writing: Rc<Cell<bool>>,
) {
    actix_rt::time::sleep(delay).await;
    for sequence in 2u64.. {
        if writing.get() {
            store.put_target(&target.name(), &target.record_write("s", sequence));
        }
        actix_rt::time::sleep(HEARTBEAT).await;
    }
}

/// Removes a target at the end of an outage of the store for one host only. No request that this
/// host sends later than the bound may reach the target.
async fn check_removal_after_outage_of_one_host(outage: Duration) {
    let deployment = Deployment::start().await;
    deployment.first_store.set_fault(StoreFault::Down);
    actix_rt::time::sleep(outage).await;
    deployment.first_store.set_fault(StoreFault::None);
    deployment.remove_first_target();
    deployment.check_no_late_arrivals().await;
}

/// Guards against a host that takes a short outage of the store for itself alone for an outage in
/// which targets lose their rows, and goes on using a removed target.
#[actix_rt::test]
async fn removal_after_a_short_outage_of_one_host_is_used_in_time() {
    check_removal_after_outage_of_one_host(Duration::from_millis(1_600)).await;
}

/// Guards against the same after an outage that is long enough for targets to lose their rows, had
/// it been one for them too.
#[actix_rt::test]
async fn removal_after_a_long_outage_of_one_host_is_used_in_time() {
    check_removal_after_outage_of_one_host(Duration::from_millis(5_000)).await;
}

/// Guards against a removal that is held back because no target has written for a while: entries
/// change only when more than the number of the write changes.
#[actix_rt::test]
async fn removal_while_nothing_else_is_written_is_used_in_time() {
    let deployment = Deployment::start().await;
    for writing in &deployment.writes {
        writing.set(false);
    }
    actix_rt::time::sleep(HEARTBEAT * 4).await;
    deployment.remove_first_target();
    deployment.check_no_late_arrivals().await;
}

/// Guards against hosts without targets after an outage of the store: the rows of all targets
/// lapse, and the targets write them again within 2 s of its end.
#[actix_rt::test]
async fn targets_whose_rows_lapse_in_an_outage_stay_in_use() {
    let deployment = Deployment::start().await;
    let stores = [&deployment.first_store, &deployment.second_store];
    for store in stores {
        store.set_fault(StoreFault::Down);
    }
    for writing in &deployment.writes {
        writing.set(false);
    }
    actix_rt::time::sleep(HEARTBEAT * 3).await;
    for target in &deployment.targets {
        deployment.first_store.remove_target(&target.name());
    }
    actix_rt::time::sleep(HEARTBEAT).await;
    for store in stores {
        store.set_fault(StoreFault::None);
    }
    let returned = Instant::now();
    let (sent, answered) = deployment
        .send_calls("a", returned + Duration::from_millis(700))
        .await;
    for writing in &deployment.writes {
        writing.set(true);
    }
    let (sent_later, answered_later) = deployment
        .send_calls("b", returned + Duration::from_millis(4_000))
        .await;
    assert_eq!(
        (answered, answered_later),
        (sent, sent_later),
        "calls failed after the outage"
    );
}
