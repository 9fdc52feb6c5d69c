//! Whether prefiltering is beneficial, for one query class: learned from the last queries with it and the last without, with occasional
//! trials of the other way so that a change is noticed.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Samples of each kind that count, the latest ones.
const MAX_SAMPLES: usize = 32;
/// Samples of each kind that are needed for a decision.
const MIN_SAMPLES: usize = 4;
/// Where it is not beneficial, one query of this many is prefiltered as a trial. Each trial in vain doubles the number up to the maximum, and
/// a successful one resets it.
const MIN_TRIAL_INTERVAL: u32 = 8;
const MAX_TRIAL_INTERVAL: u32 = 256;
/// Where it is beneficial, one query of this many is searched directly, to learn how long that takes now.
const DIRECT_INTERVAL: u32 = 32;
/// Prefiltering must save at least this part of the segments.
const MIN_PRUNED_RATIO: f64 = 0.1;
/// The whole query may take longer by this factor.
const MAX_SLOWDOWN_RATIO: f64 = 1.25;
/// Asking is not waited for longer than a direct search takes, but at least this long: else a hiccup would end it.
const MIN_PATIENCE_SECONDS: f64 = 0.01;

/// How a prefiltered query went.
#[derive(Clone, Copy, Debug)]
pub struct PrefilterSample {
    /// The part of its segments that were pruned.
    pub pruned_ratio: f64,
    /// How long asking took.
    pub request_seconds: f64,
    /// How long the whole query took.
    pub total_seconds: f64,
}

/// What a prefiltered query takes at the median.
#[derive(Clone, Copy, Debug)]
pub struct MedianTimes {
    /// From the query's opening to its search plan.
    pub request_seconds: f64,
    /// Time of the search after that.
    pub search_seconds: f64,
}

/// The samples of one query class.
#[derive(Debug)]
pub struct Benefit {
    prefiltered: VecDeque<PrefilterSample>,
    /// Durations of direct searches, in seconds.
    direct: VecDeque<f64>,
    queries_since_trial: u32,
    trial_interval: u32,
    /// Prefiltered queries that have not ended; their samples are still to come.
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

fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    samples.push_back(sample);
    if samples.len() > MAX_SAMPLES {
        samples.pop_front();
    }
}

fn median(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = samples.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}

impl Benefit {
    /// Whether the next query is to be prefiltered.
    pub fn should_prefilter(&mut self) -> bool {
        self.queries_since_trial += 1;
        // Both ways are tried in turns until there are samples, one at a time: a burst before the first sample could be slow as a whole.
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

    /// What the samples show.
    pub fn is_beneficial(&self) -> bool {
        let pruned = self.prefiltered.iter().map(|sample| sample.pruned_ratio).sum::<f64>()
            / self.prefiltered.len().max(1) as f64;
        let with = median(self.prefiltered.iter().map(|sample| sample.total_seconds));
        let without = self.direct_seconds();
        let is_slower = with.zip(without).is_some_and(|(with, without)| with > MAX_SLOWDOWN_RATIO * without);
        pruned >= MIN_PRUNED_RATIO && !is_slower
    }

    /// A query is being prefiltered.
    pub fn on_start(&mut self) {
        self.in_flight += 1;
    }

    /// It ended, with an answer or without.
    pub fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// How long asking may be waited for, if a direct search was measured.
    pub fn patience_seconds(&self) -> Option<f64> {
        self.direct_seconds().map(|seconds| seconds.max(MIN_PATIENCE_SECONDS))
    }

    /// Records a prefiltered query.
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

    /// Records a query that was searched directly.
    pub fn record_direct(&mut self, total_seconds: f64) {
        push_sample(&mut self.direct, total_seconds);
    }

    /// What a prefiltered query takes at the median.
    pub fn median_times(&self) -> Option<MedianTimes> {
        let request_seconds = median(self.prefiltered.iter().map(|sample| sample.request_seconds))?;
        let search = self.prefiltered.iter().map(|sample| sample.total_seconds - sample.request_seconds);
        Some(MedianTimes { request_seconds, search_seconds: median(search)? })
    }

    /// What a query takes at the median that is searched directly.
    pub fn direct_seconds(&self) -> Option<f64> {
        median(self.direct.iter().copied())
    }
}
