//! Learns for one query class whether prefiltering is beneficial, by comparing the latest prefiltered queries with the
//! latest queries that were searched directly. Occasionally a query is handled in the way that is not in use, as a
//! trial, to detect changes.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Maximum number of samples that are kept of prefiltered queries, and the same of direct searches.
const MAX_SAMPLES: usize = 32;
/// Number of samples of prefiltered queries, and the same of direct searches, that are needed before they decide
/// whether queries are prefiltered.
const MIN_SAMPLES: usize = 4;
/// Initial number of queries per trial while prefiltering is not beneficial: one query in this many is prefiltered as a
/// trial. Each unsuccessful trial doubles the number up to [`MAX_TRIAL_INTERVAL`], and a successful one resets it.
const MIN_TRIAL_INTERVAL: u32 = 8;
/// Upper limit of the number of queries per trial while prefiltering is not beneficial.
const MAX_TRIAL_INTERVAL: u32 = 256;
/// While prefiltering is beneficial, one query in this many is searched directly, to measure how long that takes now.
const DIRECT_INTERVAL: u32 = 32;
/// Prefiltering is beneficial only if it prunes at least this ratio of the segments.
const MIN_PRUNED_RATIO: f64 = 0.1;
/// Prefiltering is beneficial only if the median total time of prefiltered queries is at most this multiple of the
/// median time of direct searches.
const MAX_SLOWDOWN_RATIO: f64 = 1.25;
/// Lower limit of the time that a query waits for answers to can-match requests. With a shorter one, a brief delay
/// would end the wait.
const MIN_REQUEST_TIMEOUT_SECONDS: f64 = 0.01;

/// Measurements of one prefiltered query.
#[derive(Clone, Copy, Debug)]
pub struct PrefilterSample {
    /// Ratio of the query's segments that were pruned.
    pub pruned_ratio: f64,
    /// Time from the query's opening to its search plan.
    pub request_seconds: f64,
    /// Time from the query's opening to its end.
    pub total_seconds: f64,
}

/// Median times of the latest prefiltered queries.
#[derive(Clone, Copy, Debug)]
pub struct MedianTimes {
    /// Median time from a query's opening to its search plan.
    pub request_seconds: f64,
    /// Median time from the search plan to the query's end.
    pub search_seconds: f64,
}

/// The samples of one query class, and whether they show that prefiltering is beneficial.
#[derive(Debug)]
pub struct Benefit {
    prefiltered: VecDeque<PrefilterSample>,
    /// Durations of direct searches, in seconds.
    direct: VecDeque<f64>,
    /// Number of queries since the last trial. A trial handles a query in the way that is not in use.
    queries_since_trial: u32,
    /// Number of queries per trial while prefiltering is not beneficial.
    trial_interval: u32,
    /// Number of prefiltered queries that have not ended, so that there are no samples of them yet.
    in_flight: usize,
}

impl Default for Benefit {
    fn default() -> Self {
        Self {
            prefiltered: VecDeque::new(),
            direct: VecDeque::new(),
            queries_since_trial: 0,
            trial_interval: MIN_TRIAL_INTERVAL,
            in_flight: 0,
        }
    }
}

/// Adds a sample and drops the oldest one beyond [`MAX_SAMPLES`].
fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    samples.push_back(sample);
    if samples.len() > MAX_SAMPLES {
        samples.pop_front();
    }
}

/// Median of the samples; `None` without samples. Of an even number of samples, the upper one of the two in the middle.
fn median(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = samples.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}

impl Benefit {
    /// Decides whether the next query is to be prefiltered, and counts it towards the next trial.
    pub fn should_prefilter(&mut self) -> bool {
        self.queries_since_trial += 1;
        // Until there are enough samples, a query is prefiltered only if the prefiltered queries, those in flight
        // included, do not outnumber the samples of direct searches. If those in flight did not count, all queries of a
        // burst before the first sample could be prefiltered, and slow.
        if self.prefiltered.len() < MIN_SAMPLES || self.direct.len() < MIN_SAMPLES {
            return self.prefiltered.len() + self.in_flight <= self.direct.len();
        }
        let is_beneficial = self.is_beneficial();
        let interval = if is_beneficial { DIRECT_INTERVAL } else { self.trial_interval };
        if self.queries_since_trial >= interval {
            self.queries_since_trial = 0;
            return !is_beneficial;
        }
        is_beneficial
    }

    /// Whether the samples show that prefiltering prunes enough segments and is not too slow.
    pub fn is_beneficial(&self) -> bool {
        let pruned_ratio = self.prefiltered.iter().map(|sample| sample.pruned_ratio).sum::<f64>()
            / self.prefiltered.len().max(1) as f64;
        let prefiltered_seconds = median(self.prefiltered.iter().map(|sample| sample.total_seconds));
        let direct_seconds = self.direct_seconds();
        let is_slower = prefiltered_seconds
            .zip(direct_seconds)
            .is_some_and(|(prefiltered, direct)| prefiltered > MAX_SLOWDOWN_RATIO * direct);
        pruned_ratio >= MIN_PRUNED_RATIO && !is_slower
    }

    /// Records that a query is being prefiltered.
    pub fn on_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a prefiltered query ended, with an answer or without.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// How long a query may wait for answers before it is searched: the median time of a direct search, but at least
    /// `MIN_REQUEST_TIMEOUT_SECONDS`. `None` without samples of direct searches.
    pub fn request_timeout_seconds(&self) -> Option<f64> {
        self.direct_seconds().map(|seconds| seconds.max(MIN_REQUEST_TIMEOUT_SECONDS))
    }

    /// Records the measurements of a prefiltered query, and adapts the trial interval if prefiltering was not
    /// beneficial before.
    pub fn record_prefiltered(&mut self, sample: PrefilterSample) {
        let was_beneficial = self.is_beneficial();
        push_sample(&mut self.prefiltered, sample);
        if self.prefiltered.len() >= MIN_SAMPLES && !was_beneficial {
            self.trial_interval = if self.is_beneficial() {
                MIN_TRIAL_INTERVAL
            } else {
                (2 * self.trial_interval).min(MAX_TRIAL_INTERVAL)
            };
        }
    }

    /// Records the total time of a query that was searched directly.
    pub fn record_direct(&mut self, total_seconds: f64) {
        push_sample(&mut self.direct, total_seconds);
    }

    /// Median times of the latest prefiltered queries; `None` without samples.
    pub fn median_times(&self) -> Option<MedianTimes> {
        let request_seconds = median(self.prefiltered.iter().map(|sample| sample.request_seconds))?;
        let search = self.prefiltered.iter().map(|sample| sample.total_seconds - sample.request_seconds);
        Some(MedianTimes { request_seconds, search_seconds: median(search)? })
    }

    /// Median total time of the latest queries that were searched directly; `None` without samples.
    pub fn direct_seconds(&self) -> Option<f64> {
        median(self.direct.iter().copied())
    }
}
