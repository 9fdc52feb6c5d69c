//! What is known of which text in which segment, and on whose word. Bounded; what was said of another version is gone.
//!
//! A remembered word tells of a version, and which version a segment is in at this moment only its holders know: one
//! that repeats an old version's word would make two of itself and an old truth. So both words must be fresh, and a
//! word is as old as its question: what was on its way when a scan came may have been said before.

use std::collections::VecDeque;

use imbl::HashMap;

use crate::{Key, NodeId, Seg, Version, Word};

/// On what a segment is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grounds {
    /// Two holders say so of the same version.
    Two(NodeId, NodeId),
    /// One holder says so of the version in which our own search found nothing.
    Searched(NodeId),
}

/// When a question went out, or a search began: its place among all questions, and the time. A search has only a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Asked {
    pub place: u64,
    pub at: f64,
}

/// From when on words count: behind a place, or later than a time. The place tells apart what time does not, as many
/// things happen within one reading of the clock.
#[derive(Clone, Copy, Debug)]
pub struct Since {
    pub place: u64,
    pub at: f64,
}

impl Since {
    pub fn holds(&self, asked: Asked) -> bool {
        asked.place > self.place || asked.at > self.at
    }
}

/// What is remembered of one text in one segment.
#[derive(Clone, Debug, Default)]
struct Known {
    version: Version,
    /// Who says that it cannot match, in this version, and when it was asked: two are enough.
    denies: [Option<(NodeId, Asked)>; 2],
    /// When the last search of ours began that found nothing in this version.
    searched: Option<Asked>,
}

/// A table that can be handed out whole at any moment: a copy of it is one pointer.
#[derive(Clone)]
pub struct Evidence {
    known: HashMap<(Key, Seg), Known>,
    /// In the order in which they came to be known.
    order: VecDeque<(Key, Seg)>,
    most: usize,
    /// The last version that each segment was heard to be in, and what of it is known: dropped when that moves.
    versions: HashMap<Seg, Version>,
}

impl Evidence {
    pub fn new(most: usize) -> Self {
        Self { known: HashMap::new(), order: VecDeque::new(), most: most.max(1), versions: HashMap::new() }
    }

    /// Another bound from now on; what is over it goes as new words come.
    pub fn bound(&mut self, most: usize) {
        self.most = most.max(1);
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Content has been heard of in a version. An older one than the last says only that its holder lags behind.
    fn heard(&mut self, seg: Seg, version: Version) -> bool {
        let last = self.versions.get(&seg).copied();
        if last.is_none_or(|last| version > last) {
            self.versions.insert(seg, version);
        }
        last.is_none_or(|last| version >= last)
    }

    fn entry(&mut self, key: Key, seg: Seg, version: Version) -> &mut Known {
        if !self.known.contains_key(&(key, seg)) {
            while self.known.len() >= self.most
                && let Some(oldest) = self.order.pop_front()
            {
                self.known.remove(&oldest);
            }
            self.order.push_back((key, seg));
        }
        let known = self.known.entry((key, seg)).or_default();
        if known.version != version {
            *known = Known { version, ..Known::default() };
        }
        known
    }

    /// A node's word. Anything but a plain no is against all noes of this version: two holders that disagree are no
    /// evidence, whichever of them is right.
    pub fn said(&mut self, asked: Asked, key: Key, seg: Seg, node: NodeId, word: Word, version: Version) {
        if !self.heard(seg, version) {
            return;
        }
        let known = self.entry(key, seg, version);
        match word {
            Word::CannotMatch => {
                // Its own place, or the one that was filled the longest ago.
                let own = known.denies.iter().position(|d| d.is_some_and(|d| d.0 == node));
                let at = |d: &Option<(NodeId, Asked)>| d.map_or((f64::MIN, 0), |d| (d.1.at, d.1.place));
                let oldest = usize::from(at(&known.denies[1]) < at(&known.denies[0]));
                known.denies[own.unwrap_or(oldest)] = Some((node, asked));
            }
            Word::MayMatch | Word::DontKnow => known.denies = [None; 2],
        }
    }

    /// Our own search of a segment, in the version that its holder named with the answer.
    pub fn searched(&mut self, began: Asked, key: Key, seg: Seg, version: Version, found: bool) {
        if !self.heard(seg, version) {
            return;
        }
        let known = self.entry(key, seg, version);
        known.searched = (!found).then_some(began);
        if found {
            known.denies = [None; 2];
        }
    }

    /// Whether a segment may be left out, and on what was said since then. `trusted` tells whose word counts at this
    /// moment.
    pub fn grounds(
        &self,
        key: Key,
        seg: Seg,
        since: Since,
        trusted: impl Fn(NodeId) -> bool,
    ) -> Option<Grounds> {
        let known = self.known.get(&(key, seg))?;
        if self.versions.get(&seg) != Some(&known.version) {
            return None;
        }
        let fresh = known.denies.iter().flatten().filter(|d| since.holds(d.1) && trusted(d.0));
        let mut denies = fresh.map(|d| d.0);
        let first = denies.next()?;
        match denies.next() {
            _ if known.searched.is_some_and(|at| since.holds(at)) => Some(Grounds::Searched(first)),
            Some(second) => Some(Grounds::Two(first, second)),
            None => None,
        }
    }

    /// Who has denied a match since then, in the version that counts: another's word would bear it out.
    pub fn denied_by(&self, key: Key, seg: Seg, since: Since) -> impl Iterator<Item = NodeId> {
        let known =
            self.known.get(&(key, seg)).filter(|known| self.versions.get(&seg) == Some(&known.version));
        let denies = known.into_iter().flat_map(|known| known.denies.into_iter().flatten());
        denies.filter(move |d| since.holds(d.1)).map(|d| d.0)
    }

    /// Who denies a match in just this version.
    pub fn denied_in(&self, key: Key, seg: Seg, version: Version) -> impl Iterator<Item = NodeId> {
        let known = self.known.get(&(key, seg)).filter(|known| known.version == version);
        known.into_iter().flat_map(|known| known.denies.into_iter().flatten()).map(|d| d.0)
    }

    /// A node's word has been found false: nothing rests on it any more.
    pub fn forget(&mut self, node: NodeId) {
        let stained: Vec<_> = self
            .known
            .iter()
            .filter(|(_, known)| known.denies.iter().flatten().any(|d| d.0 == node))
            .map(|(at, _)| *at)
            .collect();
        for at in stained {
            if let Some(known) = self.known.get_mut(&at) {
                known.denies.iter_mut().filter(|d| d.is_some_and(|d| d.0 == node)).for_each(|d| *d = None);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn at(at: f64) -> Asked {
        Asked { place: 0, at }
    }

    fn since(at: f64) -> Since {
        Since { place: 9, at }
    }

    const TRUST: fn(NodeId) -> bool = |_| true;

    #[test]
    fn one_holders_no_is_nothing_and_two_are_evidence() {
        let mut evidence = Evidence::new(10);
        evidence.said(at(0.0), 1, 0, 7, Word::CannotMatch, 3);
        evidence.said(at(0.0), 1, 0, 7, Word::CannotMatch, 3);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), None);
        evidence.said(at(0.0), 1, 0, 8, Word::CannotMatch, 3);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), Some(Grounds::Two(7, 8)));
        assert_eq!(evidence.grounds(1, 0, since(-0.5), |node| node != 8), None);
    }

    /// The content may have moved since, and a holder that lies could name the old version.
    #[test]
    fn a_word_said_before_the_scan_came_is_no_evidence_for_it() {
        let mut evidence = Evidence::new(10);
        evidence.said(at(1.0), 1, 0, 7, Word::CannotMatch, 3);
        evidence.said(at(2.0), 1, 0, 8, Word::CannotMatch, 3);
        assert_eq!(evidence.grounds(1, 0, since(1.5), TRUST), None);
        evidence.said(at(3.0), 1, 0, 7, Word::CannotMatch, 3);
        assert!(evidence.grounds(1, 0, since(1.5), TRUST).is_some());
        // A third takes the place of the oldest.
        evidence.said(at(4.0), 1, 0, 9, Word::CannotMatch, 3);
        assert_eq!(evidence.grounds(1, 0, since(2.5), TRUST), Some(Grounds::Two(7, 9)));
    }

    #[test]
    fn our_own_search_bears_one_holders_word_out() {
        let mut evidence = Evidence::new(10);
        evidence.searched(at(0.0), 1, 0, 3, false);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), None);
        evidence.said(at(0.0), 1, 0, 7, Word::CannotMatch, 3);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), Some(Grounds::Searched(7)));
    }

    /// The content has moved on: what was said of it before says nothing.
    #[rstest]
    #[case::a_holder_says_so(|e: &mut Evidence| e.said(at(0.0), 2, 0, 9, Word::DontKnow, 4))]
    #[case::a_search_says_so(|e: &mut Evidence| e.searched(at(0.0), 2, 0, 4, true))]
    fn what_was_said_of_another_version_is_gone(#[case] moved: fn(&mut Evidence)) {
        let mut evidence = Evidence::new(10);
        evidence.said(at(0.0), 1, 0, 7, Word::CannotMatch, 3);
        evidence.said(at(0.0), 1, 0, 8, Word::CannotMatch, 3);
        moved(&mut evidence);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), None);
        // A holder that lags behind cannot bring it back.
        evidence.said(at(0.0), 1, 0, 7, Word::CannotMatch, 3);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), None);
    }

    #[rstest]
    #[case(Word::MayMatch)]
    #[case(Word::DontKnow)]
    fn holders_that_disagree_are_no_evidence(#[case] word: Word) {
        let mut evidence = Evidence::new(10);
        evidence.said(at(0.0), 1, 0, 7, Word::CannotMatch, 3);
        evidence.said(at(0.0), 1, 0, 8, Word::CannotMatch, 3);
        evidence.said(at(0.0), 1, 0, 9, word, 3);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), None);
    }

    #[test]
    fn the_table_is_bounded_and_drops_the_oldest() {
        let mut evidence = Evidence::new(4);
        for seg in 0..20 {
            evidence.said(at(0.0), 1, seg, 7, Word::CannotMatch, 1);
            evidence.said(at(0.0), 1, seg, 8, Word::CannotMatch, 1);
        }
        assert_eq!(evidence.len(), 4);
        assert_eq!(evidence.grounds(1, 15, since(-0.5), TRUST), None);
        assert!(evidence.grounds(1, 19, since(-0.5), TRUST).is_some());
    }

    #[test]
    fn a_liars_words_are_taken_out_of_all_that_rests_on_them() {
        let mut evidence = Evidence::new(10);
        for seg in 0..3 {
            evidence.said(at(0.0), 1, seg, 7, Word::CannotMatch, 1);
            evidence.said(at(0.0), 1, seg, 8, Word::CannotMatch, 1);
        }
        evidence.forget(7);
        assert!((0..3).all(|seg| evidence.grounds(1, seg, since(-0.5), TRUST).is_none()));
        evidence.said(at(0.0), 1, 0, 9, Word::CannotMatch, 1);
        assert_eq!(evidence.grounds(1, 0, since(-0.5), TRUST), Some(Grounds::Two(9, 8)));
    }
}
