//! Registers this instance in the store, where others find its address.
//!
//! A restored store may have lost the record, so it is written again then.

use std::time::Duration;

use borageline_lib::{
    gateway::wire::{GatewayWire, KeyedRecord, StoreTopic},
    log_event::LogEvent,
};
use http::StatusCode;

use super::{
    SharedGateway,
    store_client::{STORE_TIMEOUT, call_store},
};
use crate::logging;

/// Pause after the first failed call; it doubles with each further one.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Longest pause after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(2_400);
/// Time that the store needs for one record. Instances that register again
/// together spread their writes accordingly.
const RECORD_TIME: Duration = Duration::from_millis(5);

/// Starts to publish this instance's address, and reads those of the others.
pub(super) fn start<W: GatewayWire>(context: &SharedGateway<W>) {
    tokio::spawn(register(context.clone()));
}

async fn register<W: GatewayWire>(context: SharedGateway<W>) {
    let now = context.now();
    let heartbeat = context.core().heartbeat(now);
    let record = context.wire.write_instance(&heartbeat);
    let mut eras = context.store_eras.subscribe();
    publish_address(&context, &record).await;
    read_addresses(&context).await;
    while eras.changed().await.is_ok() {
        let instances = context.core().instance_count(context.now());
        let spread = RECORD_TIME.mul_f64(instances as f64);
        tokio::time::sleep(spread.mul_f64(rand::random::<f64>())).await;
        eras.mark_unchanged();
        publish_address(&context, &record).await;
    }
}

/// Writes this instance's record, until the store has acknowledged it.
async fn publish_address<W: GatewayWire>(
    context: &SharedGateway<W>,
    record: &KeyedRecord,
) {
    let mut pause = RETRY_DELAY_MIN;
    loop {
        let request = context.wire.append(StoreTopic::Instances, record);
        let text = match call_store(context, request, STORE_TIMEOUT).await {
            Ok(response) if response.status == StatusCode::OK => return,
            Ok(response) => format!("status {}", response.status),
            Err(error) => error.to_string(),
        };
        let text = format!("registration of the instance: {text}");
        logging::event(LogEvent::LogUnavailable, &text);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(RETRY_DELAY_MAX);
    }
}

async fn read_addresses<W: GatewayWire>(context: &SharedGateway<W>) {
    loop {
        let request = context.wire.newest(StoreTopic::Instances, None);
        let page = match call_store(context, request, STORE_TIMEOUT).await {
            Ok(response) if response.status == StatusCode::OK => {
                context.wire.read_newest(&response.body).ok()
            }
            _ => None,
        };
        if let Some(page) = page {
            for record in &page.records {
                if let Some(ip) = context.wire.read_instance(record) {
                    context.core().add_probe_address(ip);
                }
            }
            return;
        }
        tokio::time::sleep(RETRY_DELAY_MAX).await;
    }
}
