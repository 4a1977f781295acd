//! Guarantees to callers while hosts, targets, connections and the table service fail.
//!
//! The tests run hosts and stand-ins over real sockets, some of them in processes of their own.

mod claims;
mod common;
mod connections;
mod late_writes;
mod left;
mod load;
mod streams;
mod targets;
