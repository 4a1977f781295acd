//! How answers and connections end, with a peer that writes raw bytes.

use bytes::Bytes;
use crocusyard_httpconn::prelude::*;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMITS: PoolLimits = PoolLimits {
    connect_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(5),
    max_idle: 4,
};

/// Starts a peer that writes the given answers to each connection, one for each request, and then
/// closes it.
async fn start_peer(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for answer in answers {
                let mut buffer = [0; 4_096];
                if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                    break;
                }
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    Request::builder()
        .uri("/x")
        .header("Host", "a")
        .body(Full::default())
        .expect("a valid request")
}

async fn exchange(pool: &ConnPool, address: SocketAddr) -> Result<Bytes, SendError> {
    let conn = pool.acquire(address).await?;
    let (_, body) = conn.exchange(request()).await?;
    Ok(body)
}

/// Guards against an answer that is cut off and taken for a complete one.
#[actix_rt::test]
async fn answer_that_ends_early_is_an_error() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ] {
        let answers: &'static [&'static str] = Box::leak(Box::new([answer]));
        let address = start_peer(answers).await;
        let result = exchange(&ConnPool::new(LIMITS), address).await;
        let error = result.expect_err("the answer is cut off");
        assert!(!error.is_unsent(), "{error}");
    }
}

/// Guards against bytes after an answer that are taken for the answer to the next request.
#[actix_rt::test]
async fn connection_with_an_extra_answer_is_not_reused() {
    let extra = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz";
    let answers: &'static [&'static str] = Box::leak(Box::new([extra]));
    let address = start_peer(answers).await;
    let pool = ConnPool::new(LIMITS);
    for _ in 0..2 {
        let body = exchange(&pool, address).await.expect("a complete answer");
        assert_eq!(body, "abc");
    }
    assert_eq!(pool.opened_count(), 2);
}

/// Guards against opening a new connection for each request.
#[actix_rt::test]
async fn clean_connection_is_reused() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    let address = start_peer(&[ANSWER, ANSWER, ANSWER]).await;
    let pool = ConnPool::new(LIMITS);
    for _ in 0..3 {
        exchange(&pool, address).await.expect("a complete answer");
    }
    assert_eq!(pool.opened_count(), 1);
}

/// Guards against a refused connection that counts as a request that may have run.
#[actix_rt::test]
async fn refused_connection_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    drop(listener);
    let error = exchange(&ConnPool::new(LIMITS), address)
        .await
        .expect_err("the connection is refused");
    assert!(error.is_unsent(), "{error}");
}

/// Guards against a written request that counts as unsent when the peer closes without an answer.
#[actix_rt::test]
async fn close_without_an_answer_is_lost() {
    let address = start_peer(&[""]).await;
    let error = exchange(&ConnPool::new(LIMITS), address)
        .await
        .expect_err("the peer closes without an answer");
    assert!(!error.is_unsent(), "{error}");
}

/// Guards against a target that goes on running a request after its caller has left.
#[actix_rt::test]
async fn dropped_request_closes_the_connection_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    let pool = ConnPool::new(LIMITS);
    let call = actix_rt::spawn(async move { exchange(&pool, address).await });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = [0; 4_096];
    assert!(stream.read(&mut buffer).await.expect("a request") > 0);
    call.abort();
    let closed = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut buffer)).await;
    assert!(
        matches!(closed, Ok(Ok(0) | Err(_))),
        "the connection stays open: {closed:?}"
    );
}
