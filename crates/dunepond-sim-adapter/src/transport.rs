//! The router's transport on the wire: converts the router's calls to orders, and its ids to the wire's names.

use std::collections::HashMap;

use dunepond_routing::{NodeId, QueryId, Transport};
use serde_json::Value;

use crate::wire::order;

/// The wire's names of a query and its parts, kept until the query and all its attempts have ended.
struct QueryNames {
    query: String,
    parts: Vec<String>,
    /// Number of attempts whose end has not been reported.
    outstanding: usize,
    is_finished: bool,
}

/// What a name on the wire refers to.
#[derive(Clone, Copy)]
pub enum Named {
    /// A query.
    Query(QueryId),
    /// A part, by its query and its position among the query's parts.
    Part(QueryId, usize),
}

/// The simulator's clock, the wire's names of nodes, queries and parts, and the orders that have not been passed to the
/// simulator yet. No order is written for a query whose names have been dropped.
#[derive(Default)]
pub struct WireTransport {
    /// The instant of the batch of events that is being handled, in seconds on the simulator's clock.
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

    /// Returns the orders that the router has given since the last call of this method.
    pub fn take_orders(&mut self) -> Vec<Value> {
        std::mem::take(&mut self.orders)
    }

    /// Returns what a name refers to; `None` if it is not known or has been dropped.
    pub fn named(&self, name: &str) -> Option<Named> {
        self.by_name.get(name).copied()
    }

    /// Returns the id of a node, and assigns one if the name is new.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(&node) = self.node_ids.get(name) {
            return node;
        }
        let node = self.node_names.len();
        self.node_names.push(name.to_string());
        self.node_ids.insert(name.to_string(), node);
        node
    }

    /// Registers the name of a query.
    pub fn add_query(&mut self, id: QueryId, name: String) {
        self.by_name.insert(name.clone(), Named::Query(id));
        let names = QueryNames { query: name, parts: Vec::new(), outstanding: 0, is_finished: false };
        self.queries.insert(id, names);
    }

    /// Registers the name of the next part of a query; returns false if the query has finished.
    pub fn add_part(&mut self, id: QueryId, name: String) -> bool {
        let Some(names) = self.queries.get_mut(&id) else { return false };
        if names.is_finished {
            return false;
        }
        self.by_name.insert(name.clone(), Named::Part(id, names.parts.len()));
        names.parts.push(name);
        true
    }

    /// Records that an attempt of a query has ended.
    pub fn on_attempt_ended(&mut self, id: QueryId) {
        if let Some(names) = self.queries.get_mut(&id) {
            names.outstanding = names.outstanding.saturating_sub(1);
        }
        self.drop_unused_names(id);
    }

    /// Drops the names of a query that has finished and has no outstanding attempt.
    fn drop_unused_names(&mut self, id: QueryId) {
        let Some(names) = self.queries.get(&id) else { return };
        if !names.is_finished || names.outstanding > 0 {
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
            names.is_finished = true;
        }
        self.drop_unused_names(query);
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
