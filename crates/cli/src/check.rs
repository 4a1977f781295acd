//! Command `check`, and the reading of settings and catalogue files for the other commands.

use crate::arguments::CheckCommand;
use crate::error::{CliError, UnreadableFileSnafu};
use crate::output::CommandOutput;
use crocusyard_catalog::document::{parse_document, NodeContent};
use crocusyard_catalog::keys::CATALOG_KEYS;
use crocusyard_catalog::prelude::{CatalogSpec, InputProblem};
use crocusyard_catalog::read::locate_problems;
use crocusyard_catalog::shape::KeySpec;
use crocusyard_settings::check::check_location;
use crocusyard_settings::keys::HOST_KEYS;
use crocusyard_settings::prelude::HostSettings;
use snafu::ResultExt;
use std::path::Path;

/// A file that was read and has no problems.
#[derive(Debug)]
pub(crate) enum CheckedFile {
    /// Settings of a host, with the catalogue that they name; it is empty if they name none.
    Settings(Box<HostSettings>, CatalogSpec),
    /// A catalogue, whose content is not returned.
    Catalog,
}

pub(crate) fn run_check(command: &CheckCommand) -> CommandOutput {
    let mut output = CommandOutput::default();
    for file in &command.files {
        match read_checked_file(file) {
            Ok(CheckedFile::Settings(..)) => output.stdout += &format!("{file}: valid settings\n"),
            Ok(CheckedFile::Catalog) => output.stdout += &format!("{file}: valid catalogue\n"),
            Err(error @ CliError::InvalidFile { .. }) => {
                output.stdout += &format!("{error}\n");
                output.exit_code = output.exit_code.max(error.exit_code());
            }
            Err(error) => {
                output.stderr += &format!("{error}\n");
                output.exit_code = output.exit_code.max(error.exit_code());
            }
        }
    }
    if command.files.is_empty() {
        "no file to check was given\n".clone_into(&mut output.stderr);
        output.exit_code = 1;
    }
    output
}

/// Reads and checks a settings or catalogue file.
pub(crate) fn read_checked_file(file: &str) -> Result<CheckedFile, CliError> {
    let text = std::fs::read_to_string(file).context(UnreadableFileSnafu { file })?;
    if is_catalog(&text) {
        parse_catalog(file, &text)?;
        return Ok(CheckedFile::Catalog);
    }
    let settings =
        HostSettings::from_yaml(&text).map_err(|error| invalid_file(file, &error.problems))?;
    let catalog = read_named_catalog(file, &text, &settings)?;
    Ok(CheckedFile::Settings(Box::new(settings), catalog))
}

/// Reads and checks a catalogue file; also returns its text.
pub(crate) fn read_catalog_file(file: &str) -> Result<(String, CatalogSpec), CliError> {
    let text = std::fs::read_to_string(file).context(UnreadableFileSnafu { file })?;
    let catalog = parse_catalog(file, &text)?;
    Ok((text, catalog))
}

/// Builds the error of a file with problems, with one line for each problem.
pub(crate) fn invalid_file(file: &str, problems: &[InputProblem]) -> CliError {
    let lines = problems
        .iter()
        .map(|problem| format!("{file}:{problem}"))
        .collect();
    CliError::InvalidFile { lines }
}

fn parse_catalog(file: &str, text: &str) -> Result<CatalogSpec, CliError> {
    CatalogSpec::from_yaml(text).map_err(|error| invalid_file(file, &error.problems))
}

/// Reads the catalogue that a settings file names; its path is relative to that file.
fn read_named_catalog(
    file: &str,
    text: &str,
    settings: &HostSettings,
) -> Result<CatalogSpec, CliError> {
    let Some(name) = &settings.catalog else {
        return Ok(CatalogSpec::default());
    };
    let directory = Path::new(file).parent().unwrap_or(Path::new(""));
    let path = directory.join(name).to_string_lossy().into_owned();
    let (_, catalog) = read_catalog_file(&path)?;
    let problems = locate_problems(text, HOST_KEYS, check_location(settings, &catalog));
    if problems.is_empty() {
        Ok(catalog)
    } else {
        Err(invalid_file(file, &problems))
    }
}

/// Returns whether a text looks like a catalogue: whether more of its keys belong to a catalogue
/// than to settings.
fn is_catalog(text: &str) -> bool {
    let Ok(root) = parse_document(text) else {
        return false;
    };
    let NodeContent::Map(entries) = &root.content else {
        return false;
    };
    let count = |keys: &[KeySpec]| {
        entries
            .iter()
            .filter(|entry| keys.iter().any(|key| key.name == entry.key))
            .count()
    };
    count(CATALOG_KEYS) > count(HOST_KEYS)
}
