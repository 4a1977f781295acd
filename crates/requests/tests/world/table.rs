//! Fake table service with lost, late and duplicated replies.

use super::*;

/// Time after which a host repeats a release that got no reply.
const RELEASE_RETRY_MS: u64 = 500;

/// Row of a claim; rows are never deleted.
pub(super) struct Row {
    pub(super) claim: ClaimId,
    pub(super) digest: BodyDigest,
    pub(super) target: TargetName,
    /// Whether the row holds the answer of the call.
    pub(super) recorded: bool,
    /// Whether the claim was released.
    pub(super) released: bool,
    pub(super) version: u64,
}

impl World {
    /// Sends a claim effect to the table service; the call may fail, or its reply may be lost.
    pub(super) fn ask_table(&mut self, host: usize, key: RequestKey, op: RequestEffect) {
        let epoch = self.epochs[host];
        let failed = self.table_down || self.chance(1);
        let lost = !failed && self.chance(4);
        if failed || lost {
            let reply = match failed {
                true => ClaimReply::Failed,
                false => ClaimReply::Unknown,
            };
            self.schedule_table_reply(host, epoch, key, &op, reply);
            if matches!(op, RequestEffect::ReleaseClaim { .. }) {
                let again = Message::Release(host, epoch, key, op.clone());
                self.after(RELEASE_RETRY_MS, again);
            }
        }
        if failed || (lost && self.chance(40)) {
            return;
        }
        // After a lost reply the change may still take effect, possibly late.
        let delay = match lost {
            true => self.rng.random_range(0..3_000),
            false => self.rng.random_range(0..5),
        };
        self.after(delay, Message::Table(host, epoch, key, op, lost));
    }

    /// Schedules the reply to a call, sometimes twice; nobody waits for the reply to a release.
    fn schedule_table_reply(
        &mut self,
        host: usize,
        epoch: u64,
        key: RequestKey,
        op: &RequestEffect,
        reply: ClaimReply,
    ) {
        let event = match op {
            RequestEffect::ReleaseClaim { .. } => return,
            RequestEffect::RecordAnswer { .. } => RequestEvent::AnswerRecorded {
                key,
                stored: reply == ClaimReply::Granted,
            },
            _ => RequestEvent::ClaimReplied { key, reply },
        };
        let delay = self.rng.random_range(1..5);
        if self.chance(1) {
            self.event(delay + 20, (host, epoch, None), event.clone());
        }
        self.event(delay, (host, epoch, None), event);
    }

    /// Applies a call to the table, and replies unless the reply is lost.
    pub(super) fn table_op(
        &mut self,
        host: usize,
        epoch: u64,
        key: RequestKey,
        op: RequestEffect,
        lost: bool,
    ) {
        let found_reply = |row: Option<&Row>| match row {
            None => ClaimReply::Absent,
            Some(row) if row.released => ClaimReply::Released {
                version: row.version,
            },
            Some(row) if row.recorded => ClaimReply::Recorded { digest: row.digest },
            Some(row) => ClaimReply::Held {
                claim: row.claim,
                digest: row.digest,
                target: Some(row.target.clone()),
            },
        };
        let reply = match &op {
            RequestEffect::WriteClaim {
                row,
                claim,
                digest,
                target,
                replaced_version,
                ..
            } if self.table.get(row).map(|row| row.version) == *replaced_version => {
                let value = Row {
                    claim: *claim,
                    digest: *digest,
                    target: target.clone(),
                    recorded: false,
                    released: false,
                    version: replaced_version.unwrap_or(0) + 1,
                };
                self.table.insert(row.clone(), value);
                ClaimReply::Granted
            }
            RequestEffect::RetargetClaim {
                row, claim, target, ..
            } => match self.table.get_mut(row) {
                Some(row) if row.claim == *claim && !row.recorded && !row.released => {
                    row.target = target.clone();
                    row.version += 1;
                    ClaimReply::Granted
                }
                row => found_reply(row.as_deref()),
            },
            RequestEffect::ReadClaim { row, .. } | RequestEffect::WriteClaim { row, .. } => {
                found_reply(self.table.get(row))
            }
            RequestEffect::RecordAnswer { row, claim, .. } => match self.table.get_mut(row) {
                Some(row) if row.claim == *claim && !row.released => {
                    row.recorded = true;
                    row.version += 1;
                    ClaimReply::Granted
                }
                _ => ClaimReply::Failed,
            },
            RequestEffect::ReleaseClaim { row, claim, .. } => {
                let value = self.table.entry(row.clone()).or_insert_with(|| Row {
                    claim: *claim,
                    digest: BodyDigest::default(),
                    target: TargetName::new(""),
                    recorded: false,
                    released: true,
                    version: 0,
                });
                if value.released || (value.claim == *claim && !value.recorded) {
                    value.released = true;
                    value.version += 1;
                }
                ClaimReply::Granted
            }
            _ => return,
        };
        if lost {
            return;
        }
        if let (ClaimReply::Recorded { digest }, Some(caller)) =
            (&reply, self.callers.get_mut(&key))
        {
            caller.held = Some(*digest);
        }
        self.schedule_table_reply(host, epoch, key, &op, reply);
    }
}
