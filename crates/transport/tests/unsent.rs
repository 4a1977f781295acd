//! Errors that prove that nothing was sent.

use awc::error::{ConnectError, SendRequestError};
use crocusyard_transport::prelude::*;
use std::io::ErrorKind;

fn io(kind: ErrorKind) -> SendRequestError {
    SendRequestError::Connect(ConnectError::Io(kind.into()))
}

/// Guards against a call that is repeated although its peer may have carried it out: an established
/// connection can end with every one of these errors but the first.
#[test]
fn only_a_refused_connection_proves_that_nothing_was_sent() {
    assert!(proves_unsent(&io(ErrorKind::ConnectionRefused)));
    let doubtful = [
        io(ErrorKind::HostUnreachable),
        io(ErrorKind::NetworkUnreachable),
        io(ErrorKind::AddrNotAvailable),
        io(ErrorKind::TimedOut),
        io(ErrorKind::ConnectionReset),
        io(ErrorKind::BrokenPipe),
        SendRequestError::Connect(ConnectError::Timeout),
        SendRequestError::Connect(ConnectError::Disconnected),
        SendRequestError::Timeout,
    ];
    for error in doubtful {
        assert!(!proves_unsent(&error), "{error}");
    }
}

/// Guards against blame for a crash when a peer cannot be reached, and against none when a
/// connection breaks.
#[test]
fn a_broken_connection_does_not_suggest_an_unreachable_peer() {
    assert!(suggests_unconnected(&io(ErrorKind::HostUnreachable)));
    let timeout = SendRequestError::Connect(ConnectError::Timeout);
    assert!(suggests_unconnected(&timeout));
    assert!(!suggests_unconnected(&io(ErrorKind::ConnectionReset)));
    let closed = SendRequestError::Connect(ConnectError::Disconnected);
    assert!(!suggests_unconnected(&closed));
}
