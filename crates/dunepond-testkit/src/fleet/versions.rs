//! Versions of the configuration, plans and operator's requests that a test gives to brokers.

use std::fs;

use serde_json::{Value, json};

use super::{Fleet, PARTNERS, broker_name};
use crate::auditor::MapVersion;

impl Fleet {
    /// Returns version `number` of the configuration. Each segment has replicas on two nodes and is owned by the first of them.
    /// The segments in `moved` are owned by the second one instead. The segments in `filled` get a third replica, which has to be
    /// filled before the version can become active.
    pub fn config_version(&self, number: u64, moved: &[u64], filled: &[u64]) -> Value {
        let count = self.options.segment_count as u64;
        let segments: Vec<_> =
            (0..count).map(|id| self.segment_entry(id, moved.contains(&id), filled.contains(&id))).collect();
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

    /// Returns the entry of one segment in the map of a version, as [`Fleet::config_version`] describes it.
    fn segment_entry(&self, id: u64, moved: bool, add_replica: bool) -> Value {
        let count = self.options.segment_count as u64;
        let segment_width = u64::MAX / count;
        let end = if id + 1 == count { Value::Null } else { json!((id + 1) * segment_width) };
        let node_index = |number: u64| number as usize % self.nodes.len();
        let replica = |number: u64, filled: bool, share: f64| {
            let node = node_index(number);
            json!({"node": self.nodes[node].name, "partner": PARTNERS[node % 2], "filled": filled, "share": share})
        };
        let second_share = if add_replica { 0.25 } else { 0.5 };
        let mut replicas = vec![replica(id, true, 0.5), replica(id + 1, true, second_share)];
        if add_replica {
            replicas.push(replica(id + 2, false, 0.25));
        }
        let owner = &self.nodes[node_index(id + u64::from(moved))].name;
        json!({"id": id, "keys": {"from": id * segment_width, "to": end}, "owner": owner, "holders": replicas})
    }

    /// Writes a version to the file that a broker reads versions from, without having the broker read it. Also remembers the
    /// version's map for the audit.
    pub fn write_version(&mut self, broker: usize, version: &Value) {
        let number = version["number"].as_u64().unwrap();
        let epoch = version["map"]["epoch"].as_u64().unwrap_or(0);
        let segments = version["map"]["segments"].as_array().into_iter().flatten();
        let owners = segments
            .map(|segment| (segment["id"].as_u64().unwrap(), segment["owner"].as_str().unwrap().to_string()));
        self.maps.insert(number, MapVersion { epoch, owners: owners.collect() });
        self.write_file(broker, "version", version);
    }

    /// Writes a version to the broker's version file and has the broker propose it.
    pub fn propose(&mut self, broker: usize, version: &Value) {
        self.write_version(broker, version);
        self.brokers[broker].reload_config();
    }

    /// Writes a plan to the broker's plan file and has the broker propose it. Needs the line `moves "OWN.plan"` in
    /// [`super::FleetOptions::extra_kdl_lines`].
    pub fn propose_plan(&self, broker: usize, plan: &Value) {
        self.write_file(broker, "plan", plan);
        self.brokers[broker].reload_config();
    }

    /// Writes an operator's request that is not a version to the broker's version file and has the broker read it.
    pub fn send_operator_request(&self, broker: usize, request: &Value) {
        self.write_file(broker, "version", request);
        self.brokers[broker].reload_config();
    }

    /// Changes in a broker's operator's file which brokers are voters. The change takes effect when the broker restarts.
    pub fn set_voters(&self, broker: usize, voters: &[&str]) {
        let path = self.folder.join(format!("{}.kdl", broker_name(broker)));
        let with_voters = |line: &str| {
            let fields: Vec<_> = line.split('"').collect();
            match fields[..] {
                [kind, peer, rest, ..] if ["voter", "peer"].contains(&kind.trim()) => {
                    let kind = if voters.contains(&peer) { "voter" } else { "peer" };
                    format!("  {kind} \"{peer}\"{rest}\"{}\"\n", fields[3])
                }
                _ => format!("{line}\n"),
            }
        };
        let text: String = fs::read_to_string(&path).unwrap().lines().map(with_voters).collect();
        fs::write(path, text).unwrap();
    }

    /// Replaces a broker's own file atomically: writes a temporary file and renames it.
    fn write_file(&self, broker: usize, extension: &str, value: &Value) {
        let path = self.folder.join(format!("{}.{extension}", broker_name(broker)));
        let temporary_path = path.with_extension("aside");
        fs::write(&temporary_path, value.to_string()).unwrap();
        fs::rename(temporary_path, path).unwrap();
    }

    /// Tells the audit which map to expect in the version that a plan's step creates: the map of the previous version with the
    /// next epoch and with these owners.
    pub fn expect_plan_step(&mut self, number: u64, owners: &[(u64, &str)]) {
        let mut map = self.maps[&(number - 1)].clone();
        map.epoch += 1;
        for (segment, owner) in owners {
            map.owners.insert(*segment, owner.to_string());
        }
        self.maps.insert(number, map);
    }
}
