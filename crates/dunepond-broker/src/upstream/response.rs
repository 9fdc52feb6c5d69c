//! Reads the nodes' reports of ended attempts, either as frames or as search API responses.

use dunepond_routing::{AttemptOutcome, NodeId};
use dunepond_search_api::hits::ExpectedResult;
use dunepond_search_api::node::{NodeOutcome, read_response};
use tracing::{debug, warn};

use super::{CompletedAttempt, SEARCH_API_REUSE_DELAY_SECONDS, Upstream};
use crate::buffers::Buffer;
use crate::clock::{TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;
use crate::frames::{self, NodeFrame, ReplicaOutcome, SearchReport};
use crate::http::Message;
use crate::read_turn::{ReadTurn, Received, UnfinishedConnection};

/// How many bytes of a malformed frame are logged.
const MAX_LOGGED_BYTES: usize = 48;

/// The end of an outstanding attempt, as the node reports it.
struct EndedOnConnection {
    /// Index of the attempt in the connection's `outstanding` queue.
    position: usize,
    outcome: AttemptOutcome,
    value: Option<String>,
    search_report: Option<SearchReport>,
}

/// A decoded frame that reports the end of an attempt.
struct DecodedEnd {
    /// The end of the attempt; `None` if the attempt is no longer outstanding.
    ended: Option<EndedOnConnection>,
    /// Length of the frame.
    frame_bytes: usize,
}

impl Upstream {
    /// Reads the responses that arrived before a write failed with `write_failure`, and then closes the connection.
    pub(super) fn receive_before_close(
        &mut self,
        now: f64,
        id: usize,
        write_failure: ConnectionEnd,
        timers: &mut Timers,
    ) {
        self.connections[id].write_failure = Some(write_failure);
        self.read(now, id, timers);
    }

    /// Reads and handles what has arrived on a connection, until no bytes are left or the connection's turn is over.
    /// Closes the connection if it has ended or, after a failed write, once everything is read.
    pub(super) fn read(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let mut turn = ReadTurn::default();
        loop {
            if !self.make_room_for_read(now, id, timers) {
                return;
            }
            let connection = &mut self.connections[id];
            let write_failure = connection.write_failure;
            let (pool, is_body) = (&self.pools.nodes, connection.responses.has_partial_response());
            let acquire = || if is_body { pool.acquire_for_body() } else { pool.acquire() };
            let input = connection.input.get_or_insert_with(acquire);
            let connection_end = match turn.read(input, &*connection.stream) {
                // A close completes a search API response without a length. After a failed write it does not: once a
                // reset has been reported, later reads look like an ordinary close.
                Ok(Received::End) if write_failure.is_none() && connection.responses.finish_at_close() => {
                    self.receive_search_response(now, id)
                }
                Ok(Received::End) => write_failure.or(Some(ConnectionEnd::Closed)),
                Ok(Received::Bytes) if connection.uses_search_api => self.receive_search_response(now, id),
                Ok(Received::Bytes) => self.receive_frames(now, id, timers),
                Ok(Received::Drained) if write_failure.is_some() => write_failure,
                Ok(Received::Drained) => return self.finish_reading(now, id, timers),
                Ok(Received::TurnOver) => {
                    connection.turn_unfinished = true;
                    return self.unfinished_turns.add(UnfinishedConnection::Upstream(id));
                }
                Err(e) => Some(ConnectionEnd::from_io_error(&e)),
            };
            if let Some(connection_end) = connection_end {
                return self.close(now, id, connection_end, timers);
            }
        }
    }

    /// Handles that everything which arrived on a connection is read: sets a time limit for the rest of a partial frame,
    /// or closes the connection if a partial message belongs to no attempt.
    fn finish_reading(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let connection = &mut self.connections[id];
        connection.turn_unfinished = false;
        if connection.outstanding.is_empty() && connection.has_partial_message() {
            // The next response would be read as the remainder of this message.
            let connection_end = self.unrequested(id);
            return self.close(now, id, connection_end, timers);
        }
        if connection.input.as_ref().is_none_or(Buffer::is_empty) {
            connection.input = None;
            // No frame is incomplete, so the timer for the rest of a frame is cancelled; the timer of an idle
            // connection stays.
            timers.cancel(connection.timer.take_if(|key| !self.idle.contains_key(key)));
        } else if connection.timer.is_none() {
            // The rest of the frame may never arrive, so a time limit is set for it, as long as the connect timeout.
            let due = now + self.settings.connect_timeout_seconds;
            connection.timer = Some(timers.schedule(due, TimerEvent::UpstreamConnection(id)));
        }
    }

    /// Handles a search API response once it is complete.
    fn receive_search_response(&mut self, now: f64, id: usize) -> Option<ConnectionEnd> {
        match self.parse_search_response(id) {
            Ok(Some(message)) => self.finish_search_attempt(now, id, &message),
            Ok(None) => None,
            Err(connection_end) => Some(connection_end),
        }
    }

    /// Parses the search API response on a connection; `None` until all of it has arrived.
    fn parse_search_response(&mut self, id: usize) -> Result<Option<Message>, ConnectionEnd> {
        let connection = &mut self.connections[id];
        let Some(input) = connection.input.as_mut() else { return Ok(None) };
        match connection.responses.read(input, &self.pools.nodes) {
            // Bytes after the only outstanding response could be taken for the start of the next response.
            Ok(Some(_)) if !input.is_empty() => Err(ConnectionEnd::ProtocolError),
            Ok(response) => Ok(response),
            Err(error) => {
                warn!("node {}: invalid HTTP response: {}", self.nodes[connection.node].name(), error.reason);
                Err(ConnectionEnd::ProtocolError)
            }
        }
    }

    /// Ends the one attempt that is outstanding on a search API connection, with the response to it. Returns why the
    /// connection has to be closed, if it has to.
    fn finish_search_attempt(&mut self, now: f64, id: usize, message: &Message) -> Option<ConnectionEnd> {
        let connection = &mut self.connections[id];
        let Some(out) = connection.outstanding.pop_front() else { return Some(self.unrequested(id)) };
        let is_written = out.is_written(&connection.output);
        let node = connection.node;
        let (outcome, value) = self.search_outcome(node, out.request.query_class, message);
        // A request that was answered before it was fully written may still have run, unless the response is a
        // rejection.
        self.completed.push_back(out.into_completed(node, outcome, now, value));
        let connection = &mut self.connections[id];
        if !is_written || !message.head.keep_alive {
            return Some(ConnectionEnd::FrameAborted);
        }
        if connection.retired {
            return Some(ConnectionEnd::IdleClosed);
        }
        connection.input = None;
        connection.reusable_at = now + SEARCH_API_REUSE_DELAY_SECONDS;
        None
    }

    /// Returns the attempt's outcome according to a search API response and, if the attempt was served, the response's
    /// body as the answer for the part.
    fn search_outcome(
        &self,
        node: NodeId,
        query_class: usize,
        message: &Message,
    ) -> (AttemptOutcome, Option<String>) {
        let expected = ExpectedResult {
            index: &self.settings.query_classes[query_class],
            // The limits of the search are in the payload. Only the search API front end parses the payload, and it
            // checks the answer against the limits.
            max_hits: usize::MAX,
            sort_keys: None,
            total_untracked: true,
        };
        let is_non_idempotent = self.search_api.as_ref().is_some_and(|api| api.non_idempotent[query_class]);
        // The response is JSON, which is UTF-8, but the JSON parser does not check strings that it skips.
        let Ok(body) = std::str::from_utf8(message.body_bytes()) else {
            debug!("node {}: the response is not UTF-8", self.name(node));
            return (AttemptOutcome::Error, None);
        };
        match read_response(message.head.status, body, (!is_non_idempotent).then_some(&expected)) {
            NodeOutcome::Found(_) | NodeOutcome::Updated(_) => {
                (AttemptOutcome::Served, Some(body.to_string()))
            }
            NodeOutcome::Rejected => (AttemptOutcome::Rejected, None),
            NodeOutcome::Failed(reason) => {
                debug!("node {}: {reason}", self.name(node));
                (AttemptOutcome::Error, None)
            }
        }
    }

    /// Handles each complete frame that has arrived.
    fn receive_frames(&mut self, now: f64, id: usize, timers: &mut Timers) -> Option<ConnectionEnd> {
        loop {
            let decoded = match self.next_ended(id) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => return None,
                Err(connection_end) => return Some(connection_end),
            };
            if let Some(ended) = decoded.ended
                && let Some(connection_end) = self.finish_attempt(now, id, ended)
            {
                return Some(connection_end);
            }
            let connection = &mut self.connections[id];
            connection.input.as_mut()?.consume(decoded.frame_bytes);
            // The frame is complete, so its timer is cancelled: the next frame has a time limit of its own.
            timers.cancel(connection.timer.take_if(|key| !self.idle.contains_key(key)));
        }
    }

    /// Decodes the next frame, which must report the end of an attempt; `None` until all of it has arrived.
    fn next_ended(&mut self, id: usize) -> Result<Option<DecodedEnd>, ConnectionEnd> {
        let connection = &self.connections[id];
        let Some(input) = connection.input.as_ref() else { return Ok(None) };
        let (frame, frame_bytes) = match frames::decode_frame(input.filled()) {
            Ok(Some(decoded)) => decoded,
            Ok(None) => return Ok(None),
            Err(error) => return Err(self.malformed(id, &error.to_string())),
        };
        let NodeFrame::AttemptEnded { id: attempt, outcome: reported, value, report } = frame else {
            return Err(self.unexpected_frame(id, &frame));
        };
        let Some(position) = connection.outstanding.iter().position(|out| *out.request.id == *attempt) else {
            let attempt = attempt.to_string();
            self.ignore_end(id, &attempt)?;
            return Ok(Some(DecodedEnd { ended: None, frame_bytes }));
        };
        let (outcome, value) = match reported {
            ReplicaOutcome::Served => (AttemptOutcome::Served, Some(value.to_string())),
            ReplicaOutcome::Failed => (AttemptOutcome::Error, None),
            ReplicaOutcome::Overloaded => (AttemptOutcome::Rejected, None),
        };
        let ended = EndedOnConnection {
            position,
            outcome,
            value,
            search_report: frames::parse_search_report(report),
        };
        Ok(Some(DecodedEnd { ended: Some(ended), frame_bytes }))
    }

    /// Handles the end of an attempt that is not outstanding. The end of a cancelled attempt, and each repeated end of a finished
    /// one, is ignored. Fails for an unknown id, which could stand for any attempt on this connection, and for a node that repeats
    /// more ends than there were attempts.
    fn ignore_end(&mut self, id: usize, attempt: &str) -> Result<(), ConnectionEnd> {
        let connection = &mut self.connections[id];
        if let Some(position) = connection.cancelled.iter().position(|cancelled| **cancelled == *attempt) {
            connection.cancelled.swap_remove(position);
            return Ok(());
        }
        if !connection.finished.contains(attempt) {
            return Err(self.malformed(id, "an E frame for an attempt that is not outstanding"));
        }
        let Some(repeats_left) = connection.repeats_left.checked_sub(1) else {
            return Err(self.malformed(id, "more repeated E frames than attempts"));
        };
        connection.repeats_left = repeats_left;
        Ok(())
    }

    /// Logs a frame that does not report the end of an attempt. Returns why the connection has to be closed.
    fn unexpected_frame(&self, id: usize, frame: &NodeFrame) -> ConnectionEnd {
        let NodeFrame::Rejected(reason) = frame else {
            return self.malformed(id, "a Q frame on a connection for attempts");
        };
        warn!(
            "node {}: rejected by the node: {}",
            self.name(self.connections[id].node),
            reason.escape_debug()
        );
        ConnectionEnd::RejectedByPeer
    }

    /// Logs that a node has sent something without a request. Returns why the connection has to be closed.
    fn unrequested(&self, id: usize) -> ConnectionEnd {
        warn!("node {}: sent a message without a request", self.name(self.connections[id].node));
        ConnectionEnd::ProtocolError
    }

    /// Logs a malformed frame with its first bytes. Returns why the connection has to be closed.
    fn malformed(&self, id: usize, reason: &str) -> ConnectionEnd {
        let connection = &self.connections[id];
        let bytes = connection.input.as_ref().map_or(&[][..], Buffer::filled);
        let bytes = &bytes[..bytes.len().min(MAX_LOGGED_BYTES)];
        warn!("node {}: {reason}: {}", self.name(connection.node), bytes.escape_ascii());
        ConnectionEnd::ProtocolError
    }

    /// Ends an outstanding attempt as its node reported. Returns why the connection has to be closed, if it has to.
    fn finish_attempt(&mut self, now: f64, id: usize, ended: EndedOnConnection) -> Option<ConnectionEnd> {
        let connection = &mut self.connections[id];
        let out = connection.finish_request(ended.position)?;
        let is_written = out.is_written(&connection.output);
        if !is_written && ended.outcome != AttemptOutcome::Rejected {
            connection.outstanding.push_front(out);
            warn!(
                "node {}: an E frame before its request was fully sent",
                self.nodes[connection.node].name()
            );
            return Some(ConnectionEnd::ProtocolError);
        }
        let completed = out.into_completed(connection.node, ended.outcome, now, ended.value);
        self.completed.push_back(CompletedAttempt { search_report: ended.search_report, ..completed });
        // An attempt that was rejected before it was fully written never ran; the rest of its frame must not be
        // written.
        (!is_written).then_some(ConnectionEnd::FrameAborted)
    }
}
