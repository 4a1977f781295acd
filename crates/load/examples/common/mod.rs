//! Reads processor time and memory of processes from `/proc`, and finds the host program.

use std::path::PathBuf;

/// Clock ticks per second in `/proc/PID/stat`; Linux fixes them at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time that a process has used, seconds.
pub fn cpu_seconds(process: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The program name may hold spaces; it ends with the last parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, bytes.
#[allow(dead_code)]
pub fn resident_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib << 10)
}

/// Returns the path of the host program, which `cargo build` puts into the parent folder of the
/// examples; none if it is not built.
pub fn host_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let path = own.parent()?.parent()?.join("crocusyard");
    path.exists().then_some(path)
}
