//! A fleet of real brokers, each with its own file, folder and record, that reach each other over relays only; before them
//! common nodes, a list and a filler, and clients that tell what became of each scan.

mod clients;
mod filler;
mod start;

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

use crate::auditor::{AuditEvent, AuditPhase, AuditRecord, Records};
use crate::links::Links;
use crate::lives::unix_ms;
use crate::processes::{Process, wait};
use crate::stand_ins::{DiscoveryServer, Node};
pub use clients::{Clients, Went, quantile, served, share};
pub use filler::Filler;

/// Table types of the fleet's settings: replayable ones of part of the shards and of all, and non-replayable.
pub const TYPES: [&str; 3] = ["quick-find", "full-search", "fix-request"];
pub const FIX: &str = TYPES[2];
/// Of one fill, in the files of these fleets, bytes.
pub const SEGMENT: u64 = 1 << 20;
/// The secret of every fleet here.
pub const KEY: &str = "a key of these fleets";
/// Nodes are of one and the other in turn.
const ZONES: [&str; 2] = ["a", "b"];
/// Customers' scans are all of the first, so that it comes to owe the second.
pub const PARTNERS: [&str; 2] = ["north", "south"];
const CUSTOMERS: [&str; 2] = ["mill", "harbour"];

/// How large, and at which pace. Times in seconds.
#[derive(Clone)]
pub struct Plan {
    /// Hosts brokers: the lab's own program.
    pub program: PathBuf,
    pub voters: usize,
    pub brokers: usize,
    pub nodes: usize,
    pub segs: usize,
    pub lease: f64,
    pub bound: f64,
    /// A scan's longest time.
    pub timeout: f64,
    /// A change whose fills have not come by then is withdrawn.
    pub deadline: f64,
    pub seed: u64,
    /// Brokers of each partner; the rest belong to none.
    pub sides: [Vec<usize>; 2],
    /// Cold holders are filled by each broker, and debts split in advance; a node is cold for so many seconds.
    pub warm: Option<f64>,
    /// Both partners count what their own nodes carry.
    pub metered: bool,
    /// Whether the operator's files name a fleet at all.
    pub on: bool,
    /// Whether brokers write down what they do.
    pub record: bool,
    /// More nodes for `fleet` in the operator's files, a line each; `OWN` stands for a path of each broker's own.
    pub more: Vec<String>,
    /// How many brokers the settings speak of, and the customers' quotas, scans a second.
    pub balancers: usize,
    pub quota: f64,
    /// Further dispatches that versions allow: as a share of what is taken, and free.
    pub budget: (f64, f64),
    /// Whether folders fail as [`Fleet::disk`] tells them. Copies of such a folder are not told from it.
    pub disks: bool,
}

impl Plan {
    pub fn new(program: &Path, voters: usize, brokers: usize) -> Self {
        let program = program.to_path_buf();
        let (nodes, segs, lease, bound, timeout, deadline) = (6, 6, 1.2, 3.0, 0.6, 20.0);
        Self {
            program,
            voters,
            brokers,
            nodes,
            segs,
            lease,
            bound,
            timeout,
            deadline,
            seed: 1,
            sides: Default::default(),
            warm: None,
            metered: false,
            on: true,
            record: true,
            more: Vec::new(),
            balancers: 1,
            quota: 1e6,
            budget: (0.1, 20.0),
            disks: false,
        }
    }
}

pub struct Fleet {
    pub plan: Plan,
    pub links: Links,
    pub brokers: Vec<Process>,
    pub nodes: Vec<Node>,
    pub list: DiscoveryServer,
    pub filler: Filler,
    /// What the second partner is owed by the first at most, where a test knows.
    pub owed: Option<u64>,
    /// Where each talks with the others.
    pub listens: Vec<SocketAddr>,
    folder: PathBuf,
    seen: Mutex<(Vec<u64>, Records)>,
    /// Of each version that was ever proposed: epoch and owners.
    maps: BTreeMap<u64, (u64, BTreeMap<u64, String>)>,
    asked: Arc<Mutex<BTreeMap<String, BTreeSet<u64>>>>,
}

pub fn name(broker: usize) -> String {
    format!("n{}", broker + 1)
}

impl Fleet {
    /// Version 1 in force at all of them.
    pub fn agreed(plan: Plan) -> Self {
        let all = 0..plan.brokers;
        let mut fleet = Self::ready(plan);
        let first = fleet.version(1, &[], &[]);
        fleet.propose(0, &first);
        fleet.wait_alone(all, 1);
        fleet
    }

    /// All of them started, none asked whether it is there.
    pub fn start(plan: Plan) -> Self {
        let mut fleet = Self::prepared(plan);
        fleet.brokers.iter_mut().for_each(Process::start);
        fleet
    }

    /// Started, and all of them serving.
    pub fn ready(plan: Plan) -> Self {
        let fleet = Self::start(plan);
        assert!(wait(|| fleet.brokers.iter().all(Process::ready)), "not all brokers serve");
        fleet
    }

    /// Segments held by two nodes each, the first of them the owner; of those in `moved` the second is. Those in `filled`
    /// get a third holder that has to be filled first.
    pub fn version(&self, number: u64, moved: &[u64], filled: &[u64]) -> Value {
        let node = |i: u64| self.nodes[i as usize % self.nodes.len()].name.clone();
        let partner = |i: u64| PARTNERS[i as usize % self.nodes.len() % 2];
        let count = self.plan.segs as u64;
        let segments: Vec<_> = (0..count)
            .map(|id| {
                let width = u64::MAX / count;
                let to = if id + 1 == count { Value::Null } else { json!((id + 1) * width) };
                let new = filled.contains(&id);
                let share = if new { 0.25 } else { 0.5 };
                let holder = |i: u64, filled: bool, share: f64| {
                    json!({"node": node(i), "partner": partner(i), "filled": filled, "share": share})
                };
                let mut holders = vec![holder(id, true, 0.5), holder(id + 1, true, share)];
                if new {
                    holders.push(holder(id + 2, false, 0.25));
                }
                let owner = node(id + u64::from(moved.contains(&id)));
                json!({"id": id, "keys": {"from": id * width, "to": to}, "owner": owner, "holders": holders})
            })
            .collect();
        json!({
            "number": number,
            "rules": {"least": [0.5, 1.0, 1.0], "whole_at": [1.0, 1.0, 1.0],
                "budget_share": self.plan.budget.0, "budget_free": self.plan.budget.1,
                "drain_grace": 1.0, "cold_multiple": 2.0, "dispatch_cap": 4,
                "second_copies": true, "repeats": true, "longest_wait": 2.0},
            "standings": {"draining": [], "gone": []},
            "map": {"epoch": number, "hash": "xxh3-64", "segments": segments, "digest": ""},
            "who": "lab", "why": "a test", "at": 0.0
        })
    }

    /// Puts this version's file before a broker without telling it.
    pub fn put(&mut self, by: usize, version: &Value) {
        let owners = version["map"]["segments"].as_array().into_iter().flatten();
        let owners = owners.map(|s| (s["id"].as_u64().unwrap(), s["owner"].as_str().unwrap().to_string()));
        let epoch = version["map"]["epoch"].as_u64().unwrap_or(0);
        self.maps.insert(version["number"].as_u64().unwrap(), (epoch, owners.collect()));
        self.write(by, "version", version);
    }

    /// Has a broker propose it.
    pub fn propose(&mut self, by: usize, version: &Value) {
        self.put(by, version);
        self.brokers[by].reread();
    }

    /// Puts a plan of moves before a broker, where the plan of the fleet has `moves "OWN.plan"`, and tells it.
    pub fn plan_moves(&self, by: usize, plan: &Value) {
        self.write(by, "plan", plan);
        self.brokers[by].reread();
    }

    /// Puts an operator's word that is no version where versions are read, and tells the broker.
    pub fn word(&self, by: usize, word: &Value) {
        self.write(by, "version", word);
        self.brokers[by].reread();
    }

    /// Writes into the file of a broker, which is to be started anew, who votes.
    pub fn names_voters(&self, broker: usize, voters: &[&str]) {
        let path = self.folder.join(format!("{}.kdl", name(broker)));
        let line = |line: &str| {
            let words: Vec<_> = line.split('"').collect();
            match words[..] {
                [kind, peer, rest, ..] if ["voter", "peer"].contains(&kind.trim()) => {
                    let kind = if voters.contains(&peer) { "voter" } else { "peer" };
                    format!("  {kind} \"{peer}\"{rest}\"{}\"\n", words[3])
                }
                _ => format!("{line}\n"),
            }
        };
        let text: String = fs::read_to_string(&path).unwrap().lines().map(line).collect();
        fs::write(path, text).unwrap();
    }

    /// A file of a broker's own, whole at once.
    fn write(&self, of: usize, ending: &str, value: &Value) {
        let path = self.folder.join(format!("{}.{ending}", name(of)));
        let aside = path.with_extension("aside");
        fs::write(&aside, value.to_string()).unwrap();
        fs::rename(aside, path).unwrap();
    }

    /// What the lab knows of a version that a plan's step makes: like the one before it, but for these owners.
    pub fn step(&mut self, number: u64, owners: &[(u64, &str)]) {
        let (epoch, mut all) = self.maps[&(number - 1)].clone();
        owners.iter().for_each(|(segment, owner)| drop(all.insert(*segment, owner.to_string())));
        self.maps.insert(number, (epoch + 1, all));
    }

    /// The node to which the last fix of a segment came.
    pub fn last_at(&self, segment: u64) -> Option<String> {
        let mut ran = self.ran();
        ran.retain(|one| one.seg == segment);
        ran.into_iter().max_by(|a, b| a.at.total_cmp(&b.at)).map(|one| one.node)
    }

    /// The list says that these nodes have just started.
    pub fn restarted(&self, nodes: &[usize]) {
        let line = |(i, node): (usize, &Node)| {
            let mut line = node.endpoint("ready");
            line["site"] = json!(ZONES[i % 2]);
            if nodes.contains(&i) {
                line["born_ms"] = json!(unix_ms());
            }
            line
        };
        self.list.publish(self.nodes.iter().enumerate().map(line).collect());
    }

    /// All that is in the records so far.
    pub fn records(&self) -> Records {
        self.seen(Records::clone)
    }

    fn seen<T>(&self, look: impl FnOnce(&Records) -> T) -> T {
        let mut seen = self.seen.lock().unwrap();
        let (read, records) = &mut *seen;
        let mut came = false;
        for (i, read) in read.iter_mut().enumerate() {
            let path = self.folder.join(format!("{}.acts", name(i)));
            let Ok(mut file) = File::open(&path) else { continue };
            let mut more = Vec::new();
            file.seek(SeekFrom::Start(*read)).and_then(|_| file.read_to_end(&mut more)).unwrap();
            // What stands behind the last line's end is not all there yet.
            more.truncate(more.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1));
            if more.is_empty() {
                continue;
            }
            (*read, came) = (*read + more.len() as u64, true);
            records.take(&path.display().to_string(), &String::from_utf8_lossy(&more));
        }
        if came {
            records.sort();
        }
        look(records)
    }

    /// The phase that a broker last wrote down, from which version to which.
    pub fn phase(&self, broker: usize) -> Option<(AuditPhase, u64, u64)> {
        let name = name(broker);
        self.seen(|records| {
            records.lines.iter().rev().filter(|line| line.broker == name).find_map(|line| match line.event {
                AuditEvent::Phase { phase, first_version, last_version, .. } => {
                    Some((phase, first_version, last_version))
                }
                _ => None,
            })
        })
    }

    /// Waits until these brokers all act on this version alone.
    pub fn wait_alone(&self, brokers: impl IntoIterator<Item = usize> + Clone, number: u64) {
        let alone = |i| matches!(self.phase(i), Some((AuditPhase::Active, _, to)) if to == number);
        let there = wait(|| brokers.clone().into_iter().all(alone));
        let phases: Vec<_> = brokers.into_iter().map(|i| (name(i), self.phase(i))).collect();
        assert!(there, "version {number} is not in force at all of {phases:?}");
    }

    /// Waits until this broker is in this phase, whichever version.
    pub fn wait_phase(&self, broker: usize, word: AuditPhase) {
        let there = wait(|| matches!(self.phase(broker), Some((phase, ..)) if phase == word));
        assert!(there, "{} is in {:?}", name(broker), self.phase(broker));
    }

    /// What this broker's folder does from now on: `full`, `brim`, `stall 2` or nothing special (where the plan has disks).
    pub fn disk(&self, broker: usize, word: &str) {
        fs::write(self.folder.join(format!("{}.disk", name(broker))), word).unwrap();
    }

    /// Discovery says from now on that these nodes are to be left.
    pub fn drain(&self, nodes: &[&str]) {
        self.list.publish(start::lines(&self.nodes, nodes));
    }

    /// Discovery says from now on that this node has just started.
    pub fn starts_cold(&self, node: &str) {
        let mut lines = start::lines(&self.nodes, &[]);
        let line = lines.iter_mut().find(|line| line["host"] == node).expect("a node of the fleet");
        line["born_ms"] = json!(crate::lives::unix_ms());
        self.list.publish(lines);
    }

    /// Cut apart into groups; who is in none is alone.
    pub fn part(&self, groups: &[&[usize]]) {
        let names: Vec<Vec<_>> =
            groups.iter().map(|group| group.iter().map(|i| name(*i)).collect()).collect();
        let names: Vec<Vec<&str>> =
            names.iter().map(|group| group.iter().map(String::as_str).collect()).collect();
        self.links.part(&names.iter().map(Vec::as_slice).collect::<Vec<_>>());
    }

    /// Who leads, once all brokers' logs name the same.
    pub fn leader(&self) -> usize {
        self.leader_of(&(0..self.plan.brokers).collect::<Vec<_>>())
    }

    pub fn leader_of(&self, brokers: &[usize]) -> usize {
        let told = |broker: &Process| {
            let said = broker.said();
            let line = said.lines().rev().find_map(|line| line.split_once("fleet: led by "))?;
            self.links.names().iter().position(|name| name == line.1.trim())
        };
        let mut leader = None;
        let one = wait(|| {
            leader = told(&self.brokers[brokers[0]]);
            leader.is_some() && brokers.iter().all(|i| told(&self.brokers[*i]) == leader)
        });
        assert!(one, "no leader that all name");
        leader.unwrap()
    }

    /// Whether any broker wrote down such an act.
    pub fn did(&self, is: impl Fn(&AuditEvent) -> bool) -> bool {
        self.seen(|records| records.lines.iter().any(|line| is(&line.event)))
    }

    /// Whether this broker's log has these words.
    pub fn said(&self, broker: usize, words: &str) -> bool {
        self.brokers[broker].said().contains(words)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.brokers.clear();
        if thread::panicking() {
            self.seen(|records| {
                let mut last = BTreeMap::new();
                for AuditRecord { at, broker: brk, incarnation: run, event: act } in &records.lines {
                    let again = match act {
                        AuditEvent::AttemptSent { .. }
                        | AuditEvent::Answer { .. }
                        | AuditEvent::Rejected { .. } => true,
                        // Once more with each lease.
                        AuditEvent::Phase { phase, first_version: from, last_version: to, .. } => {
                            let told = Some((run, *phase, *from, *to));
                            std::mem::replace(last.entry(brk).or_default(), told) == told
                        }
                        _ => false,
                    };
                    if !again {
                        println!("{at:.3} {brk} {act:?}");
                    }
                }
            });
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
