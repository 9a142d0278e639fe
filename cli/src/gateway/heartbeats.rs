//! Exchanges heartbeats between the instances, over UDP.

use std::{io, sync::Arc, time::Duration};

use borageline_lib::{
    gateway::{
        member_table::{Heartbeat, MemberChange},
        wire::GatewayWire,
    },
    log_event::LogEvent,
};
use tokio::net::UdpSocket;

use super::SharedGateway;
use crate::{log_decision, logging};

/// Size of the receive buffer; a longer heartbeat is truncated and then
/// rejected.
const HEARTBEAT_MAX_BYTES: usize = 60 << 10;
/// Delay of a heartbeat that a request triggers, so that requests that arrive
/// together share one.
const HEARTBEAT_BATCH_DELAY: Duration = Duration::from_millis(5);
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
    Ok(())
}

async fn send_heartbeats<W: GatewayWire>(
    context: SharedGateway<W>,
    socket: Arc<UdpSocket>,
) {
    loop {
        let now = context.now();
        let (heartbeat, targets, pause) = {
            let mut core = context.core();
            for change in core.expire_members(now) {
                log_change(&change);
            }
            core.next_heartbeat(now)
        };
        let alive = heartbeat.alive.len() + 1;
        let members = i64::try_from(alive).unwrap_or(i64::MAX);
        context.metrics.members.set(members);
        let bytes = bincode::serialize(&heartbeat)
            .expect("heartbeats contain only plain values");
        for target in targets {
            if let Err(error) = socket.send_to(&bytes, target).await {
                let text = format!("heartbeat to {target}: {error}");
                logging::event(LogEvent::PeerUnreachable, &text);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = context.heartbeat_due.notified() => {
                tokio::time::sleep(HEARTBEAT_BATCH_DELAY).await;
            }
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
        let heartbeat: Heartbeat = match bincode::deserialize(&buffer[..length])
        {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                let text = format!("heartbeat of {length} bytes: {error}");
                logging::event(LogEvent::RecordSkipped, &text);
                continue;
            }
        };
        let now = context.now();
        let change = context.core().receive_heartbeat(now, heartbeat);
        if let Some(change) = change {
            log_change(&change);
        }
    }
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
