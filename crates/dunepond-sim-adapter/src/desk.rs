//! One broker on the wire: its events become calls, its calls become orders, and the wire's ids
//! become small indices and back.

use std::collections::HashMap;

use dunepond_config::{Bad, Fields, deployment};
use dunepond_routing::{Broker, End, Ended, Host, Listed, NodeId, Part, Scan, ScanId};
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
    scans: HashMap<ScanId, Named>,
    /// A scan by its own id (no part) or by a part's.
    ids: HashMap<String, (ScanId, Option<usize>)>,
}

/// A scan, or the parts of a second step, that is still being read.
struct Incoming {
    scan: ScanId,
    /// The scan itself with the number of parts it stated; absent at a second step.
    first: Option<(Scan, usize)>,
    parts: Vec<Part>,
}

pub struct Seat {
    broker: Broker,
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

    fn release(&mut self, scan: ScanId) {
        if self.scans.get(&scan).is_some_and(|n| n.over && n.out == 0)
            && let Some(named) = self.scans.remove(&scan)
        {
            for id in named.parts.iter().chain([&named.xid]) {
                self.ids.remove(id);
            }
        }
    }
}

impl Host for Desk {
    fn now(&self) -> f64 {
        self.now
    }

    fn dispatch(&mut self, scan: ScanId, part: usize, node: NodeId) {
        let Some(named) = self.scans.get_mut(&scan) else { return };
        named.out += 1;
        self.orders.push(json!({"what": "dispatch", "xid": named.parts[part], "node": self.nodes[node]}));
    }

    fn cancel(&mut self, scan: ScanId, part: usize, shot: usize) {
        if let Some(named) = self.scans.get(&scan) {
            self.orders.push(json!({"what": "stopAttempt", "xid": named.parts[part], "shot": shot}));
        }
    }

    fn close_idle(&mut self, node: NodeId) {
        self.orders.push(json!({"what": "shutIdle", "node": self.nodes[node]}));
    }

    fn probe(&mut self, node: NodeId) {
        self.orders.push(json!({"what": "sample", "node": self.nodes[node]}));
    }

    fn answer(&mut self, scan: ScanId, whole: bool) {
        if let Some(named) = self.scans.get(&scan) {
            self.orders.push(json!({"what": "conclude", "xid": named.xid, "on": whole}));
        }
    }

    fn throttle(&mut self, scan: ScanId, wait: f64) {
        if let Some(named) = self.scans.get(&scan) {
            let wait_ms = wait * 1000.0;
            self.orders.push(json!({"what": "pushBack", "xid": named.xid, "waitMs": wait_ms}));
        }
    }

    fn abandon(&mut self, scan: ScanId) {
        if let Some(named) = self.scans.get(&scan) {
            self.orders.push(json!({"what": "endFailed", "xid": named.xid}));
        }
    }

    fn forget(&mut self, scan: ScanId) {
        if let Some(named) = self.scans.get_mut(&scan) {
            named.over = true;
        }
        self.release(scan);
    }

    fn wake_at(&mut self, at: f64) {
        self.orders.push(json!({"what": "defer", "cookie": 0, "whenMs": at * 1000.0}));
    }

    fn ask_list(&mut self) {
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
            table_types: site.table_types.len(),
            broker: Broker::new(site),
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
            "timeoutFired" => self.broker.wake(&mut self.desk),
            "clientLeft" => {
                if let Some(&(scan, None)) = self.desk.ids.get(event.text("xid")?) {
                    self.broker.client_left(&mut self.desk, scan);
                }
            }
            "pingResult" => {
                let node = self.desk.node(event.text("node")?);
                let good = event.text("outcome")? == "GOOD";
                let took = event.number_or("delaySeenMs", 0.0)? / 1000.0;
                self.broker.probed(&mut self.desk, node, good.then_some(took));
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
            None => self.broker.second_step(&mut self.desk, incoming.scan, incoming.parts),
            Some((_, stated)) if stated != incoming.parts.len() => {
                let came = incoming.parts.len();
                return Err(Bad(format!("arrival: shareOrCount: {stated} parts stated, {came} came")));
            }
            Some((scan, _)) => {
                self.broker.scan(&mut self.desk, Scan { parts: incoming.parts, ..scan });
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
            let first = Scan {
                id: scan,
                table_type: event.index("cls", self.table_types)?,
                customer: event.count_or("owner", 0)? as usize,
                expires_in: event.number("expiresInMs")? / 1000.0,
                resent: event.mark("resent")?,
                // The wire names a scan's parts; what they carry is its own matter.
                kept: true,
                long: false,
                waits: false,
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
        let part = Part { seg: seg as usize, weight: share, only: None };
        match &mut self.incoming {
            Some(incoming) => incoming.parts.push(part),
            None => self.incoming = Some(Incoming { scan, first: None, parts: vec![part] }),
        }
        Ok(())
    }

    fn ended(&mut self, event: &Fields) -> Result<(), Bad> {
        let end = match event.text("outcome")? {
            "GOOD" => End::Completed,
            "BAD" => End::Error,
            "FULL" => End::Full,
            "LATE" => End::TimedOut,
            "NOCONN" => End::NoConnection,
            "RST" => End::Dropped,
            "CXL" => End::Cancelled,
            "NOP" => End::NotSent,
            other => return Err(Bad(format!("answer: outcome: unknown word '{other}'"))),
        };
        let Some(&(scan, Some(part))) = self.desk.ids.get(event.text("xid")?) else {
            return Ok(());
        };
        let ended = Ended {
            scan,
            part,
            shot: event.count_or("shot", 0)? as usize,
            node: self.desk.node(event.text("node")?),
            end,
            took: event.number_or("delaySeenMs", 0.0)? / 1000.0,
        };
        self.broker.ended(&mut self.desk, ended);
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
                self.broker.list_refused(&mut self.desk);
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
            listed.push(Listed {
                node: self.desk.node(&row.node),
                cell: row.cell,
                zone: row.area,
                standing: read::standing(&row.mode)?,
                started: row.ready_at_ms / 1000.0,
            });
        }
        self.broker.listed(&mut self.desk, complete, &listed);
        Ok(())
    }
}
