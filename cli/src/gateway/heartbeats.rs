//! Exchanges heartbeats between the instances, over UDP.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use borageline_lib::{
    gateway::{
        heartbeat_relay::HeartbeatTrailer,
        member_table::{Heartbeat, MemberChange},
        prompt_quarantine::PromptReport,
        reachability::LinkReport,
        request_limit::{LimitChange, LimitReport},
        wire::GatewayWire,
    },
    log_event::LogEvent,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::UdpSocket;

use super::{SharedGateway, prompt_quarantine};
use crate::{log_decision, logging};

/// Size of the receive buffer; a longer heartbeat is truncated and then
/// rejected.
const HEARTBEAT_MAX_BYTES: usize = 60 << 10;
/// Delay of a heartbeat that a request triggers, so that requests that arrive
/// together share one.
const HEARTBEAT_BATCH_DELAY: Duration = Duration::from_millis(5);
/// Interval at which the use of the engines is recorded; the metric counts
/// seconds.
const ENGINE_USE_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// Opens the socket and exchanges heartbeats until the process ends.
pub(super) async fn start<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> io::Result<()> {
    let address = context.settings().peer_address();
    let socket = Arc::new(UdpSocket::bind(address).await?);
    tokio::spawn(send_heartbeats(context.clone(), socket.clone()));
    tokio::spawn(receive_heartbeats(context.clone(), socket));
    tokio::spawn(record_engine_use(context.clone()));
    Ok(())
}

async fn send_heartbeats<W: GatewayWire>(
    context: SharedGateway<W>,
    socket: Arc<UdpSocket>,
) {
    loop {
        let now = context.now();
        let plan = {
            let mut core = context.core();
            for change in core.expire_members(now) {
                log_change(&change);
            }
            core.next_heartbeat(now)
        };
        let alive = context.core().instance_count(now);
        context
            .metrics
            .members
            .set(i64::try_from(alive).unwrap_or(i64::MAX));
        prompt_quarantine::handle_changes(&context);
        let heartbeat = encode(&plan.heartbeat);
        let findings = SharedFindings {
            prompts: plan.prompts,
            limits: plan.limits,
            links: plan.links,
        };
        let direct = datagram(&heartbeat, &plan.trailer, &findings);
        send_all(&socket, &direct, &plan.direct).await;
        let trailer = HeartbeatTrailer {
            relay: true,
            ..plan.trailer
        };
        let relayed = datagram(&heartbeat, &trailer, &findings);
        send_all(&socket, &relayed, &plan.relays).await;
        tokio::select! {
            () = tokio::time::sleep(plan.pause) => {}
            () = context.heartbeat_due.notified() => {
                tokio::time::sleep(HEARTBEAT_BATCH_DELAY).await;
            }
        }
    }
}

/// Records how evenly the engines are used until the process ends.
async fn record_engine_use<W: GatewayWire>(context: SharedGateway<W>) {
    loop {
        tokio::time::sleep(ENGINE_USE_INTERVAL).await;
        let engine_use = context.core().engine_use(context.now());
        for (service, engines) in &engine_use {
            context.metrics.record_engine_use(service, engines);
        }
    }
}

async fn receive_heartbeats<W: GatewayWire>(
    context: SharedGateway<W>,
    socket: Arc<UdpSocket>,
) {
    let mut buffer = vec![0; HEARTBEAT_MAX_BYTES];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                let text = format!("receiving heartbeats: {error}");
                logging::event(LogEvent::PeerUnreachable, &text);
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        let bytes = &buffer[..length];
        let received = match decode(bytes) {
            Ok(received) => received,
            Err(error) => {
                let text = format!("heartbeat of {length} bytes: {error}");
                logging::event(LogEvent::RecordSkipped, &text);
                continue;
            }
        };
        let now = context.now();
        let sender = received.heartbeat.ip;
        let ReceivedHeartbeat {
            heartbeat,
            trailer,
            findings,
            size,
        } = received;
        let receipt =
            context
                .core()
                .receive_heartbeat(now, heartbeat, trailer.clone());
        if let Some(change) = receipt.change {
            log_change(&change);
        }
        if let (false, Some(trailer)) = (receipt.relay_to.is_empty(), trailer) {
            let trailer = HeartbeatTrailer {
                relay: false,
                ..trailer
            };
            let relayed = datagram(&bytes[..size], &trailer, &findings);
            send_all(&socket, &relayed, &receipt.relay_to).await;
        }
        {
            let mut core = context.core();
            core.receive_prompt_report(now, findings.prompts);
            core.receive_limit_reports(now, &findings.limits);
            if receipt.is_accepted {
                core.receive_link_report(sender, findings.links);
            }
        }
        prompt_quarantine::handle_changes(&context);
        log_limit_changes(&context);
    }
}

/// What an instance learned of requests and upstreams that concerns all.
#[derive(Debug, Default)]
struct SharedFindings {
    prompts: PromptReport,
    limits: Vec<LimitReport>,
    links: LinkReport,
}

impl SharedFindings {
    fn is_empty(&self) -> bool {
        self.prompts == PromptReport::default()
            && self.limits.is_empty()
            && self.links == LinkReport::default()
    }
}

/// Content of a datagram.
struct ReceivedHeartbeat {
    heartbeat: Heartbeat,
    /// Data after the heartbeat; `None` if the sender's build sends none.
    trailer: Option<HeartbeatTrailer>,
    /// Data after the trailer; empty if the sender's build sends none.
    findings: SharedFindings,
    /// Size of the encoded heartbeat in bytes.
    size: usize,
}

fn encode(heartbeat: &Heartbeat) -> Vec<u8> {
    bincode::serialize(heartbeat).expect("heartbeats contain only plain values")
}

/// Content of a datagram. Builds that do not know its last parts ignore them.
fn datagram(
    heartbeat: &[u8],
    trailer: &HeartbeatTrailer,
    findings: &SharedFindings,
) -> Vec<u8> {
    let mut bytes = heartbeat.to_vec();
    bincode::serialize_into(&mut bytes, trailer)
        .expect("trailers contain only plain values");
    if findings.is_empty() {
        return bytes;
    }
    bincode::serialize_into(&mut bytes, &findings.prompts)
        .expect("reports contain only plain values");
    bincode::serialize_into(&mut bytes, &findings.limits)
        .expect("reports contain only plain values");
    bincode::serialize_into(&mut bytes, &findings.links)
        .expect("reports contain only plain values");
    bytes
}

fn decode(bytes: &[u8]) -> Result<ReceivedHeartbeat, bincode::Error> {
    let (heartbeat, rest) = decode_first::<Heartbeat>(bytes)?;
    let mut received = ReceivedHeartbeat {
        heartbeat,
        trailer: None,
        findings: SharedFindings::default(),
        size: bytes.len() - rest.len(),
    };
    if rest.is_empty() {
        return Ok(received);
    }
    let (trailer, rest) = decode_first(rest)?;
    received.trailer = Some(trailer);
    if rest.is_empty() {
        return Ok(received);
    }
    let (prompts, after_prompts) = decode_first(rest)?;
    received.findings.prompts = prompts;
    if !after_prompts.is_empty() {
        let rest;
        (received.findings.limits, rest) = decode_first(after_prompts)?;
        if !rest.is_empty() {
            (received.findings.links, _) = decode_first(rest)?;
        }
    }
    Ok(received)
}

/// Decodes the value at the beginning; returns it and the bytes after it.
pub(super) fn decode_first<T: Serialize + DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, &[u8]), bincode::Error> {
    // Decoding from a slice bounds every length by the size of the datagram.
    let value: T = bincode::deserialize(bytes)?;
    let size = bincode::serialized_size(&value)?;
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    Ok((value, bytes.get(size..).unwrap_or_default()))
}

async fn send_all(socket: &UdpSocket, bytes: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        if let Err(error) = socket.send_to(bytes, target).await {
            let text = format!("heartbeat to {target}: {error}");
            logging::event(LogEvent::PeerUnreachable, &text);
        }
    }
}

/// Logs the limits of upstreams that have changed; returns whether there are
/// any.
pub(super) fn log_limit_changes<W: GatewayWire>(
    context: &SharedGateway<W>,
) -> bool {
    let changes = context.core().take_limit_changes();
    let is_changed = !changes.is_empty();
    for LimitChange { process, limit } in changes {
        let text =
            limit.map_or_else(|| "none".into(), |limit| limit.to_string());
        log_decision!(
            LogEvent::UpstreamLimitChanged,
            { upstream = process.upstream, limit = text },
            "limit of {}: {text}", process.upstream,
        );
    }
    is_changed
}

fn log_change(change: &MemberChange) {
    let (instance, state) = match change {
        MemberChange::Joined(instance) => (instance, "joined"),
        MemberChange::Leaving(instance) => (instance, "leaving"),
        MemberChange::Silent(instance) => (instance, "silent"),
    };
    log_decision!(
        LogEvent::MemberChanged,
        { instance = instance, state = state },
        "{instance} is {state}",
    );
}
