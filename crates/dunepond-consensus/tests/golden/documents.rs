//! Golden tests of single documents: versions, operators' documents, lease requests and replies, persisted state.

use std::collections::BTreeMap;
use std::sync::Arc;

use dunepond_consensus::*;
use dunepond_quota::{Allocation, DemandReport, SharedQuotas};
use dunepond_settlement::{Allotment, Settlement, SettlementEntry, SettlementLedger};
use dunepond_simulation::fixtures::{config_version, consensus_config, settlement, shard_map};

use super::{golden, reencode_json};

pub fn text(text: &str) -> String {
    String::from(text)
}

pub fn voter_info(name: &str, address: Option<&str>) -> VoterInfo {
    VoterInfo { name: text(name), address: address.map(text) }
}

/// A configuration version that has every optional part: a shard map, excluded nodes, a first stage, a version on which
/// it is based, and keys that a later build added.
pub fn full_version(number: u64) -> ConfigVersion {
    let extension =
        |key: &str, required| Extension { key: text(key), json: text("{\"a\": [1, 2.50]}"), required };
    ConfigVersion {
        based_on: Some(number - 1),
        first_stage_ratio: Some(0.25),
        excluded_nodes: ExcludedNodes {
            draining: vec![text("s8a")],
            removed: vec![text("s9a"), text("s9b")],
        },
        proposed_at_unix_seconds: 1_700_000_000.25,
        extensions: vec![extension("omens", false), extension("rules.least_brokers", true)],
        ..config_version(number, Some(shard_map(number, true)))
    }
}

pub fn shared_quotas() -> SharedQuotas {
    SharedQuotas::new(vec![text("cold"), text("customer anna")], 7, 0.35, 500).unwrap()
}

fn demand_report() -> DemandReport {
    let demand_units = BTreeMap::from([(text("cold"), 120_000), (text("customer anna"), 7)]);
    DemandReport { shrunk_generation: 3, shared: shared_quotas(), demand_units }
}

fn minimal_request() -> LeaseRequest {
    LeaseRequest {
        id: 1,
        broker: text("b1"),
        sent_at: 0.5,
        known_versions: Vec::new(),
        joint_version: None,
        run_id: 2,
        known_settlements: 0,
        demand: None,
        forwarded: false,
        overloaded: false,
    }
}

fn full_request() -> LeaseRequest {
    LeaseRequest {
        id: u64::MAX,
        sent_at: 1234.0625,
        known_versions: vec![(1, config_version(1, None).digest()), (2, full_version(2).digest())],
        joint_version: Some(2),
        run_id: 1 << 60,
        known_settlements: 70_000,
        demand: Some(demand_report()),
        forwarded: true,
        overloaded: true,
        ..minimal_request()
    }
}

pub fn allotment_entry() -> SettlementEntry {
    let parts = vec![(text("fleet"), 900).into(), (text("b1"), 100).into()];
    SettlementEntry::Allot(Allotment {
        number: 0,
        debtor: text("north"),
        creditor: text("south"),
        debt: 1000,
        parts,
    })
}

/// An update of the settlement log with two entries, and with the complete ledger if `with_ledger` is set.
fn settlement_update(with_ledger: bool) -> SettlementUpdate {
    let settlement_entry = SettlementEntry::Settle(Settlement { bytes: 11, ..settlement("7") });
    let mut applied_ledger = SettlementLedger::default();
    applied_ledger.apply(&allotment_entry()).unwrap();
    applied_ledger.apply(&SettlementEntry::Settle(settlement("6"))).unwrap();
    let entries = vec![
        SettlementRecord { oldest_open_version: 0, entry: allotment_entry() },
        SettlementRecord { oldest_open_version: 4, entry: settlement_entry },
    ];
    SettlementUpdate { from: 4, count: 6, ledger: with_ledger.then(|| Box::new(applied_ledger)), entries }
}

fn minimal_grant() -> LeaseGrant {
    LeaseGrant {
        lease_seconds: 1.0,
        required_parts: Vec::new(),
        fleet_id: 0,
        epoch: 0,
        index: 1,
        active: None,
        proposed: None,
        highest_number: 0,
        maps_enabled: false,
        voters: Vec::new(),
        voters_number: 0,
        documents: Vec::new(),
        completed_fills: Vec::new(),
        settlements: SettlementUpdate::default(),
        quota: None,
        leader: text("n1"),
        leader_run_id: 9,
        received_at: 0.75,
    }
}

fn full_grant(step: RolloutStep) -> LeaseGrant {
    let (first, second) = (config_version(1, Some(shard_map(1, false))), full_version(2));
    let leased_units = BTreeMap::from([(text("cold"), 50_000)]);
    LeaseGrant {
        required_parts: vec![text("omens")],
        fleet_id: 77,
        epoch: 3,
        index: 40_000,
        active: Some((1, first.digest())),
        proposed: Some(ProposedVersion { number: 2, digest: second.digest(), step }),
        highest_number: 2,
        maps_enabled: true,
        voters: vec![voter_info("n1", None), voter_info("n2", Some("10.0.0.2:7000"))],
        voters_number: 5,
        documents: vec![Arc::new(first), Arc::new(second)],
        completed_fills: vec![(0, text("cold1")), (3, text("s3b"))],
        settlements: settlement_update(step == RolloutStep::Joint),
        quota: Some(Allocation {
            generation: 8,
            floor_units: 50_000,
            admitted: true,
            shrunk_generation: 6,
            leased_units,
        }),
        ..minimal_grant()
    }
}

fn reply(answer: LeaseAnswer) -> LeaseReply {
    LeaseReply { id: 7, run_id: 2, sent_at: 0.5, answer }
}

#[test]
fn versions_match_golden_files() {
    let version_without_options =
        ConfigVersion { based_on: None, first_stage_ratio: None, ..config_version(1, None) };
    for (name, version) in [
        ("version-bare", version_without_options),
        ("version-map", config_version(3, Some(shard_map(3, false)))),
        ("version-full", full_version(2)),
    ] {
        let stored = golden(name, &version.packed());
        let read = ConfigVersion::unpacked(&stored).unwrap();
        assert_eq!(read, version, "{name}");
        assert_eq!(read.packed(), stored, "{name}");
        golden(&format!("{name}.digest"), version.digest().as_bytes());
        // The JSON form of operators' documents, with field names.
        let name = format!("{name}.json");
        let stored = golden(&name, &serde_json::to_vec_pretty(&version).unwrap());
        assert_eq!(reencode_json::<ConfigVersion>(&stored), stored, "{name}");
    }
}

#[test]
fn operators_documents_match_golden_files() {
    let voter_change = VoterChange {
        number: 4,
        voters: vec![voter_info("n1", None), voter_info("n2", Some("10.0.0.2:7000"))],
        proposed_by: text("ann"),
        reason: text("a test"),
        proposed_at_unix_seconds: 1_700_000_000.0,
    };
    let stored = golden("voting.json", &serde_json::to_vec_pretty(&voter_change).unwrap());
    assert_eq!(reencode_json::<VoterChange>(&stored), stored);
    let recovery_order = RecoveryOrder {
        folder_id: 5,
        last_index: 60,
        lost_voters: vec![text("n2")],
        highest_number: 3,
        confirmation: text(RECOVERY_CONFIRMATION),
    };
    let stored = golden("recovery.json", &serde_json::to_vec_pretty(&recovery_order).unwrap());
    assert_eq!(reencode_json::<RecoveryOrder>(&stored), stored);
}

#[test]
fn lease_requests_match_golden_files() {
    for (name, request) in [("request-bare", minimal_request()), ("request-full", full_request())] {
        let stored = golden(name, &request.encode());
        let read = LeaseRequest::decode(&stored).unwrap();
        assert_eq!(read, request, "{name}");
        assert_eq!(read.encode(), stored, "{name}");
    }
}

#[test]
fn lease_replies_match_golden_files() {
    let voters = vec![voter_info("n2", None), voter_info("n3", Some("10.0.0.3:7000"))];
    for (name, answer) in [
        ("reply-no-leader", LeaseAnswer::NoLeader),
        ("reply-no-voter", LeaseAnswer::NotAVoter(voters)),
        ("reply-granted-first", LeaseAnswer::Granted(Box::new(minimal_grant()))),
        ("reply-granted-joint", LeaseAnswer::Granted(Box::new(full_grant(RolloutStep::Joint)))),
        ("reply-granted-staged", LeaseAnswer::Granted(Box::new(full_grant(RolloutStep::Staged(0.25))))),
        ("reply-granted-returning", LeaseAnswer::Granted(Box::new(full_grant(RolloutStep::RollingBack)))),
    ] {
        let reply = reply(answer);
        let stored = golden(name, &reply.encode());
        let read = LeaseReply::decode(&stored).unwrap();
        assert_eq!(read, reply, "{name}");
        assert_eq!(read.encode(), stored, "{name}");
    }
}

#[test]
fn persisted_state_matches_golden_files() {
    let mut client = LeaseClient::new(consensus_config("b1", 3), None, 0.0, 5);
    let empty = golden("kept-empty", &client.persisted_state().encode());
    assert_eq!(PersistedState::decode(&empty).unwrap().encode(), empty);
    let (_, request) = client.tick(0.0).unwrap();
    let second = ConfigVersion { extensions: vec![full_version(2).extensions[0].clone()], ..full_version(2) };
    let grant = LeaseGrant {
        required_parts: Vec::new(),
        proposed: Some(ProposedVersion { number: 2, digest: second.digest(), step: RolloutStep::Joint }),
        documents: vec![Arc::new(config_version(1, Some(shard_map(1, false)))), Arc::new(second)],
        completed_fills: vec![(0, text("s0b"))],
        ..full_grant(RolloutStep::Joint)
    };
    let answer = LeaseAnswer::Granted(Box::new(grant));
    client
        .handle_reply(
            0.1,
            "n1",
            LeaseReply { id: request.id, run_id: request.run_id, sent_at: request.sent_at, answer },
        )
        .unwrap();
    let stored = golden("kept-full", &client.persisted_state().encode());
    let read = PersistedState::decode(&stored).unwrap();
    assert_eq!(read, client.persisted_state());
    assert_eq!(read.encode(), stored);
}
