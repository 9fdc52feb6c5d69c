//! Every way in which a connection can end, and what each means for the parts that were out on it.

use std::fmt;
use std::io;

use dunepond_prefilter::RequestFailure;
use dunepond_routing::AttemptOutcome;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// There is no address or room in the loop for it.
    NoMeans,
    /// The process has no descriptor left for it.
    NoDescriptor,
    Refused,
    /// Not up within the connect limit.
    NeverUp,
    Reset,
    /// The peer closed it in order.
    Closed,
    /// The peer sent what cannot be read.
    Garbled,
    /// The node could not use a frame of ours.
    Complaint,
    /// A frame of which a part was written had to be taken back.
    CutShort,
    /// The process behind it is known to have been replaced.
    Replaced,
    /// We closed it while nothing was out.
    Unused,
    /// The peer did not send or take the rest within its time.
    Stalled,
    /// It took too little of a body that passes, and the others wait for it.
    Outpaced,
    /// The body of a frame that was half written can be had no more.
    BodyLost,
}

impl Ending {
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => {
                Self::NeverUp
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
            (Self::NoMeans | Self::NoDescriptor, _) => AttemptOutcome::NotSent,
            (_, false) => AttemptOutcome::ConnectFailed,
            (_, true) => AttemptOutcome::ConnectionLost,
        }
    }

    /// Why a question is not answered that was out when its connection ended.
    pub fn unanswered(self) -> RequestFailure {
        match self {
            Self::Complaint | Self::Closed => RequestFailure::Unsupported,
            Self::Garbled => RequestFailure::Malformed,
            Self::Stalled => RequestFailure::Timeout,
            Self::Replaced => RequestFailure::NodeGone,
            _ => RequestFailure::NoConnection,
        }
    }
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::NoMeans => "could not be opened",
            Self::NoDescriptor => "found no descriptor",
            Self::Refused => "refused",
            Self::NeverUp => "never came up",
            Self::Reset => "broke",
            Self::Closed => "closed by the peer",
            Self::Garbled => "sent what cannot be read",
            Self::Complaint => "could not use a frame",
            Self::CutShort => "closed with a frame half written",
            Self::Replaced => "belonged to a process that was replaced",
            Self::Unused => "closed unused",
            Self::Stalled => "stalled",
            Self::Outpaced => "took too little of a passing body",
            Self::BodyLost => "had a frame half written whose body is lost",
        })
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(Ending::NoMeans, AttemptOutcome::NotSent, AttemptOutcome::NotSent)]
    #[case(Ending::NoDescriptor, AttemptOutcome::NotSent, AttemptOutcome::NotSent)]
    #[case(Ending::Refused, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::NeverUp, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Reset, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Closed, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Garbled, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Complaint, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::CutShort, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Replaced, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Unused, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Stalled, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::Outpaced, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    #[case(Ending::BodyLost, AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost)]
    fn only_the_last_byte_of_its_frame_makes_a_part_one_that_may_have_run(
        #[case] ending: Ending,
        #[case] unwritten: AttemptOutcome,
        #[case] written: AttemptOutcome,
    ) {
        assert_eq!((ending.end(false), ending.end(true)), (unwritten, written));
    }

    #[rstest]
    #[case(io::ErrorKind::ConnectionRefused, Ending::Refused)]
    #[case(io::ErrorKind::TimedOut, Ending::NeverUp)]
    #[case(io::ErrorKind::ConnectionReset, Ending::Reset)]
    #[case(io::ErrorKind::BrokenPipe, Ending::Reset)]
    fn an_error_of_the_system_is_one_of_the_endings(#[case] kind: io::ErrorKind, #[case] ending: Ending) {
        assert_eq!(Ending::of(&kind.into()), ending);
    }
}
