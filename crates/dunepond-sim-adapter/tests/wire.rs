//! The wire protocol of the process: its replies to batches, and its errors on invalid input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const INIT: &str = r#"{"what":"init","salt":5,"params":{"balancers":1,
"ceilings":{"attemptsCap":3,"cancel":true,"maxRetryAfterMs":500,"retryAfter":true,"secondCopies":true},
"countedBy":"request","familyInfo":{"cells":1,"leastShare":[1],"partialEarns":[0.9],"secondStep":[0],
"span":1,"wholeAt":[1]},"news":7,"projects":[],"rules":{"coldFrom":0.2,"coldMs":9000,"fallMs":1000,
"overloadFactor":2},"services":[{"aimMs":2000,"deadlineMs":4000,"semantics":"pure","value":1}],"tickMs":5}}"#;
const ENDPOINT_LIST: &str = r#"{"what":"register","setId":3,"rowsIn":[{"node":"10.0.0.1:70","cell":0,"mode":"active"}]},
{"what":"directoryUpdate","form":"remembered","setId":3}"#;
const QUERY: &str = r#"{"what":"arrival","xid":"c:q","shareOrCount":1,"expiresInMs":3000,"segmentNo":-1,"query":1,
"cls":0},{"what":"arrival","xid":"c:p","shareOrCount":1,"expiresInMs":3000,"segmentNo":0,"query":1,"cls":0}"#;
const SERVED: &str = r#"{"what":"answer","xid":"c:p","shot":0,"node":"10.0.0.1:70","outcome":"GOOD",
"delaySeenMs":200,"closed":true,"gauge":{"x9":1}}"#;

/// Runs the adapter on these batches until it exits.
fn run(batches: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dunepond-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter should start");
    let mut input = child.stdin.take().expect("the adapter should have a piped input");
    for batch in batches {
        // The write fails if the adapter has exited at an earlier line.
        let _ = writeln!(input, "{}", batch.replace('\n', " "));
    }
    drop(input);
    child.wait_with_output().expect("the adapter should exit")
}

/// A batch of events for one broker; the clock advances by 200 ms with each turn.
fn batch(turn: u32, events: &[&str]) -> String {
    let clock = 1000 + 200 * turn;
    let input = events.join(",");
    format!(r#"{{"clockMs":{clock},"turn":{turn},"parts":[{{"who":"broker-0","input":[{input}]}}]}}"#)
}

#[test]
fn query_is_sent_and_answered_until_end_of_input() {
    let unknown = r#"{"what":"eclipse","where":"here"}"#;
    let output =
        run(&[batch(1, &[INIT, ENDPOINT_LIST, QUERY]), batch(2, &[SERVED, unknown]), batch(3, &[SERVED])]);
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<_> = out.lines().collect();
    assert!(lines[0].contains(r#""node":"10.0.0.1:70""#) && lines[0].contains(r#""xid":"c:p""#));
    assert!(lines[1].contains(r#"{"on":true,"what":"conclude","xid":"c:q"}"#));
    assert_eq!(lines[2], r#"{"parts":[],"turn":3}"#);
    assert!(String::from_utf8_lossy(&output.stderr).contains("eclipse: unknown kind of event, skipped"));
    assert!(output.status.success());
}

#[test]
fn unlisted_tenant_is_served() {
    let query = QUERY.replace(r#""query":1,"#, r#""query":1,"owner":7,"#);
    let output = run(&[batch(1, &[INIT, ENDPOINT_LIST, &query]), batch(2, &[SERVED])]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("conclude"));
}

#[test]
fn restarted_instance_has_no_state() {
    let stop = r#"{"what":"shutdown"}"#;
    let output = run(&[
        batch(1, &[INIT, ENDPOINT_LIST, QUERY]),
        batch(2, &[stop, INIT, ENDPOINT_LIST]),
        batch(3, &[SERVED]),
    ]);
    assert!(output.status.success());
    assert!(!String::from_utf8_lossy(&output.stdout).contains("conclude"));
}

/// The `observe` order polls the list: at the start, and again after a refused poll.
#[test]
fn list_sent_on_request_is_polled() {
    let init = INIT
        .replace(r#""news":7"#, r#""discovery":"on_request""#)
        .replace(r#""coldFrom""#, r#""mustAskInMs":2000,"coldFrom""#);
    let refused = r#"{"what":"directoryUpdate","form":"refused","gen":0,"setId":0}"#;
    let wake = r#"{"what":"timeoutFired","cookie":0}"#;
    let output = run(&[batch(1, &[&init, ENDPOINT_LIST]), batch(2, &[refused]), batch(3, &[wake])]);
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    let polls: Vec<_> = out.lines().map(|l| l.contains(r#"{"on":true,"what":"observe"}"#)).collect();
    assert_eq!(polls, [true, false, true], "{out}");
}

#[rstest]
#[case::not_json("{", "batch: not JSON")]
#[case::missing_clock(r#"{"turn":1,"parts":[]}"#, "batch: clockMs: missing")]
#[case::missing_field(&batch(1, &[INIT, ENDPOINT_LIST, &QUERY.replace(r#""query":1,"#, "")]), "arrival: query: missing")]
#[case::unregistered_list(&batch(1, &[INIT, &ENDPOINT_LIST.replace("ed\",\"setId\":3", "ed\",\"setId\":4")]), "setId: no list 4")]
#[case::unknown_query_class(&batch(1, &[INIT, ENDPOINT_LIST, &QUERY.replace(r#""cls":0"#, r#""cls":9"#)]), "arrival: cls")]
#[case::missing_part(&batch(1, &[INIT, ENDPOINT_LIST, &QUERY.replace(r#""shareOrCount":1"#, r#""shareOrCount":2"#)]),
    "arrival: shareOrCount: 2 parts announced, 1 received")]
#[case::missing_setting(&batch(1, &[&INIT.replace(r#""coldMs":9000,"#, "")]), "init params: rules.coldMs: missing")]
#[case::unknown_outcome(&batch(1, &[INIT, ENDPOINT_LIST, QUERY, &SERVED.replace("GOOD", "FINE")]), "answer: outcome: unknown value 'FINE'")]
fn invalid_input_is_reported_and_ends_the_process(#[case] line: &str, #[case] message: &str) {
    let output = run(&[line.to_string()]);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
}
