//! HTTP/1.1 connections with exact ends.
//!
//! A [`ConnPool`] keeps idle connections by address. A failed send tells whether the request was
//! written ([`SendError::is_unsent`]), an answer that ends early gives an error instead of an end,
//! and dropping a [`PooledConn`] closes the socket at once, which cancels the request at the peer.

pub mod pool;
pub mod socket;

/// The common names of this crate.
pub mod prelude {
    pub use crate::pool::{read_body, ConnPool, PoolLimits, PooledConn, SendError};
    pub use crate::socket::{listen_on, set_stream_options};
}
