//! A deployment of separate processes.

use crate::local::wait_ready;
use crate::ports::{unused_address, LOOPBACK};
use crate::sample::{host_yaml, HostAddresses, GOSSIP_KEY, OPERATOR_KEY};
use crocusyard_border::platform::HostListing;
use crocusyard_catalog::prelude::*;
use snafu::{OptionExt, ResultExt, Whatever};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process that is killed when it is dropped.
pub struct ProcessHandle {
    child: Child,
}

impl ProcessHandle {
    /// Starts a program; its standard output is returned as a pipe inside the child.
    fn spawn(command: &mut Command) -> std::io::Result<Self> {
        Ok(Self {
            child: command.spawn()?,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()
            .map(|_| ())
    }

    /// Waits for the process to end and returns its exit code.
    pub fn wait(&mut self) -> std::io::Result<Option<i32>> {
        self.child.wait().map(|status| status.code())
    }

    /// Returns the exit code if the process has ended.
    pub fn poll(&mut self) -> std::io::Result<Option<i32>> {
        Ok(self.child.try_wait()?.and_then(|status| status.code()))
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running stand-in process.
pub struct StandinProcess {
    /// Process.
    pub process: ProcessHandle,
    /// Address it listens on.
    pub address: SocketAddr,
}

/// A deployment of separate processes.
pub struct ProcessDeployment {
    /// Entry hosts.
    pub hosts: Vec<ProcessHandle>,
    /// Their names and addresses.
    pub addresses: Vec<HostAddresses>,
    /// Platform.
    pub platform: StandinProcess,
    /// Targets, in the order of the catalogue.
    pub targets: Vec<StandinProcess>,
    /// Catalogue with the targets' real addresses.
    pub catalog: CatalogSpec,
    program: PathBuf,
    folder: PathBuf,
}

impl ProcessDeployment {
    /// Starts `hosts` entry hosts of the binary `program`, with stand-ins for the catalogue's
    /// targets, and waits until every host is ready.
    pub async fn start(
        program: &Path,
        hosts: usize,
        mut catalog: CatalogSpec,
        engine_args: &[&str],
        settings: &str,
    ) -> Result<Self, Whatever> {
        let addresses: Vec<_> = (0..hosts).map(HostAddresses::pick).collect();
        let listen = LOOPBACK.to_string();
        let platform = start_standin(&["platform", "--listen", &listen])?;
        let mut targets = Vec::new();
        for target in &mut catalog.targets {
            let memory = target.memory_bytes.to_string();
            let mut args = match target.kind {
                TargetKind::Plain => vec!["plain", "--listen", &listen],
                TargetKind::Engine => {
                    vec!["engine", "--listen", &listen, "--memory-bytes", &memory]
                }
            };
            if target.kind == TargetKind::Engine {
                args.extend(engine_args);
                if !target.checks_fencing {
                    args.push("--ignores-fencing");
                }
            }
            let standin = start_standin(&args)?;
            target.address = standin.address;
            targets.push(standin);
        }
        let folder = std::env::temp_dir().join(format!("crocusyard-test-{}", unused_address()));
        std::fs::create_dir_all(&folder).whatever_context("no folder for the settings")?;
        // Written once, because a host that starts may be reading it.
        std::fs::write(folder.join("catalog.yaml"), canonical_body(&catalog))
            .whatever_context("catalogue cannot be written")?;
        let mut deployment = Self {
            hosts: Vec::new(),
            addresses,
            platform,
            targets,
            catalog,
            program: program.to_owned(),
            folder,
        };
        deployment.publish_listing(|_| false).await?;
        for index in 0..hosts {
            let host = deployment.spawn_host(index, settings)?;
            deployment.hosts.push(host);
        }
        for host in &deployment.addresses {
            wait_ready(host.callers).await?;
        }
        Ok(deployment)
    }

    /// Starts the process of the host with an index.
    pub fn spawn_host(&self, index: usize, settings: &str) -> Result<ProcessHandle, Whatever> {
        let host = &self.addresses[index];
        let catalog = self.folder.join("catalog.yaml");
        let file = self.folder.join(format!("{}.yaml", host.name));
        let extra = format!("catalog: {}\n{settings}", catalog.display());
        std::fs::write(&file, host_yaml(host, self.platform.address, &extra))
            .whatever_context("settings cannot be written")?;
        let log = std::fs::File::create(self.folder.join(format!("{}.log", host.name)))
            .whatever_context("log cannot be written")?;
        let mut command = Command::new(&self.program);
        command
            .args(["serve", "--settings"])
            .arg(&file)
            .env("CROCUSYARD_OPERATOR_KEY", OPERATOR_KEY)
            .env("CROCUSYARD_GOSSIP_KEY", GOSSIP_KEY)
            .stdin(Stdio::null())
            .stdout(log);
        ProcessHandle::spawn(&mut command).whatever_context("entry host does not start")
    }

    /// Publishes the host list; hosts for which `leaving` holds are listed as leaving.
    pub async fn publish_listing(&self, leaving: impl Fn(usize) -> bool) -> Result<(), Whatever> {
        let mut hosts: Vec<_> = self.addresses.iter().map(HostAddresses::listed).collect();
        for (index, host) in hosts.iter_mut().enumerate() {
            host.leaving = leaving(index);
        }
        let listing = HostListing {
            hosts,
            targets: Vec::new(),
        };
        let url = format!("http://{}/hosts", self.platform.address);
        let sent = awc::Client::default().put(url).send_json(&listing).await;
        sent.map(|_| ())
            .ok()
            .whatever_context("host list cannot be published")
    }

    /// Returns the log of the host with an index.
    pub fn log_of(&self, index: usize) -> String {
        let name = &self.addresses[index].name;
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Returns the path of a host's settings file.
    pub fn settings_file(&self, index: usize) -> PathBuf {
        self.folder
            .join(format!("{}.yaml", self.addresses[index].name))
    }
}

impl Drop for ProcessDeployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a stand-in and reads the address that it prints.
pub fn start_standin(args: &[&str]) -> Result<StandinProcess, Whatever> {
    let mut command = Command::new(standin_program()?);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    let mut process =
        ProcessHandle::spawn(&mut command).whatever_context("stand-in does not start")?;
    let output = process
        .child
        .stdout
        .take()
        .whatever_context("stand-in has no output")?;
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .whatever_context("stand-in prints nothing")?;
    let address = line
        .trim()
        .strip_prefix("listening ")
        .and_then(|address| address.parse().ok())
        .whatever_context("stand-in prints no address")?;
    Ok(StandinProcess { process, address })
}

/// Returns the stand-in program beside the running test, where `cargo build` puts it.
fn standin_program() -> Result<PathBuf, Whatever> {
    let test = std::env::current_exe().whatever_context("own path is unknown")?;
    let folders = test.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join("crocusyard_standin"))
        .find(|path| path.exists());
    found.whatever_context("crocusyard_standin is not built; run `cargo build --workspace` first")
}
