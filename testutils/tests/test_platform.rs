//! The log service, the instance list and the plain service.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::platform_api::{
    AppendRequest, AppendResponse, InstanceListing, ListedProcess, ProcessKind,
    RecordPage,
};
use borageline_testutils::{
    client,
    fault::{FailMode, Fault},
    http_server::Standin,
    instance_list::{self, ListConfig},
    log_service::{self, LogConfig},
    plain_service::{self, ServiceCounts},
};
use http::StatusCode;
use serde_json::json;

const RECORDS: &str = "/v1/streams/config/records";

fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn records(values: &[u64]) -> AppendRequest {
    AppendRequest {
        records: values.iter().map(|value| json!(value)).collect(),
    }
}

/// Guards against the fault `lose_append_answers` preventing the append. It
/// has to drop only the response.
#[tokio::test]
async fn test_log_answer_lost_after_append() {
    let log = log_service::spawn(local(), LogConfig::default())
        .await
        .unwrap();
    let address = log.address;
    let fault = Fault::LoseAppendAnswers { count: 1 };
    log.control.control(fault).unwrap();
    let first = records(&[1, 2]);
    let lost = client::post_json(address, RECORDS, &[], &first);
    assert!(lost.await.is_err());
    let second = records(&[3]);
    let kept = client::post_json(address, RECORDS, &[], &second);
    let kept: AppendResponse = kept.await.unwrap().json().unwrap();
    assert_eq!(kept.first_offset.get(), 2);
    let page: RecordPage = client::get_json(address, RECORDS).await.unwrap();
    let values: Vec<_> = page.records.iter().map(|r| &r.value).collect();
    assert_eq!(values, [&json!(1), &json!(2), &json!(3)]);
    assert_eq!(page.head.get(), 3);
}

/// Guards against a long poll that an append does not complete at once, or
/// that returns without the new record.
#[tokio::test]
async fn test_log_long_poll_wakes() {
    let log = log_service::spawn(local(), LogConfig::default())
        .await
        .unwrap();
    let address = log.address;
    let poll = tokio::spawn(async move {
        let path = format!("{RECORDS}?from=0&wait_ms=10000");
        client::get_json::<RecordPage>(address, &path).await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let stream = "config".parse().unwrap();
    log.control.append(&stream, vec![json!("new")]);
    let page = tokio::time::timeout(Duration::from_secs(5), poll).await;
    assert_eq!(page.unwrap().unwrap().unwrap().records.len(), 1);
}

/// Guards against retention that changes the offsets of records, and against
/// appends that take effect above the limit per second.
#[tokio::test]
async fn test_log_retention_and_limit() {
    let config = LogConfig {
        retention_count: 2,
        appends_per_s: 3,
        ..LogConfig::default()
    };
    let log = log_service::spawn(local(), config).await.unwrap();
    let mut statuses = Vec::new();
    for value in 0..4 {
        let body = records(&[value]);
        let response = client::post_json(log.address, RECORDS, &[], &body);
        statuses.push(response.await.unwrap().status);
    }
    assert_eq!(statuses[..3], [StatusCode::OK; 3]);
    assert_eq!(statuses[3], StatusCode::TOO_MANY_REQUESTS);
    let page: RecordPage =
        client::get_json(log.address, RECORDS).await.unwrap();
    assert_eq!((page.earliest.get(), page.head.get()), (1, 3));
    assert_eq!(page.records[0].offset.get(), 1);
}

/// Guards against a list that is returned without its lag, and against a
/// `mark_leaving` without effect.
#[tokio::test]
async fn test_list_lags() {
    let config = ListConfig {
        lag: Duration::from_secs(1),
        entry_ttl: None,
    };
    let list = instance_list::spawn(local(), config).await.unwrap();
    let entry = ListedProcess {
        id: "engine-1".into(),
        kind: ProcessKind::Engine,
        address: local(),
        failure_domain: "co-centro-a".parse().unwrap(),
        leaving: false,
    };
    let path = "/v1/instances";
    let posted = client::post_json(list.address, path, &[], &entry).await;
    assert_eq!(posted.unwrap().status, StatusCode::OK);
    let early: InstanceListing =
        client::get_json(list.address, path).await.unwrap();
    assert!(early.instances.is_empty());
    tokio::time::sleep(Duration::from_millis(1_050)).await;
    let body = json!({"fault": "mark_leaving", "id": "engine-1",
        "leaving": true});
    let control = client::post_json(list.address, "/control", &[], &body);
    assert_eq!(control.await.unwrap().status, StatusCode::OK);
    let late: InstanceListing =
        client::get_json(list.address, path).await.unwrap();
    assert_eq!(late.instances, [entry]);
    assert!(list.control.current().instances[0].leaving);
}

/// Guards against a second run of an idempotency key that is not counted,
/// and against the fault `fail` running the operation.
#[tokio::test]
async fn test_service_counts_each_run() {
    let service = plain_service::spawn(local(), Duration::ZERO).await.unwrap();
    let address = service.address;
    let headers = [("idempotency-key", "key-1")];
    let body = json!({});
    for _ in 0..2 {
        let sent = client::post_json(address, "/issue", &headers, &body);
        sent.await.unwrap();
    }
    let dropped = Fault::DropAnswers { count: 1 };
    service.control.control(dropped).unwrap();
    let lost = client::post_json(address, "/issue", &headers, &body).await;
    assert!(lost.is_err());
    let mode = FailMode::Status;
    service.control.control(Fault::Fail { mode }).unwrap();
    let failed = client::post_json(address, "/issue", &headers, &body);
    let status = failed.await.unwrap().status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let counts: ServiceCounts =
        client::get_json(address, "/control/counts").await.unwrap();
    assert_eq!(counts.issued, 3);
    assert_eq!(counts.keys["key-1"], 3);
}
