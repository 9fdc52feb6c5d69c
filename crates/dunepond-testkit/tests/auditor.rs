//! The auditor on records with one planted fault each: it finds that one, and nothing in records without.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_testkit::auditor::{
    Finding, GroundTruth, MapVersion, NodeRun, Records, audit, limits, longest_contradiction,
};
use rstest::rstest;

/// Three brokers over a change from version 1 to 2, in which segment 5 goes from s-0 to s-1: joint from 10.0, the new
/// map alone from 15.0. n3 is cut off from 9.0 on.
const CLEAN: &str = r#"
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

fn known() -> GroundTruth {
    let owners = |five: &str| BTreeMap::from([(5, five.to_string()), (6, "s-0".to_string())]);
    GroundTruth {
        clock_slack_seconds: 0.05,
        max_query_seconds: 3.0,
        maps: BTreeMap::from([
            (1, MapVersion { epoch: 1, owners: owners("s-0") }),
            (2, MapVersion { epoch: 2, owners: owners("s-1") }),
        ]),
        requested: BTreeMap::from([("e".to_string(), BTreeSet::from([5, 6]))]),
        runs: vec![ran("a", 8.1, "s-0"), ran("b", 10.9, "s-0")],
        max_debt_bytes: Some(1000),
    }
}

fn ran(call: &str, at: f64, node: &str) -> NodeRun {
    NodeRun { request_id: call.to_string(), segment_id: 5, at, node: node.to_string() }
}

fn found(more: &str, known: &GroundTruth) -> Vec<Finding> {
    let mut records = Records::default();
    records.append_sorted("acts", CLEAN);
    records.append_sorted("more", more);
    audit(&records, known)
}

#[test]
fn clean_records_have_no_findings() {
    assert_eq!(found("", &known()), []);
    let mut records = Records::default();
    records.append_sorted("acts", CLEAN);
    assert_eq!(longest_contradiction(&records), 0.0);
}

#[rstest]
#[case::sent_on_the_old_map_beside_the_new(
    r#"{"at":16.0,"brk":"n4","run":1,"act":"phase","phase":"alone","from":0,"to":1,"until":18.0}
{"at":16.5,"brk":"n4","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::ConflictingVersions { version: 1, other_version: 2, .. }))]
#[case::two_owners_while_the_first_may_be_at_work(
    r#"{"at":14.5,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":5,"node":"s-0","shot":0,"once":true,"phase":"joint","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::TwoOwners { segment_id: 5, .. }))]
#[case::moved_in_the_joint_step(
    r#"{"at":11.9,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":5,"node":"s-0","shot":0,"once":true,"phase":"joint","numbers":[1,2]}"#,
    |f: &Finding| matches!(f, Finding::NotOwner { segment_id: 5, .. }))]
#[case::after_the_lease(
    r#"{"at":40.2,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[2]}"#,
    |f: &Finding| matches!(f, Finding::SentAfterLease { late, .. } if (late - 0.2).abs() < 1e-9))]
#[case::replayable_on_a_version_after_the_lease(
    r#"{"at":41.0,"brk":"n1","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":false,"phase":"alone","numbers":[2]}"#,
    |f: &Finding| matches!(f, Finding::SentAfterLease { .. }))]
#[case::cut_off(
    r#"{"at":12.0,"brk":"n3","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"cut","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::SentWithoutLease { .. }))]
#[case::never_had_a_lease(
    r#"{"at":12.0,"brk":"n5","run":1,"act":"dispatch","call":"z","seg":6,"node":"s-0","shot":0,"once":true,"phase":"none","numbers":[]}"#,
    |f: &Finding| matches!(f, Finding::SentWithoutLease { .. }))]
#[case::sent_by_two_brokers(
    r#"{"at":8.3,"brk":"n2","run":1,"act":"dispatch","call":"a","seg":5,"node":"s-0","shot":0,"once":true,"phase":"alone","numbers":[1]}"#,
    |f: &Finding| matches!(f, Finding::DuplicateAttempt { segment_id: 5, .. }))]
#[case::sent_in_a_second_life(
    r#"{"at":8.3,"brk":"n1","run":0,"act":"phase","phase":"alone","from":0,"to":1,"until":9.0}
{"at":8.4,"brk":"n1","run":0,"act":"dispatch","call":"a","seg":5,"node":"s-0","shot":1,"once":true,"phase":"alone","numbers":[1]}
{"at":9.0,"brk":"n1","run":1,"act":"phase","phase":"alone","from":1,"to":1,"until":11.0}"#,
    |f: &Finding| matches!(f, Finding::DuplicateAttempt { .. }))]
#[case::settled_again(
    r#"{"at":18.0,"brk":"n1","run":1,"act":"settle","id":"x","debtor":"north","creditor":"south","bytes":10,"number":2}"#,
    |f: &Finding| matches!(f, Finding::SettlementReapplied { .. }))]
#[case::settled_otherwise(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"settle","id":"x","debtor":"north","creditor":"south","bytes":11,"number":2}"#,
    |f: &Finding| matches!(f, Finding::SettlementMismatch { .. }))]
#[case::a_fill_settled_twice(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"settle","id":"2/1/s@n3","debtor":"north","creditor":"south","bytes":11,"number":2}
{"at":18.1,"brk":"n3","run":1,"act":"settle","id":"2/1/s@n4","debtor":"north","creditor":"south","bytes":11,"number":2}"#,
    |f: &Finding| matches!(f, Finding::FillSettledTwice { .. }))]
#[case::settled_past_the_debt(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"settle","id":"2/1/s@n3","debtor":"north","creditor":"south","bytes":900,"number":2}
{"at":18.1,"brk":"n3","run":1,"act":"settle","id":"2/2/s@n4","debtor":"north","creditor":"south","bytes":101,"number":2}"#,
    |f: &Finding| matches!(f, Finding::SettledBeyondDebt { settled: 1001, owed: 1000, .. }))]
#[case::whole_without_a_segment(
    r#"{"at":18.0,"brk":"n1","run":1,"act":"answer","call":"e","status":200,"whole":true,"segs":[6],"epoch":2}"#,
    |f: &Finding| matches!(f, Finding::FalselyComplete { missing, .. } if missing == &[5]))]
#[case::whole_of_two_maps(
    r#"{"at":18.0,"brk":"n1","run":1,"act":"dispatch","call":"w","seg":5,"node":"s-1","shot":0,"once":false,"phase":"alone","numbers":[2]}
{"at":18.1,"brk":"n1","run":1,"act":"answer","call":"w","status":200,"whole":true,"segs":[5],"epoch":1}"#,
    |f: &Finding| matches!(f, Finding::MixedEpochs { epoch: 1, segment_id: 5, .. }))]
#[case::confirmed_with_two_digests(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"confirmed","number":2,"digest":"ee"}"#,
    |f: &Finding| matches!(f, Finding::DigestConflict { number: 2, .. }))]
#[case::confirmed_and_withdrawn(
    r#"{"at":18.0,"brk":"n3","run":1,"act":"withdrawn","number":2,"digest":"dd"}"#,
    |f: &Finding| matches!(f, Finding::ConfirmedAndWithdrawn { number: 2 }))]
#[case::more_than_the_whole_of_a_bound(
    r#"{"at":1.0,"brk":"n1","run":1,"act":"share","generation":3,"counted":true,"floor":50000,"parts":{"further":600000},"from":0.0,"until":9.0,"window":1.0}
{"at":8.0,"brk":"n1","run":1,"act":"share","generation":4,"counted":true,"floor":50000,"parts":{},"from":0.0,"until":20.0,"window":1.0}
{"at":8.9,"brk":"n2","run":1,"act":"share","generation":5,"counted":true,"floor":50000,"parts":{"further":600000},"from":0.0,"until":20.0,"window":1.0}"#,
    |f: &Finding| matches!(f, Finding::QuotaExceeded { units: 1_300_000, .. }))]
#[case::acts_without_a_record(r#"{"at":18.0,"brk":"n3","run":1,"act":"lost","count":7}"#,
    |f: &Finding| matches!(f, Finding::RecordsLost { count: 7, .. }))]
#[case::not_a_record("{\"at\":18.0,\"brk\":\"n3\",\"ru\n{\"at\":18.1,\"brk\":\"n3\",\"run\":1,\"act\":\"refused\",\"call\":\"q\",\"why\":\"no\"}",
    |f: &Finding| matches!(f, Finding::Unreadable { line: 1, .. }))]
fn planted_fault_is_found_once(#[case] planted: &str, #[case] is: fn(&Finding) -> bool) {
    let found = found(planted, &known());
    assert!(found.len() == 1 && is(&found[0]), "{found:#?}");
}

#[test]
fn repeated_run_is_found() {
    let mut known = known();
    known.runs.push(ran("a", 8.2, "s-0"));
    assert_eq!(
        found("", &known),
        [Finding::RanTwice { request_id: "a".to_string(), segment_id: 5, times: 2 }]
    );
}

#[test]
fn overlapping_runs_are_found() {
    let mut known = known();
    // As long apart as a part may last: in order.
    known.runs.push(ran("y", 14.0, "s-1"));
    assert_eq!(found("", &known), []);
    known.runs.push(ran("z", 15.5, "s-0"));
    let found = found("", &known);
    assert!(
        matches!(&found[..], [Finding::OverlappingRuns { apart, .. }] if (apart - 1.5).abs() < 1e-9),
        "{found:?}"
    );
}

/// `a` was sent on version 1 alone, on which its broker last had a lease up to 11.0; joint up to 30.0.
#[test]
fn run_after_lease_is_found() {
    let mut known = known();
    known.runs[0].at = 40.0;
    let found = found("", &known);
    assert!(
        matches!(&found[..], [Finding::RanAfterLease { late, .. }] if (late - 10.0).abs() < 1e-9),
        "{found:?}"
    );
}

/// What the first had still fills the window behind it, and a start begins with nothing.
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
        // It would be too much, if this run did not have to wait.
        + &share(9.2, "n3", 2, 300_000, 22.0, 30.0);
    assert_eq!(found(&lines, &known()), []);
    let mut records = Records::default();
    records.append_sorted("shares", &lines);
    assert_eq!(limits::peak_units(&records)["cold"], 700_000);
}

#[test]
fn torn_last_line_is_no_finding() {
    assert_eq!(found("{\"at\":18.0,\"brk\":\"n3\",\"ru", &known()), []);
    // And the first of the next life right behind it counts.
    let next = r#"{"at":18.0,"brk":"n3","ru{"at":19.0,"brk":"n3","run":2,"act":"lost","count":1}"#;
    assert_eq!(found(&format!("{next}\n"), &known()).len(), 1);
}

#[test]
fn longest_contradiction_is_the_overlap() {
    let mut records = Records::default();
    records.append_sorted("acts", CLEAN);
    let late =
        r#"{"at":14.0,"brk":"n4","run":1,"act":"phase","phase":"alone","from":0,"to":1,"until":16.25}"#;
    records.append_sorted("late", late);
    assert!((longest_contradiction(&records) - 1.25).abs() < 1e-9);
}
