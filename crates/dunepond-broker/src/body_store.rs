//! The bodies of streamed requests: carries out what the body buffer decides (memory, file, pass-through) with the disk's threads.

use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};

use dunepond_body_buffer::{
    Arrival, BodyId, Done, Fault, Given, Job, Keeper, Kind, Place, Reason, Spool, Terms,
};
use tracing::info;

use crate::body::{BLOCK_BYTES, Body, Dropped};

/// What has become of a body, for whoever waits for it.
#[derive(Debug)]
pub enum BodyEvent {
    /// All of it has come and is kept: its query may begin.
    Buffered,
    /// It is passed on as it comes in, as it is not kept.
    PassThrough(Reason),
    /// It cannot be taken, or can be had no more.
    Lost(Reason),
}

/// A body and what is under way for it.
struct TrackedBody {
    body: Weak<Body>,
    table_type: usize,
    place: Place,
    /// From memory to its file, of which a part may be there already.
    moving: bool,
    /// Its client waits to hear that it is kept.
    awaiting_client: bool,
    /// Bytes handed to the disk, and since when the oldest of them is there.
    writing_bytes: u64,
    pending_reads: usize,
    since: Option<f64>,
    on_disk: bool,
}

pub struct BodyStore {
    keeper: Keeper,
    spool: Option<Spool>,
    held: HashMap<BodyId, TrackedBody>,
    dropped: Dropped,
    /// Bodies for which the disk had no room.
    waiting: Vec<BodyId>,
    table_types: Vec<String>,
    pub events: VecDeque<(BodyId, BodyEvent)>,
    /// A timer is set to look them over.
    pub check_scheduled: bool,
    /// More of some body can be read, or more taken in, than before.
    pub made_progress: bool,
}

impl BodyStore {
    pub fn new(terms: Terms, spool: Option<Spool>, table_types: Vec<String>) -> Self {
        Self {
            keeper: Keeper::new(terms),
            spool,
            held: HashMap::new(),
            dropped: Dropped::default(),
            waiting: Vec::new(),
            table_types,
            events: VecDeque::new(),
            check_scheduled: false,
            made_progress: false,
        }
    }

    pub fn terms(&self) -> &Terms {
        self.keeper.terms()
    }

    /// Other bounds; those of the files count only where there are threads for them.
    pub fn change(&mut self, mut terms: Terms) {
        if self.spool.is_none() {
            terms.files = None;
        }
        self.keeper.change(terms);
    }

    pub fn any(&self) -> bool {
        !self.held.is_empty()
    }

    /// A body begins to come in; what is not kept is told as an event at once.
    pub fn arrive(&mut self, now: f64, arrival: Arrival) -> Result<Rc<Body>, Reason> {
        let submitted = self.keeper.arrive(now, arrival);
        let Given { id, place, why } =
            submitted.inspect_err(|why| self.tell("rejected", arrival.table_type, *why))?;
        let reserved = place == Place::Memory && arrival.length.is_some();
        let limit = (!reserved).then_some(self.terms().window);
        let body = Body::new(id, arrival.length, limit, &self.dropped);
        let held = TrackedBody {
            body: Rc::downgrade(&body),
            table_type: arrival.table_type,
            place,
            moving: false,
            awaiting_client: place != Place::Passing,
            writing_bytes: 0,
            pending_reads: 0,
            since: None,
            on_disk: false,
        };
        self.held.insert(id, held);
        if let Some(why) = why {
            self.tell(
                if place == Place::File { "not in memory" } else { "not buffered" },
                arrival.table_type,
                why,
            );
            if place == Place::Passing {
                body.pass();
                self.events.push_back((id, BodyEvent::PassThrough(why)));
            }
        }
        Ok(body)
    }

    /// One line for each body that is not where it might be; the log holds floods of them back.
    fn tell(&self, what: &str, table_type: usize, why: Reason) {
        let name = self.table_types.get(table_type).map_or("?", String::as_str);
        info!(table_type = name, reason = %why, "body {what}");
    }

    /// More of a body has come, or something of it has been written: does what comes next for it.
    pub fn pump(&mut self, now: f64, id: BodyId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(body) = held.body.upgrade() else { return };
        if !body.has_known_length() && held.place != Place::Passing && held.awaiting_client {
            match self.keeper.grow(now, id, body.arrived()) {
                Ok(place) if place != held.place => {
                    held.place = place;
                    body.limit(self.keeper.terms().window);
                }
                // Up to what is reserved, and one block on, or it would never be asked for more.
                Ok(Place::Memory) => {
                    body.limit(self.keeper.reserved(id).max(body.arrived() + BLOCK_BYTES as u64))
                }
                Ok(_) => {}
                Err(why) => {
                    held.awaiting_client = false;
                    let table_type = held.table_type;
                    self.tell("rejected", table_type, why);
                    return self.events.push_back((id, BodyEvent::Lost(why)));
                }
            }
        }
        if (held.place == Place::File || held.moving) && !self.write(now, id, &body) {
            return;
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        if held.awaiting_client && body.is_whole() && (held.place == Place::Memory || body.is_on_disk()) {
            held.awaiting_client = false;
            self.keeper.whole(now, id);
            self.events.push_back((id, BodyEvent::Buffered));
            self.spill_coldest(now);
        } else if held.moving && body.is_on_disk() {
            (held.moving, held.place) = (false, Place::File);
            self.keeper.spilled(id);
        }
    }

    /// Hands over to the disk what may wait there; false if that has failed.
    fn write(&mut self, now: f64, id: BodyId, body: &Rc<Body>) -> bool {
        let window = self.terms().window;
        let (Some(spool), Some(held)) = (&self.spool, self.held.get_mut(&id)) else { return true };
        while held.writing_bytes < window
            && let Some((at, bytes)) = body.next_write()
        {
            let length = bytes.len() as u64;
            if spool.submit(Job::Write { file: id, at, bytes }).is_err() {
                body.give_back(at);
                // What of it is under way, or may wait where it is, goes on once the disk has done something.
                if held.writing_bytes == 0 && !held.moving {
                    self.fault(now, id, Fault::Busy);
                    return false;
                }
                self.waiting.push(id);
                return true;
            }
            held.on_disk = true;
            held.writing_bytes += length;
            held.since.get_or_insert(now);
        }
        true
    }

    /// The memory is pressed: the coldest go to files.
    fn spill_coldest(&mut self, now: f64) {
        for order in self.keeper.pressed(now) {
            if let Some(held) = self.held.get_mut(&order.0) {
                held.moving = true;
                self.pump(now, order.0);
            }
        }
    }

    /// What the disk has done.
    pub fn done(&mut self, now: f64, done: Done) {
        self.made_progress = true;
        for id in std::mem::take(&mut self.waiting) {
            self.pump(now, id);
        }
        let (Done::Wrote { file: id, .. } | Done::Read { file: id, .. } | Done::Failed { file: id, .. }) =
            done;
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(body) = held.body.upgrade() else { return };
        match done {
            Done::Wrote { at, length, .. } => {
                held.writing_bytes = held.writing_bytes.saturating_sub(length as u64);
                held.since = (held.writing_bytes > 0 || held.pending_reads > 0).then_some(now);
                body.wrote(at);
                self.pump(now, id);
            }
            Done::Read { at, bytes, .. } => {
                held.pending_reads = held.pending_reads.saturating_sub(1);
                held.since = (held.writing_bytes > 0 || held.pending_reads > 0).then_some(now);
                body.read(at, bytes);
            }
            // Of several writes under way all fail; what the body has fallen from cannot fail it again.
            Done::Failed { fault, .. } if fault != Fault::Unreadable && held.writing_bytes == 0 => {}
            Done::Failed { fault, .. } => self.fault(now, id, fault),
        }
    }

    /// The disk has failed a body: it goes on in the next place, stays where it is, or is lost.
    fn fault(&mut self, now: f64, id: BodyId, fault: Fault) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(body) = held.body.upgrade() else { return };
        if body.lost().is_some() {
            return;
        }
        (held.writing_bytes, held.pending_reads, held.since) = (0, 0, None);
        let table_type = held.table_type;
        let outcome = self.keeper.failed(now, id, fault);
        body.take_back();
        // What cannot be read back is gone, wherever it was to go next.
        match outcome
            .and_then(|to| if fault == Fault::Unreadable { Err(Reason::Disk(fault)) } else { Ok(to) })
        {
            Ok(Place::Memory) => {
                held.moving = false;
                self.tell("stays in memory", table_type, Reason::Disk(fault));
            }
            Ok(place) => {
                (held.place, held.awaiting_client) = (place, false);
                body.pass();
                self.tell("not buffered", table_type, Reason::Disk(fault));
                self.events.push_back((id, BodyEvent::PassThrough(Reason::Disk(fault))));
            }
            Err(why) => {
                (held.place, held.awaiting_client) = (Place::Passing, false);
                body.lose(why);
                self.tell("lost", table_type, why);
                self.events.push_back((id, BodyEvent::Lost(why)));
            }
        }
    }

    /// Asks the disk for what readers wait for.
    pub fn submit_reads(&mut self, now: f64) {
        let Some(spool) = &self.spool else { return };
        for (id, held) in &mut self.held {
            let Some(body) = held.body.upgrade().filter(|body| body.has_pending_reads()) else { continue };
            let window = self.keeper.terms().window.saturating_sub(body.unwritten_bytes());
            // Where too much waits for the disk, so does this: something is under way, and its end brings us back.
            if !spool.has_room() {
                return;
            }
            for (at, length) in body.next_reads(window as usize / BLOCK_BYTES) {
                spool.submit_over(Job::Read { file: *id, at, length });
                held.pending_reads += 1;
                held.since.get_or_insert(now);
            }
        }
    }

    /// What the disk has not done in time counts as failed.
    pub fn slow(&mut self, now: f64) {
        let slowest = self.terms().slowest;
        let late =
            self.held.iter().filter(|(_, held)| held.since.is_some_and(|since| now - since >= slowest));
        let late: Vec<_> = late.map(|(id, held)| (*id, held.writing_bytes > 0)).collect();
        for (id, writing_bytes) in late {
            self.fault(now, id, if writing_bytes { Fault::Slow } else { Fault::Unreadable });
        }
    }

    /// Lets go of what nobody holds any more, and names it.
    pub fn let_go(&mut self) -> Vec<BodyId> {
        let dropped = self.dropped.take();
        for &id in &dropped {
            self.keeper.let_go(id);
            if let Some(held) = self.held.remove(&id)
                && held.on_disk
                && let Some(spool) = &self.spool
            {
                spool.submit_over(Job::Close { file: id });
            }
        }
        dropped
    }

    /// An attempt takes it up.
    pub fn used(&mut self, now: f64, id: BodyId) {
        self.keeper.used(now, id);
    }

    /// What else requests hold at this moment.
    pub fn held_beside(&mut self, buffers: u64, values: u64) {
        self.keeper.held_beside(Kind::Buffers, buffers);
        self.keeper.held_beside(Kind::Values, values);
        let waiting = self.spool.as_ref().map_or(0, Spool::bytes);
        let counted = if waiting > 0 { self.held.values().map(|held| held.writing_bytes).sum() } else { 0 };
        self.keeper.held_beside(Kind::Unwritten, waiting.saturating_sub(counted));
    }

    /// A line of counters: what is held, and how often a body was not kept, by place, reason and query class.
    pub fn report(&self, copied: u64) {
        let holding = self.keeper.holding();
        let counts = self.keeper.counts().map(|(place, reason, table_type, count)| {
            let name = self.table_types.get(table_type).map_or("?", String::as_str);
            let place = match place {
                Place::Memory => "memory",
                Place::File => "file",
                Place::Passing => "taken",
            };
            format!("not {place}, {name}, {reason}: {count}")
        });
        let counts = counts.collect::<Vec<_>>().join("; ");
        info!(
            bodies = holding.bodies,
            kept = holding.kept,
            memory = holding.memory,
            files = holding.files,
            peak = holding.peak,
            copied_into_frames = copied,
            counts,
            "counters"
        );
    }
}
