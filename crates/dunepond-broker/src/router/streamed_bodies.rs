//! Scans in the raw form, and the bodies that they come with.

use std::rc::Rc;

use dunepond_body_buffer::{Arrival, BodyId, Reason};
use dunepond_routing::{Query, QueryId};

use super::Desk;
use crate::body::{Body, Text};
use crate::clock::Due;
use crate::downstream::Asked;
use crate::http::{Head, Refusal, refusal};

impl Desk {
    /// A scan in the raw form begins: its body is taken, or refused at once with the limit named.
    pub fn open(&mut self, client: usize, asked: Asked, head: Head) {
        let Some(bodies) = &mut self.bodies else { return };
        bodies.held_beside(self.pool.bytes(), self.values);
        let (customer, table_type) = (asked.customer, asked.table_type);
        let arrival = Arrival { customer, table_type, length: head.length() };
        match bodies.arrive(self.now, arrival) {
            Ok(body) => {
                if !bodies.watched {
                    bodies.watched = true;
                    self.alarms.set(self.now + bodies.terms().slowest / 4.0, Due::Bodies);
                }
                self.bringing.insert(body.id, client);
                // No client waits longer than its scan may take, whatever it says.
                let longest = self.now + self.timeouts[table_type];
                let asked = Asked { expires_at: asked.expires_at.min(longest), ..asked };
                self.clients.takes(self.now, client, asked, head, &body, &mut self.alarms);
            }
            Err(why) => self.refuse_body(client, why),
        }
    }

    fn refuse_body(&mut self, client: usize, why: Reason) {
        let (refusal, wait) = self.body_refusal(why);
        self.clients.refuse(self.now, client, refusal, wait, &mut self.alarms);
    }

    /// What is too long is so at any time; for all else trying again is harmless, as nothing was sent.
    fn body_refusal(&self, why: Reason) -> (Refusal, f64) {
        match why {
            Reason::TooLong | Reason::LengthUnknown => (refusal(413, format!("body: {why}")), 0.0),
            _ => (refusal(503, format!("body: {why}")), self.longest_wait),
        }
    }

    /// The scan of a body that is kept, or passes, may begin.
    pub fn begin(&mut self, body: BodyId, note: Option<Reason>) -> Option<(Query, Rc<Body>)> {
        let client = self.bringing.remove(&body)?;
        let (asked, body) = self.clients.begins(client, body, &mut self.alarms)?;
        let asked = Asked { text: Text::Body(body.clone()), ..asked };
        let scan = self.take(client, asked)?;
        self.scans.get_mut(&scan.id).into_iter().for_each(|in_hand| in_hand.note = note);
        Some((scan, body))
    }

    /// A body can be had no more: its client is refused while it brings it, and afterwards its scan is named.
    pub fn lost(&mut self, body: BodyId, why: Reason) -> Option<QueryId> {
        if let Some(client) = self.bringing.remove(&body) {
            let (refusal, wait) = self.body_refusal(why);
            self.clients.body_lost(self.now, client, body, refusal, wait, &mut self.alarms);
        }
        let (scan, in_hand) = self.scans.iter_mut().find(|(_, s)| s.body == Some(body) && !s.over)?;
        (in_hand.note, in_hand.text) = (Some(why), Text::Gone);
        Some(*scan)
    }

    /// Lets go of a scan's body where no dispatch can need it again.
    pub fn relax(&mut self, scan: QueryId, needed: impl Fn(QueryId) -> bool) {
        if let Some(in_hand) = self.scans.get_mut(&scan)
            && in_hand.text.body().is_some()
            && !needed(scan)
        {
            in_hand.text = Text::Gone;
        }
    }

    /// What bodies have brought about: frames go on, clients send on, files are read.
    pub fn feed(&mut self) {
        let Some(bodies) = &mut self.bodies else { return };
        let moved = std::mem::take(&mut self.clients.moved);
        if !moved.is_empty() {
            bodies.held_beside(self.pool.bytes(), self.values);
        }
        for id in moved {
            bodies.pump(self.now, id);
            bodies.progress = true;
        }
        bodies.fetch(self.now);
        if std::mem::take(&mut bodies.progress) {
            self.servers.feed(self.now, &mut self.alarms);
            bodies.fetch(self.now);
        }
        for id in bodies.let_go() {
            self.bringing.remove(&id);
        }
        self.clients.unstall();
    }

    pub fn report(&mut self, copied: u64) {
        if let Some(bodies) = &mut self.bodies {
            bodies.held_beside(self.pool.bytes(), self.values);
            bodies.report(copied);
        }
    }

    /// Looks over what passes and what the disk does, and again as long as there is something.
    pub fn look_over(&mut self) {
        let Some(bodies) = &mut self.bodies else { return };
        bodies.slow(self.now);
        let slowest = bodies.terms().slowest;
        self.servers.pace(self.now, slowest, &mut self.alarms);
        bodies.held_beside(self.pool.bytes(), self.values);
        bodies.watched = bodies.any();
        if bodies.watched {
            self.alarms.set(self.now + slowest / 4.0, Due::Bodies);
        }
    }
}
