//! Shutdown: what is still served between the signal and the kill, what is rejected, and when the last
//! answers are due.
//!
//! Inputs: the earliest instant at which the signal may have come, and the longest query timeout (seconds).
//! All stages count from that instant rather than from the one at which the signal was noticed: after a
//! stall, the kill comes sooner than the latter suggests.

use std::time::Duration;

use super::clock::MAX_STALL_SECONDS;
use crate::state::{InFlightQuery, Router, Shutdown};

/// New connections keep arriving this long after SIGTERM; every time limit has this slack.
const NEW_CONNECTIONS_SECONDS: f64 = 0.4;
const SLACK_SECONDS: f64 = 0.05;
/// SIGKILL comes at least this long after the longest deadline, of which at most this much counts. A request
/// that arrives later than this after SIGTERM and is unanswered at the kill is lost.
const KILL_AFTER_DEADLINE_SECONDS: f64 = 0.7;
const LONGEST_COUNTED_DEADLINE_SECONDS: f64 = 3.0;
/// Margin for a stall at the last answers, for an iteration of the event loop, and for an answer's way to the
/// client.
const KILL_MARGIN_SECONDS: f64 = MAX_STALL_SECONDS + 2.0 * SLACK_SECONDS;

/// Longest interval between two checks for signals: a signal found by one came after the check before. It is
/// short against the time in which new connections arrive.
pub const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A gap between two checks that is longer than this many seconds is a stall that no margin covers.
pub const NOTICEABLE_PAUSE_SECONDS: f64 = MAX_STALL_SECONDS;
/// Longest time in seconds after SIGTERM for which an old process may still run.
pub const MAX_SHUTDOWN_SECONDS: f64 = LONGEST_COUNTED_DEADLINE_SECONDS + KILL_AFTER_DEADLINE_SECONDS;

/// The stages of a shutdown; each includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum ShutdownStage {
    /// Requests are served as before; the broker reports that it is not ready for new clients.
    Serving,
    /// Connections close after their answers, as no new ones are expected.
    ClosingAfterAnswers,
    /// The listener and idle connections close; a new request that would outlast the process is rejected.
    Refusing,
    /// Connections close that have not sent a request by now.
    ClosingWithoutRequest,
    /// Everything in flight is answered.
    LastAnswers,
}

impl Shutdown {
    /// A shutdown whose signal may have come at `signalled_at` (seconds on the transport's clock) or later,
    /// with queries that time out after at most `longest_timeout` seconds.
    pub fn new(signalled_at: f64, longest_timeout: f64) -> Self {
        let kill_after = longest_timeout.min(LONGEST_COUNTED_DEADLINE_SECONDS) + KILL_AFTER_DEADLINE_SECONDS;
        Self { signalled_at, last_answers_after: kill_after - KILL_MARGIN_SECONDS }
    }

    /// The instant by which every request has its answer, however long its client would wait.
    pub fn last_answers_at(&self) -> f64 {
        self.signalled_at + self.last_answers_after
    }

    /// Start of each stage but the first; none is later than the last answers.
    fn stages(&self) -> [(f64, ShutdownStage); 4] {
        let still_coming = KILL_AFTER_DEADLINE_SECONDS - SLACK_SECONDS;
        let at = |after: f64| self.signalled_at + after.min(self.last_answers_after);
        [
            (at(NEW_CONNECTIONS_SECONDS + SLACK_SECONDS), ShutdownStage::ClosingAfterAnswers),
            (at(still_coming), ShutdownStage::Refusing),
            (at(still_coming + NEW_CONNECTIONS_SECONDS), ShutdownStage::ClosingWithoutRequest),
            (self.last_answers_at(), ShutdownStage::LastAnswers),
        ]
    }

    /// The stage that applies at an instant.
    pub fn stage(&self, now: f64) -> ShutdownStage {
        let begun = self.stages().into_iter().rfind(|(at, _)| *at <= now);
        begun.map_or(ShutdownStage::Serving, |(_, stage)| stage)
    }

    /// When the next stage begins; `None` in the last one.
    pub fn next_stage_at(&self, now: f64) -> Option<f64> {
        self.stages().into_iter().map(|(at, _)| at).find(|at| *at > now)
    }

    /// Whether requests that would outlast the process are rejected.
    pub fn is_refusing(&self, now: f64) -> bool {
        self.stage(now) >= ShutdownStage::Refusing
    }

    /// Whether to reject a request that arrives now: forwarded, it could be outstanding when the process is
    /// killed, while its client has time to retry elsewhere. Losing no more than the slack is no reason to
    /// reject.
    pub fn refuses(&self, now: f64, client_waits_until: f64) -> bool {
        self.is_refusing(now) && client_waits_until > self.last_answers_at() + SLACK_SECONDS
    }
}

impl Router {
    /// Begins a shutdown. Queries in flight are answered by the last answers, however long their clients
    /// wait; from a stage of the shutdown on, new ones that would take longer are rejected.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
        let mut queries = std::mem::take(&mut self.queries);
        for query in queries.values_mut() {
            query.deadline_at = query.deadline_at.min(shutdown.last_answers_at());
            query.due_at = query.due_at.min(self.decision_deadline(query));
        }
        self.queries = queries;
    }

    /// Limits the deadline of a query that arrives during a shutdown to the last answers, and marks one that would
    /// outlast them.
    pub(super) fn limit_to_shutdown(&self, query: &mut InFlightQuery) {
        let Some(shutdown) = self.shutdown else { return };
        query.exceeds_shutdown = shutdown.refuses(self.now, query.deadline_at);
        query.deadline_at = query.deadline_at.min(shutdown.last_answers_at());
    }
}
