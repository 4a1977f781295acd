//! Reads the bodies of callers' requests, within the memory budget of the host.
//!
//! A body is read only after its route is known and, with tenants, its key is accepted. hyper sends
//! `100 Continue` when the body is polled first, which is after the budget has had room for it.

use crate::clock;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_intake::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// Longest wait of a body for room in the budget, far longer than evicted bodies take to be released.
const ROOM_TIMEOUT: ClockTime = ClockTime::from_secs(3);
/// Interval at which a body that makes no progress is checked. An evicted one is released within it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyRefusal {
    /// It is longer than the limit of the configuration.
    TooLarge,
    /// The budget refused it.
    Budget(IntakeRefusal),
    /// The caller has left, or has sent bytes that are not valid.
    Broken,
}

/// Reads a body to its end. The charge of the returned bytes is released once their last copy is
/// dropped.
pub(crate) async fn read_body(
    budget: &IntakeBudget,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, BodyRefusal> {
    let announced = body.size_hint().exact().unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(BodyRefusal::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut wait = RoomWait::new(ROOM_TIMEOUT);
    let open = |now| BodyIntake::open(budget, IntakeUse::Incoming, announced, now);
    let opened = wait.retry(clock::now, open).await;
    let mut intake = opened.map_err(BodyRefusal::Budget)?;
    loop {
        let frame = match actix_rt::time::timeout(CHECK_INTERVAL, body.frame()).await {
            Err(_) => {
                intake.check(clock::now()).map_err(BodyRefusal::Budget)?;
                continue;
            }
            Ok(None) => return intake.finish().map_err(BodyRefusal::Budget),
            Ok(Some(Err(_))) => return Err(BodyRefusal::Broken),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if intake.len() + data.len() > limit {
            return Err(BodyRefusal::TooLarge);
        }
        let pushed = wait.retry(clock::now, |now| intake.push(&data, now)).await;
        pushed.map_err(BodyRefusal::Budget)?;
    }
}
