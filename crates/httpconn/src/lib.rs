//! HTTP/1.1 client connections that show exactly how a request ended.
//!
//! A [`ConnPool`] keeps idle connections by address. A failed send shows whether the request was
//! written ([`SendError::is_unsent`]), an answer that is cut off is an error, and dropping a
//! [`PooledConn`] closes the socket at once, which cancels the request at the peer.

pub mod pool;
pub mod socket;

/// Items that users of this crate usually need.
pub mod prelude {
    pub use crate::pool::{is_malformed, ConnPool, PoolLimits, PooledConn, SendError};
    pub use crate::socket::{listen_on, set_stream_options};
}
