//! The scans that are asked about first, from their opening to their verdict, and the audits behind them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::evidence::{Asked, Evidence, Grounds, Since};
use crate::reach::{Reach, Unanswered};
use crate::trust::{Allowance, Trust};
use crate::worth::{Went, Worth};
use crate::{Key, NodeId, Seg, Version, Word};

/// What phase two usually takes must fit into what is left, with so much to spare.
const SPARE: f64 = 1.5;
/// How often a node is asked whose word counts for nothing.
const PROBATION: f64 = 1.0 / 16.0;
/// Seconds after which a question that nobody waits for is forgotten.
const REMEMBERED: f64 = 10.0;
/// Audits that may be saved up.
const SAVED_UP: f64 = 8.0;

/// A scan, by the host's own number.
pub type ScanId = u64;

/// What the operator allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Scans of fewer segments are never asked about first.
    pub least_segs: usize,
    /// Of the client's time, so much is phase one's at most.
    pub share: f64,
    /// Seconds for which a word counts for scans that come after its question. At 0 each scan hears two words asked for
    /// since it came, and a whole answer is whole as of its coming; above, as of so long before at most.
    pub fresh: f64,
    /// Texts in segments of which something is remembered.
    pub most_known: usize,
    /// Left-out segments that are searched all the same, as a share of all left out.
    pub audits: f64,
}

/// A scan that may be asked about first.
#[derive(Clone, Debug)]
pub struct Wide {
    pub id: ScanId,
    pub table_type: usize,
    pub key: Key,
    /// May run again: what may not is never asked about first.
    pub replayable: bool,
    /// The share that makes its answer whole. One that need not have all parts is never asked about first: of what it
    /// counts, each part must have been searched.
    pub whole_at: f64,
    /// Seconds that its client still waits.
    pub left: f64,
    pub segs: Vec<Seg>,
}

/// What the host knows of the nodes at this moment.
pub trait Fleet {
    /// Holders of a segment that new work may go to.
    fn holders(&self, seg: Seg) -> Vec<NodeId>;
    /// What we have out at a node.
    fn outstanding(&self, node: NodeId) -> usize;
    /// The nodes are near their limits: nothing is to be asked that need not be.
    fn pressed(&self) -> bool;
}

/// A question to one node for all segments of a text that it is asked about at once.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
    pub id: u64,
    pub node: NodeId,
    pub key: Key,
    pub segs: Vec<Seg>,
}

/// A segment that is left out, and on what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Left {
    pub seg: Seg,
    pub grounds: Grounds,
}

/// What phase two is to search. Each opened scan has one, at its opening or later.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub scan: ScanId,
    pub search: Vec<Seg>,
    pub left_out: Vec<Left>,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Ask(Question),
    Search(Verdict),
}

struct Open {
    wide: Wide,
    came: f64,
    since: Since,
    /// When phase one is over, whatever has come.
    until: f64,
    /// Segments on which a question is out; and those that a second holder has been asked about.
    waits: BTreeMap<Seg, u64>,
    second: BTreeSet<Seg>,
}

/// A scan behind its verdict, until it is finished.
struct Searching {
    table_type: usize,
    key: Key,
    came: f64,
    since: Since,
    /// When its verdict was; nothing where it was not asked about.
    judged: Option<f64>,
    segs: usize,
    left_out: Vec<Left>,
}

/// A left-out segment that is to be searched all the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Audit {
    pub key: Key,
    pub seg: Seg,
}

/// What has happened so far, for the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Scans that were asked about first, and wide ones that were not.
    pub asked_first: u64,
    pub plain: u64,
    pub questions: u64,
    pub unanswered: u64,
    /// Segments of scans that were asked about, and those of them that were left out.
    pub segs: u64,
    pub left_out: u64,
    pub audits: u64,
    /// Words that were found false, and left-out segments that had to be searched after all.
    pub lies: u64,
    pub fallen: u64,
}

pub struct Phases {
    terms: Terms,
    rng: Pcg64Mcg,
    worth: BTreeMap<usize, Worth>,
    evidence: Evidence,
    trust: Trust,
    reach: Reach,
    allowance: Allowance,
    counts: Counts,
    open: BTreeMap<ScanId, Open>,
    searching: BTreeMap<ScanId, Searching>,
    /// Questions that wait for the end of this turn, which scans that come within it share; by node and text.
    gathered: BTreeMap<(NodeId, Key), Question>,
    /// Questions that are out, and when they went.
    out: BTreeMap<u64, (Question, Asked)>,
    /// Numbers of questions, and places of what went out.
    last: u64,
    sent: u64,
    audits: VecDeque<Audit>,
}

impl Phases {
    pub fn new(terms: Terms, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            worth: BTreeMap::new(),
            evidence: Evidence::new(terms.most_known),
            trust: Trust::default(),
            reach: Reach::default(),
            counts: Counts::default(),
            allowance: Allowance::new(terms.audits, SAVED_UP),
            open: BTreeMap::new(),
            searching: BTreeMap::new(),
            gathered: BTreeMap::new(),
            out: BTreeMap::new(),
            last: 0,
            sent: 0,
            audits: VecDeque::new(),
            terms,
        }
    }

    /// Other terms, for scans that come from now on.
    pub fn change(&mut self, terms: Terms) {
        self.evidence.bound(terms.most_known);
        self.allowance.share(terms.audits);
        self.terms = terms;
    }

    /// Whether a scan may be asked about first at all, whatever the moment.
    pub fn concerns(&self, wide: &Wide) -> bool {
        wide.replayable && wide.whole_at >= 1.0 && wide.segs.len() >= self.terms.least_segs
    }

    /// Words that count for a scan that comes at this moment.
    fn since(&self, now: f64) -> Since {
        Since { place: self.sent, at: now - self.terms.fresh }
    }

    /// A scan has come. Its verdict is among the orders at once where it is not asked about, or nothing need be asked;
    /// otherwise its questions go out with [`Phases::flush`].
    pub fn open(&mut self, now: f64, fleet: &dyn Fleet, wide: Wide) -> Vec<Order> {
        let until = match self.time_for(now, fleet, &wide) {
            Some(until) => until,
            None => return vec![self.plain(now, wide)],
        };
        self.counts.asked_first += 1;
        self.worth.entry(wide.table_type).or_default().begins();
        self.counts.segs += wide.segs.len() as u64;
        let (id, segs) = (wide.id, wide.segs.clone());
        let open = Open {
            wide,
            came: now,
            since: self.since(now),
            until,
            waits: BTreeMap::new(),
            second: BTreeSet::new(),
        };
        self.open.insert(id, open);
        self.ask(now, fleet, id, &segs);
        self.judge(now, id, false).into_iter().collect()
    }

    /// The end of a turn: what was gathered in it goes out, one question to a node for each text.
    pub fn flush(&mut self, now: f64) -> Vec<Order> {
        let mut gathered = std::mem::take(&mut self.gathered);
        // Whoever wanted to know may have gone or been refused within the turn.
        let wanted: BTreeSet<u64> =
            self.open.values().flat_map(|open| open.waits.values().copied()).collect();
        gathered.retain(|_, question| wanted.contains(&question.id));
        let orders = gathered.into_values().map(|question| {
            self.counts.questions += 1;
            self.reach.asked(question.node, question.id);
            self.sent += 1;
            self.out.insert(question.id, (question.clone(), Asked { place: self.sent, at: now }));
            Order::Ask(question)
        });
        orders.collect()
    }

    /// Until when a scan may be asked about; nothing where it is not.
    fn time_for(&mut self, now: f64, fleet: &dyn Fleet, wide: &Wide) -> Option<f64> {
        if !self.concerns(wide) || fleet.pressed() {
            return None;
        }
        let worth = self.worth.entry(wide.table_type).or_default();
        let mut most = self.terms.share * wide.left;
        if let Some((asked, rest)) = worth.usual() {
            // A plain search may take longer than one behind a phase, where little is left of it: that must fit too.
            let rest = rest.max(worth.plain().unwrap_or(0.0));
            most = most.min(wide.left - SPARE * rest);
            if most < asked {
                return None;
            }
        }
        if let Some(patience) = worth.patience() {
            most = most.min(patience);
        }
        worth.ask_first().then_some(now + most)
    }

    fn plain(&mut self, now: f64, wide: Wide) -> Order {
        self.counts.plain += u64::from(self.concerns(&wide));
        let Wide { id, table_type, key, segs, .. } = wide;
        let count = segs.len();
        let searching = Searching {
            table_type,
            key,
            came: now,
            since: self.since(now),
            judged: None,
            segs: count,
            left_out: Vec::new(),
        };
        self.searching.insert(id, searching);
        Order::Search(Verdict { scan: id, search: segs, left_out: Vec::new() })
    }

    /// Asks about segments of a scan, one question to a node for all that it is asked.
    fn ask(&mut self, now: f64, fleet: &dyn Fleet, id: ScanId, segs: &[Seg]) {
        let Some(open) = self.open.get(&id) else { return };
        let (key, since) = (open.wide.key, open.since);
        for &seg in segs {
            if self.evidence.grounds(key, seg, since, |node| self.trust.counts(node)).is_some() {
                continue;
            }
            let denied: Vec<_> = self.evidence.denied_by(key, seg, since).collect();
            // Another scan asks the same already: what is gathered has not gone yet, and what is out counts if it
            // went late enough.
            let out =
                self.out.values().filter(|(_, asked)| since.holds(*asked)).map(|(question, _)| question);
            let same = |q: &&Question| q.key == key && q.segs.contains(&seg) && !denied.contains(&q.node);
            let same = self.gathered.values().chain(out).find(same).map(|question| question.id);
            let question = match same {
                Some(question) => question,
                None => match self.whom(now, fleet, key, seg, &denied) {
                    Some(node) => self.gather(node, key, seg),
                    None => continue,
                },
            };
            self.open.get_mut(&id).and_then(|open| open.waits.insert(seg, question));
        }
    }

    /// The lighter of two sampled holders, as for parts; of those whose word would count.
    fn whom(&mut self, now: f64, fleet: &dyn Fleet, key: Key, seg: Seg, denied: &[NodeId]) -> Option<NodeId> {
        // Whose word counts for nothing is asked now and then: its segments are searched, and show whether it is
        // right again.
        let probation = self.rng.random_bool(PROBATION);
        let counts = |node: NodeId| self.reach.may_ask(now, node) && (probation || self.trust.counts(node));
        let fit = |node: &NodeId| !denied.contains(node) && counts(*node);
        let holders: Vec<_> = fleet.holders(seg).into_iter().filter(fit).collect();
        match holders.len() {
            0 => None,
            1 => Some(holders[0]),
            n => {
                let first = self.rng.random_range(0..n);
                let second = (first + self.rng.random_range(1..n)) % n;
                let (a, b) = (holders[first], holders[second]);
                // A node that is asked already answers one more segment for next to nothing.
                let asked = |node| self.gathered.contains_key(&(node, key));
                Some(match (asked(a), asked(b)) {
                    (true, false) => a,
                    (false, true) => b,
                    _ if fleet.outstanding(b) < fleet.outstanding(a) => b,
                    _ => a,
                })
            }
        }
    }

    fn gather(&mut self, node: NodeId, key: Key, seg: Seg) -> u64 {
        let last = &mut self.last;
        let question = self.gathered.entry((node, key)).or_insert_with(|| {
            *last += 1;
            Question { id: *last, node, key, segs: Vec::new() }
        });
        question.segs.push(seg);
        question.id
    }

    /// A node has answered, late or in time; what it was not asked is not heard.
    pub fn answered(
        &mut self,
        now: f64,
        fleet: &dyn Fleet,
        question: u64,
        words: &[(Seg, Word, Version)],
    ) -> Vec<Order> {
        let Some((asked, when)) = self.out.remove(&question) else { return Vec::new() };
        self.reach.answered(asked.node);
        for (seg, word, version) in words {
            if asked.segs.contains(seg) {
                self.evidence.said(when, asked.key, *seg, asked.node, *word, *version);
            }
        }
        let denied: BTreeSet<Seg> = words
            .iter()
            .filter(|w| w.1 == Word::CannotMatch && asked.segs.contains(&w.0))
            .map(|w| w.0)
            .collect();
        self.over(now, fleet, &asked, &denied)
    }

    /// A question will not be answered: its segments are searched.
    pub fn failed(&mut self, now: f64, fleet: &dyn Fleet, question: u64, why: Unanswered) -> Vec<Order> {
        let Some((asked, _)) = self.out.remove(&question) else { return Vec::new() };
        self.counts.unanswered += 1;
        self.reach.failed(now, asked.node, question, why);
        self.over(now, fleet, &asked, &BTreeSet::new())
    }

    /// A question is over: what one holder denies goes to a second, and who waits for nothing more is judged.
    fn over(&mut self, now: f64, fleet: &dyn Fleet, asked: &Question, denied: &BTreeSet<Seg>) -> Vec<Order> {
        let waiting = self.open.iter().filter(|(_, open)| open.waits.values().any(|q| *q == asked.id));
        let waiting: Vec<_> = waiting.map(|(id, _)| *id).collect();
        let mut orders = Vec::new();
        for id in waiting {
            let Some(open) = self.open.get_mut(&id) else { continue };
            let answered: Vec<Seg> =
                open.waits.iter().filter(|(_, q)| **q == asked.id).map(|(s, _)| *s).collect();
            open.waits.retain(|_, question| *question != asked.id);
            // Only where a second word can still come in time, and only one second word.
            let again: Vec<Seg> =
                answered.into_iter().filter(|seg| denied.contains(seg) && open.second.insert(*seg)).collect();
            if now < open.until && !fleet.pressed() {
                self.ask(now, fleet, id, &again);
            }
            orders.extend(self.judge(now, id, false));
        }
        orders
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<f64> {
        self.open.values().map(|open| open.until).min_by(f64::total_cmp)
    }

    /// Phase one is over for those whose time is up: what has not been answered is simply searched.
    pub fn due(&mut self, now: f64) -> Vec<Order> {
        let due: Vec<_> = self.open.iter().filter(|(_, open)| open.until <= now).map(|(id, _)| *id).collect();
        for question in due.iter().flat_map(|id| self.open[id].waits.values()) {
            if let Some((late, _)) = self.out.get(question) {
                self.reach.failed(now, late.node, *question, Unanswered::Late);
            }
        }
        let orders: Vec<_> = due.into_iter().filter_map(|id| self.judge(now, id, true)).collect();
        // A question that nobody waits for may still teach something, but not for ever.
        let waited: BTreeSet<u64> =
            self.open.values().flat_map(|open| open.waits.values().copied()).collect();
        self.out.retain(|id, (_, asked)| waited.contains(id) || now - asked.at <= REMEMBERED);
        orders
    }

    /// The verdict on a scan, once it waits for nothing, or must wait no longer.
    fn judge(&mut self, now: f64, id: ScanId, at_once: bool) -> Option<Order> {
        if !at_once && self.open.get(&id).is_none_or(|open| !open.waits.is_empty()) {
            return None;
        }
        let open = self.open.remove(&id)?;
        let (key, since) = (open.wide.key, open.since);
        let (mut search, mut left_out) = (Vec::new(), Vec::new());
        for &seg in &open.wide.segs {
            match self.evidence.grounds(key, seg, since, |node| self.trust.counts(node)) {
                Some(grounds) => left_out.push(Left { seg, grounds }),
                None => search.push(seg),
            }
        }
        self.counts.left_out += left_out.len() as u64;
        self.allowance.left_out(left_out.len());
        if !left_out.is_empty() && self.allowance.take() {
            let left = left_out[self.rng.random_range(0..left_out.len())];
            self.audits.push_back(Audit { key, seg: left.seg });
        }
        let searching = Searching {
            table_type: open.wide.table_type,
            key,
            came: open.came,
            since,
            judged: Some(now),
            segs: open.wide.segs.len(),
            left_out: left_out.clone(),
        };
        self.searching.insert(id, searching);
        Some(Order::Search(Verdict { scan: id, search, left_out }))
    }

    /// Segments of a scan that were left out and may be no longer, as their content has moved or a word has fallen:
    /// they are to be searched before the answer can be whole.
    pub fn fallen(&mut self, id: ScanId) -> Vec<Seg> {
        let Some(searching) = self.searching.get_mut(&id) else { return Vec::new() };
        let (evidence, trust) = (&self.evidence, &self.trust);
        let (key, since) = (searching.key, searching.since);
        let holds = |left: &Left| evidence.grounds(key, left.seg, since, |node| trust.counts(node)).is_some();
        let fallen: Vec<Seg> =
            searching.left_out.iter().filter(|left| !holds(left)).map(|left| left.seg).collect();
        searching.left_out.retain(holds);
        self.counts.fallen += fallen.len() as u64;
        fallen
    }

    /// A segment was searched, for a scan or as an audit, in the version that its holder named. Every word about it is
    /// weighed against what was found. `began` is when it was sent. True if somebody's word fell with it.
    pub fn searched(&mut self, began: f64, key: Key, seg: Seg, version: Version, found: bool) -> bool {
        let denied: Vec<_> = self.evidence.denied_in(key, seg, version).collect();
        let mut fell = false;
        for node in denied {
            if found {
                fell |= self.trust.lied(node);
                self.counts.lies += 1;
                self.evidence.forget(node);
            } else {
                self.trust.right(node);
            }
        }
        self.evidence.searched(Asked { place: 0, at: began }, key, seg, version, found);
        fell
    }

    pub fn has_audits(&self) -> bool {
        !self.audits.is_empty()
    }

    /// The next left-out segment to be searched all the same; none while the nodes are pressed.
    pub fn audit(&mut self, fleet: &dyn Fleet) -> Option<Audit> {
        if fleet.pressed() {
            // What waits is worth nothing later: the content will have moved.
            self.audits.clear();
        }
        let audit = self.audits.pop_front();
        self.counts.audits += u64::from(audit.is_some());
        audit
    }

    /// A scan has its answer, or will have none.
    pub fn finished(&mut self, now: f64, id: ScanId, answered: bool) {
        if let Some(open) = self.open.remove(&id) {
            self.worth.entry(open.wide.table_type).or_default().over();
        }
        let Some(searching) = self.searching.remove(&id) else { return };
        if searching.judged.is_some() {
            self.worth.entry(searching.table_type).or_default().over();
        }
        if !answered || searching.segs < self.terms.least_segs {
            return;
        }
        let worth = self.worth.entry(searching.table_type).or_default();
        let whole = now - searching.came;
        match searching.judged {
            None => worth.not_asked(whole),
            Some(judged) => worth.asked_first(Went {
                saved: searching.left_out.len() as f64 / searching.segs as f64,
                asked: judged - searching.came,
                whole,
            }),
        }
    }

    /// A node has gone, or a new process stands under its number.
    pub fn forget(&mut self, node: NodeId) {
        self.trust.forget(node);
        self.reach.forget(node);
        self.evidence.forget(node);
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Nodes that are not asked for now, as they did not answer.
    pub fn resting(&self, now: f64) -> usize {
        self.reach.resting(now)
    }

    /// Scans that wait for phase one, and questions that are out.
    pub fn waiting(&self) -> (usize, usize) {
        (self.open.len(), self.out.len())
    }

    /// How many nodes' words count for nothing.
    pub fn doubted(&self) -> usize {
        self.trust.doubted()
    }

    /// Whether scans of a table type are asked about first at this moment.
    pub fn pays(&self, table_type: usize) -> bool {
        self.worth.get(&table_type).is_some_and(Worth::pays)
    }
}
