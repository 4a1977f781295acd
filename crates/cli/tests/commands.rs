//! Commands that call a fake host over HTTP.

mod fake_host;

use crocusyard_border::admin::*;
use crocusyard_catalog::prelude::*;
use fake_host::{run, FakeHost};
use serde::Serialize;

const CATALOG: &str = include_str!("../../catalog/tests/common.yaml");
const CATALOG_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../catalog/tests/common.yaml");

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap()
}

fn list_answer(version: u64) -> (&'static str, u16, String) {
    let reply = PresetListReply {
        version,
        in_force: "ordinary".to_owned(),
        presets: vec!["maintenance".to_owned(), "ordinary".to_owned()],
    };
    ("GET /admin/presets", 200, json(&reply))
}

/// Guards against a list that does not show which preset is in force.
#[test]
fn list_marks_the_preset_in_force() {
    let host = FakeHost::start(&[list_answer(7)]);
    let output = host.run(&["preset", "list"]);
    assert_eq!(output.stdout, "version 7\n  maintenance\n* ordinary\n");
}

/// Guards against an apply that overwrites a change made since its base version.
#[test]
fn apply_sends_the_base_version() {
    let reply = ChangeReply {
        version: 8,
        changed: true,
        diff: vec!["~ models[tiza-7b].load_ms: 4000 -> 5000".to_owned()],
    };
    let apply = ("POST /admin/presets/apply", 200, json(&reply));
    let host = FakeHost::start(&[list_answer(7), apply]);
    let output = host.run(&["preset", "apply", CATALOG_FILE, "--author", "ana"]);
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    assert!(output.stdout.starts_with("version 8 is in force\n~ models"));
    let body: ApplyCommand = serde_json::from_str(&host.received_calls()[1].body).unwrap();
    assert_eq!(body.base_version, Some(7));
    assert_eq!(body.author, "ana");
    assert_eq!(body.catalog, CATALOG);
    let options = ["--author", "ana", "--base-version", "3"];
    host.run(&[&["preset", "apply", CATALOG_FILE], &options[..]].concat());
    let body: ApplyCommand = serde_json::from_str(&host.received_calls()[2].body).unwrap();
    assert_eq!(body.base_version, Some(3));
}

/// Guards against an operator whose change comes second and who does not learn what the first one
/// changed.
#[test]
fn a_conflict_shows_the_other_change() {
    let reply = ConflictReply {
        version: 9,
        diff: vec!["+ models[new]: {}".to_owned()],
    };
    let activate = ("POST /admin/presets/activate", 409, json(&reply));
    let host = FakeHost::start(&[list_answer(7), activate]);
    let output = host.run(&["preset", "activate", "maintenance", "--author", "ana"]);
    assert_eq!(output.exit_code, 3);
    assert!(output.stderr.contains("version 9"));
    assert!(output.stderr.contains("+ models[new]"));
}

/// Guards against problems that only the host finds and that are not shown to the operator.
#[test]
fn problems_found_by_the_host_are_listed() {
    let fault = CatalogProblem {
        line: 4,
        path: "models[0].name".to_owned(),
        expected: "something".to_owned(),
    };
    let reply = ProblemsReply {
        problems: vec![fault],
    };
    let apply = ("POST /admin/presets/apply", 422, json(&reply));
    let host = FakeHost::start(&[list_answer(7), apply]);
    let output = host.run(&["preset", "apply", CATALOG_FILE, "--author", "ana"]);
    assert_eq!(output.exit_code, 2);
    let expected = format!("{CATALOG_FILE}:4: models[0].name: something\n");
    assert_eq!(output.stderr, expected);
}

/// Guards against a diff that compares with a version that is not in force, or in the wrong
/// direction.
#[test]
fn diff_compares_with_the_version_in_force() {
    let mut catalog = CatalogSpec::from_yaml(CATALOG).unwrap();
    catalog.models[0].load_ms = 1;
    let body = PresetBodyReply {
        version: 7,
        catalog: canonical_body(&catalog),
        ..PresetBodyReply::default()
    };
    let show = ("GET /admin/presets/7", 200, json(&body));
    let host = FakeHost::start(&[list_answer(7), show]);
    let output = host.run(&["preset", "diff", CATALOG_FILE]);
    assert_eq!(
        output.stdout,
        "1 change to version 7\n~ models[tiza-7b].load_ms: 1 -> 4000\n"
    );
    let output = host.run(&["preset", "show"]);
    assert!(CatalogSpec::from_yaml(&output.stdout).is_ok());
}

/// Guards against a status that omits hosts, targets, leases or moves, and against JSON that cannot
/// be parsed again.
#[test]
fn status_shows_hosts_targets_leases_and_moves() {
    let status = StatusReply {
        host: "entry-1".to_owned(),
        domain: "plaza-mayor".to_owned(),
        ready: true,
        preset_version: 7,
        preset: "ordinary".to_owned(),
        members: vec![MemberStatus {
            name: "entry-2".to_owned(),
            state: "suspect".to_owned(),
            ..MemberStatus::default()
        }],
        targets: vec![TargetStatus {
            name: "asistente-1".to_owned(),
            leaving: true,
            running: 5,
            copies: vec![CopyStatus {
                name: "tiza-7b".to_owned(),
                state: "resident".to_owned(),
                memory_bytes: 3 << 30,
            }],
            ..TargetStatus::default()
        }],
        leases: vec![LeaseStatus {
            region: "castilla-norte".to_owned(),
            holder: "entry-3".to_owned(),
            fencing: 12,
        }],
        ..StatusReply::default()
    };
    let host = FakeHost::start(&[("GET /admin/status", 200, json(&status))]);
    let text = host.run(&["status"]).stdout;
    let expected = [
        "host entry-1 in plaza-mayor: ready, preset ordinary version 7",
        "suspect",
        "tiza-7b (resident)",
        "3.0 GiB",
        "entry-3",
        "moves: none",
    ];
    for part in expected {
        assert!(
            text.contains(part),
            "{part:?} is missing in the status:\n{text}"
        );
    }
    let output = host.run(&["--json", "status"]);
    assert_eq!(
        serde_json::from_str::<StatusReply>(&output.stdout).unwrap(),
        status
    );
}

/// Guards against names that are not escaped in the query, and against a call without a model or
/// service.
#[test]
fn ask_names_one_resource() {
    let reply = r#"{"addresses":[{"address":"10.0.0.1:7000","host":"h","domain":"d","weight":2}],"ttl_ms":9}"#;
    let host = FakeHost::start(&[("GET /v1/addresses", 200, reply.to_owned())]);
    let output = host.run(&["ask", "--model", "a/b&c=d"]);
    assert!(output.stdout.contains("addresses for 9 ms"), "{output:?}");
    assert!(output.stdout.contains("10.0.0.1:7000"));
    assert_eq!(
        host.received_calls()[0].line,
        "GET /v1/addresses?model=a%2Fb%26c%3Dd"
    );
    assert_eq!(host.run(&["ask"]).exit_code, 1);
}

/// Guards against a drain that is reported as started although the host refused it.
#[test]
fn drain_reports_whether_the_host_agreed() {
    let host = FakeHost::start(&[("POST /admin/drain", 202, "{}".to_owned())]);
    assert_eq!(host.run(&["drain"]).stdout, "the host is leaving\n");
    let problem = r#"{"title":"Conflict","detail":"already leaving"}"#;
    let host = FakeHost::start(&[("POST /admin/drain", 409, problem.to_owned())]);
    let output = host.run(&["drain"]);
    assert_eq!(output.exit_code, 1);
    assert!(
        output.stderr.contains("409: already leaving"),
        "{}",
        output.stderr
    );
}

/// Guards against an operator key that is sent to other paths than those of operators, or printed.
#[test]
fn the_key_goes_to_admin_paths_only() {
    let host = FakeHost::start(&[]);
    let output = host.run(&["status"]);
    assert_eq!(output.exit_code, 1);
    assert!(!output.stderr.contains("horse"));
    let output = host.run(&["--key-file", "/nonexistent", "status"]);
    assert!(output.stderr.contains("operator key"), "{}", output.stderr);
    assert_eq!(
        host.received_calls().len(),
        1,
        "without a key no call must be sent"
    );
}

/// Guards against an unreachable host that makes the command hang or panic.
#[test]
fn an_unreachable_host_is_an_error() {
    let output = run(&["--host", "127.0.0.1:1", "ask", "--model", "m"]);
    assert_eq!(output.exit_code, 1);
    assert!(output.stderr.contains("127.0.0.1:1 does not answer"));
}
