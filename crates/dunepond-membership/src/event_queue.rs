//! The queue of events for the caller, which is bounded in number and bytes however slowly the caller reads.

use crate::counters::increment;
use crate::error::PeerError;
use crate::event::{Event, Responder};
use crate::refusal::RefusalReason;
use crate::request_kind::RequestKind;
use crate::shared::Shared;
use crossbeam_channel::{Sender, TrySendError};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::sync::OwnedSemaphorePermit;

/// The outcome of a request of this broker, with the reservations that are released when the outcome is sent to the
/// caller.
pub(crate) struct CompletedRequest {
    pub id: u64,
    pub to: String,
    pub result: Result<Vec<u8>, PeerError>,
    /// Reservation of memory for the response's body; `None` if there is no response.
    pub receive_permit: Option<OwnedSemaphorePermit>,
    /// Size of the request's body, in bytes.
    pub request_bytes: usize,
}

/// The event of a completed request, until it is sent to the caller.
struct QueuedResponse {
    event: Event,
    response_bytes: usize,
    request_bytes: usize,
    _receive_permit: Option<OwnedSemaphorePermit>,
}

/// A queue for events that the channel to the caller has no room for. The number of queued responses is bounded by the
/// limit on requests in flight, and only the last membership change of each peer is queued.
pub(crate) struct EventQueue {
    channel: Sender<Event>,
    /// Body sizes of the events in the channel, oldest first, in bytes. The sizes of events that the caller has read
    /// are removed before the next event is sent.
    sent_bytes: VecDeque<usize>,
    responses: VecDeque<QueuedResponse>,
    /// The last queued membership change of each peer, by name.
    changes: BTreeMap<String, Event>,
    shared: Arc<Shared>,
}

impl EventQueue {
    pub fn new(channel: Sender<Event>, shared: Arc<Shared>) -> EventQueue {
        EventQueue {
            channel,
            sent_bytes: VecDeque::new(),
            responses: VecDeque::new(),
            changes: BTreeMap::new(),
            shared,
        }
    }

    /// Returns whether an event with a body of `bytes` bytes fits into the limit on the total body size of the events
    /// that the caller has not read. If none of these has a body, an event of any size fits.
    fn has_room(&mut self, bytes: usize) -> bool {
        while self.sent_bytes.len() > self.channel.len() {
            self.sent_bytes.pop_front();
        }
        let unread: usize = self.sent_bytes.iter().sum();
        unread == 0 || unread + bytes <= self.shared.limits.max_receive_bytes
    }

    /// Sends an event to the caller, or returns it if there is no room.
    fn try_send(&mut self, event: Event, bytes: usize) -> Result<(), Event> {
        if !self.has_room(bytes) {
            return Err(event);
        }
        // The size is recorded before the event is sent, since the caller may read the event at once.
        self.sent_bytes.push_back(bytes);
        self.channel.try_send(event).map_err(|error| {
            self.sent_bytes.pop_back();
            let (TrySendError::Full(event) | TrySendError::Disconnected(event)) = error;
            event
        })
    }

    /// Sends a peer's request to the caller. If there is no room, the request is refused instead of queued.
    pub fn push_request(
        &mut self,
        from: String,
        kind: RequestKind,
        body: Vec<u8>,
        responder: Responder,
    ) -> Result<(), RefusalReason> {
        let bytes = body.len();
        let event = Event::Request { from, kind, body, responder };
        self.try_send(event, bytes).map_err(|_| RefusalReason::Busy)
    }

    /// Sends or queues the outcome of a request of this broker.
    pub fn push_response(&mut self, completed: CompletedRequest) {
        let CompletedRequest { id, to, result, receive_permit, request_bytes } = completed;
        let response_bytes = result.as_ref().map_or(0, Vec::len);
        let event = Event::Response { id, to, result };
        let queued = QueuedResponse { event, response_bytes, request_bytes, _receive_permit: receive_permit };
        self.responses.push_back(queued);
        self.flush();
    }

    /// Sends or queues changes of the membership.
    pub fn push_changes(&mut self, changes: Vec<Event>) {
        for event in changes {
            let name = match &event {
                Event::PeerUp(peer) => peer.name.clone(),
                Event::PeerSuspected(name) | Event::PeerDown(name) => name.clone(),
                Event::Request { .. } | Event::Response { .. } => continue,
            };
            if self.changes.insert(name, event).is_some() {
                increment(&self.shared.counters.coalesced);
            }
        }
        self.flush();
    }

    /// Sends queued events, membership changes first, while there is room.
    pub fn flush(&mut self) {
        while let Some((name, event)) = self.changes.pop_first() {
            if let Err(event) = self.try_send(event, 0) {
                self.changes.insert(name, event);
                break;
            }
        }
        while let Some(mut queued) = self.responses.pop_front() {
            match self.try_send(queued.event, queued.response_bytes) {
                Ok(()) => {
                    self.shared.requests_in_flight.fetch_sub(1, Relaxed);
                    self.shared.send_bytes_in_flight.fetch_sub(queued.request_bytes, Relaxed);
                }
                Err(event) => {
                    queued.event = event;
                    return self.responses.push_front(queued);
                }
            }
        }
    }

    /// Returns whether any event waits for room in the channel to the caller.
    pub fn has_waiting(&self) -> bool {
        !self.responses.is_empty() || !self.changes.is_empty()
    }
}
