//! How answers and connections end, with a peer that writes raw bytes.

use bytes::Bytes;
use crocusyard_httpconn::prelude::*;
use http_body_util::Full;
use hyper::Request;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
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

/// Guards against a target that stops in the middle of the head of its answer, or of its body, and
/// whose caller gets an empty or short answer that is framed as a whole one.
#[actix_rt::test]
async fn answer_cut_at_any_byte_is_an_error() {
    for answer in [
        "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
        "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
    ] {
        let complete: &'static [&'static str] = Box::leak(Box::new([answer]));
        let address = start_peer(complete).await;
        let pool = ConnPool::new(LIMITS);
        assert!(exchange(&pool, address).await.is_ok(), "{answer:?}");
        for length in 0..answer.len() {
            let cut = &answer[..length];
            let answers: &'static [&'static str] = Box::leak(Box::new([cut]));
            let address = start_peer(answers).await;
            let error = exchange(&pool, address).await.expect_err(cut);
            assert!(!error.is_unsent(), "{cut:?}: {error}");
            assert!(!error.is_malformed(), "{cut:?}: {error}");
        }
    }
}

/// Guards against the same for an answer without a length, which ends with its connection: a cut head
/// is no answer with an empty body.
#[actix_rt::test]
async fn head_cut_at_any_byte_before_an_unframed_body_is_an_error() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nA: b\r\nB: c\r\n\r\n";
    let pool = ConnPool::new(LIMITS);
    for length in 0..HEAD.len() {
        let answers: &'static [&'static str] = Box::leak(Box::new([&HEAD[..length]]));
        let address = start_peer(answers).await;
        let error = exchange(&pool, address).await;
        let error = error.expect_err(&HEAD[..length]);
        assert!(!error.is_unsent(), "{:?}: {error}", &HEAD[..length]);
    }
}

/// Guards against the same on a connection that has carried an answer before.
#[actix_rt::test]
async fn head_cut_on_a_reused_connection_is_an_error() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let pool = ConnPool::new(LIMITS);
    for length in 0..HEAD.len() {
        let answers: &'static [&'static str] = Box::leak(Box::new([HEAD, &HEAD[..length]]));
        let address = start_peer(answers).await;
        assert!(exchange(&pool, address).await.is_ok());
        let opened = pool.opened_count();
        let error = exchange(&pool, address).await;
        assert!(error.is_err(), "{:?}", &HEAD[..length]);
        assert_eq!(pool.opened_count(), opened, "the connection was not reused");
    }
}

/// Guards against an answer whose number is no status of a final answer, and which callers get as the
/// answer to their request.
#[actix_rt::test]
async fn answer_without_a_final_status_is_malformed() {
    for status in ["000", "099", "101", "600", "999", "20", "2000", "2x0"] {
        let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 3\r\n\r\nabc");
        let answer: &'static str = answer.leak();
        let address = start_peer(Box::leak(Box::new([answer]))).await;
        let error = exchange(&ConnPool::new(LIMITS), address).await;
        let error = error.expect_err(status);
        assert!(!error.is_unsent(), "{status}: {error}");
        assert!(error.is_malformed(), "{status}: {error}");
    }
}

/// Guards against an interim answer that is taken for the final one.
#[actix_rt::test]
async fn interim_answers_are_passed_over() {
    const ANSWER: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n\
                          HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    let address = start_peer(&[ANSWER]).await;
    let body = exchange(&ConnPool::new(LIMITS), address).await;
    assert_eq!(body.expect("a complete answer"), "abc");
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

/// Bytes that a peer without end writes at most, so that a failing test ends too.
const ENDLESS_BYTES: usize = 64 * 1024 * 1024;
/// Largest number of bytes that may be read of one answer: the longest body and what the sockets
/// hold.
const READ_LIMIT: usize = 24 * 1024 * 1024;
/// Time limit for an answer without end to be given up.
const GIVE_UP_TIME: Duration = Duration::from_secs(20);

/// Starts a peer that answers each request with `head` and then with `piece` again and again, until
/// the caller closes. Returns its address and the number of bytes that it has written.
async fn start_endless_peer(
    head: &'static str,
    piece: &'static [u8],
) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener's address");
    let written = Rc::new(Cell::new(0));
    let counter = written.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = counter.clone();
            actix_rt::spawn(async move {
                let mut buffer = [0; 4_096];
                if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
                    return;
                }
                let _ = stream.write_all(head.as_bytes()).await;
                let mut sent = 0;
                while sent < ENDLESS_BYTES && stream.write_all(piece).await.is_ok() {
                    sent += piece.len();
                    counter.set(counter.get() + piece.len());
                }
                // The connection stays open until the caller closes it.
                let _ = stream.read(&mut buffer).await;
            });
        }
    });
    (address, written)
}

/// Guards against a host that runs out of memory because a peer sends a head or a body without end.
#[actix_rt::test]
async fn answer_without_end_is_an_error() {
    static ZEROS: [u8; 65_536] = [b'0'; 65_536];
    static CHUNK: &[u8] =
        b"40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n";
    let answers: [(&str, &[u8]); 8] = [
        ("HTTP/1.1 200 OK\r\n\r\n", &ZEROS),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            &ZEROS,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            CHUNK,
        ),
        ("HTTP/1.1 200 OK\r\nX-Long: ", &ZEROS),
        ("HTTP/1.1 200 OK\r\n", b"X-Again: and again\r\n"),
        ("", &ZEROS),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            &ZEROS,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            b"X-Again: and again\r\n",
        ),
    ];
    for (head, piece) in answers {
        let (address, written) = start_endless_peer(head, piece).await;
        let pool = ConnPool::new(LIMITS);
        let result = tokio::time::timeout(GIVE_UP_TIME, exchange(&pool, address)).await;
        let error = result
            .unwrap_or_else(|_| panic!("{head:?} is not given up"))
            .expect_err("the answer has no end");
        assert!(
            matches!(
                error,
                SendError::Lost {
                    malformed: true,
                    ..
                }
            ),
            "{head:?}: {error}"
        );
        assert!(
            written.get() < READ_LIMIT,
            "{head:?}: {} bytes were read",
            written.get()
        );
    }
}

/// Guards against a host that runs out of memory because many answers without end are read at the
/// same time, and against a limit that stays used up afterwards.
#[actix_rt::test]
async fn answers_without_end_share_a_limit() {
    /// A quarter of the memory of the smallest hosts.
    const COLLECTED_LIMIT: usize = 40 * 1024 * 1024;
    static ZEROS: [u8; 65_536] = [b'0'; 65_536];
    let (address, _) = start_endless_peer("HTTP/1.1 200 OK\r\n\r\n", &ZEROS).await;
    let pool = ConnPool::new(LIMITS);
    let most = Rc::new(Cell::new(0));
    let sampler = actix_rt::spawn({
        let (pool, most) = (pool.clone(), most.clone());
        async move {
            loop {
                most.set(pool.collected_bytes().max(most.get()));
                tokio::task::yield_now().await;
            }
        }
    });
    let calls = (0..24).map(|_| exchange(&pool, address));
    let results = futures_util::future::join_all(calls);
    let results = tokio::time::timeout(GIVE_UP_TIME, results)
        .await
        .expect("the answers are not given up");
    sampler.abort();
    assert!(results.iter().all(Result::is_err));
    let most = most.get();
    assert!(most > 0, "nothing was collected");
    assert!(most <= COLLECTED_LIMIT, "{most} bytes at a time");
    assert_eq!(pool.collected_bytes(), 0);
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    let address = start_peer(&[ANSWER]).await;
    let body = exchange(&pool, address).await.expect("a complete answer");
    assert_eq!(body, "abc");
}

/// Guards against long answers that are taken for ones without end.
#[actix_rt::test]
async fn long_answer_is_read_to_its_end() {
    const LENGTH: usize = 6 * 1024 * 1024;
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n{}",
        "x".repeat(LENGTH)
    );
    let answers: &'static [&'static str] = Box::leak(Box::new([&*text.leak()]));
    let address = start_peer(answers).await;
    let pool = ConnPool::new(LIMITS);
    let body = exchange(&pool, address).await.expect("a complete answer");
    assert_eq!(body.len(), LENGTH);
}

/// Guards against more open connections than a pool may have, and against idle ones that keep others
/// from being opened.
#[actix_rt::test]
async fn open_connections_are_limited() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    let first = start_peer(&[ANSWER]).await;
    let second = start_peer(&[ANSWER]).await;
    let pool = ConnPool::new(LIMITS).with_max_open(1);
    let held = pool.acquire(first).await.expect("the first connection");
    let error = pool.acquire(second).await.map(|_| ());
    let error = error.expect_err("a connection beyond the limit");
    assert!(matches!(error, SendError::NoSlot { open: 1 }), "{error}");
    assert!(error.is_unsent());
    held.release().await;
    let body = exchange(&pool, second).await;
    assert_eq!(body.expect("the idle connection gives way"), "abc");
}
