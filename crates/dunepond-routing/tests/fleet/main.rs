//! Limits that many brokers keep together without communicating: slow start, probation attempts, retries and closed
//! connections, summed over all brokers of a fleet in simulated time.

mod harness;
mod lost_zone;
mod nodes;
mod slow_start;
mod slow_start_events;
mod transport;
