//! Commands `check` and `serve` on valid and invalid files.

use argh::FromArgs;
use crocusyard_cli::arguments::CliArguments;
use crocusyard_cli::output::CommandOutput;
use std::path::PathBuf;

const CATALOG: &str = include_str!("../../catalog/tests/common.yaml");
const SETTINGS: &str = include_str!("../../settings/tests/smallest.yaml");

/// A directory for the files of one test, which is removed when the test ends.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("crocusyard-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(arguments: &[&str]) -> CommandOutput {
    let parsed =
        CliArguments::from_args(&["crocusyard"], arguments).expect("the arguments are valid");
    crocusyard_cli::run(&parsed)
}

/// Guards against valid files that are refused, or taken for the wrong kind of file.
#[test]
fn valid_files_are_accepted() {
    let directory = TestDirectory::new("valid");
    let catalog = directory.write("catalog.yaml", CATALOG);
    let text = format!("{SETTINGS}catalog: catalog.yaml\n");
    let settings = directory.write("entry.yaml", &text);
    let output = run(&["check", &settings, &catalog]);
    let expected = format!("{settings}: valid settings\n{catalog}: valid catalogue\n");
    assert_eq!((output.exit_code, output.stdout), (0, expected));
}

/// Guards against problems listed without their position, and against an exit code that scripts
/// cannot tell from other failures.
#[test]
fn problems_are_listed_with_file_line_and_key() {
    let directory = TestDirectory::new("problems");
    let text = CATALOG.replacen("load_ms: 4000", "load_ms: soon", 1);
    let catalog = directory.write("catalog.yaml", &text);
    let settings = directory.write("entry.yaml", &format!("{SETTINGS}lees: {{}}\n"));
    let output = run(&["check", &catalog, &settings]);
    assert_eq!(output.exit_code, 2);
    let lines: Vec<&str> = output.stdout.lines().collect();
    assert_eq!(
        lines,
        [
            format!("{catalog}:10: models[0].load_ms: whole number from 1 to 86400000"),
            format!("{settings}:13: lees: known key; the nearest is `lease`"),
        ]
    );
}

/// Guards against a host that starts in a failure domain that its catalogue does not declare.
#[test]
fn settings_are_checked_against_their_catalog() {
    let directory = TestDirectory::new("home");
    directory.write("catalog.yaml", CATALOG);
    let text = SETTINGS.replace("domain: plaza-mayor", "domain: gamonal");
    let settings = directory.write("entry.yaml", &format!("{text}catalog: catalog.yaml\n"));
    let output = run(&["check", &settings]);
    assert_eq!(output.exit_code, 2);
    assert!(
        output.stdout.contains(":2: domain: failure domain"),
        "{}",
        output.stdout
    );
}

/// Guards against a missing file that passes the check.
#[test]
fn an_unreadable_file_is_an_error() {
    let output = run(&["check", "/nonexistent/entry.yaml"]);
    assert_eq!(output.exit_code, 1);
    assert!(output
        .stderr
        .contains("/nonexistent/entry.yaml cannot be read"));
    assert_eq!(run(&["check"]).exit_code, 1);
}

/// Guards against a host that starts with an invalid file or without its keys.
#[test]
fn serve_refuses_invalid_files_and_missing_keys() {
    let directory = TestDirectory::new("serve");
    let invalid = directory.write("invalid.yaml", &format!("{SETTINGS}lees: {{}}\n"));
    assert_eq!(run(&["serve", "--settings", &invalid]).exit_code, 2);
    let catalog = directory.write("catalog.yaml", CATALOG);
    assert_eq!(run(&["serve", "--settings", &catalog]).exit_code, 2);
    let keys = "keys: {operator: {file: /nonexistent/key}, gossip: {env: NO_SUCH_KEY}}\n";
    let without_keys = directory.write("without_keys.yaml", &format!("{SETTINGS}{keys}"));
    let output = run(&["serve", "--settings", &without_keys]);
    assert_eq!(output.exit_code, 1);
    assert!(
        output.stderr.starts_with("operator key"),
        "{}",
        output.stderr
    );
}
