//! Completion stream of the stand-in engine, with injected stream faults.
//!
//! Renders the progress of an entry in the simulation as server-sent events.
//! A stream attaches to the entry and detaches when dropped; the completion
//! continues without it.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use borageline_lib::{
    api::{
        CompletionChoice, CompletionChunk, END_MARKER, ErrorBody, ErrorDetail,
    },
    ids::RequestId,
    refusal::RunState,
};
use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::{
    content,
    engine::Engine,
    engine_config::{EntryEnd, EntryKey, EntryReader},
    fault::{decrement_if_left, lock},
    http_server::{CutConnection, HandlerResult, ResponseBody},
};

/// Request id of the chunks that the fault `foreign_id` adds.
pub const FOREIGN_ID: &str = "foreign-request";

/// Stream faults: remaining counts, and their parameters.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamFaults {
    pub(crate) foreign: u64,
    pub(crate) duplicate: u64,
    pub(crate) truncate: u64,
    pub(crate) truncate_after: u64,
    pub(crate) late: u64,
    pub(crate) late_ms: u64,
}

/// Reader of a completion, which detaches when dropped.
pub(crate) struct ChunkStream {
    engine: Arc<Engine>,
    key: EntryKey,
    reader: EntryReader,
    next: u64,
    last_sent: bool,
    end_sent: bool,
    chunks_left: Option<u64>,
    queue: VecDeque<Bytes>,
}

impl Drop for ChunkStream {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut sim = lock(&self.engine.sim);
        sim.detach(&self.key, &self.reader, self.end_sent, now);
        drop(sim);
        self.engine.wake.notify_one();
    }
}

impl ChunkStream {
    pub(crate) fn new(
        engine: Arc<Engine>,
        key: EntryKey,
        reader: EntryReader,
        from: u64,
    ) -> Self {
        let mut faults = lock(&engine.stream_faults);
        let chunks_left = decrement_if_left(&mut faults.truncate)
            .then_some(faults.truncate_after);
        drop(faults);
        Self {
            engine,
            key,
            reader,
            next: from,
            last_sent: false,
            end_sent: false,
            chunks_left,
            queue: VecDeque::new(),
        }
    }

    /// Converts the stream to an HTTP response.
    pub(crate) fn into_response(self) -> HandlerResult {
        let request = HeaderValue::from_str(self.key.0.as_str());
        let request = request.map_err(|_| CutConnection)?;
        let frames = stream::try_unfold(self, |mut chunks| async move {
            let bytes = chunks.next_bytes().await?;
            Ok(bytes.map(|bytes| (Frame::data(bytes), chunks)))
        });
        let body: ResponseBody = StreamBody::new(frames).boxed_unsync();
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, kind);
        headers.insert(borageline_lib::api::REQUEST_ID_HEADER, request);
        Ok(response)
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, CutConnection> {
        if let Some(bytes) = self.queue.pop_front() {
            return Ok(Some(bytes));
        }
        if self.end_sent {
            return Ok(None);
        }
        if self.chunks_left == Some(0) {
            // The server discards what it has not written yet when the body
            // fails, and it writes once the body is pending.
            tokio::task::yield_now().await;
            return Err(CutConnection);
        }
        if self.last_sent {
            self.end_sent = true;
            return Ok(Some(event(END_MARKER)));
        }
        let next = self.next;
        let mut progress = self.reader.progress.clone();
        let ready = progress
            .wait_for(|now| now.generated > next || now.end.is_some())
            .await
            .map(|now| *now)
            .map_err(|_| CutConnection)?;
        self.delay_chunk().await;
        self.engine.gate.wait_unfrozen().await;
        if ready.generated <= next {
            match ready.end {
                Some(EntryEnd::Finished) => {}
                Some(EntryEnd::Expired) => return Ok(Some(self.expired())),
                _ => return Err(CutConnection),
            }
        }
        self.queue_chunks(ready.generated)?;
        Ok(self.queue.pop_front())
    }

    async fn delay_chunk(&self) {
        let late_ms = {
            let mut faults = lock(&self.engine.stream_faults);
            decrement_if_left(&mut faults.late).then_some(faults.late_ms)
        };
        if let Some(late_ms) = late_ms {
            let delay = std::time::Duration::from_millis(late_ms);
            tokio::time::sleep(delay).await;
        }
    }

    /// Error event that ends the stream in place of the end marker.
    fn expired(&mut self) -> Bytes {
        self.end_sent = true;
        let error = ErrorDetail {
            code: "deadline_exceeded".into(),
            message: "the deadline has passed at the engine".into(),
            run_state: RunState::Ran,
            retry_after_ms: None,
            request_id: Some(self.key.0.clone()),
        };
        let body = serde_json::to_string(&ErrorBody { error });
        event(&body.unwrap_or_default())
    }

    fn queue_chunks(&mut self, generated: u64) -> Result<(), CutConnection> {
        let limit = self.engine.part_tokens;
        let available = generated.saturating_sub(self.next);
        let count = available.min(limit);
        let last = self.next + count >= self.reader.max_tokens;
        let text = content::text_range(self.reader.digest, self.next, count);
        let real = self.render(&self.key.0, self.next, count, text, last)?;
        let (foreign, duplicate) = {
            let mut faults = lock(&self.engine.stream_faults);
            let foreign = decrement_if_left(&mut faults.foreign);
            (foreign, decrement_if_left(&mut faults.duplicate))
        };
        if foreign {
            let id = FOREIGN_ID.parse().map_err(|_| CutConnection)?;
            let digest = !self.reader.digest;
            let text = content::text_range(digest, self.next, count);
            let chunk = self.render(&id, self.next, count, text, false)?;
            self.queue.push_back(chunk);
        }
        if duplicate {
            self.queue.push_back(real.clone());
        }
        self.queue.push_back(real);
        self.next += count;
        self.last_sent = last;
        if let Some(left) = &mut self.chunks_left {
            *left -= 1;
        }
        Ok(())
    }

    fn render(
        &self,
        id: &RequestId,
        index_from: u64,
        token_count: u64,
        text: String,
        last: bool,
    ) -> Result<Bytes, CutConnection> {
        let chunk = CompletionChunk {
            id: id.clone(),
            object: "text_completion".into(),
            model: self.reader.model.clone(),
            index_from,
            token_count,
            choices: vec![CompletionChoice {
                index: 0,
                text,
                finish_reason: last.then(|| "length".into()),
            }],
        };
        let text = serde_json::to_string(&chunk).map_err(|_| CutConnection)?;
        Ok(event(&text))
    }
}

fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
