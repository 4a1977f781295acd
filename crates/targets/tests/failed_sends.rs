//! What a failed send means for its attempt.

use awc::error::{ConnectError, SendRequestError};
use crocusyard_targets::prelude::*;
use std::io::ErrorKind;

/// Guards against a second run of a call whose connection stood and then ended with an error that
/// is usual for connections that never stood.
#[test]
fn an_attempt_counts_as_not_sent_only_if_its_connection_was_refused() {
    let of = |kind: ErrorKind| {
        AttemptResult::from_send_error(&SendRequestError::Connect(ConnectError::Io(kind.into())))
    };
    assert_eq!(of(ErrorKind::ConnectionRefused), AttemptResult::NotSent);
    assert_eq!(of(ErrorKind::HostUnreachable), AttemptResult::Unreached);
    assert_eq!(of(ErrorKind::ConnectionReset), AttemptResult::Broken);
}
