//! Entry hosts as separate processes, started with the command of the deploy file.

use crate::http::call;
use crate::record::Record;
use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Processes that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of hosts.
pub fn end_all() {
    for process in RUNNING.lock().expect("the processes").drain(..) {
        // SAFETY: the processes are children that have not been waited for.
        unsafe { kill(process as i32, SIGKILL) };
    }
}

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Ports of a host; they are the same on all hosts.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    directory: u16,
    control: u16,
    first: u16,
}

/// An entry host.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    command: Vec<String>,
    child: Option<Child>,
}

/// Returns an address of the loopback network that only this run uses.
fn own_ip(number: usize) -> String {
    let process = std::process::id();
    format!(
        "127.{}.{}.{}",
        1 + process % 200,
        1 + process / 200 % 200,
        number
    )
}

/// Returns the address of a stand-in.
pub fn standin_ip() -> String {
    own_ip(200)
}

fn is_free(ips: &[String], port: u16) -> bool {
    ips.iter().all(|ip| {
        let address = (ip.as_str(), port);
        TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
    })
}

/// Returns the command of the entry role in the deploy file.
fn deploy_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.starts_with("run = "))
        .expect("a command");
    let command = line.trim_start_matches("run = ").trim_matches('"');
    command.split(' ').map(str::to_owned).collect()
}

/// Starts a host in each zone, with settings like those of a small deployment.
pub fn start_hosts(count: usize, store: SocketAddr, folder: &Path) -> Vec<Host> {
    let ips: Vec<String> = (0..count).map(|number| own_ip(number + 1)).collect();
    let mut port = 20_000 + (std::process::id() % 9_000) as u16 * 4;
    let mut next = || loop {
        port = if port > 60_000 { 20_000 } else { port + 1 };
        if is_free(&ips, port) {
            return port;
        }
    };
    let (front, ready, directory, control) = (next(), next(), next(), next());
    let first = loop {
        let first = next();
        if is_free(&ips, first + 1) {
            break first;
        }
    };
    let ports = Ports {
        front,
        ready,
        directory,
        control,
        first,
    };
    let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:{control}")).collect();
    let hosts = ips.iter().enumerate();
    hosts
        .map(|(number, ip)| start_host(number, ip, ports, &seeds, store, folder))
        .collect()
}

fn start_host(
    number: usize,
    ip: &str,
    ports: Ports,
    seeds: &[String],
    store: SocketAddr,
    folder: &Path,
) -> Host {
    let name = format!("edge-zone-{number}-1");
    let settings = folder.join(format!("{name}.conf"));
    let Ports {
        front,
        ready,
        directory,
        control,
        first,
    } = ports;
    let last = first + 15;
    let seeds = seeds.join(",");
    let text = format!(
        "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip={ip}\n\
         zone=zone-{number}\nregion=region\nzones.zone-0=region\nzones.zone-1=region\n\
         zones.zone-2=region\nlisten_addrs.front={ip}:{front}\nlisten_addrs.ready={ip}:{ready}\n\
         listen_addrs.control={ip}:{control}\nlisten_addrs.directory={ip}:{directory}\n\
         port_range={first},{last}\nseeds={seeds}\nbootstrap=true\nfault_counted=true\n\
         limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
         limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\n\
         heartbeat_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
         fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
         bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\n\
         bounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
         bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n\
         bounds.retry_budget=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=58\n\
         bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.retry_after_s=0\n\
         bounds.require_fence=false\nbounds.lease_ms=3000\nbounds.freeze_slack_ms=300\n\
         bounds.ceiling_window_s=5\nbounds.ceiling_excess=1.1\nbounds.ttl_max_s=5\n\
         platform.address={store}\nplatform.form=table\nplatform.writes_per_s=400\n\
         platform.reads_per_s=2000\nplatform.tx_ms=4.0\nplatform.write_rate_s=250\n\
         platform.row_bytes=65536\nplatform.across=true\nplatform.history_s=20\n\
         platform.blob_bytes=8388608\nplatform.blob_ms=25.0\nplatform.blob_bw_s=80.0\n"
    );
    std::fs::write(&settings, text).expect("a settings file");
    let ip: IpAddr = ip.parse().expect("an address");
    let mut host = Host {
        log: folder.join(format!("{name}.log")),
        front: SocketAddr::new(ip, front),
        ready: SocketAddr::new(ip, ready),
        name,
        settings,
        command: deploy_command(),
        child: None,
    };
    host.start();
    host
}

impl Host {
    /// Starts a process of the host.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("CROCUSYARD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("a process of the host");
        RUNNING.lock().expect("the processes").push(child.id());
        self.child = Some(child);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            forget(child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the stop signal.
    pub fn terminate(&mut self) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Waits until the process ends; it is killed at the end of the grace time.
    pub fn wait_end(&mut self, grace: Duration) {
        let end = Instant::now() + grace;
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                forget(child.id());
                self.child = None;
            } else if Instant::now() > end {
                self.kill();
            } else {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Returns whether the host says that it takes requests.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let headers = [("Host", "ready")];
        let answer = call(self.ready, "GET", "/crocusyard/ready", &headers, &[], limit);
        matches!(answer, Ok(answer) if answer.status == 200)
    }

    pub fn wait_ready(&self, record: &Record) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                record.add(&format!("host {} ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

fn forget(process: u32) {
    RUNNING
        .lock()
        .expect("the processes")
        .retain(|known| *known != process);
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
