//! Classification of the HTTP client's send errors, for calls to targets and to the platform.
//!
//! A call may be repeated safely only if its first send is proven not to have reached the peer.

use awc::error::{ConnectError, SendRequestError};
use std::io::ErrorKind;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::{proves_unsent, suggests_unreachable};
}

/// Returns whether an error proves that nothing reached the peer.
///
/// Only an invalid URL and a refused connection prove it. The client also returns a `ConnectError` if
/// a connection closes before the answer. An established connection can end with the other errors
/// of connecting too, for example with `HostUnreachable` after its packets were lost.
pub fn proves_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Io(error)) => {
            error.kind() == ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}

/// Returns whether an error suggests that the peer could not be reached.
///
/// Such an error does not prove that nothing was sent, but it is no sign that the peer's process has
/// died.
pub fn suggests_unreachable(error: &SendRequestError) -> bool {
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
