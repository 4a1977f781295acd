//! The one place where the command line calls the host.

use crate::error::CliError;
use crocusyard_catalog::prelude::CatalogSpec;
use crocusyard_settings::prelude::{HostSettings, SecretText};

/// What a host is started with.
#[derive(Debug)]
pub struct HostInputs {
    /// Settings.
    pub settings: HostSettings,
    /// Key that operators present.
    pub operator_key: SecretText,
    /// Key that signs messages between hosts.
    pub gossip_key: SecretText,
    /// Catalogue to start from; empty if the settings name none.
    pub catalog: CatalogSpec,
}

/// Runs a host until it has stopped.
///
/// # Errors
///
/// Always fails with [`CliError::NoHost`] until the host crate has a `serve` function to call here.
pub async fn run_host(_inputs: HostInputs) -> Result<(), CliError> {
    Err(CliError::NoHost)
}
