//! Deterministic answers of the engine stand-in.
//!
//! A token depends only on the model, the prompt and its position in the answer.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the token at position `index` of the answer to a prompt.
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (model, prompt, index).hash(&mut hasher);
    format!("w{:06x} ", hasher.finish() & 0xff_ffff)
}

/// Returns the answer of `count` tokens to a prompt.
pub fn answer_tokens(model: &str, prompt: &str, count: u32) -> String {
    (0..count)
        .map(|index| answer_token(model, prompt, index))
        .collect()
}
