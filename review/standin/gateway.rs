//! Starts the program of the deploy file, with settings filled into its
//! template as the platform does.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http;

/// Program, arguments and template of the role in `deploy/system.toml`.
struct Role {
    run: Vec<String>,
    template: String,
}

fn read_role() -> Role {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy file");
    let value = |name: &str| {
        let line = text.lines().find(|line| {
            line.split_once('=')
                .is_some_and(|(it, _)| it.trim() == name)
        });
        let line = line.expect("the deploy file has the field");
        let (_, value) = line.split_once('=').expect("a field has a value");
        value.trim().trim_matches('"').to_owned()
    };
    let template = fs::read_to_string(value("template")).expect("template");
    Role {
        run: value("run").split(' ').map(str::to_owned).collect(),
        template,
    }
}

/// One gateway process.
pub struct Gateway {
    pub child: Child,
    pid_file: PathBuf,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.pid_file);
    }
}

impl Gateway {
    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Resident memory in MiB.
    pub fn memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"));
        let kb = line.and_then(|it| it.trim().split(' ').next()?.parse().ok());
        kb.unwrap_or(0.0) / 1024.0
    }
}

/// Where a deployment of gateways runs.
pub struct Plan<'a> {
    pub folder: &'a Path,
    pub store: SocketAddr,
    /// Zone of each gateway.
    pub zones: &'a [&'a str],
    /// Figures of the site, by their names in the settings.
    pub figures: &'a [(&'a str, &'a str)],
}

/// Ports that are free on all of these addresses.
fn free_ports(ips: &[Ipv4Addr], count: usize) -> Vec<u16> {
    let mut held = Vec::new();
    let mut ports = Vec::new();
    while ports.len() < count {
        let first = TcpListener::bind((ips[0], 0)).expect("a free port");
        let port = first.local_addr().expect("an address").port();
        held.push(first);
        let others: io::Result<Vec<_>> = ips[1..]
            .iter()
            .map(|ip| TcpListener::bind((*ip, port)))
            .collect();
        if let Ok(others) = others {
            held.extend(others);
            ports.push(port);
        }
    }
    ports
}

/// Starts all gateways and waits until they are ready.
pub fn start(plan: &Plan<'_>) -> Result<Vec<Gateway>, String> {
    let role = read_role();
    let pid = std::process::id();
    let ips: Vec<_> = (1..=plan.zones.len())
        .map(|host| {
            let [net, sub] = [64 + pid % 180, pid / 180 % 250];
            Ipv4Addr::new(127, net as u8, sub as u8, host as u8)
        })
        .collect();
    let ports = free_ports(&ips, 5);
    let [front, ready, directory, control, internal] = ports[..] else {
        unreachable!("five ports were asked for");
    };
    let seeds: Vec<_> =
        ips.iter().map(|ip| format!("\"{ip}:{control}\"")).collect();
    let mut gateways = Vec::new();
    for (ip, zone) in ips.iter().zip(plan.zones) {
        let text = |value: String| format!("\"{value}\"");
        let mut values = vec![
            ("node", text(format!("edge-{zone}-{ip}"))),
            ("zone", text((*zone).into())),
            ("ip", text(ip.to_string())),
            ("listen.front", text(format!("{ip}:{front}"))),
            ("listen.ready", text(format!("{ip}:{ready}"))),
            ("listen.directory", text(format!("{ip}:{directory}"))),
            ("internalPorts", format!("[{internal},{internal}]")),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("platform.address", text(plan.store.to_string())),
        ];
        let figures = plan.figures.iter();
        values.extend(figures.map(|(name, it)| (*name, (*it).to_owned())));
        let mut settings = role.template.clone();
        for section in ["{{#heartbeatMs}}", "{{/heartbeatMs}}"] {
            settings = settings.replace(section, "");
        }
        for (name, value) in values {
            settings =
                settings.replace(&format!("{{{{{name}|json}}}}"), &value);
        }
        if settings.contains("{{") {
            return Err(format!("the template needs more values: {settings}"));
        }
        let path = plan.folder.join(format!("{ip}.jsonc"));
        fs::write(&path, settings).map_err(|it| it.to_string())?;
        let child = spawn(&role, &path, plan.folder.join(format!("{ip}.log")))?;
        // The script ends what is left, should this program be killed.
        let pid_file = plan.folder.join(format!("{ip}.pid"));
        fs::write(&pid_file, child.id().to_string())
            .map_err(|it| it.to_string())?;
        gateways.push(Gateway {
            child,
            pid_file,
            ip: *ip,
            front: SocketAddr::new(IpAddr::V4(*ip), front),
            ready: SocketAddr::new(IpAddr::V4(*ip), ready),
        });
    }
    let until = Instant::now() + Duration::from_secs(20);
    for gateway in &gateways {
        while !is_ready(gateway.ready) {
            if Instant::now() > until {
                return Err(format!("{} does not become ready", gateway.ip));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(gateways)
}

fn spawn(role: &Role, settings: &Path, log: PathBuf) -> Result<Child, String> {
    let log = File::create(log).map_err(|it| it.to_string())?;
    let copy = log.try_clone().map_err(|it| it.to_string())?;
    Command::new(&role.run[0])
        .args(&role.run[1..])
        .env("BORAGELINE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(copy)
        .spawn()
        .map_err(|error| format!("{}: {error}", role.run[0]))
}

fn is_ready(address: SocketAddr) -> bool {
    let wait = Duration::from_secs(1);
    http::call(address, "GET", "/ready", &[("Host", "x")], b"", wait)
        .is_ok_and(|answer| answer.status() == 200)
}
