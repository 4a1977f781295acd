//! The crocusyard binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    crocusyard_cli::main()
}
