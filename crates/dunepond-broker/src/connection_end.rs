//! Every way in which a connection can end, and the outcome of each attempt that was on it.

use std::fmt;
use std::io;

use dunepond_prefilter::RequestFailure;
use dunepond_routing::AttemptOutcome;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    /// There is no address or room in the loop for it.
    LocalResources,
    /// The process has no descriptor left for it.
    DescriptorsExhausted,
    Refused,
    /// Not up within the connect limit.
    ConnectTimeout,
    Reset,
    /// The peer closed it in order.
    Closed,
    /// The peer sent what cannot be read.
    ProtocolError,
    /// The node could not use a frame of ours.
    RejectedByPeer,
    /// A frame of which a part was written had to be taken back.
    FrameAborted,
    /// The process behind it is known to have been replaced.
    Replaced,
    /// We closed it while nothing was out.
    IdleClosed,
    /// The peer did not send or take the rest within its time.
    IoTimeout,
    /// It took too little of a body that passes, and the others wait for it.
    SlowConsumer,
    /// The body of a frame that was half written can be had no more.
    BodyLost,
}

impl ConnectionEnd {
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => {
                Self::ConnectTimeout
            }
            _ => Self::Reset,
        }
    }

    /// How a part ends that was out when its connection did: whether it may have run goes by whether the
    /// last byte of its frame had been written, however the end came; the system reports a long silence or
    /// a lost way on a connection that was up with the same errors as on one that never was.
    pub fn end(self, written: bool) -> AttemptOutcome {
        match (self, written) {
            // Our own lack must not be held against the node.
            (Self::LocalResources | Self::DescriptorsExhausted, _) => AttemptOutcome::NotSent,
            (_, false) => AttemptOutcome::ConnectFailed,
            (_, true) => AttemptOutcome::ConnectionLost,
        }
    }

    /// Why a question is not answered that was out when its connection ended.
    pub fn unanswered(self) -> RequestFailure {
        match self {
            Self::RejectedByPeer | Self::Closed => RequestFailure::Unsupported,
            Self::ProtocolError => RequestFailure::Malformed,
            Self::IoTimeout => RequestFailure::Timeout,
            Self::Replaced => RequestFailure::NodeGone,
            _ => RequestFailure::NoConnection,
        }
    }
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::LocalResources => "could not be opened",
            Self::DescriptorsExhausted => "could not be opened: no file descriptor left",
            Self::Refused => "refused",
            Self::ConnectTimeout => "timed out while connecting",
            Self::Reset => "was reset",
            Self::Closed => "closed by the peer",
            Self::ProtocolError => "sent an unreadable message",
            Self::RejectedByPeer => "closed: the peer rejected a frame",
            Self::FrameAborted => "closed with a partly written frame",
            Self::Replaced => "belonged to a process that was replaced",
            Self::IdleClosed => "closed while idle",
            Self::IoTimeout => "stalled",
            Self::SlowConsumer => "read a streamed body too slowly",
            Self::BodyLost => "closed: the body of a partly written frame was lost",
        })
    }
}

#[cfg(test)]
mod tests {
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
    fn only_the_last_byte_of_its_frame_makes_a_part_one_that_may_have_run(
        #[case] ending: ConnectionEnd,
        #[case] unwritten_bytes: AttemptOutcome,
        #[case] written: AttemptOutcome,
    ) {
        assert_eq!((ending.end(false), ending.end(true)), (unwritten_bytes, written));
    }

    #[rstest]
    #[case(io::ErrorKind::ConnectionRefused, ConnectionEnd::Refused)]
    #[case(io::ErrorKind::TimedOut, ConnectionEnd::ConnectTimeout)]
    #[case(io::ErrorKind::ConnectionReset, ConnectionEnd::Reset)]
    #[case(io::ErrorKind::BrokenPipe, ConnectionEnd::Reset)]
    fn an_error_of_the_system_is_one_of_the_endings(
        #[case] kind: io::ErrorKind,
        #[case] ending: ConnectionEnd,
    ) {
        assert_eq!(ConnectionEnd::of(&kind.into()), ending);
    }
}
