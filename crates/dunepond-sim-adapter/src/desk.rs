//! One broker on the wire: its events become calls, its calls become orders, and the wire's ids
//! become small indices and back.

use std::collections::HashMap;

use dunepond_config::{Bad, Fields, deployment};
use dunepond_routing::{
    AttemptEnded, AttemptOutcome, Endpoint, NodeId, Part, Query, QueryId, Router, Transport,
};
use serde_json::{Value, json};

use crate::Lists;
use crate::read;

/// The names of a scan, kept until it has ended and all its dispatches have come back.
struct Named {
    xid: String,
    parts: Vec<String>,
    out: usize,
    over: bool,
}

/// Everything that the broker's calls need: the clock, the names, the orders so far.
#[derive(Default)]
struct Desk {
    now: f64,
    orders: Vec<Value>,
    nodes: Vec<String>,
    node_index: HashMap<String, NodeId>,
    scans: HashMap<QueryId, Named>,
    /// A scan by its own id (no part) or by a part's.
    ids: HashMap<String, (QueryId, Option<usize>)>,
}

/// A scan, or the parts of a second step, that is still being read.
struct Incoming {
    scan: QueryId,
    /// The scan itself with the number of parts it stated; absent at a second step.
    first: Option<(Query, usize)>,
    parts: Vec<Part>,
}

pub struct Seat {
    broker: Router,
    desk: Desk,
    incoming: Option<Incoming>,
    table_types: usize,
}

impl Desk {
    fn node(&mut self, name: &str) -> NodeId {
        if let Some(&node) = self.node_index.get(name) {
            return node;
        }
        self.nodes.push(name.to_string());
        self.node_index.insert(name.to_string(), self.nodes.len() - 1);
        self.nodes.len() - 1
    }

    fn release(&mut self, scan: QueryId) {
        if self.scans.get(&scan).is_some_and(|n| n.over && n.out == 0)
            && let Some(named) = self.scans.remove(&scan)
        {
            for id in named.parts.iter().chain([&named.xid]) {
                self.ids.remove(id);
            }
        }
    }
}

impl Transport for Desk {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(&mut self, scan: QueryId, part: usize, node: NodeId) {
        let Some(named) = self.scans.get_mut(&scan) else { return };
        named.out += 1;
        self.orders.push(json!({"what": "dispatch", "xid": named.parts[part], "node": self.nodes[node]}));
    }

    fn cancel_attempt(&mut self, scan: QueryId, part: usize, shot: usize) {
        if let Some(named) = self.scans.get(&scan) {
            self.orders.push(json!({"what": "stopAttempt", "xid": named.parts[part], "shot": shot}));
        }
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.orders.push(json!({"what": "shutIdle", "node": self.nodes[node]}));
    }

    fn probe(&mut self, node: NodeId) {
        self.orders.push(json!({"what": "sample", "node": self.nodes[node]}));
    }

    fn answer(&mut self, scan: QueryId, whole: bool) {
        if let Some(named) = self.scans.get(&scan) {
            self.orders.push(json!({"what": "conclude", "xid": named.xid, "on": whole}));
        }
    }

    fn reject_retriable(&mut self, scan: QueryId, wait: f64) {
        if let Some(named) = self.scans.get(&scan) {
            let wait_ms = wait * 1000.0;
            self.orders.push(json!({"what": "pushBack", "xid": named.xid, "waitMs": wait_ms}));
        }
    }

    fn fail_unknown_outcome(&mut self, scan: QueryId) {
        if let Some(named) = self.scans.get(&scan) {
            self.orders.push(json!({"what": "endFailed", "xid": named.xid}));
        }
    }

    fn finish(&mut self, scan: QueryId) {
        if let Some(named) = self.scans.get_mut(&scan) {
            named.over = true;
        }
        self.release(scan);
    }

    fn schedule_wake(&mut self, at: f64) {
        self.orders.push(json!({"what": "defer", "cookie": 0, "whenMs": at * 1000.0}));
    }

    fn poll_endpoint_list(&mut self) {
        self.orders.push(json!({"what": "observe", "on": true}));
    }

    fn log(&mut self, line: &str) {
        self.orders.push(json!({"what": "writeLog", "bodyText": line}));
    }
}

impl Seat {
    pub fn open(now: f64, init: &Fields) -> Result<Self, Bad> {
        let seed = init.whole("salt")?.cast_unsigned();
        let site = deployment(seed, &Fields::of("init params", init.raw("params")?)?)?;
        Ok(Self {
            table_types: site.query_classes.len(),
            broker: Router::new(site),
            desk: Desk { now, ..Desk::default() },
            incoming: None,
        })
    }

    pub fn take_orders(&mut self) -> Vec<Value> {
        std::mem::take(&mut self.desk.orders)
    }

    pub fn event(&mut self, now: f64, what: &str, event: &Fields, lists: &Lists) -> Result<(), Bad> {
        self.desk.now = now;
        if what != "arrival" {
            self.settle()?;
        }
        match what {
            "arrival" => self.arrival(event)?,
            "answer" => self.ended(event)?,
            "directoryUpdate" => self.listed(event, lists)?,
            "timeoutFired" => self.broker.on_wake(&mut self.desk),
            "clientLeft" => {
                if let Some(&(scan, None)) = self.desk.ids.get(event.text("xid")?) {
                    self.broker.on_client_disconnect(&mut self.desk, scan);
                }
            }
            "pingResult" => {
                let node = self.desk.node(event.text("node")?);
                let good = event.text("outcome")? == "GOOD";
                let took = event.number_or("delaySeenMs", 0.0)? / 1000.0;
                self.broker.on_probe_result(&mut self.desk, node, good.then_some(took));
            }
            // Known, and nothing the decisions go by here.
            "underWay" | "fromPeer" => {}
            other => eprintln!("dunepond-sim-adapter: {other}: unknown kind of event, skipped"),
        }
        Ok(())
    }

    /// Hands on what was being read, once nothing more of it can follow.
    pub fn settle(&mut self) -> Result<(), Bad> {
        let Some(incoming) = self.incoming.take() else { return Ok(()) };
        match incoming.first {
            None => self.broker.on_second_step(&mut self.desk, incoming.scan, incoming.parts),
            Some((_, stated)) if stated != incoming.parts.len() => {
                let came = incoming.parts.len();
                return Err(Bad(format!("arrival: shareOrCount: {stated} parts stated, {came} came")));
            }
            Some((scan, _)) => {
                self.broker.on_query(&mut self.desk, Query { parts: incoming.parts, ..scan });
            }
        }
        Ok(())
    }

    fn arrival(&mut self, event: &Fields) -> Result<(), Bad> {
        let xid = event.text("xid")?.to_string();
        let scan = event.count("query")?;
        let seg = event.whole("segmentNo")?;
        let share = event.number("shareOrCount")?;
        if self.incoming.as_ref().is_some_and(|i| i.scan != scan || seg < 0) {
            self.settle()?;
        }
        if seg < 0 {
            let first = Query {
                id: scan,
                class: event.index("cls", self.table_types)?,
                tenant: event.count_or("owner", 0)? as usize,
                expires_in: event.number("expiresInMs")? / 1000.0,
                is_retry: event.mark("resent")?,
                // The wire names a scan's parts; what they carry is its own matter.
                body_retained: true,
                streamed: false,
                awaits_prefilter: false,
                audit: false,
                parts: Vec::new(),
            };
            self.desk.ids.insert(xid.clone(), (scan, None));
            let named = Named { xid, parts: Vec::new(), out: 0, over: false };
            self.desk.scans.insert(scan, named);
            let first = Some((first, share as usize));
            self.incoming = Some(Incoming { scan, first, parts: Vec::new() });
            return Ok(());
        }
        let Some(named) = self.desk.scans.get_mut(&scan).filter(|n| !n.over) else {
            return Ok(());
        };
        self.desk.ids.insert(xid.clone(), (scan, Some(named.parts.len())));
        named.parts.push(xid);
        let part = Part { segment: seg as usize, weight: share, required_node: None };
        match &mut self.incoming {
            Some(incoming) => incoming.parts.push(part),
            None => self.incoming = Some(Incoming { scan, first: None, parts: vec![part] }),
        }
        Ok(())
    }

    fn ended(&mut self, event: &Fields) -> Result<(), Bad> {
        let end = match event.text("outcome")? {
            "GOOD" => AttemptOutcome::Served,
            "BAD" => AttemptOutcome::Error,
            "FULL" => AttemptOutcome::Rejected,
            "LATE" => AttemptOutcome::TimedOut,
            "NOCONN" => AttemptOutcome::ConnectFailed,
            "RST" => AttemptOutcome::ConnectionLost,
            "CXL" => AttemptOutcome::Cancelled,
            "NOP" => AttemptOutcome::NotSent,
            other => return Err(Bad(format!("answer: outcome: unknown word '{other}'"))),
        };
        let Some(&(scan, Some(part))) = self.desk.ids.get(event.text("xid")?) else {
            return Ok(());
        };
        let ended = AttemptEnded {
            query: scan,
            part,
            attempt: event.count_or("shot", 0)? as usize,
            node: self.desk.node(event.text("node")?),
            outcome: end,
            elapsed: event.number_or("delaySeenMs", 0.0)? / 1000.0,
        };
        self.broker.on_attempt_ended(&mut self.desk, ended);
        if let Some(named) = self.desk.scans.get_mut(&scan) {
            named.out = named.out.saturating_sub(1);
        }
        self.desk.release(scan);
        Ok(())
    }

    fn listed(&mut self, event: &Fields, lists: &Lists) -> Result<(), Bad> {
        let complete = match event.text("form")? {
            "changes" => false,
            "all" | "remembered" => true,
            "refused" => {
                self.broker.on_list_poll_failed(&mut self.desk);
                return Ok(());
            }
            other => return Err(Bad(format!("directoryUpdate: form: unknown word '{other}'"))),
        };
        let number = event.count("setId")?;
        let Some(rows) = lists.get(&number) else {
            return Err(Bad(format!("directoryUpdate: setId: no list {number} was registered")));
        };
        let mut listed = Vec::with_capacity(rows.len());
        for row in rows {
            listed.push(Endpoint {
                node: self.desk.node(&row.node),
                replica_group: row.cell,
                zone: row.area,
                state: read::standing(&row.mode)?,
                started_at: row.ready_at_ms / 1000.0,
            });
        }
        self.broker.update_endpoints(&mut self.desk, complete, &listed);
        Ok(())
    }
}
