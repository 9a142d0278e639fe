//! `borageline serve`: runs one instance until SIGTERM or SIGINT.

use std::{
    io,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use borageline_lib::{
    core::{CoreSetup, ServingCore},
    log_event::LogEvent,
    peer_api::{PeerRequest, PeerResponse},
    planned_stop::StopSchedule,
    settings::{InstanceSettings, SettingOverride},
    units::Incarnation,
};
use bpaf::{Bpaf, ShellComp};
use logforth::record::LevelFilter;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time::timeout_at,
};

use super::{load_settings, set_flags};
use crate::{
    context::{ServerContext, SharedContext},
    driver::{CoreDriver, CoreHandle, CoreStateMachine, DriverClients},
    engine_client::EngineClient,
    logging,
    metrics::ServerMetrics,
    peers::{PeerPool, PoolConfig, serve_peers_metered},
    platform::PlatformClient,
    relay::{RelayClient, RelayServer},
    server::{bind_callers, serve_callers},
};

/// Exit code for invalid settings.
const SETTINGS_ERROR: u8 = 2;

/// Run one instance until it is told to stop.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("serve"),
    footer("Example: borageline serve --config entry-1.jsonc")
)]
pub struct ServeOptions {
    /// Settings file, JSON with comments
    #[bpaf(
        long,
        argument("FILE"),
        complete_shell(ShellComp::File { mask: None })
    )]
    pub config: PathBuf,
    /// Values that take precedence over the file's.
    #[bpaf(external(set_flags))]
    pub set: Vec<SettingOverride>,
}

/// Runs an instance until SIGTERM or SIGINT, then makes a planned stop.
pub fn run(options: &ServeOptions) -> ExitCode {
    let settings = match load_settings(&options.config, &options.set) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(SETTINGS_ERROR);
        }
    };
    let level = LevelFilter::MoreSevereEqual(logforth::record::Level::Info);
    if let Err(error) = logging::start(level) {
        eprintln!("log cannot be started: {error}");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime
        .and_then(|runtime| runtime.block_on(async { serve(settings).await }));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("instance has stopped: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: InstanceSettings) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let instance = RunningInstance::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    instance.stop().await;
    Ok(())
}

/// A running instance with its listeners and tasks.
#[derive(Debug)]
pub struct RunningInstance {
    context: SharedContext,
    callers: JoinHandle<usize>,
    peers: JoinHandle<io::Result<()>>,
    relays: Arc<RelayServer>,
    sharing: JoinHandle<()>,
    driver: JoinHandle<()>,
}

impl RunningInstance {
    /// Opens the listeners and starts to serve. If a port in the settings is
    /// zero, the system chooses one; see the settings in [`Self::context`].
    pub async fn start(settings: InstanceSettings) -> io::Result<Self> {
        Self::start_with(settings, ServingCore::new).await
    }

    /// Like [`Self::start`], with a core that `build` creates.
    pub async fn start_with<C: CoreStateMachine>(
        mut settings: InstanceSettings,
        build: impl FnOnce(CoreSetup) -> C,
    ) -> io::Result<Self> {
        let callers = bind_callers(settings.caller_address)?;
        let peers = TcpListener::bind(settings.peer_address).await?;
        settings.caller_address = callers.local_addr()?;
        settings.peer_address = peers.local_addr()?;
        let settings = Arc::new(settings);
        let incarnation = start_incarnation();
        let metrics = Arc::new(ServerMetrics::new());
        let relays = RelayClient::new(metrics.relayed_connections.clone());
        let engines = EngineClient::new(relays.clone());
        let clients = driver_clients(&settings, incarnation, engines.clone());
        let peer_pool = clients.peers.clone();
        let meter = peer_pool.meter();
        metrics.register_traffic(&meter);
        let (handle, driver) = CoreDriver::spawn(
            build(core_setup(&settings, incarnation)),
            clients,
            metrics.clone(),
        );
        relays.attach(handle.clone(), peer_pool.clone());
        let relay_server = RelayServer::new(relays.clone());
        let context = SharedContext::new(ServerContext::new(
            settings.clone(),
            incarnation,
            handle.clone(),
            engines,
            relays,
            metrics,
        ));
        let callers = tokio::spawn(serve_callers(callers, context.clone()));
        let secret = settings.fleet_secret.clone();
        let quarantine = context.quarantine.clone();
        let sharing =
            tokio::spawn(quarantine.clone().share(handle.clone(), peer_pool));
        let opener = relay_server.clone();
        let answer = move |from, incarnation, message| {
            let handle = handle.clone();
            let quarantine = quarantine.clone();
            let opener = opener.clone();
            async move {
                match message {
                    PeerRequest::ReportCrashes(report) => {
                        PeerResponse::Crashes(quarantine.exchange(report))
                    }
                    PeerRequest::OpenRelay(upstream) => {
                        let address = handle.published().address_of(&upstream);
                        PeerResponse::RelayOpened(match address {
                            Some(address) => opener.open(address).await,
                            None => None,
                        })
                    }
                    message => {
                        handle
                            .handle_peer_message(from, incarnation, message)
                            .await
                    }
                }
            }
        };
        let peers = tokio::spawn(serve_peers_metered(
            peers,
            secret,
            meter,
            Some(relay_server.clone()),
            answer,
        ));
        let text = format!(
            "{} serves callers at {}",
            settings.instance, settings.caller_address,
        );
        logging::event(LogEvent::InstanceStarted, &text);
        Ok(Self {
            context,
            callers,
            peers,
            relays: relay_server,
            sharing,
            driver,
        })
    }

    /// State that the HTTP handlers share.
    pub fn context(&self) -> &SharedContext {
        &self.context
    }

    /// Handle of the serving core.
    pub fn handle(&self) -> &CoreHandle {
        &self.context.handle
    }

    /// Makes a planned stop within the `stop_timeout` of the settings. Until
    /// the last address list with its address has expired, the instance still
    /// serves callers; then it closes the listener and waits for running
    /// requests.
    pub async fn stop(self) {
        let clock = self.context.handle.clock();
        let limits = &self.context.settings.limits;
        let schedule = StopSchedule::new(clock.now(), limits);
        let until = clock.instant(schedule.connections_close());
        self.context.stop.begin(schedule);
        self.relays.stop();
        self.context.handle.stop(schedule).await;
        // An error means that the task of the listener panicked.
        let open_connections = self.callers.await.unwrap_or_default();
        // The core hands its ownership over and withdraws its claims.
        let core = timeout_at(until, self.context.handle.stopped());
        let finished = core.await.is_ok();
        // Requests of other instances that go through this one.
        let relays = timeout_at(until, self.relays.drained());
        let relays_ended = relays.await.is_ok();
        self.peers.abort();
        self.sharing.abort();
        self.driver.abort();
        let text = format!(
            "planned stop finished; connections closed after the timeout: \
             {open_connections}; core finished: {finished}; relays ended: \
             {relays_ended}",
        );
        logging::event(LogEvent::StopDone, &text);
    }
}

fn start_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.unwrap_or_default().as_millis();
    Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

fn core_setup(
    settings: &InstanceSettings,
    incarnation: Incarnation,
) -> CoreSetup {
    CoreSetup {
        instance: settings.instance.clone(),
        incarnation,
        domain: settings.failure_domain.clone(),
        peer_address: settings.peer_address,
        caller_address: settings.caller_address,
        seeds: settings.seeds.clone(),
        seed: rand::random(),
        policy: settings.policy,
    }
}

fn driver_clients(
    settings: &InstanceSettings,
    incarnation: Incarnation,
    engines: EngineClient,
) -> DriverClients {
    let instance = settings.instance.clone();
    let secret = settings.fleet_secret.clone();
    let pool_config = PoolConfig::new(instance, incarnation, secret);
    DriverClients {
        engines,
        platform: PlatformClient::new(
            settings.log_service,
            settings.instance_list,
        ),
        peers: PeerPool::new(pool_config),
    }
}
