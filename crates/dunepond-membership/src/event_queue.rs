//! Events on their way to the caller, bounded in number and bytes however slowly it reads.

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

/// The end of an own request, with what it occupies until the caller receives it.
pub(crate) struct CompletedRequest {
    pub id: u64,
    pub to: String,
    pub result: Result<Vec<u8>, PeerError>,
    /// Room of the response's body.
    pub receive_permit: Option<OwnedSemaphorePermit>,
    /// Bytes of the request's body.
    pub request_bytes: usize,
}

struct QueuedResponse {
    event: Event,
    response_bytes: usize,
    request_bytes: usize,
    _receive_permit: Option<OwnedSemaphorePermit>,
}

/// Holds what the channel to the caller has no room for. Responses are at most as many as requests may be in flight; of changes only the
/// last of each name is held.
pub(crate) struct EventQueue {
    channel: Sender<Event>,
    /// Sizes of the events last sent; the channel's length tells how many of them are unread.
    sent_bytes: VecDeque<usize>,
    responses: VecDeque<QueuedResponse>,
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

    /// Whether there is room for `bytes` more among the unread events. One event always has room.
    fn has_room(&mut self, bytes: usize) -> bool {
        while self.sent_bytes.len() > self.channel.len() {
            self.sent_bytes.pop_front();
        }
        let unread: usize = self.sent_bytes.iter().sum();
        unread == 0 || unread + bytes <= self.shared.limits.max_receive_bytes
    }

    /// Sends an event, or gives it back where there is no room.
    fn try_send(&mut self, event: Event, bytes: usize) -> Result<(), Event> {
        if !self.has_room(bytes) {
            return Err(event);
        }
        // Recorded first: the caller may read the event at once.
        self.sent_bytes.push_back(bytes);
        self.channel.try_send(event).map_err(|error| {
            self.sent_bytes.pop_back();
            let (TrySendError::Full(event) | TrySendError::Disconnected(event)) = error;
            event
        })
    }

    /// A request of a peer; it is refused rather than held here.
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

    /// The end of an own request.
    pub fn push_response(&mut self, completed: CompletedRequest) {
        let CompletedRequest { id, to, result, receive_permit, request_bytes } = completed;
        let response_bytes = result.as_ref().map_or(0, Vec::len);
        let event = Event::Response { id, to, result };
        let queued = QueuedResponse { event, response_bytes, request_bytes, _receive_permit: receive_permit };
        self.responses.push_back(queued);
        self.flush();
    }

    /// Changes of the membership.
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

    /// Sends what there is room for now.
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

    /// Whether anything waits for room.
    pub fn has_waiting(&self) -> bool {
        !self.responses.is_empty() || !self.changes.is_empty()
    }
}
