//! A transport that records what the router does, with nodes that end each attempt after a set time, or never.

use dunepond_routing::*;

pub const COMPLETE: FinalAnswer = FinalAnswer::Answer { complete: true };

/// What a query ended with.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Answer { complete: bool },
    Rejected { retry_after: f64 },
    Failed,
}

/// One attempt of a part.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: f64,
    pub query: QueryId,
    pub part: usize,
    pub node: NodeId,
}

impl Sent {
    /// Whether this is an attempt of that part.
    pub fn is_of(&self, query: QueryId, part: usize) -> bool {
        (self.query, self.part) == (query, part)
    }
}

/// Records all calls of the router.
#[derive(Default)]
pub struct RecordingTransport {
    pub now: f64,
    pub sent: Vec<Sent>,
    pub answers: Vec<(f64, QueryId, FinalAnswer)>,
    pub cancelled: Vec<(QueryId, usize, usize)>,
    pub probed: Vec<NodeId>,
    pub closed: Vec<NodeId>,
    pub log: Vec<String>,
    /// When the list was polled.
    pub polled: Vec<f64>,
    pub woken: usize,
    /// How each node ends what it is sent, and after how long; a node that is not here is silent.
    pub nodes: Vec<Option<(AttemptOutcome, f64)>>,
    pub wakes: Vec<f64>,
    /// Ends of attempts that are still to come, with their times.
    pub due: Vec<(f64, AttemptEnded)>,
}

impl RecordingTransport {
    /// Drops the end of an attempt that was still to come.
    pub fn remove_due(&mut self, query: QueryId, part: usize, attempt: usize) {
        self.due.retain(|(_, e)| (e.query, e.part, e.attempt) != (query, part, attempt));
    }
}

impl Transport for RecordingTransport {
    fn now(&self) -> f64 {
        self.now
    }
    fn send_attempt(&mut self, query: QueryId, part: usize, node: NodeId) {
        assert!(
            !self.answers.iter().any(|(_, s, f)| *s == query && *f != COMPLETE),
            "sent after the final answer"
        );
        let attempt = self.sent.iter().filter(|s| s.is_of(query, part)).count();
        self.sent.push(Sent { at: self.now, query, part, node });
        if let Some((outcome, elapsed)) = self.nodes[node] {
            let ended = AttemptEnded { query, part, attempt, node, outcome, elapsed };
            self.due.push((self.now + elapsed, ended));
        }
    }
    fn cancel_attempt(&mut self, query: QueryId, part: usize, attempt: usize) {
        self.cancelled.push((query, part, attempt));
        let sent = self.sent.iter().filter(|s| s.is_of(query, part)).nth(attempt);
        let (node, elapsed) = sent.map(|s| (s.node, self.now - s.at)).expect("cancelled what was sent");
        self.remove_due(query, part, attempt);
        let outcome = AttemptOutcome::Cancelled;
        self.due.push((self.now, AttemptEnded { query, part, attempt, node, outcome, elapsed }));
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.closed.push(node);
    }
    fn probe(&mut self, node: NodeId) {
        self.probed.push(node);
    }
    fn answer(&mut self, query: QueryId, complete: bool) {
        self.answers.push((self.now, query, FinalAnswer::Answer { complete }));
    }
    fn reject_retriable(&mut self, query: QueryId, retry_after: f64) {
        self.answers.push((self.now, query, FinalAnswer::Rejected { retry_after }));
    }
    fn fail_unknown_outcome(&mut self, query: QueryId) {
        self.answers.push((self.now, query, FinalAnswer::Failed));
    }
    fn finish(&mut self, _: QueryId) {}
    fn poll_endpoint_list(&mut self) {
        self.polled.push(self.now);
    }
    fn schedule_wake(&mut self, at: f64) {
        self.wakes.push(at);
    }
    fn log(&mut self, line: &str) {
        self.log.push(line.to_string());
    }
}
