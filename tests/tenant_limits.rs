//! Limits of tenants over several entry host processes.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{get, pool, route, EntryHost, POLL_INTERVAL, SETTLE_LIMIT};
use hyper::header::RETRY_AFTER;
use hyper::StatusCode;
use std::time::{Duration, Instant};

const ROUTES: [TestRoute; 1] = [route("/many/", RouteKind::Idempotent, 2)];
const KEY: &str = "asnmgkcuyj8pjbvk9m68";
const FREE_KEY: &str = "w3qz7d0lv9t1xr5mphc2";
const LIMITED: TestTenant = TestTenant {
    name: "limited",
    keys: &[KEY],
};
const FREE: TestTenant = TestTenant {
    name: "free",
    keys: &[FREE_KEY],
};
/// Calls per second, and calls at once, that the limited tenant may make.
const LIMIT: f64 = 20.0;
/// Timeout of each call, ms.
const CALL_TIMEOUT_MS: u64 = 1_500;
/// Time for hosts to hear of each other and to get credit.
const CREDIT_TIME: Duration = Duration::from_secs(4);

/// Answer to a call: its status and the time after which to call again.
struct Answer {
    status: StatusCode,
    retry_after_s: Option<f64>,
}

struct Deployment {
    _store: StoreStandin,
    target: TargetStandin,
    hosts: Vec<EntryHost>,
}

impl Deployment {
    /// Starts three hosts, which know of each other and have credit.
    async fn start() -> Self {
        Self::start_with(LIMIT, LIMIT).await
    }

    /// Starts them with another limit.
    async fn start_with(rate_per_s: f64, burst: f64) -> Self {
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        let tenants = with_tenants(configuration(1, &ROUTES), &[LIMITED, FREE], &[]);
        store.put_configuration(&with_limit(tenants, LIMITED.name, rate_per_s, burst));
        let target = TargetStandin::start("i-0")
            .await
            .expect("the target stand-in cannot start");
        store.put_target(&target.name(), &target.record("s"));
        let names = ["edge-1", "edge-2", "edge-3"];
        let hosts: Vec<EntryHost> = names
            .iter()
            .map(|name| EntryHost::start(name, store.address))
            .collect();
        for host in &hosts {
            host.wait_ready().await;
        }
        let start = Instant::now();
        while store.host_names().len() < hosts.len() {
            assert!(start.elapsed() < SETTLE_LIMIT, "a host has no row");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        actix_rt::time::sleep(CREDIT_TIME).await;
        Self {
            _store: store,
            target,
            hosts,
        }
    }

    async fn call(&self, host: usize, id: &str, key: &'static str) -> Answer {
        let request = keyed_request("/many/1", id, CALL_TIMEOUT_MS, &[key]);
        let mut conn = pool()
            .open(self.hosts[host].addresses.entry)
            .await
            .expect("the host does not accept the connection");
        let answer = conn.send(request.expect("the request is not valid")).await;
        let answer = answer.expect("the call got no answer");
        let value = answer.headers().get(RETRY_AFTER);
        let retry_after_s =
            value.and_then(|value| value.to_str().ok().and_then(|text| text.parse().ok()));
        Answer {
            status: answer.status(),
            retry_after_s,
        }
    }
}

/// Guards against calls over the limit that run, against refusals that do not say when to call
/// again, and against a limit that each host applies alone.
#[actix_rt::test]
async fn calls_over_the_limit_are_refused_and_do_not_run() {
    let deployment = Deployment::start().await;
    let start = Instant::now();
    let (mut served, mut refused) = (0, 0);
    // Far more calls than the hosts may admit, spread over them.
    for number in 0..400 {
        let id = format!("r{number}");
        let answer = deployment.call(number % 3, &id, KEY).await;
        let runs = deployment.target.runs(&id);
        if answer.status == StatusCode::OK {
            served += 1;
            assert_eq!(runs, 1, "{id}");
        } else {
            assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS, "{id}");
            assert_eq!(runs, 0, "{id} was refused and ran");
            let retry_after_s = answer.retry_after_s.expect("a time to call again");
            assert!(
                retry_after_s > 0.0 && retry_after_s <= 8.0,
                "{retry_after_s} s"
            );
            refused += 1;
        }
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    // The bound is that of a window of 8 s; the calls of this test are sent in less.
    let allowed = (LIMIT * elapsed_s.max(1.0) + LIMIT) * 1.1 + 3.0;
    assert!(refused > 0, "no call was refused in {elapsed_s} s");
    assert!(
        f64::from(served) <= allowed,
        "{served} calls in {elapsed_s} s"
    );
    assert!(served >= 5, "{served} calls in {elapsed_s} s");
    let answer = deployment.call(0, "free", FREE_KEY).await;
    assert_eq!(answer.status, StatusCode::OK, "a tenant without a limit");
    let (_, metrics) = get(deployment.hosts[0].metrics, "/metrics").await;
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    assert!(
        metrics.contains("crocusyard_entry_tenant_credit{tenant=\"limited\"}"),
        "{metrics}"
    );
}

/// Guards against refused calls of a tenant below its limit whose calls come to one host after the
/// other.
#[actix_rt::test]
async fn calls_below_the_limit_are_served() {
    let deployment = Deployment::start().await;
    // A quarter of the limit, so that a slow machine does not make bursts of them.
    let pause = Duration::from_secs_f64(4.0 / LIMIT);
    for number in 0..30 {
        let id = format!("r{number}");
        let answer = deployment.call(number % 3, &id, KEY).await;
        assert_eq!(answer.status, StatusCode::OK, "{id}");
        actix_rt::time::sleep(pause).await;
    }
}

/// Guards against a charge that stays although the call has not run: calls that the target refuses
/// do not use up the limit.
#[actix_rt::test]
async fn refused_calls_are_refunded() {
    // Slow enough that the rate alone does not cover the calls of the test.
    let deployment = Deployment::start_with(3.0, 10.0).await;
    deployment.target.set_fault(TargetFault::Full);
    for number in 0..150 {
        let answer = deployment.call(0, &format!("r{number}"), KEY).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "r{number}");
    }
}
