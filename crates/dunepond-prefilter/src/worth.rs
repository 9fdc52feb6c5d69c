//! Whether asking first pays, by table type: learned from the last scans that did and the last that did not, with a
//! trickle of trials so that a change is found out.

use std::collections::VecDeque;

/// Samples of each kind that are kept.
const SAMPLES: usize = 32;
/// So many are needed before anything is concluded.
const ENOUGH: usize = 4;
/// Where it does not pay, one scan in so many tries it all the same: at first, and at most. Each trial in vain doubles
/// the number, and one that pays ends it.
const TRIALS: (u32, u32) = (8, 256);
/// Where it pays, one in so many is searched plainly, which tells whether it still takes longer.
const PLAIN: u32 = 32;
/// Asking first must save so much of the work, or it is not worth its questions.
const LEAST_SAVED: f64 = 0.1;
/// And the whole scan may take so much longer by it.
const MOST_LONGER: f64 = 1.25;
/// Phase one is not waited for longer than a plain search takes, as that could never pay; but so many seconds at least,
/// or a hiccup would end it.
const LEAST_PATIENCE: f64 = 0.01;

/// How a scan that was asked about first went.
#[derive(Clone, Copy, Debug)]
pub struct Went {
    /// Share of its segments that were left out.
    pub saved: f64,
    /// What phase one took, and the whole.
    pub asked: f64,
    pub whole: f64,
}

#[derive(Debug)]
pub struct Worth {
    first: VecDeque<Went>,
    plain: VecDeque<f64>,
    /// Scans since the last trial, and how many there must be before the next.
    since: u32,
    every: u32,
    /// Asked about and not over: what they show comes with their ends.
    out: usize,
}

impl Default for Worth {
    fn default() -> Self {
        Self { first: VecDeque::new(), plain: VecDeque::new(), since: 0, every: TRIALS.0, out: 0 }
    }
}

fn keep<T>(samples: &mut VecDeque<T>, sample: T) {
    samples.push_back(sample);
    if samples.len() > SAMPLES {
        samples.pop_front();
    }
}

fn median(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = samples.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}

impl Worth {
    /// Whether the next scan is to be asked about first.
    pub fn ask_first(&mut self) -> bool {
        self.since += 1;
        // Both are tried until there is something to go by, in turns, and no more than that are out: hundreds that came
        // before the first had shown how slow it is would all be as slow.
        if self.first.len() < ENOUGH || self.plain.len() < ENOUGH {
            return self.first.len() + self.out <= self.plain.len();
        }
        let pays = self.pays();
        if self.since >= if pays { PLAIN } else { self.every } {
            self.since = 0;
            return !pays;
        }
        pays
    }

    /// What the samples say.
    pub fn pays(&self) -> bool {
        let saved = self.first.iter().map(|went| went.saved).sum::<f64>() / self.first.len().max(1) as f64;
        let whole = median(self.first.iter().map(|went| went.whole));
        let plain = median(self.plain.iter().copied());
        let longer = whole.zip(plain).is_some_and(|(whole, plain)| whole > MOST_LONGER * plain);
        saved >= LEAST_SAVED && !longer
    }

    /// A scan is asked about.
    pub fn begins(&mut self) {
        self.out += 1;
    }

    /// It is over, with an answer or without one.
    pub fn over(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    /// How long phase one may be waited for.
    pub fn patience(&self) -> Option<f64> {
        self.plain().map(|plain| plain.max(LEAST_PATIENCE))
    }

    pub fn asked_first(&mut self, went: Went) {
        let before = self.pays();
        keep(&mut self.first, went);
        if self.first.len() >= ENOUGH && !before {
            self.every = if self.pays() { TRIALS.0 } else { (2 * self.every).min(TRIALS.1) };
        }
    }

    pub fn not_asked(&mut self, whole: f64) {
        keep(&mut self.plain, whole);
    }

    /// What phase one takes at the median, and what comes behind it.
    pub fn usual(&self) -> Option<(f64, f64)> {
        let asked = median(self.first.iter().map(|went| went.asked))?;
        let rest = median(self.first.iter().map(|went| went.whole - went.asked))?;
        Some((asked, rest))
    }

    /// What a scan takes that is not asked about first.
    pub fn plain(&self) -> Option<f64> {
        median(self.plain.iter().copied())
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn run(worth: &mut Worth, scans: usize, went: Went, plain: f64) -> usize {
        let mut asked = 0;
        for _ in 0..scans {
            if worth.ask_first() {
                asked += 1;
                worth.begins();
                worth.asked_first(went);
                worth.over();
            } else {
                worth.not_asked(plain);
            }
        }
        asked
    }

    #[rstest]
    #[case::saves_much(0.9, 0.5, 0.9, 1.0)]
    #[case::saves_nothing(0.0, 1.2, 0.0, 0.05)]
    #[case::takes_too_long(0.9, 3.0, 0.0, 0.05)]
    fn it_is_done_where_it_pays_and_tried_now_and_then_where_not(
        #[case] saved: f64,
        #[case] whole: f64,
        #[case] least: f64,
        #[case] most: f64,
    ) {
        let mut worth = Worth::default();
        let asked = run(&mut worth, 2000, Went { saved, asked: 0.1, whole }, 1.0);
        let share = asked as f64 / 2000.0;
        assert!((least..=most).contains(&share), "{share}");
        assert!(asked > 4);
    }

    /// All of them come before the first is over.
    #[test]
    fn a_burst_is_not_all_asked_about_before_anything_is_known() {
        let mut worth = Worth::default();
        let mut asked = 0;
        for _ in 0..500 {
            if worth.ask_first() {
                asked += 1;
                worth.begins();
            }
        }
        assert_eq!(asked, 1);
        worth.over();
        assert!(worth.ask_first());
    }

    #[test]
    fn a_change_is_found_out() {
        let mut worth = Worth::default();
        run(&mut worth, 1000, Went { saved: 0.0, asked: 0.1, whole: 1.1 }, 1.0);
        assert!(!worth.pays());
        run(&mut worth, 4000, Went { saved: 0.9, asked: 0.1, whole: 0.4 }, 1.0);
        assert!(worth.pays());
        run(&mut worth, 100, Went { saved: 0.0, asked: 0.1, whole: 1.1 }, 1.0);
        assert!(!worth.pays());
    }
}
