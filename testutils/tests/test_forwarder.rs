//! The TCP forwarder and the weight store.

#![expect(clippy::unwrap_used, reason = "a failing helper fails its test")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use borageline_testutils::{
    client::{self, ClientError},
    fault::{Direction, Fault},
    forwarder::{self, ForwarderHandle},
    http_server::{Handle, Standin},
    plain_service::{self, PlainService},
    weight_store::{self, WeightConfig},
};
use serde_json::{Value, json};

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn forwarded(delay: Duration) -> (Handle<PlainService>, ForwarderHandle) {
    let service = plain_service::spawn(local(), delay).await.unwrap();
    let target = service.address;
    let link = forwarder::spawn(local(), target, local()).await.unwrap();
    (service, link)
}

/// Guards against a cut that leaves connections open, or that also affects
/// later connections.
#[tokio::test]
async fn test_forwarder_cut() {
    let (service, link) = forwarded(Duration::from_secs(5)).await;
    let address = link.address;
    let waiting = tokio::spawn(async move {
        client::post_json(address, "/issue", &[], &json!({})).await
    });
    while service.control.counts().issued == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let body = json!({"fault": "cut"});
    let control =
        client::post_json(link.control_address, "/control", &[], &body);
    assert!(control.await.unwrap().status.is_success());
    let cut = tokio::time::timeout(Duration::from_secs(2), waiting).await;
    let cut = cut.unwrap().unwrap();
    assert!(matches!(cut, Err(ClientError::Transport(_))));
    assert_eq!(service.control.counts().issued, 1);
    let after = client::get(address, "/control/counts").await;
    assert!(after.unwrap().status.is_success());
}

/// Guards against a refused connection that the client reports as an
/// established one that failed, and against a port that stays closed.
#[tokio::test]
async fn test_forwarder_refuse_and_clear() {
    let (_service, link) = forwarded(Duration::ZERO).await;
    link.control.control(Fault::Refuse).unwrap();
    let until = Instant::now() + Duration::from_secs(2);
    loop {
        let refused = client::get(link.address, "/look").await;
        if matches!(refused, Err(ClientError::Connect(_))) {
            break;
        }
        assert!(Instant::now() < until, "{refused:?}");
    }
    link.control.control(Fault::Clear).unwrap();
    let limit = Duration::from_secs(2);
    let wait = borageline_testutils::process::wait_http;
    wait(link.address, "/look", limit).await.unwrap();
}

/// Guards against a stall of one direction that stops both.
#[tokio::test]
async fn test_forwarder_stalls_one_direction() {
    let (service, link) = forwarded(Duration::ZERO).await;
    let direction = Direction::ToClient;
    link.control.control(Fault::Stall { direction }).unwrap();
    let address = link.address;
    let waiting = tokio::spawn(async move {
        client::post_json(address, "/issue", &[], &json!({})).await
    });
    while service.control.counts().issued == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!waiting.is_finished());
    link.control.control(Fault::Clear).unwrap();
    assert!(waiting.await.unwrap().unwrap().status.is_success());
}

/// Guards against concurrent transfers that each get the full bandwidth of
/// the weight store.
#[tokio::test]
async fn test_weights_share_rate() {
    let config = WeightConfig {
        bytes_per_s: 10_000_000,
        model_bytes: 1_000_000,
    };
    let store = weight_store::spawn(local(), config).await.unwrap();
    let start = Instant::now();
    let loads = (0..3).map(|index| {
        let path = format!("/v1/weights/model-{index}");
        let address = store.address;
        async move { client::get_json::<Value>(address, &path).await }
    });
    for response in futures::future::join_all(loads).await {
        assert_eq!(response.unwrap(), json!({"bytes": 1_000_000}));
    }
    assert!(start.elapsed() >= Duration::from_millis(295));
    let report = store.control.report();
    assert_eq!(report["peak_running"], 3);
    assert_eq!(report["finished"]["model-1"], 1);
}
