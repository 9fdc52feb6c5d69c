//! The transport of one broker in the fleet: sends to the shared nodes and records attempts and answers.

use std::cell::RefCell;
use std::rc::Rc;

use dunepond_routing::{AttemptEnded, AttemptOutcome, NodeId, QueryId, Transport};

use crate::nodes::{Nodes, Sent};

/// One attempt of a part.
pub struct Attempt {
    pub query: QueryId,
    pub part: usize,
    pub node: NodeId,
    pub sent_at: f64,
}

impl Attempt {
    /// Whether this is an attempt of that part.
    pub fn is_of(&self, query: QueryId, part: usize) -> bool {
        (self.query, self.part) == (query, part)
    }
}

pub struct FleetTransport {
    pub now: f64,
    nodes: Rc<RefCell<Nodes>>,
    /// Ends of attempts that are still to come, with their times.
    due: Vec<(f64, AttemptEnded)>,
    pub attempts: Vec<Attempt>,
    /// Queries that have got their final answer.
    pub answered: Vec<QueryId>,
    wakes: Vec<f64>,
    /// The latest start of each node that this broker knows of.
    pub known_starts: Vec<f64>,
    /// The work of a part, by query.
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

    /// Removes an attempt that has ended by now.
    pub fn take_ended(&mut self) -> Option<AttemptEnded> {
        let index = self.due.iter().position(|(at, _)| *at <= self.now)?;
        Some(self.due.swap_remove(index).1)
    }

    /// Removes the wakes that are due; true if there were any.
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
        assert!(!self.answered.contains(&query), "sent after the final answer");
        let attempt = self.attempts.iter().filter(|a| a.is_of(query, part)).count();
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
        let sent = self.attempts.iter().filter(|a| a.is_of(query, part)).nth(attempt);
        let (node, sent_at) = sent.map(|a| (a.node, a.sent_at)).expect("cancelled what was sent");
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
