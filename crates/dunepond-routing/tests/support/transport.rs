//! A transport that records the router's calls, with simulated nodes that end each attempt after a fixed time or never.

use dunepond_routing::*;

/// The answer with a complete result.
pub const COMPLETE: FinalAnswer = FinalAnswer::Answer { complete: true };

/// The answer to a query, or its rejection or failure.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    Answer { complete: bool },
    Rejected { retry_after: f64 },
    Failed,
}

/// An attempt of a part that was sent to a node.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When the attempt was sent.
    pub at: f64,
    pub query: QueryId,
    pub part: usize,
    pub node: NodeId,
}

impl Sent {
    /// Returns whether this is an attempt of the given part.
    pub fn is_attempt_of(&self, query: QueryId, part: usize) -> bool {
        (self.query, self.part) == (query, part)
    }
}

/// Records all calls of the router.
#[derive(Default)]
pub struct RecordingTransport {
    pub now: f64,
    pub sent: Vec<Sent>,
    /// Answers, each with its instant and its query.
    pub answers: Vec<(f64, QueryId, FinalAnswer)>,
    /// Cancelled attempts, by query, part and number of the attempt.
    pub cancelled: Vec<(QueryId, usize, usize)>,
    pub probed: Vec<NodeId>,
    /// Nodes to which connections were closed.
    pub closed: Vec<NodeId>,
    pub log: Vec<String>,
    /// Instants at which the endpoint list was polled.
    pub polled: Vec<f64>,
    /// Number of calls of `on_wake`.
    pub wake_count: usize,
    /// Outcome of the attempts at each node, and the seconds after which they end; `None` for a node that never answers.
    pub nodes: Vec<Option<(AttemptOutcome, f64)>>,
    /// Instants of the requested calls of `on_wake` that have not been made.
    pub wakes: Vec<f64>,
    /// Ends of attempts that have not been delivered, with their instants.
    pub due: Vec<(f64, AttemptEnded)>,
}

impl RecordingTransport {
    /// Drops the pending end of an attempt.
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
            "an attempt was sent after the final answer"
        );
        let attempt = self.sent.iter().filter(|s| s.is_attempt_of(query, part)).count();
        self.sent.push(Sent { at: self.now, query, part, node });
        if let Some((outcome, elapsed)) = self.nodes[node] {
            let ended = AttemptEnded { query, part, attempt, node, outcome, elapsed };
            self.due.push((self.now + elapsed, ended));
        }
    }
    fn cancel_attempt(&mut self, query: QueryId, part: usize, attempt: usize) {
        self.cancelled.push((query, part, attempt));
        let sent = self.sent.iter().filter(|s| s.is_attempt_of(query, part)).nth(attempt);
        let (node, elapsed) =
            sent.map(|s| (s.node, self.now - s.at)).expect("the cancelled attempt should have been sent");
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
