//! How the changes of the target list get from the store to all hosts.
//!
//! One host of each failure domain, the reader, polls the store and relays the changes to the other
//! hosts of its domain. Each message names the version of the list before and after its changes. A
//! host that missed a message, or has received none for a while, polls the store itself. So does a
//! host that holds removals back, since only its own polls show whether the targets have written
//! again.

use crate::availability::RECOVERY_TIME;
use crate::targets::TargetRecord;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Interval between two polls of the store by one host.
pub const POLL_INTERVAL: ClockTime = ClockTime::from_ms(600);
/// Interval at which a host checks whether to poll the target list.
pub const POLL_CHECK_INTERVAL: ClockTime = ClockTime::from_ms(100);
/// Longest time for an answer to a poll; the poll after a timeout uses another connection.
pub const POLL_TIMEOUT: ClockTime = ClockTime::from_ms(700);
/// Time after which relayed changes are sent once more: a lost message would make its receiver poll.
pub const RELAY_REPEAT_DELAY: ClockTime = ClockTime::from_ms(150);
/// Age of the list from which the next host in line polls the store itself. Together with a poll
/// that is not answered and the next one, the age stays below the 2 s within which hosts must know
/// that a target is leaving.
const SILENCE_LIMIT: ClockTime = ClockTime::from_ms(850);
/// Time that a host leaves to each host before it in line, so that one answer serves the whole
/// failure domain.
const RANK_DELAY: ClockTime = ClockTime::from_ms(50);
/// Number of hosts in line that wait one after the other and go on polling while the store fails.
const DEPUTY_COUNT: usize = 4;
/// Time within which the hosts behind the deputies poll, spread by their ranks.
const LAST_SPREAD: ClockTime = ClockTime::from_ms(50);
/// Hosts over which that time is spread.
const SPREAD_HOSTS: usize = 32;
/// Longest interval between two failed polls of a host behind the deputies. The deputies relay the
/// first answer after an outage; only if none of them gets one does this interval count, and then
/// it ends before the store has been stable for 3 s.
const LONGEST_FAILED_INTERVAL: ClockTime = ClockTime::from_ms(2_400);
/// Shortest pause between two checks.
const MIN_CHECK_PAUSE: ClockTime = ClockTime::from_ms(5);

/// Interval at which the reader of a failure domain reads the rows of the entry hosts. It bounds the
/// time for which a host does not know that another host has left, or that a host exists with which it
/// exchanges no heartbeats.
const HOSTS_READ_INTERVAL: ClockTime = ClockTime::from_secs(15);
/// Interval at which the lease holder reads those rows. Hosts whose rows it has not read wait longer
/// before they take the lease over.
pub const HOLDER_HOSTS_READ_INTERVAL: ClockTime = ClockTime::from_secs(3);
/// Interval at which hosts read those rows to which the reader of their failure domain relays the
/// changes; a message of the reader may be lost.
const LONG_HOSTS_READ_INTERVAL: ClockTime = ClockTime::from_secs(120);

/// For whom a host reads the rows of the entry hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostsRead {
    /// For its failure domain, to which it relays the changes.
    Domain,
    /// For itself.
    Own,
}

impl HostsRead {
    /// Decides whether a host reads the rows, `elapsed` after it last did. It is urgent for the lease
    /// holder. If a host is the reader of its failure domain, the others hear from no one else of the
    /// changes that it reads.
    pub fn next(elapsed: ClockTime, is_reader: bool, is_urgent: bool) -> Option<Self> {
        let interval = match (is_urgent, is_reader) {
            (true, _) => HOLDER_HOSTS_READ_INTERVAL,
            (false, true) => HOSTS_READ_INTERVAL,
            (false, false) => LONG_HOSTS_READ_INTERVAL,
        };
        let read = if is_reader { Self::Domain } else { Self::Own };
        (elapsed >= interval).then_some(read)
    }
}

/// Place of a host in the order in which the live hosts of a failure domain read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReaderRank(pub usize);

impl ReaderRank {
    /// The host that reads the store for its failure domain.
    pub const READER: Self = Self(0);

    /// Returns whether the host waits at the store for changes of the configuration: the reader and
    /// the host after it, which takes over without a gap.
    pub fn awaits_changes(self) -> bool {
        self.0 <= 1
    }

    /// Returns whether a host of this rank reads the configuration after a poll of its own: the
    /// reader, which tells of new versions, is silent then. A store that has not answered the poll
    /// is not asked for the configuration either.
    pub fn reads_configuration(self, is_answered: bool) -> bool {
        self != Self::READER && is_answered
    }

    /// Returns the age of the list from which a host of this rank polls the store.
    fn silence_limit(self) -> ClockTime {
        let before = self.0.min(DEPUTY_COUNT).saturating_sub(1) as f64;
        let behind = self.0.saturating_sub(DEPUTY_COUNT).min(SPREAD_HOSTS) as f64;
        SILENCE_LIMIT + RANK_DELAY.scale(before) + LAST_SPREAD.scale(behind / SPREAD_HOSTS as f64)
    }
}

/// Decides when a host polls the target list and which relayed changes it applies.
#[derive(Clone, Debug, Default)]
pub struct ListFollower {
    version: Option<u64>,
    /// When the store was asked for the newest changes that this host knows, by itself or by the
    /// reader; `None` makes this host poll.
    updated_at: Option<ClockTime>,
    /// When the last poll began.
    polled_at: Option<ClockTime>,
    /// Whether the last poll of this host left removals that it holds back.
    holds_removals: bool,
    /// Interval after the last poll of this host, if it failed.
    failed_interval: Option<ClockTime>,
}

impl ListFollower {
    /// Returns the version up to which the list is known.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns whether this host, which has this rank in its failure domain, should poll the store
    /// now.
    pub fn should_poll(&self, rank: ReaderRank, now: ClockTime) -> bool {
        self.next_poll(rank) <= now
    }

    /// Returns how long to wait until the next check, if nothing is relayed meanwhile.
    pub fn check_pause(&self, rank: ReaderRank, now: ClockTime) -> ClockTime {
        self.next_poll(rank)
            .since(now)
            .clamp(MIN_CHECK_PAUSE, POLL_CHECK_INTERVAL)
    }

    /// Returns when this host polls the store next.
    fn next_poll(&self, rank: ReaderRank) -> ClockTime {
        let interval = match self.failed_interval {
            Some(interval) if rank.0 >= DEPUTY_COUNT => interval,
            _ => POLL_INTERVAL,
        };
        let interval_end = self.polled_at.map_or(ClockTime::ZERO, |at| at + interval);
        if rank == ReaderRank::READER || self.holds_removals {
            return interval_end;
        }
        let list_end = self
            .updated_at
            .map_or(ClockTime::ZERO, |at| at + rank.silence_limit());
        interval_end.max(list_end)
    }

    /// Returns whether an answer as of `version` is older than the list that this host knows:
    /// relayed changes may overtake the answer to a poll.
    pub fn is_outdated(&self, version: u64) -> bool {
        self.version.is_some_and(|known| version < known)
    }

    /// Returns the entries of an answer that are newer than the list that this host knows.
    pub fn newer_entries(&self, mut entries: Vec<ListEntry>) -> Vec<ListEntry> {
        let known = self.version.unwrap_or(0);
        entries.retain(|entry| entry.version > known);
        entries
    }

    /// Records that a poll begins.
    pub fn start_poll(&mut self, now: ClockTime) {
        self.polled_at = Some(now);
    }

    /// Records that the poll that began last has failed.
    pub fn fail_poll(&mut self) {
        let interval = self.failed_interval.map_or(POLL_INTERVAL, |interval| {
            interval.scale(2.0).min(LONGEST_FAILED_INTERVAL)
        });
        self.failed_interval = Some(interval);
    }

    /// Records the result of a poll that was sent at `sent`: the version that it reached, and
    /// whether its change was complete.
    pub fn finish_poll(&mut self, version: u64, sent: ClockTime, is_complete: bool) {
        self.failed_interval = None;
        self.holds_removals = !is_complete;
        self.version = Some(self.version.unwrap_or(0).max(version));
        self.updated_at = Some(self.updated_at.unwrap_or(sent).max(sent));
    }

    /// Records that removals which were held back have been used.
    pub fn finish_release(&mut self) {
        self.holds_removals = false;
    }

    /// Records changes relayed by the reader, which lead from the version `after` to `version`;
    /// returns whether they are to be applied. The reader asked the store for them at `sent`.
    pub fn accept_relayed(&mut self, after: u64, version: u64, sent: ClockTime) -> bool {
        let Some(known) = self.version.filter(|_| !self.holds_removals) else {
            return false;
        };
        if after > known {
            // A message was lost, so that this host has to poll the store itself.
            self.updated_at = None;
            return false;
        }
        if version < known {
            return false;
        }
        self.failed_interval = None;
        self.version = Some(version);
        self.updated_at = Some(self.updated_at.unwrap_or(sent).max(sent));
        true
    }
}

/// Entry of the store for one target.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Name of the target.
    pub name: TargetName,
    /// Record that the target wrote; `None` if its entry was removed.
    pub record: Option<TargetRecord>,
    /// Version of the list that the write or removal led to.
    pub version: u64,
}

/// Change of the target list, read from entries of the store.
#[derive(Clone, Debug, Default)]
pub struct ListChange {
    /// Records of targets that are new or have written again.
    pub upserts: Vec<TargetRecord>,
    /// Names of targets that are gone.
    pub removed: Vec<TargetName>,
    /// Names of targets whose removal was read and is held back.
    pub held_back: Vec<TargetName>,
    /// Names of targets that wrote their entries again after a removal that was not used. Hosts that
    /// read the removal themselves may have used it.
    pub restored: BTreeSet<TargetName>,
    /// Whether the change includes all entries, with no removal held back. Only such a change is
    /// relayed, since the hosts that receive it never read its entries themselves.
    pub is_complete: bool,
}

impl ListChange {
    /// Returns the records that other hosts need, without writes that only show that a target is
    /// alive. `is_known` tells whether this host knows a record with the same content.
    pub fn records_to_relay(&self, is_known: impl Fn(&TargetRecord) -> bool) -> Vec<TargetRecord> {
        let is_news =
            |record: &&TargetRecord| self.restored.contains(&record.name) || !is_known(record);
        self.upserts.iter().filter(is_news).cloned().collect()
    }
}

/// Turns entries of the store into changes of the target list.
///
/// Targets that could not write to the store lose their entries and write them again when the store
/// is back. Removals that are read in this time are held back until it is over.
#[derive(Clone, Debug, Default)]
pub struct ListReader {
    /// Targets whose removal is held back, with the time at which it was read.
    held_back: BTreeMap<TargetName, ClockTime>,
}

impl ListReader {
    /// Reads entries in the order of their writes.
    ///
    /// `recovering` is whether entries of targets that are alive may be missing.
    pub fn read(
        &mut self,
        entries: Vec<ListEntry>,
        recovering: bool,
        now: ClockTime,
    ) -> ListChange {
        let mut upserts = Vec::new();
        let mut restored = BTreeSet::new();
        let mut gone = BTreeSet::new();
        for ListEntry { name, record, .. } in entries {
            match record {
                Some(record) => {
                    let was_held = self.held_back.remove(&name).is_some();
                    if gone.remove(&name) || was_held {
                        restored.insert(name);
                    }
                    upserts.push(record);
                }
                None => {
                    upserts.retain(|record: &TargetRecord| record.name != name);
                    restored.remove(&name);
                    gone.insert(name);
                }
            }
        }
        let mut held_back: Vec<TargetName> = Vec::new();
        for name in gone {
            if recovering && !self.held_back.contains_key(&name) {
                held_back.push(name.clone());
            }
            self.held_back.entry(name).or_insert(now);
        }
        ListChange {
            upserts,
            removed: self.release(recovering, now),
            held_back,
            restored,
            is_complete: self.is_complete(),
        }
    }

    /// Returns the targets whose removals are no longer held back. An entry that is still missing
    /// after the recovery time is gone, even if no target has written since.
    pub fn release(&mut self, recovering: bool, now: ClockTime) -> Vec<TargetName> {
        let mut removed = Vec::new();
        self.held_back.retain(|name, read_at| {
            let is_held = recovering && now.since(*read_at) < RECOVERY_TIME;
            if !is_held {
                removed.push(name.clone());
            }
            is_held
        });
        removed
    }

    /// Returns whether no removal is held back.
    pub fn is_complete(&self) -> bool {
        self.held_back.is_empty()
    }
}
