//! Frames on their way out: parts put together to calls, and written as far as the connection takes them.

use std::io;

use dunepond_routing::NodeId;
use dunepond_search_api::node;
use tracing::debug;

use super::{Link, Out, Parcel, Servers, ownership_check};
use crate::body::Text;
use crate::buffers::SIZE;
use crate::clock::Alarms;
use crate::connection_end::Ending;
use crate::control_plane::{Late, Look, Timely};
use crate::frames;

/// A text up to so long is copied into its frames: a piece of its own for it would cost more.
const COPIED: usize = 2048;

/// Names of the table types, which of them must not run twice, and the node's name.
type Spoken<'a> = (&'a [String], &'a [bool], &'a str);

impl Link {
    /// Frames what waits, once what is framed has gone out; as requests of the API where it is spoken. `look`: by what the
    /// parts on it were let go, where that must not be old.
    pub(super) fn write(&mut self, now: f64, api: Option<Spoken>, look: Option<&Look>) -> io::Result<()> {
        loop {
            self.out.flush(Timely { stream: &*self.stream, look })?;
            if !self.out.is_empty() {
                self.unframe();
                return Ok(());
            }
            if self.carried.iter().all(|o| o.to.is_some()) {
                return Ok(());
            }
            while self.out.waiting() < SIZE
                && let Some(call) = self.carried.iter().find(|o| o.to.is_none()).map(|o| o.call)
            {
                if let Some((names, once, host)) = &api {
                    let Some(out) = self.carried.iter_mut().find(|o| o.call == call) else { return Ok(()) };
                    let (parcel, what) = (&mut out.parcel, ["_search", "_update_by_query"]);
                    let what = what[usize::from(once[parcel.table_type])];
                    let wait = ((parcel.until - now).max(0.001) * 1000.0) as u64;
                    let index = &names[parcel.table_type];
                    let length = parcel.text.length();
                    out.from = self.out.end();
                    self.out.put(&node::head(host, index, what, parcel.seg, &parcel.id, wait, length));
                    if let Text::Short(text) = &parcel.text {
                        self.out.put_text(text);
                    }
                    if let Some(reader) = parcel.reader.take() {
                        self.out.put_body(reader);
                    }
                    out.to = Some(self.out.end());
                    continue;
                }
                let from = self.out.end();
                let parts = self.carried.iter().filter(|o| o.call == call).map(|o| &o.parcel);
                let wait = |p: &Parcel| ((p.until - now).max(0.001) * 1000.0) as u64;
                let small = |p: &Parcel| match &p.text {
                    Text::Short(text) if text.len() <= COPIED => Some(text.clone()),
                    _ => None,
                };
                if let Some(texts) = parts.clone().map(small).collect::<Option<Vec<_>>>() {
                    let parts = parts.zip(&texts).map(|(p, text)| (&*p.id, p.seg, wait(p), &**text));
                    self.out.put(&frames::call(parts));
                } else {
                    let line = |p: &Parcel| frames::line(&p.id, p.seg, wait(p), p.text.length());
                    let lines: Vec<_> = parts.clone().map(line).collect();
                    let texts: u64 = parts.clone().map(|p| p.text.length()).sum();
                    let lengths = lines.iter().map(|line| line.len() as u64).sum::<u64>();
                    let mut head = frames::call_head(lengths + texts).to_vec();
                    let parts = self.carried.iter_mut().filter(|o| o.call == call).map(|o| &mut o.parcel);
                    for (line, part) in lines.iter().zip(parts) {
                        head.extend_from_slice(line.as_bytes());
                        self.out.put_few(std::mem::take(&mut head));
                        if let Text::Short(text) = &part.text {
                            self.out.put_text(text);
                        }
                        if let Some(reader) = part.reader.take() {
                            self.out.put_body(reader);
                        }
                    }
                }
                let to = Some(self.out.end());
                self.carried.iter_mut().filter(|o| o.call == call).for_each(|o| (o.from, o.to) = (from, to));
            }
        }
    }

    /// Takes back the frames of which not a byte has gone out: by the time that they can, the time that they tell is
    /// no longer what is left, their scans may be over and their node may be due nothing new.
    fn unframe(&mut self) {
        let begun = self.out.written();
        let unbegun = |o: &&mut Out| o.to.is_some() && o.from >= begun;
        let Some(from) = self.carried.iter_mut().filter(unbegun).map(|o| o.from).min() else { return };
        let mut reader = self.out.take_back(from);
        for out in self.carried.iter_mut().filter(unbegun) {
            out.to = None;
            if out.parcel.text.body().is_some() {
                out.parcel.reader = reader.take();
            }
        }
    }
}

impl Servers {
    /// Frames what the last call dispatched and writes it.
    pub fn flush(&mut self, now: f64, alarms: &mut Alarms) {
        for node in std::mem::take(&mut self.batched) {
            let mut batch = std::mem::take(&mut self.servers[node].batch).into_iter().peekable();
            let api = self.speaks_api(node);
            while let Some(first) = batch.next() {
                let mut parcels = vec![first];
                // A body goes alone, on a connection that it has for itself; so does each part where the API is spoken.
                if parcels[0].text.body().is_none() && !api {
                    while parcels.len() < self.bounds.parts_a_call.min(self.bounds.parts_a_connection)
                        && let Some(next) = batch.next_if(|p| p.text.body().is_none())
                    {
                        parcels.push(next);
                    }
                }
                self.call(now, node, parcels, alarms);
            }
            for id in self.servers[node].links.clone() {
                self.write(now, id, alarms);
                self.rest(now, id, alarms);
            }
        }
    }

    /// Some call has found no descriptor.
    pub fn is_short(&self) -> bool {
        !self.short.is_empty()
    }

    /// Makes one of those calls again, as there is room now; or else tells that it was not sent.
    pub fn flush_short(&mut self, now: f64, room: bool, alarms: &mut Alarms) {
        let Some((node, parcels)) = self.short.pop() else { return };
        if room {
            self.call(now, node, parcels, alarms);
            self.servers[node].links.clone().into_iter().for_each(|id| self.write(now, id, alarms));
        } else {
            debug!("node {}: connection {}", self.name(node), Ending::NoDescriptor);
            self.back.extend(parcels.iter().map(|p| p.unsent(node, Ending::NoDescriptor.end(false))));
        }
    }

    fn call(&mut self, now: f64, node: NodeId, parcels: Vec<Parcel>, alarms: &mut Alarms) {
        let mut open = self.fit(now, node, &parcels);
        // The node may have closed it in this very moment, and what is written to it then may have run for all that we
        // know: an idle connection is read once more before it is used.
        while let Some(id) = open.filter(|id| self.links[*id].is_idle()) {
            self.read(now, id, alarms);
            if self.links.contains(id) {
                break;
            }
            open = self.fit(now, node, &parcels);
        }
        let id = match open.map_or_else(|| self.connect(now, node, alarms), Ok) {
            Ok(id) => id,
            Err(Ending::NoDescriptor) => return self.short.push((node, parcels)),
            Err(ending) => {
                debug!("node {}: connection {ending}", self.name(node));
                return self.back.extend(parcels.iter().map(|p| p.unsent(node, ending.end(false))));
            }
        };
        let link = &mut self.links[id];
        link.calls += 1;
        let call = link.calls;
        link.carried.extend(parcels.into_iter().map(|parcel| Out {
            parcel,
            sent: now,
            call,
            from: 0,
            to: None,
            noted: false,
        }));
        if link.up {
            let alarm = link.alarm.take();
            alarms.unset(alarm);
            alarm.and_then(|key| self.idle.remove(&key));
        }
    }

    /// A connection that can take these parts as one call.
    fn fit(&self, now: f64, node: NodeId, parcels: &[Parcel]) -> Option<usize> {
        // What is beyond it waits unread at the node: the time that it tells runs out there, and its cancel waits behind it.
        let (most, api) = (self.bounds.parts_a_connection, self.speaks_api(node));
        let alone = api || parcels[0].text.body().is_some();
        let room = |l: &Link| {
            let free = if alone { l.carried.is_empty() } else { !l.is_taken() };
            free && l.carried.len() + l.given_up.len() + parcels.len() <= most
        };
        // Half a frame may be all that ever comes on it; and one that is due to be closed may be closed over there.
        let sound = |l: &Link| !l.retired && l.api == api && l.input.is_none() && !l.is_over(now);
        // Both of a part's dispatches would have one name there: an end that came twice would be taken for the other's.
        let again = |l: &Link| parcels.iter().any(|p| p.shot > 0 && l.knows(&p.id));
        self.servers[node].links.iter().copied().find(|id| {
            let link = &self.links[*id];
            sound(link) && room(link) && !again(link)
        })
    }

    pub(super) fn write(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        // Only parts that must not run twice are judged, and only where that is written down are others looked at.
        let gate = self.gate.as_ref();
        let carried = self.links.get(id).map(|link| &link.carried);
        let once = gate
            .zip(carried)
            .is_some_and(|(gate, carried)| carried.iter().any(|o| gate.once(o.parcel.table_type)));
        let look = gate.filter(|gate| once || gate.hand.is_audited()).map(|gate| gate.look());
        if let Some(look) = &look
            && !self.hold_back(look, now, id, alarms)
        {
            return self.end(now, id, Ending::CutShort, alarms);
        }
        if !self.lapse(now, id) {
            return self.end(now, id, Ending::CutShort, alarms);
        }
        let Some(link) = self.links.get_mut(id).filter(|l| l.up) else { return };
        let host = self.servers[link.node].row.as_ref().map_or("?", |row| &row.host);
        let spoken = self.api.as_ref().filter(|_| link.api);
        let spoken = spoken.map(|(_, once)| (&self.bounds.table_types[..], &once[..], host));
        let outcome = link.write(now, spoken, look.as_ref().filter(|_| once));
        self.copied += link.out.take_copied();
        if let (Some(gate), Some(look)) = (&self.gate, &look) {
            ownership_check::note(gate, look, host, link);
        }
        if link.out.is_starved() {
            self.starved.push(id);
        }
        // A body is alone on its connection while it is on its way, and the first that is carried there.
        if let Some(out) = link.carried.front_mut()
            && out.parcel.text.body().is_some()
            && out.to.is_some_and(|to| to <= link.out.written())
        {
            // It is through with it: what waits behind it may be as long.
            out.parcel.text = Text::Gone;
            self.framed.push_back((link.node, out.parcel.key()));
        }
        if let Err(e) = outcome {
            if e.get_ref().is_some_and(|e| e.is::<Late>()) {
                return self.end(now, id, Ending::CutShort, alarms);
            }
            self.read_out(now, id, Ending::of(&e), alarms);
        }
    }
}
