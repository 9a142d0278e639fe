//! Estimates the length of prompts, hashes their prefixes, and splits them
//! into segments for several engines.

use borageline_lib::{api::PromptInput, units::TokenCount};
use xxhash_rust::xxh3::Xxh3;

/// Bytes of text that count as one token. Engines count exactly; placement
/// only needs an estimate.
const TEXT_BYTES_PER_TOKEN: usize = 4;
/// Tokens at the start of a prompt that its prefix hash covers.
const PREFIX_TOKENS: usize = 256;

/// Length of a prompt in tokens; an estimate if the prompt is text.
pub fn prompt_length(prompt: &PromptInput) -> TokenCount {
    let estimate = |text: &str| {
        TokenCount::new(text.len().div_ceil(TEXT_BYTES_PER_TOKEN) as u64)
    };
    match prompt {
        PromptInput::Text(text) => estimate(text),
        PromptInput::Tokens(ids) => TokenCount::new(ids.len() as u64),
    }
}

/// Hash of the start of a prompt, by which requests with the same prefix are
/// sent to the same engines and find their KV cache there.
pub fn prefix_hash(prompt: &PromptInput) -> u64 {
    let mut hash = Xxh3::new();
    match prompt {
        PromptInput::Text(text) => {
            let length = PREFIX_TOKENS * TEXT_BYTES_PER_TOKEN;
            hash.update(&text.as_bytes()[..text.len().min(length)]);
        }
        PromptInput::Tokens(ids) => {
            for id in ids.iter().take(PREFIX_TOKENS) {
                hash.update(&id.to_le_bytes());
            }
        }
    }
    hash.digest()
}

/// Splits a prompt into one segment for each length; the last segment takes
/// the rest, whatever its length. Text is split at character boundaries.
pub fn split_prompt(
    prompt: &PromptInput,
    lengths: &[TokenCount],
) -> Vec<PromptInput> {
    if lengths.len() < 2 {
        return vec![prompt.clone()];
    }
    let last = lengths.len() - 1;
    let mut segments = Vec::with_capacity(lengths.len());
    match prompt {
        PromptInput::Tokens(ids) => {
            let mut rest: &[u32] = ids;
            for length in &lengths[..last] {
                let (head, tail) = rest.split_at(as_index(*length, rest.len()));
                segments.push(PromptInput::Tokens(head.into()));
                rest = tail;
            }
            segments.push(PromptInput::Tokens(rest.into()));
        }
        PromptInput::Text(text) => {
            let mut rest: &str = text;
            for length in &lengths[..last] {
                let bytes =
                    length.get().saturating_mul(TEXT_BYTES_PER_TOKEN as u64);
                let bytes = as_index(TokenCount::new(bytes), rest.len());
                let (head, tail) =
                    rest.split_at(rest.floor_char_boundary(bytes));
                segments.push(PromptInput::Text(head.into()));
                rest = tail;
            }
            segments.push(PromptInput::Text(rest.into()));
        }
    }
    segments
}

fn as_index(length: TokenCount, limit: usize) -> usize {
    usize::try_from(length.get()).unwrap_or(limit).min(limit)
}
