//! Encodes attempts into frames or search API requests and writes them to a connection, as far as it accepts them.

use std::io;
use std::rc::Rc;

use dunepond_search_api::node::RequestHead;

use super::{AttemptRequest, NodeConnection, OutstandingRequest};
use crate::body::Payload;
use crate::buffers::BUFFER_BYTES;
use crate::control_plane::{CheckedConfig, FreshWriter};
use crate::frames::{self, AttemptLine};

/// Length of the longest payload that is copied into its frame. For a short payload the copy costs less than a separate
/// chunk in the write queue.
const MAX_COPIED_TEXT_BYTES: usize = 2048;

/// The data that is needed to encode search API requests to one node.
pub(super) struct SearchApiFraming<'a> {
    /// Names of the query classes, which are the names of the indices.
    pub indices: &'a [String],
    /// For each query class, whether its queries must not run twice.
    pub non_idempotent: &'a [bool],
    /// The node's name, for the `Host` header.
    pub host: &'a str,
}

impl AttemptRequest {
    /// Returns the time until the attempt's deadline in milliseconds, at least 1.
    fn time_left_ms(&self, now: f64) -> u64 {
        ((self.deadline - now).max(0.001) * 1000.0) as u64
    }

    /// Returns the payload if it is inline and short enough to be copied into the frame.
    fn copied_text(&self) -> Option<Rc<str>> {
        match &self.payload {
            Payload::Inline(text) if text.len() <= MAX_COPIED_TEXT_BYTES => Some(text.clone()),
            _ => None,
        }
    }

    /// Returns the line of the frame that describes this attempt.
    fn line(&self, now: f64) -> AttemptLine<'_> {
        AttemptLine {
            id: &self.id,
            segment: self.segment,
            time_limit_ms: self.time_left_ms(now),
            length: self.payload.length(),
        }
    }
}

impl NodeConnection {
    /// Writes the frames that are queued, then frames and writes the waiting attempts. `search_api` is given if the
    /// node uses the search API: the attempts are then encoded as search API requests. `check` is given if the attempts
    /// were checked against the active configuration: the write fails if that check has become stale.
    pub(super) fn write(
        &mut self,
        now: f64,
        search_api: Option<&SearchApiFraming>,
        check: Option<&CheckedConfig>,
    ) -> io::Result<()> {
        loop {
            self.output.flush(FreshWriter { stream: &*self.stream, checked: check })?;
            if !self.output.is_empty() {
                self.unframe_unsent();
                return Ok(());
            }
            if self.next_unframed_batch().is_none() {
                return Ok(());
            }
            while self.output.pending_bytes() < BUFFER_BYTES
                && let Some(batch) = self.next_unframed_batch()
            {
                match search_api {
                    Some(search_api) => self.frame_search_request(now, batch, search_api),
                    None => self.frame_batch(now, batch),
                }
            }
        }
    }

    /// Returns the number of the first batch of attempts on this connection that is not framed yet.
    fn next_unframed_batch(&self) -> Option<u64> {
        self.outstanding.iter().find(|out| out.frame_end.is_none()).map(|out| out.batch)
    }

    /// Queues a batch of exactly one attempt as a request of the search API.
    fn frame_search_request(&mut self, now: f64, batch: u64, search_api: &SearchApiFraming) {
        let Some(out) = self.outstanding.iter_mut().find(|out| out.batch == batch) else { return };
        let request = &mut out.request;
        let operation =
            if search_api.non_idempotent[request.query_class] { "_update_by_query" } else { "_search" };
        let index = &search_api.indices[request.query_class];
        let (timeout_ms, length) = (request.time_left_ms(now), request.payload.length());
        out.frame_start = self.output.end_offset();
        let head = RequestHead {
            host: search_api.host,
            index,
            operation,
            segment: request.segment,
            id: &request.id,
            timeout_ms,
            body_bytes: length,
        };
        self.output.queue_bytes(&head.encode());
        if let Payload::Inline(text) = &request.payload {
            self.output.queue_text(text);
        }
        if let Some(reader) = request.body_reader.take() {
            self.output.queue_body(reader);
        }
        out.frame_end = Some(self.output.end_offset());
    }

    /// Queues one frame that contains all attempts of a batch.
    fn frame_batch(&mut self, now: f64, batch: u64) {
        let start = self.output.end_offset();
        let requests = self.outstanding.iter().filter(|out| out.batch == batch).map(|out| &out.request);
        match requests.clone().map(AttemptRequest::copied_text).collect::<Option<Vec<_>>>() {
            Some(texts) => {
                let attempts = requests.zip(&texts).map(|(request, text)| (request.line(now), &**text));
                self.output.queue_bytes(&frames::encode_attempts(attempts));
            }
            None => self.queue_without_copy(now, batch),
        }
        let end = Some(self.output.end_offset());
        for out in self.outstanding.iter_mut().filter(|out| out.batch == batch) {
            (out.frame_start, out.frame_end) = (start, end);
        }
    }

    /// Queues the frame of a batch without copying its payloads, which are long or streamed.
    fn queue_without_copy(&mut self, now: f64, batch: u64) {
        let requests = self.outstanding.iter().filter(|out| out.batch == batch).map(|out| &out.request);
        let lines: Vec<_> = requests.clone().map(|request| request.line(now).to_string()).collect();
        let payload_bytes: u64 = requests.map(|request| request.payload.length()).sum();
        let line_bytes = lines.iter().map(|line| line.len() as u64).sum::<u64>();
        let mut head = frames::attempts_head(line_bytes + payload_bytes).to_vec();
        let requests =
            self.outstanding.iter_mut().filter(|out| out.batch == batch).map(|out| &mut out.request);
        for (line, request) in lines.iter().zip(requests) {
            head.extend_from_slice(line.as_bytes());
            self.output.queue_vec(std::mem::take(&mut head));
            if let Payload::Inline(text) = &request.payload {
                self.output.queue_text(text);
            }
            if let Some(reader) = request.body_reader.take() {
                self.output.queue_body(reader);
            }
        }
    }

    /// Removes the frames of which no byte is written; their attempts are framed again later. By the time such a frame
    /// could be written, the time limits in it would be wrong, its queries may have ended and its node may be draining.
    fn unframe_unsent(&mut self) {
        let written = self.output.written_offset();
        let is_unsent = |out: &&mut OutstandingRequest| out.frame_end.is_some() && out.frame_start >= written;
        let Some(start) = self.outstanding.iter_mut().filter(is_unsent).map(|out| out.frame_start).min()
        else {
            return;
        };
        let mut reader = self.output.withdraw_from(start);
        for out in self.outstanding.iter_mut().filter(is_unsent) {
            out.frame_end = None;
            if out.request.payload.body().is_some() {
                out.request.body_reader = reader.take();
            }
        }
    }
}
