//! Tests of the auditor on records that contain one injected fault each: it must report exactly that fault, and nothing for
//! correct records.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_testkit::auditor::{
    Finding, GroundTruth, MapVersion, NodeRun, Records, audit, longest_version_conflict_seconds, quotas,
};
use rstest::rstest;

/// Correct records of three brokers during a change from version 1 to 2, in which the owner of segment 5 changes from s-0 to
/// s-1. The joint phase lasts from 10.0 to 15.0, and from then on the new map is used alone. n3 is partitioned from 9.0 on.
const CORRECT_RECORDS: &str = r#"
{"at":1.0,"brk":"n1","run":1,"act":"phase","phase":"alone","from":0,"to":1,"until":3.0}
{"at":1.0,"brk":"n2","run":1,"act":"phase","phase":"alone","from":0,"to":1,"until":3.0}
{"at":1.0,"brk":"n3","run":1,"act":"phase","phase":"alone","from":0,"to":1,"until":3.0}
{"at":2.0,"brk":"n1","run":1,"act":"phase","phase":"alone","from":1,"to":1,"until":11.0}
{"at":2.0,"brk":"n2","run":1,"act":"phase","phase":"alone","from":1,"to":1,"until":11.0}
{"at":2.0,"brk":"n3","run":1,"act":"phase","phase":"alone","from":1,"to":1,"until":11.0}
{"at":8.0,"brk":"n1","run":1,"act":"dispatch","call":"a","seg":5,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[1]}
{"at":8.1,"brk":"n1","run":1,"act":"answer","call":"a","status":200,"whole":true,"segs":[5],"epoch":1}
{"at":8.5,"brk":"n2","run":1,"act":"proposed","number":2,"digest":"dd"}
{"at":10.0,"brk":"n1","run":1,"act":"phase","phase":"joint","from":1,"to":2,"until":30.0}
{"at":10.0,"brk":"n2","run":1,"act":"phase","phase":"joint","from":1,"to":2,"until":30.0}
{"at":10.5,"brk":"n3","run":1,"act":"dispatch","call":"b","seg":5,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[1]}
{"at":11.0,"brk":"n3","run":1,"act":"phase","phase":"cut","from":1,"to":1,"until":0.0}
{"at":11.5,"brk":"n3","run":1,"act":"refused","call":"c","why":"no lease"}
{"at":12.0,"brk":"n1","run":1,"act":"dispatch","call":"d","seg":6,"node":"s-0","shot":0,"once":true,"phase":"joint","numbers":[1,2]}
{"at":12.0,"brk":"n2","run":1,"act":"dispatch","call":"e","seg":5,"node":"s-1","shot":0,"once":false,"phase":"joint","numbers":[1,2]}
{"at":12.1,"brk":"n2","run":1,"act":"dispatch","call":"e","seg":6,"node":"s-0","shot":0,"once":false,"phase":"joint","numbers":[1,2]}
{"at":12.2,"brk":"n2","run":1,"act":"dispatch","call":"e","seg":6,"node":"s-2","shot":1,"once":false,"phase":"joint","numbers":[1,2]}
{"at":12.4,"brk":"n2","run":1,"act":"answer","call":"e","status":200,"whole":true,"segs":[5,6],"epoch":1}
{"at":13.0,"brk":"n1","run":1,"act":"fill","id":"f1","segment":5,"holder":"s-1","source":"s-0","bytes":10,"state":"done"}
{"at":14.0,"brk":"n1","run":1,"act":"settle","id":"x","debtor":"north","creditor":"south","bytes":10,"number":2}
{"at":14.0,"brk":"n2","run":1,"act":"settle","id":"x","debtor":"north","creditor":"south","bytes":10,"number":2}
{"at":15.0,"brk":"n1","run":1,"act":"confirmed","number":2,"digest":"dd"}
{"at":15.0,"brk":"n2","run":1,"act":"confirmed","number":2,"digest":"dd"}
{"at":15.0,"brk":"n1","run":1,"act":"phase","phase":"alone","from":1,"to":2,"until":40.0}
{"at":15.0,"brk":"n2","run":1,"act":"phase","phase":"alone","from":1,"to":2,"until":40.0}
{"at":16.0,"brk":"n1","run":1,"act":"dispatch","call":"g","seg":5,"node":"s-1","shot":0,"once":true,"phase":"alone","numbers":[2]}
{"at":17.0,"brk":"n2","run":2,"act":"settle","id":"x","debtor":"north","creditor":"south","bytes":10,"number":2}
"#;

/// What really happened in the run that [`CORRECT_RECORDS`] describe.
fn ground_truth() -> GroundTruth {
    let owners = |owner_of_5: &str| BTreeMap::from([(5, owner_of_5.to_string()), (6, "s-0".to_string())]);
    GroundTruth {
        clock_slack_seconds: 0.05,
        max_query_seconds: 3.0,
        maps: BTreeMap::from([
            (1, MapVersion { epoch: 1, owners: owners("s-0") }),
            (2, MapVersion { epoch: 2, owners: owners("s-1") }),
        ]),
        requested_segments: BTreeMap::from([("e".to_string(), BTreeSet::from([5, 6]))]),
        node_runs: vec![node_run("a", 8.1, "s-0"), node_run("b", 10.9, "s-0")],
        max_debt_bytes: Some(1000),
    }
}

fn node_run(request_id: &str, at: f64, node: &str) -> NodeRun {
    NodeRun { request_id: request_id.to_string(), segment_id: 5, arrived_at: at, node: node.to_string() }
}

/// Audits [`CORRECT_RECORDS`] together with further records.
fn audit_with(more_records: &str, ground_truth: &GroundTruth) -> Vec<Finding> {
    let mut records = Records::default();
    records.append_sorted("acts", CORRECT_RECORDS);
    records.append_sorted("more", more_records);
    audit(&records, ground_truth)
}

#[test]
fn clean_records_have_no_findings() {
    assert_eq!(audit_with("", &ground_truth()), []);
    let mut records = Records::default();
    records.append_sorted("acts", CORRECT_RECORDS);
    assert_eq!(longest_version_conflict_seconds(&records), 0.0);
}

#[rstest]
#[case::sent_by_the_old_map_while_the_new_is_in_force(
    r#"{"at":16.0,"brk":"n4","run":1,"act":"phase","phase":"alone","from":0,"to":1,"until":18.0}
{"at":16.5,"brk":"n4","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::ConflictingVersions { version: 1, other_version: 2, .. }))]
#[case::two_owners_while_the_first_may_still_run_a_part(
    r#"{"at":14.5,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":5,"node":"s-0","shot":0,"once":true,"phase":"joint","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::TwoOwners { segment_id: 5, .. }))]
#[case::sent_to_the_old_owner_in_the_joint_phase(
    r#"{"at":11.9,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":5,"node":"s-0","shot":0,"once":true,"phase":"joint","numbers":[1,2]}"#,
    |f: &Finding| matches!(f, Finding::NotOwner { segment_id: 5, .. }))]
#[case::non_idempotent_part_after_the_lease(
    r#"{"at":40.2,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[2]}"#,
    |f: &Finding| matches!(f, Finding::SentAfterLease { late_seconds, .. } if (late_seconds - 0.2).abs() < 1e-9))]
#[case::idempotent_part_after_the_lease(
    r#"{"at":41.0,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":false,"phase":"alone","numbers":[2]}"#,
    |f: &Finding| matches!(f, Finding::SentAfterLease { .. }))]
#[case::sent_after_the_lease_was_lost(
    r#"{"at":12.0,"brk":"n3","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"cut","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::SentWithoutLease { .. }))]
#[case::sent_without_ever_having_a_lease(
    r#"{"at":12.0,"brk":"n5","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"none","numbers":[]}"#,
    |f: &Finding| matches!(f, Finding::SentWithoutLease { .. }))]
#[case::sent_by_two_brokers(
    r#"{"at":8.3,"brk":"n2","run":1,"act":"dispatch","call":"a","seg":5,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::DuplicateAttempt { segment_id: 5, .. }))]
#[case::sent_again_after_a_restart(
    r#"{"at":8.3,"brk":"n1","run":0,"act":"phase","phase":"alone","from":0,"to":1,"until":9.0}
{"at":8.4,"brk":"n1","run":0,"act":"dispatch","call":"a","seg":5,"node":"s-0","shot":1,"once":true,"phase":"alone","numbers":[1]}
{"at":9.0,"brk":"n1","run":1,"act":"phase","phase":"alone","from":1,"to":1,"until":11.0}"#,
    |f: &Finding| matches!(f, Finding::DuplicateAttempt { .. }))]
#[case::settlement_applied_again(
    r#"{"at":18.0,"brk":"n1","run":1,"act":"settle","id":"x","debtor":"north","creditor":"south","bytes":10,"number":2}"#,
    |f: &Finding| matches!(f, Finding::SettlementReapplied { .. }))]
#[case::settlement_with_other_bytes(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"settle","id":"x","debtor":"north","creditor":"south","bytes":11,"number":2}"#,
    |f: &Finding| matches!(f, Finding::SettlementMismatch { .. }))]
#[case::fill_settled_twice(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"settle","id":"2/1/s@n3","debtor":"north","creditor":"south","bytes":11,"number":2}
{"at":18.1,"brk":"n3","run":1,"act":"settle","id":"2/1/s@n4","debtor":"north","creditor":"south","bytes":11,"number":2}"#,
    |f: &Finding| matches!(f, Finding::FillSettledTwice { .. }))]
#[case::settled_beyond_the_debt(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"settle","id":"2/1/s@n3","debtor":"north","creditor":"south","bytes":900,"number":2}
{"at":18.1,"brk":"n3","run":1,"act":"settle","id":"2/2/s@n4","debtor":"north","creditor":"south","bytes":101,"number":2}"#,
    |f: &Finding| matches!(f, Finding::SettledBeyondDebt { settled_bytes: 1001, owed_bytes: 1000, .. }))]
#[case::complete_without_a_segment(
    r#"{"at":18.0,"brk":"n1","run":1,"act":"answer","call":"e","status":200,"whole":true,"segs":[6],"epoch":2}"#,
    |f: &Finding| matches!(f, Finding::FalselyComplete { missing_segments, .. } if missing_segments == &[5]))]
#[case::complete_with_segments_of_two_maps(
    r#"{"at":18.0,"brk":"n1","run":1,"act":"dispatch","call":"w","seg":5,"node":"s-1","shot":0,"once":false,"phase":"alone","numbers":[2]}
{"at":18.1,"brk":"n1","run":1,"act":"answer","call":"w","status":200,"whole":true,"segs":[5],"epoch":1}"#,
    |f: &Finding| matches!(f, Finding::MixedEpochs { epoch: 1, segment_id: 5, .. }))]
#[case::confirmed_with_two_digests(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"confirmed","number":2,"digest":"ee"}"#,
    |f: &Finding| matches!(f, Finding::DigestConflict { version: 2, .. }))]
#[case::confirmed_and_withdrawn(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"withdrawn","number":2,"digest":"dd"}"#,
    |f: &Finding| matches!(f, Finding::ConfirmedAndWithdrawn { version: 2 }))]
#[case::quota_exceeded(
    r#"{"at":1.0,"brk":"n1","run":1,"act":"share","generation":3,"counted":true,"floor":50000,"parts":{"further":600000},"from":0.0,"until":9.0,"window":1.0}
{"at":8.0,"brk":"n1","run":1,"act":"share","generation":4,"counted":true,"floor":50000,"parts":{},"from":0.0,"until":20.0,"window":1.0}
{"at":8.9,"brk":"n2","run":1,"act":"share","generation":5,"counted":true,"floor":50000,"parts":{"further":600000},"from":0.0,"until":20.0,"window":1.0}"#,
    |f: &Finding| matches!(f, Finding::QuotaExceeded { total_units: 1_300_000, .. }))]
#[case::lost_records(r#"{"at":18.0,"brk":"n3","run":1,"act":"lost","count":7}"#,
    |f: &Finding| matches!(f, Finding::RecordsLost { count: 7, .. }))]
#[case::invalid_record("{\"at\":18.0,\"brk\":\"n3\",\"ru\n{\"at\":18.1,\"brk\":\"n3\",\"run\":1,\"act\":\"refused\",\"call\":\"q\",\"why\":\"no\"}",
    |f: &Finding| matches!(f, Finding::InvalidRecord { line: 1, .. }))]
fn injected_fault_is_found_once(#[case] faulty_records: &str, #[case] is_expected: fn(&Finding) -> bool) {
    let findings = audit_with(faulty_records, &ground_truth());
    assert!(
        findings.len() == 1 && is_expected(&findings[0]),
        "expected one finding of this kind: {findings:#?}"
    );
}

#[test]
fn repeated_run_is_found() {
    let mut ground_truth = ground_truth();
    ground_truth.node_runs.push(node_run("a", 8.2, "s-0"));
    assert_eq!(
        audit_with("", &ground_truth),
        [Finding::RanTwice { request_id: "a".to_string(), segment_id: 5, run_count: 2 }]
    );
}

#[test]
fn overlapping_runs_are_found() {
    let mut ground_truth = ground_truth();
    // 3.1 s after the previous run, which is longer than a part may take, so the runs cannot overlap.
    ground_truth.node_runs.push(node_run("y", 14.0, "s-1"));
    assert_eq!(audit_with("", &ground_truth), []);
    ground_truth.node_runs.push(node_run("z", 15.5, "s-0"));
    let findings = audit_with("", &ground_truth);
    assert!(
        matches!(&findings[..], [Finding::OverlappingRuns { interval_seconds, .. }] if (interval_seconds - 1.5).abs() < 1e-9),
        "{findings:?}"
    );
}

/// Request `a` was sent on version 1 alone. Its broker had a lease on version 1 alone until 11.0, and one on both versions until
/// 30.0.
#[test]
fn run_after_lease_is_found() {
    let mut ground_truth = ground_truth();
    ground_truth.node_runs[0].arrived_at = 40.0;
    let findings = audit_with("", &ground_truth);
    assert!(
        matches!(&findings[..], [Finding::RanAfterLease { late_seconds, .. }] if (late_seconds - 10.0).abs() < 1e-9),
        "{findings:?}"
    );
}

/// A broker's share counts for one more window of the quota after the broker may no longer use it, and a restarted broker begins
/// without a share.
#[test]
fn consecutive_shares_stay_within_quota() {
    let share = |at: f64, brk: &str, run: u64, part: u32, from: f64, until: f64| {
        format!(
            "{{\"at\":{at},\"brk\":\"{brk}\",\"run\":{run},\"act\":\"share\",\"generation\":1,\"counted\":true,\
             \"floor\":50000,\"parts\":{{\"cold\":{part}}},\"from\":{from},\"until\":{until},\"window\":1.0}}\n"
        )
    };
    let lines = share(1.0, "n1", 1, 600_000, 0.0, 9.0)
        + &share(8.0, "n1", 1, 0, 0.0, 20.0)
        + &share(9.1, "n2", 1, 600_000, 0.0, 20.0)
        // This share would exceed the quota if the restarted broker did not have to wait until 22.0.
        + &share(9.2, "n3", 2, 300_000, 22.0, 30.0);
    assert_eq!(audit_with(&lines, &ground_truth()), []);
    let mut records = Records::default();
    records.append_sorted("shares", &lines);
    assert_eq!(quotas::peak_units(&records)["cold"], 700_000);
}

#[test]
fn truncated_last_line_is_no_finding() {
    assert_eq!(audit_with("{\"at\":18.0,\"brk\":\"n3\",\"ru", &ground_truth()), []);
    // The first record after the restart follows on the same line, and is read.
    let truncated_then_complete =
        r#"{"at":18.0,"brk":"n3","ru{"at":19.0,"brk":"n3","run":2,"act":"lost","count":1}"#;
    assert_eq!(audit_with(&format!("{truncated_then_complete}\n"), &ground_truth()).len(), 1);
}

#[test]
fn longest_version_conflict_is_the_overlap_of_versions() {
    let mut records = Records::default();
    records.append_sorted("acts", CORRECT_RECORDS);
    let late =
        r#"{"at":14.0,"brk":"n4","run":1,"act":"phase","phase":"alone","from":0,"to":1,"until":16.25}"#;
    records.append_sorted("late", late);
    assert!((longest_version_conflict_seconds(&records) - 1.25).abs() < 1e-9);
}
