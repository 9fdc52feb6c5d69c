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
        ((self.until - now).max(0.001) * 1000.0) as u64
    }

    /// Its payload, if that is short enough to be copied.
    fn copied_text(&self) -> Option<Rc<str>> {
        match &self.text {
            Payload::Inline(text) if text.len() <= MAX_COPIED_TEXT_BYTES => Some(text.clone()),
            _ => None,
        }
    }

    fn line(&self, now: f64) -> AttemptLine<'_> {
        AttemptLine {
            id: &self.id,
            segment: self.seg,
            time_limit_ms: self.time_left_ms(now),
            length: self.text.length(),
        }
    }
}

impl NodeConnection {
    /// Frames the waiting attempts once the earlier frames are written; as search API requests where the node speaks it.
    /// `look` is the check under which the attempts may be sent, where it must not be stale when bytes are written.
    pub(super) fn write(
        &mut self,
        now: f64,
        search_api: Option<&SearchApiFraming>,
        look: Option<&CheckedConfig>,
    ) -> io::Result<()> {
        loop {
            self.out.flush(FreshWriter { stream: &*self.stream, checked: look })?;
            if !self.out.is_empty() {
                self.take_back_unsent();
                return Ok(());
            }
            if self.next_batch().is_none() {
                return Ok(());
            }
            while self.out.waiting() < BUFFER_BYTES
                && let Some(batch) = self.next_batch()
            {
                match search_api {
                    Some(search_api) => self.frame_search_request(now, batch, search_api),
                    None => self.frame_batch(now, batch),
                }
            }
        }
    }

    /// The first batch that is not framed yet.
    fn next_batch(&self) -> Option<u64> {
        self.outstanding.iter().find(|out| out.to.is_none()).map(|out| out.call)
    }

    /// Queues a request of the search API; such a batch is one attempt.
    fn frame_search_request(&mut self, now: f64, batch: u64, search_api: &SearchApiFraming) {
        let Some(out) = self.outstanding.iter_mut().find(|out| out.call == batch) else { return };
        let parcel = &mut out.parcel;
        let action =
            if search_api.non_idempotent[parcel.table_type] { "_update_by_query" } else { "_search" };
        let index = &search_api.indices[parcel.table_type];
        let (wait, length) = (parcel.time_left_ms(now), parcel.text.length());
        out.from = self.out.end();
        let head = RequestHead {
            host: search_api.host,
            index,
            operation: action,
            segment: parcel.seg,
            id: &parcel.id,
            timeout_ms: wait,
            body_bytes: length,
        };
        self.out.put(&head.encode());
        if let Payload::Inline(text) = &parcel.text {
            self.out.queue_text(text);
        }
        if let Some(reader) = parcel.reader.take() {
            self.out.queue_body(reader);
        }
        out.to = Some(self.out.end());
    }

    /// Queues one frame with all attempts of a batch.
    fn frame_batch(&mut self, now: f64, batch: u64) {
        let from = self.out.end();
        let parcels = self.outstanding.iter().filter(|out| out.call == batch).map(|out| &out.parcel);
        match parcels.clone().map(AttemptRequest::copied_text).collect::<Option<Vec<_>>>() {
            Some(texts) => {
                let attempts = parcels.zip(&texts).map(|(parcel, text)| (parcel.line(now), &**text));
                self.out.put(&frames::call(attempts));
            }
            None => self.queue_shared(now, batch),
        }
        let to = Some(self.out.end());
        for out in self.outstanding.iter_mut().filter(|out| out.call == batch) {
            (out.from, out.to) = (from, to);
        }
    }

    /// Queues the lines of a batch with payloads that are too long to be copied, or are streamed.
    fn queue_shared(&mut self, now: f64, batch: u64) {
        let parcels = self.outstanding.iter().filter(|out| out.call == batch).map(|out| &out.parcel);
        let lines: Vec<_> = parcels.clone().map(|parcel| parcel.line(now).to_string()).collect();
        let payload_bytes: u64 = parcels.map(|parcel| parcel.text.length()).sum();
        let line_bytes = lines.iter().map(|line| line.len() as u64).sum::<u64>();
        let mut head = frames::attempts_head(line_bytes + payload_bytes).to_vec();
        let parcels = self.outstanding.iter_mut().filter(|out| out.call == batch).map(|out| &mut out.parcel);
        for (line, parcel) in lines.iter().zip(parcels) {
            head.extend_from_slice(line.as_bytes());
            self.out.queue_small(std::mem::take(&mut head));
            if let Payload::Inline(text) = &parcel.text {
                self.out.queue_text(text);
            }
            if let Some(reader) = parcel.reader.take() {
                self.out.queue_body(reader);
            }
        }
    }

    /// Removes the frames of which no byte is written: by the time that they could be, the time limit in them would be
    /// stale, their queries may have ended and their node may be draining.
    fn take_back_unsent(&mut self) {
        let begun = self.out.written();
        let unbegun = |out: &&mut OutstandingRequest| out.to.is_some() && out.from >= begun;
        let Some(from) = self.outstanding.iter_mut().filter(unbegun).map(|out| out.from).min() else {
            return;
        };
        let mut reader = self.out.take_back(from);
        for out in self.outstanding.iter_mut().filter(unbegun) {
            out.to = None;
            if out.parcel.text.body().is_some() {
                out.parcel.reader = reader.take();
            }
        }
    }
}
