//! A scripted engine and a scripted core, for tests of the I/O around the
//! core.
//!
//! The engine answers as each test scripts it. The core publishes a fixed
//! state, assigns every request to that engine, and decides after a failure
//! what the test has set.

use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use borageline::{
    commands::serve::RunningInstance, credentials::key_digest,
    driver::CoreStateMachine,
};
use borageline_lib::{
    api::PriorityClass,
    core::{
        AssignedEngine, Assignment, CoreAction, CoreEvent, InstanceReadiness,
        PublishedState, RequestDecision, RequestProgress,
    },
    fleet::{FleetState, RouteRule, ServiceRule, WorkspaceRule},
    ids::{RequestId, ServiceName, UpstreamId},
    peer_api::{CallResult, ClaimResponse},
    refusal::{Refusal, RefusalCode},
    settings::{InstanceLimits, InstanceSettings},
    units::Timestamp,
};
use borageline_testutils::loopback::new_address;
use bytes::Bytes;
use futures::{FutureExt, StreamExt, future::BoxFuture};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Body of a scripted answer.
pub(crate) type ScriptBody = BoxBody<Bytes, std::io::Error>;
/// Handler of a scripted engine.
pub(crate) type Script = Arc<
    dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<ScriptBody>>
        + Send
        + Sync,
>;

/// Key of the only workspace.
pub(crate) const KEY: &str = "test-key";

/// Starts an engine that answers each request by calling a script.
pub(crate) async fn start_engine(script: Script) -> SocketAddr {
    let listener = TcpListener::bind(new_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let script = script.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let answer = script(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                let builder = hyper_util::server::conn::auto::Builder::new(
                    TokioExecutor::new(),
                );
                let io = TokioIo::new(stream);
                let _ = builder.serve_connection(io, service).await;
            });
        }
    });
    address
}

/// A response with a complete body.
pub(crate) fn full_response(body: impl Into<Bytes>) -> Response<ScriptBody> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    Response::new(body.boxed())
}

/// One chunk of a completion as a server-sent event.
pub(crate) fn chunk_event(
    id: &str,
    index: u64,
    text: &str,
    last: bool,
) -> String {
    let reason = if last { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"id\":\"{id}\",\"object\":\"text_completion\",\
         \"model\":\"m\",\"index_from\":{index},\"token_count\":1,\
         \"choices\":[{{\"index\":0,\"text\":\"{text}\",\
         \"finish_reason\":{reason}}}]}}\n\n"
    )
}

/// End marker as a server-sent event.
pub(crate) const END: &str = "data: [DONE]\n\n";

/// Request id in the headers of a request to an engine.
pub(crate) fn request_id(request: &Request<Incoming>) -> String {
    let value = request.headers().get("x-request-id").unwrap();
    value.to_str().unwrap().into()
}

/// Core that assigns every request to the same engines.
pub(crate) struct ScriptedCore {
    setup: TestSetup,
    published: bool,
    /// Requests that are not assigned, with the time of their end.
    waiting: Vec<(Timestamp, RequestId)>,
    progress: Arc<Mutex<Vec<RequestProgress>>>,
    settled_calls: Arc<Mutex<Vec<CallResult>>>,
}

/// Settings of an instance and its scripted core.
#[derive(Clone)]
pub(crate) struct TestSetup {
    /// Limits in the instance's settings.
    pub(crate) limits: InstanceLimits,
    /// Engines to which every request is assigned, one for each segment.
    pub(crate) engines: Vec<SocketAddr>,
    /// Decision of the core after a failed attempt.
    pub(crate) on_failure: RequestDecision,
    /// If set, no request is assigned: each ends with this refusal at this time
    /// after its deadline.
    pub(crate) end_after_deadline: Option<(Duration, Refusal)>,
    /// Validity of an assignment.
    pub(crate) send_within: Duration,
    /// Processes of the service `s`.
    pub(crate) processes: Vec<SocketAddr>,
    /// Answer of the core to every claim.
    pub(crate) claim: ClaimResponse,
}

impl TestSetup {
    /// An instance in front of one engine.
    pub(crate) fn new(engine: SocketAddr) -> Self {
        let refusal = Refusal::new(RefusalCode::UpstreamFailed, "failed");
        Self {
            limits: InstanceLimits {
                body_timeout: Duration::from_millis(300),
                header_timeout: Duration::from_millis(300),
                address_ttl: Duration::from_millis(100),
                stop_timeout: Duration::from_secs(5),
                ..InstanceLimits::default()
            },
            engines: vec![engine],
            on_failure: RequestDecision::End(refusal),
            end_after_deadline: None,
            send_within: Duration::from_millis(500),
            processes: Vec::new(),
            claim: ClaimResponse::Won,
        }
    }

    /// Starts the instance.
    pub(crate) async fn start(self) -> TestServer {
        start_server(self).await
    }
}

impl ScriptedCore {
    fn assigned(&self) -> Vec<AssignedEngine> {
        self.setup.engines.iter().copied().map(assigned).collect()
    }

    fn published_state(&self) -> PublishedState {
        let mut fleet = FleetState::default();
        let rule = WorkspaceRule {
            key_digests: BTreeSet::from([key_digest(KEY.as_bytes()).into()]),
            enabled: true,
            default_class: PriorityClass::Interactive,
            classes: BTreeSet::from([PriorityClass::Interactive]),
            models: None,
            domains: None,
            limits: Vec::new(),
        };
        fleet
            .workspaces
            .insert("w".parse().unwrap(), std::sync::Arc::new(rule));
        let routes = vec![RouteRule {
            method: "GET".into(),
            path_prefix: "/items".into(),
            idempotent: true,
        }];
        let service: ServiceName = "s".parse().unwrap();
        let timeout_ms = 2_000;
        let rule = ServiceRule { routes, timeout_ms };
        fleet.services.insert(service.clone(), rule);
        let processes = self.setup.processes.iter();
        let processes = processes.map(|a| ("p".parse().unwrap(), *a));
        PublishedState {
            fleet: Arc::new(fleet),
            readiness: InstanceReadiness::Ready,
            models: BTreeSet::from(["m".parse().unwrap()]),
            services: BTreeMap::from([(service, processes.collect())]),
            ..PublishedState::default()
        }
    }
}

impl CoreStateMachine for ScriptedCore {
    fn tick(
        &mut self,
        now: Timestamp,
        events: Vec<CoreEvent>,
    ) -> Vec<CoreAction> {
        let mut actions = Vec::new();
        if !std::mem::replace(&mut self.published, true) {
            actions.push(CoreAction::Publish(Arc::new(self.published_state())));
        }
        for event in events {
            match event {
                CoreEvent::RequestArrived(spec) => {
                    if let Some((delay, _)) = &self.setup.end_after_deadline {
                        let end = spec.deadline.after(*delay);
                        self.waiting.push((end, spec.request));
                        continue;
                    }
                    let assignment = Assignment {
                        engines: self.assigned(),
                        send_before: now.after(self.setup.send_within),
                        priority: 1,
                    };
                    let decision = RequestDecision::Dispatch(assignment);
                    actions.push(CoreAction::Decide(spec.request, decision));
                }
                CoreEvent::Progress(request, progress) => {
                    if matches!(progress, RequestProgress::Failed { .. }) {
                        let decision = self.setup.on_failure.clone();
                        actions.push(CoreAction::Decide(request, decision));
                    }
                    self.progress.lock().unwrap().push(progress);
                }
                CoreEvent::ClaimRequested { inbound, .. } => {
                    let answer = self.setup.claim.clone();
                    actions.push(CoreAction::AnswerClaim(inbound, answer));
                }
                CoreEvent::CallSettled { result, .. } => {
                    self.settled_calls.lock().unwrap().push(result);
                }
                CoreEvent::StopRequested(_) => {
                    actions.push(CoreAction::StopDone)
                }
                _ => {}
            }
        }
        if let Some((_, refusal)) = &self.setup.end_after_deadline {
            let ended = self.waiting.extract_if(.., |(end, _)| *end <= now);
            actions.extend(ended.map(|(_, request)| {
                let decision = RequestDecision::End(refusal.clone());
                CoreAction::Decide(request, decision)
            }));
        }
        actions
    }

    fn next_timer(&self) -> Option<Timestamp> {
        self.waiting.iter().map(|(end, _)| *end).min()
    }
}

/// An engine as the core assigns it; its id contains its port.
pub(crate) fn assigned(address: SocketAddr) -> AssignedEngine {
    AssignedEngine {
        engine: format!("e{}", address.port())
            .parse::<UpstreamId>()
            .unwrap(),
        address,
        prompt: borageline_lib::units::TokenCount::new(1),
        incarnation: None,
    }
}

/// An instance in this process.
pub(crate) struct TestServer {
    /// The instance.
    pub(crate) instance: RunningInstance,
    /// Address for callers.
    pub(crate) address: SocketAddr,
    /// Progress reported to the core, in order.
    pub(crate) progress: Arc<Mutex<Vec<RequestProgress>>>,
    /// Results of claimed calls reported to the core, in order.
    pub(crate) settled_calls: Arc<Mutex<Vec<CallResult>>>,
}

async fn start_server(setup: TestSetup) -> TestServer {
    let unused = "127.0.0.1:1".parse().unwrap();
    let settings = InstanceSettings {
        instance: "i".parse().unwrap(),
        failure_domain: "d".parse().unwrap(),
        caller_address: new_address(),
        peer_address: new_address(),
        seeds: Vec::new(),
        fleet_secret: "secret".into(),
        log_service: unused,
        instance_list: unused,
        weight_store: None,
        limits: setup.limits.clone(),
        policy: borageline_lib::core::PolicyName::Product,
    };
    let progress = Arc::new(Mutex::new(Vec::new()));
    let settled_calls = Arc::new(Mutex::new(Vec::new()));
    let core = ScriptedCore {
        setup,
        published: false,
        waiting: Vec::new(),
        progress: progress.clone(),
        settled_calls: settled_calls.clone(),
    };
    let instance = RunningInstance::start_with(settings, |_| core);
    let instance = instance.await.unwrap();
    let mut published = instance.handle().watch_published();
    let ready = |published: &Arc<PublishedState>| {
        published.readiness == InstanceReadiness::Ready
    };
    published.wait_for(ready).await.unwrap();
    let address = instance.context().settings.caller_address;
    TestServer {
        instance,
        address,
        progress,
        settled_calls,
    }
}

/// Head and body of a completion request.
pub(crate) fn completion(key: &str, body: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    )
}

/// Body of a streamed completion request.
pub(crate) const STREAMED: &str =
    r#"{"model":"m","prompt":"hello","max_tokens":64,"stream":true}"#;

/// Writes bytes to a new connection and reads until it is closed.
pub(crate) async fn exchange(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    read_all(&mut stream).await
}

/// Reads until the connection is closed.
pub(crate) async fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let read = stream.read_to_end(&mut text);
    let read = tokio::time::timeout(Duration::from_secs(20), read).await;
    // The connection may also be reset after the response.
    let _ = read.expect("connection is closed within 20 s");
    String::from_utf8_lossy(&text).into_owned()
}

/// An engine that records every call and streams many chunks with a filler
/// text, from the requested index on.
pub(crate) struct EndlessEngine {
    /// Address of the engine.
    pub(crate) address: SocketAddr,
    /// Method and URI of each call, in order.
    pub(crate) calls: Arc<Mutex<Vec<String>>>,
}

/// Starts an [`EndlessEngine`] whose chunks have a text of `text` bytes and end
/// at the index `last`.
pub(crate) async fn start_endless(text: usize, last: u64) -> EndlessEngine {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let recorded_calls = calls.clone();
    let script: Script = Arc::new(move |request| {
        let call = format!("{} {}", request.method(), request.uri());
        let query = request.uri().query().unwrap_or_default();
        let from = query.strip_prefix("from=").unwrap_or("0");
        let from: u64 = from.parse().unwrap();
        recorded_calls.lock().unwrap().push(call);
        let id = request_id_or_empty(&request);
        let text = "x".repeat(text);
        let parts = futures::stream::iter(from..=last).map(move |index| {
            let mut event = chunk_event(&id, index, &text, index == last);
            if index == last {
                event += END;
            }
            Ok(hyper::body::Frame::data(Bytes::from(event)))
        });
        async move { Response::new(BodyExt::boxed(StreamBody::new(parts))) }
            .boxed()
    });
    let address = start_engine(script).await;
    EndlessEngine { address, calls }
}

fn request_id_or_empty(request: &Request<Incoming>) -> String {
    let value = request.headers().get("x-request-id");
    value.map_or("", |value| value.to_str().unwrap()).into()
}

/// Value of a metric without labels.
pub(crate) fn metric(server: &TestServer, name: &str) -> f64 {
    let text = server.instance.context().metrics.render();
    let text = String::from_utf8(text).unwrap();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.unwrap().parse().unwrap()
}

/// Waits until a condition holds, for at most ten seconds.
pub(crate) async fn eventually(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what} did not come about within 10 s");
}
