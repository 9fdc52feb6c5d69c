//! Bounds the places in flight that the searches of one request may take, as a request may have many.

/// Share of the queries and parts that may be in flight up to which a request gets searches beyond its first one. The rest is
/// left to other requests.
const MAX_FURTHER_SEARCHES_RATIO: f64 = 0.5;

/// Whether a request whose first search is admitted gets another one, with `in_flight` of at most `max_in_flight` queries and
/// parts in flight.
pub fn admits_further_search(in_flight: usize, max_in_flight: usize) -> bool {
    (in_flight as f64) < MAX_FURTHER_SEARCHES_RATIO * max_in_flight as f64
}
