//! Bodies of responses, whose end is checked.

use std::{
    fmt::{Display, Formatter},
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{Response, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::watched_stream::EarlyEnd;

/// Why a body could not be read to its end.
#[derive(Debug)]
pub enum ReceiveError {
    /// The connection broke.
    Broken(hyper::Error),
    /// The server ended the connection, and with it the body, before it had
    /// received the whole request.
    EndedEarly,
}

impl Display for ReceiveError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(formatter),
            Self::EndedEarly => formatter
                .write_str("the answer ended before the request was received"),
        }
    }
}

impl std::error::Error for ReceiveError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Broken(error) => error.source(),
            Self::EndedEarly => None,
        }
    }
}

/// Body of a response.
#[derive(Debug)]
pub struct ReceivedBody {
    body: Incoming,
    /// Whether the connection, with which the body ends, ended early; `None` if
    /// the end does not matter.
    early_end: Option<EarlyEnd>,
}

impl ReceivedBody {
    /// Checks the end of a response's body. A server that rejects a request need
    /// not read all of it, so only successes are checked.
    pub fn check(response: Response<Incoming>) -> Response<Self> {
        let is_checked = ends_with_connection(&response)
            && !response.status().is_client_error()
            && !response.status().is_server_error();
        let early_end = response.extensions().get::<EarlyEnd>().cloned();
        let early_end = early_end.filter(|_| is_checked);
        response.map(|body| Self { body, early_end })
    }
}

/// Whether the body of a response has neither a length nor an end of its own.
pub fn ends_with_connection(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_none()
        && !response.headers().contains_key(header::TRANSFER_ENCODING)
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = ReceiveError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReceiveError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(match frame {
            Some(frame) => Some(frame.map_err(ReceiveError::Broken)),
            None => self
                .early_end
                .take_if(|end| end.is_early())
                .map(|_| Err(ReceiveError::EndedEarly)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.early_end.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
