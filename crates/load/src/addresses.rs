//! Address answers as a caller keeps them.

use crate::error::{LoadError, NotLoopbackSnafu};
use crocusyard_base::prelude::*;
use crocusyard_border::callers::AddressList;
use rand::Rng;
use snafu::ensure;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Refuses every address that is not on loopback.
///
/// # Errors
///
/// Fails if the address is not a loopback address.
pub fn check_loopback(address: SocketAddr) -> Result<(), LoadError> {
    ensure!(address.ip().is_loopback(), NotLoopbackSnafu { address });
    Ok(())
}

struct KeptAnswer {
    addresses: Vec<(SocketAddr, u32)>,
    until: ClockTime,
}

/// Address answers by the query that they belong to, each kept for its time to live.
#[derive(Default)]
pub struct AddressBook {
    answers: HashMap<String, KeptAnswer>,
    refused: u64,
}

impl AddressBook {
    /// Keeps an answer. Addresses off loopback are left out and counted.
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
        let answer = KeptAnswer {
            addresses,
            until: now + ClockTime::from_ms(list.ttl_ms),
        };
        self.answers.insert(query.to_owned(), answer);
    }

    /// Returns whether an answer is kept and still holds.
    pub fn has_fresh(&self, query: &str, now: ClockTime) -> bool {
        self.answers
            .get(query)
            .is_some_and(|answer| now < answer.until)
    }

    /// Forgets an answer, none of whose addresses worked.
    pub fn forget(&mut self, query: &str) {
        self.answers.remove(query);
    }

    /// Chooses an address by weight, other than those in `tried`.
    pub fn choose(
        &self,
        query: &str,
        tried: &[SocketAddr],
        random: &mut SeededRng,
    ) -> Option<SocketAddr> {
        let addresses = &self.answers.get(query)?.addresses;
        let open = || {
            addresses
                .iter()
                .filter(|(address, weight)| *weight > 0 && !tried.contains(address))
        };
        let total: u64 = open().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut point = random.random_range(0..total);
        for (address, weight) in open() {
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
