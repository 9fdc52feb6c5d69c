//! Assigns attempts to connections in batches and writes them.

use dunepond_routing::NodeId;
use tracing::debug;

use super::framing::SearchApiFraming;
use super::{AttemptRequest, NodeConnection, OutstandingRequest, Upstream, ownership_check};
use crate::body::Payload;
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::control_plane::{CheckedConfig, StaleCheck};

impl Upstream {
    /// Assigns all dispatched attempts to connections and writes them.
    pub fn flush(&mut self, now: f64, timers: &mut Timers) {
        for node in std::mem::take(&mut self.nodes_to_flush) {
            let mut unassigned = std::mem::take(&mut self.nodes[node].unassigned).into_iter().peekable();
            let uses_search_api = self.uses_search_api(node);
            while let Some(first) = unassigned.next() {
                let mut requests = vec![first];
                // An attempt with a streamed body, or one of the search API, is a batch of its own.
                if requests[0].payload.body().is_none() && !uses_search_api {
                    while requests.len()
                        < self.settings.max_parts_per_call.min(self.settings.max_parts_per_connection)
                        && let Some(next) = unassigned.next_if(|request| request.payload.body().is_none())
                    {
                        requests.push(next);
                    }
                }
                self.queue_batch(now, node, requests, timers);
            }
            for id in self.nodes[node].connections.clone() {
                self.write(now, id, timers);
                self.close_or_keep_idle(now, id, timers);
            }
        }
    }

    /// Returns whether a batch of attempts waits for a free file descriptor to open a connection with.
    pub fn is_awaiting_descriptor(&self) -> bool {
        !self.awaiting_descriptor.is_empty()
    }

    /// Removes one batch of attempts from those that wait for a free file descriptor. Assigns the batch to a connection
    /// if `has_descriptor`; otherwise its attempts end as not sent.
    pub fn retry_awaiting_descriptor(&mut self, now: f64, has_descriptor: bool, timers: &mut Timers) {
        let Some((node, requests)) = self.awaiting_descriptor.pop() else { return };
        if has_descriptor {
            self.queue_batch(now, node, requests, timers);
            self.nodes[node].connections.clone().into_iter().for_each(|id| self.write(now, id, timers));
        } else {
            debug!("node {}: connection {}", self.name(node), ConnectionEnd::DescriptorsExhausted);
            self.completed.extend(requests.iter().map(|request| {
                request.completed_unsent(node, ConnectionEnd::DescriptorsExhausted.attempt_outcome(false))
            }));
        }
    }

    /// Assigns a batch of attempts to a connection that has room for it or to a new one; if neither is possible, its
    /// attempts end, or wait if only a file descriptor is missing.
    fn queue_batch(&mut self, now: f64, node: NodeId, requests: Vec<AttemptRequest>, timers: &mut Timers) {
        let mut found = self.find_connection(now, node, &requests);
        // Reads from an idle connection before it is used, to find out whether the node has closed it: an attempt
        // written to a closed connection would have an unknown outcome.
        while let Some(id) = found.filter(|id| self.connections[*id].is_idle()) {
            self.read(now, id, timers);
            if self.connections.get(id).is_some_and(|connection| !connection.turn_unfinished) {
                break;
            }
            found = self.find_connection(now, node, &requests);
        }
        let id =
            match found.map_or_else(|| self.connect(now, node, timers), Ok) {
                Ok(id) => id,
                Err(ConnectionEnd::DescriptorsExhausted) => {
                    return self.awaiting_descriptor.push((node, requests));
                }
                Err(connection_end) => {
                    debug!("node {}: connection {connection_end}", self.name(node));
                    return self.completed.extend(requests.iter().map(|request| {
                        request.completed_unsent(node, connection_end.attempt_outcome(false))
                    }));
                }
            };
        let connection = &mut self.connections[id];
        connection.last_batch += 1;
        let batch = connection.last_batch;
        connection.outstanding.extend(requests.into_iter().map(|request| OutstandingRequest {
            request,
            queued_at: now,
            batch,
            frame_start: 0,
            frame_end: None,
            audited: false,
        }));
        if connection.connected {
            let timer = connection.timer.take();
            timers.cancel(timer);
            timer.and_then(|key| self.idle.remove(&key));
        }
    }

    /// Returns a connection to the node to which these attempts can be assigned as one batch.
    fn find_connection(&self, now: f64, node: NodeId, requests: &[AttemptRequest]) -> Option<usize> {
        let uses_search_api = self.uses_search_api(node);
        self.nodes[node].connections.iter().copied().find(|id| {
            let connection = &self.connections[*id];
            connection.is_usable(now, uses_search_api)
                && self.has_room(connection, requests)
                && !connection.would_repeat(requests)
        })
    }

    /// Returns whether a connection has room for these attempts in addition to its outstanding and cancelled attempts.
    fn has_room(&self, connection: &NodeConnection, requests: &[AttemptRequest]) -> bool {
        let needs_own_connection = connection.uses_search_api || requests[0].payload.body().is_some();
        let is_free = if needs_own_connection {
            connection.outstanding.is_empty()
        } else {
            !connection.is_reserved_for_body()
        };
        // Attempts beyond the node's limit, and cancel frames behind them, would not be read by the node yet.
        let occupied_parts = connection.outstanding.len() + connection.cancelled.len();
        is_free && occupied_parts + requests.len() <= self.settings.max_parts_per_connection
    }

    /// Frames and writes the attempts of a connection after withdrawing those that must no longer be sent.
    pub(super) fn write(&mut self, now: f64, id: usize, timers: &mut Timers) {
        let non_idempotent = self.has_non_idempotent(id);
        // Only non-idempotent attempts are checked; for the others the configuration is needed only by the audit log.
        let gate = self.gate.as_ref();
        let check = gate.filter(|gate| non_idempotent || gate.control.is_audited()).map(|gate| gate.check());
        if let Some(check) = &check
            && !self.withdraw_disallowed(check, now, id, timers)
        {
            return self.close(now, id, ConnectionEnd::FrameAborted, timers);
        }
        if !self.withdraw_expired(now, id) {
            return self.close(now, id, ConnectionEnd::FrameAborted, timers);
        }
        if self.connections.get(id).is_some_and(|connection| connection.connected) {
            self.write_checked(now, id, check.as_ref(), non_idempotent, timers);
        }
    }

    /// Returns whether a connection has an outstanding attempt that must not run twice; always `false` without a
    /// control plane.
    fn has_non_idempotent(&self, id: usize) -> bool {
        let (Some(gate), Some(connection)) = (&self.gate, self.connections.get(id)) else { return false };
        connection.outstanding.iter().any(|out| gate.is_non_idempotent(out.request.query_class))
    }

    /// Frames and writes attempts that have been checked, writes them to the audit log, and handles a failed write.
    fn write_checked(
        &mut self,
        now: f64,
        id: usize,
        check: Option<&CheckedConfig>,
        non_idempotent: bool,
        timers: &mut Timers,
    ) {
        let connection = &mut self.connections[id];
        let host = self.nodes[connection.node].name();
        let search_api =
            self.search_api.as_ref().filter(|_| connection.uses_search_api).map(|api| SearchApiFraming {
                indices: &self.settings.query_classes,
                non_idempotent: &api.non_idempotent,
                host,
            });
        let result = connection.write(now, search_api.as_ref(), check.filter(|_| non_idempotent));
        self.copied_bytes += connection.output.take_copied_bytes();
        if let (Some(gate), Some(check)) = (&self.gate, check) {
            ownership_check::audit_sent(gate, check, host, connection);
        }
        if connection.output.is_awaiting_body() {
            self.awaiting_body.push(id);
        }
        self.release_written_body(id);
        if let Err(e) = result {
            if e.get_ref().is_some_and(|e| e.is::<StaleCheck>()) {
                return self.close(now, id, ConnectionEnd::FrameAborted, timers);
            }
            self.receive_before_close(now, id, ConnectionEnd::from_io_error(&e), timers);
        }
    }

    /// If the frame of a streamed body is fully written, releases the body and queues a report to the router.
    fn release_written_body(&mut self, id: usize) {
        let connection = &mut self.connections[id];
        // An attempt with a streamed body is the only one on its connection when it is assigned, so it is the first in
        // `outstanding`.
        if let Some(out) = connection.outstanding.front_mut()
            && out.request.payload.body().is_some()
            && out.frame_end.is_some_and(|end| end <= connection.output.written_offset())
        {
            out.request.payload = Payload::Released;
            self.written_bodies.push_back((connection.node, out.request.key()));
        }
    }
}
