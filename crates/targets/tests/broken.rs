//! Tests of plain answers whose connection ends too early; each names the failure that it guards
//! against.

use crocusyard_base::prelude::*;
use crocusyard_targets::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Sends a plain call to a target that answers with the parts and closes the connection; returns how
/// the attempt ended.
async fn run_plain_call(parts: &'static [&'static str]) -> AttemptResult {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener is bound");
    let address = listener.local_addr().expect("the listener has an address");
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
            actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    });
    let (sender, mut updates) = mpsc::unbounded_channel();
    let mut pools = TargetPools::new(sender, std::time::Duration::from_secs(1));
    let plan = AttemptPlan {
        attempt: AttemptId(1),
        target: TargetName::new("mostrador-1"),
        kind: PlanKind::Plain {
            method: awc::http::Method::GET,
            path: "/opening".into(),
            headers: std::sync::Arc::default(),
            body: bytes::Bytes::new(),
            recorded: false,
        },
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
