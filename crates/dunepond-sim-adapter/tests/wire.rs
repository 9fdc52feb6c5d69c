//! The program on its wire: what it answers, and how it stops at what it cannot read.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const INIT: &str = r#"{"what":"init","salt":5,"params":{"balancers":1,
"ceilings":{"attemptsCap":3,"cancel":true,"maxRetryAfterMs":500,"retryAfter":true,"secondCopies":true},
"countedBy":"request","familyInfo":{"cells":1,"leastShare":[1],"partialEarns":[0.9],"secondStep":[0],
"span":1,"wholeAt":[1]},"news":7,"projects":[],"rules":{"coldFrom":0.2,"coldMs":9000,"fallMs":1000,
"overloadFactor":2},"services":[{"aimMs":2000,"deadlineMs":4000,"semantics":"pure","value":1}],"tickMs":5}}"#;
const LIST: &str = r#"{"what":"register","setId":3,"rowsIn":[{"node":"10.0.0.1:70","cell":0,"mode":"active"}]},
{"what":"directoryUpdate","form":"remembered","setId":3}"#;
const SCAN: &str = r#"{"what":"arrival","xid":"c:q","shareOrCount":1,"expiresInMs":3000,"segmentNo":-1,"query":1,
"cls":0},{"what":"arrival","xid":"c:p","shareOrCount":1,"expiresInMs":3000,"segmentNo":0,"query":1,"cls":0}"#;
const GOOD: &str = r#"{"what":"answer","xid":"c:p","shot":0,"node":"10.0.0.1:70","outcome":"GOOD",
"delaySeenMs":200,"closed":true,"gauge":{"x9":1}}"#;

fn play(batches: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dunepond-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut input = child.stdin.take().expect("it has an input");
    for batch in batches {
        // A program that has stopped at an earlier line reads no more.
        let _ = writeln!(input, "{}", batch.replace('\n', " "));
    }
    drop(input);
    child.wait_with_output().expect("it ends")
}

fn batch(turn: u32, events: &[&str]) -> String {
    let clock = 1000 + 200 * turn;
    let input = events.join(",");
    format!(r#"{{"clockMs":{clock},"turn":{turn},"parts":[{{"who":"broker-0","input":[{input}]}}]}}"#)
}

#[test]
fn a_scan_is_sent_and_answered_and_the_end_of_input_ends_it() {
    let unknown = r#"{"what":"eclipse","where":"here"}"#;
    let done = play(&[batch(1, &[INIT, LIST, SCAN]), batch(2, &[GOOD, unknown]), batch(3, &[GOOD])]);
    let out = String::from_utf8_lossy(&done.stdout).into_owned();
    let lines: Vec<_> = out.lines().collect();
    assert!(lines[0].contains(r#""node":"10.0.0.1:70""#) && lines[0].contains(r#""xid":"c:p""#));
    assert!(lines[1].contains(r#"{"on":true,"what":"conclude","xid":"c:q"}"#));
    assert_eq!(lines[2], r#"{"parts":[],"turn":3}"#);
    assert!(String::from_utf8_lossy(&done.stderr).contains("eclipse: unknown kind of event, skipped"));
    assert!(done.status.success());
}

#[test]
fn a_customer_that_the_settings_do_not_list_is_served() {
    let scan = SCAN.replace(r#""query":1,"#, r#""query":1,"owner":7,"#);
    let done = play(&[batch(1, &[INIT, LIST, &scan]), batch(2, &[GOOD])]);
    assert!(done.status.success());
    assert!(String::from_utf8_lossy(&done.stdout).contains("conclude"));
}

#[test]
fn an_instance_killed_and_started_again_knows_nothing() {
    let stop = r#"{"what":"shutdown"}"#;
    let done = play(&[batch(1, &[INIT, LIST, SCAN]), batch(2, &[stop, INIT, LIST]), batch(3, &[GOOD])]);
    assert!(done.status.success());
    assert!(!String::from_utf8_lossy(&done.stdout).contains("conclude"));
}

/// `observe` where the list comes only when it is asked for, at the start and after a refusal.
#[test]
fn a_list_that_comes_on_request_is_asked_for() {
    let init = INIT
        .replace(r#""news":7"#, r#""discovery":"on_request""#)
        .replace(r#""coldFrom""#, r#""mustAskInMs":2000,"coldFrom""#);
    let refused = r#"{"what":"directoryUpdate","form":"refused","gen":0,"setId":0}"#;
    let wake = r#"{"what":"timeoutFired","cookie":0}"#;
    let done = play(&[batch(1, &[&init, LIST]), batch(2, &[refused]), batch(3, &[wake])]);
    let out = String::from_utf8_lossy(&done.stdout).into_owned();
    let asks: Vec<_> = out.lines().map(|l| l.contains(r#"{"on":true,"what":"observe"}"#)).collect();
    assert_eq!(asks, [true, false, true], "{out}");
}

#[rstest]
#[case::not_json("{", "batch: not JSON")]
#[case::no_clock(r#"{"turn":1,"parts":[]}"#, "batch: clockMs: missing")]
#[case::field(&batch(1, &[INIT, LIST, &SCAN.replace(r#""query":1,"#, "")]), "arrival: query: missing")]
#[case::list(&batch(1, &[INIT, &LIST.replace("ed\",\"setId\":3", "ed\",\"setId\":4")]), "setId: no list 4")]
#[case::type_unknown(&batch(1, &[INIT, LIST, &SCAN.replace(r#""cls":0"#, r#""cls":9"#)]), "arrival: cls")]
#[case::parts_missing(&batch(1, &[INIT, LIST, &SCAN.replace(r#""shareOrCount":1"#, r#""shareOrCount":2"#)]),
    "arrival: shareOrCount: 2 parts stated, 1 came")]
#[case::setting(&batch(1, &[&INIT.replace(r#""coldMs":9000,"#, "")]), "init params: rules.coldMs: missing")]
#[case::outcome(&batch(1, &[INIT, LIST, SCAN, &GOOD.replace("GOOD", "FINE")]), "answer: outcome: unknown word 'FINE'")]
fn what_cannot_be_read_is_named_and_stops_it(#[case] line: &str, #[case] named: &str) {
    let done = play(&[line.to_string()]);
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success());
    assert_eq!(told.lines().count(), 1, "{told}");
    assert!(told.contains(named), "{told}");
}
