//! A store that carries out calls at once; the world decides when, and whether it answers.

use crocusyard_serving::prelude::*;
use std::collections::BTreeMap;

/// Row of a host in the store, with its version.
pub type HostRow = (StoredHost, u64);

#[derive(Clone, Debug)]
pub enum StoreCall {
    ReadLease,
    WriteLease { row: LeaseRow, expected: u64 },
    Release { row: LeaseRow, expected: u64 },
    ReadHosts,
    WriteOwn { row: StoredHost, expected: u64 },
    RemoveOwn { name: String, expected: u64 },
}

#[derive(Clone, Debug)]
pub enum StoreAnswer {
    Lease(Option<(LeaseRow, u64)>),
    Hosts(Vec<HostRow>, u64),
    Written(u64),
    LeaseConflict(Option<(LeaseRow, u64)>),
    OwnConflict(Option<HostRow>),
    Failed,
}

#[derive(Debug, Default)]
pub struct Store {
    pub version: u64,
    pub lease: Option<(LeaseRow, u64)>,
    pub hosts: BTreeMap<String, HostRow>,
}

impl Store {
    pub fn perform(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::ReadLease => StoreAnswer::Lease(self.lease.clone()),
            StoreCall::ReadHosts => {
                StoreAnswer::Hosts(self.hosts.values().cloned().collect(), self.version)
            }
            StoreCall::WriteLease { row, expected } | StoreCall::Release { row, expected } => {
                if self.lease.as_ref().map_or(0, |lease| lease.1) != *expected {
                    return StoreAnswer::LeaseConflict(self.lease.clone());
                }
                self.version += 1;
                self.lease = Some((row.clone(), self.version));
                StoreAnswer::Written(self.version)
            }
            StoreCall::WriteOwn { row, expected } => {
                let name = row.record.name.as_str();
                if self.hosts.get(name).map_or(0, |row| row.1) != *expected {
                    return StoreAnswer::OwnConflict(self.hosts.get(name).cloned());
                }
                self.version += 1;
                let row = (row.clone(), self.version);
                self.hosts.insert(name.to_owned(), row);
                StoreAnswer::Written(self.version)
            }
            StoreCall::RemoveOwn { name, expected } => {
                if self.hosts.get(name).map_or(0, |row| row.1) != *expected {
                    return StoreAnswer::OwnConflict(self.hosts.get(name).cloned());
                }
                self.version += 1;
                self.hosts.remove(name);
                StoreAnswer::Written(self.version)
            }
        }
    }
}
