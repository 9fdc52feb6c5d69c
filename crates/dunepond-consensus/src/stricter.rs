//! The stricter of two sets of rules, key by key, by one table.

use crate::Rules;

/// Which of two values holds while both versions may be acted on.
enum Stricter {
    Greater,
    Smaller,
    OnlyIfBoth,
}
use Stricter::{Greater, OnlyIfBoth, Smaller};

/// One line a key; [`of`] reads it. A new key of [`Rules`] does not build until it stands here.
const LEAST: Stricter = Greater;
const WHOLE_AT: Stricter = Greater;
const BUDGET_SHARE: Stricter = Smaller;
const BUDGET_FREE: Stricter = Smaller;
const DRAIN_GRACE: Stricter = Smaller;
const COLD_MULTIPLE: Stricter = Smaller;
const DISPATCH_CAP: Stricter = Smaller;
const SECOND_COPIES: Stricter = OnlyIfBoth;
const REPEATS: Stricter = OnlyIfBoth;
const LONGEST_WAIT: Stricter = Smaller;

fn of<T: PartialOrd + Copy>(by: &Stricter, a: T, b: T) -> T {
    // `false` is below `true`: only if both is the smaller.
    let first = match by {
        Greater => a >= b,
        Smaller | OnlyIfBoth => a <= b,
    };
    if first { a } else { b }
}

/// Key by key; symmetric, and each with itself is itself. Lists of unequal length: the longer, as what one version
/// does not limit the other does.
pub fn stricter(a: &Rules, b: &Rules) -> Rules {
    let lists = |by: Stricter, a: &[f64], b: &[f64]| {
        let at = |i: usize| match (a.get(i), b.get(i)) {
            (Some(a), Some(b)) => of(&by, *a, *b),
            (a, b) => *a.or(b).expect("one of them is as long"),
        };
        (0..a.len().max(b.len())).map(at).collect()
    };
    // By name and without `..`, so that no key is forgotten.
    let Rules {
        least,
        whole_at,
        budget_share,
        budget_free,
        drain_grace,
        cold_multiple,
        dispatch_cap,
        second_copies,
        repeats,
        longest_wait,
    } = a;
    Rules {
        least: lists(LEAST, least, &b.least),
        whole_at: lists(WHOLE_AT, whole_at, &b.whole_at),
        budget_share: of(&BUDGET_SHARE, *budget_share, b.budget_share),
        budget_free: of(&BUDGET_FREE, *budget_free, b.budget_free),
        drain_grace: of(&DRAIN_GRACE, *drain_grace, b.drain_grace),
        cold_multiple: of(&COLD_MULTIPLE, *cold_multiple, b.cold_multiple),
        dispatch_cap: of(&DISPATCH_CAP, *dispatch_cap, b.dispatch_cap),
        second_copies: of(&SECOND_COPIES, *second_copies, b.second_copies),
        repeats: of(&REPEATS, *repeats, b.repeats),
        longest_wait: of(&LONGEST_WAIT, *longest_wait, b.longest_wait),
    }
}
