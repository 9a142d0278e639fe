//! Client for the log service and the instance list. Temporary: the `edge`
//! branch replaces this file.

use std::{net::SocketAddr, time::Duration};

use borageline_lib::{
    core::CallFailure,
    ids::StreamName,
    platform_api::{AppendAnswer, AppendRequest, InstanceListing, RecordPage},
    units::LogOffset,
};
use http::Method;

use crate::http_client::{CallTarget, HttpClient, json_request, plain_request};

/// Time for the platform to answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Most records in one page.
const PAGE_RECORDS: u32 = 1_000;

/// Client for the log service and the instance list.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: HttpClient,
    log: SocketAddr,
    list: SocketAddr,
}

impl PlatformClient {
    /// A client for a log service and an instance list.
    pub fn new(log: SocketAddr, list: SocketAddr) -> Self {
        let http = HttpClient::new();
        Self { http, log, list }
    }

    /// Reads a page of a stream.
    pub async fn read_log(
        &self,
        stream: &StreamName,
        from: LogOffset,
        wait: Duration,
    ) -> Result<RecordPage, CallFailure> {
        let path = format!(
            "/v1/streams/{stream}/records?from={from}&limit={PAGE_RECORDS}\
             &wait_ms={}",
            wait.as_millis(),
        );
        let target = CallTarget {
            step: "read log",
            peer: self.log,
            timeout: PLATFORM_TIMEOUT + wait,
        };
        let request = plain_request(Method::GET, self.log, &path);
        Ok(self.http.call(target, request).await?)
    }

    /// Appends records to a stream.
    pub async fn append_log(
        &self,
        stream: &StreamName,
        records: Vec<serde_json::Value>,
    ) -> Result<AppendAnswer, CallFailure> {
        let path = format!("/v1/streams/{stream}/records");
        let target = CallTarget {
            step: "append to log",
            peer: self.log,
            timeout: PLATFORM_TIMEOUT,
        };
        let body = AppendRequest { records };
        let request = json_request(Method::POST, self.log, &path, &body);
        Ok(self.http.call(target, request).await?)
    }

    /// Reads the instance list.
    pub async fn read_list(&self) -> Result<InstanceListing, CallFailure> {
        let target = CallTarget {
            step: "read instance list",
            peer: self.list,
            timeout: PLATFORM_TIMEOUT,
        };
        let request = plain_request(Method::GET, self.list, "/v1/instances");
        Ok(self.http.call(target, request).await?)
    }
}
