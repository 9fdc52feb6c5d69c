//! After a client closes its connection, no attempt is sent for it, whatever other events arrive at the same time.

mod attempts;
mod detection;
mod harness;
mod late_connection;
