//! Typed settings of one process, read from YAML and checked before anything starts.
//!
//! [`HostSettings::from_yaml`](host::HostSettings::from_yaml) reads the file of one entry host.
//! Keys and passwords never stand in that file: it names a file or an environment variable, and
//! [`read_secret`](secret::read_secret) reads the text from there at start.

pub mod check;
pub mod error;
pub mod host;
pub mod keys;
pub mod page;
pub mod secret;
pub mod sections;

/// The common names of this crate.
pub mod prelude {
    pub use crate::error::SettingsError;
    pub use crate::host::HostSettings;
    pub use crate::secret::{read_secret, KeySource, SecretError, SecretText};
    pub use crate::sections::{
        AddressSettings, KeySettings, LeaseSettings, LimitSettings, ListenSettings, LogLevel,
        LogSettings, MembershipSettings, PlatformSettings, RequestSettings, TenantSource,
    };
}
