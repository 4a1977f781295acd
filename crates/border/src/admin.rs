//! Bodies of the operators' interface, `/admin/*`.
//!
//! The host writes them and the command line reads them, or the other way round. Both sides ignore
//! fields that they do not know, so that hosts and command lines of different ages work together.

use serde::{Deserialize, Serialize};

/// Answer to `GET /admin/status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Name of the host that answers.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is draining.
    pub leaving: bool,
    /// Version in force on it.
    pub preset_version: u64,
    /// Preset in force on it.
    pub preset: String,
    /// Entry hosts that it knows.
    pub members: Vec<MemberStatus>,
    /// Targets.
    pub targets: Vec<TargetStatus>,
    /// Leases that it knows.
    pub leases: Vec<LeaseStatus>,
    /// Moves that have not ended.
    pub moves: Vec<MoveStatus>,
}

/// An entry host in a status.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Address and port for callers.
    pub address: String,
}

/// A target in a status.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Whether it is leaving or drained.
    pub leaving: bool,
    /// Requests that it runs.
    pub running: u32,
    /// Models and adapters on it.
    pub copies: Vec<CopyStatus>,
}

/// A model or adapter on a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyStatus {
    /// Name of the model or adapter.
    pub name: String,
    /// `resident`, `loading` or `unloading`.
    pub state: String,
    /// Accelerator memory, bytes.
    pub memory_bytes: u64,
}

/// The lease of a region in a status.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Region.
    pub region: String,
    /// Host that holds the lease; empty if none does.
    pub holder: String,
    /// Fencing number.
    pub fencing: u64,
}

/// A move in a status.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveStatus {
    /// Order id, as 32 hexadecimal digits.
    pub order: String,
    /// Target.
    pub target: String,
    /// `load` or `unload`.
    pub action: String,
    /// Model or adapter.
    pub name: String,
    /// State of the order.
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
    /// Version.
    pub version: u64,
    /// Digest of the body.
    pub digest: String,
    /// Name of the preset that this version puts in force.
    pub in_force: String,
    /// Catalogue, as YAML.
    pub catalog: String,
}

/// Body of `POST /admin/presets/apply`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyCommand {
    /// Catalogue, as YAML.
    pub catalog: String,
    /// Version that the operator started from; `None` to take whichever is in force.
    pub base_version: Option<u64>,
    /// Who makes the change.
    pub author: String,
}

/// Body of `POST /admin/presets/activate`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivateCommand {
    /// Name of the preset.
    pub name: String,
    /// Version that the operator started from; `None` to take whichever is in force.
    pub base_version: Option<u64>,
    /// Who makes the change.
    pub author: String,
}

/// Answer 200 to an apply or activate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// Version in force after the change.
    pub version: u64,
    /// Whether anything changed; if not, there is no new version.
    pub changed: bool,
    /// Differences to the version before, one a line.
    pub diff: Vec<String>,
}

/// Answer 409 to an apply or activate: another change came first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictReply {
    /// Version in force.
    pub version: u64,
    /// Differences between the base version and the one in force, one a line.
    pub diff: Vec<String>,
}

/// Answer 422 to an apply or activate: the catalogue is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemsReply {
    /// Every fault that was found.
    pub problems: Vec<CatalogProblem>,
}

/// A fault of a catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogProblem {
    /// Line, counted from 1.
    pub line: u32,
    /// Path of the key; empty for the whole file.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

/// Answer to `GET /admin/presets/history`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Versions, newest first.
    pub entries: Vec<HistoryEntry>,
}

/// A version in the history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version.
    pub version: u64,
    /// Digest of the body.
    pub digest: String,
    /// Name of the preset that it put in force.
    pub in_force: String,
    /// Who made it.
    pub author: String,
    /// Wall-clock time of the change, milliseconds since 1970.
    pub unix_ms: u64,
}

/// Body of `POST /admin/drain`, and of its answer 202.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainCommand {}
