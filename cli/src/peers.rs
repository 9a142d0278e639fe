//! Calls between instances: tarpc over TCP with bincode.
//!
//! [`PeerPool`] keeps one connection per address and limits the calls in
//! flight on it; [`serve_peers`] answers calls. A client authenticates each
//! connection by an HMAC over a nonce from the server, with the fleet's secret
//! as the key; the secret itself is never sent. Calls are not retried here.

mod pool;
mod server;

use borageline_lib::{ids::InstanceId, peer_api::PeerEnvelope};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tarpc::{
    serde_transport::{self, Transport},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};

use crate::traffic::CountedStream;
pub use crate::traffic::{TrafficCount, TrafficMeter};
pub use pool::{PeerPool, PoolConfig};
pub use server::{serve_peers, serve_peers_metered};

/// Largest frame, in bytes; a larger one ends the connection.
pub const FRAME_MAX_BYTES: usize = 4 << 20;
/// Most calls in flight to one peer, and on one inbound connection.
pub const IN_FLIGHT_MAX: usize = 128;

/// Domain separator: keeps these proofs apart from other uses of the secret.
const PROOF_CONTEXT: &[u8] = b"borageline peer proof";

/// Answer to the call with which a client starts a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ServerChallenge {
    /// Random per connection, so that a proof is valid on that one only.
    nonce: [u8; 32],
    /// Message versions that the server supports.
    versions: Vec<u16>,
}

/// Definition of the remote calls, in a module of its own because the macro
/// generates items without documentation.
mod link {
    use borageline_lib::peer_api::{PeerEnvelope, PeerResponse};

    use super::ServerChallenge;

    #[tarpc::service]
    pub(crate) trait PeerLink {
        async fn challenge() -> ServerChallenge;
        async fn exchange(envelope: PeerEnvelope) -> PeerResponse;
    }
}

/// Computes the proof, in hex, that the sender of an envelope knows the
/// fleet's secret.
fn make_proof(
    secret: &str,
    version: u16,
    from: &InstanceId,
    incarnation: u64,
    nonce: &[u8; 32],
) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes())
        .expect("HMAC takes keys of any length");
    let name = from.as_str().as_bytes();
    mac.update(PROOF_CONTEXT);
    mac.update(&version.to_be_bytes());
    mac.update(&(name.len() as u64).to_be_bytes());
    mac.update(name);
    mac.update(&incarnation.to_be_bytes());
    mac.update(nonce);
    format!("{:x}", mac.finalize().into_bytes())
}

/// Whether the proof of an envelope is valid for a connection's nonce.
fn verify_proof(
    secret: &str,
    envelope: &PeerEnvelope,
    nonce: &[u8; 32],
) -> bool {
    let expected = make_proof(
        secret,
        envelope.version,
        &envelope.from,
        envelope.incarnation.get(),
        nonce,
    );
    let equal = expected.as_bytes().ct_eq(envelope.proof.as_bytes());
    equal.into()
}

/// Builds the transport that frames and encodes messages on a connection.
fn make_transport<Item, SinkItem>(
    stream: CountedStream,
) -> Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}
