//! Tenants of the configuration, and the keys by which callers identify themselves.
//!
//! Keys are kept and compared only as digests, so that no table, log line or error can contain one.

use crocusyard_base::prelude::*;
use crocusyard_quota::prelude::UsageLimit;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;

/// Digest of a caller's key: the first half of its BLAKE3 hash.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; 16];
        blake3::Hasher::new()
            .update(key)
            .finalize_xof()
            .fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }

    /// Reads a digest that [`to_hex`](Self::to_hex) has written.
    pub fn from_hex(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }

    /// Writes the digest for another host.
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }
}

impl fmt::Debug for KeyDigest {
    /// Leaves the digest out, from which a short key could be found by trying.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerKey {
    /// The request has no key.
    Missing,
    /// The request has several keys.
    Repeated,
    /// The request has one key.
    One(KeyDigest),
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    /// It has no key.
    Missing,
    /// It has several keys.
    Repeated,
    /// Its key is not in the configuration in force: it never was, or it was revoked.
    Unknown,
}

impl KeyFault {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "missing_key",
            Self::Repeated => "repeated_key",
            Self::Unknown => "unknown_key",
        }
    }
}

/// To whom a call belongs.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerIdentity {
    /// Digest of the caller's key.
    pub key: KeyDigest,
    /// Tenant of the key.
    pub tenant: Rc<TenantRule>,
}

/// Unit in which the usage of a tenant is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CostUnit {
    /// Each call costs 1.
    #[default]
    Calls,
    /// A call costs the tokens of its prompt and answer.
    Tokens,
}

/// A tenant of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantRule {
    /// Name that targets, logs and metrics get.
    pub name: TenantName,
    /// Priority, which takes precedence over the one of the route; 0 is the most urgent.
    pub priority: u8,
    /// Limit on the usage over all hosts; `None` for no limit.
    pub limit: Option<UsageLimit>,
    /// Cost of a call that does not state its tokens, if the unit is tokens.
    pub plain_cost: u64,
    /// Unit in which the usage is counted.
    pub unit: CostUnit,
}

impl TenantRule {
    /// Returns the cost of a call that states this number of tokens, or none.
    pub fn cost(&self, stated_tokens: Option<u64>) -> u64 {
        match self.unit {
            CostUnit::Calls => 1,
            CostUnit::Tokens => stated_tokens.unwrap_or(self.plain_cost),
        }
    }
}

/// Why a tenant cannot be added to a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantFault {
    /// Another tenant has the same name.
    RepeatedName,
    /// The key with this index in the tenant's list occurs before it, in this or another tenant.
    RepeatedKey(usize),
}

/// Tenants by the digests of their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    by_key: HashMap<KeyDigest, Rc<TenantRule>>,
    names: HashSet<TenantName>,
}

impl TenantTable {
    /// Adds a tenant with its keys.
    ///
    /// # Errors
    ///
    /// Fails if its name or one of its keys is in the table already.
    pub fn add(&mut self, rule: TenantRule, keys: &[KeyDigest]) -> Result<(), TenantFault> {
        if !self.names.insert(rule.name.clone()) {
            return Err(TenantFault::RepeatedName);
        }
        let rule = Rc::new(rule);
        for (index, key) in keys.iter().enumerate() {
            if self.by_key.insert(*key, rule.clone()).is_some() {
                return Err(TenantFault::RepeatedKey(index));
            }
        }
        Ok(())
    }

    /// Returns the tenant of a key, or `None` for an unknown key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Rc<TenantRule>> {
        self.by_key.get(key)
    }

    /// Identifies the caller of a request by its key.
    ///
    /// # Errors
    ///
    /// Fails if the request has no key, several keys or an unknown key.
    pub fn identify(&self, key: CallerKey) -> Result<CallerIdentity, KeyFault> {
        match key {
            CallerKey::Missing => Err(KeyFault::Missing),
            CallerKey::Repeated => Err(KeyFault::Repeated),
            CallerKey::One(key) => match self.find(&key) {
                Some(tenant) => Ok(CallerIdentity {
                    key,
                    tenant: tenant.clone(),
                }),
                None => Err(KeyFault::Unknown),
            },
        }
    }

    /// Iterates over the tenants that have keys, once for each key.
    pub fn rules(&self) -> impl Iterator<Item = &TenantRule> {
        self.by_key.values().map(|rule| &**rule)
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table has no tenant.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
