//! Tests of the classification of send errors; each names the failure that it guards against.

use awc::error::{ConnectError, SendRequestError};
use crocusyard_transport::prelude::*;
use std::io::ErrorKind;

/// Returns a send error with an I/O error of connecting.
fn io_error(kind: ErrorKind) -> SendRequestError {
    SendRequestError::Connect(ConnectError::Io(kind.into()))
}

/// Guards against a call that is repeated although its peer may have carried it out: an established
/// connection can end with each of the `ambiguous` errors.
#[test]
fn only_a_refused_connection_proves_that_nothing_was_sent() {
    assert!(proves_unsent(&io_error(ErrorKind::ConnectionRefused)));
    let ambiguous = [
        io_error(ErrorKind::HostUnreachable),
        io_error(ErrorKind::NetworkUnreachable),
        io_error(ErrorKind::AddrNotAvailable),
        io_error(ErrorKind::TimedOut),
        io_error(ErrorKind::ConnectionReset),
        io_error(ErrorKind::BrokenPipe),
        SendRequestError::Connect(ConnectError::Timeout),
        SendRequestError::Connect(ConnectError::Disconnected),
        SendRequestError::Timeout,
    ];
    for error in ambiguous {
        assert!(
            !proves_unsent(&error),
            "{error} does not prove that nothing was sent"
        );
    }
}

/// Guards against a crash report for a request whose peer could not be reached, and against a missing
/// one for a request whose connection broke.
#[test]
fn a_broken_connection_does_not_suggest_an_unreachable_peer() {
    assert!(suggests_unreachable(&io_error(ErrorKind::HostUnreachable)));
    let timeout = SendRequestError::Connect(ConnectError::Timeout);
    assert!(suggests_unreachable(&timeout));
    assert!(!suggests_unreachable(&io_error(ErrorKind::ConnectionReset)));
    let closed = SendRequestError::Connect(ConnectError::Disconnected);
    assert!(!suggests_unreachable(&closed));
}
