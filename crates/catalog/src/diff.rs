//! The difference between two catalogues, as data and as text.

use crate::declarations::CatalogSpec;
use serde::{Deserialize, Serialize};
use serde_yaml_ng::Value;
use std::collections::BTreeMap;
use std::fmt;

/// One difference between two catalogues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogChange {
    /// Path with names in place of indexes, as in `models[tiza-7b].memory_bytes`.
    pub path: String,
    /// Value in the old catalogue, on one line; `None` if the path was added.
    pub before: Option<String>,
    /// Value in the new catalogue, on one line; `None` if the path was removed.
    pub after: Option<String>,
}

/// All differences between two catalogues, in the order of the declarations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogDiff {
    /// Differences; empty if the catalogues declare the same.
    pub changes: Vec<CatalogChange>,
}

impl fmt::Display for CatalogChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {path}: {before} -> {after}"),
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

impl CatalogDiff {
    /// Returns one line of text for each difference.
    pub fn lines(&self) -> Vec<String> {
        self.changes.iter().map(ToString::to_string).collect()
    }

    /// Returns whether no difference was found.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Compares two catalogues; entries are matched by name, routes by their position.
///
/// A different order of named entries is therefore not reported.
pub fn diff_catalogs(old: &CatalogSpec, new: &CatalogSpec) -> CatalogDiff {
    let mut diff = CatalogDiff::default();
    let old = serde_yaml_ng::to_value(old).unwrap_or_default();
    let new = serde_yaml_ng::to_value(new).unwrap_or_default();
    compare_values(&old, &new, "", &mut diff.changes);
    diff
}

fn compare_values(old: &Value, new: &Value, path: &str, changes: &mut Vec<CatalogChange>) {
    match (old, new) {
        (Value::Mapping(old), Value::Mapping(new)) => {
            for (key, value) in new {
                let name = key.as_str().unwrap_or_default();
                let separator = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{separator}{name}");
                match old.get(key) {
                    Some(before) => compare_values(before, value, &path, changes),
                    None => changes.push(new_change(path, None, Some(value))),
                }
            }
        }
        (Value::Sequence(old), Value::Sequence(new)) => compare_lists(old, new, path, changes),
        _ if old == new => {}
        _ => changes.push(new_change(path.to_owned(), Some(old), Some(new))),
    }
}

fn compare_lists(old: &[Value], new: &[Value], path: &str, changes: &mut Vec<CatalogChange>) {
    let mut pairs: BTreeMap<String, (Option<&Value>, Option<&Value>)> = BTreeMap::new();
    for (key, value) in entry_keys(old).into_iter().zip(old) {
        pairs.entry(key).or_default().0 = Some(value);
    }
    for (key, value) in entry_keys(new).into_iter().zip(new) {
        pairs.entry(key).or_default().1 = Some(value);
    }
    for (key, pair) in pairs {
        let path = format!("{path}[{key}]");
        match pair {
            (Some(before), Some(after)) => compare_values(before, after, &path, changes),
            (before, after) => changes.push(new_change(path, before, after)),
        }
    }
}

/// Returns the key that identifies each entry: its name, model or text, or the index of a route.
fn entry_keys(entries: &[Value]) -> Vec<String> {
    let key_of = |(index, entry): (usize, &Value)| {
        let name = entry.get("name").or_else(|| entry.get("model"));
        let text = name.unwrap_or(entry).as_str();
        text.map_or_else(|| index.to_string(), str::to_owned)
    };
    entries.iter().enumerate().map(key_of).collect()
}

fn new_change(path: String, before: Option<&Value>, after: Option<&Value>) -> CatalogChange {
    CatalogChange {
        path,
        before: before.map(format_value),
        after: after.map(format_value),
    }
}

/// Formats a value on one line.
fn format_value(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::String(text) => text.clone(),
        Value::Sequence(items) => {
            let items: Vec<String> = items.iter().map(format_value).collect();
            format!("[{}]", items.join(", "))
        }
        Value::Mapping(pairs) => {
            let pairs: Vec<String> = pairs
                .iter()
                .map(|(key, value)| {
                    format!(
                        "{} {}",
                        key.as_str().unwrap_or_default(),
                        format_value(value)
                    )
                })
                .collect();
            format!("{{{}}}", pairs.join(", "))
        }
        Value::Tagged(tagged) => format_value(&tagged.value),
    }
}
