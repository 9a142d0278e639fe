//! Order of the calls of the singleton duties on one instance.

use std::time::Duration;

use borageline::gateway::duties::DutyState;
use borageline_lib::gateway::duty::FencingToken;

const WAIT: Duration = Duration::from_millis(50);

/// Guards against a call with an earlier token that arrives after one with a
/// later token, when the holder has claimed anew after a restore of the store.
#[tokio::test]
async fn test_duty_calls_wait_for_earlier_token() {
    let state = DutyState::default();
    let [earlier, later] = [FencingToken::new(1), FencingToken::new(1 << 32)];
    let first = state.open_call(earlier).await;
    // Calls with one token do not wait for each other.
    let second = state.open_call(earlier).await;
    for open in [first, second] {
        let blocked = tokio::time::timeout(WAIT, state.open_call(later)).await;
        assert!(blocked.is_err());
        drop(open);
    }
    let opened = tokio::time::timeout(WAIT, state.open_call(later)).await;
    assert!(opened.is_ok());
}
