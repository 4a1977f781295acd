//! The settings of one entry host, as data.

use crate::check::check_settings;
use crate::error::SettingsError;
use crate::keys::HOST_KEYS;
use crate::sections::{
    AddressSettings, KeySettings, LeaseSettings, LimitSettings, ListenSettings, LogSettings,
    MembershipSettings, PlatformSettings, RequestSettings,
};
use crocusyard_base::prelude::*;
use crocusyard_catalog::read::read_checked;
use serde::{Deserialize, Serialize};

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name, unique among the hosts of the deployment.
    pub name: HostName,
    /// Failure domain of the host, which the catalogue declares in its region.
    pub domain: DomainName,
    /// Region of the host, which the catalogue declares.
    pub region: RegionName,
    /// File of the catalogue to start from when no preset has been accepted yet, relative to the
    /// directory of the settings file.
    #[serde(default)]
    pub catalog: Option<String>,
    /// Addresses at which callers and other hosts reach this host.
    pub listen: ListenSettings,
    /// Addresses and time limits of the table service, object store and host list.
    pub platform: PlatformSettings,
    /// Files or environment variables that hold the keys.
    #[serde(default)]
    pub keys: KeySettings,
    /// Address answers and draining.
    #[serde(default)]
    pub address: AddressSettings,
    /// Failure detection and messages between hosts.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Lease on the moves of the region.
    #[serde(default)]
    pub lease: LeaseSettings,
    /// Time limits and retries of requests.
    #[serde(default)]
    pub requests: RequestSettings,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Levels of logging, overall and by module.
    #[serde(default)]
    pub log: LogSettings,
}

impl HostSettings {
    /// Reads settings from YAML and checks them.
    ///
    /// # Errors
    ///
    /// Fails with every problem that was found in the text.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        read_checked(text, HOST_KEYS, check_settings).map_err(|problems| SettingsError { problems })
    }
}
