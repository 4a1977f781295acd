//! The limit of one tenant.

/// Limit on the usage of a tenant over all hosts, in units of the tenant: calls or tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageLimit {
    /// Usage per second that is admitted in the long run.
    pub rate_per_s: f64,
    /// Usage that may be admitted at once beyond the rate.
    pub burst: f64,
}
