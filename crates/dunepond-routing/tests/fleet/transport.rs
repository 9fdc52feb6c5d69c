//! The transport of one broker in the fleet: sends attempts to the shared nodes, and records attempts and answers.

use std::cell::RefCell;
use std::rc::Rc;

use dunepond_routing::{AttemptEnded, AttemptOutcome, NodeId, QueryId, Transport};

use crate::nodes::{Nodes, Sent};

/// An attempt of a part.
pub struct Attempt {
    pub query: QueryId,
    pub part: usize,
    pub node: NodeId,
    pub sent_at: f64,
}

impl Attempt {
    /// Returns whether this is an attempt of the given part.
    pub fn is_attempt_of(&self, query: QueryId, part: usize) -> bool {
        (self.query, self.part) == (query, part)
    }
}

/// The transport of one broker, with the state that the tests check.
pub struct FleetTransport {
    pub now: f64,
    nodes: Rc<RefCell<Nodes>>,
    /// Ends of attempts that have not been delivered, with their instants.
    due: Vec<(f64, AttemptEnded)>,
    pub attempts: Vec<Attempt>,
    /// Queries that have their final answer.
    pub answered: Vec<QueryId>,
    wakes: Vec<f64>,
    /// The latest start of each node that this broker knows, by node.
    pub known_starts: Vec<f64>,
    /// The work of each part of a query, by query.
    pub works: Vec<f64>,
}

impl FleetTransport {
    pub fn new(now: f64, nodes: Rc<RefCell<Nodes>>) -> Self {
        let count = nodes.borrow().count();
        Self {
            now,
            nodes,
            due: Vec::new(),
            attempts: Vec::new(),
            answered: Vec::new(),
            wakes: Vec::new(),
            known_starts: vec![0.0; count],
            works: Vec::new(),
        }
    }

    /// Removes and returns the end of an attempt that is due; `None` if there is none.
    pub fn take_ended(&mut self) -> Option<AttemptEnded> {
        let index = self.due.iter().position(|(at, _)| *at <= self.now)?;
        Some(self.due.swap_remove(index).1)
    }

    /// Removes the requests for a call of `on_wake` that are due, and returns whether there were any.
    pub fn take_wakes(&mut self) -> bool {
        let before = self.wakes.len();
        self.wakes.retain(|at| *at > self.now);
        self.wakes.len() < before
    }
}

impl Transport for FleetTransport {
    fn now(&self) -> f64 {
        self.now
    }
    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId) {
        assert!(!self.answered.contains(&query), "an attempt was sent after the final answer");
        let attempt = self.attempts.iter().filter(|a| a.is_attempt_of(query, part)).count();
        self.attempts.push(Attempt { query, part, node, sent_at: self.now });
        let mut nodes = self.nodes.borrow_mut();
        let work = self.works[query as usize - 1];
        let start_known = self.known_starts[node] >= nodes.started_at[node];
        if let Some(ends_at) = nodes.accept(Sent { at: self.now, node, work, start_known }) {
            let (outcome, elapsed) = (AttemptOutcome::Served, ends_at - self.now);
            self.due.push((ends_at, AttemptEnded { query, part, attempt, node, outcome, elapsed }));
        }
    }
    fn cancel_attempt(&mut self, query: QueryId, part: usize, attempt: usize) {
        let sent = self.attempts.iter().filter(|a| a.is_attempt_of(query, part)).nth(attempt);
        let (node, sent_at) =
            sent.map(|a| (a.node, a.sent_at)).expect("the cancelled attempt should have been sent");
        self.due.retain(|(_, e)| (e.query, e.part, e.attempt) != (query, part, attempt));
        let (outcome, elapsed) = (AttemptOutcome::Cancelled, self.now - sent_at);
        self.due.push((self.now, AttemptEnded { query, part, attempt, node, outcome, elapsed }));
    }
    fn answer(&mut self, query: QueryId, _: bool) {
        self.answered.push(query);
    }
    fn reject_retriable(&mut self, query: QueryId, _: f64) {
        self.answered.push(query);
    }
    fn fail_unknown_outcome(&mut self, query: QueryId) {
        self.answered.push(query);
    }
    fn schedule_wake(&mut self, at: f64) {
        self.wakes.push(at);
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.nodes.borrow_mut().closed.push((self.now, node));
    }
    fn probe(&mut self, _: NodeId) {}
    fn finish(&mut self, _: QueryId) {}
    fn log(&mut self, _: &str) {}
}
