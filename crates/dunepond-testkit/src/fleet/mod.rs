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
use crate::processes::{BrokerProcess, wait_until};
use crate::restart_cluster::unix_ms;
use crate::stand_ins::{DiscoveryServer, Node};
pub use clients::{Clients, QueryOutcome, latency_quantile, outcome_ratio, served_ratio};
pub use filler::FillService;

/// Table types of the fleet's settings: replayable ones of part of the shards and of all, and non-replayable.
pub const QUERY_CLASSES: [&str; 3] = ["quick-find", "full-search", "fix-request"];
pub const NON_IDEMPOTENT_CLASS: &str = QUERY_CLASSES[2];
/// Of one fill, in the files of these fleets, bytes.
pub const SEGMENT_BYTES: u64 = 1 << 20;
/// The secret of every fleet here.
pub const SHARED_KEY: &str = "a key of these fleets";
/// Nodes are of one and the other in turn.
const ZONES: [&str; 2] = ["a", "b"];
/// Customers' scans are all of the first, so that it comes to owe the second.
pub const PARTNERS: [&str; 2] = ["north", "south"];
const TENANTS: [&str; 2] = ["mill", "harbour"];

/// How large, and at which pace. Times in seconds.
#[derive(Clone)]
pub struct FleetOptions {
    /// Hosts brokers: the lab's own program.
    pub program: PathBuf,
    pub voters: usize,
    pub brokers: usize,
    pub nodes: usize,
    pub segment_count: usize,
    pub lease_seconds: f64,
    pub lease_bound_seconds: f64,
    /// A scan's longest time.
    pub query_timeout_seconds: f64,
    /// A change whose fills have not come by then is withdrawn.
    pub fill_deadline_seconds: f64,
    pub seed: u64,
    /// Brokers of each partner; the rest belong to none.
    pub partner_brokers: [Vec<usize>; 2],
    /// Cold holders are filled by each broker, and debts split in advance; a node is cold for so many seconds.
    pub slow_start_seconds: Option<f64>,
    /// Both partners count what their own nodes carry.
    pub metered: bool,
    /// Whether the operator's files name a fleet at all.
    pub control_plane_enabled: bool,
    /// Whether brokers write down what they do.
    pub audit_enabled: bool,
    /// More nodes for `fleet` in the operator's files, a line each; `OWN` stands for a path of each broker's own.
    pub extra_lines: Vec<String>,
    /// How many brokers the settings speak of, and the customers' quotas, scans a second.
    pub balancers: usize,
    pub tenant_quota: f64,
    /// Further dispatches that versions allow: as a share of what is taken, and free.
    pub retry_budget: (f64, f64),
    /// Whether folders fail as [`Fleet::set_disk_fault`] tells them. Copies of such a folder are not told from it.
    pub faulty_disks: bool,
}

impl FleetOptions {
    pub fn new(program: &Path, voters: usize, brokers: usize) -> Self {
        let program = program.to_path_buf();
        let (
            nodes,
            segment_count,
            lease_seconds,
            lease_bound_seconds,
            query_timeout_seconds,
            fill_deadline_seconds,
        ) = (6, 6, 1.2, 3.0, 0.6, 20.0);
        Self {
            program,
            voters,
            brokers,
            nodes,
            segment_count,
            lease_seconds,
            lease_bound_seconds,
            query_timeout_seconds,
            fill_deadline_seconds,
            seed: 1,
            partner_brokers: Default::default(),
            slow_start_seconds: None,
            metered: false,
            control_plane_enabled: true,
            audit_enabled: true,
            extra_lines: Vec::new(),
            balancers: 1,
            tenant_quota: 1e6,
            retry_budget: (0.1, 20.0),
            faulty_disks: false,
        }
    }
}

pub struct Fleet {
    pub options: FleetOptions,
    pub links: Links,
    pub brokers: Vec<BrokerProcess>,
    pub nodes: Vec<Node>,
    pub discovery: DiscoveryServer,
    pub filler: FillService,
    /// What the second partner is owed by the first at most, where a test knows.
    pub known_debt_bytes: Option<u64>,
    /// Where each talks with the others.
    pub peer_addresses: Vec<SocketAddr>,
    folder: PathBuf,
    seen: Mutex<(Vec<u64>, Records)>,
    /// Of each version that was ever proposed: epoch and owners.
    maps: BTreeMap<u64, (u64, BTreeMap<u64, String>)>,
    asked: Arc<Mutex<BTreeMap<String, BTreeSet<u64>>>>,
}

pub fn broker_name(broker: usize) -> String {
    format!("n{}", broker + 1)
}

impl Fleet {
    /// Version 1 in force at all of them.
    pub fn start_with_version(plan: FleetOptions) -> Self {
        let all = 0..plan.brokers;
        let mut fleet = Self::start_ready(plan);
        let first = fleet.config_version(1, &[], &[]);
        fleet.propose(0, &first);
        fleet.wait_active(all, 1);
        fleet
    }

    /// All of them started, none asked whether it is there.
    pub fn start(plan: FleetOptions) -> Self {
        let mut fleet = Self::prepare(plan);
        fleet.brokers.iter_mut().for_each(BrokerProcess::start);
        fleet
    }

    /// Started, and all of them serving.
    pub fn start_ready(plan: FleetOptions) -> Self {
        let fleet = Self::start(plan);
        assert!(wait_until(|| fleet.brokers.iter().all(BrokerProcess::ready)), "not all brokers serve");
        fleet
    }

    /// Segments held by two nodes each, the first of them the owner; of those in `moved` the second is. Those in `filled`
    /// get a third holder that has to be filled first.
    pub fn config_version(&self, number: u64, moved: &[u64], filled: &[u64]) -> Value {
        let node = |i: u64| self.nodes[i as usize % self.nodes.len()].name.clone();
        let partner = |i: u64| PARTNERS[i as usize % self.nodes.len() % 2];
        let count = self.options.segment_count as u64;
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
                "budget_share": self.options.retry_budget.0, "budget_free": self.options.retry_budget.1,
                "drain_grace": 1.0, "cold_multiple": 2.0, "dispatch_cap": 4,
                "second_copies": true, "repeats": true, "longest_wait": 2.0},
            "standings": {"draining": [], "gone": []},
            "map": {"epoch": number, "hash": "xxh3-64", "segments": segments, "digest": ""},
            "who": "lab", "why": "a test", "at": 0.0
        })
    }

    /// Puts this version's file before a broker without telling it.
    pub fn place_version(&mut self, by: usize, version: &Value) {
        let owners = version["map"]["segments"].as_array().into_iter().flatten();
        let owners = owners.map(|s| (s["id"].as_u64().unwrap(), s["owner"].as_str().unwrap().to_string()));
        let epoch = version["map"]["epoch"].as_u64().unwrap_or(0);
        self.maps.insert(version["number"].as_u64().unwrap(), (epoch, owners.collect()));
        self.write(by, "version", version);
    }

    /// Has a broker propose it.
    pub fn propose(&mut self, by: usize, version: &Value) {
        self.place_version(by, version);
        self.brokers[by].reload_config();
    }

    /// Puts a plan of moves before a broker, where the plan of the fleet has `moves "OWN.plan"`, and tells it.
    pub fn propose_plan(&self, by: usize, plan: &Value) {
        self.write(by, "plan", plan);
        self.brokers[by].reload_config();
    }

    /// Puts an operator's word that is no version where versions are read, and tells the broker.
    pub fn send_operator_request(&self, by: usize, word: &Value) {
        self.write(by, "version", word);
        self.brokers[by].reload_config();
    }

    /// Writes into the file of a broker, which is to be started anew, who votes.
    pub fn set_voters(&self, broker: usize, voters: &[&str]) {
        let path = self.folder.join(format!("{}.kdl", broker_name(broker)));
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
        let path = self.folder.join(format!("{}.{ending}", broker_name(of)));
        let aside = path.with_extension("aside");
        fs::write(&aside, value.to_string()).unwrap();
        fs::rename(aside, path).unwrap();
    }

    /// What the lab knows of a version that a plan's step makes: like the one before it, but for these owners.
    pub fn expect_plan_step(&mut self, number: u64, owners: &[(u64, &str)]) {
        let (epoch, mut all) = self.maps[&(number - 1)].clone();
        owners.iter().for_each(|(segment, owner)| drop(all.insert(*segment, owner.to_string())));
        self.maps.insert(number, (epoch + 1, all));
    }

    /// The node to which the last fix of a segment came.
    pub fn last_non_idempotent_node(&self, segment: u64) -> Option<String> {
        let mut ran = self.non_idempotent_runs();
        ran.retain(|one| one.segment_id == segment);
        ran.into_iter().max_by(|a, b| a.at.total_cmp(&b.at)).map(|one| one.node)
    }

    /// The list says that these nodes have just started.
    pub fn report_restarted(&self, nodes: &[usize]) {
        let line = |(i, node): (usize, &Node)| {
            let mut line = node.endpoint("ready");
            line["site"] = json!(ZONES[i % 2]);
            if nodes.contains(&i) {
                line["born_ms"] = json!(unix_ms());
            }
            line
        };
        self.discovery.publish(self.nodes.iter().enumerate().map(line).collect());
    }

    /// All that is in the records so far.
    pub fn records(&self) -> Records {
        self.with_records(Records::clone)
    }

    fn with_records<T>(&self, look: impl FnOnce(&Records) -> T) -> T {
        let mut seen = self.seen.lock().unwrap();
        let (read, records) = &mut *seen;
        let mut came = false;
        for (i, read) in read.iter_mut().enumerate() {
            let path = self.folder.join(format!("{}.acts", broker_name(i)));
            let Ok(mut file) = File::open(&path) else { continue };
            let mut more = Vec::new();
            file.seek(SeekFrom::Start(*read)).and_then(|_| file.read_to_end(&mut more)).unwrap();
            // What stands behind the last line's end is not all there yet.
            more.truncate(more.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1));
            if more.is_empty() {
                continue;
            }
            (*read, came) = (*read + more.len() as u64, true);
            records.append_unsorted(&path.display().to_string(), &String::from_utf8_lossy(&more));
        }
        if came {
            records.sort();
        }
        look(records)
    }

    /// The phase that a broker last wrote down, from which version to which.
    pub fn phase(&self, broker: usize) -> Option<(AuditPhase, u64, u64)> {
        let name = broker_name(broker);
        self.with_records(|records| {
            records.lines.iter().rev().filter(|line| line.broker == name).find_map(|line| match line.event {
                AuditEvent::Phase { phase, first_version, last_version, .. } => {
                    Some((phase, first_version, last_version))
                }
                _ => None,
            })
        })
    }

    /// Waits until these brokers all act on this version alone.
    pub fn wait_active(&self, brokers: impl IntoIterator<Item = usize> + Clone, number: u64) {
        let alone = |i| matches!(self.phase(i), Some((AuditPhase::Active, _, to)) if to == number);
        let there = wait_until(|| brokers.clone().into_iter().all(alone));
        let phases: Vec<_> = brokers.into_iter().map(|i| (broker_name(i), self.phase(i))).collect();
        assert!(there, "version {number} is not in force at all of {phases:?}");
    }

    /// Waits until this broker is in this phase, whichever version.
    pub fn wait_for_phase(&self, broker: usize, word: AuditPhase) {
        let there = wait_until(|| matches!(self.phase(broker), Some((phase, ..)) if phase == word));
        assert!(there, "{} is in {:?}", broker_name(broker), self.phase(broker));
    }

    /// What this broker's folder does from now on: `full`, `brim`, `stall 2` or nothing special (where the plan has disks).
    pub fn set_disk_fault(&self, broker: usize, word: &str) {
        fs::write(self.folder.join(format!("{}.disk", broker_name(broker))), word).unwrap();
    }

    /// Discovery says from now on that these nodes are to be left.
    pub fn drain_nodes(&self, nodes: &[&str]) {
        self.discovery.publish(start::endpoints(&self.nodes, nodes));
    }

    /// Discovery says from now on that this node has just started.
    pub fn report_cold(&self, node: &str) {
        let mut lines = start::endpoints(&self.nodes, &[]);
        let line = lines.iter_mut().find(|line| line["host"] == node).expect("a node of the fleet");
        line["born_ms"] = json!(crate::restart_cluster::unix_ms());
        self.discovery.publish(lines);
    }

    /// Cut apart into groups; who is in none is alone.
    pub fn partition(&self, groups: &[&[usize]]) {
        let names: Vec<Vec<_>> =
            groups.iter().map(|group| group.iter().map(|i| broker_name(*i)).collect()).collect();
        let names: Vec<Vec<&str>> =
            names.iter().map(|group| group.iter().map(String::as_str).collect()).collect();
        self.links.partition(&names.iter().map(Vec::as_slice).collect::<Vec<_>>());
    }

    /// Who leads, once all brokers' logs name the same.
    pub fn leader(&self) -> usize {
        self.leader_of(&(0..self.options.brokers).collect::<Vec<_>>())
    }

    pub fn leader_of(&self, brokers: &[usize]) -> usize {
        let told = |broker: &BrokerProcess| {
            let said = broker.log_text();
            let line = said.lines().rev().find_map(|line| line.split_once("fleet: led by "))?;
            self.links.names().iter().position(|name| name == line.1.trim())
        };
        let mut leader = None;
        let one = wait_until(|| {
            leader = told(&self.brokers[brokers[0]]);
            leader.is_some() && brokers.iter().all(|i| told(&self.brokers[*i]) == leader)
        });
        assert!(one, "no leader that all name");
        leader.unwrap()
    }

    /// Whether any broker wrote down such an act.
    pub fn any_event(&self, is: impl Fn(&AuditEvent) -> bool) -> bool {
        self.with_records(|records| records.lines.iter().any(|line| is(&line.event)))
    }

    /// Whether this broker's log has these words.
    pub fn log_contains(&self, broker: usize, words: &str) -> bool {
        self.brokers[broker].log_text().contains(words)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.brokers.clear();
        if thread::panicking() {
            self.with_records(|records| {
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
