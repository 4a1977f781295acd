//! Converts the settings of a host into the settings of its features.

use crocusyard_core::prelude::{FeatureSettings, HostIdentity};
use crocusyard_membership::prelude::MembershipSettings;
use crocusyard_moves::prelude::MoveSettings;
use crocusyard_presets::prelude::PresetSettings;
use crocusyard_requests::prelude::{RequestLimits, RequestSettings};
use crocusyard_routing::prelude::AddressTuning;
use crocusyard_settings::prelude::HostSettings;
use std::time::{SystemTime, UNIX_EPOCH};

/// Fraction of the gossip byte budget that is used for sending. Hosts receive about as much as they
/// send.
const SEND_SHARE: f64 = 0.48;

/// Returns the settings of all features.
pub(crate) fn feature_settings(settings: &HostSettings) -> FeatureSettings {
    let seed = process_seed();
    FeatureSettings {
        identity: HostIdentity {
            name: settings.name.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            caller_address: settings.listen.advertised_callers,
        },
        address_tuning: AddressTuning::builder()
            .ttl(settings.address.ttl_ms)
            .build(),
        requests: RequestSettings {
            id_prefix: seed,
            limits: request_limits(settings),
        },
        membership: membership_settings(settings),
        presets: preset_settings(settings),
        moves: move_settings(settings),
        seed,
    }
}

fn membership_settings(settings: &HostSettings) -> MembershipSettings {
    let section = &settings.membership;
    let base = MembershipSettings::new(
        settings.name.clone(),
        settings.listen.advertised_gossip,
        settings.domain.clone(),
        settings.region.clone(),
        unix_ms(),
    );
    MembershipSettings {
        caller_address: Some(settings.listen.advertised_callers),
        tick_interval: section.ping_interval_ms,
        probe_timeout: section.ping_timeout_ms,
        suspicion_timeout: section.suspicion_ms,
        budget_rate: (f64::from(section.budget_bytes) * SEND_SHARE) as u64,
        ..base
    }
}

fn preset_settings(settings: &HostSettings) -> PresetSettings {
    PresetSettings {
        poll_interval: settings.platform.preset_poll_ms,
        call_timeout: settings.platform.table_timeout_ms + settings.platform.object_timeout_ms,
        confirmation_timeout: settings.address.stale_ms,
        ..PresetSettings::default()
    }
}

fn move_settings(settings: &HostSettings) -> MoveSettings {
    MoveSettings {
        lease_length: settings.lease.length_ms,
        renew_after: settings.lease.renew_ms,
        clock_drift: settings.lease.drift,
        table_timeout: settings.platform.table_timeout_ms,
        max_order_delay: settings.lease.order_lateness_ms,
        ..MoveSettings::new(settings.name.clone(), settings.region.clone())
    }
}

/// Returns the request limits. Those that operators cannot set keep their defaults.
fn request_limits(settings: &HostSettings) -> RequestLimits {
    let settings = &settings.requests;
    RequestLimits {
        retry_ratio: settings.retry_budget,
        max_retries: settings.attempts.saturating_sub(1),
        initial_backoff: settings.retry_pause_ms,
        first_chunk_timeout: settings.first_byte_ms,
        service_idle_timeout: settings.first_byte_ms,
        between_chunks_timeout: settings.between_tokens_ms,
        probe_timeout: settings.probe_timeout_ms,
        crash_suspect_ttl: settings.crash_suspect_ms,
        ..RequestLimits::default()
    }
}

/// Returns a seed that differs between processes, so that the ids that they generate differ.
fn process_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

/// Returns the wall-clock time, milliseconds since 1970. It also serves as the incarnation of a
/// host, which must be higher after a restart.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
