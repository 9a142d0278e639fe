//! Prompt digests and the completion text derived from them.

use borageline_lib::api::PromptInput;
use borageline_testutils::content;

/// Guards against digests that depend on the segmentation of a prompt. A
/// group of engines would then generate another text than a single engine.
#[test]
fn test_digest_independent_of_segments() {
    let ids: Vec<u32> = (0..5_000).map(|id| id * 7).collect();
    let whole =
        content::prompt_digest(&PromptInput::Tokens(ids.clone().into()));
    for cut in [1, 1_024, 4_999] {
        let first = PromptInput::Tokens(ids[..cut].into());
        let second = PromptInput::Tokens(ids[cut..].into());
        let digest = content::prompt_digest(&first);
        assert_eq!(content::extend_digest(digest, &second), whole);
    }
    let (digest, blocks) = content::digest_blocks(
        content::EMPTY_DIGEST,
        &PromptInput::Tokens(ids.into()),
        1_024,
    );
    assert_eq!(digest, whole);
    assert_eq!(blocks.len(), 4);
}

/// Guards against wrong prompt lengths: text counts as four bytes per token,
/// rounded up, and token ids as one token each.
#[test]
fn test_token_count_rounds_up() {
    assert_eq!(content::token_count(&PromptInput::Text("abcde".into())), 2);
    let tokens = PromptInput::Tokens([1, 2, 3].into());
    assert_eq!(content::token_count(&tokens), 3);
}

/// Guards against identical completions of different prompts, with which
/// tests could not detect a mix-up.
#[test]
fn test_text_differs_by_prompt() {
    let first = content::prompt_digest(&PromptInput::Text("one".into()));
    let second = content::prompt_digest(&PromptInput::Text("two".into()));
    let text = content::expected_text(first, 20);
    assert_ne!(text, content::expected_text(second, 20));
    assert!(text.starts_with(&content::token_text(first, 0)));
}
