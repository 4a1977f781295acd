//! The command line of the crocusyard binary.
