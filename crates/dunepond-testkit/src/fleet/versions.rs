//! Versions of the configuration, plans and operator's requests that a test puts before brokers.

use std::fs;

use serde_json::{Value, json};

use super::{Fleet, PARTNERS, broker_name};
use crate::auditor::MapVersion;

impl Fleet {
    /// A version in which each segment is held by two nodes, of which the first owns it; of the segments in `moved` the second.
    /// Those in `filled` get a third replica that has to be filled first.
    pub fn config_version(&self, number: u64, moved: &[u64], filled: &[u64]) -> Value {
        let count = self.options.segment_count as u64;
        let segments: Vec<_> =
            (0..count).map(|id| self.segment(id, moved.contains(&id), filled.contains(&id))).collect();
        let budget = self.options.retry_budget;
        json!({
            "number": number,
            "rules": {"least": [0.5, 1.0, 1.0], "whole_at": [1.0, 1.0, 1.0],
                "budget_share": budget.ratio, "budget_free": budget.min_retries,
                "drain_grace": 1.0, "cold_multiple": 2.0, "dispatch_cap": 4,
                "second_copies": true, "repeats": true, "longest_wait": 2.0},
            "standings": {"draining": [], "gone": []},
            "map": {"epoch": number, "hash": "xxh3-64", "segments": segments, "digest": ""},
            "who": "lab", "why": "a test", "at": 0.0
        })
    }

    fn segment(&self, id: u64, moved: bool, filled: bool) -> Value {
        let count = self.options.segment_count as u64;
        let width = u64::MAX / count;
        let to = if id + 1 == count { Value::Null } else { json!((id + 1) * width) };
        let node = |number: u64| number as usize % self.nodes.len();
        let replica = |number: u64, filled: bool, share: f64| {
            let node = node(number);
            json!({"node": self.nodes[node].name, "partner": PARTNERS[node % 2], "filled": filled, "share": share})
        };
        let second_share = if filled { 0.25 } else { 0.5 };
        let mut replicas = vec![replica(id, true, 0.5), replica(id + 1, true, second_share)];
        if filled {
            replicas.push(replica(id + 2, false, 0.25));
        }
        let owner = &self.nodes[node(id + u64::from(moved))].name;
        json!({"id": id, "keys": {"from": id * width, "to": to}, "owner": owner, "holders": replicas})
    }

    /// Puts this version's file before a broker without telling it.
    pub fn place_version(&mut self, broker: usize, version: &Value) {
        let number = version["number"].as_u64().unwrap();
        let epoch = version["map"]["epoch"].as_u64().unwrap_or(0);
        let segments = version["map"]["segments"].as_array().into_iter().flatten();
        let owners = segments
            .map(|segment| (segment["id"].as_u64().unwrap(), segment["owner"].as_str().unwrap().to_string()));
        self.maps.insert(number, MapVersion { epoch, owners: owners.collect() });
        self.write_file(broker, "version", version);
    }

    /// Has a broker propose a version.
    pub fn propose(&mut self, broker: usize, version: &Value) {
        self.place_version(broker, version);
        self.brokers[broker].reload_config();
    }

    /// Has a broker propose a plan, where the options have the line `moves "OWN.plan"`.
    pub fn propose_plan(&self, broker: usize, plan: &Value) {
        self.write_file(broker, "plan", plan);
        self.brokers[broker].reload_config();
    }

    /// Has a broker read an operator's request that is no version, where versions are read.
    pub fn send_operator_request(&self, broker: usize, request: &Value) {
        self.write_file(broker, "version", request);
        self.brokers[broker].reload_config();
    }

    /// Writes into the operator's file of a broker, which is to be restarted, who votes.
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

    /// Replaces a file of a broker's own at once.
    fn write_file(&self, broker: usize, extension: &str, value: &Value) {
        let path = self.folder.join(format!("{}.{extension}", broker_name(broker)));
        let aside = path.with_extension("aside");
        fs::write(&aside, value.to_string()).unwrap();
        fs::rename(aside, path).unwrap();
    }

    /// Notes for the audit the version that a plan's step makes: like the one before it, but for these owners.
    pub fn expect_plan_step(&mut self, number: u64, owners: &[(u64, &str)]) {
        let mut map = self.maps[&(number - 1)].clone();
        map.epoch += 1;
        for (segment, owner) in owners {
            map.owners.insert(*segment, owner.to_string());
        }
        self.maps.insert(number, map);
    }
}
