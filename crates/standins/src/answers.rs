//! The answers of the engine stand-in, which depend only on the model, the prompt and the position.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns one token of the answer to a prompt.
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (model, prompt, index).hash(&mut hasher);
    format!("w{:06x} ", hasher.finish() & 0xff_ffff)
}

/// Returns the whole answer to a prompt.
pub fn answer_tokens(model: &str, prompt: &str, count: u32) -> String {
    (0..count)
        .map(|index| answer_token(model, prompt, index))
        .collect()
}
