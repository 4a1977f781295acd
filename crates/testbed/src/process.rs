//! A deployment in which every host, target and the platform is a process of its own.

use crate::local::wait_ready;
use crate::ports::{unused_address, LOOPBACK};
use crate::sample::{host_yaml, HostAddresses, GOSSIP_KEY, OPERATOR_KEY};
use crocusyard_base::prelude::*;
use crocusyard_border::platform::HostListing;
use crocusyard_catalog::prelude::*;
use crocusyard_standins::prelude::*;
use snafu::{OptionExt, ResultExt, Whatever};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};

/// A process that is killed when it is dropped.
pub struct ProcessHandle {
    child: Child,
}

impl ProcessHandle {
    /// Starts the program of a command.
    pub fn spawn(command: &mut Command) -> std::io::Result<Self> {
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

    /// Waits for the process to end and returns its exit code; `None` after a fatal signal.
    pub fn wait(&mut self) -> std::io::Result<Option<i32>> {
        self.child.wait().map(|status| status.code())
    }

    /// Returns the exit status if the process has ended, without waiting.
    pub fn poll(&mut self) -> std::io::Result<Option<ExitStatus>> {
        self.child.try_wait()
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
    /// The process, killed when it is dropped.
    pub process: ProcessHandle,
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl StandinProcess {
    /// Returns the lines that the process has printed after its address; they stay available after
    /// the process has ended.
    pub fn lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .expect("the lock of the printed lines is poisoned")
            .clone()
    }
}

/// Builder of a [`ProcessDeployment`].
#[derive(Clone, Debug)]
pub struct ProcessBuilder {
    program: PathBuf,
    hosts: usize,
    catalog: CatalogSpec,
    engine_args: Vec<String>,
    target_args: BTreeMap<TargetName, Vec<String>>,
    settings: String,
    prints_runs: bool,
    relays_packets: bool,
}

impl ProcessBuilder {
    /// Creates a builder with three entry hosts of the binary `program`; target addresses of the
    /// catalogue are replaced by those of the stand-ins.
    pub fn new(program: &Path, catalog: CatalogSpec) -> Self {
        Self {
            program: program.to_owned(),
            hosts: 3,
            catalog,
            engine_args: Vec::new(),
            target_args: BTreeMap::new(),
            settings: String::new(),
            prints_runs: false,
            relays_packets: false,
        }
    }

    /// Sets the number of entry hosts.
    #[must_use]
    pub fn hosts(mut self, count: usize) -> Self {
        self.hosts = count;
        self
    }

    /// Sets further arguments of all engines.
    #[must_use]
    pub fn engine_args(mut self, args: &[&str]) -> Self {
        self.engine_args = owned(args);
        self
    }

    /// Sets further arguments of one target, such as the models resident at the start.
    #[must_use]
    pub fn target_args(mut self, target: &str, args: &[&str]) -> Self {
        self.target_args
            .insert(TargetName::new(target), owned(args));
        self
    }

    /// Sets the sections of the hosts' settings files other than addresses and platform.
    #[must_use]
    pub fn settings(mut self, yaml: &str) -> Self {
        yaml.clone_into(&mut self.settings);
        self
    }

    /// Makes the targets print each call that they begin, so that calls at targets that are killed
    /// later are counted too.
    #[must_use]
    pub fn prints_runs(mut self) -> Self {
        self.prints_runs = true;
        self
    }

    /// Sends all packets between hosts through a relay that can drop them.
    #[must_use]
    pub fn relays_packets(mut self) -> Self {
        self.relays_packets = true;
        self
    }

    /// Starts everything and waits until every host is ready.
    pub async fn start(self) -> Result<ProcessDeployment, Whatever> {
        let mut addresses: Vec<_> = (0..self.hosts).map(HostAddresses::pick).collect();
        let packet_relay = if self.relays_packets {
            Some(relay_packets(&mut addresses)?)
        } else {
            None
        };
        let platform = start_standin(&["platform", "--listen", &LOOPBACK.to_string()])?;
        let mut catalog = self.catalog;
        let mut targets = Vec::new();
        for target in &mut catalog.targets {
            let mut args = standin_args(target, &self.engine_args);
            args.extend(
                self.target_args
                    .get(&target.name)
                    .cloned()
                    .unwrap_or_default(),
            );
            if self.prints_runs {
                args.push("--print-runs".to_owned());
            }
            let args: Vec<_> = args.iter().map(String::as_str).collect();
            let standin = start_standin(&args)?;
            target.address = standin.address;
            targets.push(standin);
        }
        let folder = std::env::temp_dir().join(format!("crocusyard-test-{}", unused_address()));
        std::fs::create_dir_all(&folder)
            .whatever_context("the folder for the settings cannot be created")?;
        // Written only once, because a host that is starting may be reading it.
        std::fs::write(folder.join("catalog.yaml"), canonical_body(&catalog))
            .whatever_context("the catalogue file cannot be written")?;
        let mut deployment = ProcessDeployment {
            hosts: Vec::new(),
            addresses,
            platform,
            targets,
            catalog,
            packet_relay,
            program: self.program,
            folder,
        };
        deployment.publish_listing(|_| false).await?;
        for index in 0..self.hosts {
            let host = deployment.spawn_host(index, &self.settings)?;
            deployment.hosts.push(host);
        }
        for host in &deployment.addresses {
            wait_ready(host.callers).await?;
        }
        Ok(deployment)
    }
}

/// Starts a packet relay and makes the hosts advertise its addresses instead of their own.
fn relay_packets(addresses: &mut [HostAddresses]) -> Result<Arc<PacketRelay>, Whatever> {
    for host in &mut *addresses {
        host.advertised_gossip = unused_address();
    }
    let relayed_hosts = addresses.iter().map(|host| RelayedHost {
        host: host.gossip,
        advertised: host.advertised_gossip,
    });
    start_packet_relay(relayed_hosts.collect())
        .whatever_context("the packet relay cannot be started")
}

fn owned(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}

/// Returns the command line arguments of a target's stand-in.
fn standin_args(target: &TargetSpec, engine_args: &[String]) -> Vec<String> {
    let mut args = match target.kind {
        TargetKind::Plain => vec!["plain".to_owned()],
        TargetKind::Engine => vec!["engine".to_owned()],
    };
    args.extend(["--listen".to_owned(), LOOPBACK.to_string()]);
    if target.kind == TargetKind::Engine {
        args.extend(["--memory-bytes".to_owned(), target.memory_bytes.to_string()]);
        args.extend_from_slice(engine_args);
        if !target.checks_fencing {
            args.push("--ignores-fencing".to_owned());
        }
    }
    args
}

/// A deployment of separate processes.
pub struct ProcessDeployment {
    /// Entry hosts.
    pub hosts: Vec<ProcessHandle>,
    /// Names and addresses of the hosts, by index.
    pub addresses: Vec<HostAddresses>,
    /// Stand-in of the platform: table, object store and host list.
    pub platform: StandinProcess,
    /// Targets, in the order of the catalogue.
    pub targets: Vec<StandinProcess>,
    /// Catalogue with the addresses that the targets listen on.
    pub catalog: CatalogSpec,
    /// Relay of the packets between hosts; `None` unless the builder asked for it.
    pub packet_relay: Option<Arc<PacketRelay>>,
    program: PathBuf,
    folder: PathBuf,
}

impl ProcessDeployment {
    /// Starts `hosts` entry hosts of the binary `program`, with stand-ins for the catalogue's
    /// targets, and waits until every host is ready.
    pub async fn start(
        program: &Path,
        hosts: usize,
        catalog: CatalogSpec,
        engine_args: &[&str],
        settings: &str,
    ) -> Result<Self, Whatever> {
        ProcessBuilder::new(program, catalog)
            .hosts(hosts)
            .engine_args(engine_args)
            .settings(settings)
            .start()
            .await
    }

    /// Starts the process of the host at `index`.
    pub fn spawn_host(&self, index: usize, settings: &str) -> Result<ProcessHandle, Whatever> {
        let host = &self.addresses[index];
        let catalog = self.folder.join("catalog.yaml");
        let file = self.folder.join(format!("{}.yaml", host.name));
        let extra = format!("catalog: {}\n{settings}", catalog.display());
        std::fs::write(&file, host_yaml(host, self.platform.address, &extra))
            .whatever_context("the settings file of a host cannot be written")?;
        let log = std::fs::File::create(self.folder.join(format!("{}.log", host.name)))
            .whatever_context("the log file of a host cannot be created")?;
        let mut command = Command::new(&self.program);
        command
            .args(["serve", "--settings"])
            .arg(&file)
            .env("CROCUSYARD_OPERATOR_KEY", OPERATOR_KEY)
            .env("CROCUSYARD_GOSSIP_KEY", GOSSIP_KEY)
            .stdin(Stdio::null())
            .stdout(log);
        ProcessHandle::spawn(&mut command)
            .whatever_context("the process of an entry host cannot be started")
    }

    /// Publishes the host list; hosts for which `leaving` returns true are listed as leaving.
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
            .whatever_context("the host list cannot be published")
    }

    /// Returns the log of the host at `index`; empty if it cannot be read.
    pub fn host_log(&self, index: usize) -> String {
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
    let mut process = ProcessHandle::spawn(&mut command)
        .whatever_context("the process of a stand-in cannot be started")?;
    let output = process
        .child
        .stdout
        .take()
        .whatever_context("the stand-in has no standard output")?;
    let mut output = BufReader::new(output);
    let mut line = String::new();
    output
        .read_line(&mut line)
        .whatever_context("the output of the stand-in cannot be read")?;
    let address = line
        .trim()
        .strip_prefix("listening ")
        .and_then(|address| address.parse().ok())
        .whatever_context("the first line of the stand-in states no address")?;
    let lines = Arc::new(Mutex::new(Vec::new()));
    let shared_lines = lines.clone();
    // The thread ends with the process, whose exit closes the pipe.
    std::thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            shared_lines
                .lock()
                .expect("the lock of the printed lines is poisoned")
                .push(line);
        }
    });
    Ok(StandinProcess {
        process,
        address,
        lines,
    })
}

/// Returns the stand-in program beside the running test, where `cargo build` puts it.
fn standin_program() -> Result<PathBuf, Whatever> {
    let test =
        std::env::current_exe().whatever_context("the path of the running test is unknown")?;
    let folders = test.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join("crocusyard_standin"))
        .find(|path| path.exists());
    found.whatever_context("crocusyard_standin is not built; run `cargo build --workspace` first")
}
