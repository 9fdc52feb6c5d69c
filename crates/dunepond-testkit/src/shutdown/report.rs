//! Checks what clients and nodes recorded during a shutdown against the rules of the protocol specification.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::client::Request;
use super::process_record::ProcessRecord;

#[cfg(test)]
mod tests;

/// By the specification of the shutdown test, an answer that comes later than this after the client's timeout counts as none.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// By the specification of the shutdown test, an attempt may begin up to this long after the client closed its connection.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Longest pause that is allowed between a broker's reading its clock and its writing of an attempt. Limits on attempts are
/// extended by the longest planned stop of the process, but at most by this.
const MAX_EXCUSED_PAUSE: Duration = Duration::from_millis(150);
/// Extension of every time limit: the specification of the shutdown test says "every time limit is longer by 50 ms".
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// Additional extension of every time limit for delays of the stand-ins on a busy machine.
const STAND_IN_SLACK: Duration = Duration::from_millis(50);

/// Longest time from writing a request to the stop of the broker's process, and from the end of the stop to the arrival of an
/// attempt, for which the stop excuses the attempt. A process that is stopped right after it has accepted a request writes the
/// request's attempts when it resumes, and cannot check any time limit in between.
const STOP_MARGIN: Duration = Duration::from_millis(50);

/// A rule for a shutdown that was broken for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The request was forwarded to a node and never answered.
    ForwardedUnanswered,
    /// The request was never forwarded, and was unanswered on an open connection when the process was killed.
    UnansweredAtKill,
    /// The answer came too long after the client's timeout.
    AnsweredLate,
    /// An attempt began too long after the answer or after the client's timeout.
    AttemptAfterEnd,
    /// An attempt began too long after the client had closed its connection.
    AttemptAfterDisconnect,
    /// A non-idempotent part was sent more than once, although nodes did not reject it.
    RanTwice,
}

/// A request for which a rule was broken. Times are in seconds after the first SIGTERM to the request's broker.
#[derive(Clone, Debug)]
pub struct ViolatedRequest {
    /// The rule that was broken.
    pub violation: Violation,
    /// The request and its outcome.
    pub request: Request,
    /// When the request's last byte was written, in seconds after the first SIGTERM to its broker.
    pub written_after_seconds: f64,
    /// When the first attempt arrived at a node, in seconds after the first SIGTERM; `None` if there was no attempt.
    pub forwarded_after_seconds: Option<f64>,
    /// When the last attempt arrived at a node, in seconds after the first SIGTERM; `None` if there was no attempt.
    pub last_attempt_after_seconds: Option<f64>,
    /// When the answer came, in seconds after the first SIGTERM; `None` if there was no answer.
    pub answered_after_seconds: Option<f64>,
}

/// Result of one or several runs: counts of requests and brokers, and the violations.
#[derive(Clone, Debug, Default)]
pub struct ShutdownReport {
    /// Number of all requests.
    pub request_count: usize,
    /// Number of requests written after the first SIGTERM to their broker.
    pub requests_after_signal: usize,
    /// Number of requests written more than 0.7 s after the first SIGTERM to their broker.
    pub late_requests_after_signal: usize,
    /// Number of answers, by HTTP status.
    pub answers_by_status: BTreeMap<u16, usize>,
    /// Number of requests that were never forwarded and whose connection ended before an answer, as the broker's close crossed
    /// the request on the way. A client can safely send such a request to another broker.
    pub unforwarded_at_close: usize,
    /// Violations of the rules, each with its request.
    pub violations: Vec<ViolatedRequest>,
    /// Records of the brokers with violations.
    pub process_records: Vec<ProcessRecord>,
    /// Number of brokers that were still running at the kill.
    pub killed_broker_count: usize,
    /// Number of brokers that exited with a code other than 0.
    pub failed_broker_count: usize,
    /// Shortest time from an answer after the first SIGTERM to the kill of its broker; `None` if there was no such answer.
    pub min_time_to_kill: Option<Duration>,
}

/// Times at which the attempts of each part arrived at a node, by the part's id.
pub type AttemptTimes = BTreeMap<String, Vec<Instant>>;

/// Conditions of a run that its requests are checked against.
pub struct RunConditions {
    /// Timeline of each broker's shutdown, by the broker's index.
    pub brokers: Vec<BrokerTimeline>,
    /// Query timeout of both query classes.
    pub timeout: Duration,
    /// Whether nodes rejected parts as overloaded. Such parts may be sent again, even non-idempotent ones.
    pub nodes_reject: bool,
}

/// Times of the events in the shutdown of one broker.
pub struct BrokerTimeline {
    /// When the broker got its first SIGTERM.
    pub signalled_at: Instant,
    /// When the broker got its SIGKILL.
    pub killed_at: Instant,
    /// Length of the longest planned stop of the process. A stopped process cannot act, so the limit on answers is extended by
    /// this length, and the limits on attempts by at most [`MAX_EXCUSED_PAUSE`] of it.
    pub longest_pause: Duration,
    /// Intervals in which the process was stopped.
    pub stops: Vec<StopInterval>,
}

/// An interval in which a broker's process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct StopInterval {
    /// When the process got its SIGSTOP.
    pub from: Instant,
    /// When the process got its SIGCONT.
    pub until: Instant,
}

impl StopInterval {
    /// Returns whether this stop explains why an attempt came after the end of its request: the broker accepted the request just
    /// before the stop, the request ended during the stop, and the attempt came just after the stop. `ended` is when the client's
    /// timeout expired, its answer came, or its connection was closed.
    fn delays_attempt(&self, request: &Request, ended: Instant, attempt: Instant) -> bool {
        let accepted_before =
            request.written_at <= self.from && request.written_at + STOP_MARGIN >= self.from;
        let ended_during = self.from <= ended && ended <= self.until;
        accepted_before && ended_during && self.until <= attempt && attempt <= self.until + STOP_MARGIN
    }
}

impl ShutdownReport {
    /// Checks requests against the rules, and adds them and their violations to this result.
    pub fn add_requests(
        &mut self,
        requests: Vec<Request>,
        attempts: &AttemptTimes,
        conditions: &RunConditions,
    ) {
        for request in requests {
            let timeline = &conditions.brokers[request.broker_index];
            self.count(&request, timeline);
            let is_part = |(id, _): &(&String, &Vec<Instant>)| id.starts_with(&format!("{}.", request.id));
            let parts: Vec<_> = attempts.iter().filter(is_part).map(|(_, at)| at).collect();
            let first = parts.iter().flat_map(|at| at.iter()).min().copied();
            let last = parts.iter().flat_map(|at| at.iter()).max().copied();
            for violation in find_violations(&request, &parts, conditions) {
                let after = |at: Instant| seconds_after(at, timeline.signalled_at);
                self.violations.push(ViolatedRequest {
                    violation,
                    written_after_seconds: after(request.written_at),
                    forwarded_after_seconds: first.map(after),
                    last_attempt_after_seconds: last.map(after),
                    answered_after_seconds: request.answered.map(|(at, _)| after(at)),
                    request: request.clone(),
                });
            }
            if request.answered.is_none() && request.connection_ended.is_some() && first.is_none() {
                self.unforwarded_at_close += 1;
            }
        }
    }

    /// Adds a request and its answer to the counts.
    fn count(&mut self, request: &Request, timeline: &BrokerTimeline) {
        self.request_count += 1;
        let after = seconds_after(request.written_at, timeline.signalled_at);
        self.requests_after_signal += usize::from(after > 0.0);
        self.late_requests_after_signal += usize::from(after > 0.7);
        let Some((at, status)) = request.answered else { return };
        *self.answers_by_status.entry(status).or_default() += 1;
        if at > timeline.signalled_at {
            let time_to_kill = timeline.killed_at.saturating_duration_since(at);
            self.min_time_to_kill =
                Some(self.min_time_to_kill.map_or(time_to_kill, |least| least.min(time_to_kill)));
        }
    }

    /// Adds the counts and violations of another run.
    pub fn merge(&mut self, other: Self) {
        self.request_count += other.request_count;
        self.requests_after_signal += other.requests_after_signal;
        self.late_requests_after_signal += other.late_requests_after_signal;
        self.unforwarded_at_close += other.unforwarded_at_close;
        self.killed_broker_count += other.killed_broker_count;
        self.failed_broker_count += other.failed_broker_count;
        self.violations.extend(other.violations);
        self.process_records.extend(other.process_records);
        self.min_time_to_kill = self.min_time_to_kill.into_iter().chain(other.min_time_to_kill).min();
        for (status, count) in other.answers_by_status {
            *self.answers_by_status.entry(status).or_default() += count;
        }
    }

    /// Returns the number of requests for which this rule was broken.
    pub fn violation_count(&self, violation: Violation) -> usize {
        self.violations.iter().filter(|violated| violated.violation == violation).count()
    }
}

/// Returns the rules that were broken for a request. `parts` are the arrival times of the attempts of each of its parts.
fn find_violations(
    request: &Request,
    parts: &[&Vec<Instant>],
    conditions: &RunConditions,
) -> BTreeSet<Violation> {
    let timeline = &conditions.brokers[request.broker_index];
    let mut violations = BTreeSet::new();
    let deadline = request.started_at + conditions.timeout;
    match (request.answered, request.disconnected_at) {
        (Some((at, _)), _) if at > deadline + MAX_ANSWER_DELAY + timeline.longest_pause => {
            violations.insert(Violation::AnsweredLate);
        }
        (Some(_), _) | (None, Some(_)) => {}
        (None, None) if !parts.is_empty() => {
            violations.insert(Violation::ForwardedUnanswered);
        }
        // A connection that ended at the kill or later was open until the kill.
        (None, None)
            if request.connection_ended.is_none_or(|(at, _)| at >= timeline.killed_at)
                && request.written_at < timeline.killed_at =>
        {
            violations.insert(Violation::UnansweredAtKill);
        }
        (None, None) => {}
    }
    let slack = STAND_IN_SLACK + timeline.longest_pause.min(MAX_EXCUSED_PAUSE);
    let is_excused = |ended: Instant, at: Instant| {
        timeline.stops.iter().any(|stop| stop.delays_attempt(request, ended, at))
    };
    // A stop of the broker's process excuses a late attempt only if it is the first of its part, number 0. The broker decides on
    // a retry after the stop, and can check the time limits then.
    let is_late = |ended: Instant, allowed: Duration, number: usize, at: Instant| {
        at > ended + allowed + slack && !(number == 0 && is_excused(ended, at))
    };
    let attempt_began_after = |ended: Instant, allowed: Duration| {
        parts.iter().any(|at| at.iter().enumerate().any(|(number, at)| is_late(ended, allowed, number, *at)))
    };
    let ended = request.answered.map_or(deadline, |(at, _)| at.min(deadline));
    if attempt_began_after(ended, TIME_LIMIT_SLACK) {
        violations.insert(Violation::AttemptAfterEnd);
    }
    if request
        .disconnected_at
        .is_some_and(|disconnected_at| attempt_began_after(disconnected_at, DISCONNECT_GRACE))
    {
        violations.insert(Violation::AttemptAfterDisconnect);
    }
    let may_be_resent = request.idempotent || conditions.nodes_reject;
    if !may_be_resent && parts.iter().any(|at| at.len() > 1) {
        violations.insert(Violation::RanTwice);
    }
    violations
}

/// Returns how long after `reference` a time is, in seconds; negative if it is before.
fn seconds_after(at: Instant, reference: Instant) -> f64 {
    match at.checked_duration_since(reference) {
        Some(after) => after.as_secs_f64(),
        None => -reference.duration_since(at).as_secs_f64(),
    }
}
