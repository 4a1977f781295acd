//! Tenants of a run, their keys, and the changes of both while it lasts.

use crate::history::{CallKey, LimitVersion};
use crate::plan::SoakSettings;
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::{with_limit, with_tenants, with_token_cost, TestTenant};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

/// Cost of a call, tokens. Tokens are the unit, as the constant slack of the bound on usage is
/// larger than the number of calls in a run.
pub const CALL_COST: u64 = 1_000;
/// Rate and burst of the limited tenant at the start, tokens. Its callers, six of the usual 24,
/// send over four times as much, as refusals are answered soon.
const FIRST_LIMIT: f64 = 16_000.0;
/// Rate and burst after the limit was lowered, tokens.
const LOWER_LIMIT: f64 = 6_000.0;
/// The tenant with a limit.
pub const LIMITED_TENANT: &str = "limited";
/// Tenants of a run; the second key of each is revoked while it lasts.
const TENANTS: [TestTenant; 4] = [
    TestTenant {
        name: LIMITED_TENANT,
        keys: &["limited-key-1", "limited-key-2"],
    },
    TestTenant {
        name: "free-a",
        keys: &["free-a-key-1", "free-a-key-2"],
    },
    TestTenant {
        name: "free-b",
        keys: &["free-b-key-1", "free-b-key-2"],
    },
    TestTenant {
        name: "free-c",
        keys: &["free-c-key-1", "free-c-key-2"],
    },
];
/// Key that is in no configuration.
const UNKNOWN_KEY: &str = "unknown-key";
/// One call in this many has an unknown key.
const UNKNOWN_ONE_IN: u32 = 20;
/// One call in this many has the second key of its tenant, also after that was revoked.
const SECOND_KEY_ONE_IN: u32 = 8;

/// A change of the tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantChange {
    /// The second key of the tenant with this index is revoked.
    KeyRevoked(usize),
    /// The limit of the limited tenant is lowered.
    LimitLowered,
}

/// The tenants that are in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct TenantState {
    revoked: [bool; TENANTS.len()],
    lowered: bool,
}

/// Returns whether the configuration of a seed has tenants: that of every second one.
pub fn has_tenants(seed: u64) -> bool {
    seed % 2 == 1
}

/// Draws the changes of a run and their times, counted from the begin of the fault injection.
pub fn plan_tenant_changes(settings: &SoakSettings) -> Vec<(ClockTime, TenantChange)> {
    if !has_tenants(settings.seed) {
        return Vec::new();
    }
    let mut rng = StdRng::seed_from_u64(!settings.seed);
    let changes = (0..TENANTS.len()).map(TenantChange::KeyRevoked);
    let changes = changes.chain([TenantChange::LimitLowered]);
    changes
        .map(|change| {
            let at_ms = rng.random_range(0..settings.fault_time.as_ms().max(1));
            (ClockTime::from_ms(at_ms), change)
        })
        .collect()
}

/// Draws the key of a call from those of the caller's tenant; callers belong to the tenants in turn.
pub fn draw_key(rng: &mut StdRng, caller: usize) -> CallKey {
    let tenant = &TENANTS[caller % TENANTS.len()];
    if rng.random_ratio(1, UNKNOWN_ONE_IN) {
        return CallKey {
            text: UNKNOWN_KEY,
            tenant: None,
        };
    }
    CallKey {
        text: tenant.keys[usize::from(rng.random_ratio(1, SECOND_KEY_ONE_IN))],
        tenant: Some(tenant.name),
    }
}

impl TenantState {
    /// Applies a change; returns the key that it revokes.
    pub fn apply(&mut self, change: TenantChange) -> Option<&'static str> {
        match change {
            TenantChange::KeyRevoked(tenant) => {
                self.revoked[tenant] = true;
                Some(TENANTS[tenant].keys[1])
            }
            TenantChange::LimitLowered => {
                self.lowered = true;
                None
            }
        }
    }

    /// Returns the limit that is in force from `at` on.
    pub fn limit(&self, at: ClockTime) -> LimitVersion {
        let tokens = if self.lowered {
            LOWER_LIMIT
        } else {
            FIRST_LIMIT
        };
        LimitVersion {
            at,
            tenant: LIMITED_TENANT,
            rate_per_s: tokens,
            burst: tokens,
        }
    }

    /// Adds the tenants to a configuration.
    pub fn configure(&self, configuration: Value) -> Value {
        let mut tenants = TENANTS;
        for (tenant, revoked) in tenants.iter_mut().zip(self.revoked) {
            if revoked {
                tenant.keys = &tenant.keys[..1];
            }
        }
        let limit = self.limit(ClockTime::ZERO);
        let configuration = with_tenants(configuration, &tenants, &[]);
        let configuration =
            with_limit(configuration, LIMITED_TENANT, limit.rate_per_s, limit.burst);
        with_token_cost(configuration, LIMITED_TENANT, CALL_COST)
    }
}
