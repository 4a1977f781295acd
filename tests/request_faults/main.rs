//! What callers are promised, in real processes and over real sockets, while parts fail.

mod claims;
mod common;
mod connections;
mod late_writes;
mod load;
mod streams;
mod targets;
