//! What a failed send of the HTTP client proves, for calls to targets and to the platform alike.

use awc::error::{ConnectError, SendRequestError};
use std::io::ErrorKind;

/// The common names of this crate.
pub mod prelude {
    pub use crate::{proves_unsent, suggests_unconnected};
}

/// Returns whether an error proves that nothing reached the peer.
///
/// Only a refused connection does. The client reports a connection that closes before the answer as
/// a `ConnectError` too, and an established connection can end with the other errors of connecting,
/// for example with `HostUnreachable` after its packets were lost.
pub fn proves_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Io(error)) => {
            error.kind() == ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// Returns whether an error is usual for a peer that cannot be reached.
///
/// It proves nothing of what was sent, but it is no sign that the peer's process died.
pub fn suggests_unconnected(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Io(error)) => matches!(
            error.kind(),
            ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        SendRequestError::Connect(error) => matches!(
            error,
            ConnectError::Timeout | ConnectError::Unresolved | ConnectError::NoRecords
        ),
        _ => false,
    }
}
