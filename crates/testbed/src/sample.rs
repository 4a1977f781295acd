//! The sample catalogue, and settings for hosts that serve it.

use crate::ports::unused_address;
use crocusyard_base::prelude::*;
use crocusyard_border::platform::ListedHost;
use crocusyard_catalog::prelude::*;
use std::net::SocketAddr;

/// Operator key of test deployments.
pub const OPERATOR_KEY: &str = "test-operator-key";
/// Key shared by the hosts of test deployments.
pub const GOSSIP_KEY: &str = "test-gossip-key-0123";

/// Failure domains of the sample catalogue.
pub const DOMAINS: [&str; 3] = ["plaza-mayor", "san-lesmes", "gamonal"];

/// Returns a small deployment: two engines and one plain service in one region.
pub fn sample_catalog() -> CatalogSpec {
    CatalogSpec::from_yaml(include_str!("sample.yaml")).expect("the sample catalogue is valid")
}

/// Name, failure domain and addresses of one entry host.
#[derive(Clone, Debug)]
pub struct HostAddresses {
    /// Host name.
    pub name: HostName,
    /// Failure domain that the host runs in.
    pub domain: DomainName,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address that the host listens on for packets of other hosts.
    pub gossip: SocketAddr,
    /// Address that other hosts send packets to: that of a packet relay if there is one, and
    /// otherwise that of the host.
    pub advertised_gossip: SocketAddr,
}

impl HostAddresses {
    /// Picks unused addresses for the host at `index`; hosts spread over the failure domains.
    pub fn pick(index: usize) -> Self {
        let gossip = unused_address();
        Self {
            name: HostName::new(&format!("entry-{index}")),
            domain: DomainName::new(DOMAINS[index % DOMAINS.len()]),
            callers: unused_address(),
            gossip,
            advertised_gossip: gossip,
        }
    }

    /// Returns the host's entry in the host list of the platform.
    pub fn listed(&self) -> ListedHost {
        ListedHost {
            name: self.name.to_string(),
            domain: self.domain.to_string(),
            caller_address: Some(self.callers.to_string()),
            gossip_address: Some(self.advertised_gossip.to_string()),
            leaving: false,
        }
    }
}

/// Returns the text of a host's settings file; `extra` is appended to it.
pub fn host_yaml(host: &HostAddresses, platform: SocketAddr, extra: &str) -> String {
    let HostAddresses {
        name,
        domain,
        callers,
        gossip,
        advertised_gossip,
    } = host;
    format!(
        "name: {name}\ndomain: {domain}\nregion: castilla-norte\n\
         listen: {{ callers: \"{callers}\", advertised_callers: \"{callers}\", \
         gossip: \"{gossip}\", advertised_gossip: \"{advertised_gossip}\" }}\n\
         platform: {{ table: \"{platform}\", objects: \"{platform}\", hosts: \"{platform}\", \
         host_poll_ms: 500, preset_poll_ms: 500 }}\n\
         address: {{ ttl_ms: 500, drain_ms: 100, stale_ms: 5000 }}\n{extra}"
    )
}
