use super::IterationTimes;

/// An iteration whose poll begins and ends at these times.
fn iterate(times: &mut IterationTimes, poll_began_at: f64, began_at: f64) {
    times.poll_begins(poll_began_at);
    times.iteration_begins(began_at);
}

#[test]
fn events_arrive_after_the_previous_iteration_began() {
    let mut times = IterationTimes::new(1.0);
    iterate(&mut times, 1.01, 1.05);
    assert_eq!(times.events_since(), 1.0);
    iterate(&mut times, 1.06, 1.16);
    assert_eq!((times.events_since(), times.previous_began_at(), times.began_at()), (1.05, 1.05, 1.16));
}

/// Events of an iteration that handled its own for long have waited since that one began.
#[test]
fn a_stall_between_polls_counts_from_the_iteration_before() {
    let mut times = IterationTimes::new(1.0);
    iterate(&mut times, 1.01, 1.05);
    iterate(&mut times, 1.65, 1.65);
    assert_eq!(times.events_since(), 1.05);
    iterate(&mut times, 1.66, 1.70);
    assert_eq!(times.events_since(), 1.65);
}

/// A SIGTERM that came while the process was stopped between a poll and its clock was dated after the stop.
#[test]
fn a_stall_at_a_poll_counts_from_before_that_poll() {
    let mut times = IterationTimes::new(1.0);
    iterate(&mut times, 1.01, 1.05);
    iterate(&mut times, 1.06, 1.65);
    assert_eq!(times.events_since(), 1.05);
    iterate(&mut times, 1.651, 1.652);
    assert_eq!(times.events_since(), 1.06);
    iterate(&mut times, 1.66, 1.70);
    assert_eq!(times.events_since(), 1.652);
}
