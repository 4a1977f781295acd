//! Tests of plain answers whose connection ends too early; each names the failure that it guards
//! against.

use crocusyard_base::prelude::*;
use crocusyard_targets::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener is bound");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// Sends a plain call to a target that answers with the parts and closes the connection; returns how
/// the attempt ended.
async fn run_plain_call(parts: &'static [&'static str]) -> AttemptResult {
    let (listener, address) = listen().await;
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        for part in parts {
            stream
                .write_all(part.as_bytes())
                .await
                .expect("the part is written");
            stream.flush().await.expect("the part is sent");
            // The pause lets the parts arrive one by one, so that the client's buffer is empty when
            // the connection ends.
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    run_attempt(address, plain_call()).await
}

fn plain_call() -> PlanKind {
    PlanKind::Plain {
        method: awc::http::Method::GET,
        path: "/opening".into(),
        headers: std::sync::Arc::default(),
        body: bytes::Bytes::new(),
        recorded: false,
    }
}

fn completion_call() -> PlanKind {
    PlanKind::Completion {
        path: "/v1/completions",
        body: bytes::Bytes::from_static(b"{}"),
        blocks: "".into(),
        priority: 5,
    }
}

/// Answers the first request on the first connection with these bytes and closes it.
async fn answer_once(listener: TcpListener, answer: &'static str) {
    let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).await;
    let written = stream.write_all(answer.as_bytes()).await;
    written.expect("the answer is written");
}

/// Sends a request to a target; returns how the attempt ended.
async fn run_attempt(address: SocketAddr, kind: PlanKind) -> AttemptResult {
    let (sender, mut updates) = mpsc::unbounded_channel();
    let mut pools = TargetPools::new(sender, Duration::from_secs(1));
    let plan = AttemptPlan {
        attempt: AttemptId(1),
        target: TargetName::new("mostrador-1"),
        kind,
    };
    pools.start(address, plan);
    loop {
        let update: AttemptUpdate = updates.recv().await.expect("an update arrives");
        if let AttemptChange::Ended(result) = update.change {
            return result;
        }
    }
}

/// Guards against a partial answer that counts as complete and would be stored under its key: a
/// body is broken if it ends before its stated length or without its last chunk.
#[actix_rt::test]
async fn answer_that_ends_early_is_broken() {
    let cases: [&[&str]; 4] = [
        &["HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"],
        &["HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", "part"],
        &["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"],
        &[
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\npart\r\n",
        ],
    ];
    for case in cases {
        let result = run_plain_call(case).await;
        assert_eq!(
            result,
            AttemptResult::Broken,
            "answer in the parts {case:?}"
        );
    }
}

/// Guards against a target that stops in the middle of the head of its answer and whose caller gets an
/// empty answer that is framed as a whole one, as a plain answer or as a stream.
#[actix_rt::test]
async fn answer_cut_in_its_head_is_broken() {
    let heads = [
        "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n",
    ];
    for head in heads {
        for length in 0..head.len() {
            for kind in [plain_call(), completion_call()] {
                let (listener, address) = listen().await;
                actix_rt::spawn(answer_once(listener, &head[..length]));
                let result = run_attempt(address, kind).await;
                assert_eq!(result, AttemptResult::Broken, "{:?}", &head[..length]);
            }
        }
    }
}

/// Guards against an answer whose number is no status of a final answer: its caller gets it as the
/// answer, or is told that the request has not run.
#[actix_rt::test]
async fn answer_without_a_final_status_is_broken() {
    for status in ["000", "099", "101", "600", "999", "20", "2000", "2x0"] {
        let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 3\r\n\r\nabc");
        let answer: &'static str = answer.leak();
        for kind in [plain_call(), completion_call()] {
            let (listener, address) = listen().await;
            actix_rt::spawn(answer_once(listener, answer));
            let result = run_attempt(address, kind).await;
            assert_eq!(result, AttemptResult::Broken, "{status}");
        }
    }
}

/// Guards against an interim answer that callers get as the final one.
#[actix_rt::test]
async fn interim_answer_is_not_complete() {
    const ANSWERS: &str = "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n\
                           HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart";
    let result = run_plain_call(&[ANSWERS]).await;
    assert_eq!(result, AttemptResult::Broken);
}

/// Guards against a complete answer that counts as broken.
#[actix_rt::test]
async fn answer_with_its_end_is_complete() {
    let cases: [&[&str]; 2] = [
        &["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n", "part"],
        &[
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\npart\r\n",
            "0\r\n\r\n",
        ],
    ];
    for case in cases {
        let result = run_plain_call(case).await;
        assert_eq!(
            result,
            AttemptResult::Complete { chunks: 1 },
            "answer in the parts {case:?}"
        );
    }
}

/// Guards against a host that runs out of memory because an engine sends an event without end.
#[actix_rt::test]
async fn event_without_end_breaks_the_stream() {
    /// Bytes that the engine writes at most, so that a failing test ends too.
    const ENDLESS_BYTES: usize = 16 * 1024 * 1024;
    let (listener, address) = listen().await;
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n\
                    25\r\nid: 0\ndata: first event\n\nid: 1\ndata: \r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        let piece = [b"10000\r\n".as_slice(), &[b'x'; 65_536], b"\r\n"].concat();
        let mut written = 0;
        while written < ENDLESS_BYTES && stream.write_all(&piece).await.is_ok() {
            written += piece.len();
        }
        // The connection stays open until the host closes it.
        let _ = stream.read(&mut buffer).await;
    });
    let kind = PlanKind::Completion {
        path: "/v1/completions",
        body: bytes::Bytes::from_static(b"{}"),
        blocks: "".into(),
        priority: 0,
    };
    let result = tokio::time::timeout(Duration::from_secs(20), run_attempt(address, kind)).await;
    let result = result.expect("the event without end is not given up");
    assert_eq!(result, AttemptResult::Broken);
}
