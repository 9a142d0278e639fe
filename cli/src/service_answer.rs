//! Answers of plain services, which are buffered as a whole.
//!
//! Each takes its bytes from the budget for bodies, and holds them until the
//! caller has received the answer, so that processes that send without end
//! cannot use up the memory together.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::{
    buffer::{ByteBudget, ByteReservation},
    http_client::{CallTarget, HttpError, RESPONSE_MAX},
    received_body::ReceivedBody,
};

/// Reads an answer within the target's timeout. Fails if it is larger than
/// [`RESPONSE_MAX`], or if the budget has no room for it.
pub(crate) async fn read_answer(
    target: CallTarget,
    mut body: ReceivedBody,
    budget: Arc<ByteBudget>,
) -> Result<Bytes, HttpError> {
    let until = Instant::now() + target.timeout;
    let mut reservation = ByteReservation::new(budget);
    let mut bytes = BytesMut::new();
    loop {
        let frame = match timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                return Err(broken(target, &error.to_string()));
            }
            Ok(None) => break,
            Err(_) => {
                return Err(HttpError::TimedOut {
                    step: target.step,
                    peer: target.peer,
                    after: target.timeout,
                });
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (bytes.len() + data.len()) as u64 > RESPONSE_MAX.get() {
            let text = format!("the answer is larger than {RESPONSE_MAX}");
            return Err(malformed(target, &text));
        }
        if !reservation.grow(data.len() as u64) {
            let text = "the instance buffers too many bodies and answers";
            return Err(malformed(target, text));
        }
        bytes.extend_from_slice(&data);
    }
    let bytes = bytes.freeze();
    Ok(Bytes::from_owner(HeldAnswer {
        bytes,
        _reservation: reservation,
    }))
}

fn broken(target: CallTarget, text: &str) -> HttpError {
    HttpError::Broken {
        step: target.step,
        peer: target.peer,
        message: text.into(),
    }
}

/// An answer that cannot be used; unlike a connection that broke, it is no sign
/// of a crash.
fn malformed(target: CallTarget, text: &str) -> HttpError {
    HttpError::Malformed {
        step: target.step,
        peer: target.peer,
        message: text.into(),
    }
}

/// Bytes of an answer with their part of the budget.
struct HeldAnswer {
    bytes: Bytes,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
