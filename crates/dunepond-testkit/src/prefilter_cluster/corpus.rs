//! The terms that each segment contains in each version of its content, and bloom filters over them.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use super::SEGMENT_COUNT;

/// Number of terms of each frequency.
const TERMS_PER_FREQUENCY: usize = 40;
/// Frequencies of terms: the average percentage of segments that contain a term.
const FREQUENCIES_PERCENT: [u64; 4] = [1, 10, 50, 100];
/// The size of a bloom filter, in bits.
const FILTER_BITS: usize = 8192;
/// Number of bits that a term sets in a bloom filter.
const FILTER_HASHES: u64 = 4;

/// Returns a term that about `frequency_percent` percent of the segments contain. There are 40 terms of each frequency; `number`
/// wraps around at 40.
pub fn term(frequency_percent: u64, number: usize) -> String {
    format!("r{frequency_percent}-{}", number % TERMS_PER_FREQUENCY)
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A bloom filter over the terms of one version of a segment. It may report a term that is absent, but never misses one that is
/// present.
struct BloomFilter(Vec<u64>);

impl BloomFilter {
    fn from_terms(terms: &HashSet<String>) -> Self {
        let mut words = vec![0; FILTER_BITS / 64];
        for term in terms {
            for bit in Self::bits(term) {
                words[bit / 64] |= 1 << (bit % 64);
            }
        }
        Self(words)
    }

    fn may_match(&self, term: &str) -> bool {
        Self::bits(term).all(|bit| self.0[bit / 64] & (1 << (bit % 64)) != 0)
    }

    fn bits(term: &str) -> impl Iterator<Item = usize> {
        (0..FILTER_HASHES).map(move |n| hash((term, n)) as usize % FILTER_BITS)
    }
}

/// One version of a segment's content.
struct ContentVersion {
    /// Time from which this version is the current one.
    since: Instant,
    terms: HashSet<String>,
    filter: BloomFilter,
}

impl ContentVersion {
    fn new(segment: usize, version: usize) -> Self {
        let mut terms = HashSet::new();
        for percent in FREQUENCIES_PERCENT {
            for number in 0..TERMS_PER_FREQUENCY {
                if hash((segment, version, percent, number)) % 100 < percent {
                    terms.insert(term(percent, number));
                }
            }
        }
        Self { since: Instant::now(), filter: BloomFilter::from_terms(&terms), terms }
    }
}

/// What the bloom filters of a segment's current and previous version report for a term.
pub(super) struct ProbeResult {
    /// Number of the current version.
    pub version: usize,
    /// Number of the previous version, or of the current one if it is the first.
    pub previous_version: usize,
    /// Whether the current version may contain the term.
    pub may_match: bool,
    /// Whether the previous version may contain the term.
    pub previous_may_match: bool,
}

/// All versions of the content of each segment, numbered from 1: the ground truth against which tests check answers.
pub struct Corpus(Mutex<Vec<Vec<ContentVersion>>>);

impl Corpus {
    /// Creates a corpus with all segments in version 1.
    pub fn new() -> Arc<Self> {
        let segments = (0..SEGMENT_COUNT).map(|segment| vec![ContentVersion::new(segment, 1)]);
        Arc::new(Self(Mutex::new(segments.collect())))
    }

    /// Adds the next version of a segment's content.
    pub fn advance_version(&self, segment: usize) {
        let mut segments = self.0.lock().unwrap();
        let next_version = ContentVersion::new(segment, segments[segment].len() + 1);
        segments[segment].push(next_version);
    }

    /// Returns whether the current version of a segment contains a term.
    pub fn matches(&self, segment: usize, term: &str) -> bool {
        self.search(segment, term).1
    }

    /// Returns the number of a segment's current version, and whether it contains a term.
    pub(super) fn search(&self, segment: usize, term: &str) -> (usize, bool) {
        let segments = self.0.lock().unwrap();
        let versions = &segments[segment];
        (versions.len(), versions.last().is_some_and(|content| content.terms.contains(term)))
    }

    /// Returns what the bloom filters of these segments report for a term, from one snapshot of the corpus.
    pub(super) fn probe(&self, segments: &[usize], term: &str) -> Vec<ProbeResult> {
        let contents = self.0.lock().unwrap();
        let probe = |segment: &usize| {
            let versions = &contents[*segment];
            let version = versions.len();
            let previous_version = version.saturating_sub(1).max(1);
            ProbeResult {
                version,
                previous_version,
                may_match: versions[version - 1].filter.may_match(term),
                previous_may_match: versions[previous_version - 1].filter.may_match(term),
            }
        };
        segments.iter().map(probe).collect()
    }

    /// Returns whether every version of a segment that was current at some time between `from` and `to` contains a term. If so,
    /// a query that ran in this time must not prune the segment.
    pub fn matched_throughout(&self, segment: usize, term: &str, from: Instant, to: Instant) -> bool {
        let segments = self.0.lock().unwrap();
        let versions = &segments[segment];
        let was_current_after_from =
            |index: usize| versions.get(index + 1).is_none_or(|next| next.since >= from);
        versions
            .iter()
            .enumerate()
            .filter(|(index, content)| content.since <= to && was_current_after_from(*index))
            .all(|(_, content)| content.terms.contains(term))
    }

    /// Splits segments into those whose current version contains a term and those whose current version does not.
    pub fn partition_by_match(&self, term: &str, segments: &[usize]) -> (Vec<usize>, Vec<usize>) {
        segments.iter().partition(|segment| self.matches(**segment, term))
    }
}
