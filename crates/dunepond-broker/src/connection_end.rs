//! How a connection can end, and the outcome of the attempts that were on it.

use std::fmt;
use std::io;

use dunepond_prefilter::RequestFailure;
use dunepond_routing::AttemptOutcome;

/// Why a connection ended, or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    /// The node has no address, or this process has no room for another connection.
    LocalResources,
    /// The process has no descriptor left for it.
    DescriptorsExhausted,
    /// The peer refused it.
    Refused,
    /// It was not established within the connect timeout.
    ConnectTimeout,
    /// The peer reset it, or the network failed.
    Reset,
    /// The peer closed it.
    Closed,
    /// The peer sent a malformed message.
    ProtocolError,
    /// The node could not use a frame of ours.
    RejectedByPeer,
    /// A partly written frame had to be withdrawn.
    FrameAborted,
    /// The process behind it is known to have been replaced.
    Replaced,
    /// We closed it while it carried nothing.
    IdleClosed,
    /// The peer did not send or read the rest in time.
    IoTimeout,
    /// It read too little of a pass-through body while the other readers waited.
    SlowConsumer,
    /// The body of a partly written frame was lost.
    BodyLost,
}

impl ConnectionEnd {
    /// How an error of the system ends a connection.
    pub fn from_io_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => {
                Self::ConnectTimeout
            }
            _ => Self::Reset,
        }
    }

    /// The outcome of an attempt on this connection. Whether it may have run depends only on whether the last byte of its
    /// frame had been written: the system reports the same errors for a broken connection as for one that was never
    /// established.
    pub fn attempt_outcome(self, written: bool) -> AttemptOutcome {
        match (self, written) {
            // A local shortage must not count against the node.
            (Self::LocalResources | Self::DescriptorsExhausted, _) => AttemptOutcome::NotSent,
            (_, false) => AttemptOutcome::ConnectFailed,
            (_, true) => AttemptOutcome::ConnectionLost,
        }
    }

    /// Why a prefilter request on this connection has no answer.
    pub fn request_failure(self) -> RequestFailure {
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
mod tests;
