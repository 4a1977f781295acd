//! Presets with real processes: distribution, races of operators, lost answers, and hosts that
//! start or stay behind while the platform is down.

mod support;

use crocusyard_catalog::prelude::*;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use support::*;

/// Starts three hosts and waits for the version made from their catalogue file.
async fn start_current() -> (ProcessDeployment, Vec<SocketAddr>) {
    let deployment = start(3).await;
    let hosts = entries(&deployment);
    until_in_force(&hosts, 1, "ordinary").await;
    (deployment, hosts)
}

/// Returns an edit that changes the weight of the tenant.
fn set_weight(weight: u32) -> impl FnOnce(&mut CatalogSpec) {
    move |catalog| catalog.tenants[0].weight = weight
}

fn apply_args<'a>(file: &'a Path, author: &'a str) -> Vec<&'a str> {
    let file = file.to_str().expect("path is text");
    vec!["preset", "apply", file, "--author", author]
}

fn is_ready(status: &serde_json::Value) -> bool {
    status["ready"] == true
}

/// Guards M8 for changes in calm times: an edited catalogue and another preset must come in force on
/// every host, a repeated change must change nothing, and the commands must show all of it.
#[actix_web::test]
async fn changes_come_in_force_everywhere() {
    let (deployment, hosts) = start_current().await;
    let file = write_catalog(&deployment, "edited.yaml", set_weight(5));
    let checked = run(hosts[0], &["check", file.to_str().expect("path is text")]);
    assert_eq!(checked.code, Some(0), "{checked:?}");
    let shown = run(
        hosts[0],
        &["preset", "diff", file.to_str().expect("path is text")],
    );
    assert!(shown.text.contains("weight"), "{shown:?}");
    let applied = run(hosts[0], &apply_args(&file, "ana"));
    assert_eq!(applied.code, Some(0), "{applied:?}");
    until_in_force(&hosts, 2, "ordinary").await;
    let again = run(hosts[1], &apply_args(&file, "ana"));
    assert_eq!(again.code, Some(0), "{again:?}");
    assert!(again.text.contains("no change; version 2"), "{again:?}");
    let activate = ["preset", "activate", "repairs", "--author", "ben"];
    let activated = run(hosts[2], &activate);
    assert_eq!(activated.code, Some(0), "{activated:?}");
    until_in_force(&hosts, 3, "repairs").await;
    let activated = run(hosts[0], &activate);
    assert!(
        activated.text.contains("no change; version 3"),
        "{activated:?}"
    );
    let listed = run(hosts[1], &["preset", "list"]);
    assert!(listed.text.contains("* repairs"), "{listed:?}");
    let shown = run(hosts[1], &["preset", "show", "1"]);
    assert!(shown.text.contains("weight: 2"), "{shown:?}");
    let history = run(hosts[1], &["preset", "history"]);
    for author in ["start catalogue", "ana", "ben"] {
        assert!(history.text.contains(author), "{history:?}");
    }
}

/// Guards M8 against two operators who change the same version at two hosts at the same moment:
/// exactly one must win, and the other must be shown what the winner changed.
#[actix_web::test]
async fn one_of_two_operators_wins() {
    let (deployment, hosts) = start_current().await;
    let files = [5, 7]
        .map(|weight| write_catalog(&deployment, &format!("{weight}.yaml"), set_weight(weight)));
    let started: Vec<_> = files
        .iter()
        .zip(["ana", "ben"])
        .zip(&hosts)
        .map(|((file, author), host)| {
            let mut args = apply_args(file, author);
            args.extend(["--base-version", "1"]);
            spawn_command(*host, &args)
        })
        .collect();
    let results: Vec<_> = started.into_iter().map(finish).collect();
    let with_code = |code| results.iter().find(|result| result.code == Some(code));
    let (Some(_), Some(loser)) = (with_code(0), with_code(3)) else {
        panic!("one change wins and one conflicts: {results:?}");
    };
    assert!(loser.text.contains("version 2"), "{results:?}");
    assert!(loser.text.contains("weight"), "{results:?}");
    until_in_force(&hosts, 2, "ordinary").await;
    let history = run(hosts[2], &["preset", "history"]);
    let both = history.text.contains("ana") && history.text.contains("ben");
    assert!(!both, "{history:?}");
}

/// Guards an accepted change against the death of the host that accepted it.
#[actix_web::test]
async fn accepted_change_survives_its_host() {
    let (deployment, hosts) = start_current().await;
    let file = write_catalog(&deployment, "edited.yaml", set_weight(5));
    let applied = run(hosts[0], &apply_args(&file, "ana"));
    deployment.hosts[0].signal("KILL").expect("signal is sent");
    assert_eq!(applied.code, Some(0), "{applied:?}");
    until_in_force(&hosts[1..], 2, "ordinary").await;
}

/// Guards against a change that is made twice or reported as failed because the table's or the
/// object store's answers were lost although the writes took effect.
#[actix_web::test]
async fn lost_answers_do_not_lose_or_repeat_a_change() {
    let (deployment, hosts) = start_current().await;
    let platform = deployment.platform.address;
    let first = write_catalog(&deployment, "first.yaml", set_weight(5));
    set_fault(platform, "lose_write_answers").await;
    let applied = run(hosts[0], &apply_args(&first, "ana"));
    assert_eq!(applied.code, Some(0), "{applied:?}");
    until_in_force(&hosts, 2, "ordinary").await;
    let second = write_catalog(&deployment, "second.yaml", set_weight(7));
    set_fault(platform, "lose_answers").await;
    let started = spawn_command(hosts[1], &apply_args(&second, "ben"));
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    set_fault(platform, "none").await;
    let applied = finish(started);
    assert_eq!(applied.code, Some(0), "{applied:?}");
    until_in_force(&hosts, 3, "ordinary").await;
}

/// Guards M8 for a host that starts with an old file while the platform is down: it must take the
/// newest version from its peers, and must not take requests before.
#[actix_web::test]
async fn restarted_host_takes_the_newest_version_from_peers() {
    let (mut deployment, hosts) = start_current().await;
    let file = write_catalog(&deployment, "edited.yaml", set_weight(5));
    let applied = run(hosts[0], &apply_args(&file, "ana"));
    assert_eq!(applied.code, Some(0), "{applied:?}");
    until_in_force(&hosts, 2, "ordinary").await;
    deployment.hosts[2].signal("KILL").expect("signal is sent");
    deployment.hosts[2].wait().expect("host ends");
    set_fault(deployment.platform.address, "down").await;
    deployment.hosts[2] = deployment.spawn_host(2, SETTINGS).expect("host starts");
    until("the restarted host is ready", || async {
        let status = read_status(hosts[2]).await?;
        let current = status["preset_version"] == 2;
        assert!(current || !is_ready(&status), "ready with {status}");
        is_ready(&status).then_some(())
    })
    .await;
    until(
        "the restarted host in the answers of the others",
        || async { ask(hosts[0], "ink").await.contains(&hosts[2]).then_some(()) },
    )
    .await;
}

/// Guards M8 against a host that is cut off: when neither the table nor peers confirm its version, it
/// must leave the answers and lose readiness.
#[actix_web::test]
async fn host_without_confirmation_leaves() {
    let (deployment, hosts) = start_current().await;
    set_fault(deployment.platform.address, "down").await;
    for host in &deployment.hosts[1..] {
        host.signal("STOP").expect("signal is sent");
    }
    until("the host without confirmation leaves", || async {
        let status = read_status(hosts[0]).await?;
        (!is_ready(&status)).then_some(())
    })
    .await;
    let named = ask(hosts[0], "ink").await;
    assert!(!named.contains(&hosts[0]), "{named:?}");
    for host in &deployment.hosts[1..] {
        host.signal("CONT").expect("signal is sent");
    }
    set_fault(deployment.platform.address, "none").await;
    until("all hosts are ready again", || async {
        for host in &hosts {
            if !is_ready(&read_status(*host).await?) {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Guards the draining of a target by a preset: its running streams must complete, and no request may
/// start there once the preset is in force.
#[actix_web::test]
async fn drained_target_finishes_and_gets_nothing_new() {
    let (deployment, hosts) = start_current().await;
    until_resident(&deployment, 0).await;
    let entry = hosts[0];
    let names: Vec<String> = deployment
        .catalog
        .models
        .iter()
        .map(|model| model.name.to_string())
        .collect();
    let streams: Vec<_> = names
        .iter()
        .cycle()
        .take(30)
        .cloned()
        .map(|name| {
            actix_rt::spawn(async move {
                let client = TestClient::new("plazas");
                let answer = client.stream(entry, &name, "long", 150).await;
                (name, answer)
            })
        })
        .collect();
    let drained = deployment.targets[0].address;
    until("the target runs streams", || async {
        let load = read_json(drained, "/load").await;
        (load["running"].as_u64()? > 0).then_some(())
    })
    .await;
    let activated = run(
        hosts[1],
        &["preset", "activate", "repairs", "--author", "ana"],
    );
    assert_eq!(activated.code, Some(0), "{activated:?}");
    until_in_force(&hosts, 2, "repairs").await;
    let before = read_json(drained, "/usage").await["requests"].clone();
    for host in &hosts {
        for name in &names {
            let answer = TestClient::new("plazas")
                .stream(*host, name, "new", 3)
                .await;
            assert!(answer.complete, "{name}: {answer:?}");
        }
    }
    assert_eq!(read_json(drained, "/usage").await["requests"], before);
    for stream in streams {
        let (name, answer) = stream.await.expect("caller ends");
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens(&name, "long", 150));
    }
    check_memory(&deployment).await;
}

/// Guards M2 against a catalogue that would leave a model without a place: it must be refused with
/// the reason, and nothing may change.
#[actix_web::test]
async fn infeasible_preset_is_refused_with_the_reason() {
    let (deployment, hosts) = start_current().await;
    let file = write_catalog(&deployment, "large.yaml", |catalog| {
        for model in &mut catalog.models {
            model.memory_bytes = 15_000_000_000;
            model.load_ms = 60_000;
        }
        catalog
            .presets
            .iter_mut()
            .for_each(|preset| preset.copies.clear());
    });
    let applied = run(hosts[0], &apply_args(&file, "ana"));
    assert_eq!(applied.code, Some(2), "{applied:?}");
    assert!(applied.text.contains("no room"), "{applied:?}");
    until_in_force(&hosts, 1, "ordinary").await;
}
