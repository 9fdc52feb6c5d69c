use rstest::rstest;

use super::*;

#[rstest]
#[case(ConnectionEnd::LocalResources, AttemptOutcome::NotSent, AttemptOutcome::NotSent)]
#[case(ConnectionEnd::DescriptorsExhausted, AttemptOutcome::NotSent, AttemptOutcome::NotSent)]
#[case(ConnectionEnd::Refused, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::ConnectTimeout, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::Reset, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::Closed, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::ProtocolError, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::RejectedByPeer, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::FrameAborted, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::Replaced, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::IdleClosed, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::IoTimeout, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::SlowConsumer, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
#[case(ConnectionEnd::BodyLost, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
fn attempt_outcome_depends_on_the_last_byte(
    #[case] connection_end: ConnectionEnd,
    #[case] if_not_fully_written: AttemptOutcome,
    #[case] if_fully_written: AttemptOutcome,
) {
    assert_eq!(
        (connection_end.attempt_outcome(false), connection_end.attempt_outcome(true)),
        (if_not_fully_written, if_fully_written)
    );
}

#[rstest]
#[case(io::ErrorKind::ConnectionRefused, ConnectionEnd::Refused)]
#[case(io::ErrorKind::TimedOut, ConnectionEnd::ConnectTimeout)]
#[case(io::ErrorKind::ConnectionReset, ConnectionEnd::Reset)]
#[case(io::ErrorKind::BrokenPipe, ConnectionEnd::Reset)]
fn io_error_maps_to_connection_end(#[case] kind: io::ErrorKind, #[case] connection_end: ConnectionEnd) {
    assert_eq!(ConnectionEnd::from_io_error(&kind.into()), connection_end);
}
