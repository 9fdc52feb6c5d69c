//! Scans on their way out of hand: dispatches booked, clients answered, and all let go.

use dunepond_routing::{AttemptEnded, AttemptOutcome, QueryId};
use dunepond_search_api::ApiError;
use dunepond_search_api::answer::Answer;
use tracing::{debug, error, warn};

use super::{Desk, may_have_run};
use crate::body::Text;
use crate::downstream::complaint;
use crate::upstream::Back;

impl Desk {
    /// Books a dispatch that is back; `None` if the module has nothing to hear of it.
    pub fn book(&mut self, back: Back) -> Option<AttemptEnded> {
        let Back { mut ended, mut value, .. } = back;
        let in_hand = self.scans.get_mut(&ended.query)?;
        in_hand.out = in_hand.out.saturating_sub(1);
        if let Some(agreed) = &mut in_hand.agreed {
            agreed.ended(ended.part, ended.outcome);
        }
        if may_have_run(ended.outcome) {
            in_hand.ran[ended.part] = in_hand.ran[ended.part].min(self.now - ended.elapsed);
        }
        if let (Some(fleet), Some(text)) = (&self.fleet, &value) {
            fleet.carried(ended.node, in_hand.customer, text.len());
        }
        // What a node found is taken as it comes: one that is spoilt is a part that failed, and a part counts once.
        if let (Some(text), Some(api)) = (&value, &mut in_hand.api)
            && in_hand.values[ended.part].is_none()
            && !in_hand.over
        {
            match api.took(in_hand.segs[ended.part], text) {
                Ok(()) => value = Some(String::new()),
                Err(why) => {
                    warn!("node {}: an answer that will not do: {why}", self.servers.name(ended.node));
                    (ended.outcome, value) = (AttemptOutcome::Error, None);
                }
            }
        }
        debug!(
            "scan {}: part {} at {}: {:?} after {:.4}",
            in_hand.call_id,
            ended.part,
            self.servers.name(ended.node),
            ended.outcome,
            ended.elapsed
        );
        if let Some(value) = value
            && in_hand.values[ended.part].is_none()
        {
            self.values += value.len() as u64;
            in_hand.values[ended.part] = Some(value);
            self.held -= usize::from(!in_hand.over);
        }
        Some(ended)
    }

    /// Lets go of a scan once nothing can name it any more.
    pub fn release(&mut self, scan: QueryId) {
        if self.scans.get(&scan).is_some_and(|s| s.over && s.out == 0)
            && let Some(in_hand) = self.scans.remove(&scan)
        {
            self.alarms.unset(in_hand.alarm);
            self.values -= in_hand.values.iter().flatten().map(|value| value.len() as u64).sum::<u64>();
            self.call_ids.remove(&in_hand.call_id);
        }
    }

    /// A whole answer only tells how long scans take that are asked about, or not.
    pub(super) fn served(&mut self, scan: QueryId, whole: bool) {
        if whole && let Some(last) = self.concluded.last_mut().filter(|last| last.0 == scan) {
            last.1 = true;
        }
    }

    /// Looks whether the client of this scan has gone; the next that lets go of hang-ups will hear of it.
    pub fn look_after(&mut self, scan: QueryId) {
        let client = self.scans.get(&scan).filter(|s| !s.over).and_then(|s| s.client);
        if let Some(client) = client {
            self.clients.has_hung_up(self.now, client);
        }
    }

    /// The scan's client has gone.
    pub fn left(&mut self, scan: QueryId) {
        if let Some(in_hand) = self.scans.get(&scan) {
            debug!("scan {}: its client has left", in_hand.call_id);
        }
        self.conclude(scan);
    }

    /// A scan's time is up: what is out for it ends, as nobody waits for it. True if the module still owed
    /// an answer.
    pub fn scan_ends(&mut self, scan: QueryId) -> bool {
        let Some(in_hand) = self.scans.get_mut(&scan) else { return false };
        in_hand.alarm = None;
        let owed = !in_hand.over;
        for (part, shot, node) in in_hand.dispatches() {
            self.servers.give_up(
                self.now,
                node,
                (scan, part, shot),
                AttemptOutcome::TimedOut,
                &mut self.alarms,
            );
        }
        owed
    }

    /// The scans whose clients are still owed an answer.
    pub fn owed(&self) -> Vec<QueryId> {
        let owed = self.scans.iter().filter(|(_, in_hand)| !in_hand.over && in_hand.client.is_some());
        let mut owed: Vec<_> = owed.map(|(scan, _)| *scan).collect();
        owed.sort_unstable();
        owed
    }

    /// Answers late rather than never; no decision is left at this point.
    pub fn overdue(&mut self, scan: QueryId) {
        if let Some(client) = self.conclude(scan) {
            error!("scan {scan}: its time was up without an answer");
            self.note(scan, 504, false);
            if self.scans.get(&scan).is_some_and(|in_hand| in_hand.api.is_some()) {
                let e =
                    ApiError { status: 504, ..ApiError::shards_failed("its time was up without an answer") };
                return self.outcome(scan, Err(e), 0.0);
            }
            self.clients.reply(self.now, client, 504, "", 0.0, &mut self.alarms);
        }
    }

    /// The scan is over; gives its client, unless it was over before.
    pub(super) fn conclude(&mut self, scan: QueryId) -> Option<usize> {
        let in_hand = self.scans.get_mut(&scan).filter(|s| !s.over)?;
        in_hand.over = true;
        // What frames still carry of it they hold themselves.
        if in_hand.body.is_some() {
            in_hand.text = Text::Gone;
        }
        self.held -= 1 + in_hand.open_parts();
        let client = in_hand.client;
        for (part, shot, node) in in_hand.dispatches() {
            self.servers.withdraw(
                self.now,
                node,
                (scan, part, shot),
                AttemptOutcome::NotSent,
                &mut self.alarms,
            );
        }
        if self.questions.is_some() {
            self.concluded.push((scan, false));
        }
        client
    }

    /// No dispatch of a scan that is about to be answered has gone out whole, or can any more: it is harmless to ask again.
    pub(super) fn is_unsent(&mut self, scan: QueryId) -> bool {
        let Some(in_hand) = self.scans.get(&scan).filter(|s| s.ran.iter().all(|at| *at == f64::MAX)) else {
            return false;
        };
        let mut left = false;
        for (part, shot, node) in in_hand.dispatches() {
            let key = (scan, part, shot);
            self.servers.withdraw(self.now, node, key, AttemptOutcome::NotSent, &mut self.alarms);
            left |= self.servers.carries(node, key);
        }
        let mut ends = self.servers.back.iter().map(|back| &back.ended).filter(|ended| ended.query == scan);
        !left && !ends.any(|ended| may_have_run(ended.outcome))
    }

    pub(super) fn reply(&mut self, scan: QueryId, status: u16, body: &str, wait: f64) {
        if let Some(client) = self.conclude(scan) {
            let in_hand = &self.scans[&scan];
            debug!("scan {}: answered {status}", in_hand.call_id);
            if status != 200 {
                self.note(scan, status, false);
            }
            // Whoever could not be served for want of his body hears why it was not there.
            let note = in_hand.note.filter(|_| status != 200);
            let note = note.map(|why| complaint(&format!("body: not kept for retries: {why}")));
            let body = note.as_deref().unwrap_or(body);
            self.clients.reply(self.now, client, status, body, wait, &mut self.alarms);
        }
    }

    /// A scan of the API has its outcome.
    pub(super) fn outcome(&mut self, scan: QueryId, outcome: Result<Answer, ApiError>, wait: f64) {
        let Some(api) = self.scans.get(&scan).and_then(|in_hand| in_hand.api.as_ref()) else { return };
        let (request, place) = (api.request, api.place());
        self.done(request, place, outcome, wait);
    }

    /// A search of a request is through; with the last of them its client is answered.
    pub(super) fn done(&mut self, number: u64, place: usize, outcome: Result<Answer, ApiError>, wait: f64) {
        let Some(open) = self.requests.get_mut(&number) else { return };
        let client = open.client;
        if let Some((status, body, wait)) = open.done(self.now, place, outcome, wait) {
            self.requests.remove(&number);
            self.clients.reply(self.now, client, status, &body, wait, &mut self.alarms);
        }
    }

    /// All scans that were under way for whoever held this number.
    pub fn all_of(&mut self, number: QueryId) -> Vec<QueryId> {
        match self.requests.remove(&number) {
            Some(open) => open.scans,
            None => vec![number],
        }
    }
}
