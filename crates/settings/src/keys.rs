//! The keys of a settings file, with ranges and defaults.
//!
//! The settings page shows the same tables to operators. Tests compare the page with these tables,
//! and the defaults here with those of the structs.

use crocusyard_catalog::shape::KeyPresence::{Default, Optional, Required};
use crocusyard_catalog::shape::ValueShape::{
    Address, Choice, EnvVariable, Map, Name, Number, Struct, Text,
};
use crocusyard_catalog::shape::{KeyPresence, KeySpec, ValueShape};

const LOG_LEVEL: ValueShape = Choice(&["off", "error", "warn", "info", "debug", "trace"]);

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

const fn integer(min: u64, max: u64) -> ValueShape {
    ValueShape::Integer { min, max }
}

/// Keys at the top level of the settings file of one host.
pub const HOST_KEYS: &[KeySpec] = &[
    key(
        "name",
        Name,
        Required,
        "name, unique among the hosts of the deployment",
    ),
    key("domain", Name, Required, "failure domain"),
    key("region", Name, Required, "region"),
    key(
        "catalog",
        Text,
        Optional,
        "file of the catalogue to start from when no preset has been accepted yet, relative to this file",
    ),
    key(
        "listen",
        Struct(LISTEN_KEYS),
        Required,
        "addresses of this host",
    ),
    key(
        "platform",
        Struct(PLATFORM_KEYS),
        Required,
        "table service, object store and host list",
    ),
    key("keys", Struct(KEYS_SECTION_KEYS), Optional, "sources of the keys"),
    key(
        "address",
        Struct(ADDRESS_KEYS),
        Optional,
        "address answers and draining",
    ),
    key(
        "membership",
        Struct(MEMBERSHIP_KEYS),
        Optional,
        "failure detection and messages between hosts",
    ),
    key(
        "lease",
        Struct(LEASE_KEYS),
        Optional,
        "lease on the moves of the region",
    ),
    key(
        "requests",
        Struct(REQUEST_KEYS),
        Optional,
        "time limits and retries of requests",
    ),
    key(
        "limits",
        Struct(LIMIT_KEYS),
        Optional,
        "limits on what callers may send",
    ),
    key("log", Struct(LOG_KEYS), Optional, "logging"),
];

/// Keys of section `listen`.
pub const LISTEN_KEYS: &[KeySpec] = &[
    key(
        "callers",
        Address,
        Required,
        "address for callers, operators and other hosts over TCP",
    ),
    key(
        "advertised_callers",
        Address,
        Required,
        "the same as others reach it",
    ),
    key(
        "gossip",
        Address,
        Required,
        "address for messages between hosts over UDP",
    ),
    key(
        "advertised_gossip",
        Address,
        Required,
        "the same as others reach it",
    ),
];

/// Keys of section `platform`.
pub const PLATFORM_KEYS: &[KeySpec] = &[
    key("table", Address, Required, "address of the table service"),
    key("objects", Address, Required, "address of the object store"),
    key("hosts", Address, Required, "address of the host list"),
    key(
        "table_timeout_ms",
        integer(10, 60_000),
        Default("1000"),
        "time limit of one call to the table service",
    ),
    key(
        "object_timeout_ms",
        integer(10, 60_000),
        Default("3000"),
        "time limit of one call to the object store",
    ),
    key(
        "host_timeout_ms",
        integer(10, 60_000),
        Default("1000"),
        "time limit of one call to the host list",
    ),
    key(
        "host_poll_ms",
        integer(100, 600_000),
        Default("5000"),
        "time between two reads of the host list",
    ),
    key(
        "preset_poll_ms",
        integer(100, 600_000),
        Default("5000"),
        "time between two reads of the preset pointer",
    ),
];

/// Keys of section `keys`.
pub const KEYS_SECTION_KEYS: &[KeySpec] = &[
    key("operator", Struct(KEY_SOURCE_KEYS), Optional, "key that operators present; default `env: CROCUSYARD_OPERATOR_KEY`"),
    key("gossip", Struct(KEY_SOURCE_KEYS), Optional, "key that signs messages between hosts and resume tokens; default `env: CROCUSYARD_GOSSIP_KEY`"),
];

/// Keys of `keys.operator` and `keys.gossip`.
pub const KEY_SOURCE_KEYS: &[KeySpec] = &[
    key(
        "file",
        Text,
        Optional,
        "file that holds the key; exactly one of `file` and `env` is given",
    ),
    key(
        "env",
        EnvVariable,
        Optional,
        "environment variable that holds the key",
    ),
];

/// Keys of section `address`.
pub const ADDRESS_KEYS: &[KeySpec] = &[
    key("ttl_ms", integer(100, 2800), Default("2000"), "time for which callers may keep an address answer; a leaving host must get no new work after 3 s"),
    key("drain_ms", integer(0, 600_000), Default("1000"), "time for which a draining host stays up after the last answer that names it has run out"),
    key("stale_ms", integer(1000, 3_600_000), Default("30000"), "time without confirmation that the preset is current after which the host leaves the address answers"),
];

/// Keys of section `membership`.
pub const MEMBERSHIP_KEYS: &[KeySpec] = &[
    key(
        "ping_interval_ms",
        integer(50, 60_000),
        Default("250"),
        "time between two pings that a host sends",
    ),
    key(
        "ping_timeout_ms",
        integer(5, 30_000),
        Default("500"),
        "time after which an unanswered ping is tried through other hosts",
    ),
    key(
        "suspicion_ms",
        integer(100, 120_000),
        Default("2000"),
        "time for which a suspected host may refute before it counts as dead",
    ),
    key(
        "budget_bytes",
        integer(2400, 23_000),
        Default("23000"),
        "bytes a second that a host sends to other hosts; two packets are the least",
    ),
];

/// Keys of section `lease`.
pub const LEASE_KEYS: &[KeySpec] = &[
    key(
        "length_ms",
        integer(1000, 600_000),
        Default("10000"),
        "length of a lease",
    ),
    key(
        "renew_ms",
        integer(100, 300_000),
        Default("3000"),
        "time after which the holder renews",
    ),
    key(
        "drift",
        Number { min: 0.0, max: 0.2 },
        Default("0.01"),
        "largest relative difference between the clock rates of two hosts",
    ),
    key(
        "order_lateness_ms",
        integer(0, 3_600_000),
        Default("30000"),
        "longest time for which an order to an engine can be late",
    ),
];

/// Keys of section `requests`.
pub const REQUEST_KEYS: &[KeySpec] = &[
    key("tenant_from", Choice(&["key", "header"]), Default("key"), "how the tenant is found: by the bearer key, or by `X-Tenant` for callers that are already authenticated"),
    key("connect_timeout_ms", integer(10, 60_000), Default("500"), "time limit for a connection to a target"),
    key("first_byte_ms", integer(10, 600_000), Default("5000"), "time to the first byte of an answer, before it is scaled to the target's load"),
    key("between_tokens_ms", integer(10, 60_000), Default("1000"), "time between two tokens, before it is scaled to the target's load"),
    key("probe_timeout_ms", integer(10, 60_000), Default("500"), "time limit for the probe of a target that has gone silent"),
    key("keepalive_ms", integer(100, 60_000), Default("5000"), "time between two comments on a stream that carries nothing else"),
    key("load_poll_ms", integer(50, 60_000), Default("500"), "time between two reads of the load report of a target in use; of others four times that"),
    key("load_polls", integer(1, 10_000), Default("15"), "reads of load reports a second over all targets"),
    key("attempts", integer(1, 10), Default("3"), "attempts of one request, the first included"),
    key("retry_budget", Number { min: 0.0, max: 0.1 }, Default("0.09"), "retries as a share of requests"),
    key("retry_pause_ms", integer(1, 60_000), Default("50"), "mean time before a retry"),
    key("crash_suspect_ms", integer(1000, 86_400_000), Default("600000"), "time for which a request that crashed two targets is refused"),
];

/// Keys of section `limits`.
pub const LIMIT_KEYS: &[KeySpec] = &[
    key(
        "body_bytes",
        integer(1024, 1 << 30),
        Default("8388608"),
        "largest request body",
    ),
    key(
        "header_bytes",
        integer(1024, 1 << 20),
        Default("32768"),
        "largest head of a request",
    ),
    key(
        "header_read_ms",
        integer(100, 600_000),
        Default("5000"),
        "time within which the head of a request must have arrived",
    ),
    key(
        "connections",
        integer(1, 1_000_000),
        Default("8192"),
        "connections from callers at once",
    ),
    key(
        "memory_mb",
        integer(64, 1_048_576),
        Default("512"),
        "memory that the process may use, MB",
    ),
    key(
        "descriptors",
        integer(256, 10_000_000),
        Default("10240"),
        "files and sockets that the process may have open",
    ),
];

/// Keys of section `log`.
pub const LOG_KEYS: &[KeySpec] = &[
    key(
        "level",
        LOG_LEVEL,
        Default("info"),
        "level of modules that are not listed",
    ),
    key(
        "modules",
        Map(&LOG_LEVEL),
        Optional,
        "level by module, as in `crocusyard_moves: debug`",
    ),
];
