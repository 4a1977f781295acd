//! Checks of settings beyond the range of each value: addresses, sources of keys, and relations
//! between values.

use crate::host::HostSettings;
use crate::secret::KeySource;
use crate::sections::ListenSettings;
use crocusyard_base::prelude::*;
use crocusyard_catalog::prelude::{CatalogSpec, ValueProblem};
use std::net::SocketAddr;

/// Checks settings from which wrong values may have been left out.
///
/// Values are compared with each other only in `complete` settings, since a value that was left out
/// counts as its default.
pub fn check_settings(settings: &HostSettings, complete: bool) -> Vec<ValueProblem> {
    let mut problems = Vec::new();
    check_listen(&settings.listen, &mut problems);
    check_platform(settings, &mut problems);
    check_source("keys.operator", &settings.keys.operator, &mut problems);
    check_source("keys.gossip", &settings.keys.gossip, &mut problems);
    if complete {
        check_membership(settings, &mut problems);
        check_lease(settings, &mut problems);
        check_requests(settings, &mut problems);
    }
    if complete && settings.keys.operator == settings.keys.gossip {
        // An operator who knows the operator key must not be able to forge messages between hosts.
        let expected = "another source than that of the operator key";
        problems.push(ValueProblem::new("keys.gossip", expected));
    }
    problems
}

/// Checks that the catalogue declares the region of the host, and its failure domain there.
pub fn check_location(settings: &HostSettings, catalog: &CatalogSpec) -> Vec<ValueProblem> {
    let region = catalog
        .regions
        .iter()
        .find(|region| region.name == settings.region);
    let Some(region) = region else {
        let expected = "region that the catalogue declares";
        return vec![ValueProblem::new("region", expected)];
    };
    if region.domains.contains(&settings.domain) {
        return Vec::new();
    }
    let expected = format!(
        "failure domain of region `{}` in the catalogue",
        region.name
    );
    vec![ValueProblem::new("domain", expected)]
}

fn check_listen(listen: &ListenSettings, problems: &mut Vec<ValueProblem>) {
    check_reachable(
        "listen.advertised_callers",
        listen.advertised_callers,
        problems,
    );
    check_reachable(
        "listen.advertised_gossip",
        listen.advertised_gossip,
        problems,
    );
    for (path, address) in [
        ("listen.callers", listen.callers),
        ("listen.gossip", listen.gossip),
    ] {
        if address.port() == 0 {
            problems.push(ValueProblem::new(path, "port other than 0"));
        }
    }
}

fn check_platform(settings: &HostSettings, problems: &mut Vec<ValueProblem>) {
    let platform = &settings.platform;
    check_reachable("platform.table", platform.table, problems);
    check_reachable("platform.objects", platform.objects, problems);
    check_reachable("platform.hosts", platform.hosts, problems);
}

/// Reports an address that other processes cannot connect to.
fn check_reachable(path: &str, address: SocketAddr, problems: &mut Vec<ValueProblem>) {
    if address.port() == 0 || address.ip().is_unspecified() {
        problems.push(ValueProblem::new(
            path,
            "address that others can connect to",
        ));
    }
}

fn check_source(path: &str, source: &KeySource, problems: &mut Vec<ValueProblem>) {
    if source.file.is_some() == source.env.is_some() {
        problems.push(ValueProblem::new(path, "exactly one of `file` and `env`"));
    }
}

fn check_membership(settings: &HostSettings, problems: &mut Vec<ValueProblem>) {
    let membership = &settings.membership;
    // A suspected host needs the time of an indirect ping to refute the suspicion.
    let two_pings = membership.ping_timeout_ms + membership.ping_timeout_ms;
    if membership.suspicion_ms < two_pings {
        let least = two_pings.as_ms();
        let expected = format!("at least {least}, twice membership.ping_timeout_ms");
        problems.push(ValueProblem::new("membership.suspicion_ms", expected));
    }
    // A host that reads the preset pointer less often than twice in this time would leave the
    // address answers although nothing has failed.
    let two_polls = settings.platform.preset_poll_ms + settings.platform.preset_poll_ms;
    if settings.address.stale_ms < two_polls {
        let least = two_polls.as_ms();
        let expected = format!("at least {least}, twice platform.preset_poll_ms");
        problems.push(ValueProblem::new("address.stale_ms", expected));
    }
}

/// Checks that the holder can try a renewal twice before its lease ends.
fn check_lease(settings: &HostSettings, problems: &mut Vec<ValueProblem>) {
    let lease = &settings.lease;
    let usable_time = lease.length_ms.scale(1.0 - lease.drift);
    let two_calls = settings.platform.table_timeout_ms + settings.platform.table_timeout_ms;
    if lease.renew_ms + two_calls > usable_time {
        let most = usable_time.since(two_calls).as_ms();
        let expected = format!(
            "at most {most}: lease.length_ms less drift and two times platform.table_timeout_ms"
        );
        problems.push(ValueProblem::new("lease.renew_ms", expected));
    }
}

/// Checks that the time limits of connections and probes stay within `first_byte_ms`, and that the
/// largest head of a request is not larger than the largest body.
fn check_requests(settings: &HostSettings, problems: &mut Vec<ValueProblem>) {
    let requests = &settings.requests;
    let limits = [
        ("requests.connect_timeout_ms", requests.connect_timeout_ms),
        ("requests.probe_timeout_ms", requests.probe_timeout_ms),
    ];
    for (path, limit) in limits {
        if limit > requests.first_byte_ms {
            let most: ClockTime = requests.first_byte_ms;
            let expected = format!("at most {}, requests.first_byte_ms", most.as_ms());
            problems.push(ValueProblem::new(path, expected));
        }
    }
    if settings.limits.header_bytes > settings.limits.body_bytes {
        let expected = format!(
            "at least {}, limits.header_bytes",
            settings.limits.header_bytes
        );
        problems.push(ValueProblem::new("limits.body_bytes", expected));
    }
}
