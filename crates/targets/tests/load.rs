//! Load reads that name the tag of the report that is known.

use crocusyard_base::prelude::*;
use crocusyard_border::engine::{EngineOrder, LoadStatus, OrderAction};
use crocusyard_standins::prelude::*;
use crocusyard_targets::management::{read_load, read_load_since, send_order, LoadAnswer};
use crocusyard_targets::pool::new_client;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);

fn engine() -> RunningServer {
    start_engine(EngineOptions {
        resident: vec![("chalk".to_owned(), 1 << 30)],
        ..EngineOptions::default()
    })
    .expect("the engine starts")
}

async fn whole(address: SocketAddr) -> LoadStatus {
    let client = new_client(TIMEOUT);
    let status = read_load(&client, address, TIMEOUT).await;
    status.expect("the load is read")
}

async fn since(address: SocketAddr, known: Option<&str>) -> LoadAnswer {
    let client = new_client(TIMEOUT);
    let answer = read_load_since(&client, address, known, TIMEOUT).await;
    answer.expect("the load is read")
}

/// Guards the bytes of load reads: copies that are known must not be sent again.
#[actix_rt::test]
async fn known_report_is_answered_by_its_counts() {
    let engine = engine();
    let status = whole(engine.address).await;
    match since(engine.address, status.residency.as_deref()).await {
        LoadAnswer::Counts(counts) => assert!(counts.sequence > status.sequence),
        LoadAnswer::Whole(status) => panic!("whole report: {status:?}"),
    }
}

/// Guards the memory ledger: a change of the copies must never hide behind an old tag.
#[actix_rt::test]
async fn changed_copies_are_sent_whole() {
    let engine = engine();
    let before = whole(engine.address).await;
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
    sent.expect("the order is taken");
    match since(engine.address, before.residency.as_deref()).await {
        LoadAnswer::Whole(after) => {
            assert_ne!(after.residency, before.residency);
            assert_ne!(after.copies, before.copies);
        }
        LoadAnswer::Counts(counts) => panic!("only {counts:?}"),
    }
}

/// Guards against copies of a dead process: a tag of another process must not be recognised.
#[actix_rt::test]
async fn tag_of_another_process_is_not_known() {
    let first = engine();
    let tag = whole(first.address).await.residency;
    actix_rt::time::sleep(Duration::from_millis(2)).await;
    let second = engine();
    let answer = since(second.address, tag.as_deref()).await;
    assert!(matches!(answer, LoadAnswer::Whole(_)), "{answer:?}");
}

/// Guards targets that know no tags: they ignore the query and must be read as before.
#[actix_rt::test]
async fn target_without_tags_sends_the_whole_report() {
    let service = start_plain(PlainOptions {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        service_ms: 0,
    })
    .expect("the service starts");
    let answer = since(service.address, Some("0123abcd")).await;
    assert!(
        matches!(&answer, LoadAnswer::Whole(status) if status.residency.is_none()),
        "{answer:?}"
    );
}

/// Guards the request line: a tag comes from outside and must not add to the query or the head.
#[actix_rt::test]
async fn malformed_tag_is_not_sent_back() {
    let engine = engine();
    let long = "a".repeat(10_000);
    for tag in ["", "a b", "a&after=1", "a\r\nx: y", &long] {
        let answer = since(engine.address, Some(tag)).await;
        assert!(matches!(answer, LoadAnswer::Whole(_)), "{tag}: {answer:?}");
    }
}
