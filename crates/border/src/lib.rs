//! Types of the protocols spoken with callers, targets, the platform and operators, generated from JSON schemas.

pub mod admin;
