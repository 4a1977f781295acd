//! Waits for room in a full budget, and the log of refusals.

use crocusyard_base::prelude::*;
use crocusyard_intake::prelude::*;
use std::cell::Cell;

fn ms(value: u64) -> ClockTime {
    ClockTime::from_ms(value)
}

/// Guards against a body that waits for its limit again with each of its parts, and against one that
/// does not go on when there is room.
#[actix_rt::test]
async fn parts_of_a_body_share_its_wait() {
    let now = Cell::new(ms(1_000));
    // Each look at the clock takes 10 ms.
    let clock = || {
        now.set(now.get() + ms(10));
        now.get()
    };
    let mut wait = RoomWait::new(ms(100));
    let mut tries = 0;
    let third = |_| {
        tries += 1;
        (tries == 3).then_some(tries).ok_or(IntakeRefusal::Full)
    };
    assert_eq!(wait.retry(clock, third).await, Ok(3));
    let start = now.get();
    let full = |_| Err::<(), _>(IntakeRefusal::Full);
    assert_eq!(wait.retry(clock, full).await, Err(IntakeRefusal::Full));
    let waited = now.get().since(start);
    assert!(waited < ms(90), "the second part waited {waited}");
    let evicted = |_| Err::<(), _>(IntakeRefusal::Evicted);
    assert_eq!(
        wait.retry(clock, evicted).await,
        Err(IntakeRefusal::Evicted)
    );
    assert_eq!(wait.retry(clock, |_| Ok(1)).await, Ok(1));
}

/// Guards against a log that clients can flood, and against refusals that are not counted.
#[test]
fn refusals_are_logged_once_a_second() {
    let mut tally = RefusalTally::default();
    assert_eq!(tally.take_due(ms(0)), None);
    tally.count("full");
    assert_eq!(tally.take_due(ms(0)), Some([("full", 1)].into()));
    tally.count("full");
    tally.count("too_slow");
    tally.count("full");
    assert_eq!(tally.take_due(ms(999)), None);
    let counts = [("full", 2), ("too_slow", 1)].into();
    assert_eq!(tally.take_due(ms(1_000)), Some(counts));
    assert_eq!(tally.take_due(ms(5_000)), None);
}
