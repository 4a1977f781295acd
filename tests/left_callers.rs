//! Callers that leave while their broken streams wait for a target, or for its answer.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{call, route, stream, EntryHost, StreamEnd, POLL_INTERVAL};
use std::time::{Duration, Instant};

/// Time after which a request whose caller has left must not reach a target, nor be worked on.
const LEFT_LIMIT: Duration = Duration::from_millis(500);
/// Time for which the leaving callers read; their streams break meanwhile.
const READ_TIME: Duration = Duration::from_millis(700);
/// Time for a caller that stays to receive the rest of its stream.
const STREAM_LIMIT: Duration = Duration::from_secs(6);
/// Number of requests that a target runs at once.
const TARGET_SLOTS: usize = 4;
/// Pause between the events of streams that keep a target busy, ms.
const BUSY_PAUSE_MS: u64 = 300;
/// Time for a host to read a change of the target list.
const LIST_TIME: Duration = Duration::from_millis(1_500);

const PATH: &str = "/flow/1";
const CALL_PATH: &str = "/many/1";
const ROUTES: [TestRoute; 2] = [
    route(STREAM_PATH, RouteKind::Resumable, 3),
    route("/many/", RouteKind::Idempotent, 2),
];

/// A host with one target that serves streams.
struct Deployment {
    store: StoreStandin,
    target: TargetStandin,
    host: EntryHost,
}

impl Deployment {
    async fn start() -> Self {
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        store.put_configuration(&configuration(1, &ROUTES));
        let target = TargetStandin::start("i-1")
            .await
            .expect("the target stand-in cannot start");
        store.put_target(&target.name(), &target.record("s"));
        let host = EntryHost::start("edge-1", store.address);
        host.wait_ready().await;
        Self {
            store,
            target,
            host,
        }
    }

    /// Adds a target that breaks streams after some events. As the only idle one, it gets the next
    /// stream.
    async fn add_breaking_target(&self) -> TargetStandin {
        let target = TargetStandin::start_with_log("i-2", self.target.arrivals())
            .await
            .expect("the target stand-in cannot start");
        target.set_fault(TargetFault::BreaksStreams);
        self.store.put_target(&target.name(), &target.record("s"));
        actix_rt::time::sleep(LIST_TIME).await;
        target
    }

    /// Keeps slots of the first target busy for a time.
    async fn keep_busy(&self, slots: usize, time: Duration) {
        let fault = TargetFault::SlowEvents(BUSY_PAUSE_MS);
        self.target.set_fault(fault);
        let streams = (0..slots).map(|number| async move {
            let id = format!("busy{number}");
            self.leave_stream(&id, time).await;
        });
        futures_util::future::join_all(streams).await;
    }

    /// Opens a stream and leaves it after `read_time`, before its end.
    async fn leave_stream(&self, id: &str, read_time: Duration) {
        let answer = stream(&self.host, PATH, id, read_time).await;
        assert_eq!(answer.end, StreamEnd::Open, "{}", answer.text);
    }

    /// Checks that no target works for a request `LEFT_LIMIT` after its caller has left, which is now.
    async fn check_work_ends(&self, id: &str) {
        let left = Instant::now();
        let is_running = || {
            self.arrivals(id)
                .iter()
                .any(|arrival| arrival.ended.is_none())
        };
        while is_running() {
            assert!(
                left.elapsed() < LEFT_LIMIT,
                "a target still works for a caller that left {LEFT_LIMIT:?} ago"
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the arrivals of a request at the targets, in their order.
    fn arrivals(&self, id: &str) -> Vec<TargetArrival> {
        let log = self.target.arrivals();
        let log = log.borrow();
        let found = log.iter().filter(|arrival| arrival.id == id);
        found.cloned().collect()
    }
}

fn targets_of(arrivals: &[TargetArrival]) -> Vec<&str> {
    let names = arrivals.iter().map(|arrival| arrival.target.as_str());
    names.collect()
}

/// Guards against the review's GONE fault: streams that had broken and waited for a free target were
/// sent to it seconds after their callers had left.
#[actix_rt::test]
async fn broken_stream_is_not_resumed_after_its_caller_has_left() {
    let deployment = Deployment::start().await;
    let busy_time = LIST_TIME + READ_TIME + LEFT_LIMIT + READ_TIME;
    let busy = deployment.keep_busy(TARGET_SLOTS, busy_time);
    let others = async {
        let _breaking = deployment.add_breaking_target().await;
        deployment.target.set_fault(TargetFault::None);
        let stays = stream(&deployment.host, PATH, "stays", STREAM_LIMIT);
        let leaves = deployment.leave_stream("leaves", READ_TIME);
        futures_util::join!(stays, leaves).0
    };
    let (_, answer) = futures_util::join!(busy, others);
    assert_eq!(answer.end, StreamEnd::Complete, "{}", answer.text);
    let stayed = deployment.arrivals("stays");
    assert_eq!(targets_of(&stayed), ["i-2", "i-1"]);
    let left = deployment.arrivals("leaves");
    assert_eq!(targets_of(&left), ["i-2"], "the caller had left: {left:?}");
}

/// Guards against the same fault while the next target has the request and has not answered yet: it
/// worked on for a caller that had left.
#[actix_rt::test]
async fn resumed_stream_is_cancelled_when_its_caller_leaves() {
    let deployment = Deployment::start().await;
    let busy = deployment.keep_busy(1, LIST_TIME + READ_TIME);
    let others = async {
        let _breaking = deployment.add_breaking_target().await;
        let slow = TargetFault::Slow(STREAM_TIMEOUT_MS);
        deployment.target.set_fault(slow);
        deployment.leave_stream("leaves", READ_TIME).await;
        deployment.check_work_ends("leaves").await;
        let resumed = deployment.arrivals("leaves");
        assert_eq!(targets_of(&resumed), ["i-2", "i-1"]);
    };
    futures_util::join!(busy, others);
}

/// Guards against calls that wait for a free target, or for its answer, after their callers have left.
#[actix_rt::test]
async fn plain_call_ends_with_its_caller() {
    let deployment = Deployment::start().await;
    let busy = deployment.keep_busy(TARGET_SLOTS, LIST_TIME + READ_TIME + LEFT_LIMIT);
    let waiting = async {
        actix_rt::time::sleep(LIST_TIME).await;
        let call = call(&deployment.host, CALL_PATH, "waits");
        let answer = actix_rt::time::timeout(READ_TIME, call).await;
        assert!(answer.is_err(), "the call did not wait");
    };
    futures_util::join!(busy, waiting);
    actix_rt::time::sleep(LEFT_LIMIT).await;
    let late = deployment.arrivals("waits");
    assert!(late.is_empty(), "the caller had left: {late:?}");

    let slow = TargetFault::Slow(STREAM_TIMEOUT_MS);
    deployment.target.set_fault(slow);
    let call = call(&deployment.host, CALL_PATH, "sent");
    let answer = actix_rt::time::timeout(READ_TIME / 4, call).await;
    assert!(answer.is_err(), "the call was answered");
    assert_eq!(targets_of(&deployment.arrivals("sent")), ["i-1"]);
    deployment.check_work_ends("sent").await;
}
