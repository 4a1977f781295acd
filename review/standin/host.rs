//! An entry host process, started as the deploy file says.

use crate::http::get;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Command of the deploy file.
const PROGRAM: &str = "target/release/crocusyard";

/// A process of the project; it is killed when this value is dropped.
pub struct Host {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a free address for TCP.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    listener.local_addr().expect("an address")
}

/// Returns the first of two free ports: UDP on the first, TCP on the second.
fn free_range() -> u16 {
    for _ in 0..1_000 {
        let first = free_address().port();
        let Some(second) = first.checked_add(1) else {
            continue;
        };
        let udp = UdpSocket::bind(("127.0.0.1", first));
        let tcp = TcpListener::bind(("127.0.0.1", second));
        if udp.is_ok() && tcp.is_ok() {
            return first;
        }
    }
    panic!("no free range of ports");
}

impl Host {
    /// Starts the process `number` with settings like those of the small deployments.
    pub fn start(number: usize, store: SocketAddr, folder: &Path) -> Self {
        let name = format!("edge-{number}");
        let (front, ready) = (free_address(), free_address());
        let (directory, control) = (free_address(), free_address());
        let first = free_range();
        let settings = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,directory\n\
             ip=127.0.0.1\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n\
             listen_addrs.front={front}\nlisten_addrs.ready={ready}\n\
             listen_addrs.control={control}\nlisten_addrs.directory={directory}\n\
             port_range={first},{}\nseeds=\nbootstrap=true\nfault_counted=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\n\
             heartbeat_ms=1200\ncontracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stable_ms=3000\n\
             bounds.ack_ms=4000\nbounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\nbounds.retry_budget=0.2\n\
             bounds.retry_window_s=10\nbounds.retry_slack=58\nbounds.recovery_s=12\n\
             bounds.pass_ms=120\nbounds.retry_after_s=0\nbounds.require_fence=false\n\
             bounds.lease_ms=3000\nbounds.freeze_slack_ms=300\nbounds.ceiling_window_s=5\n\
             bounds.ceiling_excess=1.1\nbounds.ttl_max_s=5\nplatform.address={store}\n\
             platform.form=table\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             platform.tx_ms=4.0\nplatform.write_rate_s=250\nplatform.row_bytes=65536\n\
             platform.across=true\nplatform.history_s=20\nplatform.blob_bytes=8388608\n\
             platform.blob_ms=25.0\nplatform.blob_bw_s=80.0\n",
            u32::from(first) + 15
        );
        let path = folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("the settings file");
        let child = Command::new(PROGRAM)
            .arg("entry")
            .env("CROCUSYARD_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program of the deploy file");
        Self {
            child,
            name,
            front,
            ready,
        }
    }

    /// Waits until the host says that it is ready; returns whether it did in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if get(self.ready, "/crocusyard/ready").is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}
