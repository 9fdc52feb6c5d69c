//! The text that segments hold, version by version, and bloom filters over it.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use super::SEGMENT_COUNT;

/// Terms of each frequency.
const TERMS_PER_FREQUENCY: usize = 40;
/// How many of a hundred segments hold a term.
const FREQUENCIES_PERCENT: [u64; 4] = [1, 10, 50, 100];
/// The size of a bloom filter, in bits.
const FILTER_BITS: usize = 8192;
/// Bits that a term sets.
const FILTER_HASHES: u64 = 4;

/// A term that so many of a hundred segments hold.
pub fn term(frequency_percent: u64, number: usize) -> String {
    format!("r{frequency_percent}-{}", number % TERMS_PER_FREQUENCY)
}

fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}

/// A bloom filter over the terms of a segment in one version: it never denies what is there.
struct Summary(Vec<u64>);

impl Summary {
    fn of(terms: &HashSet<String>) -> Self {
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

/// A segment's content in one version.
struct Content {
    since: Instant,
    terms: HashSet<String>,
    summary: Summary,
}

impl Content {
    fn new(segment: usize, version: usize) -> Self {
        let mut terms = HashSet::new();
        for percent in FREQUENCIES_PERCENT {
            for number in 0..TERMS_PER_FREQUENCY {
                if hash((segment, version, percent, number)) % 100 < percent {
                    terms.insert(term(percent, number));
                }
            }
        }
        Self { since: Instant::now(), summary: Summary::of(&terms), terms }
    }
}

/// What a segment's summaries say of a term.
pub(super) struct Probed {
    /// The present version.
    pub version: usize,
    /// The version before, or the present one where there was none.
    pub previous_version: usize,
    /// Whether the present version may hold the term.
    pub may_match: bool,
    /// Whether the version before may hold the term.
    pub previous_may_match: bool,
}

/// What each segment holds and has held, all versions from 1.
pub struct Corpus(Mutex<Vec<Vec<Content>>>);

impl Corpus {
    /// All segments in version 1.
    pub fn new() -> Arc<Self> {
        let segments = (0..SEGMENT_COUNT).map(|segment| vec![Content::new(segment, 1)]);
        Arc::new(Self(Mutex::new(segments.collect())))
    }

    /// A segment's content changes.
    pub fn advance_version(&self, segment: usize) {
        let mut segments = self.0.lock().unwrap();
        let next = Content::new(segment, segments[segment].len() + 1);
        segments[segment].push(next);
    }

    /// Whether a segment holds a term now.
    pub fn matches(&self, segment: usize, term: &str) -> bool {
        self.search(segment, term).1
    }

    /// The present version of a segment, and whether it holds a term.
    pub(super) fn search(&self, segment: usize, term: &str) -> (usize, bool) {
        let segments = self.0.lock().unwrap();
        let versions = &segments[segment];
        (versions.len(), versions.last().is_some_and(|content| content.terms.contains(term)))
    }

    /// What the summaries of these segments say of a term, all at one moment.
    pub(super) fn probe(&self, segments: &[usize], term: &str) -> Vec<Probed> {
        let contents = self.0.lock().unwrap();
        let probe = |segment: &usize| {
            let versions = &contents[*segment];
            let version = versions.len();
            let previous_version = version.saturating_sub(1).max(1);
            Probed {
                version,
                previous_version,
                may_match: versions[version - 1].summary.may_match(term),
                previous_may_match: versions[previous_version - 1].summary.may_match(term),
            }
        };
        segments.iter().map(probe).collect()
    }

    /// Whether a segment held a term in each version that it had at some time in between: leaving it out then is false.
    pub fn matched_throughout(&self, segment: usize, term: &str, from: Instant, to: Instant) -> bool {
        let segments = self.0.lock().unwrap();
        let versions = &segments[segment];
        let lasted_until_from = |at: usize| versions.get(at + 1).is_none_or(|next| next.since >= from);
        versions
            .iter()
            .enumerate()
            .filter(|(at, content)| content.since <= to && lasted_until_from(*at))
            .all(|(_, content)| content.terms.contains(term))
    }

    /// Segments that hold a term, and those that do not.
    pub fn partition_by_match(&self, term: &str, segments: &[usize]) -> (Vec<usize>, Vec<usize>) {
        segments.iter().partition(|segment| self.matches(**segment, term))
    }
}
