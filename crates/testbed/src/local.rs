//! A deployment whose hosts, targets and platform run inside one program.

use crate::ports::LOOPBACK;
use crate::sample::{host_yaml, sample_catalog, HostAddresses, GOSSIP_KEY, OPERATOR_KEY};
use crocusyard_base::prelude::*;
use crocusyard_border::platform::HostListing;
use crocusyard_catalog::prelude::*;
use crocusyard_host::prelude::*;
use crocusyard_settings::prelude::{HostSettings, SecretText};
use crocusyard_standins::prelude::*;
use snafu::{ResultExt, Whatever};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings section that makes hosts take the tenant from a header.
const TENANT_BY_HEADER: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n";
/// Time within which every host must become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Builder of a [`LocalDeployment`].
#[derive(Clone, Debug)]
pub struct LocalBuilder {
    hosts: usize,
    catalog: CatalogSpec,
    engine: EngineOptions,
    service_ms: u64,
    relayed: bool,
    settings: String,
}

impl Default for LocalBuilder {
    fn default() -> Self {
        let resident = vec![
            ("chalk-small".to_owned(), 4_000_000_000),
            ("chalk-large".to_owned(), 9_000_000_000),
        ];
        Self {
            hosts: 3,
            catalog: sample_catalog(),
            engine: EngineOptions {
                resident,
                ..EngineOptions::default()
            },
            service_ms: 2,
            relayed: false,
            settings: TENANT_BY_HEADER.to_owned(),
        }
    }
}

impl LocalBuilder {
    /// Sets the number of entry hosts.
    #[must_use]
    pub fn hosts(mut self, count: usize) -> Self {
        self.hosts = count;
        self
    }

    /// Sets the catalogue; target addresses are replaced by those of the stand-ins.
    #[must_use]
    pub fn catalog(mut self, catalog: CatalogSpec) -> Self {
        self.catalog = catalog;
        self
    }

    /// Sets the options of the engines, except the listen address and what the catalogue declares:
    /// memory, fencing check and adapters.
    #[must_use]
    pub fn engine(mut self, options: EngineOptions) -> Self {
        self.engine = options;
        self
    }

    /// Sets the time that a call to a plain service takes, milliseconds.
    #[must_use]
    pub fn service_ms(mut self, time: u64) -> Self {
        self.service_ms = time;
        self
    }

    /// Puts a relay that can inject faults before every target.
    #[must_use]
    pub fn relayed(mut self) -> Self {
        self.relayed = true;
        self
    }

    /// Sets the sections of the hosts' settings files other than addresses and platform.
    #[must_use]
    pub fn settings(mut self, yaml: &str) -> Self {
        yaml.clone_into(&mut self.settings);
        self
    }

    /// Starts everything and waits until every host is ready.
    pub async fn start(self) -> Result<LocalDeployment, Whatever> {
        let addresses: Vec<_> = (0..self.hosts).map(HostAddresses::pick).collect();
        let platform = start_platform(PlatformOptions {
            listen: LOOPBACK,
            listing: HostListing {
                hosts: addresses.iter().map(HostAddresses::listed).collect(),
                targets: Vec::new(),
            },
            loads_at_once: 15,
        })
        .whatever_context("the platform stand-in cannot be started")?;
        let mut deployment = LocalDeployment {
            hosts: Vec::new(),
            addresses,
            platform,
            targets: BTreeMap::new(),
            relays: BTreeMap::new(),
            catalog: self.catalog.clone(),
        };
        self.start_targets(&mut deployment).await?;
        for host in deployment.addresses.clone() {
            let handle = deployment.start_host(&host, &self.settings)?;
            deployment.hosts.push(handle);
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn start_targets(&self, deployment: &mut LocalDeployment) -> Result<(), Whatever> {
        let adapters = adapter_options(&self.catalog);
        for target in &mut deployment.catalog.targets {
            let server = match target.kind {
                TargetKind::Engine => start_engine(EngineOptions {
                    listen: LOOPBACK,
                    memory_bytes: target.memory_bytes,
                    checks_fencing: target.checks_fencing,
                    adapters: adapters.clone(),
                    ..self.engine.clone()
                }),
                TargetKind::Plain => start_plain(PlainOptions {
                    listen: LOOPBACK,
                    service_ms: self.service_ms,
                }),
            }
            .whatever_context("the stand-in of a target cannot be started")?;
            target.address = server.address;
            if self.relayed {
                let (address, relay) = start_relay(server.address)
                    .await
                    .whatever_context("the relay before a target cannot be started")?;
                target.address = address;
                deployment.relays.insert(target.name.clone(), relay);
            }
            deployment.targets.insert(target.name.clone(), server);
        }
        Ok(())
    }
}

/// Lists the adapters that engines load by themselves when a request asks for one.
fn adapter_options(catalog: &CatalogSpec) -> Vec<LoadableAdapter> {
    let adapters = catalog.adapters.iter().map(|adapter| LoadableAdapter {
        name: adapter.name.to_string(),
        model: adapter.model.to_string(),
        memory_bytes: adapter.memory_bytes,
    });
    adapters.collect()
}

/// A running deployment inside one program.
pub struct LocalDeployment {
    /// Entry hosts.
    pub hosts: Vec<HostHandle>,
    /// Names and addresses of the hosts, by index.
    pub addresses: Vec<HostAddresses>,
    /// Stand-in of the platform: table, object store and host list.
    pub platform: RunningServer,
    /// Stand-ins of the targets, by name.
    pub targets: BTreeMap<TargetName, RunningServer>,
    /// Relays before the targets, by target; empty unless the builder asked for them.
    pub relays: BTreeMap<TargetName, std::sync::Arc<RelaySwitch>>,
    /// Catalogue with the addresses of the targets, or of the relays before them.
    pub catalog: CatalogSpec,
}

impl LocalDeployment {
    /// Starts a further entry host, or starts one again after it has stopped.
    pub fn start_host(&self, host: &HostAddresses, settings: &str) -> Result<HostHandle, Whatever> {
        let yaml = host_yaml(host, self.platform.address, settings);
        let settings = HostSettings::from_yaml(&yaml)
            .whatever_context("the settings of an entry host are invalid")?;
        let keys = HostKeys {
            operator: SecretText::new(OPERATOR_KEY),
            gossip: SecretText::new(GOSSIP_KEY),
        };
        start_host(settings, &keys, self.catalog.clone())
            .whatever_context("an entry host cannot be started")
    }

    /// Returns the caller address of the host at `index`.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.hosts[index].address
    }

    async fn wait_ready(&self) -> Result<(), Whatever> {
        for host in &self.hosts {
            wait_ready(host.address).await?;
        }
        Ok(())
    }
}

/// Waits until the host at a caller address reports that it is ready.
pub async fn wait_ready(address: SocketAddr) -> Result<(), Whatever> {
    let client = awc::Client::default();
    let poll = async {
        loop {
            let answer = client.get(format!("http://{address}/readyz")).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    actix_rt::time::timeout(READY_LIMIT, poll)
        .await
        .whatever_context("an entry host did not become ready in time")
}
