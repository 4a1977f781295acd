//! Faults that a test can inject into a running stand-in through `POST /fault`.

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Duration;

/// Kind of fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    None,
    /// Every call is refused with status 503 and not carried out.
    Down,
    /// Calls are carried out, but every answer is lost: the connection is closed without one.
    LoseAnswers,
    /// As `LoseAnswers`, but only for writes; reads work.
    LoseWriteAnswers,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Kind of fault.
    #[serde(default)]
    pub mode: FaultMode,
    /// Delay before each call is carried out, milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Delay between carrying out a write or a plain call and its answer, milliseconds.
    #[serde(default)]
    pub answer_delay_ms: u64,
}

/// Switch shared by the handlers of a stand-in.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    settings: Mutex<FaultSettings>,
}

impl FaultSwitch {
    /// Returns the faults in force.
    pub fn current(&self) -> FaultSettings {
        *self.settings.lock().expect("fault switch lock")
    }

    /// Waits as the faults demand; returns whether the call is to be refused.
    pub async fn delay_or_refuse(&self) -> bool {
        let settings = self.current();
        if settings.delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(settings.delay_ms)).await;
        }
        settings.mode == FaultMode::Down
    }

    /// Waits before the answer to a write as the faults demand, and makes it.
    pub async fn answer_write(&self, answer: HttpResponse) -> HttpResponse {
        let settings = self.current();
        if settings.answer_delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(settings.answer_delay_ms)).await;
        }
        match settings.mode {
            FaultMode::LoseWriteAnswers => lost_answer(),
            _ => answer_or_lose(self, answer),
        }
    }

    /// Returns whether the answer of a call that was carried out is to be lost.
    pub fn loses_answer(&self) -> bool {
        self.current().mode == FaultMode::LoseAnswers
    }
}

/// Sets the faults.
pub async fn set_fault(
    switch: web::Data<FaultSwitch>,
    body: web::Json<FaultSettings>,
) -> HttpResponse {
    *switch.settings.lock().expect("fault switch lock") = body.into_inner();
    HttpResponse::NoContent().finish()
}

/// Makes the answer to a call that was carried out, unless it is to be lost.
pub fn answer_or_lose(switch: &FaultSwitch, answer: HttpResponse) -> HttpResponse {
    if switch.loses_answer() {
        lost_answer()
    } else {
        answer
    }
}

/// Makes an answer whose body fails at once, so that actix-web closes the connection.
fn lost_answer() -> HttpResponse {
    let broken = futures_util::stream::once(async {
        Err::<web::Bytes, _>(std::io::Error::other("answer lost by fault injection"))
    });
    HttpResponse::Ok().no_chunking(1).streaming(broken)
}
