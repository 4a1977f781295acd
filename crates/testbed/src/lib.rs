//! Small deployments on loopback addresses, for the quickstart and the tests.
//!
//! [`LocalDeployment`](local::LocalDeployment) runs entry hosts, targets and platform inside one
//! program. [`ProcessDeployment`](process::ProcessDeployment) runs each of them in a process of its
//! own, so that a test can kill or freeze one.

pub mod client;
pub mod local;
pub mod ports;
pub mod process;
pub mod sample;

/// The common names of this crate.
pub mod prelude {
    pub use crate::client::{read_json, set_faults, PlainAnswer, StreamedAnswer, TestClient};
    pub use crate::local::{LocalBuilder, LocalDeployment};
    pub use crate::process::{ProcessBuilder, ProcessDeployment, ProcessHandle, StandinProcess};
    pub use crate::sample::{host_yaml, sample_catalog, HostAddresses};
}
