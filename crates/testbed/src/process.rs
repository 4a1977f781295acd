//! A deployment of separate processes.

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
    /// Starts a program.
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

    /// Waits for the process to end and returns its exit code.
    pub fn wait(&mut self) -> std::io::Result<Option<i32>> {
        self.child.wait().map(|status| status.code())
    }

    /// Returns how the process ended, if it has ended.
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
    /// Process.
    pub process: ProcessHandle,
    /// Address it listens on.
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl StandinProcess {
    /// Returns what the process has printed after its address; this outlives the process.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("line lock").clone()
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
    /// Takes the binary of the entry hosts and the catalogue; target addresses are replaced by those
    /// of the stand-ins.
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

    /// Sets further arguments of one target, such as what is resident at the start.
    #[must_use]
    pub fn target_args(mut self, target: &str, args: &[&str]) -> Self {
        self.target_args
            .insert(TargetName::new(target), owned(args));
        self
    }

    /// Sets the sections of the hosts' settings file beyond addresses and platform.
    #[must_use]
    pub fn settings(mut self, yaml: &str) -> Self {
        yaml.clone_into(&mut self.settings);
        self
    }

    /// Lets the targets print each call that they begin, so that calls at killed targets count.
    #[must_use]
    pub fn prints_runs(mut self) -> Self {
        self.prints_runs = true;
        self
    }

    /// Leads all packets between hosts through a relay that can drop them.
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
        std::fs::create_dir_all(&folder).whatever_context("no folder for the settings")?;
        // Written once, because a host that starts may be reading it.
        std::fs::write(folder.join("catalog.yaml"), canonical_body(&catalog))
            .whatever_context("catalogue cannot be written")?;
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

/// Starts a relay and sets the addresses that hosts advertise to it.
fn relay_packets(addresses: &mut [HostAddresses]) -> Result<Arc<PacketRelay>, Whatever> {
    for host in &mut *addresses {
        host.advertised_gossip = unused_address();
    }
    let links = addresses.iter().map(|host| RelayedHost {
        host: host.gossip,
        advertised: host.advertised_gossip,
    });
    start_packet_relay(links.collect()).whatever_context("packet relay does not start")
}

fn owned(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}

/// Returns the arguments of a target's stand-in.
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
    /// Their names and addresses.
    pub addresses: Vec<HostAddresses>,
    /// Platform.
    pub platform: StandinProcess,
    /// Targets, in the order of the catalogue.
    pub targets: Vec<StandinProcess>,
    /// Catalogue with the targets' real addresses.
    pub catalog: CatalogSpec,
    /// Relay of the packets between hosts, if there is one.
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
    let mut process =
        ProcessHandle::spawn(&mut command).whatever_context("stand-in does not start")?;
    let output = process
        .child
        .stdout
        .take()
        .whatever_context("stand-in has no output")?;
    let mut output = BufReader::new(output);
    let mut line = String::new();
    output
        .read_line(&mut line)
        .whatever_context("stand-in prints nothing")?;
    let address = line
        .trim()
        .strip_prefix("listening ")
        .and_then(|address| address.parse().ok())
        .whatever_context("stand-in prints no address")?;
    let lines = Arc::new(Mutex::new(Vec::new()));
    let kept = lines.clone();
    // Ends with the process, whose death closes the pipe.
    std::thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            kept.lock().expect("line lock").push(line);
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
    let test = std::env::current_exe().whatever_context("own path is unknown")?;
    let folders = test.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join("crocusyard_standin"))
        .find(|path| path.exists());
    found.whatever_context("crocusyard_standin is not built; run `cargo build --workspace` first")
}
