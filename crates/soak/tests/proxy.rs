//! The proxy against a plain echo.

use crocusyard_soak::prelude::*;
use crocusyard_soak::proxy::LoopbackProxy;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which held bytes count as held.
const HELD: Duration = Duration::from_millis(200);
/// Time in which bytes must pass; far above what it takes.
const PASSED: Duration = Duration::from_secs(5);

/// Echoes bytes, counting them.
async fn echo_proxy() -> LoopbackProxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    LoopbackProxy::start(address).await.expect("proxy")
}

async fn read_byte(stream: &mut TcpStream, limit: Duration) -> Option<std::io::Result<u8>> {
    timeout(limit, stream.read_u8()).await.ok()
}

/// Guards against a proxy that changes or loses bytes without a fault.
#[actix_rt::test]
async fn bytes_pass_without_a_fault() {
    let proxy = echo_proxy().await;
    let mut stream = TcpStream::connect(proxy.address).await.expect("connected");
    stream.write_all(b"a").await.expect("written");
    let byte = read_byte(&mut stream, PASSED).await;
    assert_eq!(byte.expect("in time").expect("read"), b'a');
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
        let mut stream = TcpStream::connect(proxy.address).await.expect("connected");
        proxy.set_fault(Some(fault));
        stream.write_all(b"a").await.expect("written");
        assert!(read_byte(&mut stream, HELD).await.is_none(), "{fault:?}");
        proxy.set_fault(None);
        let byte = read_byte(&mut stream, PASSED).await;
        assert_eq!(byte.expect("in time").expect("read"), b'a', "{fault:?}");
    }
}

/// Guards against resets that look like a planned end, or spare connections.
#[actix_rt::test]
async fn connections_are_reset() {
    let proxy = echo_proxy().await;
    let mut open = TcpStream::connect(proxy.address).await.expect("connected");
    open.write_all(b"a").await.expect("written");
    let byte = read_byte(&mut open, PASSED).await;
    assert_eq!(byte.expect("in time").expect("read"), b'a');
    proxy.set_fault(Some(LinkFault::Reset));
    let ended = read_byte(&mut open, PASSED).await.expect("in time");
    let error = ended.expect_err("reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    let mut new = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(read_byte(&mut new, PASSED).await.expect("in time").is_err());
}
