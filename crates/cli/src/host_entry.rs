//! The one place where the command line calls the host.

use crate::error::{CliError, HostSnafu};
use crocusyard_catalog::prelude::CatalogSpec;
use crocusyard_host::prelude::{serve, HostKeys};
use crocusyard_settings::prelude::{HostSettings, SecretText};
use snafu::ResultExt;

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

/// Runs a host until it has stopped in a planned way.
///
/// # Errors
///
/// Fails if the host cannot be started.
pub async fn run_host(inputs: HostInputs) -> Result<(), CliError> {
    let keys = HostKeys {
        operator: inputs.operator_key,
        gossip: inputs.gossip_key,
    };
    serve(inputs.settings, keys, inputs.catalog)
        .await
        .context(HostSnafu)
}
