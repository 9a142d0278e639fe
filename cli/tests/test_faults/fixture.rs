//! Fleets of real processes in which a test can inject faults.
//!
//! Engines and instances are processes of their own. The log service, the
//! instance list and the plain service run in the test's process. Each
//! instance reaches the log service through its own forwarder, so that a test
//! can disconnect it.

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    process::Command,
    sync::Arc,
    time::{Duration, Instant},
};

use borageline_bench::caller::{CallerClient, CallerOutcome};
use borageline_lib::{
    api::{CompletionRequest, PromptInput},
    ids::StreamName,
    platform_api::{ListedProcess, ProcessKind},
};
use borageline_testutils::{
    client,
    fault::Fault,
    forwarder::{self, ForwarderHandle},
    http_server::{Handle, Standin},
    instance_list::{self, InstanceList, ListConfig},
    log_service::{self, LogConfig, LogService},
    loopback::new_address,
    plain_service::{self, PlainService},
    process::{
        ChildProcess, ChildSignal, binary_path, start_and_read_address,
        wait_http,
    },
};
use http::Method;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tempfile::TempDir;

/// Model that all engines serve.
pub(crate) const MODEL: &str = "draft-1";
/// Key of the only workspace.
pub(crate) const KEY: &str = "workspace-key";
/// Keys of the operators `a` and `b`.
pub(crate) const OPERATORS: [&str; 2] = ["operator-key-a", "operator-key-b"];
/// Secret that the instances share.
pub(crate) const SECRET: &str = "secret-of-the-test-fleet";
/// Lines of an instance's log in the message of a failed test.
const LOG_TAIL_LINES: usize = 10;
/// Time for one process to start and be ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Size and settings of a fleet, which has one instance in each domain.
pub(crate) struct FleetPlan {
    /// Number of failure domains, at most three.
    pub(crate) domains: usize,
    /// Engines in each domain.
    pub(crate) engines: usize,
    /// Further arguments of each engine process.
    pub(crate) engine_arguments: Vec<&'static str>,
    /// Time that the plain service takes for a call.
    pub(crate) service_delay: Duration,
    /// Timeout of calls to the plain service, in the configuration.
    pub(crate) service_timeout: Duration,
    /// Serving policy in each instance's settings.
    pub(crate) policy: &'static str,
    /// Settings of the log service.
    pub(crate) log: LogConfig,
    /// Limits in each instance's settings.
    pub(crate) limits: Value,
    /// Whether the first instance has its own forwarders to engines and
    /// services, and its own list with their addresses.
    pub(crate) has_own_links: bool,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            domains: 3,
            engines: 1,
            engine_arguments: vec!["--start-warm", "--time-scale", "10"],
            service_delay: Duration::from_millis(50),
            service_timeout: Duration::from_secs(2),
            policy: "product",
            log: LogConfig::default(),
            limits: json!({}),
            has_own_links: false,
        }
    }
}

/// An engine process, reached through a tap that records its requests.
pub(crate) struct TestEngine {
    /// Name in the instance list.
    pub(crate) name: String,
    /// Address of the process.
    pub(crate) address: SocketAddr,
    /// Failure domain.
    pub(crate) domain: String,
    /// Tap in front of the engine; instances use the tap's address.
    pub(crate) tap: crate::engine_tap::EngineTap,
    /// The process.
    pub(crate) child: ChildProcess,
    arguments: Vec<&'static str>,
}

/// An instance process.
pub(crate) struct TestInstance {
    /// Name.
    pub(crate) name: String,
    /// Address for callers.
    pub(crate) address: SocketAddr,
    /// Address for peers.
    pub(crate) peer: SocketAddr,
    /// Forwarder between this instance and the log service.
    pub(crate) log_link: ForwarderHandle,
    /// The process.
    pub(crate) child: ChildProcess,
}

/// A running fleet; its processes end when it is dropped.
pub(crate) struct TestFleet {
    pub(crate) log: Handle<LogService>,
    pub(crate) list: Handle<InstanceList>,
    pub(crate) service: Handle<PlainService>,
    pub(crate) engines: Vec<TestEngine>,
    pub(crate) instances: Vec<TestInstance>,
    /// Forwarders of the first instance to engines and services; empty unless
    /// it has its own.
    own_links: Vec<ForwarderHandle>,
    own_list: Option<Handle<InstanceList>>,
    directory: TempDir,
}

/// SHA-256 in lower-case hex.
fn digest(key: &str) -> String {
    let mut hex = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        write!(hex, "{byte:02x}").unwrap();
    }
    hex
}

/// Name of the failure domain with an index.
pub(crate) fn domain_name(index: usize) -> String {
    format!("domain-{}", ["a", "b", "c"][index])
}

fn start_engine(
    name: &str,
    listen: SocketAddr,
    arguments: &[&str],
) -> (ChildProcess, SocketAddr) {
    let mut command = Command::new(binary_path("borageline-standin").unwrap());
    command
        .args(["engine", "--listen", &listen.to_string(), "--id", name])
        .args(["--model", MODEL])
        .args(arguments);
    let (child, line) = start_and_read_address(command, START_LIMIT).unwrap();
    (child, line.address)
}

impl TestEngine {
    async fn start(
        name: String,
        domain: String,
        arguments: Vec<&'static str>,
    ) -> Self {
        let (child, address) = start_engine(&name, new_address(), &arguments);
        let tap = crate::engine_tap::EngineTap::start(address).await;
        Self {
            name,
            address,
            domain,
            tap,
            child,
            arguments,
        }
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
    }

    /// Starts the process again on its address, without its previous state.
    pub(crate) fn restart(&mut self) {
        let arguments = &self.arguments;
        self.child = start_engine(&self.name, self.address, arguments).0;
    }

    /// Starts the process again in the cold state.
    pub(crate) fn restart_cold(&mut self) {
        self.arguments.retain(|entry| *entry != "--start-warm");
        self.restart();
    }

    /// Value of a counter in the engine's control report.
    pub(crate) async fn counter(&self, name: &str) -> u64 {
        let report: Value =
            client::get_json(self.address, "/control").await.unwrap();
        report["counters"][name].as_u64().unwrap()
    }

    /// Requests for which the engine holds memory.
    pub(crate) async fn held(&self) -> Vec<Value> {
        let report: Value =
            client::get_json(self.address, "/v1/held").await.unwrap();
        report["requests"].as_array().unwrap().clone()
    }

    /// Injects a fault.
    pub(crate) async fn fault(&self, fault: Value) {
        let answer = client::post_json(self.address, "/control", &[], &fault);
        let answer = answer.await.unwrap();
        assert!(answer.status.is_success(), "{fault}: {}", answer.text());
    }
}

impl TestFleet {
    /// Starts all processes and waits until every instance serves completions.
    pub(crate) async fn start(plan: FleetPlan) -> Self {
        let log = log_service::spawn(new_address(), plan.log).await.unwrap();
        let service = plain_service::spawn(new_address(), plan.service_delay);
        let service = service.await.unwrap();
        let lag = Duration::from_millis(200);
        let config = ListConfig {
            lag,
            ..ListConfig::default()
        };
        let list = instance_list::spawn(new_address(), config).await.unwrap();
        let mut engines = Vec::new();
        for index in 0..plan.domains * plan.engines {
            let name = format!("engine-{index}");
            let domain = domain_name(index % plan.domains);
            let arguments = plan.engine_arguments.clone();
            engines.push(TestEngine::start(name, domain, arguments).await);
        }
        let mut fleet = Self {
            log,
            list,
            service,
            engines,
            instances: Vec::new(),
            own_links: Vec::new(),
            own_list: None,
            directory: TempDir::new().unwrap(),
        };
        fleet.configure(&plan);
        let callers: Vec<_> =
            (0..plan.domains).map(|_| new_address()).collect();
        let peers: Vec<_> = (0..plan.domains).map(|_| new_address()).collect();
        fleet.list_all(&peers);
        if plan.has_own_links {
            fleet.start_own_links(lag).await;
        }
        for (index, caller) in callers.iter().enumerate() {
            fleet.add_instance(&plan, index, *caller, &peers).await;
        }
        fleet.wait_serving().await;
        fleet
    }

    fn configure(&self, plan: &FleetPlan) {
        let role = |name: &str, key: &str| {
            json!({"kind": "set_operator", "operator": name, "rule": {
                "key_digest": digest(key), "role": "admin",
            }})
        };
        let order = json!({
            "order": "bootstrap", "issued_by": "a",
            "expect_version": null,
            "changes": [
                role("a", OPERATORS[0]),
                role("b", OPERATORS[1]),
                {"kind": "set_service", "service": "numbering", "rule": {
                    "routes": [],
                    "timeout_ms": plan.service_timeout.as_millis() as u64,
                }},
                {"kind": "set_workspace", "workspace": "w", "rule": {
                    "key_digests": [digest(KEY)],
                    "enabled": true,
                    "default_class": "interactive",
                    "classes": ["interactive", "standard", "batch"],
                    "models": null, "domains": null, "limits": [],
                }},
            ],
        });
        self.publish(order);
    }

    /// Appends an order directly to the log, as operators may do.
    pub(crate) fn publish(&self, order: Value) {
        let stream: StreamName = "config".parse().unwrap();
        let mut record = order;
        record["record"] = "order".into();
        // If the format of records has changed, fail here and not later in an
        // instance.
        let parsed: Result<borageline_lib::fleet::FleetRecord, _> =
            serde_json::from_value(record.clone());
        parsed.unwrap();
        self.log.control.append(&stream, vec![record]);
    }

    fn list_all(&self, peers: &[SocketAddr]) {
        let add = |id: &str, kind, address, domain: &str| {
            self.list.control.add(ListedProcess {
                id: id.into(),
                kind,
                address,
                failure_domain: domain.parse().unwrap(),
                leaving: false,
            });
        };
        for engine in &self.engines {
            let address = engine.tap.address;
            add(&engine.name, ProcessKind::Engine, address, &engine.domain);
        }
        let service = ProcessKind::Service("numbering".parse().unwrap());
        add("numbering-0", service, self.service.address, "domain-a");
        for (index, peer) in peers.iter().enumerate() {
            let name = format!("instance-{index}");
            let domain = domain_name(index);
            add(&name, ProcessKind::Instance, *peer, &domain);
        }
    }

    /// Copies the list for the first instance, with forwarders in place of the
    /// engines and services.
    async fn start_own_links(&mut self, lag: Duration) {
        let config = ListConfig {
            lag,
            ..ListConfig::default()
        };
        let list = instance_list::spawn(new_address(), config).await.unwrap();
        for mut process in self.list.control.current().instances {
            if process.kind != ProcessKind::Instance {
                let link = forwarder::spawn(
                    new_address(),
                    process.address,
                    new_address(),
                );
                let link = link.await.unwrap();
                process.address = link.address;
                self.own_links.push(link);
            }
            list.control.add(process);
        }
        self.own_list = Some(list);
    }

    /// Lists a process of a service, and gives the first instance its own link
    /// to it.
    pub(crate) async fn add_process(&mut self, service: &str, at: SocketAddr) {
        let mut process = ListedProcess {
            id: format!("{service}-added").into(),
            kind: ProcessKind::Service(service.parse().unwrap()),
            address: at,
            failure_domain: domain_name(0).parse().unwrap(),
            leaving: false,
        };
        self.list.control.add(process.clone());
        if let Some(list) = &self.own_list {
            let link = forwarder::spawn(new_address(), at, new_address());
            let link = link.await.unwrap();
            process.address = link.address;
            list.control.add(process);
            self.own_links.push(link);
        }
    }

    /// Injects a fault into the first instance's links to engines and services.
    pub(crate) fn fault_own_links(&self, fault: &Fault) {
        for link in &self.own_links {
            link.control.control(fault.clone()).unwrap();
        }
    }

    /// Connections over the first instance's links so far.
    pub(crate) fn own_connections(&self) -> u64 {
        self.own_links
            .iter()
            .map(|link| link.control.accepted())
            .sum()
    }

    async fn add_instance(
        &mut self,
        plan: &FleetPlan,
        index: usize,
        address: SocketAddr,
        peers: &[SocketAddr],
    ) {
        let log_link =
            forwarder::spawn(new_address(), self.log.address, new_address());
        let log_link = log_link.await.unwrap();
        let name = format!("instance-{index}");
        let mut limits = plan.limits.clone();
        limits["address_ttl_ms"] = json!(1_000);
        let own_list = self.own_list.as_ref().filter(|_| index == 0);
        let list = own_list.unwrap_or(&self.list).address;
        let settings = json!({
            "instance": name,
            "failure_domain": domain_name(index),
            "caller_address": address,
            "peer_address": peers[index],
            "seeds": peers,
            "fleet_secret": SECRET,
            "log_service": log_link.address,
            "instance_list": list,
            "policy": plan.policy,
            "limits": limits,
        });
        let file = self.directory.path().join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string()).unwrap();
        let child = self.start_process(&name);
        self.instances.push(TestInstance {
            name,
            address,
            peer: peers[index],
            log_link,
            child,
        });
    }

    fn start_process(&self, name: &str) -> ChildProcess {
        let mut command = Command::new(binary_path("borageline").unwrap());
        let file = self.directory.path().join(format!("{name}.jsonc"));
        let log = self.directory.path().join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log);
        command.arg("serve").arg("--config").arg(&file);
        command.stderr(log.unwrap());
        ChildProcess::start(command).unwrap()
    }

    /// Starts an instance again after its process has ended.
    pub(crate) fn restart_instance(&mut self, index: usize) {
        let name = self.instances[index].name.clone();
        self.instances[index].child = self.start_process(&name);
    }

    /// Lines that an instance has logged.
    pub(crate) fn log_lines(&self, index: usize) -> Vec<String> {
        let name = &self.instances[index].name;
        let file = self.directory.path().join(format!("{name}.log"));
        let text = fs::read_to_string(file).unwrap();
        text.lines().map(str::to_owned).collect()
    }

    /// Kills an instance.
    pub(crate) fn kill_instance(&mut self, index: usize) {
        self.instances[index].child.kill().unwrap();
    }

    /// Sends a signal to an instance.
    pub(crate) fn signal(&mut self, index: usize, signal: ChildSignal) {
        self.instances[index].child.signal(signal).unwrap();
    }

    /// Last lines of an instance's log, for the message of a failed test.
    fn log_tail(&self, name: &str) -> String {
        let path = self.directory.path().join(format!("{name}.log"));
        let log = fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    /// Waits until an instance reports that it is ready.
    pub(crate) async fn wait_ready(&self, index: usize) {
        let instance = &self.instances[index];
        let ready = wait_http(instance.address, "/readyz", START_LIMIT).await;
        if let Err(error) = ready {
            let answer = client::get(instance.address, "/readyz").await;
            let log = self.log_tail(&instance.name);
            panic!("{}: {error:?}, {answer:?}\n{log}", instance.name);
        }
    }

    /// Waits until every instance answers a completion. Before that it may only
    /// say that it does not know the model.
    pub(crate) async fn wait_serving(&self) {
        for index in 0..self.instances.len() {
            self.wait_ready(index).await;
            let request = completion("ping", 1, 2_000);
            let address = self.instances[index].address;
            let caller = CallerClient::new();
            let until = Instant::now() + START_LIMIT;
            loop {
                let record =
                    caller.complete(address, KEY, &request, None).await;
                if record.answered() {
                    break;
                }
                // An instance is ready before it has read which models its
                // engines serve. Then it must serve each request.
                let unread = matches!(
                    &record.outcome,
                    CallerOutcome::Refused(detail)
                        if detail.code.as_ref() == "unknown_model"
                );
                let name = &self.instances[index].name;
                let fails = !unread || Instant::now() > until;
                assert!(!fails, "{name}: {:?}", record.outcome);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Addresses of all instances for callers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.instances.iter().map(|entry| entry.address);
        addresses.collect()
    }

    /// Submits an order to an instance, as one of the operators.
    pub(crate) async fn order(
        &self,
        instance: usize,
        operator: usize,
        order: Value,
    ) -> (u16, Value) {
        let address = self.instances[instance].address;
        let answer = send_order(address, operator, order).await;
        answer.unwrap()
    }

    /// Injects a fault into the log service.
    pub(crate) fn fault_log(&self, fault: Value) {
        let fault: Fault = serde_json::from_value(fault).unwrap();
        self.log.control.control(fault).unwrap();
    }

    /// Injects a fault into the plain service.
    pub(crate) fn fault_service(&self, fault: Value) {
        let fault: Fault = serde_json::from_value(fault).unwrap();
        self.service.control.control(fault).unwrap();
    }

    /// Disconnects an instance from the log service, or reconnects it.
    pub(crate) fn set_log_disconnected(
        &self,
        index: usize,
        disconnected: bool,
    ) {
        let fault = if disconnected {
            json!({"fault": "fail", "mode": "close"})
        } else {
            json!({"fault": "clear"})
        };
        let fault: Fault = serde_json::from_value(fault).unwrap();
        let link = &self.instances[index].log_link;
        link.control.control(fault).unwrap();
    }
}

/// Submits an order to the instance at an address.
pub(crate) async fn send_order(
    address: SocketAddr,
    operator: usize,
    order: Value,
) -> Result<(u16, Value), String> {
    let body = order.to_string().into();
    let key = OPERATORS[operator];
    let caller = CallerClient::new();
    let answer = caller
        .send(address, Method::POST, "/v1/order", key, None, body)
        .await?;
    let value = serde_json::from_slice(&answer.1);
    Ok((answer.0, value.map_err(|error| error.to_string())?))
}

/// A completion request with streaming.
pub(crate) fn completion(
    prompt: &str,
    max_tokens: u32,
    timeout_ms: u64,
) -> CompletionRequest {
    CompletionRequest {
        model: MODEL.parse().unwrap(),
        prompt: PromptInput::Text(Arc::from(prompt)),
        max_tokens,
        stream: true,
        class: None,
        timeout_ms: Some(timeout_ms),
    }
}
