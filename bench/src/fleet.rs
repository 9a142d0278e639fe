//! A fleet of real processes on loopback: stand-ins and instances.

use std::{
    fmt::Write as _,
    fs, io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::Command,
    time::Duration,
};

use borageline_lib::{
    api::PriorityClass,
    fleet::{
        FleetChange, FleetOrder, FleetRecord, LimitRule, OperatorRole,
        OperatorRule, RouteRule, ServiceRule, WorkspaceRule,
    },
    ids::{DomainId, OrderId},
    platform_api::{AppendRequest, ListedProcess, ProcessKind},
};
use borageline_testutils::{
    engine_config::ReceivedLine,
    process::{
        AddressLine, ChildProcess, ChildSignal, binary_path,
        start_and_read_address, wait_http,
    },
};
use http::Method;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::caller::CallerClient;

/// Model that all engines of a fleet serve.
pub const MODEL: &str = "draft-1";
/// Plain service of a fleet.
pub const SERVICE: &str = "numbering";
/// Key of the operator of a fleet.
pub const OPERATOR_KEY: &str = "operator-key-of-the-bench";
/// Secret of the instances of a fleet.
const FLEET_SECRET: &str = "secret-of-the-bench-fleet";
/// Time for one process to announce its address.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Time for all instances of a small fleet to be ready, or to stop.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// More time for each instance, because all of them start at once.
const READY_LIMIT_EACH: Duration = Duration::from_millis(250);

/// First port of processes; the range lies below the kernel's own.
const FIRST_PORT: u16 = 10_000;
/// Port after the last one.
const LAST_PORT: u16 = 32_000;
/// Ports between the places at which two processes begin to search.
const PORT_STRIDE: usize = 1_009;

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Failure domains.
    pub domains: usize,
    /// Instances, spread over the domains.
    pub instances: usize,
    /// Engines, spread over the domains.
    pub engines: usize,
    /// Processes of the plain service.
    pub services: usize,
    /// Workspaces.
    pub workspaces: usize,
    /// Serving policy of the instances.
    pub policy: String,
    /// More arguments for each engine.
    pub engine_arguments: Vec<String>,
    /// More settings for each instance, as `key=value`.
    pub settings: Vec<String>,
}

impl FleetPlan {
    /// Three domains with one instance and one engine each.
    pub fn new(policy: &str) -> Self {
        Self {
            domains: 3,
            instances: 3,
            engines: 3,
            services: 1,
            workspaces: 1,
            policy: policy.into(),
            engine_arguments: vec!["--start-warm".into()],
            settings: Vec::new(),
        }
    }
}

/// One running process of a fleet.
#[derive(Debug)]
pub struct FleetProcess {
    /// Name, as in the instance list.
    pub name: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// The process.
    pub child: ChildProcess,
    arguments: Vec<String>,
}

/// A running fleet; its processes end when it is dropped.
#[derive(Debug)]
pub struct BenchFleet {
    /// Log service.
    pub log: FleetProcess,
    /// Instance list.
    pub list: FleetProcess,
    /// Engines.
    pub engines: Vec<FleetProcess>,
    /// Processes of the plain service.
    pub services: Vec<FleetProcess>,
    /// Instances.
    pub instances: Vec<FleetProcess>,
    /// Engines that were killed and started again.
    retired: Vec<ChildProcess>,
    plan: FleetPlan,
    peers: Vec<SocketAddr>,
    directory: PathBuf,
}

/// Key of a workspace.
pub fn workspace_key(index: usize) -> String {
    format!("workspace-key-{index}")
}

/// Name of a failure domain.
pub fn domain_name(index: usize) -> DomainId {
    let name = format!("domain-{}", (b'a' + index as u8) as char);
    name.parse().expect("name is an id")
}

fn digest(key: &str) -> String {
    let mut hex = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        write!(hex, "{byte:02x}").expect("writing to text cannot fail");
    }
    hex
}

/// Addresses that are free now and that no outgoing connection is given.
///
/// A port from the kernel's own range can become the source of a connection
/// before its process binds it, or while a killed process is down. With 200
/// instances one of them regularly found its port taken.
fn listen_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let ports = usize::from(LAST_PORT - FIRST_PORT);
    // Fleets of other processes start their search elsewhere.
    let offset = std::process::id() as usize * PORT_STRIDE;
    let mut found = Vec::with_capacity(count);
    for step in 0..ports {
        if found.len() == count {
            return Ok(found);
        }
        let port = FIRST_PORT + ((offset + step) % ports) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
    }
    Err(io::Error::other(format!("fewer than {count} free ports")))
}

fn start_standin(
    kind: &str,
    name: &str,
    listen: SocketAddr,
    domain: DomainId,
    arguments: &[String],
) -> io::Result<FleetProcess> {
    let (child, address) = spawn_standin(kind, listen, arguments)?;
    Ok(FleetProcess {
        name: name.into(),
        address,
        domain,
        child,
        arguments: arguments.to_vec(),
    })
}

fn spawn_standin(
    kind: &str,
    listen: SocketAddr,
    arguments: &[String],
) -> io::Result<(ChildProcess, SocketAddr)> {
    let mut command = Command::new(binary_path("borageline-standin")?);
    command
        .args([kind, "--listen", &listen.to_string()])
        .args(arguments);
    let (child, line): (ChildProcess, AddressLine) =
        start_and_read_address(command, START_LIMIT)?;
    Ok((child, line.address))
}

impl BenchFleet {
    /// Starts all processes and waits until every instance is ready.
    pub async fn start(plan: &FleetPlan) -> io::Result<Self> {
        let directory = std::env::temp_dir()
            .join(format!("borageline-bench-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let first = domain_name(0);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut free =
            listen_addresses(plan.engines + 2 * plan.instances)?.into_iter();
        let log = start_standin("log", "log", any, first.clone(), &[])?;
        let mut engines = Vec::new();
        for (index, listen) in free.by_ref().take(plan.engines).enumerate() {
            let name = format!("engine-{index}");
            let mut arguments = vec!["--id".into(), name.clone()];
            arguments.extend(["--model".into(), MODEL.into()]);
            arguments.extend(plan.engine_arguments.iter().cloned());
            let domain = domain_name(index % plan.domains);
            let engine =
                start_standin("engine", &name, listen, domain, &arguments)?;
            engines.push(engine);
        }
        let mut services = Vec::new();
        for index in 0..plan.services {
            let name = format!("{SERVICE}-{index}");
            let domain = domain_name(index % plan.domains);
            services.push(start_standin("service", &name, any, domain, &[])?);
        }
        let peers: Vec<SocketAddr> =
            free.by_ref().take(plan.instances).collect();
        let callers: Vec<SocketAddr> = free.collect();
        let mut entries = Vec::new();
        for (index, address) in peers.iter().enumerate() {
            let name = format!("instance-{index}");
            let domain = domain_name(index % plan.domains);
            let kind = ProcessKind::Instance;
            entries.push(listed(&name, kind, *address, &domain));
        }
        for engine in &engines {
            let kind = ProcessKind::Engine;
            let entry =
                listed(&engine.name, kind, engine.address, &engine.domain);
            entries.push(entry);
        }
        for service in &services {
            let name = SERVICE.parse().expect("constant is an id");
            let kind = ProcessKind::Service(name);
            let entry =
                listed(&service.name, kind, service.address, &service.domain);
            entries.push(entry);
        }
        let arguments: Vec<String> = entries
            .iter()
            .flat_map(|entry| {
                let json = serde_json::to_string(entry);
                ["--entry".into(), json.expect("an entry is JSON")]
            })
            .collect();
        let list = start_standin("list", "list", any, first, &arguments)?;
        let mut fleet = Self {
            log,
            list,
            engines,
            services,
            instances: Vec::new(),
            retired: Vec::new(),
            plan: plan.clone(),
            peers,
            directory,
        };
        fleet.write_configuration(plan).await?;
        for (index, caller) in callers.into_iter().enumerate() {
            let instance = fleet.start_instance(index, caller)?;
            fleet.instances.push(instance);
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts one instance with its settings file.
    fn start_instance(
        &self,
        index: usize,
        caller: SocketAddr,
    ) -> io::Result<FleetProcess> {
        let name = format!("instance-{index}");
        let domain = domain_name(index % self.plan.domains);
        let settings = json!({
            "instance": name,
            "failure_domain": domain,
            "caller_address": caller,
            "peer_address": self.peers[index],
            "seeds": &self.peers[..self.peers.len().min(3)],
            "fleet_secret": FLEET_SECRET,
            "log_service": self.log.address,
            "instance_list": self.list.address,
            "policy": self.plan.policy,
            "limits": { "address_ttl_ms": 1_000 },
        });
        let file = self.directory.join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string())?;
        let mut command = Command::new(binary_path("borageline")?);
        command.arg("serve").arg("--config").arg(&file);
        for setting in &self.plan.settings {
            command.arg("--set").arg(setting);
        }
        let log = self.directory.join(format!("{name}.log"));
        command
            .stderr(fs::File::options().create(true).append(true).open(log)?);
        let child = ChildProcess::start(command)?;
        Ok(FleetProcess {
            name,
            address: caller,
            domain,
            child,
            arguments: Vec::new(),
        })
    }

    /// Kills the engines and instances of a failure domain with SIGKILL.
    pub fn kill_domain(&mut self, domain: &DomainId) -> io::Result<()> {
        let all = self.engines.iter_mut().chain(&mut self.instances);
        for process in all.filter(|process| process.domain == *domain) {
            process.child.kill()?;
        }
        Ok(())
    }

    /// Starts the engines and instances of a domain again where they were.
    pub fn restart_domain(&mut self, domain: &DomainId) -> io::Result<()> {
        for engine in &mut self.engines {
            if engine.domain == *domain {
                let (child, _) =
                    spawn_standin("engine", engine.address, &engine.arguments)?;
                let old = std::mem::replace(&mut engine.child, child);
                self.retired.push(old);
            }
        }
        for index in 0..self.instances.len() {
            if self.instances[index].domain == *domain {
                let address = self.instances[index].address;
                self.instances[index] = self.start_instance(index, address)?;
            }
        }
        Ok(())
    }

    /// Requests that engines received, of all domains or of one, also of
    /// engines that were killed; only with `--print-requests`.
    pub fn received(&self, domain: Option<&DomainId>) -> Vec<ReceivedLine> {
        let wanted = |process: &&FleetProcess| {
            domain.is_none_or(|domain| process.domain == *domain)
        };
        let engines = self.engines.iter().filter(wanted);
        let running = engines.map(|engine| &engine.child);
        // Killed engines count for every domain: only one is ever killed.
        let lines = running
            .chain(&self.retired)
            .flat_map(ChildProcess::output)
            .filter_map(|line| serde_json::from_str(&line).ok());
        lines.collect()
    }

    /// Waits until every instance says that it is ready.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let count = u32::try_from(self.instances.len()).unwrap_or(u32::MAX);
        let limit = READY_LIMIT + READY_LIMIT_EACH.saturating_mul(count);
        for instance in &self.instances {
            wait_http(instance.address, "/readyz", limit)
                .await
                .map_err(|error| {
                    let log = self.last_log_line(instance);
                    let text = format!("{}: {error:?}: {log}", instance.name);
                    io::Error::other(text)
                })?;
        }
        self.wait_models().await
    }

    /// Last line that an instance logged, for an error message.
    fn last_log_line(&self, instance: &FleetProcess) -> String {
        let file = self.directory.join(format!("{}.log", instance.name));
        let text = fs::read_to_string(file).unwrap_or_default();
        text.lines().last().unwrap_or("nothing logged").to_owned()
    }

    /// Waits until every instance knows the engines' models.
    async fn wait_models(&self) -> io::Result<()> {
        let client = CallerClient::new();
        let count = u32::try_from(self.instances.len()).unwrap_or(u32::MAX);
        let limit = READY_LIMIT + READY_LIMIT_EACH.saturating_mul(count);
        let until = Instant::now() + limit;
        for instance in &self.instances {
            loop {
                let body = json!({
                    "model": MODEL, "prompt": "ping", "max_tokens": 1,
                    "stream": false,
                });
                let answer = client
                    .send(
                        instance.address,
                        Method::POST,
                        "/v1/completions",
                        &workspace_key(0),
                        None,
                        body.to_string().into(),
                    )
                    .await;
                if matches!(answer, Ok((200, _))) {
                    break;
                }
                if Instant::now() > until {
                    let text = format!("{}: {answer:?}", instance.name);
                    return Err(io::Error::other(text));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn write_configuration(&self, plan: &FleetPlan) -> io::Result<()> {
        let record = FleetRecord::Order(FleetOrder {
            order: "bootstrap".parse().expect("constant is an id"),
            expect_version: None,
            issued_by: "bench".parse().expect("constant is an id"),
            changes: configuration(plan),
        });
        let value = serde_json::to_value(record)?;
        let body = serde_json::to_vec(&AppendRequest {
            records: vec![value],
        })?;
        let path = "/v1/streams/config/records";
        let client = CallerClient::new();
        let answer = client
            .send(self.log.address, Method::POST, path, "", None, body.into())
            .await;
        match answer {
            Ok((200, _)) => Ok(()),
            other => Err(io::Error::other(format!("{other:?}"))),
        }
    }

    /// Gives an order by way of one instance and returns its report.
    pub async fn order(
        &self,
        instance: usize,
        id: &OrderId,
        change: &FleetChange,
    ) -> Result<(u16, serde_json::Value), String> {
        let body = json!({ "order": id, "changes": [change] });
        let (status, body) = CallerClient::new()
            .send(
                self.instances[instance].address,
                Method::POST,
                "/v1/order",
                OPERATOR_KEY,
                None,
                body.to_string().into(),
            )
            .await?;
        let report = serde_json::from_slice(&body);
        Ok((status, report.map_err(|error| error.to_string())?))
    }

    /// Stops all instances as planned and waits for their ends.
    pub fn stop_instances(&mut self) -> io::Result<()> {
        for instance in &mut self.instances {
            instance.child.signal(ChildSignal::Terminate)?;
        }
        for instance in &mut self.instances {
            let status = instance.child.wait(READY_LIMIT)?;
            if !status.success() {
                let text = format!("{} ended with {status}", instance.name);
                return Err(io::Error::other(text));
            }
        }
        Ok(())
    }
}

impl Drop for BenchFleet {
    fn drop(&mut self) {
        // The directory has only settings and logs of this run.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn listed(
    name: &str,
    kind: ProcessKind,
    address: SocketAddr,
    domain: &DomainId,
) -> ListedProcess {
    ListedProcess {
        id: name.into(),
        kind,
        address,
        failure_domain: domain.clone(),
        leaving: false,
    }
}

fn configuration(plan: &FleetPlan) -> Vec<FleetChange> {
    let mut changes = vec![
        FleetChange::SetOperator {
            operator: "bench".parse().expect("constant is an id"),
            rule: OperatorRule {
                key_digest: digest(OPERATOR_KEY).into(),
                role: OperatorRole::Admin,
            },
        },
        FleetChange::SetService {
            service: SERVICE.parse().expect("constant is an id"),
            rule: ServiceRule {
                routes: vec![RouteRule {
                    method: "GET".into(),
                    path_prefix: "/".into(),
                    idempotent: true,
                }],
                timeout_ms: 5_000,
            },
        },
    ];
    for index in 0..plan.workspaces {
        let workspace = format!("workspace-{index}");
        changes.push(FleetChange::SetWorkspace {
            workspace: workspace.parse().expect("name is an id"),
            rule: WorkspaceRule {
                key_digests: [digest(&workspace_key(index)).into()].into(),
                enabled: true,
                default_class: PriorityClass::Interactive,
                classes: PriorityClass::ALL.iter().copied().collect(),
                models: None,
                domains: None,
                limits: Vec::<LimitRule>::new(),
            },
        });
    }
    changes
}
