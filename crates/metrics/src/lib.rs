//! Prometheus metrics of one entry host.
