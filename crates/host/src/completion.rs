//! Parsing of completion requests, and joining of streamed answers into one document.
//!
//! The host always asks the engine for a stream, so that a broken connection can be resumed. For
//! callers that want one JSON document, the host joins the stream's chunks.

use crate::problem::CallerProblem;
use actix_web::http::StatusCode;
use bytes::Bytes;
use crocusyard_border::callers::CompletionHead;
use serde::Deserialize;
use serde_json::{json, Value};

/// Prompt bytes per token, for the estimate of the input length.
const BYTES_PER_TOKEN: usize = 4;
/// Size of the prompt block that one prefix hash covers, bytes.
const PREFIX_BLOCK_BYTES: usize = 256;
/// Largest number of prefix hashes sent with a request. A longer common prefix adds little.
const MAX_PREFIX_BLOCKS: usize = 64;
/// Output length assumed when the caller sets no limit, tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The parts of a completion request that the host uses.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Name of the model or adapter.
    pub model: String,
    /// Whether the caller asked for a stream of events.
    pub stream: bool,
    /// Body for the engine, changed so that it always asks for a stream.
    pub body: Bytes,
    /// Hashes of the prompt's blocks, each over the block and all blocks before it.
    pub prefix_hashes: Vec<u64>,
    /// Estimated input length, tokens.
    pub input_tokens: u32,
    /// Largest output length that the caller allows, tokens.
    pub output_tokens: u32,
}

impl CompletionRequest {
    /// Parses a request body.
    pub fn parse(body: &[u8]) -> Result<Self, CallerProblem> {
        let mut json: Value =
            serde_json::from_slice(body).map_err(|error| bad_request(error.to_string()))?;
        let head = read_head(&json)?;
        if head.n.is_some_and(|count| count != 1) {
            return Err(bad_request("only one choice is supported: n must be 1"));
        }
        let prompt = prompt_text(&json).ok_or_else(|| {
            bad_request("either messages with text content or a prompt is expected")
        })?;
        let stream = head.stream.unwrap_or(false);
        json["stream"] = Value::Bool(true);
        if !stream {
            json["stream_options"] = json!({"include_usage": true});
        }
        let input = u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX);
        let output = head.max_completion_tokens.or(head.max_tokens);
        Ok(Self {
            model: head.model,
            stream,
            body: Bytes::from(json.to_string()),
            prefix_hashes: prefix_hashes(&prompt),
            input_tokens: input,
            output_tokens: output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        })
    }
}

fn read_head(json: &Value) -> Result<CompletionHead, CallerProblem> {
    CompletionHead::deserialize(json).map_err(|error| bad_request(error.to_string()))
}

fn bad_request(detail: impl Into<String>) -> CallerProblem {
    CallerProblem::refused(StatusCode::BAD_REQUEST, "bad_request", detail)
}

/// Returns the text of the prompt, or else the joined text of all messages.
fn prompt_text(json: &Value) -> Option<String> {
    if let Some(prompt) = json["prompt"].as_str() {
        return Some(prompt.to_owned());
    }
    let messages = json["messages"]
        .as_array()
        .filter(|messages| !messages.is_empty())?;
    let mut text = String::new();
    for message in messages {
        append_content(&mut text, message.get("content")?)?;
    }
    Some(text)
}

/// Appends the content of a message: a text, a list of parts, or null. Other content gives `None`.
fn append_content(text: &mut String, content: &Value) -> Option<()> {
    match content {
        Value::String(content) => text.push_str(content),
        Value::Array(parts) => {
            let texts = parts.iter().filter_map(|part| part["text"].as_str());
            texts.for_each(|part| text.push_str(part));
        }
        Value::Null => {}
        _ => return None,
    }
    Some(())
}

/// Hashes every complete block of the prompt together with all blocks before it.
fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt
        .as_bytes()
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS);
    blocks
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            u64::from_le_bytes(
                hash.as_bytes()[..8]
                    .try_into()
                    .expect("a BLAKE3 hash has 32 bytes"),
            )
        })
        .collect()
}

/// The chunks of a stream, joined into one answer.
#[derive(Debug, Default)]
pub struct JoinedAnswer {
    id: Value,
    created: Value,
    model: Value,
    text: String,
    finish_reason: Value,
    usage: Value,
    is_chat: bool,
}

impl JoinedAnswer {
    /// Adds one chunk of the stream; returns whether it is valid JSON.
    pub fn add_chunk(&mut self, chunk: &[u8]) -> bool {
        let Ok(json) = serde_json::from_slice::<Value>(chunk) else {
            return false;
        };
        if self.id.is_null() {
            self.id = json["id"].clone();
            self.created = json["created"].clone();
            self.model = json["model"].clone();
            self.is_chat = json["object"] == "chat.completion.chunk";
        }
        if !json["usage"].is_null() {
            self.usage = json["usage"].clone();
        }
        let choice = &json["choices"][0];
        let text = if self.is_chat {
            &choice["delta"]["content"]
        } else {
            &choice["text"]
        };
        self.text.push_str(text.as_str().unwrap_or_default());
        if !choice["finish_reason"].is_null() {
            self.finish_reason = choice["finish_reason"].clone();
        }
        true
    }

    /// Builds the completion document from the chunks added so far.
    pub fn into_json(self) -> Value {
        let choice = if self.is_chat {
            json!({
                "index": 0,
                "message": {"role": "assistant", "content": self.text},
                "finish_reason": self.finish_reason,
            })
        } else {
            json!({"index": 0, "text": self.text, "finish_reason": self.finish_reason})
        };
        let object = if self.is_chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage,
        })
    }
}
