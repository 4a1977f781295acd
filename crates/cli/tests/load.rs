//! Options of the command `load`.

use argh::FromArgs;
use crocusyard_cli::arguments::CliArguments;

fn run(words: &[&str]) -> crocusyard_cli::output::CommandOutput {
    let arguments =
        CliArguments::from_args(&["crocusyard"], words).expect("the arguments are valid");
    crocusyard_cli::run(&arguments)
}

/// Guards against load on other machines, also if the address comes from the option for the host.
#[test]
fn only_loopback_addresses_are_accepted() {
    let load = ["load", "--tenant", "plazas"];
    let direct = run(&[&load[..], &["--entry", "192.0.2.1:7000"]].concat());
    let default = run(&[&["--host", "192.0.2.1:7000"], &load[..]].concat());
    let plain = run(&[&load[..], &["--plain", "192.0.2.1:80"]].concat());
    for output in [direct, default, plain] {
        assert_eq!(output.exit_code, 1);
        assert!(
            output.stderr.contains("not a loopback address"),
            "{output:?}"
        );
    }
}

/// Guards against invalid shapes and mixes that are silently replaced by a default.
#[test]
fn invalid_options_are_refused() {
    let invalid = [
        ["--shape", "sine"],
        ["--mix", "1,2"],
        ["--mix", "0,0,0"],
        ["--mix", "1,2,3,x"],
    ];
    for options in invalid {
        let words = [&["load"], &options[..]].concat();
        let parsed = CliArguments::from_args(&["crocusyard"], &words);
        assert!(parsed.is_err(), "{options:?}");
    }
}
