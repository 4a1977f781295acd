//! Leases, fencing numbers, move intents and the accelerator memory ledger.
