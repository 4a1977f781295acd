//! The engine stand-in as a program of its own.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// Guards the line that tells others where the stand-in listens.
#[test]
fn program_prints_its_address() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_crocusyard_standin"))
        .args(["engine", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("program starts");
    let output = child.stdout.take().expect("output is piped");
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("line is printed");
    child.kill().expect("program is killed");
    child.wait().expect("program ends");
    assert!(line.starts_with("listening 127.0.0.1:"), "{line}");
}
