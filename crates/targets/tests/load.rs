//! Tests of load reads with the tag of a known report; each names the failure that it guards
//! against.

use crocusyard_base::prelude::*;
use crocusyard_border::engine::{EngineOrder, LoadStatus, OrderAction};
use crocusyard_standins::prelude::*;
use crocusyard_targets::management::{read_load, read_load_since, send_order, LoadAnswer};
use crocusyard_targets::pool::new_client;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an engine with the model `chalk` in memory.
fn start_chalk_engine() -> RunningServer {
    start_engine(EngineOptions {
        resident: vec![("chalk".to_owned(), 1 << 30)],
        ..EngineOptions::default()
    })
    .expect("the engine starts")
}

/// Reads the whole load report.
async fn read_whole(address: SocketAddr) -> LoadStatus {
    let client = new_client(TIMEOUT);
    let status = read_load(&client, address, TIMEOUT).await;
    status.expect("the load report is read")
}

/// Reads the load report with a known tag.
async fn read_since(address: SocketAddr, known: Option<&str>) -> LoadAnswer {
    let client = new_client(TIMEOUT);
    let answer = read_load_since(&client, address, known, TIMEOUT).await;
    answer.expect("the load report is read")
}

/// Guards against load reads of needless size: copies that are known must not be sent again.
#[actix_rt::test]
async fn read_with_known_tag_returns_counts_only() {
    let engine = start_chalk_engine();
    let status = read_whole(engine.address).await;
    match read_since(engine.address, status.residency.as_deref()).await {
        LoadAnswer::Counts(counts) => assert!(counts.sequence > status.sequence),
        LoadAnswer::Whole(status) => panic!("expected only the counts: {status:?}"),
    }
}

/// Guards against a wrong memory ledger: changed copies must be sent whole to a reader with an old
/// tag.
#[actix_rt::test]
async fn changed_copies_are_sent_whole() {
    let engine = start_chalk_engine();
    let before = read_whole(engine.address).await;
    let order = EngineOrder {
        order_id: OrderId(1).to_string(),
        fencing: 1,
        action: OrderAction::UnloadModel,
        name: "chalk".to_owned(),
        memory_bytes: 1 << 30,
        load_ms: 0,
    };
    let client = new_client(TIMEOUT);
    let sent = send_order(&client, engine.address, &order, TIMEOUT).await;
    sent.expect("the order is accepted");
    match read_since(engine.address, before.residency.as_deref()).await {
        LoadAnswer::Whole(after) => {
            assert_ne!(after.residency, before.residency);
            assert_ne!(after.copies, before.copies);
        }
        LoadAnswer::Counts(counts) => panic!("expected the whole report: {counts:?}"),
    }
}

/// Guards against taking the copies of a dead process for those of its successor: a process must not
/// recognise the tag of another one.
#[actix_rt::test]
async fn tag_of_another_process_is_not_known() {
    let first = start_chalk_engine();
    let tag = read_whole(first.address).await.residency;
    actix_rt::time::sleep(Duration::from_millis(2)).await;
    let second = start_chalk_engine();
    let answer = read_since(second.address, tag.as_deref()).await;
    assert!(
        matches!(answer, LoadAnswer::Whole(_)),
        "answer of another process: {answer:?}"
    );
}

/// Guards against failed reads of targets that do not support tags: they ignore the query and send
/// the whole report.
#[actix_rt::test]
async fn target_without_tags_sends_the_whole_report() {
    let service = start_plain(PlainOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        service_ms: 0,
    })
    .expect("the service starts");
    let answer = read_since(service.address, Some("0123abcd")).await;
    assert!(
        matches!(&answer, LoadAnswer::Whole(status) if status.residency.is_none()),
        "answer of a target without tags: {answer:?}"
    );
}

/// Guards against request injection: a tag comes from the target and must not add to the query or to
/// the head of the request.
#[actix_rt::test]
async fn malformed_tag_is_not_sent_back() {
    let engine = start_chalk_engine();
    let long = "a".repeat(10_000);
    for tag in ["", "a b", "a&after=1", "a\r\nx: y", &long] {
        let answer = read_since(engine.address, Some(tag)).await;
        assert!(
            matches!(answer, LoadAnswer::Whole(_)),
            "answer to a read with the tag {tag}: {answer:?}"
        );
    }
}
