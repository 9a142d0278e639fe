//! Exchanges counts, times and notices with the other instances, over UDP.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, OnceLock},
    time::Duration,
};

use borageline_lib::{
    gateway::{
        usage_exchange::{
            OutgoingMessage, SEND_INTERVAL, UsageMembers, UsageMessage,
        },
        wire::GatewayWire,
    },
    log_event::LogEvent,
};
use tokio::{
    net::UdpSocket,
    time::{MissedTickBehavior, interval},
};

use super::{super::SharedGateway, wall_time};
use crate::logging;

/// Size of the receive buffer. A longer datagram is truncated and then rejected.
const DATAGRAM_MAX_BYTES: usize = 8 << 10;
/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);
/// Times that the last counts of a process are sent: nobody sends them again.
const LAST_SENDS: u32 = 2;
/// Pause between them.
const LAST_SEND_PAUSE: Duration = Duration::from_millis(20);

/// Socket of the exchange.
#[derive(Debug, Default)]
pub(in crate::gateway) struct UsageSocket(OnceLock<Arc<UdpSocket>>);

/// Starts the exchange.
pub(super) fn start<W: GatewayWire>(
    context: &SharedGateway<W>,
    socket: Arc<UdpSocket>,
) {
    let socket = context.usage_socket.0.get_or_init(|| socket).clone();
    tokio::spawn(send_messages(context.clone(), socket.clone()));
    tokio::spawn(receive_messages(context.clone(), socket));
}

async fn send_messages<W: GatewayWire>(
    context: SharedGateway<W>,
    socket: Arc<UdpSocket>,
) {
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let (alive, candidates) = {
            let now = context.now();
            let core = context.core();
            (core.alive_members(now), core.lease_candidates(now))
        };
        let members = UsageMembers {
            alive: &alive,
            candidates: &candidates,
        };
        let messages = context.usage.with(|state, now| {
            let exchange = &mut state.exchange;
            let messages = exchange.next_messages(now, wall_time(), members);
            context.metrics.usage.set_late_begins(exchange.late());
            messages
        });
        let messages = messages.unwrap_or_default();
        send_all(&context, &socket, messages).await;
    }
}

async fn receive_messages<W: GatewayWire>(
    context: SharedGateway<W>,
    socket: Arc<UdpSocket>,
) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, source) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                let text = format!("receiving usage counts: {error}");
                logging::event(LogEvent::PeerUnreachable, &text);
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        // A newer build may send messages that this one does not know.
        let decoded = bincode::deserialize::<UsageMessage>(&buffer[..length]);
        let Ok(message) = decoded else {
            context.metrics.usage.count_unknown_datagram();
            continue;
        };
        let from = source.ip();
        let replies = context.usage.with(|state, now| {
            let exchange = &mut state.exchange;
            exchange.receive(now, wall_time(), from, &message)
        });
        send_all(&context, &socket, replies.unwrap_or_default()).await;
    }
}

/// Sends the counts that the candidates may lack when the process ends.
pub(super) async fn finish<W: GatewayWire>(context: &SharedGateway<W>) {
    let Some(socket) = context.usage_socket.0.get().cloned() else {
        return;
    };
    for _ in 0..LAST_SENDS {
        let messages = context
            .usage
            .with(|state, now| state.exchange.last_messages(now, wall_time()));
        send_all(context, &socket, messages.unwrap_or_default()).await;
        tokio::time::sleep(LAST_SEND_PAUSE).await;
    }
}

async fn send_all<W: GatewayWire>(
    context: &SharedGateway<W>,
    socket: &UdpSocket,
    messages: Vec<OutgoingMessage>,
) {
    let port = context.settings().peer_ports[1];
    for OutgoingMessage { targets, message } in messages {
        let bytes = bincode::serialize(&message)
            .expect("messages contain only plain values");
        for target in targets {
            send(socket, target, port, &bytes).await;
        }
    }
}

async fn send(socket: &UdpSocket, target: IpAddr, port: u16, bytes: &[u8]) {
    let target = SocketAddr::new(target, port);
    // Lost counts are sent again; an instance that has gone is left out soon.
    if let Err(error) = socket.send_to(bytes, target).await {
        let text = format!("usage counts to {target}: {error}");
        logging::event(LogEvent::PeerUnreachable, &text);
    }
}
