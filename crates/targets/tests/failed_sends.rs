//! Test of the results of attempts whose send failed.

use awc::error::{ConnectError, SendRequestError};
use crocusyard_targets::prelude::*;
use std::io::ErrorKind;

/// Guards against a second run of a call whose connection was established and then ended with an
/// error that is usual for connections that were never established.
#[test]
fn an_attempt_counts_as_not_sent_only_if_its_connection_was_refused() {
    let result_of = |kind: ErrorKind| {
        AttemptResult::from_send_error(&SendRequestError::Connect(ConnectError::Io(kind.into())))
    };
    assert_eq!(
        result_of(ErrorKind::ConnectionRefused),
        AttemptResult::NotSent
    );
    assert_eq!(
        result_of(ErrorKind::HostUnreachable),
        AttemptResult::Unreached
    );
    assert_eq!(result_of(ErrorKind::ConnectionReset), AttemptResult::Broken);
}
