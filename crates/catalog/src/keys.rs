//! The keys of a catalogue file, with the values that each one accepts.

use crate::shape::KeyPresence::{Default, Optional, Required};
use crate::shape::ValueShape::{
    Address, Boolean, Choice, EnvVariable, Integer, List, Name, Number, Struct, Text,
};
use crate::shape::{KeyPresence, KeySpec, ValueShape};

/// Largest accepted size, 16 TiB; a larger one is a mistake in the unit.
const SIZE_MAX_BYTES: u64 = 1 << 44;
/// Longest accepted time, one day; a longer one is a mistake in the unit.
const TIME_MAX_MS: u64 = 24 * 60 * 60 * 1000;

const SIZE: ValueShape = Integer {
    min: 1,
    max: SIZE_MAX_BYTES,
};
const TIME: ValueShape = Integer {
    min: 1,
    max: TIME_MAX_MS,
};
const COUNT: ValueShape = Integer {
    min: 1,
    max: 1_000_000,
};

const fn key(
    name: &'static str,
    shape: ValueShape,
    presence: KeyPresence,
    description: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        shape,
        presence,
        description,
    }
}

/// Keys at the top level of a catalogue.
pub const CATALOG_KEYS: &[KeySpec] = &[
    key(
        "regions",
        List(&Struct(REGION_KEYS)),
        Required,
        "regions with their failure domains",
    ),
    key("models", List(&Struct(MODEL_KEYS)), Optional, "base models"),
    key(
        "adapters",
        List(&Struct(ADAPTER_KEYS)),
        Optional,
        "adapters",
    ),
    key("targets", List(&Struct(TARGET_KEYS)), Optional, "targets"),
    key(
        "services",
        List(&Struct(SERVICE_KEYS)),
        Optional,
        "plain services",
    ),
    key("tenants", List(&Struct(TENANT_KEYS)), Optional, "tenants"),
    key(
        "classes",
        List(&Struct(CLASS_KEYS)),
        Optional,
        "request classes",
    ),
    key("presets", List(&Struct(PRESET_KEYS)), Optional, "presets"),
];

/// Keys of one entry of `regions`.
pub const REGION_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name"),
    key("domains", List(&Name), Required, "failure domains"),
    key(
        "weight_loads_per_second",
        Number {
            min: 0.001,
            max: 1e6,
        },
        Required,
        "model loads that the weight store starts a second",
    ),
    key(
        "weight_loads_at_once",
        COUNT,
        Required,
        "model loads that the weight store serves at once at full speed",
    ),
    key(
        "adapter_loads_in_transit",
        COUNT,
        Required,
        "adapter loads in transit beyond which loads slow in proportion",
    ),
];

/// Keys of one entry of `models`.
pub const MODEL_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name, as callers address it"),
    key(
        "memory_bytes",
        SIZE,
        Required,
        "accelerator memory of one resident copy",
    ),
    key(
        "load_ms",
        TIME,
        Required,
        "time to load a copy at full speed",
    ),
];

/// Keys of one entry of `adapters`.
pub const ADAPTER_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name, as callers address it"),
    key("model", Name, Required, "base model"),
    key(
        "memory_bytes",
        SIZE,
        Required,
        "accelerator memory of one resident copy",
    ),
];

/// Keys of one entry of `targets`.
pub const TARGET_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name"),
    key("address", Address, Required, "address and port"),
    key("domain", Name, Required, "failure domain"),
    key(
        "kind",
        Choice(&["engine", "plain"]),
        Required,
        "model engine or plain service",
    ),
    key(
        "service",
        Name,
        Optional,
        "service that a plain target runs",
    ),
    key(
        "memory_bytes",
        Integer {
            min: 0,
            max: SIZE_MAX_BYTES,
        },
        Default("0"),
        "accelerator memory for models and adapters; 0 for a plain target",
    ),
    key(
        "concurrency",
        COUNT,
        Default("16"),
        "requests at once, at the start of adaptation",
    ),
    key(
        "checks_fencing",
        Boolean,
        Default("false"),
        "whether the engine refuses orders with an old fencing number",
    ),
    key(
        "keeps_records",
        Boolean,
        Default("false"),
        "whether a record of keyed calls can be read back",
    ),
];

/// Keys of one entry of `services`.
pub const SERVICE_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name, as in `/services/{name}/`"),
    key(
        "routes",
        List(&Struct(ROUTE_KEYS)),
        Required,
        "routes; the first one that matches applies",
    ),
];

/// Keys of one entry of a service's `routes`.
pub const ROUTE_KEYS: &[KeySpec] = &[
    key(
        "method",
        Text,
        Required,
        "method in capitals, or `*` for any",
    ),
    key(
        "path",
        Text,
        Required,
        "prefix of the path below the service, starting with `/`",
    ),
    key(
        "idempotent",
        Boolean,
        Required,
        "whether a call may be repeated",
    ),
    key("class", Name, Required, "class of its requests"),
    key(
        "deadline_ms",
        TIME,
        Required,
        "deadline when the caller gives none",
    ),
    key(
        "body_bytes",
        SIZE,
        Default("1048576"),
        "largest request body",
    ),
];

/// Keys of one entry of `tenants`.
pub const TENANT_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name"),
    key(
        "weight",
        Integer {
            min: 1,
            max: 10_000,
        },
        Required,
        "share in fair queueing, relative to the other tenants",
    ),
    key(
        "key_env",
        EnvVariable,
        Optional,
        "environment variable of the host that holds the API key",
    ),
    key(
        "in_flight",
        COUNT,
        Required,
        "requests in progress at once on one host",
    ),
];

/// Keys of one entry of `classes`.
pub const CLASS_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name"),
    key(
        "priority",
        Integer { min: 0, max: 255 },
        Required,
        "priority; lower is served first",
    ),
    key(
        "deadline_ms",
        TIME,
        Required,
        "deadline when the caller gives none",
    ),
    key(
        "aging_ms",
        TIME,
        Required,
        "wait after which a queued request rises by one priority",
    ),
    key(
        "queue_limit",
        COUNT,
        Required,
        "requests queued at once on one host",
    ),
];

/// Keys of one entry of `presets`.
pub const PRESET_KEYS: &[KeySpec] = &[
    key("name", Name, Required, "name"),
    key(
        "attainment_weight",
        Number { min: 0.0, max: 1e6 },
        Required,
        "weight of attainment in placement",
    ),
    key(
        "move_cost",
        Number { min: 0.0, max: 1e6 },
        Required,
        "cost of one move, in the unit of attainment",
    ),
    key(
        "copies",
        List(&Struct(COPY_KEYS)),
        Optional,
        "copies that are kept resident",
    ),
    key(
        "drained",
        List(&Name),
        Optional,
        "targets that are being drained",
    ),
];

/// Keys of one entry of a preset's `copies`.
pub const COPY_KEYS: &[KeySpec] = &[
    key("model", Name, Required, "model"),
    key("min", COUNT, Required, "smallest number of copies"),
];
