//! The module's host: its orders go to the peers, and what comes back from them becomes its calls.

use dunepond_prefilter::PruningBasis;
use dunepond_routing::{AttemptOutcome, NodeId, QueryId, Transport};
use dunepond_search_api::ApiError;
use serde_json::json;
use tracing::{debug, error, info};

use super::Desk;
use super::coordination::Agreed;
use crate::body::{Reader, Text};
use crate::clock::Due;
use crate::upstream::Parcel;

impl Transport for Desk {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(&mut self, scan: QueryId, part: usize, node: NodeId) {
        let Some(in_hand) = self.scans.get_mut(&scan) else { return };
        let shot = in_hand.shots[part].len();
        in_hand.shots[part].push(node);
        in_hand.out += 1;
        let (id, text, until) = (in_hand.ids[part].clone(), in_hand.text.clone(), in_hand.ends_at);
        let seg = in_hand.segs[part];
        let reader = text.body().map(Reader::new);
        if let (Some(body), Some(bodies)) = (in_hand.body, &mut self.bodies) {
            bodies.used(self.now, body);
        }
        let gone = matches!(text, Text::Gone);
        let table_type = in_hand.table_type;
        let began = in_hand.agreed.as_ref().map(Agreed::began);
        let lapses = until.min(in_hand.ran[part] + self.windows[table_type]);
        let parcel = Parcel { scan, part, shot, id, seg, table_type, until, lapses, text, reader, began };
        let late = in_hand.over || gone || shot >= self.dispatch_cap || lapses <= self.now;
        let late = late || in_hand.client.is_some_and(|client| self.clients.has_hung_up(self.now, client));
        if !late && !self.may(node, &parcel) {
            return self.servers.back.push_back(parcel.unsent(node, AttemptOutcome::NotSent));
        }
        let holds = self.servers.holds(node, seg, self.cells, self.holders);
        if !late && !holds {
            error!("node {}: does not hold segment {seg}", self.servers.name(node));
        }
        if late || !holds {
            return self.servers.back.push_back(parcel.unsent(node, AttemptOutcome::NotSent));
        }
        debug!("scan {}: part {part} to {}", self.scans[&scan].call_id, self.servers.name(node));
        self.servers.dispatch(node, parcel);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.servers.close_idle(self.now, node, &mut self.alarms);
    }

    fn cancel_attempt(&mut self, scan: QueryId, part: usize, shot: usize) {
        let node = self.scans.get(&scan).and_then(|s| s.shots.get(part)?.get(shot).copied());
        if let Some(node) = node {
            self.servers.give_up(
                self.now,
                node,
                (scan, part, shot),
                AttemptOutcome::Cancelled,
                &mut self.alarms,
            );
        }
    }

    /// The frames know no probe, and the settings are read so that none is asked for.
    fn probe(&mut self, _: NodeId) {}

    fn answer(&mut self, scan: QueryId, whole: bool) {
        let whole = self.proves(scan, whole);
        if let Some(in_hand) = self.scans.get_mut(&scan)
            && let Some(api) = &mut in_hand.api
        {
            let segs: Vec<_> =
                in_hand.segs.iter().zip(&in_hand.values).map(|(s, v)| (*s, v.is_some())).collect();
            let left_out: Vec<_> = in_hand.left_out.iter().map(|left| left.segment).collect();
            let outcome = api.answer(self.now, whole, &segs, &left_out);
            if self.conclude(scan).is_some() {
                self.outcome(scan, outcome, 0.0);
                self.served(scan, whole);
            }
            return;
        }
        let Some(in_hand) = self.scans.get(&scan) else { return };
        let found = in_hand.segs.iter().zip(&in_hand.values);
        let found: Vec<_> =
            found.filter_map(|(seg, value)| Some(json!({"bucket": seg, "item": value.as_ref()?}))).collect();
        let mut body = json!({"finished": whole, "found": found});
        if !in_hand.left_out.is_empty() {
            let left_out = in_hand.left_out.iter().map(|left| {
                let name = |node: NodeId| self.servers.name(node);
                let words = match left.basis {
                    PruningBasis::TwoReplicas(a, b) => [name(a), name(b)],
                    PruningBasis::OwnSearch(a) => [name(a), "our own search"],
                };
                json!({"bucket": left.segment, "words": words})
            });
            body["left_out"] = left_out.collect();
        }
        let body = body.to_string();
        self.reply(scan, 200, &body, 0.0);
        self.served(scan, whole);
    }

    fn reject_retriable(&mut self, scan: QueryId, wait: f64) {
        if self.scans.get(&scan).is_some_and(|in_hand| in_hand.api.is_some()) {
            if self.conclude(scan).is_some() {
                self.note(scan, 429, false);
                self.outcome(scan, Err(ApiError::rejected("too much is asked for at this moment")), wait);
            }
            return;
        }
        self.reply(scan, 429, "", wait);
    }

    fn fail_unknown_outcome(&mut self, scan: QueryId) {
        // The module takes for sent what it has dispatched and not seen back; what still waits here has not left.
        if self.is_unsent(scan) {
            return self.reject_retriable(scan, 0.0);
        }
        if self.scans.get(&scan).is_some_and(|in_hand| in_hand.api.is_some()) {
            if self.conclude(scan).is_some() {
                self.note(scan, 502, false);
                self.outcome(scan, Err(ApiError::unknown_outcome()), 0.0);
            }
            return;
        }
        self.reply(scan, 502, "", 0.0);
    }

    fn finish(&mut self, scan: QueryId) {
        self.release(scan);
    }

    fn schedule_wake(&mut self, at: f64) {
        self.alarms.set(at, Due::Wake);
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }
}
