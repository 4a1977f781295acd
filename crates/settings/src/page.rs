//! Writes the table of all keys for the settings page.

use crocusyard_catalog::shape::{describe_shape, KeyPresence, KeySpec, ValueShape};
use std::fmt::Write;

/// Renders a Markdown table with one row for each key; keys of sections have dotted paths.
pub fn render_keys(keys: &[KeySpec]) -> String {
    let mut page =
        String::from("| key | unit | value | default | sets |\n| --- | --- | --- | --- | --- |\n");
    add_rows(keys, "", &mut page);
    page
}

fn add_rows(keys: &[KeySpec], prefix: &str, page: &mut String) {
    for key in keys {
        let path = format!("{prefix}{}", key.name);
        match key.shape {
            ValueShape::Struct(inner) => {
                add_rows(inner, &format!("{path}."), page);
                continue;
            }
            ValueShape::List(ValueShape::Struct(inner)) => {
                add_rows(inner, &format!("{path}[]."), page);
                continue;
            }
            _ => {}
        }
        let presence = match key.presence {
            KeyPresence::Required => "required".to_owned(),
            KeyPresence::Default(text) => format!("`{text}`"),
            KeyPresence::Optional => "none".to_owned(),
        };
        let shape = describe_shape(key.shape);
        let unit = unit_of(key.name);
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| `{path}` | {unit} | {shape} | {presence} | {} |",
            key.description
        );
    }
}

/// Returns the unit of a key, which stands at the end of its name; `–` without a unit.
fn unit_of(name: &str) -> &'static str {
    match name {
        "budget_bytes" => "bytes/s",
        _ if name.ends_with("_ms") => "ms",
        _ if name.ends_with("_bytes") => "bytes",
        _ => "–",
    }
}
