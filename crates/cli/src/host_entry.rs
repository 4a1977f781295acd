//! The only module in which the command line calls the host crate.

use crate::error::{CliError, HostSnafu};
use crocusyard_catalog::prelude::CatalogSpec;
use crocusyard_host::prelude::{serve, HostKeys};
use crocusyard_settings::prelude::{HostSettings, SecretText};
use snafu::ResultExt;

/// Everything that a host needs to start.
#[derive(Debug)]
pub struct HostInputs {
    /// Checked settings of the host.
    pub settings: HostSettings,
    /// Key that operators present.
    pub operator_key: SecretText,
    /// Secret that all hosts share, which signs the packets between them.
    pub gossip_key: SecretText,
    /// Catalogue that the host starts with; empty if the settings name none.
    pub catalog: CatalogSpec,
}

/// Runs a host until its planned stop is complete.
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
