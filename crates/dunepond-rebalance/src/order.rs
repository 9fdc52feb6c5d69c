//! The order: a search for one in which nobody runs out of room, then acts that go together are put into one step.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use dunepond_shard_map::VerifiedMap;
use serde::{Deserialize, Serialize};

use crate::layout::{Applied, Layout, Wave};
use crate::room::{Bytes, Load, Loads, Rooms};
use crate::{Act, Kind, MAX_SEARCH_LAYOUTS, MoveError, Operation, Plan, Short, Step};

/// How much may be under way at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// Acts of one step, at most; of a step that fills, so many holders are filled at once.
    pub at_once: usize,
    /// Share of the segments that one version may change.
    pub most_changed: f64,
}

/// Puts a plan in order against the map in force. `leaves`: a node that is draining or gone. The order is a fixed one
/// for plan, map and pace.
pub fn order(
    plan: &Plan,
    proof: &VerifiedMap,
    pace: Pace,
    leaves: impl Fn(&str) -> bool,
) -> Result<Vec<Step>, MoveError> {
    let mut world = World::new(plan, proof, pace, &leaves)?;
    // Whether it can be done at all, room aside: what is named then is the operation and not the room.
    world.unbounded = true;
    world.solve(0)?;
    world.unbounded = false;
    world.dead.clear();
    let mut steps = Vec::new();
    while !world.is_done() {
        let path = world.solve(steps.len())?;
        let wave = world.wave(&path, steps.len())?;
        steps.push(world.take(wave, steps.len())?);
    }
    Ok(steps)
}

/// Whether `steps` carry out the plan, each within room and pace: what a voter looks at, without a search.
pub fn prove(
    plan: &Plan,
    steps: &[Step],
    proof: &VerifiedMap,
    pace: Pace,
    leaves: impl Fn(&str) -> bool,
) -> Result<(), MoveError> {
    let mut world = World::new(plan, proof, pace, &leaves)?;
    for (step, said) in steps.iter().enumerate() {
        let not = |what: &str| MoveError::NotInOrder { step, what: what.to_string() };
        let wave = &said.wave;
        if wave.acts.is_empty() || wave.acts.len() > pace.at_once.max(1) {
            return Err(not("no acts, or more than may be under way at once"));
        }
        for (operation, act) in &wave.acts {
            if *operation >= plan.operations.len() || world.act(*operation) != Some(act.clone()) {
                return Err(not("an act that is no operation's next"));
            }
            if plan.ordered && !world.is_next(*operation) {
                return Err(not("an act out of the order that the plan asks for"));
            }
            if world.layout.kind(act) != wave.kind {
                return Err(not("acts of several kinds in one step"));
            }
        }
        if world.take(wave.clone(), step)? != *said {
            return Err(not("what undoes it is something else"));
        }
    }
    if !world.is_done() {
        let what = "the plan goes on after the last step".to_string();
        return Err(MoveError::NotInOrder { step: steps.len(), what });
    }
    Ok(())
}

/// The plan as far as it has come in thought.
struct World<'a> {
    plan: &'a Plan,
    proof: &'a VerifiedMap,
    pace: Pace,
    /// Acts of each operation, and how many are done.
    acts: Vec<Vec<Act>>,
    done: Vec<u8>,
    layout: Layout,
    loads: Loads,
    rooms: Rooms<'a>,
    bytes: Bytes,
    segments: usize,
    /// Operations that name an id which others name, too: their order matters.
    shared: Vec<bool>,
    shared_ids: BTreeSet<u64>,
    unbounded: bool,
    dead: HashSet<Vec<u8>>,
    looks: usize,
    furthest: Option<(usize, usize, MoveError)>,
}

/// What has to be put back.
struct Trace {
    applied: Applied,
    operation: usize,
    loads: Vec<(String, Load, Load)>,
    segments: usize,
}

impl<'a> World<'a> {
    fn new(
        plan: &'a Plan,
        proof: &'a VerifiedMap,
        pace: Pace,
        leaves: &impl Fn(&str) -> bool,
    ) -> Result<Self, MoveError> {
        plan.check()?;
        let named: BTreeSet<u64> = plan.operations.iter().flat_map(|o| o.takes().iter().copied()).collect();
        let layout = Layout::of(proof, named.iter().copied());
        let rooms = Rooms::new(plan, proof);
        let bytes = Bytes::new(plan, layout.iter().map(|segment| &**segment));
        let mut loads = Loads::untouched(plan, proof, |id| named.contains(&id));
        layout.iter().for_each(|segment| loads.holds(segment, bytes.of(segment.keys)));
        let mut acts = Vec::new();
        for (operation, what) in plan.operations.iter().enumerate() {
            let gone = |node: &String| {
                if leaves(node) { Err(MoveError::Leaves { operation, node: node.clone() }) } else { Ok(()) }
            };
            acts.push(match what.clone() {
                Operation::Split { segment, at, into } => vec![Act::Split { segment, at, into }],
                Operation::Merge { segments, into } => vec![Act::Merge { segments, into }],
                Operation::Own { segment, to } => {
                    gone(&to)?;
                    vec![Act::Own { segment, to }]
                }
                Operation::Move { segment, from, to } => {
                    gone(&to)?;
                    let partner = rooms.partner(&to).cloned();
                    let partner = partner.ok_or(MoveError::NoPartner { operation, node: to.clone() })?;
                    vec![Act::Fill { segment, to: to.clone(), partner }, Act::Switch { segment, from, to }]
                }
            });
        }
        let mut count: HashMap<u64, usize> = HashMap::new();
        plan.operations.iter().flat_map(|o| o.takes()).for_each(|id| *count.entry(*id).or_default() += 1);
        let shared = plan.operations.iter().map(|o| o.takes().iter().any(|id| count[id] > 1)).collect();
        let shared_ids = count.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect();
        let (done, segments, looks) = (vec![0; acts.len()], proof.len(), 0);
        let (dead, unbounded, furthest) = (HashSet::new(), false, None);
        Ok(Self {
            plan,
            proof,
            pace,
            acts,
            done,
            layout,
            loads,
            rooms,
            bytes,
            segments,
            shared,
            shared_ids,
            unbounded,
            dead,
            looks,
            furthest,
        })
    }

    fn is_done(&self) -> bool {
        self.done.iter().zip(&self.acts).all(|(done, acts)| usize::from(*done) == acts.len())
    }

    fn act(&self, operation: usize) -> Option<Act> {
        self.acts[operation].get(usize::from(self.done[operation])).cloned()
    }

    /// The first operation that is not done.
    fn is_next(&self, operation: usize) -> bool {
        (0..operation).all(|before| self.act(before).is_none())
    }

    /// Operations that have an act left, as far as the plan's order lets them begin.
    fn left(&self) -> Vec<usize> {
        let left = (0..self.acts.len()).filter(|operation| self.act(*operation).is_some());
        left.take(if self.plan.ordered { 1 } else { usize::MAX }).collect()
    }

    /// What each node holds otherwise after the act: before and after, of the segments that it takes and puts.
    fn differing(&self, applied: &Applied) -> Vec<(String, Load, Load)> {
        let mut there: Vec<(String, Load, Load)> = Vec::new();
        let mut count = |segment: &dunepond_shard_map::Segment, after: bool| {
            let bytes = self.bytes.of(segment.keys);
            for holder in &segment.replicas {
                let at = there.iter().position(|(node, ..)| *node == holder.node).unwrap_or_else(|| {
                    there.push((holder.node.clone(), Load::default(), Load::default()));
                    there.len() - 1
                });
                let load = if after { &mut there[at].2 } else { &mut there[at].1 };
                load.bytes = load.bytes.saturating_add(bytes);
                load.segments += 1;
            }
        };
        applied.gone().iter().for_each(|segment| count(segment, false));
        applied.put().iter().filter_map(|id| self.layout.get(*id)).for_each(|segment| count(segment, true));
        there
    }

    /// Does the next act of an operation, or says why not. `beside`: what acts of the same step brought before; it has to
    /// fit beside them, as nothing is freed before the step is over.
    fn apply(&mut self, operation: usize, step: usize, beside: &Loads) -> Result<(Trace, Loads), MoveError> {
        let act = self.act(operation).expect("only what is left is tried");
        let one = Wave { kind: Kind::Quiet, acts: vec![(operation, act.clone())] };
        let (changed, of) = one.changed(self.segments);
        let most = self.pace.most_changed;
        if changed as f64 > most * of as f64 {
            return Err(MoveError::TooMany { step, operation, changed, of, most });
        }
        let (proof, layout) = (self.proof, &mut self.layout);
        // An id of the map in force that was touched and is gone may not come again but by undoing.
        let applied = layout.apply(operation, &act, |id| proof.contains_segment(id))?;
        let loads = self.differing(&applied);
        let mut adds = Loads::default();
        for (node, before, after) in &loads {
            let bytes = after.bytes.saturating_sub(before.bytes);
            let segments = after.segments.saturating_sub(before.segments);
            if bytes > 0 || segments > 0 {
                adds.add(node, Load { bytes, segments });
            }
        }
        if !self.unbounded {
            let all = beside.clone().and(&adds);
            if let Some(short) = self.loads.short(&all, &self.rooms) {
                self.layout.revert(applied);
                let short = Box::new(Short { frees: self.frees(&short), ..short });
                return Err(MoveError::OutOfRoom { step, operation, short });
            }
        }
        let (ends, begins) = act.turnover();
        let segments = self.segments;
        self.segments = segments + begins - ends;
        self.done[operation] += 1;
        Ok((Trace { applied, operation, loads, segments }, adds))
    }

    /// Counts an act's loads once it is certain.
    fn count(&mut self, trace: &Trace) {
        for (node, before, after) in &trace.loads {
            self.loads.replace(node, *before, *after);
        }
    }

    fn revert(&mut self, trace: Trace, counted: bool) {
        if counted {
            for (node, before, after) in &trace.loads {
                self.loads.replace(node, *after, *before);
            }
        }
        self.layout.revert(trace.applied);
        self.segments = trace.segments;
        self.done[trace.operation] -= 1;
    }

    /// Operations that are left and would take something away from whoever is short.
    fn frees(&self, short: &Short) -> Vec<usize> {
        let left = (0..self.acts.len()).filter(|operation| self.act(*operation).is_some());
        let away = |operation: &usize| match &self.plan.operations[*operation] {
            Operation::Move { from, to, .. } => {
                let at = |node: &String| self.rooms.of(node).any(|whose| whose == short.whose);
                at(from) && !at(to)
            }
            Operation::Merge { segments, .. } if short.unit == "segments" => {
                let layout = segments.iter().filter_map(|id| self.layout.get(*id));
                layout.flat_map(|s| &s.replicas).any(|h| self.rooms.of(&h.node).any(|w| w == short.whose))
            }
            _ => false,
        };
        left.filter(away).collect()
    }

    /// What tells two ways to the same place apart: how far each operation is, and how contested segments are held.
    fn key(&self) -> Vec<u8> {
        let mut key = self.done.clone();
        for segment in self.shared_ids.iter().filter_map(|id| self.layout.get(*id)) {
            key.extend_from_slice(&segment.id.to_be_bytes());
            key.extend_from_slice(segment.owner.as_bytes());
            for holder in &segment.replicas {
                key.push(0);
                key.extend_from_slice(holder.node.as_bytes());
            }
        }
        key
    }

    /// Acts in an order that carries out all that is left; or where the way that went furthest broke. Steps are counted
    /// as if each act was one.
    fn solve(&mut self, step: usize) -> Result<Rc<[usize]>, MoveError> {
        (self.looks, self.furthest) = (0, None);
        let mut path = Vec::new();
        if self.search(step, &mut path) {
            return Ok(path.into());
        }
        let looks = self.looks;
        Err(match self.furthest.take() {
            Some((_, _, MoveError::OutOfRoom { step, operation, short })) if looks > MAX_SEARCH_LAYOUTS => {
                MoveError::TooHard { looks, step, operation, short }
            }
            Some((_, _, why)) => why,
            None => MoveError::NotInOrder { step, what: "nothing is left to do".to_string() },
        })
    }

    fn search(&mut self, step: usize, path: &mut Vec<usize>) -> bool {
        if self.is_done() {
            return true;
        }
        self.looks += 1;
        let key = self.key();
        if self.looks > MAX_SEARCH_LAYOUTS || self.dead.contains(&key) {
            return false;
        }
        let mut left = self.left();
        // What only frees first: a filled holder takes over; fills last.
        left.sort_by_key(|operation| match self.act(*operation) {
            Some(Act::Switch { .. }) => 0,
            Some(Act::Fill { .. }) => 2,
            _ => 1,
        });
        for operation in left {
            match self.apply(operation, step, &Loads::default()) {
                Ok((trace, adds)) => {
                    self.count(&trace);
                    path.push(operation);
                    if self.search(step + 1, path) {
                        self.revert(trace, true);
                        return true;
                    }
                    // It takes nobody's room and nobody else names its segments: without it no other way opens.
                    let switch = self.acts[operation].len() == 2 && self.done[operation] == 2;
                    let safe = switch || (!self.shared[operation] && self.takes_no_room(&adds));
                    self.revert(trace, true);
                    path.pop();
                    if safe {
                        break;
                    }
                }
                Err(why) => self.broke(why),
            }
        }
        if self.looks <= MAX_SEARCH_LAYOUTS {
            self.dead.insert(key);
        }
        false
    }

    /// Nobody that gets more has a bound.
    fn takes_no_room(&self, adds: &Loads) -> bool {
        self.unbounded || adds.is_unbounded(&self.rooms)
    }

    /// Remembers what stood in the way furthest on: room before anything else, and of that the least short.
    fn broke(&mut self, why: MoveError) {
        let depth = self.done.iter().map(|done| usize::from(*done)).sum();
        let rank = match &why {
            MoveError::OutOfRoom { .. } => 1,
            // It waits for something else, mostly.
            _ => 0,
        };
        let better = match &self.furthest {
            None => true,
            Some((was, before, MoveError::OutOfRoom { short, .. })) if (*was, *before) == (depth, rank) => {
                matches!(&why, MoveError::OutOfRoom { short: now, .. } if now.by() < short.by())
            }
            Some((was, before, _)) => (depth, rank) > (*was, *before),
        };
        if better {
            self.furthest = Some((depth, rank, why));
        }
    }

    /// The first act of the path, and what else can go with it: of its kind, within room and pace, with a way on.
    fn wave(&mut self, path: &[usize], step: usize) -> Result<Wave, MoveError> {
        let first = path[0];
        let kind = self.layout.kind(&self.act(first).expect("on the path"));
        let mut chosen = vec![first];
        if !self.plan.ordered {
            let (mut traces, mut beside) = (Vec::new(), Loads::default());
            let (mut ends, mut begins) = (0, 0);
            let before = self.segments;
            let candidates: Vec<usize> =
                [first].into_iter().chain(self.left().into_iter().filter(|o| *o != first)).collect();
            let mut taken: BTreeSet<u64> = BTreeSet::new();
            chosen.clear();
            for operation in candidates {
                let Some(act) = self.act(operation) else { continue };
                let (more_ends, more_begins) = act.turnover();
                let changed = (ends + more_ends).max(begins + more_begins);
                let of = before.max(before + begins + more_begins - ends - more_ends);
                let fits = chosen.len() < self.pace.at_once.max(1)
                    && changed as f64 <= self.pace.most_changed * of as f64
                    && self.layout.kind(&act) == kind
                    // Each segment is touched once in a step, what comes in it not at all.
                    && act.takes().iter().all(|id| !taken.contains(id));
                if !fits && operation != first {
                    continue;
                }
                let Ok((trace, adds)) = self.apply(operation, step, &beside) else { continue };
                taken.extend(act.takes());
                taken.extend(trace.applied.put());
                (ends, begins) = (ends + more_ends, begins + more_begins);
                beside = beside.and(&adds);
                chosen.push(operation);
                traces.push(trace);
            }
            traces.iter().for_each(|trace| self.count(trace));
            let mut path = Vec::new();
            self.looks = 0;
            let goes_on = self.search(step + 1, &mut path);
            while let Some(trace) = traces.pop() {
                self.revert(trace, true);
            }
            if !goes_on {
                chosen = vec![first];
            }
        }
        let acts = chosen.into_iter().map(|o| (o, self.act(o).expect("chosen of what is left"))).collect();
        Ok(Wave { kind, acts })
    }

    /// Carries out a wave for good, and says what undoes it.
    fn take(&mut self, wave: Wave, step: usize) -> Result<Step, MoveError> {
        let (changed, of) = wave.changed(self.segments);
        let (most, operation) = (self.pace.most_changed, wave.acts[0].0);
        if changed as f64 > most * of as f64 {
            return Err(MoveError::TooMany { step, operation, changed, of, most });
        }
        let (mut fills, mut rest) = (Vec::new(), Vec::new());
        let mut taken: BTreeSet<u64> = BTreeSet::new();
        for (operation, act) in &wave.acts {
            if !act.takes().iter().all(|id| !taken.contains(id)) {
                let what = "a segment is touched twice".to_string();
                return Err(MoveError::NotInOrder { step, what });
            }
            taken.extend(act.takes());
            if let Act::Switch { segment, from, .. } = act {
                let partner = self.layout.partner(*segment, from).unwrap_or_default();
                fills.push((*operation, Act::Fill { segment: *segment, to: from.clone(), partner }));
            }
            rest.extend(self.layout.back(act).map(|back| (*operation, back)));
        }
        let (mut traces, mut beside) = (Vec::new(), Loads::default());
        for (operation, _) in &wave.acts {
            let (trace, adds) = self.apply(*operation, step, &beside)?;
            beside = beside.and(&adds);
            traces.push(trace);
        }
        traces.iter().for_each(|trace| self.count(trace));
        rest.reverse();
        let kind = if wave.kind == Kind::Fill { Kind::Quiet } else { wave.kind };
        let back = [Wave { kind: Kind::Fill, acts: fills }, Wave { kind, acts: rest }];
        Ok(Step { wave, back: back.into_iter().filter(|wave| !wave.acts.is_empty()).collect() })
    }
}
