//! Failure domains that are cut from each other while the table service is down.

use crate::support::*;
use crate::*;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::sample::DOMAINS;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;

/// Accelerator memory of an engine, bytes: the engines together cannot hold every model.
const ENGINE_BYTES: u64 = 10_000_000_000;
/// What is resident at the start.
const RESIDENT: [(&str, &[&str]); 3] = [
    ("asistente-1", &["easel=3000000000", "quill=7000000000"]),
    ("asistente-2", &["chalk-large=9000000000"]),
    ("asistente-3", &["easel=3000000000", "ink=6000000000"]),
];
/// Time for which the cut and the outage last: longer than a lease of 3 s, and than the 5 s after
/// which a host that nobody confirms leaves the address answers.
const CUT_MS: u64 = 8_000;

/// Returns the hosts of a failure domain, by its position.
fn hosts_in(domain: usize) -> Vec<usize> {
    (0..HOSTS).filter(|host| host % 3 == domain).collect()
}

/// Asks every host for a service call and a stream of each model, and checks the whole answers.
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

/// Asks a host for a model until it is served; refusals must be `not_run`. Returns their number.
async fn insist(host: SocketAddr, model: &str, prompt: &str) -> u32 {
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
        // A request whose deadline has passed in the queue is told no time to come again.
        assert!(
            answer.retry_after.is_some() || error["code"] == "deadline",
            "{answer:?}"
        );
        refusals += 1;
        actix_rt::time::sleep(Duration::from_secs(answer.retry_after.unwrap_or(0))).await;
    }
}

/// Checks what every host tells in the cut: no host is dead, and callers are named a host of the
/// failure domain that they ask.
async fn check_views(deployment: &ProcessDeployment, model: &str) {
    let hosts = entries(deployment);
    for (index, host) in hosts.iter().enumerate() {
        let status = read_status(*host).await.expect("host answers");
        let members = status["members"].as_array().expect("members are listed");
        let is_dead = |member: &Value| member["state"] == "dead";
        assert!(!members.iter().any(is_dead), "{host}: {members:?}");
        let named = ask(*host, model).await;
        let near = hosts_in(index % 3);
        assert!(
            near.iter().any(|near| named.contains(&hosts[*near])),
            "{host}: {named:?}"
        );
    }
}

/// Waits until all hosts are alive for each other and name the same lease holder.
async fn until_agreed(deployment: &ProcessDeployment) {
    let hosts = entries(deployment);
    until("one lease holder and no suspicion", || async {
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
    })
    .await;
}

/// Runs a command without holding up the test's other work.
async fn run_aside(host: SocketAddr, args: &'static [&'static str]) -> CommandResult {
    let command = actix_rt::task::spawn_blocking(move || run(host, args));
    command.await.expect("command ends")
}

/// Cuts two groups of hosts from each other while the platform is down, and checks both sides.
async fn cut_in_outage(one: &[usize], other: &[usize]) {
    const ACTIVATE: &[&str] = &["preset", "activate", "repairs", "--author", "ana"];
    let builder = build_domains(ENGINE_BYTES, &RESIDENT).relays_packets();
    let deployment = builder.start().await.expect("deployment starts");
    let hosts = entries(&deployment);
    until_in_force(&hosts, 1, "ordinary").await;
    until_agreed(&deployment).await;
    until_settled(&deployment).await;
    let resident = domains_by_model(&deployment, |_| true).await;
    let (present, absent): (Vec<_>, Vec<_>) = resident
        .into_iter()
        .partition(|(_, domains)| !domains.is_empty());
    let present: Vec<String> = present.into_iter().map(|(model, _)| model).collect();
    let (absent, _) = absent.first().expect("memory cannot hold every model");
    check_served(&hosts, &present, "before").await;

    set_fault(deployment.platform.address, "down").await;
    let packets = deployment.packets.as_ref().expect("packets are relayed");
    packets.cut(one, other);
    let orders = orders_taken(&deployment).await;
    let wants = [one[0], other[0]].map(|host| insist(hosts[host], absent, "wanted"));
    let cut = async {
        actix_rt::time::sleep(Duration::from_millis(CUT_MS)).await;
        check_served(&hosts, &present, "in the cut").await;
        check_views(&deployment, &present[0]).await;
        let refused = run_aside(hosts[one[0]], ACTIVATE).await;
        assert_ne!(refused.code, Some(0), "{refused:?}");
        assert_eq!(orders_taken(&deployment).await, orders, "a move started");
        packets.heal();
        set_fault(deployment.platform.address, "none").await;
    };
    let wants = async {
        let served = actix_rt::time::timeout(2 * LIMIT, join_all(wants)).await;
        served.expect("the wanted model is served on both sides")
    };
    let (refusals, ()) = futures_util::join!(wants, cut);
    println!("refusals of {absent}: {refusals:?}");
    assert!(orders_taken(&deployment).await > orders);
    until_agreed(&deployment).await;
    until_in_force(&hosts, 1, "ordinary").await;
    let activated = run_aside(hosts[other[0]], ACTIVATE).await;
    assert_eq!(activated.code, Some(0), "{activated:?}");
    until_in_force(&hosts, 2, "repairs").await;
    check_engines(&deployment, |_| true).await;
}

/// Guards serving, leases and presets when two failure domains cannot exchange packets, and only the
/// third reaches both, while the platform is down: resident models are served on both sides, no
/// order is carried out though a model is wanted, and afterwards all hosts agree.
#[actix_web::test]
async fn domains_cut_from_each_other_serve_and_agree_again() {
    assert_eq!(DOMAINS.len(), 3);
    cut_in_outage(&hosts_in(0), &hosts_in(1)).await;
}

/// Guards the same when a failure domain is cut from both others, so that no host passes news on.
#[actix_web::test]
async fn domain_cut_from_all_others_serves_and_agrees_again() {
    let others = [hosts_in(0), hosts_in(2)].concat();
    cut_in_outage(&hosts_in(1), &others).await;
}
