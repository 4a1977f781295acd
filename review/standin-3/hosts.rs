//! The entry hosts under test: real processes, started as the deploy file does.

use crate::record;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The ports of all hosts, which differ in their addresses.
#[derive(Clone, Copy)]
pub struct Ports(u16);

const COUNT: u16 = 24;

impl Ports {
    /// Finds ports that are free at all the addresses of `hosts` hosts.
    pub fn find(hosts: usize) -> Self {
        let seed = std::process::id() as u16 % 300;
        for step in 0..300_u16 {
            let base = 20_000 + (seed + step) % 300 * 32;
            let free = (0..hosts).all(|host| {
                (0..COUNT).all(|port| {
                    let address = (ip(host), base + port);
                    TcpListener::bind(address.clone()).is_ok() && UdpSocket::bind(address).is_ok()
                })
            });
            if free {
                return Self(base);
            }
        }
        panic!("no free ports");
    }

    fn at(self, host: usize, place: u16) -> SocketAddr {
        SocketAddr::new(ip(host).parse().expect("an address"), self.0 + place)
    }
}

fn ip(host: usize) -> String {
    format!("127.0.7.{}", host + 1)
}

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Host {
    /// Describes host `number`; it is not started.
    pub fn new(number: usize, ports: Ports, store: SocketAddr, folder: &std::path::Path) -> Self {
        let name = format!("edge-{}-1", ZONES[number % 3]);
        let name = if number < 3 {
            name
        } else {
            format!("edge-{}-{}", ZONES[number % 3], number / 3 + 1)
        };
        let (front, ready) = (ports.at(number, 0), ports.at(number, 1));
        let (control, directory) = (ports.at(number, 2), ports.at(number, 3));
        let inner = ports.at(number, 6).port();
        let text = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip={}\nzone={}\n\
             region=region-1\nzones.zone-a=region-1\nzones.zone-b=region-1\nzones.zone-c=region-1\n\
             listen_addrs.front={front}\nlisten_addrs.ready={ready}\nlisten_addrs.control={control}\n\
             listen_addrs.directory={directory}\nport_range={inner},{}\nseeds=\nbootstrap=true\n\
             fault_counted=false\nlimits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry=directory\nheartbeat_ms=1200\n\
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
             platform.blob_bytes=8388608\nplatform.blob_ms=25.0\nplatform.blob_bw_s=80.0\n",
            ip(number), ZONES[number % 3], inner + 15
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings cannot be written");
        let folder = folder.to_owned();
        Self {
            name,
            front,
            ready,
            directory,
            settings,
            folder,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let path = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("a log");
        let keep = |name: &str| std::env::var(name).unwrap_or_default();
        let child = Command::new("target/release/crocusyard")
            .arg("entry")
            .env_clear()
            .envs([
                ("PATH", keep("PATH")),
                ("HOME", keep("HOME")),
                ("LANG", keep("LANG")),
            ])
            .env("CROCUSYARD_CONFIG", &self.settings)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the host cannot start");
        record::line(&format!("{} is started", self.name));
        self.child = Some(child);
    }

    /// Sends a signal, by the number of the process.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        record::line(&format!("{} gets SIG{signal}", self.name));
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "the signal cannot be sent"
        );
    }

    /// Returns how the process ended, if it has ended.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.ended() {
                record::line(&format!("{} has ended: {status}", self.name));
                self.child = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /crocusyard/ready HTTP/1.1\r\nHost: x\r\n";
        let answer = crate::http::call(self.ready, head, b"", Duration::from_secs(1));
        matches!(answer, Ok(Some(answer)) if answer.status == 200)
    }

    /// Waits until the host is ready; a case that gets no ready host could not run.
    pub fn wait_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(20) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
