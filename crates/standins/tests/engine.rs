//! The stand-in program running as an engine.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

/// Guards against a missing `listening ADDRESS` line, from which other programs learn the address.
#[test]
fn program_prints_its_address() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_crocusyard_standin"))
        .args(["engine", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in program starts");
    let output = child
        .stdout
        .take()
        .expect("the output of the stand-in is piped");
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("the first line of the output can be read");
    child.kill().expect("the stand-in can be killed");
    child
        .wait()
        .expect("the end of the stand-in can be awaited");
    assert!(line.starts_with("listening 127.0.0.1:"), "{line}");
}
