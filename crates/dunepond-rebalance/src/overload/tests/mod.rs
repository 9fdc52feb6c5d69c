use super::OverloadMonitor;

const BROKERS: [&str; 4] = ["a", "b", "c", "d"];

/// Time in seconds of a change of the monitor's result, and the new result.
type Change = (f64, bool);

/// Changes of the monitor's result over 40 seconds, while two of four brokers report overload at the given times.
fn changes(is_overloaded_at: impl Fn(f64) -> bool) -> Vec<Change> {
    let (mut monitor, mut before, mut changes) = (OverloadMonitor::default(), false, Vec::new());
    for tenths in 0..400 {
        let now = f64::from(tenths) / 10.0;
        for (index, broker) in BROKERS.iter().enumerate() {
            monitor.record_report(now, broker, index < 2 && is_overloaded_at(now));
        }
        let after = monitor.update(now, 3.0);
        if after != before {
            changes.push((now, after));
        }
        before = after;
    }
    changes
}

// Guards against plans that pause and resume each time the load fluctuates.
#[test]
fn result_changes_only_after_the_minimum_time() {
    assert_eq!(changes(|now| (10.0..20.0).contains(&now)), [(11.0, true), (25.0, false)]);
    // If brokers report overload in the first half of each second only, running plans do not pause, and paused plans do
    // not resume.
    assert_eq!(changes(|now| now.fract() < 0.5), []);
    assert_eq!(changes(|now| now < 5.0 || now.fract() < 0.5), [(1.0, true)]);
}

// Guards against a plan that stays paused because a broker that reported overload sends no further reports.
#[test]
fn old_reports_expire() {
    let mut monitor = OverloadMonitor::default();
    monitor.record_report(0.0, "a", true);
    assert!(!monitor.update(0.0, 3.0));
    assert!(monitor.update(1.0, 3.0));
    assert!(monitor.update(4.0, 3.0));
    assert!(!monitor.update(9.0, 3.0));
}
