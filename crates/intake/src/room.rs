//! Waiting for room in a budget that is full.

use crate::budget::IntakeRefusal;
use crocusyard_base::prelude::*;
use std::time::Duration;

/// Interval at which a body that waits for room tries again.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);

/// Time that a body may wait for room, over all its parts.
#[derive(Clone, Copy, Debug)]
pub struct RoomWait {
    left: ClockTime,
}

impl RoomWait {
    /// Creates the wait of a body that is given up after waiting for `limit` in all.
    pub fn new(limit: ClockTime) -> Self {
        Self { left: limit }
    }

    /// Repeats an operation while the budget is full; meanwhile the sender of the body is not read
    /// any further. `clock` returns the time of the budget.
    ///
    /// # Errors
    ///
    /// Fails if the operation does, with `Full` only once the time is used up.
    pub async fn retry<T>(
        &mut self,
        clock: impl Fn() -> ClockTime,
        mut operation: impl FnMut(ClockTime) -> Result<T, IntakeRefusal>,
    ) -> Result<T, IntakeRefusal> {
        let start = clock();
        let limit = self.left;
        loop {
            let now = clock();
            self.left = limit.since(now.since(start));
            match operation(now) {
                Err(IntakeRefusal::Full) if self.left > ClockTime::ZERO => {
                    tokio::time::sleep(ROOM_INTERVAL).await;
                }
                result => return result,
            }
        }
    }
}
