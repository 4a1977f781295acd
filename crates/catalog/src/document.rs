//! Parses a YAML document into a tree of nodes with line numbers.
//!
//! Only the part of YAML that declarations need is accepted: one document, no tags, and no aliases,
//! since a short text with nested aliases can grow without bound.

use crate::problem::InputProblem;
use saphyr_parser::{Event, Parser, ScalarStyle, Span};
use serde_yaml_ng::{Mapping, Number, Value};

/// Largest accepted nesting depth; declarations need six levels.
pub const DEPTH_MAX: usize = 32;

/// Largest accepted number of keys in one mapping; each key is compared with all earlier ones.
pub const KEYS_MAX: usize = 1000;

/// A node of a document and its line.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedNode {
    /// Line on which the node starts, counted from 1.
    pub line: u32,
    /// Value of the node, with the lines of all nodes below it.
    pub content: NodeContent,
}

/// Content of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeContent {
    /// Null, boolean, number or text.
    Scalar(Value),
    /// List of nodes.
    List(Vec<LocatedNode>),
    /// Mapping, with its entries in the order of the text.
    Map(Vec<MapEntry>),
}

/// A key of a mapping and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct MapEntry {
    /// Text of the key, unique in its mapping.
    pub key: String,
    /// Line of the key, counted from 1.
    pub line: u32,
    /// Node of the value.
    pub node: LocatedNode,
}

/// Parses a document; an empty text gives an empty mapping.
///
/// # Errors
///
/// Fails at the first syntax error, second document, tag, alias, repeated key,
/// nesting beyond [`DEPTH_MAX`] or more than [`KEYS_MAX`] keys.
pub fn parse_document(text: &str) -> Result<LocatedNode, InputProblem> {
    let mut builder = TreeBuilder::default();
    for event in Parser::new_from_str(text) {
        let (event, span) = event.map_err(|error| {
            let line = line_number(error.marker().line());
            InputProblem::new(line, "", format!("valid YAML; {}", error.info()))
        })?;
        builder.add_event(event, span)?;
    }
    Ok(builder.root.unwrap_or(LocatedNode {
        line: 1,
        content: NodeContent::Map(Vec::new()),
    }))
}

/// Converts a node to a YAML value without line numbers.
pub fn to_value(node: &LocatedNode) -> Value {
    match &node.content {
        NodeContent::Scalar(value) => value.clone(),
        NodeContent::List(items) => Value::Sequence(items.iter().map(to_value).collect()),
        NodeContent::Map(entries) => {
            let pairs = entries
                .iter()
                .map(|entry| (Value::String(entry.key.clone()), to_value(&entry.node)));
            Value::Mapping(pairs.collect::<Mapping>())
        }
    }
}

/// A list or mapping whose end event has not been read, with its line.
enum OpenNode {
    List(u32, Vec<LocatedNode>),
    /// The last field is a key whose value has not been read, and the line of the key.
    Map(u32, Vec<MapEntry>, Option<(String, u32)>),
}

/// Builds the tree from the events of the parser.
#[derive(Default)]
struct TreeBuilder {
    open: Vec<OpenNode>,
    root: Option<LocatedNode>,
}

impl TreeBuilder {
    fn add_event(&mut self, event: Event<'_>, span: Span) -> Result<(), InputProblem> {
        let line = line_number(span.start.line());
        match event {
            Event::Alias(_) => Err(InputProblem::new(line, "", "no alias")),
            Event::Scalar(_, _, _, Some(_))
            | Event::SequenceStart(_, Some(_))
            | Event::MappingStart(_, Some(_)) => Err(InputProblem::new(line, "", "no tag")),
            Event::Scalar(text, style, _, None) => self.add_scalar(&text, style, line),
            Event::SequenceStart(..) => self.open_node(OpenNode::List(line, Vec::new()), line),
            Event::MappingStart(..) => self.open_node(OpenNode::Map(line, Vec::new(), None), line),
            Event::SequenceEnd | Event::MappingEnd => self.close_node(),
            Event::DocumentStart(_) if self.root.is_some() => {
                Err(InputProblem::new(line, "", "a single document"))
            }
            Event::Nothing
            | Event::StreamStart
            | Event::StreamEnd
            | Event::DocumentStart(_)
            | Event::DocumentEnd => Ok(()),
        }
    }

    fn add_scalar(
        &mut self,
        text: &str,
        style: ScalarStyle,
        line: u32,
    ) -> Result<(), InputProblem> {
        if let Some(OpenNode::Map(_, entries, key @ None)) = self.open.last_mut() {
            if entries.iter().any(|entry| entry.key == text) {
                return Err(InputProblem::new(line, text, "each key once"));
            }
            if entries.len() == KEYS_MAX {
                let expected = format!("at most {KEYS_MAX} keys in one mapping");
                return Err(InputProblem::new(line, "", expected));
            }
            *key = Some((text.to_owned(), line));
            return Ok(());
        }
        let value = match style {
            ScalarStyle::Plain => resolve_scalar(text),
            _ => Value::String(text.to_owned()),
        };
        self.add_node(LocatedNode {
            line,
            content: NodeContent::Scalar(value),
        })
    }

    fn open_node(&mut self, node: OpenNode, line: u32) -> Result<(), InputProblem> {
        if self.open.len() == DEPTH_MAX {
            let expected = format!("at most {DEPTH_MAX} levels of nesting");
            return Err(InputProblem::new(line, "", expected));
        }
        if let Some(OpenNode::Map(_, _, None)) = self.open.last() {
            return Err(InputProblem::new(line, "", "text as a key"));
        }
        self.open.push(node);
        Ok(())
    }

    fn close_node(&mut self) -> Result<(), InputProblem> {
        let (line, content) = match self.open.pop() {
            Some(OpenNode::List(line, items)) => (line, NodeContent::List(items)),
            Some(OpenNode::Map(line, entries, _)) => (line, NodeContent::Map(entries)),
            None => return Ok(()),
        };
        self.add_node(LocatedNode { line, content })
    }

    fn add_node(&mut self, node: LocatedNode) -> Result<(), InputProblem> {
        match self.open.last_mut() {
            None => self.root = Some(node),
            Some(OpenNode::List(_, items)) => items.push(node),
            Some(OpenNode::Map(_, entries, key)) => {
                let Some((key, line)) = key.take() else {
                    return Err(InputProblem::new(node.line, "", "text as a key"));
                };
                entries.push(MapEntry { key, line, node });
            }
        }
        Ok(())
    }
}

fn line_number(line: usize) -> u32 {
    u32::try_from(line).unwrap_or(u32::MAX).max(1)
}

/// Converts an unquoted scalar to a value by the core schema of YAML 1.2.
fn resolve_scalar(text: &str) -> Value {
    match text {
        "" | "~" | "null" | "Null" | "NULL" => return Value::Null,
        "true" | "True" | "TRUE" => return Value::Bool(true),
        "false" | "False" | "FALSE" => return Value::Bool(false),
        _ => {}
    }
    if let Ok(integer) = text.parse::<u64>() {
        return Value::Number(integer.into());
    }
    if let Ok(integer) = text.parse::<i64>() {
        return Value::Number(integer.into());
    }
    // Rust also parses words such as `infinity` as numbers; here they are text.
    let numeric = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || b"+-.eE".contains(&byte));
    match text.parse::<f64>() {
        Ok(number) if numeric && number.is_finite() => Value::Number(Number::from(number)),
        _ => Value::String(text.to_owned()),
    }
}
