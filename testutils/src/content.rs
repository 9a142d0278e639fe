//! Deterministic completion text that tests can compute from the prompt.
//!
//! The text derives from a digest of the prompt: 64-bit FNV-1a over the text
//! bytes, or over the token ids as little-endian `u32`. The digest is the
//! complete hash state, so another engine can continue it with the next
//! segment, and the result does not depend on how a prompt is segmented.

use std::hash::Hasher;

use borageline_lib::api::PromptInput;
use fnv::FnvHasher;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Text bytes that count as one token.
pub const TEXT_BYTES_PER_TOKEN: u64 = 4;

/// Digest of an empty prompt: the FNV-1a offset basis.
pub const EMPTY_DIGEST: u64 = 0xcbf2_9ce4_8422_2325;

/// Digest of a whole prompt.
pub fn prompt_digest(prompt: &PromptInput) -> u64 {
    extend_digest(EMPTY_DIGEST, prompt)
}

/// Continues a digest with the next segment of a prompt.
pub fn extend_digest(digest: u64, segment: &PromptInput) -> u64 {
    match segment {
        PromptInput::Text(text) => extend_bytes(digest, text.as_bytes()),
        PromptInput::Tokens(ids) => extend_tokens(digest, ids),
    }
}

/// Continues a digest with the bytes of a text.
pub fn extend_bytes(digest: u64, bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::with_key(digest);
    hasher.write(bytes);
    hasher.finish()
}

/// Continues a digest with token ids.
pub fn extend_tokens(digest: u64, ids: &[u32]) -> u64 {
    let mut hasher = FnvHasher::with_key(digest);
    for id in ids {
        hasher.write(&id.to_le_bytes());
    }
    hasher.finish()
}

/// Length of a prompt in tokens; a partial token of text counts as one.
pub fn token_count(prompt: &PromptInput) -> u64 {
    match prompt {
        PromptInput::Text(text) => {
            (text.len() as u64).div_ceil(TEXT_BYTES_PER_TOKEN)
        }
        PromptInput::Tokens(ids) => ids.len() as u64,
    }
}

/// Text of the generated token with this zero-based index.
pub fn token_text(digest: u64, index: u64) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), digest);
    format!("{:04x} ", hash & 0xffff)
}

/// Text of `count` generated tokens, starting at the index `from`.
pub fn text_range(digest: u64, from: u64, count: u64) -> String {
    (from..from + count)
        .map(|index| token_text(digest, index))
        .collect()
}

/// Text of a whole completion of `count` tokens.
pub fn expected_text(digest: u64, count: u64) -> String {
    text_range(digest, 0, count)
}

/// Continues a digest with a prompt; also returns the digest after each
/// complete block, by which the prefix cache identifies prefixes.
///
/// A text block has [`TEXT_BYTES_PER_TOKEN`] bytes per token.
pub fn digest_blocks(
    digest: u64,
    prompt: &PromptInput,
    block_tokens: u64,
) -> (u64, Vec<u64>) {
    let block = usize::try_from(block_tokens).unwrap_or(usize::MAX).max(1);
    let mut state = digest;
    let mut digests = Vec::new();
    match prompt {
        PromptInput::Text(text) => {
            let size = block.saturating_mul(TEXT_BYTES_PER_TOKEN as usize);
            let mut chunks = text.as_bytes().chunks_exact(size);
            for chunk in &mut chunks {
                state = extend_bytes(state, chunk);
                digests.push(state);
            }
            state = extend_bytes(state, chunks.remainder());
        }
        PromptInput::Tokens(ids) => {
            let mut chunks = ids.chunks_exact(block);
            for chunk in &mut chunks {
                state = extend_tokens(state, chunk);
                digests.push(state);
            }
            state = extend_tokens(state, chunks.remainder());
        }
    }
    (state, digests)
}
