//! Failure domains that cannot exchange packets with each other while the platform is down.

use crate::support::*;
use crate::*;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::sample::DOMAINS;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;

/// Accelerator memory of an engine, bytes; the engines together cannot hold every model.
const ENGINE_BYTES: u64 = 10_000_000_000;
/// Models that are resident at the start.
const RESIDENT: [(&str, &[&str]); 3] = [
    ("asistente-1", &["easel=3000000000", "quill=7000000000"]),
    ("asistente-2", &["chalk-large=9000000000"]),
    ("asistente-3", &["easel=3000000000", "ink=6000000000"]),
];
/// Length of the cut and the outage, ms: longer than the lease of 3 s, and than the 5 s after which
/// a host without confirmation of its preset version leaves the address answers.
const CUT_MS: u64 = 8_000;

/// Returns the indices of the hosts in a failure domain, which is given by its position.
fn hosts_in(domain: usize) -> Vec<usize> {
    (0..HOSTS).filter(|host| host % 3 == domain).collect()
}

/// Sends every host a service call and a stream request for each model, and checks the answers.
async fn check_served(hosts: &[SocketAddr], models: &[String], prompt: &str) {
    let client = TestClient::new("plazas");
    for host in hosts {
        let calls = models.iter().map(|model| {
            let client = &client;
            async move {
                let answer = client.stream(*host, model, prompt, 5).await;
                assert!(answer.complete, "{host} {model}: {answer:?}");
                assert_eq!(answer.text, answer_tokens(model, prompt, 5));
            }
        });
        join_all(calls).await;
        let get = awc::http::Method::GET;
        let read = client.call(*host, get, "mostrador/opening", None, "").await;
        assert_eq!(read.status, 200, "{host}: {read:?}");
    }
}

/// Repeats a stream request at a host until it is served and returns the number of refusals.
///
/// Each refusal must report that the request was not run.
async fn stream_until_served(host: SocketAddr, model: &str, prompt: &str) -> u32 {
    let client = TestClient::new("plazas");
    let mut refusals = 0;
    loop {
        let answer = client.stream(host, model, prompt, 5).await;
        if answer.complete {
            assert_eq!(answer.text, answer_tokens(model, prompt, 5));
            return refusals;
        }
        let error = answer.error.clone().unwrap_or_default();
        assert_eq!(error["outcome"], "not_run", "{answer:?}");
        // A refusal of a request whose deadline passed in the queue has no `Retry-After`.
        assert!(
            answer.retry_after.is_some() || error["code"] == "deadline",
            "{answer:?}"
        );
        refusals += 1;
        actix_rt::time::sleep(Duration::from_secs(answer.retry_after.unwrap_or(0))).await;
    }
}

/// Checks the status and address answers of every host during the cut.
///
/// No host may be reported as dead, and the address answers of a host must name a host of its own
/// failure domain.
async fn check_status_in_cut(deployment: &ProcessDeployment, model: &str) {
    let hosts = caller_addresses(deployment);
    for (index, host) in hosts.iter().enumerate() {
        let status = read_status(*host).await.expect("the host does not answer");
        let members = status["members"]
            .as_array()
            .expect("the status lists no members");
        let is_dead = |member: &Value| member["state"] == "dead";
        assert!(!members.iter().any(is_dead), "{host}: {members:?}");
        let named = addresses_for_model(*host, model).await;
        let domain_hosts = hosts_in(index % 3);
        assert!(
            domain_hosts
                .iter()
                .any(|peer| named.contains(&hosts[*peer])),
            "{host}: {named:?}"
        );
    }
}

/// Waits until all hosts report all members as alive and the same lease holder.
async fn wait_agreement(deployment: &ProcessDeployment) {
    let hosts = caller_addresses(deployment);
    wait_until(
        "all hosts report the same lease holder and only alive members",
        || async {
            let mut holders = BTreeSet::new();
            for host in &hosts {
                let status = read_status(*host).await?;
                holders.insert(status["leases"][0]["holder"].as_str()?.to_owned());
                let mut members = status["members"].as_array()?.iter();
                if !members.all(|member| member["state"] == "alive") {
                    return None;
                }
            }
            (holders.len() == 1).then_some(())
        },
    )
    .await;
}

/// Runs an operator command without blocking the other tasks of the test.
async fn run_command_async(host: SocketAddr, args: &'static [&'static str]) -> CommandResult {
    let command = actix_rt::task::spawn_blocking(move || run_command(host, args));
    command.await.expect("the command cannot be awaited")
}

/// Cuts two groups of hosts from each other while the platform is down, and checks both groups.
async fn check_cut_in_outage(side_a: &[usize], side_b: &[usize]) {
    const ACTIVATE: &[&str] = &["preset", "activate", "repairs", "--author", "ana"];
    let builder = build_domains(ENGINE_BYTES, &RESIDENT).relays_packets();
    let deployment = builder.start().await.expect("the deployment cannot start");
    let hosts = caller_addresses(&deployment);
    wait_in_force(&hosts, 1, "ordinary").await;
    wait_agreement(&deployment).await;
    wait_moves_ended(&deployment).await;
    let domains = domains_by_model(&deployment, |_| true).await;
    let (present, absent): (Vec<_>, Vec<_>) = domains
        .into_iter()
        .partition(|(_, domains)| !domains.is_empty());
    let resident_models: Vec<String> = present.into_iter().map(|(model, _)| model).collect();
    let (missing_model, _) = absent
        .first()
        .expect("every model is resident, although memory cannot hold them all");
    check_served(&hosts, &resident_models, "before").await;

    set_fault_mode(deployment.platform.address, "down").await;
    let packet_relay = deployment
        .packet_relay
        .as_ref()
        .expect("the deployment relays no packets");
    packet_relay.partition(side_a, side_b);
    let orders = count_accepted_orders(&deployment).await;
    let requests = [side_a[0], side_b[0]]
        .map(|host| stream_until_served(hosts[host], missing_model, "wanted"));
    let cut = async {
        actix_rt::time::sleep(Duration::from_millis(CUT_MS)).await;
        check_served(&hosts, &resident_models, "in the cut").await;
        check_status_in_cut(&deployment, &resident_models[0]).await;
        let refused = run_command_async(hosts[side_a[0]], ACTIVATE).await;
        assert_ne!(refused.code, Some(0), "{refused:?}");
        assert_eq!(
            count_accepted_orders(&deployment).await,
            orders,
            "an engine accepted an order during the cut"
        );
        packet_relay.heal();
        set_fault_mode(deployment.platform.address, "none").await;
    };
    let requests = async {
        let served = actix_rt::time::timeout(2 * WAIT_LIMIT, join_all(requests)).await;
        served.expect("the requested model is not served on both sides in time")
    };
    let (refusals, ()) = futures_util::join!(requests, cut);
    println!("refusals of {missing_model}: {refusals:?}");
    assert!(count_accepted_orders(&deployment).await > orders);
    wait_agreement(&deployment).await;
    wait_in_force(&hosts, 1, "ordinary").await;
    let activated = run_command_async(hosts[side_b[0]], ACTIVATE).await;
    assert_eq!(activated.code, Some(0), "{activated:?}");
    wait_in_force(&hosts, 2, "repairs").await;
    check_engine_memory_of(&deployment, |_| true).await;
}

/// Guards against failed requests, orders without a lease, and disagreement when two failure
/// domains cannot exchange packets while the platform is down.
///
/// Only the third domain reaches both. Resident models must be served on both sides, no order may
/// be carried out although a model that is not resident is requested, and afterwards all hosts must
/// agree on members, lease holder and preset.
#[actix_web::test]
async fn domains_cut_from_each_other_serve_and_agree_again() {
    assert_eq!(DOMAINS.len(), 3);
    check_cut_in_outage(&hosts_in(0), &hosts_in(1)).await;
}

/// Guards against the same faults when a failure domain is cut from both others, so that no host
/// can relay updates.
#[actix_web::test]
async fn domain_cut_from_all_others_serves_and_agrees_again() {
    let others = [hosts_in(0), hosts_in(2)].concat();
    check_cut_in_outage(&hosts_in(1), &others).await;
}
