//! Status numbers of HTTP answers.

/// Returns whether an answer with this status ends a request. HTTP libraries pass on all numbers of three
/// digits from 100, and some take interim answers for final ones.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
