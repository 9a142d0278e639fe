//! Digests and generated text.

use borageline_lib::api::PromptInput;
use borageline_testutils::content;

/// Guards against digests that depend on how a prompt was cut, which would
/// make a group of engines generate another answer than one engine.
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

/// Guards against text and token prompts that are counted in another way
/// than the design of the stand-ins says.
#[test]
fn test_token_count_rounds_up() {
    assert_eq!(content::token_count(&PromptInput::Text("abcde".into())), 2);
    let tokens = PromptInput::Tokens([1, 2, 3].into());
    assert_eq!(content::token_count(&tokens), 3);
}

/// Guards against answers of two prompts that cannot be told apart.
#[test]
fn test_text_differs_by_prompt() {
    let first = content::prompt_digest(&PromptInput::Text("one".into()));
    let second = content::prompt_digest(&PromptInput::Text("two".into()));
    let text = content::expected_text(first, 20);
    assert_ne!(text, content::expected_text(second, 20));
    assert!(text.starts_with(&content::token_text(first, 0)));
}
