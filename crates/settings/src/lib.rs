//! Typed settings of one process, which are read from YAML and checked before the process starts.
//!
//! [`HostSettings::from_yaml`](host::HostSettings::from_yaml) reads the file of one entry host.
//! That file never holds keys or passwords: it names the file or environment variable that holds
//! each one, and [`read_secret`](secret::read_secret) reads the key from there at start.

pub mod check;
pub mod error;
pub mod host;
pub mod keys;
pub mod page;
pub mod secret;
pub mod sections;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::error::SettingsError;
    pub use crate::host::HostSettings;
    pub use crate::secret::{read_secret, KeySource, SecretError, SecretText};
    pub use crate::sections::{
        AddressSettings, KeySettings, LeaseSettings, LimitSettings, ListenSettings, LogLevel,
        LogSettings, MembershipSettings, PlatformSettings, RequestSettings, TenantSource,
    };
}
