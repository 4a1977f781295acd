//! Tests of the fault-injecting proxy before an echo server.

use crocusyard_soak::prelude::*;
use crocusyard_soak::proxy::LoopbackProxy;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which bytes that have not arrived count as held back.
const HELD_TIME: Duration = Duration::from_millis(200);
/// Time in which bytes must arrive; far above what it takes.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(5);

/// Starts an echo server and returns a proxy before it.
async fn echo_proxy() -> LoopbackProxy {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the echo server listens");
    let address = listener.local_addr().expect("the listener has an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    LoopbackProxy::start(address)
        .await
        .expect("the proxy starts")
}

async fn read_byte(stream: &mut TcpStream, limit: Duration) -> Option<std::io::Result<u8>> {
    timeout(limit, stream.read_u8()).await.ok()
}

/// Guards against a proxy that changes or loses bytes without a fault.
#[actix_rt::test]
async fn bytes_pass_without_a_fault() {
    let proxy = echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address)
        .await
        .expect("the proxy accepts");
    stream.write_all(b"a").await.expect("the byte is written");
    let byte = read_byte(&mut stream, ARRIVAL_LIMIT).await;
    assert_eq!(
        byte.expect("an outcome in time").expect("a byte is read"),
        b'a'
    );
}

/// Guards against cuts that let bytes through, or lose those that were held back.
#[actix_rt::test]
async fn held_bytes_come_after_the_fault() {
    for fault in [
        LinkFault::CutBoth,
        LinkFault::CutForward,
        LinkFault::CutBackward,
        LinkFault::Delayed(400),
    ] {
        let proxy = echo_proxy().await;
        let mut stream = TcpStream::connect(proxy.address)
            .await
            .expect("the proxy accepts");
        proxy.set_fault(Some(fault));
        stream.write_all(b"a").await.expect("the byte is written");
        assert!(
            read_byte(&mut stream, HELD_TIME).await.is_none(),
            "{fault:?}"
        );
        proxy.set_fault(None);
        let byte = read_byte(&mut stream, ARRIVAL_LIMIT).await;
        assert_eq!(
            byte.expect("an outcome in time").expect("a byte is read"),
            b'a',
            "{fault:?}"
        );
    }
}

/// Guards against resets that look like an orderly close or leave some connections open.
#[actix_rt::test]
async fn connections_are_reset() {
    let proxy = echo_proxy().await;
    let mut open = TcpStream::connect(proxy.address)
        .await
        .expect("the proxy accepts");
    open.write_all(b"a").await.expect("the byte is written");
    let byte = read_byte(&mut open, ARRIVAL_LIMIT).await;
    assert_eq!(
        byte.expect("an outcome in time").expect("a byte is read"),
        b'a'
    );
    proxy.set_fault(Some(LinkFault::Reset));
    let ended = read_byte(&mut open, ARRIVAL_LIMIT)
        .await
        .expect("an outcome in time");
    let error = ended.expect_err("the open connection is reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    let mut new = TcpStream::connect(proxy.address)
        .await
        .expect("the proxy accepts");
    assert!(read_byte(&mut new, ARRIVAL_LIMIT)
        .await
        .expect("an outcome in time")
        .is_err());
}
