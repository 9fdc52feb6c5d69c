//! The router's transport on the wire: its calls become orders, its ids the wire's names.

use std::collections::HashMap;

use dunepond_routing::{NodeId, QueryId, Transport};
use serde_json::Value;

use crate::wire::order;

/// The wire's names of a query, kept until it has ended and all its attempts have come back.
struct QueryNames {
    query: String,
    parts: Vec<String>,
    outstanding: usize,
    is_over: bool,
}

/// What a name on the wire stands for.
#[derive(Clone, Copy)]
pub enum Named {
    Query(QueryId),
    Part(QueryId, usize),
}

/// The clock, the names, and the orders since they were last taken. A query whose names have been dropped gets no order.
#[derive(Default)]
pub struct WireTransport {
    pub now: f64,
    orders: Vec<Value>,
    node_names: Vec<String>,
    node_ids: HashMap<String, NodeId>,
    queries: HashMap<QueryId, QueryNames>,
    by_name: HashMap<String, Named>,
}

impl WireTransport {
    pub fn new(now: f64) -> Self {
        Self { now, ..Self::default() }
    }

    pub fn take_orders(&mut self) -> Vec<Value> {
        std::mem::take(&mut self.orders)
    }

    pub fn named(&self, name: &str) -> Option<Named> {
        self.by_name.get(name).copied()
    }

    /// The id of a node, which its name gets when it is first met.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(&node) = self.node_ids.get(name) {
            return node;
        }
        let node = self.node_names.len();
        self.node_names.push(name.to_string());
        self.node_ids.insert(name.to_string(), node);
        node
    }

    pub fn add_query(&mut self, id: QueryId, name: String) {
        self.by_name.insert(name.clone(), Named::Query(id));
        let names = QueryNames { query: name, parts: Vec::new(), outstanding: 0, is_over: false };
        self.queries.insert(id, names);
    }

    /// Names the next part of a query; false if that query is over.
    pub fn add_part(&mut self, id: QueryId, name: String) -> bool {
        let Some(names) = self.queries.get_mut(&id) else { return false };
        if names.is_over {
            return false;
        }
        self.by_name.insert(name.clone(), Named::Part(id, names.parts.len()));
        names.parts.push(name);
        true
    }

    pub fn on_attempt_returned(&mut self, id: QueryId) {
        if let Some(names) = self.queries.get_mut(&id) {
            names.outstanding = names.outstanding.saturating_sub(1);
        }
        self.release(id);
    }

    /// Drops the names of a query that is over and has no outstanding attempt.
    fn release(&mut self, id: QueryId) {
        let Some(names) = self.queries.get(&id) else { return };
        if !names.is_over || names.outstanding > 0 {
            return;
        }
        for name in names.parts.iter().chain([&names.query]) {
            self.by_name.remove(name);
        }
        self.queries.remove(&id);
    }
}

impl Transport for WireTransport {
    fn now(&self) -> f64 {
        self.now
    }

    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId) {
        let Some(names) = self.queries.get_mut(&query) else { return };
        names.outstanding += 1;
        self.orders.push(order::dispatch(&names.parts[part], &self.node_names[node]));
    }

    fn cancel_attempt(&mut self, query: QueryId, part: usize, attempt: usize) {
        if let Some(names) = self.queries.get(&query) {
            self.orders.push(order::cancel(&names.parts[part], attempt));
        }
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.orders.push(order::close_idle(&self.node_names[node]));
    }

    fn probe(&mut self, node: NodeId) {
        self.orders.push(order::probe(&self.node_names[node]));
    }

    fn answer(&mut self, query: QueryId, is_complete: bool) {
        if let Some(names) = self.queries.get(&query) {
            self.orders.push(order::answer(&names.query, is_complete));
        }
    }

    fn reject_retriable(&mut self, query: QueryId, retry_after: f64) {
        if let Some(names) = self.queries.get(&query) {
            self.orders.push(order::reject_retriable(&names.query, retry_after));
        }
    }

    fn fail_unknown_outcome(&mut self, query: QueryId) {
        if let Some(names) = self.queries.get(&query) {
            self.orders.push(order::fail(&names.query));
        }
    }

    fn finish(&mut self, query: QueryId) {
        if let Some(names) = self.queries.get_mut(&query) {
            names.is_over = true;
        }
        self.release(query);
    }

    fn schedule_wake(&mut self, at: f64) {
        self.orders.push(order::wake_at(at));
    }

    fn poll_endpoint_list(&mut self) {
        self.orders.push(order::poll_endpoints());
    }

    fn log(&mut self, line: &str) {
        self.orders.push(order::log(line));
    }
}
