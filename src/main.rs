//! The crocusyard binary.

fn main() {}
