//! Resume tokens, which are the ids of streamed events.
//!
//! A token contains the attempt, its target, the position of the event, and a keyed hash over the
//! tenant, the target and the attempt. Any host with the shared key can resume a stream from a
//! token without stored state, and only for the tenant that the stream belongs to.

use crocusyard_base::prelude::*;
use crocusyard_requests::prelude::*;

/// Hexadecimal digits of the keyed hash in a token. These 64 bits cannot be guessed online.
const MAC_DIGITS: usize = 16;

/// Key that signs resume tokens. All hosts share it.
#[derive(Clone)]
pub struct ResumeKey([u8; 32]);

impl ResumeKey {
    /// Derives the key from the hosts' shared secret.
    pub fn derive(secret: &str) -> Self {
        Self(blake3::derive_key(
            "crocusyard 2026 resume token",
            secret.as_bytes(),
        ))
    }

    /// Returns the token of the event at position `index` of an attempt's stream.
    pub fn make_token(
        &self,
        tenant: &TenantName,
        attempt: AttemptId,
        target: &TargetName,
        index: u32,
    ) -> String {
        let mac = self.mac(tenant, attempt, target);
        format!("{attempt}.{index}.{mac}.{target}")
    }

    /// Parses a token; returns `None` if it is malformed or was made for another tenant.
    pub fn parse_token(&self, tenant: &TenantName, token: &str) -> Option<ResumePoint> {
        let mut parts = token.splitn(4, '.');
        let attempt = AttemptId::parse(parts.next()?)?;
        let index: u32 = parts.next()?.parse().ok()?;
        let mac = parts.next()?;
        let target = TargetName::new(parts.next()?);
        if mac != self.mac(tenant, attempt, &target) {
            return None;
        }
        Some(ResumePoint {
            attempt,
            target,
            received_chunks: index.checked_add(1)?,
        })
    }

    fn mac(&self, tenant: &TenantName, attempt: AttemptId, target: &TargetName) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in [tenant.as_str(), target.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&attempt.0.to_le_bytes());
        hasher.finalize().to_hex()[..MAC_DIGITS].to_owned()
    }
}
