//! Cache of the address lists that entry hosts return.

use crate::error::{LoadError, NotLoopbackSnafu};
use crocusyard_base::prelude::*;
use crocusyard_border::callers::AddressList;
use rand::Rng;
use snafu::ensure;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Checks that an address is on loopback, so that load never leaves this machine.
///
/// # Errors
///
/// Fails if the address is not a loopback address.
pub fn check_loopback(address: SocketAddr) -> Result<(), LoadError> {
    ensure!(address.ip().is_loopback(), NotLoopbackSnafu { address });
    Ok(())
}

/// Usable addresses of one list.
struct CachedList {
    /// Addresses with their weights.
    addresses: Vec<(SocketAddr, u32)>,
    expires_at: ClockTime,
}

/// Cached address lists by query, each with its time to live.
#[derive(Default)]
pub struct AddressBook {
    lists: HashMap<String, CachedList>,
    refused: u64,
}

impl AddressBook {
    /// Stores the address list for a query. Invalid addresses and those off loopback are left out
    /// and counted.
    pub fn store(&mut self, query: &str, list: &AddressList, now: ClockTime) {
        let mut addresses = Vec::new();
        for entry in &list.addresses {
            match entry.address.parse::<SocketAddr>() {
                Ok(address) if address.ip().is_loopback() => {
                    addresses.push((address, entry.weight));
                }
                _ => self.refused += 1,
            }
        }
        let cached = CachedList {
            addresses,
            expires_at: now + ClockTime::from_ms(list.ttl_ms),
        };
        self.lists.insert(query.to_owned(), cached);
    }

    /// Returns whether a list for the query is stored and has not expired.
    pub fn has_fresh(&self, query: &str, now: ClockTime) -> bool {
        self.lists
            .get(query)
            .is_some_and(|list| now < list.expires_at)
    }

    /// Removes the list for a query after all its addresses failed.
    pub fn remove(&mut self, query: &str) {
        self.lists.remove(query);
    }

    /// Chooses a random address by weight, except those in `tried`. An expired list is used too;
    /// see [`has_fresh`](Self::has_fresh).
    pub fn choose(
        &self,
        query: &str,
        tried: &[SocketAddr],
        random: &mut SeededRng,
    ) -> Option<SocketAddr> {
        let addresses = &self.lists.get(query)?.addresses;
        let untried = || {
            addresses
                .iter()
                .filter(|(address, weight)| *weight > 0 && !tried.contains(address))
        };
        let total: u64 = untried().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = random.random_range(0..total);
        for (address, weight) in untried() {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(*address);
            }
            point -= weight;
        }
        None
    }

    /// Returns the number of addresses left out so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
