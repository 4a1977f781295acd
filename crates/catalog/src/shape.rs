//! The keys that a YAML file may have, as data, and the check of a document against them.
//!
//! The check reports every problem at once. It removes unknown keys, and optional keys with wrong
//! values, so that the rest of the document can still be read and its references checked.

use crate::document::{LocatedNode, MapEntry, NodeContent};
use crate::problem::InputProblem;
use serde_yaml_ng::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Longest accepted text of one value, bytes.
pub const TEXT_MAX_BYTES: usize = 256;

/// The type and range that a value must have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueShape {
    /// Text of 1 to [`TEXT_MAX_BYTES`] bytes.
    Text,
    /// Name of letters, digits and `.`, `_`, `-`, `:`, `/`, `@`.
    Name,
    /// Name of an environment variable, of capitals, digits and `_`; lower case is refused, since a
    /// secret that was put here by mistake would be printed as the name of a variable.
    EnvVariable,
    /// `true` or `false`.
    Boolean,
    /// Whole number in a range.
    Integer {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// Number in a range.
    Number {
        /// Smallest accepted value.
        min: f64,
        /// Largest accepted value.
        max: f64,
    },
    /// IP address and port.
    Address,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// List whose items all have the same shape.
    List(&'static ValueShape),
    /// Mapping with fixed keys.
    Struct(&'static [KeySpec]),
    /// Mapping with any keys, whose values all have the same shape.
    Map(&'static ValueShape),
}

/// Whether a key must be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyPresence {
    /// The key must be given.
    Required,
    /// The key may be absent; its default is written as in the file.
    Default(&'static str),
    /// The key may be absent and has no default in the table.
    Optional,
}

/// One allowed key of a mapping.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeySpec {
    /// Name of the key in the file.
    pub name: &'static str,
    /// Type and range of its value.
    pub shape: ValueShape,
    /// Whether the key must be given, and its default.
    pub presence: KeyPresence,
    /// What the key sets, as a short phrase for the settings page.
    pub description: &'static str,
}

/// Lines of the values of a document, by key path.
pub type PathLines = BTreeMap<String, u32>;

/// Result of the check of a document.
#[derive(Clone, Debug, Default)]
pub struct ShapeReport {
    /// Problems that were found.
    pub problems: Vec<InputProblem>,
    /// Paths of known keys that are probably misspelt in the document: each is the nearest to an
    /// unknown key, and is not reported as missing.
    pub misspelt: Vec<String>,
    /// Lines of all values that were checked.
    pub lines: PathLines,
    /// Whether a required key is missing or wrong, or an item of a list is wrong, so that the
    /// document cannot be read.
    pub unusable: bool,
}

/// Checks a document and removes unknown keys and optional keys with wrong values from it.
pub fn check_shape(root: &mut LocatedNode, keys: &'static [KeySpec]) -> ShapeReport {
    let mut report = ShapeReport::default();
    if !check_value(root, ValueShape::Struct(keys), "", &mut report) {
        report.unusable = true;
    }
    report
}

/// Returns the line of a key path, or of its nearest parent that has a line.
pub fn line_of(lines: &PathLines, path: &str) -> u32 {
    let mut rest = path;
    loop {
        if let Some(line) = lines.get(rest) {
            return *line;
        }
        match rest.rfind(['.', '[']) {
            Some(end) => rest = &rest[..end],
            None => return lines.get("").copied().unwrap_or(1),
        }
    }
}

/// Describes what a value must be, for messages and the settings page.
pub fn describe_shape(shape: ValueShape) -> String {
    match shape {
        ValueShape::Text => format!("text of 1 to {TEXT_MAX_BYTES} bytes"),
        ValueShape::Name => "name of letters, digits, `.`, `_`, `-`, `:`, `/`, `@`".to_owned(),
        ValueShape::EnvVariable => "environment variable of capitals, digits and `_`".to_owned(),
        ValueShape::Boolean => "`true` or `false`".to_owned(),
        ValueShape::Integer { min, max } => format!("whole number from {min} to {max}"),
        ValueShape::Number { min, max } => format!("number from {min} to {max}"),
        ValueShape::Address => "IP address and port, as in `10.0.0.1:7000`".to_owned(),
        ValueShape::Choice(words) => format!("one of `{}`", words.join("`, `")),
        ValueShape::List(item) => format!("list; each: {}", describe_shape(*item)),
        ValueShape::Struct(_) => "mapping with keys".to_owned(),
        ValueShape::Map(item) => format!("mapping; each value: {}", describe_shape(*item)),
    }
}

/// Checks one value; returns whether the value can be kept.
fn check_value(
    node: &mut LocatedNode,
    shape: ValueShape,
    path: &str,
    report: &mut ShapeReport,
) -> bool {
    report.lines.insert(path.to_owned(), node.line);
    let line = node.line;
    match (&mut node.content, shape) {
        (NodeContent::Map(entries), ValueShape::Struct(keys)) => {
            check_struct(entries, keys, line, path, report)
        }
        (NodeContent::Map(entries), ValueShape::Map(item)) => {
            entries.retain_mut(|entry| {
                let path = format!("{path}.{}", entry.key);
                check_value(&mut entry.node, *item, &path, report)
            });
            true
        }
        (NodeContent::List(items), ValueShape::List(item)) => {
            let mut kept = true;
            for (index, node) in items.iter_mut().enumerate() {
                kept &= check_value(node, *item, &format!("{path}[{index}]"), report);
            }
            kept
        }
        (NodeContent::Scalar(value), shape) if fits_scalar(value, shape) => true,
        // The message does not repeat the value, which may be a secret put there by mistake.
        _ => {
            let problem = InputProblem::new(line, path, describe_shape(shape));
            report.problems.push(problem);
            false
        }
    }
}

/// Checks the keys and values of a mapping with fixed keys; returns whether it can be kept.
fn check_struct(
    entries: &mut Vec<MapEntry>,
    keys: &'static [KeySpec],
    line: u32,
    path: &str,
    report: &mut ShapeReport,
) -> bool {
    let mut kept = true;
    entries.retain_mut(|entry| {
        let entry_path = join_path(path, &entry.key);
        let Some(key) = keys.iter().find(|key| key.name == entry.key) else {
            let nearest = nearest_key(&entry.key, keys);
            report.misspelt.push(join_path(path, nearest));
            let expected = format!("known key; the nearest is `{nearest}`");
            report
                .problems
                .push(InputProblem::new(entry.line, entry_path, expected));
            return false;
        };
        // A key without a value counts as absent.
        let optional = key.presence != KeyPresence::Required;
        if optional && entry.node.content == NodeContent::Scalar(Value::Null) {
            return false;
        }
        let fits = check_value(&mut entry.node, key.shape, &entry_path, report);
        report.lines.insert(entry_path, entry.line);
        // A wrong optional scalar is dropped. A wrong item of a list makes the document unusable:
        // without the item, references to it would look wrong.
        let scalar = matches!(entry.node.content, NodeContent::Scalar(_));
        kept &= fits || (optional && scalar);
        fits
    });
    for key in keys
        .iter()
        .filter(|key| key.presence == KeyPresence::Required)
    {
        let path = join_path(path, key.name);
        let present = report.lines.contains_key(&path);
        kept &= present;
        if !present && !report.misspelt.contains(&path) {
            let expected = format!("required key; {}", describe_shape(key.shape));
            report
                .problems
                .push(InputProblem::new(line, path, expected));
        }
    }
    kept
}

fn fits_scalar(value: &Value, shape: ValueShape) -> bool {
    match shape {
        ValueShape::Text => value
            .as_str()
            .is_some_and(|text| !text.is_empty() && text.len() <= TEXT_MAX_BYTES),
        ValueShape::Name => value.as_str().is_some_and(is_name),
        ValueShape::EnvVariable => value.as_str().is_some_and(is_env_variable),
        ValueShape::Boolean => value.is_bool(),
        ValueShape::Integer { min, max } => value
            .as_u64()
            .is_some_and(|integer| (min..=max).contains(&integer)),
        ValueShape::Number { min, max } => value
            .as_f64()
            .is_some_and(|number| (min..=max).contains(&number)),
        ValueShape::Address => value
            .as_str()
            .is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
        ValueShape::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
        ValueShape::List(_) | ValueShape::Struct(_) | ValueShape::Map(_) => false,
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:/@".contains(&byte);
    !text.is_empty() && text.len() <= TEXT_MAX_BYTES && text.bytes().all(allowed)
}

fn is_env_variable(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_uppercase() || byte.is_ascii_digit() || byte == b'_';
    (1..=TEXT_MAX_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

fn nearest_key(found: &str, keys: &[KeySpec]) -> &'static str {
    nearest_name(found, keys.iter().map(|key| key.name)).unwrap_or("")
}

/// Returns the name with the smallest edit distance to `found`.
///
/// Of several such names, the one with the largest Jaro-Winkler similarity is returned, which
/// favours a common beginning.
pub fn nearest_name<'a>(found: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.min_by(|a, b| {
        let edits = |name| strsim::damerau_levenshtein(found, name);
        let similarity = |name| strsim::jaro_winkler(found, name);
        edits(a)
            .cmp(&edits(b))
            .then(similarity(b).total_cmp(&similarity(a)))
    })
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
