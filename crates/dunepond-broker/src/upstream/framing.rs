//! Frames attempts onto a connection: several together, as far as the connection accepts them.

use std::io;
use std::rc::Rc;

use dunepond_search_api::node::RequestHead;

use super::{AttemptRequest, NodeConnection, OutstandingRequest};
use crate::body::Payload;
use crate::buffers::BUFFER_BYTES;
use crate::control_plane::{CheckedConfig, FreshWriter};
use crate::frames::{self, AttemptLine};

/// A payload up to this length is copied into its frame: a separate chunk in the write queue would cost more.
const MAX_COPIED_TEXT_BYTES: usize = 2048;

/// What requests of the search API to one node need.
pub(super) struct SearchApiFraming<'a> {
    /// Names of the query classes.
    pub indices: &'a [String],
    /// Which of them must not run twice.
    pub non_idempotent: &'a [bool],
    /// The node's name.
    pub host: &'a str,
}

impl AttemptRequest {
    /// The time that is left for it, at least 1 ms.
    fn time_left_ms(&self, now: f64) -> u64 {
        ((self.deadline - now).max(0.001) * 1000.0) as u64
    }

    /// Its payload, if that is short enough to be copied.
    fn copied_text(&self) -> Option<Rc<str>> {
        match &self.payload {
            Payload::Inline(text) if text.len() <= MAX_COPIED_TEXT_BYTES => Some(text.clone()),
            _ => None,
        }
    }

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
    /// Frames the waiting attempts once the earlier frames are written; as search API requests where the node speaks it.
    /// `check` is the one under which the attempts may be sent, where it must not be stale when bytes are written.
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

    /// The first batch that is not framed yet.
    fn next_unframed_batch(&self) -> Option<u64> {
        self.outstanding.iter().find(|out| out.frame_end.is_none()).map(|out| out.batch)
    }

    /// Queues a request of the search API; such a batch is one attempt.
    fn frame_search_request(&mut self, now: f64, batch: u64, search_api: &SearchApiFraming) {
        let Some(out) = self.outstanding.iter_mut().find(|out| out.batch == batch) else { return };
        let request = &mut out.request;
        let action =
            if search_api.non_idempotent[request.query_class] { "_update_by_query" } else { "_search" };
        let index = &search_api.indices[request.query_class];
        let (wait, length) = (request.time_left_ms(now), request.payload.length());
        out.frame_start = self.output.end_offset();
        let head = RequestHead {
            host: search_api.host,
            index,
            operation: action,
            segment: request.segment,
            id: &request.id,
            timeout_ms: wait,
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

    /// Queues one frame with all attempts of a batch.
    fn frame_batch(&mut self, now: f64, batch: u64) {
        let from = self.output.end_offset();
        let requests = self.outstanding.iter().filter(|out| out.batch == batch).map(|out| &out.request);
        match requests.clone().map(AttemptRequest::copied_text).collect::<Option<Vec<_>>>() {
            Some(texts) => {
                let attempts = requests.zip(&texts).map(|(request, text)| (request.line(now), &**text));
                self.output.queue_bytes(&frames::encode_attempts(attempts));
            }
            None => self.queue_shared(now, batch),
        }
        let to = Some(self.output.end_offset());
        for out in self.outstanding.iter_mut().filter(|out| out.batch == batch) {
            (out.frame_start, out.frame_end) = (from, to);
        }
    }

    /// Queues the lines of a batch with payloads that are too long to be copied, or are streamed.
    fn queue_shared(&mut self, now: f64, batch: u64) {
        let requests = self.outstanding.iter().filter(|out| out.batch == batch).map(|out| &out.request);
        let lines: Vec<_> = requests.clone().map(|request| request.line(now).to_string()).collect();
        let payload_bytes: u64 = requests.map(|request| request.payload.length()).sum();
        let line_bytes = lines.iter().map(|line| line.len() as u64).sum::<u64>();
        let mut head = frames::attempts_head(line_bytes + payload_bytes).to_vec();
        let requests =
            self.outstanding.iter_mut().filter(|out| out.batch == batch).map(|out| &mut out.request);
        for (line, request) in lines.iter().zip(requests) {
            head.extend_from_slice(line.as_bytes());
            self.output.queue_small(std::mem::take(&mut head));
            if let Payload::Inline(text) = &request.payload {
                self.output.queue_text(text);
            }
            if let Some(reader) = request.body_reader.take() {
                self.output.queue_body(reader);
            }
        }
    }

    /// Removes the frames of which no byte is written: by the time that they could be, the time limit in them would be
    /// stale, their queries may have ended and their node may be draining.
    fn unframe_unsent(&mut self) {
        let begun = self.output.written_offset();
        let unbegun = |out: &&mut OutstandingRequest| out.frame_end.is_some() && out.frame_start >= begun;
        let Some(from) = self.outstanding.iter_mut().filter(unbegun).map(|out| out.frame_start).min() else {
            return;
        };
        let mut reader = self.output.withdraw_from(from);
        for out in self.outstanding.iter_mut().filter(unbegun) {
            out.frame_end = None;
            if out.request.payload.body().is_some() {
                out.request.body_reader = reader.take();
            }
        }
    }
}
