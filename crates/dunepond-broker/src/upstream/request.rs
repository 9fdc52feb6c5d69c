//! Writes attempts: frames several parts together, as far as the connection takes them.

use std::io;

use dunepond_routing::NodeId;
use dunepond_search_api::node;
use tracing::debug;

use super::{AttemptRequest, NodeConnection, OutstandingRequest, Upstream, ownership_check};
use crate::body::Payload;
use crate::buffers::BUFFER_BYTES;
use crate::clock::Timers;
use crate::connection_end::ConnectionEnd;
use crate::control_plane::{CheckedConfig, FreshWriter, StaleCheck};
use crate::frames;

/// A text up to so long is copied into its frames: a piece of its own for it would cost more.
const MAX_COPIED_TEXT_BYTES: usize = 2048;

/// Names of the query classes, which of them must not run twice, and the node's name.
type Spoken<'a> = (&'a [String], &'a [bool], &'a str);

impl NodeConnection {
    /// Frames what waits, once what is framed has gone out; as requests of the API where it is spoken. `look`: by what the
    /// parts on it were let go, where that must not be old.
    pub(super) fn write(
        &mut self,
        now: f64,
        api: Option<Spoken>,
        look: Option<&CheckedConfig>,
    ) -> io::Result<()> {
        loop {
            self.out.flush(FreshWriter { stream: &*self.stream, look })?;
            if !self.out.is_empty() {
                self.take_back_unsent();
                return Ok(());
            }
            if self.outstanding.iter().all(|o| o.to.is_some()) {
                return Ok(());
            }
            while self.out.waiting() < BUFFER_BYTES
                && let Some(call) = self.outstanding.iter().find(|o| o.to.is_none()).map(|o| o.call)
            {
                if let Some((names, once, host)) = &api {
                    let Some(out) = self.outstanding.iter_mut().find(|o| o.call == call) else {
                        return Ok(());
                    };
                    let (parcel, what) = (&mut out.parcel, ["_search", "_update_by_query"]);
                    let what = what[usize::from(once[parcel.table_type])];
                    let wait = ((parcel.until - now).max(0.001) * 1000.0) as u64;
                    let index = &names[parcel.table_type];
                    let length = parcel.text.length();
                    out.from = self.out.end();
                    self.out.put(&node::head(host, index, what, parcel.seg, &parcel.id, wait, length));
                    if let Payload::Inline(text) = &parcel.text {
                        self.out.queue_text(text);
                    }
                    if let Some(reader) = parcel.reader.take() {
                        self.out.queue_body(reader);
                    }
                    out.to = Some(self.out.end());
                    continue;
                }
                let from = self.out.end();
                let parts = self.outstanding.iter().filter(|o| o.call == call).map(|o| &o.parcel);
                let wait = |p: &AttemptRequest| ((p.until - now).max(0.001) * 1000.0) as u64;
                let small = |p: &AttemptRequest| match &p.text {
                    Payload::Inline(text) if text.len() <= MAX_COPIED_TEXT_BYTES => Some(text.clone()),
                    _ => None,
                };
                if let Some(audit_texts) = parts.clone().map(small).collect::<Option<Vec<_>>>() {
                    let parts = parts.zip(&audit_texts).map(|(p, text)| (&*p.id, p.seg, wait(p), &**text));
                    self.out.put(&frames::call(parts));
                } else {
                    let line = |p: &AttemptRequest| frames::line(&p.id, p.seg, wait(p), p.text.length());
                    let lines: Vec<_> = parts.clone().map(line).collect();
                    let audit_texts: u64 = parts.clone().map(|p| p.text.length()).sum();
                    let lengths = lines.iter().map(|line| line.len() as u64).sum::<u64>();
                    let mut head = frames::attempts_head(lengths + audit_texts).to_vec();
                    let parts = self.outstanding.iter_mut().filter(|o| o.call == call).map(|o| &mut o.parcel);
                    for (line, part) in lines.iter().zip(parts) {
                        head.extend_from_slice(line.as_bytes());
                        self.out.queue_small(std::mem::take(&mut head));
                        if let Payload::Inline(text) = &part.text {
                            self.out.queue_text(text);
                        }
                        if let Some(reader) = part.reader.take() {
                            self.out.queue_body(reader);
                        }
                    }
                }
                let to = Some(self.out.end());
                self.outstanding
                    .iter_mut()
                    .filter(|o| o.call == call)
                    .for_each(|o| (o.from, o.to) = (from, to));
            }
        }
    }

    /// Takes back the frames of which not a byte has gone out: by the time that they can, the time that they tell is
    /// no longer what is left, their queries may be over and their node may be due nothing new.
    fn take_back_unsent(&mut self) {
        let begun = self.out.written();
        let unbegun = |o: &&mut OutstandingRequest| o.to.is_some() && o.from >= begun;
        let Some(from) = self.outstanding.iter_mut().filter(unbegun).map(|o| o.from).min() else { return };
        let mut reader = self.out.take_back(from);
        for out in self.outstanding.iter_mut().filter(unbegun) {
            out.to = None;
            if out.parcel.text.body().is_some() {
                out.parcel.reader = reader.take();
            }
        }
    }
}

impl Upstream {
    /// Frames what the last call sent and writes it.
    pub fn flush(&mut self, now: f64, timers: &mut Timers) {
        for node in std::mem::take(&mut self.nodes_to_flush) {
            let mut unframed = std::mem::take(&mut self.nodes[node].unframed).into_iter().peekable();
            let api = self.speaks_api(node);
            while let Some(first) = unframed.next() {
                let mut parcels = vec![first];
                // A body goes alone, on a connection that it has for itself; so does each part where the API is spoken.
                if parcels[0].text.body().is_none() && !api {
                    while parcels.len() < self.bounds.parts_a_call.min(self.bounds.parts_a_connection)
                        && let Some(next) = unframed.next_if(|p| p.text.body().is_none())
                    {
                        parcels.push(next);
                    }
                }
                self.call(now, node, parcels, timers);
            }
            for id in self.nodes[node].connections.clone() {
                self.write(now, id, timers);
                self.rest(now, id, timers);
            }
        }
    }

    /// Some call has found no descriptor.
    pub fn is_awaiting_descriptor(&self) -> bool {
        !self.short.is_empty()
    }

    /// Makes one of those calls again, as there is room now; or else tells that it was not sent.
    pub fn retry_awaiting_descriptor(&mut self, now: f64, room: bool, timers: &mut Timers) {
        let Some((node, parcels)) = self.short.pop() else { return };
        if room {
            self.call(now, node, parcels, timers);
            self.nodes[node].connections.clone().into_iter().for_each(|id| self.write(now, id, timers));
        } else {
            debug!("node {}: connection {}", self.name(node), ConnectionEnd::DescriptorsExhausted);
            self.back.extend(
                parcels.iter().map(|p| p.unsent(node, ConnectionEnd::DescriptorsExhausted.end(false))),
            );
        }
    }

    fn call(&mut self, now: f64, node: NodeId, parcels: Vec<AttemptRequest>, timers: &mut Timers) {
        let mut open = self.find_connection(now, node, &parcels);
        // The node may have closed it in this very moment, and what is written to it then may have run for all that we
        // know: an idle connection is read once more before it is used.
        while let Some(id) = open.filter(|id| self.connections[*id].is_idle()) {
            self.read(now, id, timers);
            if self.connections.contains(id) {
                break;
            }
            open = self.find_connection(now, node, &parcels);
        }
        let id = match open.map_or_else(|| self.connect(now, node, timers), Ok) {
            Ok(id) => id,
            Err(ConnectionEnd::DescriptorsExhausted) => return self.short.push((node, parcels)),
            Err(ending) => {
                debug!("node {}: connection {ending}", self.name(node));
                return self.back.extend(parcels.iter().map(|p| p.unsent(node, ending.end(false))));
            }
        };
        let connection = &mut self.connections[id];
        connection.calls += 1;
        let call = connection.calls;
        connection.outstanding.extend(parcels.into_iter().map(|parcel| OutstandingRequest {
            parcel,
            sent: now,
            call,
            from: 0,
            to: None,
            noted: false,
        }));
        if connection.up {
            let timer = connection.timer.take();
            timers.unset(timer);
            timer.and_then(|key| self.idle.remove(&key));
        }
    }

    /// A connection that can take these parts as one call.
    fn find_connection(&self, now: f64, node: NodeId, parcels: &[AttemptRequest]) -> Option<usize> {
        // What is beyond it waits unread at the node: the time that it tells runs out there, and its cancel waits behind it.
        let (most, api) = (self.bounds.parts_a_connection, self.speaks_api(node));
        let alone = api || parcels[0].text.body().is_some();
        let room = |l: &NodeConnection| {
            let free = if alone { l.outstanding.is_empty() } else { !l.is_reserved_for_body() };
            free && l.outstanding.len() + l.cancelled.len() + parcels.len() <= most
        };
        // Half a frame may be all that ever comes on it; and one that is due to be closed may be closed over there.
        let sound = |l: &NodeConnection| !l.retired && l.api == api && l.input.is_none() && !l.is_over(now);
        // Both of a part's attempts would have one name there: an end that came twice would be taken for the other's.
        let again = |l: &NodeConnection| parcels.iter().any(|p| p.shot > 0 && l.knows(&p.id));
        self.nodes[node].connections.iter().copied().find(|id| {
            let connection = &self.connections[*id];
            sound(connection) && room(connection) && !again(connection)
        })
    }

    pub(super) fn write(&mut self, now: f64, id: usize, timers: &mut Timers) {
        // Only parts that must not run twice are judged, and only where that is written down are others looked at.
        let gate = self.gate.as_ref();
        let outstanding = self.connections.get(id).map(|connection| &connection.outstanding);
        let once = gate
            .zip(outstanding)
            .is_some_and(|(gate, outstanding)| outstanding.iter().any(|o| gate.once(o.parcel.table_type)));
        let look = gate.filter(|gate| once || gate.hand.is_audited()).map(|gate| gate.look());
        if let Some(look) = &look
            && !self.withdraw_disallowed(look, now, id, timers)
        {
            return self.end(now, id, ConnectionEnd::FrameAborted, timers);
        }
        if !self.withdraw_expired(now, id) {
            return self.end(now, id, ConnectionEnd::FrameAborted, timers);
        }
        let Some(connection) = self.connections.get_mut(id).filter(|l| l.up) else { return };
        let host = self.nodes[connection.node].row.as_ref().map_or("?", |row| &row.host);
        let spoken = self.api.as_ref().filter(|_| connection.api);
        let spoken = spoken.map(|(_, once)| (&self.bounds.table_types[..], &once[..], host));
        let outcome = connection.write(now, spoken, look.as_ref().filter(|_| once));
        self.copied += connection.out.take_copied();
        if let (Some(gate), Some(look)) = (&self.gate, &look) {
            ownership_check::note(gate, look, host, connection);
        }
        if connection.out.is_awaiting_body() {
            self.starved.push(id);
        }
        // A body is alone on its connection while it is on its way, and the first that is carried there.
        if let Some(out) = connection.outstanding.front_mut()
            && out.parcel.text.body().is_some()
            && out.to.is_some_and(|to| to <= connection.out.written())
        {
            // It is through with it: what waits behind it may be as long.
            out.parcel.text = Payload::Released;
            self.framed.push_back((connection.node, out.parcel.key()));
        }
        if let Err(e) = outcome {
            if e.get_ref().is_some_and(|e| e.is::<StaleCheck>()) {
                return self.end(now, id, ConnectionEnd::FrameAborted, timers);
            }
            self.receive_before_close(now, id, ConnectionEnd::of(&e), timers);
        }
    }
}
