//! Counts the requests that upstreams begin to run, and reports them.
//!
//! Runs only if the settings name the duty. A begin is counted on the instance
//! that sent the request to the upstream, which may do so for another one, so
//! that each is counted once.

mod exchange_task;
mod report_task;
mod usage_metrics;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use borageline_lib::{
    gateway::{
        duty::DutyName,
        fleet_clock::WallTime,
        gateway_settings::GatewaySettings,
        routing_config::{AnswerForm, CallerIdentity, WorkspaceName},
        usage_counts::{UsageSchedule, UsageSender, WindowNumber},
        usage_exchange::{UsageExchange, table_memory},
        usage_report::UsageReporter,
        wire::GatewayWire,
    },
    log_event::LogEvent,
    units::{Incarnation, Timestamp},
};
use http::response::Parts as ResponseParts;
use tokio::net::UdpSocket;

pub(super) use self::{
    exchange_task::UsageSocket, usage_metrics::UsageMetrics,
};
use super::{SharedGateway, forward::CallerAttempt, unix_millis};
use crate::logging;

/// Pause after the port for counts could not be opened.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Counts and reports of an instance.
#[derive(Debug)]
struct UsageState {
    exchange: UsageExchange,
    reporter: UsageReporter,
}

/// Counts begins. Counts nothing if the fleet has no such duty.
#[derive(Debug)]
pub(super) struct UsageMeter {
    state: Option<Mutex<UsageState>>,
    started: Instant,
}

/// Whether the second peer port is another one than the first, which the
/// heartbeats use.
fn has_port(settings: &GatewaySettings) -> bool {
    let [first, second] = settings.peer_ports;
    first != second
}

/// Time of day of this instance.
fn wall_time() -> WallTime {
    WallTime::new(unix_millis())
}

impl UsageMeter {
    /// Creates the meter of an instance that has just started.
    pub(super) fn new(
        settings: &GatewaySettings,
        incarnation: Incarnation,
    ) -> Self {
        let started = Instant::now();
        let duties = settings.duties.as_ref();
        let duties = duties.filter(|it| it.includes(DutyName::Metering));
        let duties = duties.filter(|_| has_port(settings));
        let state = duties.map(|duties| {
            let schedule = UsageSchedule::new(duties);
            let own = UsageSender {
                ip: settings.ip,
                incarnation,
            };
            let exchange = UsageExchange::new(
                Timestamp::ZERO,
                wall_time(),
                own,
                schedule,
                table_memory(settings.memory_mb),
            );
            let window = exchange.window(Timestamp::ZERO);
            let reporter = UsageReporter::new(schedule, window);
            Mutex::new(UsageState { exchange, reporter })
        });
        Self { state, started }
    }

    /// Uses the state, with the time; `None` without the duty.
    fn with<T>(
        &self,
        operate: impl FnOnce(&mut UsageState, Timestamp) -> T,
    ) -> Option<T> {
        let state = self.state.as_ref()?.lock();
        let mut state = state.unwrap_or_else(PoisonError::into_inner);
        let now = Timestamp::ZERO.after(self.started.elapsed());
        Some(operate(&mut state, now))
    }

    fn is_on(&self) -> bool {
        self.state.is_some()
    }
}

/// A stream that has not begun. It counts when its first event arrives.
#[derive(Debug)]
pub(super) struct StreamBegin {
    meter: Arc<UsageMeter>,
    workspace: WorkspaceName,
}

impl StreamBegin {
    /// Counts the stream.
    pub(super) fn record(self) {
        let workspace = &self.workspace;
        self.meter
            .with(|state, now| state.exchange.count(now, workspace));
    }
}

/// A call that was sent to an upstream. It counts when its answer shows that the
/// upstream ran it, in the window in which it was sent.
#[derive(Debug)]
pub(super) struct CallBegin {
    meter: Arc<UsageMeter>,
    window: WindowNumber,
    workspace: Option<WorkspaceName>,
    has_run: bool,
}

impl CallBegin {
    /// Counts the call.
    pub(super) fn record(mut self) {
        self.has_run = true;
    }
}

impl Drop for CallBegin {
    fn drop(&mut self) {
        let workspace = self.workspace.take().filter(|_| self.has_run);
        let (window, workspace) = (self.window, workspace.as_ref());
        self.meter
            .with(|state, _| state.exchange.end_call(window, workspace));
    }
}

impl<W: GatewayWire> CallerAttempt<W> {
    /// Workspace for which the request counts; `None` for an anonymous one and
    /// without the duty.
    fn metered_workspace(&self) -> Option<WorkspaceName> {
        match &self.admitted.identity {
            CallerIdentity::Workspace(workspace)
                if self.context.usage.is_on() =>
            {
                Some(workspace.name.clone())
            }
            _ => None,
        }
    }

    /// Records that the request is sent now, if it is a call.
    pub(super) fn begin_metered_call(&self) -> Option<CallBegin> {
        if self.admitted.route.form != AnswerForm::Whole {
            return None;
        }
        let workspace = self.metered_workspace()?;
        let meter = self.context.usage.clone();
        let window = meter.with(|state, now| state.exchange.begin_call(now))?;
        Some(CallBegin {
            meter,
            window,
            workspace: Some(workspace),
            has_run: false,
        })
    }

    /// The stream whose head has arrived, if the request asked for one.
    pub(super) fn metered_stream(
        &self,
        head: &ResponseParts,
    ) -> Option<StreamBegin> {
        let is_stream = self.admitted.route.form == AnswerForm::Events
            && head.status.is_success()
            && self.context.wire.is_authentic_answer(head);
        if !is_stream {
            return None;
        }
        Some(StreamBegin {
            workspace: self.metered_workspace()?,
            meter: self.context.usage.clone(),
        })
    }
}

/// Starts to exchange counts and to report them, if the fleet has the duty.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    let settings = context.settings();
    let duties = settings.duties.as_ref();
    let has_duty = duties.is_some_and(|it| it.includes(DutyName::Metering));
    if has_duty && !has_port(&settings) {
        let text = "usage is not counted: there is no second peer port";
        logging::event(LogEvent::UsageUnavailable, text);
    }
    if context.usage.is_on() {
        tokio::spawn(run(context.clone()));
    }
}

/// Opens the port and starts the tasks. Callers are served meanwhile: the counts
/// of some windows are kept until they can be sent.
async fn run<W: GatewayWire>(context: SharedGateway<W>) {
    let settings = context.settings();
    let address = SocketAddr::new(settings.ip, settings.peer_ports[1]);
    let socket = loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => break Arc::new(socket),
            Err(error) => {
                let text = format!("cannot open {address}: {error}");
                logging::event(LogEvent::UsageUnavailable, &text);
                tokio::time::sleep(BIND_RETRY_PAUSE).await;
            }
        }
    };
    exchange_task::start(&context, socket);
    report_task::start(&context);
}

/// Hands over all counts, since the process is about to end.
pub(super) async fn finish<W: GatewayWire>(context: &SharedGateway<W>) {
    exchange_task::finish(context).await;
}
