use super::OverloadMonitor;

const BROKERS: [&str; 4] = ["a", "b", "c", "d"];

/// A change of the monitor's verdict.
type Change = (f64, bool);

/// Two of four brokers report overload at the given times; says when the verdict changes.
fn changes(is_overloaded_at: impl Fn(f64) -> bool) -> Vec<Change> {
    let (mut monitor, mut before, mut changes) = (OverloadMonitor::default(), false, Vec::new());
    for tenth in 0..400 {
        let now = f64::from(tenth) / 10.0;
        for (place, broker) in BROKERS.iter().enumerate() {
            monitor.record_report(now, broker, place < 2 && is_overloaded_at(now));
        }
        let after = monitor.update(now, 3.0);
        if after != before {
            changes.push((now, after));
        }
        before = after;
    }
    changes
}

#[test]
fn hysteresis() {
    assert_eq!(changes(|now| (10.0..20.0).contains(&now)), [(11.0, true), (25.0, false)]);
    // Half a second in each second is neither.
    assert_eq!(changes(|now| now.fract() < 0.5), []);
    assert_eq!(changes(|now| now < 5.0 || now.fract() < 0.5), [(1.0, true)]);
}

#[test]
fn old_reports_expire() {
    let mut monitor = OverloadMonitor::default();
    monitor.record_report(0.0, "a", true);
    assert!(!monitor.update(0.0, 3.0));
    assert!(monitor.update(1.0, 3.0));
    assert!(monitor.update(4.0, 3.0));
    assert!(!monitor.update(9.0, 3.0));
}
