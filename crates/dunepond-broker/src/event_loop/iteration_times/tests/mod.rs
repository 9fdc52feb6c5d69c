use super::IterationTimes;

/// Records an iteration whose poll begins at `poll_began_at` and returns at `began_at`.
fn iterate(times: &mut IterationTimes, poll_began_at: f64, began_at: f64) {
    times.record_poll_start(poll_began_at);
    times.record_iteration_start(began_at);
}

#[test]
fn events_arrive_after_the_previous_iteration_began() {
    let mut times = IterationTimes::new(1.0);
    iterate(&mut times, 1.01, 1.05);
    assert_eq!(times.earliest_arrival(), 1.0);
    iterate(&mut times, 1.06, 1.16);
    assert_eq!((times.earliest_arrival(), times.previous_began_at(), times.began_at()), (1.05, 1.05, 1.16));
}

/// While an iteration takes long to handle its events, new events wait. They may have arrived at any time since that
/// iteration began.
#[test]
fn stall_between_polls_counts_from_the_previous_iteration() {
    let mut times = IterationTimes::new(1.0);
    iterate(&mut times, 1.01, 1.05);
    iterate(&mut times, 1.65, 1.65);
    assert_eq!(times.earliest_arrival(), 1.05);
    iterate(&mut times, 1.66, 1.70);
    assert_eq!(times.earliest_arrival(), 1.65);
}

/// Guards against dating a SIGTERM too late: a SIGTERM that came while the process was stopped between a poll and the
/// following reading of the clock was dated after the stop.
#[test]
fn stall_after_a_poll_counts_from_before_that_poll() {
    let mut times = IterationTimes::new(1.0);
    iterate(&mut times, 1.01, 1.05);
    iterate(&mut times, 1.06, 1.65);
    assert_eq!(times.earliest_arrival(), 1.05);
    iterate(&mut times, 1.651, 1.652);
    assert_eq!(times.earliest_arrival(), 1.06);
    iterate(&mut times, 1.66, 1.70);
    assert_eq!(times.earliest_arrival(), 1.652);
}
