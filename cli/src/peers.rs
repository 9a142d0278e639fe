//! Calls between instances: tarpc over TCP with bincode.
//!
//! [`PeerPool`] keeps one connection per address and bounds what is in flight
//! on it; [`serve_peers`] answers. Whoever connects proves with an HMAC over a
//! nonce of the server that it knows the fleet's secret; the secret itself is
//! never sent. A call is never repeated here.

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
pub use pool::{PeerPool, PoolSetup};
pub use server::{serve_peers, serve_peers_metered};

/// Largest frame, in bytes; a larger one ends the connection.
pub const FRAME_MAX_BYTES: usize = 4 << 20;
/// Most calls in flight to one peer, and on one inbound connection.
pub const IN_FLIGHT_MAX: usize = 128;

/// Separates these proofs from other uses of the same secret.
const PROOF_CONTEXT: &[u8] = b"borageline peer proof";

/// What a server sends to whoever connects.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ServerChallenge {
    /// Random per connection, so that a proof is of no use on another one.
    nonce: [u8; 32],
    /// Versions of the messages that the server understands.
    versions: Vec<u16>,
}

/// The remote calls; a module of its own because the macro's output has no
/// documentation.
mod link {
    use borageline_lib::peer_api::{PeerEnvelope, PeerReply};

    use super::ServerChallenge;

    #[tarpc::service]
    pub(crate) trait PeerLink {
        async fn challenge() -> ServerChallenge;
        async fn exchange(envelope: PeerEnvelope) -> PeerReply;
    }
}

/// Proof that the sender of an envelope knows the fleet's secret.
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

fn proof_holds(
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

/// Frames and encodes messages on a connection.
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
