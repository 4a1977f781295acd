//! Distribution of preset versions to hosts in separate processes: concurrent changes by operators,
//! lost answers of the platform, and hosts that restart or are isolated while the platform is down.

mod support;

use crocusyard_catalog::prelude::*;
use crocusyard_standins::prelude::answer_tokens;
use crocusyard_testbed::prelude::*;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use support::*;

/// Starts three hosts and waits until version 1, made from their catalogue file, is in force.
async fn start_current() -> (ProcessDeployment, Vec<SocketAddr>) {
    let deployment = start_empty(3).await;
    let hosts = caller_addresses(&deployment);
    wait_in_force(&hosts, 1, "ordinary").await;
    (deployment, hosts)
}

/// Returns an edit of the catalogue that sets the weight of its tenant.
fn set_weight(weight: u32) -> impl FnOnce(&mut CatalogSpec) {
    move |catalog| catalog.tenants[0].weight = weight
}

/// Returns the arguments of the command `preset apply`.
fn apply_args<'a>(file: &'a Path, author: &'a str) -> Vec<&'a str> {
    let file = file.to_str().expect("the path is not valid UTF-8");
    vec!["preset", "apply", file, "--author", author]
}

fn is_ready(status: &serde_json::Value) -> bool {
    status["ready"] == true
}

/// Guards against changes that do not reach every host in a deployment without faults.
///
/// An edited catalogue and another preset must come in force on every host, a repeated change must
/// make no new version, and the commands must show all changes.
#[actix_web::test]
async fn changes_come_in_force_everywhere() {
    let (deployment, hosts) = start_current().await;
    let file = write_catalog(&deployment, "edited.yaml", set_weight(5));
    let checked = run_command(
        hosts[0],
        &["check", file.to_str().expect("the path is not valid UTF-8")],
    );
    assert_eq!(checked.code, Some(0), "{checked:?}");
    let shown = run_command(
        hosts[0],
        &[
            "preset",
            "diff",
            file.to_str().expect("the path is not valid UTF-8"),
        ],
    );
    assert!(shown.text.contains("weight"), "{shown:?}");
    let applied = run_command(hosts[0], &apply_args(&file, "ana"));
    assert_eq!(applied.code, Some(0), "{applied:?}");
    wait_in_force(&hosts, 2, "ordinary").await;
    let again = run_command(hosts[1], &apply_args(&file, "ana"));
    assert_eq!(again.code, Some(0), "{again:?}");
    assert!(again.text.contains("no change; version 2"), "{again:?}");
    let activate = ["preset", "activate", "repairs", "--author", "ben"];
    let activated = run_command(hosts[2], &activate);
    assert_eq!(activated.code, Some(0), "{activated:?}");
    wait_in_force(&hosts, 3, "repairs").await;
    let activated = run_command(hosts[0], &activate);
    assert!(
        activated.text.contains("no change; version 3"),
        "{activated:?}"
    );
    let listed = run_command(hosts[1], &["preset", "list"]);
    assert!(listed.text.contains("* repairs"), "{listed:?}");
    let shown = run_command(hosts[1], &["preset", "show", "1"]);
    assert!(shown.text.contains("weight: 2"), "{shown:?}");
    let history = run_command(hosts[1], &["preset", "history"]);
    for author in ["start catalogue", "ana", "ben"] {
        assert!(history.text.contains(author), "{history:?}");
    }
}

/// Guards against a lost update when two operators change the same version at two hosts at once.
///
/// Exactly one change must be applied, and the other operator must be shown the conflicting change.
#[actix_web::test]
async fn one_of_two_concurrent_changes_is_applied() {
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
    let results: Vec<_> = started.into_iter().map(wait_command).collect();
    let with_code = |code| results.iter().find(|result| result.code == Some(code));
    let (Some(_), Some(conflict)) = (with_code(0), with_code(3)) else {
        panic!("one change must be applied and one must conflict: {results:?}");
    };
    assert!(conflict.text.contains("version 2"), "{results:?}");
    assert!(conflict.text.contains("weight"), "{results:?}");
    wait_in_force(&hosts, 2, "ordinary").await;
    let history = run_command(hosts[2], &["preset", "history"]);
    let both_authors = history.text.contains("ana") && history.text.contains("ben");
    assert!(!both_authors, "{history:?}");
}

/// Guards against the loss of an accepted change when the host that accepted it is killed at once.
#[actix_web::test]
async fn accepted_change_survives_its_host() {
    let (deployment, hosts) = start_current().await;
    let file = write_catalog(&deployment, "edited.yaml", set_weight(5));
    let applied = run_command(hosts[0], &apply_args(&file, "ana"));
    deployment.hosts[0]
        .signal("KILL")
        .expect("the signal cannot be sent");
    assert_eq!(applied.code, Some(0), "{applied:?}");
    wait_in_force(&hosts[1..], 2, "ordinary").await;
}

/// Guards against a change that is made twice, or reported as failed, when the table or the object
/// store carries writes out and its answers are lost.
#[actix_web::test]
async fn lost_answers_do_not_lose_or_repeat_a_change() {
    let (deployment, hosts) = start_current().await;
    let platform = deployment.platform.address;
    let first = write_catalog(&deployment, "first.yaml", set_weight(5));
    set_fault_mode(platform, "lose_write_answers").await;
    let applied = run_command(hosts[0], &apply_args(&first, "ana"));
    assert_eq!(applied.code, Some(0), "{applied:?}");
    wait_in_force(&hosts, 2, "ordinary").await;
    let second = write_catalog(&deployment, "second.yaml", set_weight(7));
    set_fault_mode(platform, "lose_answers").await;
    let started = spawn_command(hosts[1], &apply_args(&second, "ben"));
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    set_fault_mode(platform, "none").await;
    let applied = wait_command(started);
    assert_eq!(applied.code, Some(0), "{applied:?}");
    wait_in_force(&hosts, 3, "ordinary").await;
}

/// Guards against a host that serves an old version after a restart while the platform is down.
///
/// The host starts with an old catalogue file. It must take the newest version from its peers, and
/// must not be ready before.
#[actix_web::test]
async fn restarted_host_takes_the_newest_version_from_peers() {
    let (mut deployment, hosts) = start_current().await;
    let file = write_catalog(&deployment, "edited.yaml", set_weight(5));
    let applied = run_command(hosts[0], &apply_args(&file, "ana"));
    assert_eq!(applied.code, Some(0), "{applied:?}");
    wait_in_force(&hosts, 2, "ordinary").await;
    deployment.hosts[2]
        .signal("KILL")
        .expect("the signal cannot be sent");
    deployment.hosts[2]
        .wait()
        .expect("the exit code of the host cannot be read");
    set_fault_mode(deployment.platform.address, "down").await;
    deployment.hosts[2] = deployment
        .spawn_host(2, SETTINGS)
        .expect("the host cannot start");
    wait_until("the restarted host is ready", || async {
        let status = read_status(hosts[2]).await?;
        let current = status["preset_version"] == 2;
        assert!(
            current || !is_ready(&status),
            "the restarted host is ready with an old version: {status}"
        );
        is_ready(&status).then_some(())
    })
    .await;
    wait_until(
        "another host names the restarted host in its address answers",
        || async {
            addresses_for_model(hosts[0], "ink")
                .await
                .contains(&hosts[2])
                .then_some(())
        },
    )
    .await;
}

/// Guards against an isolated host that goes on serving a version which may be old.
///
/// When neither the table nor a peer confirms its version, the host must become unready and leave
/// the address answers.
#[actix_web::test]
async fn host_without_confirmation_becomes_unready() {
    let (deployment, hosts) = start_current().await;
    set_fault_mode(deployment.platform.address, "down").await;
    for host in &deployment.hosts[1..] {
        host.signal("STOP").expect("the signal cannot be sent");
    }
    wait_until("the host without confirmation is not ready", || async {
        let status = read_status(hosts[0]).await?;
        (!is_ready(&status)).then_some(())
    })
    .await;
    let named = addresses_for_model(hosts[0], "ink").await;
    assert!(!named.contains(&hosts[0]), "{named:?}");
    for host in &deployment.hosts[1..] {
        host.signal("CONT").expect("the signal cannot be sent");
    }
    set_fault_mode(deployment.platform.address, "none").await;
    wait_until("all hosts are ready again", || async {
        for host in &hosts {
            if !is_ready(&read_status(*host).await?) {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Guards against broken streams, and against new requests, at a target that a preset drains.
///
/// The streams in progress at the target must complete, and no request may start there once the
/// preset is in force.
#[actix_web::test]
async fn drained_target_completes_streams_and_gets_no_new_requests() {
    let (deployment, hosts) = start_current().await;
    wait_all_resident(&deployment, 0).await;
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
    wait_until("the target runs streams", || async {
        let load = read_json(drained, "/load").await;
        (load["running"].as_u64()? > 0).then_some(())
    })
    .await;
    let activated = run_command(
        hosts[1],
        &["preset", "activate", "repairs", "--author", "ana"],
    );
    assert_eq!(activated.code, Some(0), "{activated:?}");
    wait_in_force(&hosts, 2, "repairs").await;
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
        let (name, answer) = stream.await.expect("the task of a caller has failed");
        assert!(answer.complete, "{answer:?}");
        assert_eq!(answer.text, answer_tokens(&name, "long", 150));
    }
    check_engine_memory(&deployment).await;
}

/// Guards against a catalogue whose models do not fit into the engines.
///
/// It must be refused with the reason, and the version in force must stay.
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
    let applied = run_command(hosts[0], &apply_args(&file, "ana"));
    assert_eq!(applied.code, Some(2), "{applied:?}");
    assert!(applied.text.contains("no room"), "{applied:?}");
    wait_in_force(&hosts, 1, "ordinary").await;
}
