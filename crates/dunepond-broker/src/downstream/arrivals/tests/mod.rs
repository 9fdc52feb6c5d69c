use super::*;

#[test]
fn request_arrives_with_its_first_byte() {
    let mut arrivals = ArrivalTimes::new(1.0);
    arrivals.mark_drained();
    arrivals.record(100, 2.0);
    arrivals.record(50, 2.001);
    arrivals.record(30, 3.0);
    let first = [180, 31, 30, 1, 0].map(|unparsed_bytes| arrivals.first_unparsed_at(unparsed_bytes));
    assert_eq!(first, [Some(2.0), Some(2.0), Some(3.0), Some(3.0), None]);
    arrivals.record(10, 4.0);
    assert_eq!(arrivals.first_unparsed_at(10), Some(4.0));
}

#[test]
fn first_read_counts_from_the_connect() {
    let mut arrivals = ArrivalTimes::new(1.0);
    arrivals.record(100, 2.0);
    assert_eq!(arrivals.first_unparsed_at(100), Some(1.0));
    arrivals.mark_drained();
    arrivals.record(10, 3.0);
    assert_eq!(arrivals.first_unparsed_at(10), Some(3.0));
}
