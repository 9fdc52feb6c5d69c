//! Scans taken in hand: of clients, of the API's requests, and audits.

use std::rc::Rc;

use dunepond_routing::{Part, Query};
use dunepond_search_api::{ApiError, Call, Search, answer};
use tracing::debug;

use super::{Desk, InHand};
use crate::body::Text;
use crate::clock::Due;
use crate::downstream::{Asked, complaint};
use crate::search_api::{Open, Request, Searching};

impl Desk {
    /// Takes a scan in hand; one too many is turned away before the module hears of it.
    pub fn take(&mut self, client: usize, asked: Asked) -> Option<Query> {
        if self.is_full() {
            debug!("scan {}: throttled, {} scans and parts are held", asked.call_id, self.held);
            self.clients.reply(self.now, client, 503, "", self.longest_wait, &mut self.alarms);
            return None;
        }
        if self.call_ids.contains(&asked.call_id) {
            let body = complaint("X-Call-Id: in use");
            self.clients.reply(self.now, client, 400, &body, 0.0, &mut self.alarms);
            return None;
        }
        let scan = self.hold(client, asked, None);
        self.clients.holds(client, scan.id);
        Some(scan)
    }

    /// Takes a request of the API in hand: a scan for each of its searches; what has none has its outcome at once.
    pub fn request(&mut self, client: usize, request: &Request) -> Vec<Query> {
        let Some(door) = self.clients.api.clone() else { return Vec::new() };
        let (now, call) = (self.now, &request.call);
        let searches: Vec<Result<&Search, ApiError>> = match call {
            Call::Info => {
                let body = answer::info("dunepond", env!("CARGO_PKG_VERSION")).to_string();
                self.clients.reply(now, client, 200, &body, 0.0, &mut self.alarms);
                return Vec::new();
            }
            Call::Health => {
                let (nodes, active) = self.servers.count();
                let body = answer::health(nodes, active, self.bounds.segs).to_string();
                self.clients.reply(now, client, 200, &body, 0.0, &mut self.alarms);
                return Vec::new();
            }
            Call::Search(search) | Call::Count(search) | Call::Update(search) => vec![Ok(&**search)],
            Call::Multi(searches) => searches.iter().map(|s| s.as_ref().map_err(Clone::clone)).collect(),
        };
        self.last += 1;
        let number = self.last;
        self.requests.insert(number, Open::new(client, now, call));
        self.clients.holds(client, number);
        let mut scans = Vec::new();
        for (place, search) in searches.into_iter().enumerate() {
            let outcome = match search {
                Ok(_) if self.is_full() => {
                    Err(ApiError::rejected("as many scans and parts are held as may be"))
                }
                Ok(search) => {
                    let id = if request.id.is_empty() { "api" } else { &request.id };
                    let call_id = format!("{id}-{number}-{place}");
                    let asked = door.asked(search, request, call_id);
                    let searching = Searching::new(&door, number, place, search, call, now);
                    let scan = self.hold(client, asked, Some(Box::new(searching)));
                    if let Some(open) = self.requests.get_mut(&number) {
                        open.scans.push(scan.id);
                    }
                    scans.push(scan);
                    continue;
                }
                Err(e) => Err(e),
            };
            let wait = if outcome.as_ref().is_err_and(|e| e.status == 429) { self.longest_wait } else { 0.0 };
            self.done(number, place, outcome, wait);
        }
        scans
    }

    fn hold(&mut self, client: usize, asked: Asked, api: Option<Box<Searching>>) -> Query {
        self.call_ids.insert(asked.call_id.clone());
        self.last += 1;
        let scan = self.last;
        // No client waits longer, whatever it says, and nothing is held for longer.
        let client_until = asked.expires_at.min(self.now + self.timeouts[asked.table_type]);
        let ends_at = client_until.min(self.clients.until);
        let segs: Vec<_> = asked.parts.iter().map(|p| p.segment).collect();
        let count = segs.len();
        self.held += 1 + count;
        let left = client_until - self.now;
        debug!("scan {}: taken as {scan}, {count} parts, {left:.3} s left", asked.call_id);
        let body = asked.text.body().map(|body| body.id);
        let kept = !asked.text.body().is_some_and(|body| body.is_passing());
        let in_hand = InHand {
            api,
            client: Some(client),
            table_type: asked.table_type,
            text: asked.text,
            body,
            note: None,
            left_out: Vec::new(),
            ids: segs.iter().map(|seg| format!("{}.{seg}", asked.call_id).into()).collect(),
            segs,
            values: vec![None; count],
            shots: vec![Vec::new(); count],
            ran: vec![f64::MAX; count],
            ends_at,
            alarm: Some(self.alarms.set(ends_at, Due::ScanEnds(scan))),
            customer: asked.customer,
            agreed: None,
            out: 0,
            over: false,
            call_id: asked.call_id,
        };
        self.scans.insert(scan, in_hand);
        Query {
            id: scan,
            class: asked.table_type,
            tenant: asked.customer,
            expires_in: client_until - self.now,
            is_retry: asked.resent,
            body_retained: kept,
            streamed: body.is_some(),
            awaits_prefilter: false,
            audit: false,
            parts: asked.parts,
        }
    }

    /// A scan of one shard that no client waits for, as the module takes it; none where too much is held.
    pub fn audit(&mut self, table_type: usize, seg: usize, text: Rc<str>) -> Option<Query> {
        let call_id = format!("audit-{}", self.last + 1);
        let room = self.bounds.most_held.is_none_or(|most| self.held + 2 <= most);
        if !room || !self.call_ids.insert(call_id.clone()) {
            return None;
        }
        self.last += 1;
        self.held += 2;
        let (scan, ends_at) = (self.last, self.now + self.timeouts[table_type]);
        debug!("scan {call_id}: an audit of {seg}");
        let in_hand = InHand {
            api: None,
            client: None,
            table_type,
            text: Text::Short(text),
            body: None,
            note: None,
            left_out: Vec::new(),
            ids: vec![format!("{call_id}.{seg}").into()],
            segs: vec![seg],
            values: vec![None],
            shots: vec![Vec::new()],
            ran: vec![f64::MAX],
            ends_at,
            alarm: Some(self.alarms.set(ends_at, Due::ScanEnds(scan))),
            customer: usize::MAX,
            agreed: None,
            out: 0,
            over: false,
            call_id,
        };
        self.scans.insert(scan, in_hand);
        Some(Query {
            id: scan,
            class: table_type,
            // Of no customer's share, and of no tries that the module compares with each other.
            tenant: self.bounds.customers.len() + 1,
            expires_in: ends_at - self.now,
            is_retry: false,
            body_retained: true,
            streamed: false,
            awaits_prefilter: false,
            audit: true,
            parts: vec![Part { segment: seg, weight: 1.0, required_node: None }],
        })
    }
}
