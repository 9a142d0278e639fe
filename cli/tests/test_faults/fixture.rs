//! Fleets of real processes whose parts a test can break one by one.
//!
//! Engines and instances are processes of their own. The log, the instance
//! list and the plain service run in the test, each on a loopback address;
//! every instance reaches the log through a forwarder of its own.

use std::{
    fmt::Write as _,
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use borageline_bench::caller::CallerClient;
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
    plain_service::{self, PlainService},
    process::{
        ChildProcess, ChildSignal, binary_path, start_announced, wait_http,
    },
};
use http::Method;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tempfile::TempDir;

/// Model of all engines.
pub(crate) const MODEL: &str = "draft-1";
/// Key of the only workspace.
pub(crate) const KEY: &str = "workspace-key";
/// Keys of two operators.
pub(crate) const OPERATORS: [&str; 2] = ["operator-key-a", "operator-key-b"];
/// Secret of the fleet.
pub(crate) const SECRET: &str = "secret-of-the-test-fleet";
/// Time for one process to start.
const START_LIMIT: Duration = Duration::from_secs(20);

/// What a fleet is made of; one engine and one instance a domain.
pub(crate) struct FleetPlan {
    /// Failure domains.
    pub(crate) domains: usize,
    /// Engines in each domain.
    pub(crate) engines: usize,
    /// Arguments of each engine.
    pub(crate) engine_arguments: Vec<&'static str>,
    /// Time that a call of the plain service takes.
    pub(crate) service_delay: Duration,
    /// Time that the configuration gives a call of the plain service.
    pub(crate) service_timeout: Duration,
    /// Serving policy.
    pub(crate) policy: &'static str,
    /// Properties of the log.
    pub(crate) log: LogConfig,
    /// Limits in each instance's settings.
    pub(crate) limits: Value,
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
        }
    }
}

/// An engine process behind its tap.
pub(crate) struct TestEngine {
    /// Name in the instance list.
    pub(crate) name: String,
    /// Address of the process.
    pub(crate) address: SocketAddr,
    /// Failure domain.
    pub(crate) domain: String,
    /// What was sent to it.
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
    /// Forwarder between this instance and the log.
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

/// Name of a failure domain.
pub(crate) fn domain_name(index: usize) -> String {
    format!("domain-{}", ["a", "b", "c"][index])
}

/// Free addresses on a loopback address that no other fleet has.
///
/// Instances are told their addresses before they listen, and must find them
/// free again after a restart; on a shared address, another test's process
/// may get such a port from the system in between.
fn own_addresses(count: usize) -> Vec<SocketAddr> {
    static FLEETS: AtomicU8 = AtomicU8::new(0);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 64 + fleet, high, low);
    let bind = |_| TcpListener::bind((own, 0)).unwrap();
    let listeners: Vec<_> = (0..count).map(bind).collect();
    let address = |listener: &TcpListener| listener.local_addr().unwrap();
    listeners.iter().map(address).collect()
}

/// A loopback address with a port that the system picks.
pub(crate) fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
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
    let (child, line) = start_announced(command, START_LIMIT).unwrap();
    (child, line.address)
}

impl TestEngine {
    async fn start(
        name: String,
        domain: String,
        arguments: Vec<&'static str>,
    ) -> Self {
        let (child, address) = start_engine(&name, any_port(), &arguments);
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

    /// Starts the process again on its address, with empty memory.
    pub(crate) fn restart(&mut self) {
        let arguments = &self.arguments;
        self.child = start_engine(&self.name, self.address, arguments).0;
    }

    /// Starts the process again without being warm.
    pub(crate) fn restart_cold(&mut self) {
        self.arguments.retain(|entry| *entry != "--start-warm");
        self.restart();
    }

    /// Counter of the engine's report.
    pub(crate) async fn counter(&self, name: &str) -> u64 {
        let report: Value =
            client::get_json(self.address, "/control").await.unwrap();
        report["counters"][name].as_u64().unwrap()
    }

    /// Requests that hold memory.
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
    /// Starts all processes and waits until every instance serves.
    pub(crate) async fn start(plan: FleetPlan) -> Self {
        let log = log_service::spawn(any_port(), plan.log).await.unwrap();
        let service = plain_service::spawn(any_port(), plan.service_delay);
        let service = service.await.unwrap();
        let lag = Duration::from_millis(200);
        let config = ListConfig {
            lag,
            ..ListConfig::default()
        };
        let list = instance_list::spawn(any_port(), config).await.unwrap();
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
            directory: TempDir::new().unwrap(),
        };
        fleet.configure(&plan);
        let addresses = own_addresses(2 * plan.domains);
        let (callers, peers) = addresses.split_at(plan.domains);
        fleet.list_all(peers);
        for (index, caller) in callers.iter().enumerate() {
            fleet.add_instance(&plan, index, *caller, peers).await;
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

    /// Appends an order to the log itself, as operators may do.
    pub(crate) fn publish(&self, order: Value) {
        let stream: StreamName = "config".parse().unwrap();
        let mut record = order;
        record["record"] = "order".into();
        // Fails the test here, and not later in an instance, if the form of
        // records has changed.
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

    async fn add_instance(
        &mut self,
        plan: &FleetPlan,
        index: usize,
        address: SocketAddr,
        peers: &[SocketAddr],
    ) {
        let log_link =
            forwarder::spawn(any_port(), self.log.address, any_port());
        let log_link = log_link.await.unwrap();
        let name = format!("instance-{index}");
        let mut limits = plan.limits.clone();
        limits["address_ttl_ms"] = json!(1_000);
        let settings = json!({
            "instance": name,
            "failure_domain": domain_name(index),
            "caller_address": address,
            "peer_address": peers[index],
            "seeds": peers,
            "fleet_secret": SECRET,
            "log_service": log_link.address,
            "instance_list": self.list.address,
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

    /// Starts an instance that has ended again.
    pub(crate) fn restart_instance(&mut self, index: usize) {
        let name = self.instances[index].name.clone();
        self.instances[index].child = self.start_process(&name);
    }

    /// Kills an instance.
    pub(crate) fn kill_instance(&mut self, index: usize) {
        self.instances[index].child.kill().unwrap();
    }

    /// Sends a signal to an instance.
    pub(crate) fn signal(&mut self, index: usize, signal: ChildSignal) {
        self.instances[index].child.signal(signal).unwrap();
    }

    /// Waits until an instance says that it is ready.
    pub(crate) async fn wait_ready(&self, index: usize) {
        let instance = &self.instances[index];
        let ready = wait_http(instance.address, "/readyz", START_LIMIT).await;
        if let Err(error) = ready {
            let answer = client::get(instance.address, "/readyz").await;
            panic!("{}: {error:?}, {answer:?}", instance.name);
        }
    }

    /// Waits until every instance answers a completion.
    pub(crate) async fn wait_serving(&self) {
        for index in 0..self.instances.len() {
            self.wait_ready(index).await;
            let until = Instant::now() + START_LIMIT;
            let request = completion("ping", 1, 2_000);
            let address = self.instances[index].address;
            let caller = CallerClient::new();
            loop {
                let record =
                    caller.complete(address, KEY, &request, None).await;
                if record.answered() {
                    break;
                }
                let name = &self.instances[index].name;
                let late = Instant::now() > until;
                assert!(!late, "{name}: {:?}", record.outcome);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Addresses of all instances for callers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.instances.iter().map(|entry| entry.address);
        addresses.collect()
    }

    /// Gives an order through an instance, by one of the operators.
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

    /// Injects a fault into the log.
    pub(crate) fn fault_log(&self, fault: Value) {
        let fault: Fault = serde_json::from_value(fault).unwrap();
        self.log.control.control(fault).unwrap();
    }

    /// Injects a fault into the plain service.
    pub(crate) fn fault_service(&self, fault: Value) {
        let fault: Fault = serde_json::from_value(fault).unwrap();
        self.service.control.control(fault).unwrap();
    }

    /// Cuts an instance off from the log, or lets it reach the log again.
    pub(crate) fn cut_log(&self, index: usize, cut: bool) {
        let fault = if cut {
            json!({"fault": "fail", "mode": "close"})
        } else {
            json!({"fault": "clear"})
        };
        let fault: Fault = serde_json::from_value(fault).unwrap();
        let link = &self.instances[index].log_link;
        link.control.control(fault).unwrap();
    }
}

/// Sends an order to an address.
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

/// A streamed completion request.
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
