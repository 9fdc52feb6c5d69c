use super::*;

#[test]
fn timers_fire_in_order_unless_cancelled() {
    let mut timers = Timers::default();
    timers.schedule(3.0, TimerEvent::Discovery);
    let cancelled = timers.schedule(1.0, TimerEvent::RouterWake);
    timers.schedule(2.0, TimerEvent::ResumeAccept);
    timers.cancel(Some(cancelled));
    assert_eq!(timers.until_next(1.5), Some(Duration::from_millis(500)));
    assert_eq!(timers.pop_due(1.9), None);
    assert_eq!(
        (timers.pop_due(9.0), timers.pop_due(9.0)),
        (Some(TimerEvent::ResumeAccept), Some(TimerEvent::Discovery))
    );
    assert_eq!(timers.until_next(9.0), None);
}
