//! Two-phase scans against a world that knows the truth: holders that lie, lag, stall and disagree, content that moves.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_prefilter::*;
use proptest::prelude::*;

const SEGS: usize = 24;
const NODES: usize = 12;

/// A ring: a segment is held by the node of its half number and the next two. What it holds in a version matches a
/// text or does not, for good.
#[derive(Clone, Default)]
struct World {
    versions: BTreeMap<Seg, Version>,
    drained: BTreeSet<NodeId>,
    pressed: bool,
}

impl World {
    fn version(&self, seg: Seg) -> Version {
        self.versions.get(&seg).copied().unwrap_or(1)
    }

    fn matches(&self, key: Key, seg: Seg, version: Version) -> bool {
        let mut hash = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (seg as u64) << 32 ^ version;
        hash = (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (hash ^ hash >> 32).is_multiple_of(4)
    }
}

impl Fleet for World {
    fn holders(&self, seg: Seg) -> Vec<NodeId> {
        let all = (0..3).map(|j| (seg / 2 + j) % NODES);
        all.filter(|node| !self.drained.contains(node)).collect()
    }

    fn outstanding(&self, node: NodeId) -> usize {
        node % 2
    }

    fn pressed(&self) -> bool {
        self.pressed
    }
}

fn terms() -> Terms {
    Terms { least_segs: 4, share: 0.3, fresh: 0.0, most_known: 500, audits: 0.02 }
}

fn wide(id: ScanId, segs: std::ops::Range<usize>) -> Wide {
    Wide { id, table_type: 0, key: id % 7, replayable: true, whole_at: 1.0, left: 4.0, segs: segs.collect() }
}

fn asked(orders: &[Order]) -> Vec<Question> {
    let questions = orders.iter().filter_map(|o| if let Order::Ask(q) = o { Some(q.clone()) } else { None });
    questions.collect()
}

fn verdict(orders: &[Order], scan: ScanId) -> Option<Verdict> {
    let mut verdicts = orders.iter().filter_map(|o| if let Order::Search(v) = o { Some(v) } else { None });
    verdicts.find(|v| v.scan == scan).cloned()
}

/// Answers all that is asked with one word, until there is a verdict.
fn all_say(phases: &mut Phases, world: &World, orders: Vec<Order>, scan: ScanId, word: Word) -> Verdict {
    let mut orders = orders;
    loop {
        if let Some(verdict) = verdict(&orders, scan) {
            return verdict;
        }
        let questions = asked(&orders);
        assert!(!questions.is_empty(), "it waits for nothing and has no verdict");
        orders.clear();
        for question in questions {
            let words: Vec<_> = question.segs.iter().map(|seg| (*seg, word, 1)).collect();
            orders.extend(phases.answered(0.1, world, question.id, &words));
        }
        orders.extend(phases.flush(0.1));
    }
}

#[test]
fn one_question_goes_to_a_node_for_all_that_it_is_asked_about() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    let questions = asked(&opened(&mut phases, 0.0, &world, wide(1, 0..24)));
    let nodes: BTreeSet<_> = questions.iter().map(|q| q.node).collect();
    assert_eq!(nodes.len(), questions.len());
    assert_eq!(questions.iter().map(|q| q.segs.len()).sum::<usize>(), 24);
}

/// Two scans of one text within a turn ask together; one that comes when the questions are out asks again, as what is
/// on its way may have been said before it came.
#[test]
fn scans_within_a_turn_share_their_questions_and_later_ones_do_not() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    // It has been found to pay, or only one at a time would be tried.
    for id in 100..120 {
        let orders = opened(&mut phases, 0.0, &world, wide(id, 0..8));
        if !asked(&orders).is_empty() {
            all_say(&mut phases, &world, orders, id, Word::CannotMatch);
        }
        phases.finished(0.1, id, true);
    }
    let same = |id| Wide { key: 5, ..wide(id, 0..8) };
    assert_eq!(phases.open(1.0, &world, same(1)), []);
    assert_eq!(phases.open(1.0, &world, same(2)), []);
    let first = asked(&phases.flush(1.0));
    assert_eq!(first.iter().map(|q| q.segs.len()).sum::<usize>(), 8);
    let later = asked(&opened(&mut phases, 1.0, &world, same(3)));
    assert_eq!(later.iter().map(|q| q.segs.len()).sum::<usize>(), 8);
}

#[test]
fn nothing_left_after_pruning_is_an_empty_search_in_one_phase() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    let orders = opened(&mut phases, 0.0, &world, wide(1, 0..8));
    let verdict = all_say(&mut phases, &world, orders, 1, Word::CannotMatch);
    assert_eq!((verdict.search.len(), verdict.left_out.len()), (0, 8));
}

#[test]
fn nodes_that_always_may_match_leave_all_to_be_searched() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    let orders = opened(&mut phases, 0.0, &world, wide(1, 0..8));
    let verdict = all_say(&mut phases, &world, orders, 1, Word::MayMatch);
    assert_eq!((verdict.search.len(), verdict.left_out.len()), (8, 0));
}

/// Stalled at one node or at all: what was not answered by then is searched, and a late answer changes nothing.
#[test]
fn a_phase_that_stalls_ends_by_its_time_and_late_words_are_not_heard_for_it() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    let questions = asked(&opened(&mut phases, 0.0, &world, wide(1, 0..8)));
    let due = phases.next_due().unwrap();
    assert!((due - 0.3 * 4.0).abs() < 1e-9);
    assert_eq!(phases.due(due - 0.01), []);
    let verdict = verdict(&phases.due(due), 1).unwrap();
    assert_eq!(verdict.search.len(), 8);
    for question in questions {
        let words: Vec<_> = question.segs.iter().map(|seg| (*seg, Word::CannotMatch, 1)).collect();
        assert_eq!(phases.answered(due + 0.1, &world, question.id, &words), []);
    }
    assert_eq!(phases.waiting(), (0, 0));
}

#[test]
fn a_node_that_closes_on_the_question_leaves_its_segments_to_be_searched() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    let mut orders = opened(&mut phases, 0.0, &world, wide(1, 0..8));
    for question in asked(&orders) {
        orders.extend(phases.failed(0.1, &world, question.id, Unanswered::NoConnection));
    }
    orders.extend(phases.flush(0.1));
    assert_eq!(verdict(&orders, 1).unwrap().search.len(), 8);
}

#[test]
fn narrow_scans_unsafe_ones_and_all_in_overload_are_searched_at_once() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    let plain = |phases: &mut Phases, world: &World, wide: Wide| {
        let id = wide.id;
        let orders = opened(phases, 0.0, world, wide);
        asked(&orders).is_empty() && verdict(&orders, id).is_some()
    };
    assert!(plain(&mut phases, &world, wide(1, 0..3)));
    assert!(plain(&mut phases, &world, Wide { replayable: false, ..wide(2, 0..8) }));
    assert!(plain(&mut phases, &world, Wide { whole_at: 0.6, ..wide(5, 0..8) }));
    assert!(plain(&mut phases, &World { pressed: true, ..World::default() }, wide(3, 0..8)));
    assert!(!plain(&mut phases, &world, wide(4, 0..8)));
}

/// Its client has too little time for both phases: the second alone may still do.
#[test]
fn a_client_with_too_little_time_for_both_gets_the_second_phase_alone() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    for id in 0..20 {
        let orders = opened(&mut phases, 0.0, &world, wide(id, 0..8));
        if !asked(&orders).is_empty() {
            all_say(&mut phases, &world, orders, id, Word::CannotMatch);
        }
        phases.finished(1.0, id, true);
    }
    let hasty = Wide { left: 1.2, ..wide(30, 0..8) };
    assert!(asked(&opened(&mut phases, 0.0, &world, hasty)).is_empty());
}

/// Between the phases the content has moved: what was left out on the old version must be searched.
#[test]
fn content_that_moves_between_the_phases_is_searched_before_the_answer_is_whole() {
    let (mut phases, world) = (Phases::new(terms(), 1), World::default());
    let orders = opened(&mut phases, 0.0, &world, wide(1, 0..8));
    all_say(&mut phases, &world, orders, 1, Word::CannotMatch);
    assert_eq!(phases.fallen(1), []);
    phases.searched(0.2, 5, 3, 2, true);
    assert_eq!(phases.fallen(1), [3]);
    assert_eq!(phases.fallen(1), []);
}

/// One contradiction, and that node's word is worth nothing until it has been right again.
#[test]
fn a_liar_found_out_by_an_audit_loses_its_word_at_once() {
    let (mut phases, world) = (Phases::new(Terms { audits: 1.0, ..terms() }, 1), World::default());
    let orders = opened(&mut phases, 0.0, &world, wide(1, 0..8));
    let verdict = all_say(&mut phases, &world, orders, 1, Word::CannotMatch);
    let audit = phases.audit(&world).unwrap();
    assert!(verdict.left_out.iter().any(|left| left.seg == audit.seg));
    assert!(phases.searched(0.3, audit.key, audit.seg, 1, true));
    assert_eq!(phases.doubted(), 2);
    assert!(phases.fallen(1).contains(&audit.seg));
}

#[test]
fn no_audit_is_made_in_overload() {
    let (mut phases, world) = (Phases::new(Terms { audits: 1.0, ..terms() }, 1), World::default());
    let orders = opened(&mut phases, 0.0, &world, wide(1, 0..8));
    all_say(&mut phases, &world, orders, 1, Word::CannotMatch);
    assert_eq!(phases.audit(&World { pressed: true, ..World::default() }), None);
    assert_eq!(phases.audit(&world), None);
}

#[derive(Clone, Debug)]
enum Step {
    Open {
        from: usize,
        count: usize,
        key: Key,
        left: f64,
    },
    /// The oldest but so many questions is answered, or fails; or its node makes up its mind, and the answer is on
    /// its way until later.
    Answer(usize),
    Forms(usize),
    Fail(usize),
    Wait(f64),
    Moves(Seg),
    Drains(NodeId),
    Finish(usize),
    Audit,
    Search(Seg, Key),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..SEGS, 1..20usize, 0..5u64, 0.1..5.0f64)
            .prop_map(|(from, count, key, left)| Step::Open { from, count, key, left }),
        8 => (0..9usize).prop_map(Step::Answer),
        3 => (0..9usize).prop_map(Step::Forms),
        1 => (0..9usize).prop_map(Step::Fail),
        2 => (0.0..0.4f64).prop_map(Step::Wait),
        1 => (0..SEGS).prop_map(Step::Moves),
        1 => (0..NODES).prop_map(Step::Drains),
        2 => (0..9usize).prop_map(Step::Finish),
        1 => Just(Step::Audit),
        1 => (0..SEGS, 0..5u64).prop_map(|(seg, key)| Step::Search(seg, key)),
    ]
}

/// What has no verdict yet puts its questions out at the turn's end.
fn opened(phases: &mut Phases, now: f64, world: &World, wide: Wide) -> Vec<Order> {
    let mut orders = phases.open(now, world, wide);
    orders.extend(phases.flush(now));
    orders
}

/// What a node says at this moment. Each third one lies, so one at most of any three that follow each other.
fn words(world: &World, question: &Question, back: u64) -> Vec<(Seg, Word, Version)> {
    let word = |seg: &Seg| {
        let version = world.version(*seg);
        if question.node.is_multiple_of(3) {
            return (*seg, Word::CannotMatch, version.saturating_sub(back).max(1));
        }
        let matches = world.matches(question.key, *seg, version);
        (*seg, if matches { Word::MayMatch } else { Word::CannotMatch }, version)
    };
    question.segs.iter().map(word).collect()
}

fn fixed() -> ProptestConfig {
    // The same cases each time: CI's verdict must not hang on a draw. PROPTEST_CASES asks for more of them.
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(18), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    /// With one liar among the holders of each segment, which denies what matches and names whatever version it likes,
    /// no segment is left out that matched at some time from the scan's coming to its verdict in every version it then
    /// had; and each scan has one verdict, in time, over all its segments.
    #[test]
    fn one_liar_a_segment_makes_no_answer_falsely_whole(
        steps in prop::collection::vec(step(), 1..300),
        seed in 0..1000u64,
        back in 0..3u64,
    ) {
        let (mut phases, mut world) = (Phases::new(Terms { audits: 0.2, ..terms() }, seed), World::default());
        let (mut now, mut last) = (0.0, 0);
        let mut out: Vec<Question> = Vec::new();
        let mut formed: BTreeMap<u64, Vec<(Seg, Word, Version)>> = BTreeMap::new();
        // Scans without a verdict, with when they came and what versions their segments have had since.
        type Waiting = (Wide, f64, BTreeMap<Seg, BTreeSet<Version>>);
        let mut waiting: BTreeMap<ScanId, Waiting> = BTreeMap::new();
        let mut judged: Vec<ScanId> = Vec::new();
        for step in steps {
            let mut orders = Vec::new();
            match step {
                Step::Open { from, count, key, left } => {
                    last += 1;
                    let segs: Vec<_> = (0..count).map(|i| (from + i) % SEGS).collect();
                    let wide = Wide { id: last, table_type: 0, key, replayable: true, whole_at: 1.0, left, segs: segs.clone() };
                    let had = segs.iter().map(|seg| (*seg, BTreeSet::from([world.version(*seg)]))).collect();
                    waiting.insert(last, (wide.clone(), now, had));
                    orders = phases.open(now, &world, wide);
                }
                Step::Answer(at) if !out.is_empty() => {
                    let question = out.remove(at % out.len());
                    let words = formed.remove(&question.id).unwrap_or_else(|| words(&world, &question, back));
                    orders = phases.answered(now, &world, question.id, &words);
                }
                Step::Forms(at) if !out.is_empty() => {
                    let question = &out[at % out.len()];
                    formed.entry(question.id).or_insert_with(|| words(&world, question, back));
                }
                Step::Fail(at) if !out.is_empty() => {
                    let question = out.remove(at % out.len());
                    orders = phases.failed(now, &world, question.id, Unanswered::Late);
                }
                Step::Wait(seconds) => {
                    now += seconds;
                    orders = phases.due(now);
                    prop_assert!(phases.next_due().is_none_or(|due| due > now));
                }
                Step::Moves(seg) => {
                    let version = world.version(seg) + 1;
                    world.versions.insert(seg, version);
                    for (_, _, had) in waiting.values_mut() {
                        if let Some(had) = had.get_mut(&seg) {
                            had.insert(version);
                        }
                    }
                }
                Step::Drains(node) if world.drained.len() < 3 => {
                    world.drained.insert(node);
                },
                Step::Drains(_) => world.drained.clear(),
                Step::Finish(at) if !judged.is_empty() => {
                    let id = judged.remove(at % judged.len());
                    phases.finished(now, id, true);
                }
                Step::Audit => {
                    if let Some(audit) = phases.audit(&world) {
                        let version = world.version(audit.seg);
                        let found = world.matches(audit.key, audit.seg, version);
                        phases.searched(now, audit.key, audit.seg, version, found);
                    }
                }
                Step::Search(seg, key) => {
                    let version = world.version(seg);
                    phases.searched(now, key, seg, version, world.matches(key, seg, version));
                }
                _ => {}
            }
            orders.extend(phases.flush(now));
            for order in orders {
                match order {
                    Order::Ask(question) => {
                        let holders = |seg: &Seg| world.holders(*seg).contains(&question.node);
                        prop_assert!(question.segs.iter().all(holders));
                        out.push(question);
                    }
                    Order::Search(verdict) => {
                        let (wide, came, had) = waiting.remove(&verdict.scan).expect("one verdict a scan");
                        prop_assert!(now <= came + 0.3 * wide.left + 0.4 + 1e-9);
                        let mut covered: Vec<Seg> = verdict.search.clone();
                        covered.extend(verdict.left_out.iter().map(|left| left.seg));
                        covered.sort_unstable();
                        let mut all = wide.segs.clone();
                        all.sort_unstable();
                        prop_assert_eq!(covered, all);
                        for left in &verdict.left_out {
                            let empty = had[&left.seg].iter().any(|v| !world.matches(wide.key, left.seg, *v));
                            prop_assert!(empty, "{left:?} matched all the time");
                        }
                        judged.push(verdict.scan);
                    }
                }
            }
        }
    }
}
