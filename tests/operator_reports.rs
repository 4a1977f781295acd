//! What operators of similar systems have reported, played against entry host processes.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{
    call, get, route, stop, stream, EntryHost, StreamEnd, POLL_INTERVAL, SETTLE_LIMIT,
};
use hyper::body::Bytes;
use hyper::StatusCode;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Timeout of the routes of long calls, ms.
const LONG_TIMEOUT_MS: u64 = 6_000;

const ROUTES: [TestRoute; 4] = [
    route("/once/", RouteKind::NonIdempotent, 1),
    route("/many/", RouteKind::Idempotent, 2),
    route(STREAM_PATH, RouteKind::Resumable, 2),
    TestRoute {
        timeout_ms: Some(LONG_TIMEOUT_MS),
        ..route("/long/", RouteKind::NonIdempotent, 1)
    },
];

/// A store, targets of the service `s` and entry hosts.
struct Deployment {
    store: StoreStandin,
    targets: Vec<TargetStandin>,
    hosts: Vec<EntryHost>,
}

impl Deployment {
    async fn start(targets: usize, hosts: usize) -> Self {
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        store.put_configuration(&configuration(1, &ROUTES));
        let log = ArrivalLog::default();
        let mut standins = Vec::new();
        for number in 0..targets {
            let target = TargetStandin::start_with_log(&format!("i-{number}"), log.clone())
                .await
                .expect("the target stand-in cannot start");
            store.put_target(&target.name(), &target.record("s"));
            standins.push(target);
        }
        let names = (0..hosts).map(|number| format!("edge-{number}"));
        let hosts: Vec<EntryHost> = names
            .map(|name| EntryHost::start(&name, store.address))
            .collect();
        for host in &hosts {
            host.wait_ready().await;
        }
        Self {
            store,
            targets: standins,
            hosts,
        }
    }

    /// Sends a call to the first host; returns its status and body.
    async fn call(&self, path: &str, id: &str) -> (StatusCode, String) {
        let answer = call(&self.hosts[0], path, id).await;
        let (status, body) = answer.expect("the call got no answer");
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    /// Returns how often a request reached the target with this number.
    fn arrivals(&self, target: usize, id: &str) -> usize {
        let name = self.targets[target].name();
        let arrivals = self.targets[0].arrivals();
        let arrivals = arrivals.borrow();
        arrivals
            .iter()
            .filter(|arrival| arrival.target == name && arrival.id.starts_with(id))
            .count()
    }
}

/// Guards against calls to a target after it has said in an answer that it is leaving: no host that
/// has heard of it sends it anything more, although its row in the store calls it ready.
#[actix_rt::test]
async fn target_that_says_it_is_leaving_gets_no_call() {
    let deployment = Deployment::start(2, 2).await;
    deployment.targets[0].set_fault(TargetFault::SaysLeaving);
    for number in 0..20 {
        deployment.call("/once/1", &format!("a{number}")).await;
    }
    // Time for the messages between the hosts.
    actix_rt::time::sleep(Duration::from_millis(600)).await;
    let at_first = deployment.arrivals(0, "a");
    assert!(at_first <= 1, "{at_first} calls reached the leaving target");
    assert_eq!(at_first, 1, "no call reached the target at all");
    for number in 0..20 {
        let answer = call(&deployment.hosts[1], "/once/1", &format!("b{number}")).await;
        let (status, _) = answer.expect("the call got no answer");
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(
        deployment.arrivals(0, "b"),
        0,
        "the other host has not heard"
    );
}

/// Guards against a host that starts after a target has said that it is leaving, and calls it.
#[actix_rt::test]
async fn host_that_starts_later_hears_of_leaving_targets() {
    let deployment = Deployment::start(2, 1).await;
    deployment.targets[0].set_fault(TargetFault::SaysLeaving);
    for number in 0..20 {
        deployment.call("/once/1", &format!("a{number}")).await;
    }
    assert_eq!(deployment.arrivals(0, "a"), 1);
    let next = EntryHost::start("edge-1", deployment.store.address);
    next.wait_ready().await;
    // Time for the question of the host and the answer.
    actix_rt::time::sleep(Duration::from_millis(1_000)).await;
    for number in 0..20 {
        let answer = call(&next, "/once/1", &format!("b{number}")).await;
        let (status, _) = answer.expect("the call got no answer");
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(deployment.arrivals(0, "b"), 0, "the host has not heard");
}

/// Guards against requests to a target within the time for which it wanted none, and against callers
/// that are held or get no time to come back although no other target can take their calls.
#[actix_rt::test]
async fn target_that_wants_a_pause_gets_none_and_callers_learn_when_to_return() {
    const PAUSE_MS: u64 = 2_000;
    let deployment = Deployment::start(1, 1).await;
    deployment.targets[0].set_fault(TargetFault::WantsPause(PAUSE_MS));
    let start = Instant::now();
    let (status, _) = deployment.call("/once/1", "first").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    deployment.targets[0].set_fault(TargetFault::None);
    while start.elapsed() < Duration::from_millis(PAUSE_MS - 300) {
        let sent = Instant::now();
        let retry_after = entry_support::refused_until(&deployment.hosts[0], "/once/1", "p").await;
        let waited = sent.elapsed();
        assert!(waited < Duration::from_millis(300), "held for {waited:?}");
        let left = Duration::from_millis(PAUSE_MS).saturating_sub(start.elapsed());
        let retry_after = retry_after.expect("the call was not refused with a time to return");
        assert!(
            retry_after.abs_diff(left) < Duration::from_millis(400),
            "{retry_after:?} instead of {left:?}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(deployment.arrivals(0, "p"), 0, "requests within the pause");
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(deployment.call("/once/1", "after").await.0, StatusCode::OK);
}

/// Guards against a second copy of an answer that is taken for the answer to the next request, and
/// against an earlier refusal, written once more, that is taken for a promise: the call has run, so
/// that it must not be refused, nor run at a second target.
#[actix_rt::test]
async fn repeated_answers_are_not_believed() {
    for first in [TargetFault::Full, TargetFault::None] {
        let deployment = Deployment::start(1, 1).await;
        deployment.targets[0].set_fault(first);
        deployment.call("/once/1", "first").await;
        deployment.targets[0].set_fault(TargetFault::RepeatsAnswers);
        // The target is avoided as full for a moment.
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let (status, body) = deployment.call("/once/1", "second").await;
        assert_eq!(
            (status, body.as_str()),
            (StatusCode::BAD_GATEWAY, ""),
            "after {first:?}"
        );
        assert_eq!(deployment.targets[0].runs("second"), 1);
        let other = TargetStandin::start_with_log("i-9", deployment.targets[0].arrivals())
            .await
            .expect("the target stand-in cannot start");
        deployment.store.put_target("i-9", &other.record("s"));
        actix_rt::time::sleep(Duration::from_millis(900)).await;
        let runs = deployment.targets[0].runs("second");
        assert_eq!(runs, 1, "the call ran at a second target");
    }
}

/// Guards against the text or head of an error in the middle of a stream, and against a stream that
/// ends as if it were complete, when a stream breaks off and the next target answers with an error.
#[actix_rt::test]
async fn error_of_the_next_target_stays_out_of_the_stream() {
    for fault in [TargetFault::Fails, TargetFault::Full, TargetFault::NoSeal] {
        let deployment = Deployment::start(2, 1).await;
        deployment.targets[1].set_fault(fault);
        deployment.targets[0].set_fault(TargetFault::BreaksStreams);
        let path = format!("{STREAM_PATH}1");
        for number in 0..6 {
            let id = format!("r{number}");
            let answer = stream(&deployment.hosts[0], &path, &id, Duration::from_secs(4)).await;
            if answer.status != StatusCode::OK {
                continue;
            }
            let events: String = (1..=CUT_EVENT_COUNT)
                .map(|event| event_text(&id, event))
                .collect();
            assert_eq!(answer.text, events, "{fault:?}");
            assert_eq!(answer.end, StreamEnd::Broken, "{fault:?}");
        }
    }
}

/// Guards against a stream that ends inside an event and is taken for a complete one, also if its
/// end is marked: another target goes on after the last whole event.
#[actix_rt::test]
async fn stream_that_ends_inside_an_event_is_resumed() {
    let deployment = Deployment::start(2, 1).await;
    for target in &deployment.targets {
        target.set_fault(TargetFault::EndsInsideEvent);
    }
    let path = format!("{STREAM_PATH}1");
    let limit = Duration::from_secs(6);
    let answer = stream(&deployment.hosts[0], &path, "twice", limit).await;
    assert_eq!(answer.end, StreamEnd::Broken, "{}", answer.text);
    deployment.targets[1].set_fault(TargetFault::None);
    for number in 0..4 {
        let id = format!("r{number}");
        let answer = stream(&deployment.hosts[0], &path, &id, limit).await;
        let events: String = (1..=EVENT_COUNT)
            .map(|event| event_text(&id, event))
            .collect();
        assert_eq!(answer.text, events);
        assert_eq!(answer.end, StreamEnd::Complete);
    }
}

/// Guards against slow but sound streams that are cut.
#[actix_rt::test]
async fn slow_stream_is_delivered() {
    let deployment = Deployment::start(1, 1).await;
    deployment.targets[0].set_fault(TargetFault::SlowEvents(380));
    let path = format!("{STREAM_PATH}1");
    let answer = stream(&deployment.hosts[0], &path, "r", Duration::from_secs(6)).await;
    let events: String = (1..=EVENT_COUNT)
        .map(|event| event_text("r", event))
        .collect();
    assert_eq!((answer.text, answer.end), (events, StreamEnd::Complete));
}

/// Guards against streams without end: a target that sends a byte now and then, and a caller that
/// does not read. Both end with the time-out of their route.
#[actix_rt::test]
async fn stalled_streams_end_with_their_time_out() {
    const MARGIN: Duration = Duration::from_millis(1_000);
    let time_out = Duration::from_millis(STREAM_TIMEOUT_MS);
    let deployment = Deployment::start(1, 1).await;
    deployment.targets[0].set_fault(TargetFault::TricklesStreams);
    let path = format!("{STREAM_PATH}1");
    let start = Instant::now();
    let answer = stream(&deployment.hosts[0], &path, "r", time_out * 3).await;
    assert!(start.elapsed() < time_out + MARGIN, "{:?}", start.elapsed());
    assert_eq!(answer.end, StreamEnd::Broken);

    deployment.targets[0].set_fault(TargetFault::LongEvents);
    let conn = entry_support::open_unread_stream(&deployment.hosts[0], &path, "u");
    actix_rt::time::sleep(time_out + MARGIN).await;
    let (_, metrics) = get(deployment.hosts[0].metrics, "/metrics").await;
    let metrics = String::from_utf8_lossy(&metrics);
    assert!(
        metrics.contains("crocusyard_entry_in_progress 0"),
        "the stream of a caller that does not read is still open"
    );
    let arrivals = deployment.targets[0].arrivals();
    let arrivals = arrivals.borrow();
    let run = arrivals.iter().find(|arrival| arrival.id == "u");
    let run = run.expect("the call reached the target");
    assert!(run.ended.is_some(), "the target still works on the stream");
    drop(conn);
}

/// Guards against calls that are cut off without an answer because they were accepted just before or
/// during a planned stop.
#[actix_rt::test]
async fn calls_of_new_connections_are_answered_during_a_planned_stop() {
    let deployment = Deployment::start(4, 1).await;
    let host = &deployment.hosts[0];
    let start = Instant::now();
    let callers = (0..24).map(|caller| async move {
        let mut cut = Vec::new();
        let mut number = 0;
        while start.elapsed() < Duration::from_millis(2_500) {
            number += 1;
            let id = format!("c{caller}-{number}");
            if entry_support::is_cut_off(host, "/once/1", &id).await {
                cut.push((id, start.elapsed()));
            }
        }
        cut
    });
    let stopping = async {
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        stop(host);
    };
    let (cut, ()) =
        futures_util::future::join(futures_util::future::join_all(callers), stopping).await;
    let cut: Vec<_> = cut.into_iter().flatten().collect();
    let first = cut.first();
    assert!(
        cut.is_empty(),
        "{} calls were cut off, {first:?}",
        cut.len()
    );
}

/// Guards against calls that come late in a planned stop, are passed on and then cut off without an
/// answer when the process ends.
#[actix_rt::test]
async fn late_calls_of_a_planned_stop_get_an_answer() {
    const LATEST_MS: u64 = 7_000;
    let deployment = Deployment::start(4, 1).await;
    let host = &deployment.hosts[0];
    for target in &deployment.targets {
        target.set_fault(TargetFault::Slow(5_500));
    }
    stop(host);
    let calls = (0..LATEST_MS / 500).map(|number| async move {
        actix_rt::time::sleep(Duration::from_millis(number * 500)).await;
        let id = format!("late-{number}");
        let is_cut = entry_support::is_cut_off_within(host, "/long/1", &id, LONG_TIMEOUT_MS).await;
        is_cut.then_some(id)
    });
    let cut: Vec<String> = futures_util::future::join_all(calls)
        .await
        .into_iter()
        .flatten()
        .collect();
    assert!(cut.is_empty(), "cut off without an answer: {cut:?}");
}

/// Guards against hosts that end, lose their targets or stop following the list because another
/// writer left an odd entry in it.
#[actix_rt::test]
async fn odd_entries_of_other_writers_change_nothing() {
    let mut deployment = Deployment::start(1, 1).await;
    let address = crocusyard_testbed::ports::unused_address();
    let odd = odd_target_records(address);
    for (number, bytes) in odd.iter().enumerate() {
        deployment
            .store
            .put_target_bytes(&format!("odd-{number}"), bytes);
        deployment
            .store
            .put_target_bytes(&format!("odd-again-{number}"), bytes);
    }
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    for number in 0..40 {
        let answer = deployment.call("/once/1", &format!("r{number}")).await;
        assert_eq!(answer.0, StatusCode::OK, "call {number}");
    }
    // A host that starts reads the whole table.
    let host = EntryHost::start("edge-late", deployment.store.address);
    host.wait_ready().await;
    let answer = call(&host, "/once/1", "late").await.expect("an answer");
    assert_eq!(answer.0, StatusCode::OK);
    // Later changes are still followed.
    let target = TargetStandin::start("i-new").await.expect("a target");
    deployment.store.put_target("i-new", &target.record("s"));
    deployment.store.remove_target("i-0");
    actix_rt::time::sleep(Duration::from_millis(3_500)).await;
    for host in [&deployment.hosts[0], &host] {
        let answer = call(host, "/once/1", "changed").await.expect("an answer");
        assert_eq!(answer.0, StatusCode::OK);
    }
    assert_eq!(target.runs("changed"), 2);
    let ended = deployment.hosts[0].child.try_wait();
    assert!(
        matches!(ended, Ok(None)),
        "the process has ended: {ended:?}"
    );
}

/// Guards against a process that ends because of one malformed message of another host or of a
/// target.
#[actix_rt::test]
async fn malformed_messages_end_no_process() {
    let mut deployment = Deployment::start(1, 1).await;
    let host = &deployment.hosts[0];
    let socket = UdpSocket::bind((host.addresses.entry.ip(), 0)).expect("a free port");
    let peer = (host.addresses.entry.ip(), host.addresses.first_port);
    let mut bytes = Vec::new();
    for number in 0u32..3_000 {
        // A simple generator is enough to reach all kinds of messages.
        let next = number.wrapping_mul(2_654_435_761) >> 13;
        bytes.push(next as u8);
        if bytes.len() > 64 {
            bytes.clear();
        }
        let kind = [(number % 12) as u8];
        let message = [&kind[..], &bytes, &[0xff; 9]].concat();
        socket.send_to(&message, peer).expect("a datagram");
    }
    for record in ["[]", "{}", "null", "{\"service\":1}"] {
        let value = serde_json::from_str(record).expect("JSON");
        deployment.store.put_target("odd", &value);
    }
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(deployment.call("/once/1", "r").await.0, StatusCode::OK);
    let ended = deployment.hosts[0].child.try_wait();
    assert!(
        matches!(ended, Ok(None)),
        "the process has ended: {ended:?}"
    );
}

/// Guards against work that is given up or started again elsewhere because its target is silent in
/// the store for a while.
#[actix_rt::test]
async fn running_work_outlives_the_row_of_its_target() {
    let deployment = Deployment::start(2, 1).await;
    for target in &deployment.targets {
        target.set_fault(TargetFault::SlowEvents(300));
    }
    let path = format!("{STREAM_PATH}1");
    let running = stream(&deployment.hosts[0], &path, "r", Duration::from_secs(6));
    let removal = async {
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        for target in &deployment.targets {
            deployment.store.remove_target(&target.name());
        }
    };
    let (answer, ()) = futures_util::future::join(running, removal).await;
    assert_eq!(answer.end, StreamEnd::Complete);
    let runs: usize = deployment.arrivals(0, "r") + deployment.arrivals(1, "r");
    assert_eq!(runs, 1, "the work was started again");
}

/// Guards against a target that has left and is in use again after a host has restarted.
#[actix_rt::test]
async fn target_that_left_stays_out_after_a_restart_of_the_host() {
    let mut deployment = Deployment::start(2, 1).await;
    let leaving = leaving_target_record("s", deployment.targets[0].address);
    deployment.store.put_target("i-0", &leaving);
    actix_rt::time::sleep(Duration::from_millis(2_000)).await;
    deployment.hosts.clear();
    let host = EntryHost::start("edge-0", deployment.store.address);
    host.wait_ready().await;
    deployment.hosts.push(host);
    for number in 0..20 {
        let id = format!("r{number}");
        assert_eq!(deployment.call("/once/1", &id).await.0, StatusCode::OK);
    }
    assert_eq!(deployment.arrivals(0, "r"), 0);
}

/// Guards against a target that stops in the middle of the head of its answer and closes: callers got
/// a 200 with an empty or short body, framed as a whole one.
#[actix_rt::test]
async fn answer_cut_in_its_head_is_no_answer() {
    const STEP: usize = 8;
    let deployment = Deployment::start(0, 1).await;
    let target = CuttingTarget::start()
        .await
        .expect("the target stand-in cannot start");
    let head = cut_answer_head("c000");
    let cuts = (0..head.len()).step_by(STEP);
    // The whole head is an answer with an empty body, so that the target itself is sound.
    let lengths = cuts.chain([head.len() - 1, head.len()]);
    for (number, length) in lengths.enumerate() {
        // A target whose answer was lost gets calls again after its restart.
        let name = format!("i-{number}");
        deployment
            .store
            .put_target(&name, &target_record("s", target.address));
        target.set_length(length);
        for (kind, path) in ["/once/", "/many/", STREAM_PATH].into_iter().enumerate() {
            let (id, path) = (format!("c{number:02}{kind}"), format!("{path}{number}"));
            let answer = call_target(&deployment, &target, &path, &id).await;
            let status = answer.map(|(status, _)| status);
            if length == head.len() {
                assert_eq!(status, Some(StatusCode::OK), "{path}");
            } else {
                let is_failure = status.is_none_or(|status| status.is_server_error());
                assert!(is_failure, "{path}, {length} bytes: {status:?}");
            }
        }
        deployment.store.remove_target(&name);
    }
}

/// Guards against an answer of a target in trouble whose number is no status of a final answer: callers
/// got it as the answer to their request.
#[actix_rt::test]
async fn answer_without_a_final_status_is_no_answer() {
    let deployment = Deployment::start(0, 1).await;
    let target = CuttingTarget::start()
        .await
        .expect("the target stand-in cannot start");
    let statuses = [
        "000 ", "099 Odd", "101 Odd", "199 Odd", "600 Odd", "999 Odd",
    ];
    for (number, status) in statuses.into_iter().enumerate() {
        // A target whose answer was lost gets calls again after its restart.
        let name = format!("i-{number}");
        deployment
            .store
            .put_target(&name, &target_record("s", target.address));
        target.set_status(status);
        for (kind, path) in ["/once/", "/many/", STREAM_PATH].into_iter().enumerate() {
            let (id, path) = (format!("c{number:02}{kind}"), format!("{path}{number}"));
            let answer = call_target(&deployment, &target, &path, &id).await;
            let status = answer.map(|(status, _)| status);
            assert_eq!(status, Some(StatusCode::BAD_GATEWAY), "{path}");
        }
        deployment.store.remove_target(&name);
    }
}

/// Sends a call until it reaches a target of which the host may not have read the row yet.
async fn call_target(
    deployment: &Deployment,
    target: &CuttingTarget,
    path: &str,
    id: &str,
) -> Option<(StatusCode, Bytes)> {
    let before = target.requests();
    let start = Instant::now();
    loop {
        let answer = call(&deployment.hosts[0], path, id).await;
        if target.requests() > before {
            return answer;
        }
        assert!(
            start.elapsed() < SETTLE_LIMIT,
            "no call reaches the target: {path}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
