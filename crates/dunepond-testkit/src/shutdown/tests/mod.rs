use super::*;

const MS: Duration = Duration::from_millis(1);

/// A violation's record says what the process did: one that stays stopped until the kill has not run since its stop.
#[test]
fn violation_has_record_of_stopped_process() {
    let mut plan = ShutdownPlan::draw(1);
    plan.brokers.truncate(1);
    plan.brokers[0].pauses = vec![Pause { from: 100 * MS, duration: 2 * plan.kill_after() }];
    let program = stand_ins::broker_program();
    let report = run_plan(&program, &plan);
    assert!(report.violation_count(Violation::UnansweredAtKill) > 0, "{report:?}");
    let [record] = &report.process_records[..] else { panic!("{:?}", report.process_records) };
    assert!(record.log.contains("listening on"), "{record}");
    let kill = record.signals.last().expect("the kill");
    assert_eq!(kill.signal, Signal::SIGKILL);
    assert_eq!(kill.threads[0].state, 'T', "{record}");
    let stop = record.signals.iter().find(|sent| sent.signal == Signal::SIGSTOP).expect("the stop");
    assert!(stop.threads[0].run_time > Duration::ZERO, "{record}");
    let run_time_after_stop = kill.threads[0].run_time.saturating_sub(stop.threads[0].run_time);
    assert!(run_time_after_stop < 100 * MS, "{record}");
    assert!(record.to_string().contains("SIGSTOP"), "{record}");
}

#[test]
fn run_without_violation_has_no_record() {
    let mut plan = ShutdownPlan::draw(1);
    plan.brokers.truncate(1);
    plan.brokers[0].pauses.clear();
    let report = run_plan(&stand_ins::broker_program(), &plan);
    assert_eq!(report.violations.len(), 0, "{report:?}");
    assert_eq!(report.process_records.len(), 0);
}
