//! The time that each client has, and the one way its connection goes.

use dunepond_routing::QueryId;
use tracing::debug;

use super::{Clients, Phase, complaint};
use crate::clock::{Alarms, Due, Key};
use crate::connection_end::Ending;
use crate::http::refusal;
use crate::search_api;

/// Longest that a client may take over sending a request, from its connection on or from the first byte of a
/// later one. Clients that connect by hundreds and say nothing, or half of something, held all there was.
pub(super) const ASKS: f64 = 2.0;

impl Clients {
    /// From now on its time to ask runs.
    pub(super) fn asks(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        // On the way to the end there may be less time.
        let key = self.set(id, (now + ASKS).min(self.until), alarms);
        self.asking.insert(key, id);
    }

    /// It waits for nothing, until then at most.
    pub(super) fn rests(&mut self, id: usize, until: f64, alarms: &mut Alarms) {
        let key = self.set(id, until, alarms);
        self.resting.insert(key, id);
    }

    pub(super) fn set(&mut self, id: usize, at: f64, alarms: &mut Alarms) -> Key {
        self.calm(id, alarms);
        let key = alarms.set(at, Due::ClientSlow(id));
        self.clients[id].alarm = Some(key);
        key
    }

    pub(super) fn calm(&mut self, id: usize, alarms: &mut Alarms) {
        if let Some(key) = self.clients.get_mut(id).and_then(|c| c.alarm.take()) {
            alarms.unset(Some(key));
            self.asking.remove(&key);
            self.resting.remove(&key);
            self.lingering.remove(&key);
        }
    }

    /// A client has taken too long.
    pub fn slow(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> Option<QueryId> {
        self.calm(id, alarms);
        if self.lingers_on(now, id, alarms) {
            return None;
        }
        let client = self.clients.get_mut(id)?;
        if !client.out.is_empty() || !client.asking() {
            return self.end(id, Ending::Stalled, alarms);
        }
        if client.unasked() {
            self.part(now, id, alarms);
            return None;
        }
        client.keep = false;
        let why = refusal(408, "request: not whole in time");
        let body =
            if client.api { search_api::refused(&why).body().to_string() } else { complaint(&why.why) };
        self.reply(now, id, 408, &body, 0.0, alarms);
        None
    }

    /// The one way a connection goes; names the scan that was held for it.
    pub(super) fn end(&mut self, id: usize, ending: Ending, alarms: &mut Alarms) -> Option<QueryId> {
        self.calm(id, alarms);
        let client = self.clients.try_remove(id)?;
        self.handle.remove(client.token);
        debug!("client {id}: connection {ending}");
        self.make_room(alarms);
        match client.phase {
            Phase::Held(scan) => Some(scan),
            Phase::Raw(raw) => raw.scan,
            _ => None,
        }
    }
}
