//! Checks that the command line accepts the commands in `docs/operators.md`.

use argh::FromArgs;
use crocusyard_cli::arguments::CliArguments;

const PAGE: &str = include_str!("../../../docs/operators.md");

/// Guards against example commands on the page that the command line does not accept.
#[test]
fn the_commands_of_the_page_are_accepted() {
    let blocks = PAGE
        .split("```sh\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next());
    let lines = blocks.flat_map(str::lines);
    let mut count = 0;
    for line in lines.filter(|line| line.starts_with("crocusyard ")) {
        let command = line.split(['#', '>']).next().unwrap_or_default();
        let words: Vec<&str> = command.split_whitespace().skip(1).collect();
        let parsed = CliArguments::from_args(&["crocusyard"], &words);
        assert!(parsed.is_ok(), "{line}: {parsed:?}");
        count += 1;
    }
    assert_eq!(count, 12);
}
