//! Placeholder until the entry host exists.

fn main() {}
