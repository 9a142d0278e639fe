//! Calls between instances. Temporary: the `edge` branch replaces this file.

use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use borageline_lib::{
    core::CallFailure,
    ids::InstanceId,
    peer_api::{PeerMessage, PeerReply},
    refusal::RunState,
    units::Incarnation,
};
use tokio::net::TcpListener;

/// What a pool needs to start.
#[derive(Clone, Debug)]
pub struct PoolSetup {}

impl PoolSetup {
    /// Setup of an instance.
    pub fn new(
        _instance: InstanceId,
        _incarnation: Incarnation,
        _secret: Arc<str>,
    ) -> Self {
        Self {}
    }
}

/// Connections to other instances.
#[derive(Clone, Debug)]
pub struct PeerPool {}

impl PeerPool {
    /// A pool without connections.
    pub fn new(_setup: PoolSetup) -> Self {
        Self {}
    }

    /// Calls another instance.
    pub async fn call(
        &self,
        to: SocketAddr,
        _message: PeerMessage,
        _timeout: Duration,
    ) -> Result<PeerReply, CallFailure> {
        Err(CallFailure {
            run_state: RunState::NotRun,
            message: format!("call peer {to}: not implemented").into(),
        })
    }
}

/// Answers peers until it is dropped.
pub async fn serve_peers<H, F>(
    listener: TcpListener,
    _secret: Arc<str>,
    _handler: H,
) -> io::Result<()>
where
    H: Fn(InstanceId, Incarnation, PeerMessage) -> F
        + Clone
        + Send
        + Sync
        + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    loop {
        drop(listener.accept().await?);
    }
}
