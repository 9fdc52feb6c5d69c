//! Frames of bodies, which go on as their bodies do, and are cut where these are lost.

use std::collections::HashMap;

use super::{Link, Out, Servers};
use crate::clock::Alarms;
use crate::connection_end::Ending;

impl Servers {
    /// More of some body is there: what waited for it is written on.
    pub fn feed(&mut self, now: f64, alarms: &mut Alarms) {
        for id in std::mem::take(&mut self.starved) {
            self.write(now, id, alarms);
            self.rest(now, id, alarms);
        }
    }

    /// Ends what takes nothing of a passing body for too long while the others wait for it; true while any passes.
    pub fn pace(&mut self, now: f64, slowest: f64, alarms: &mut Alarms) -> bool {
        let mut passing = HashMap::new();
        for (id, link) in &self.links {
            let Some(reader) = link.out.body().filter(|r| r.body.is_passing()) else { continue };
            let place = reader.place();
            let before = self.paces.get(&id).filter(|before| before.0 == place);
            // Who waits for the client himself holds nobody up.
            let holds_up = reader.body.is_full();
            let since = before.filter(|_| holds_up).map_or(now, |before| before.1);
            passing.insert(id, (place, since));
        }
        let late: Vec<_> = passing.iter().filter(|(_, p)| now - p.1 >= slowest).map(|(id, _)| *id).collect();
        self.paces = passing;
        for id in late {
            self.paces.remove(&id);
            self.end(now, id, Ending::Outpaced, alarms);
        }
        !self.paces.is_empty()
    }

    /// Ends every frame that is half written and whose body can be had no more.
    pub fn cut_lost(&mut self, now: f64, alarms: &mut Alarms) {
        let lost = |l: &Link| {
            let framed = l.out.body().is_some_and(|r| r.body.lost().is_some());
            let waits = |o: &Out| o.to.is_none() && o.parcel.text.body().is_some_and(|b| b.lost().is_some());
            framed || l.carried.iter().any(waits)
        };
        let ids: Vec<_> = self.links.iter().filter(|(_, l)| lost(l)).map(|(id, _)| id).collect();
        ids.into_iter().for_each(|id| self.end(now, id, Ending::BodyLost, alarms));
    }
}
