//! The scans in hand: what each is, and what is held for all of them.

mod admission;
mod completion;
mod coordination;
mod streamed_bodies;
mod transport;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use dunepond_body_buffer::{BodyId, Reason};
use dunepond_config::Bounds;
use dunepond_prefilter::{PrunedSegment, RequestFailure};
use dunepond_routing::{AttemptOutcome, Deployment, Idempotency, MAX_STALL_SECONDS, NodeId, QueryId};

use crate::body::Text;
use crate::body_store::Bodies;
use crate::buffers::Pool;
use crate::clock::{Alarms, Key};
use crate::control_plane::Fleet;
use crate::downstream::Clients;
use crate::frames;
use crate::prefilter_connections::Questions;
use crate::search_api::{Open, Searching};
use crate::upstream::Servers;
use coordination::Agreed;

/// A scan from its request until it is answered and all its dispatches are back.
struct InHand {
    /// The search of the API that it is.
    api: Option<Box<Searching>>,
    /// Nobody waits for an audit.
    client: Option<usize>,
    table_type: usize,
    call_id: String,
    text: Text,
    /// The body it came with in the raw form, and why that is not there for retries.
    body: Option<BodyId>,
    note: Option<Reason>,
    segs: Vec<usize>,
    ids: Vec<Rc<str>>,
    /// The value of each part that is in.
    values: Vec<Option<String>>,
    /// What was left out, and on whose word.
    left_out: Vec<PrunedSegment>,
    /// The nodes of each part's dispatches.
    shots: Vec<Vec<NodeId>>,
    /// When the first of each part's dispatches was sent that may have run; never, as long as there is none.
    ran: Vec<f64>,
    ends_at: f64,
    alarm: Option<Key>,
    customer: usize,
    agreed: Option<Agreed>,
    out: usize,
    /// Answered or given up by its client: nothing more goes out for it.
    over: bool,
}

pub struct Desk {
    pub now: f64,
    pool: Pool,
    pub alarms: Alarms,
    pub clients: Clients,
    pub servers: Servers,
    /// Bodies of the raw form; nothing where the operator's file does not ask for them.
    pub bodies: Option<Bodies>,
    /// Where two phases are on: the nodes that are asked first, and scans that are over, answered or not.
    pub questions: Option<Questions>,
    /// The fleet that this broker agrees with; none where the operator's file does not name it.
    pub fleet: Option<Fleet>,
    pub concluded: Vec<(QueryId, bool)>,
    /// Requests of the API whose searches are under way, by the number that their clients hold.
    requests: HashMap<u64, Open>,
    /// What nodes have given for scans in hand, in bytes.
    values: u64,
    /// Who brings each body.
    bringing: HashMap<BodyId, usize>,
    bounds: Rc<Bounds>,
    cells: usize,
    holders: usize,
    dispatch_cap: usize,
    /// The longest wait that a throttling reply may name.
    longest_wait: f64,
    /// The query timeouts of the table types, and for how long after a dispatch that may have run another may go out: with
    /// the margin that the module keeps.
    timeouts: Vec<f64>,
    windows: Vec<f64>,
    scans: HashMap<QueryId, InHand>,
    call_ids: HashSet<String>,
    last: QueryId,
    /// Scans and parts that are open.
    held: usize,
}

impl InHand {
    fn open_parts(&self) -> usize {
        self.values.iter().filter(|v| v.is_none()).count()
    }

    /// Part, number and node of each dispatch so far.
    fn dispatches(&self) -> Vec<(usize, usize, NodeId)> {
        let parts = self.shots.iter().enumerate();
        parts.flat_map(|(part, s)| s.iter().enumerate().map(move |(shot, n)| (part, shot, *n))).collect()
    }
}

fn may_have_run(end: AttemptOutcome) -> bool {
    !matches!(end, AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected)
}

fn window(repeat: Idempotency, margin: f64) -> f64 {
    match repeat {
        Idempotency::Idempotent => f64::MAX,
        Idempotency::Keyed(window) => window - margin,
        Idempotency::NonIdempotent => 0.0,
    }
}

impl Desk {
    pub fn new(
        site: &Deployment,
        bounds: Rc<Bounds>,
        pool: &Pool,
        clients: Clients,
        servers: Servers,
    ) -> Self {
        Self {
            now: 0.0,
            pool: pool.clone(),
            alarms: Alarms::default(),
            clients,
            servers,
            bodies: None,
            questions: None,
            fleet: None,
            requests: HashMap::new(),
            concluded: Vec::new(),
            values: 0,
            bringing: HashMap::new(),
            bounds,
            cells: site.replica_groups,
            holders: site.replicas,
            dispatch_cap: site.max_attempts,
            longest_wait: site.max_retry_after,
            timeouts: site.query_classes.iter().map(|t| t.timeout).collect(),
            windows: site.query_classes.iter().map(|t| window(t.idempotency, MAX_STALL_SECONDS)).collect(),
            scans: HashMap::new(),
            call_ids: HashSet::new(),
            last: 0,
            held: 0,
        }
    }

    pub fn customers(&self) -> Vec<String> {
        self.bounds.customers.clone()
    }

    pub fn table_types(&self) -> Vec<String> {
        self.bounds.table_types.clone()
    }

    /// Writes what was dispatched.
    pub fn flush(&mut self) {
        self.servers.flush(self.now, &mut self.alarms);
        while self.servers.is_short() {
            let room = self.make_room();
            self.servers.flush_short(self.now, room, &mut self.alarms);
        }
    }

    /// Where descriptors have run out, a client that waits for nothing gives up its own, or else a connection to some
    /// node that is idle: clients that fill all there is must cut off neither the nodes nor discovery.
    pub fn make_room(&mut self) -> bool {
        let (now, alarms) = (self.now, &mut self.alarms);
        self.clients.give_way(now, alarms) || self.servers.give_way(now, alarms)
    }

    fn is_full(&self) -> bool {
        self.bounds.most_held.is_some_and(|most| self.held >= most)
    }

    pub fn is_open(&self, scan: QueryId) -> bool {
        self.scans.get(&scan).is_some_and(|in_hand| !in_hand.over)
    }

    /// The text and shards of a scan, where it is one whose nodes may be asked first.
    pub fn asks_for(&self, scan: QueryId) -> Option<(Rc<str>, Vec<usize>)> {
        let in_hand = self.scans.get(&scan)?;
        match &in_hand.text {
            Text::Short(text) => Some((text.clone(), in_hand.segs.clone())),
            _ => None,
        }
    }

    /// Asks a node which shards can match; nothing new goes to one that drains or has gone.
    pub fn ask(&mut self, node: NodeId, question: u64, text: &str, segs: &[usize]) {
        let Some(questions) = &mut self.questions else { return };
        let frame = frames::question(question, text, segs);
        match self.servers.dial(node) {
            Some(dial) => questions.ask(self.now, node, dial, question, &frame, &mut self.alarms),
            None => questions.told.push_back((question, Err(RequestFailure::NodeGone))),
        }
    }

    pub fn leave_out(&mut self, scan: QueryId, left: Vec<PrunedSegment>) {
        self.scans.get_mut(&scan).into_iter().for_each(|in_hand| in_hand.left_out = left.clone());
    }

    pub fn search_after_all(&mut self, scan: QueryId, segs: &[usize]) {
        let in_hand = self.scans.get_mut(&scan).into_iter();
        in_hand.for_each(|in_hand| in_hand.left_out.retain(|left| !segs.contains(&left.segment)));
    }
}
