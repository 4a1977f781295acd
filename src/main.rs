//! The program `crocusyard`: entry hosts and operator commands in one binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    crocusyard_cli::main()
}
