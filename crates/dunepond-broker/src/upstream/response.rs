//! Reads what nodes send: the ends of attempts, in frames or as search API responses.

use std::io;

use dunepond_routing::AttemptOutcome;
use dunepond_search_api::hits::Expected;
use dunepond_search_api::node::{Meaning, meaning};
use tracing::{debug, warn};

use super::{CompletedAttempt, NodeEntry, Upstream};
use crate::clock::{TimerEvent, Timers};
use crate::connection_end::ConnectionEnd;
use crate::frames::{self, NodeFrame, ReplicaOutcome};
use crate::http::{self, Message};

/// Of what cannot be read, the log shows so many bytes.
const MAX_LOGGED_BYTES: usize = 48;

impl Upstream {
    pub(super) fn read(&mut self, now: f64, id: usize, timers: &mut Timers) {
        self.receive_until(now, id, None, timers);
    }

    /// A connection has broken, as was met in writing: what had come before is read, and then it ends.
    pub(super) fn receive_before_close(
        &mut self,
        now: f64,
        id: usize,
        broken: ConnectionEnd,
        timers: &mut Timers,
    ) {
        self.receive_until(now, id, Some(broken), timers);
    }

    fn receive_until(&mut self, now: f64, id: usize, broken: Option<ConnectionEnd>, timers: &mut Timers) {
        loop {
            let connection = &mut self.connections[id];
            let input = connection.input.get_or_insert_with(|| self.pool.take());
            let ending = match input.read_from(&*connection.stream) {
                // An answer of the API that states no length ends so; but a reset that has been told once is told no more.
                Ok(0)
                    if broken.is_none()
                        && connection.message.as_mut().is_some_and(Message::finish_at_close) =>
                {
                    self.receive_search_response(now, id)
                }
                Ok(0) => broken.or(Some(ConnectionEnd::Closed)),
                Ok(_) if connection.api => self.receive_search_response(now, id),
                Ok(_) => self.frames(now, id, timers),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => None,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && broken.is_some() => broken,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if input.is_empty() {
                        connection.input = None;
                        // All of an answer has come; an idle connection's timer stays.
                        timers.unset(connection.timer.take_if(|key| !self.idle.contains_key(key)));
                    } else if connection.outstanding.is_empty() {
                        // Half of a frame that nobody waits for: what comes next would be taken for its rest.
                        return self.end(now, id, ConnectionEnd::ProtocolError, timers);
                    } else if connection.timer.is_none() {
                        // The rest of a frame may never come: it has as long as a connection to come up.
                        let until = now + self.bounds.connect_timeout;
                        connection.timer = Some(timers.set(until, TimerEvent::UpstreamConnection(id)));
                    }
                    return;
                }
                Err(e) => Some(ConnectionEnd::of(&e)),
            };
            if let Some(ending) = ending {
                return self.end(now, id, ending, timers);
            }
        }
    }

    /// Takes an answer of the API out of what has come. What it means for the part is told by `node::meaning`.
    fn receive_search_response(&mut self, now: f64, id: usize) -> Option<ConnectionEnd> {
        let connection = &mut self.connections[id];
        let host = self.nodes[connection.node].name();
        let input = connection.input.as_mut()?;
        if connection.message.is_none() {
            match http::response(input) {
                Ok(head) => connection.message = Some(Message::after(head?)),
                Err(why) => {
                    warn!("node {host}: {}", why.why);
                    return Some(ConnectionEnd::ProtocolError);
                }
            }
        }
        let whole = connection.message.as_mut()?.take(input, &self.pool);
        match whole {
            Ok(false) => return None,
            Ok(true) => {}
            Err(why) => {
                warn!("node {host}: {}", why.why);
                return Some(ConnectionEnd::ProtocolError);
            }
        }
        let message = connection.message.take()?;
        if !input.is_empty() {
            // Behind the one answer that was owed there is nothing that could be told apart from the next one's.
            return Some(ConnectionEnd::ProtocolError);
        }
        let half = connection
            .outstanding
            .front()
            .is_some_and(|o| o.to.is_none_or(|to| to > connection.out.written()));
        let Some(out) = connection.outstanding.pop_front() else { return Some(ConnectionEnd::ProtocolError) };
        let once = self.api.as_ref().is_some_and(|(_, once)| once[out.parcel.table_type]);
        let expected = Expected {
            index: &self.bounds.table_types[out.parcel.table_type],
            // What is asked for in the text whoever asked knows, and holds the value to it.
            most: usize::MAX,
            keys: None,
            untracked: true,
        };
        let (status, keep) = (message.head.status, message.head.keep_alive);
        let (end, value) = match meaning(status, message.text(), (!once).then_some(&expected)) {
            Meaning::Found(_) | Meaning::Updated(_) => {
                (AttemptOutcome::Served, std::str::from_utf8(message.text()).ok().map(str::to_string))
            }
            Meaning::Rejected => (AttemptOutcome::Rejected, None),
            Meaning::Failed(why) => {
                debug!("node {host}: {why}");
                (AttemptOutcome::Error, None)
            }
        };
        // Answered before all of it was there, it may yet be taken for run: only a rejection says that it was not.
        let node = connection.node;
        self.back.push_back(out.back(node, end, now, value));
        let connection = &mut self.connections[id];
        if half || !keep {
            return Some(ConnectionEnd::FrameAborted);
        }
        if connection.retired {
            return Some(ConnectionEnd::IdleClosed);
        }
        connection.input = None;
        None
    }

    /// Takes the whole frames out of what has come.
    fn frames(&mut self, now: f64, id: usize, timers: &mut Timers) -> Option<ConnectionEnd> {
        loop {
            let connection = &mut self.connections[id];
            let host = self.nodes[connection.node].name();
            let held = connection.input.as_ref()?.held();
            let had_invalid_row = |why: &str| {
                warn!("node {host}: {why}: {}", held[..held.len().min(MAX_LOGGED_BYTES)].escape_ascii());
                Some(ConnectionEnd::ProtocolError)
            };
            let (used, told) = match frames::read(held) {
                Ok(None) => return None,
                Err(why) => return had_invalid_row(why),
                Ok(Some((NodeFrame::Rejected(words), _))) => {
                    warn!("node {host}: {}", words.escape_debug());
                    return Some(ConnectionEnd::RejectedByPeer);
                }
                Ok(Some((NodeFrame::PrefilterAnswers { .. }, _))) => {
                    return had_invalid_row("a Q frame on a connection for attempts");
                }
                Ok(Some((NodeFrame::AttemptEnded { id, word, value, report }, used))) => {
                    let at = connection.outstanding.iter().position(|o| *o.parcel.id == *id);
                    let late = connection.cancelled.iter().position(|cancelled| **cancelled == *id);
                    // Given up, or answered before: its end has been told. Any other may belong to any part here.
                    if at.or(late).is_none() && !connection.finished.iter().any(|finished| **finished == *id)
                    {
                        return had_invalid_row("an E frame for an attempt that is not outstanding");
                    }
                    if at.is_none() {
                        late.map(|late| connection.cancelled.swap_remove(late));
                    }
                    let (end, value) = match word {
                        ReplicaOutcome::Served => (AttemptOutcome::Served, Some(value.to_string())),
                        ReplicaOutcome::Failed => (AttemptOutcome::Error, None),
                        ReplicaOutcome::Overloaded => (AttemptOutcome::Rejected, None),
                    };
                    (used, at.map(|at| (at, end, value, frames::searched(report))))
                }
            };
            if let Some((at, end, value, searched)) = told
                && let Some(out) = connection.take(at)
            {
                // Refused before all of it was there, it never ran; the rest of its frame has nowhere to go.
                let half = out.to.is_none_or(|to| to > connection.out.written());
                if half && end != AttemptOutcome::Rejected {
                    connection.outstanding.push_front(out);
                    return unfinished_frame_answered(&self.nodes[connection.node]);
                }
                self.back
                    .push_back(CompletedAttempt { searched, ..out.back(connection.node, end, now, value) });
                if half {
                    return Some(ConnectionEnd::FrameAborted);
                }
            }
            let connection = &mut self.connections[id];
            connection.input.as_mut()?.consume(used);
            // The next one has its own time.
            timers.unset(connection.timer.take_if(|key| !self.idle.contains_key(key)));
        }
    }
}

fn unfinished_frame_answered(node_entry: &NodeEntry) -> Option<ConnectionEnd> {
    warn!("node {}: an E frame before its request was fully sent", node_entry.name());
    Some(ConnectionEnd::ProtocolError)
}
