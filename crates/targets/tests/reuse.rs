//! Test of the reuse of connections to targets.

use crocusyard_base::prelude::*;
use crocusyard_targets::prelude::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// An answer whose last chunk arrives together with the event that marks the end of the stream.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\
    content-type: text/event-stream\r\n\r\n\
    18\r\ndata: {}\n\ndata: [DONE]\n\n\r\n0\r\n\r\n";

/// Answers all requests on a connection.
async fn answer_all(mut stream: TcpStream) {
    let mut request = [0; 4096];
    while matches!(stream.read(&mut request).await, Ok(read) if read > 0) {
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

/// Starts an attempt that reads a stream from its first chunk.
fn start_stream(pools: &mut TargetPools, address: SocketAddr, number: u128) {
    let plan = AttemptPlan {
        attempt: AttemptId(number),
        target: TargetName::new("asistente-1"),
        kind: PlanKind::Resume {
            stream: AttemptId(number),
            from: 0,
        },
    };
    pools.start(address, plan);
}

/// Guards against a new connection for every stream, which costs a round trip before the first
/// token.
#[actix_rt::test]
async fn a_finished_stream_leaves_its_connection_to_the_next() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the listener is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let accepted = Rc::new(Cell::new(0));
    let count = accepted.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(answer_all(stream));
        }
    });
    let (sender, mut updates) = mpsc::unbounded_channel();
    let mut pools = TargetPools::new(sender, std::time::Duration::from_secs(1));
    for number in 1..=5 {
        start_stream(&mut pools, address, number);
        let result = loop {
            let update: AttemptUpdate = updates.recv().await.expect("an update arrives");
            if let AttemptChange::Ended(result) = update.change {
                break result;
            }
        };
        assert_eq!(result, AttemptResult::Complete { chunks: 1 });
    }
    assert_eq!(accepted.get(), 1);
}
