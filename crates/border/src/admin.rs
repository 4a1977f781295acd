//! Request and response bodies of the operators' interface, `/admin/*`.
//!
//! The command line writes the requests and reads the responses; the host does the reverse. Both
//! ignore unknown fields, so that hosts and command lines of different versions work together.

use serde::{Deserialize, Serialize};

/// Answer to `GET /admin/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Name of the host that answers.
    pub host: String,
    /// Failure domain of that host.
    pub domain: String,
    /// Whether the host accepts requests.
    pub ready: bool,
    /// Whether the host is draining.
    pub leaving: bool,
    /// Preset version in force on the host.
    pub preset_version: u64,
    /// Name of the preset in force on the host.
    pub preset: String,
    /// Entry hosts that the host knows.
    pub members: Vec<MemberStatus>,
    /// Targets that the host knows.
    pub targets: Vec<TargetStatus>,
    /// Leases that the host knows.
    pub leases: Vec<LeaseStatus>,
    /// Moves that have not ended.
    pub moves: Vec<MoveStatus>,
}

/// An entry host, as listed in [`StatusReply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the entry host.
    pub name: String,
    /// Failure domain of the entry host.
    pub domain: String,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Address and port at which callers reach the entry host.
    pub address: String,
}

/// A target, as listed in [`StatusReply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name of the target.
    pub name: String,
    /// Failure domain of the target.
    pub domain: String,
    /// Whether the target is leaving or drained.
    pub leaving: bool,
    /// Number of requests that the target runs.
    pub running: u32,
    /// Models and adapters on the target.
    pub copies: Vec<CopyStatus>,
}

/// A model or adapter on a target, as listed in [`TargetStatus`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyStatus {
    /// Name of the model or adapter.
    pub name: String,
    /// `resident`, `loading` or `unloading`.
    pub state: String,
    /// Accelerator memory that the copy takes, bytes.
    pub memory_bytes: u64,
}

/// The lease of a region, as listed in [`StatusReply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Region whose moves the lease covers.
    pub region: String,
    /// Host that holds the lease; empty if none does.
    pub holder: String,
    /// Fencing number of the lease.
    pub fencing: u64,
}

/// A load or unload in progress, as listed in [`StatusReply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Order id, as 32 hexadecimal digits.
    pub order: String,
    /// Target that loads or unloads.
    pub target: String,
    /// `load` or `unload`.
    pub action: String,
    /// Name of the model or adapter.
    pub name: String,
    /// State of the order that carries out the move.
    pub state: String,
}

/// Answer to `GET /admin/presets`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetListReply {
    /// Version in force; 0 before the first one is accepted.
    pub version: u64,
    /// Name of the preset in force.
    pub in_force: String,
    /// Names of all presets of the catalogue.
    pub presets: Vec<String>,
}

/// Answer to `GET /admin/presets/{version}`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetBodyReply {
    /// Preset version that was asked for.
    pub version: u64,
    /// Digest of the stored body, as hexadecimal digits.
    pub digest: String,
    /// Name of the preset that this version puts in force.
    pub in_force: String,
    /// Catalogue of this version, as YAML.
    pub catalog: String,
}

/// Body of `POST /admin/presets/apply`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyCommand {
    /// Catalogue to put in force, as YAML.
    pub catalog: String,
    /// Version that the operator started from; `None` to take whichever is in force.
    pub base_version: Option<u64>,
    /// Who makes the change.
    pub author: String,
}

/// Body of `POST /admin/presets/activate`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivateCommand {
    /// Name of the preset to put in force.
    pub name: String,
    /// Version that the operator started from; `None` to take whichever is in force.
    pub base_version: Option<u64>,
    /// Who makes the change.
    pub author: String,
}

/// Answer 200 to `POST /admin/presets/apply` and `POST /admin/presets/activate`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Version in force after the change.
    pub version: u64,
    /// Whether anything changed; if not, there is no new version.
    pub changed: bool,
    /// Differences to the previous version, one per line.
    pub diff: Vec<String>,
}

/// Answer 409 to an apply or activate command: another change was made after the base version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Preset version in force.
    pub version: u64,
    /// Differences between the base version and the version in force, one per line.
    pub diff: Vec<String>,
}

/// Answer 422 to an apply or activate command: the catalogue is not valid.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemsReply {
    /// Every problem that was found.
    pub problems: Vec<CatalogProblem>,
}

/// A problem in a catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogProblem {
    /// Line in the catalogue, counted from 1.
    pub line: u32,
    /// Path of the key; empty for the whole file.
    pub path: String,
    /// What was expected at the path.
    pub expected: String,
}

/// Answer to `GET /admin/presets/history`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Preset versions, newest first.
    pub entries: Vec<HistoryEntry>,
}

/// A preset version, as listed in [`HistoryReply`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the version.
    pub version: u64,
    /// Digest of the stored body, as hexadecimal digits.
    pub digest: String,
    /// Name of the preset that the version put in force.
    pub in_force: String,
    /// Who made the change.
    pub author: String,
    /// Wall-clock time of the change, milliseconds since 1970.
    pub unix_ms: u64,
}

/// Body of `POST /admin/drain` and of its answer 202, without fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainCommand {}
