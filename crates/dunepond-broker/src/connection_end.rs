//! The ways in which a connection can end, and the outcome of the attempts on it.

use std::fmt;
use std::io;

use dunepond_prefilter::RequestFailure;
use dunepond_routing::AttemptOutcome;

/// Why a connection ended, or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    /// The peer has no address, the limit on connections is reached, or a local error kept the connection from opening.
    LocalResources,
    /// This process has no file descriptor left for the connection.
    DescriptorsExhausted,
    /// The peer refused the connection.
    Refused,
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
    /// The peer reset the connection, or the network failed.
    Reset,
    /// The peer closed the connection.
    Closed,
    /// The peer sent a malformed message.
    ProtocolError,
    /// The node reported that it could not use a frame of the broker.
    RejectedByPeer,
    /// The broker closed the connection to withdraw a partly written frame.
    FrameAborted,
    /// The node's process is known to have been replaced by a new one.
    Replaced,
    /// The broker closed the connection while it was idle.
    IdleClosed,
    /// The peer did not send or read the rest of a message in time.
    IoTimeout,
    /// The peer read too little: of a body that is passed through, while its other readers waited, or of responses, while others
    /// needed the memory.
    SlowConsumer,
    /// The broker closed the connection as others needed its memory.
    OutOfMemory,
    /// The broker closed the connection because the body of a partly written frame was lost.
    BodyLost,
}

impl ConnectionEnd {
    /// Returns how a connection has ended if this system error occurred on it.
    pub fn from_io_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => {
                Self::ConnectTimeout
            }
            _ => Self::Reset,
        }
    }

    /// Whether what the peer has not received is discarded as the broker closes the connection. The system would hold it for as
    /// long as the peer stays and does not read.
    pub fn discards_unsent(self) -> bool {
        matches!(self, Self::IoTimeout | Self::SlowConsumer | Self::OutOfMemory | Self::IdleClosed)
    }

    /// Returns the outcome of an attempt on a connection that has ended. `written` says whether the last byte of the
    /// attempt's frame had been written. Whether the attempt may have run depends only on that: the system reports
    /// the same errors for a broken connection as for one that was never established.
    pub fn attempt_outcome(self, written: bool) -> AttemptOutcome {
        match (self, written) {
            // A shortage of resources in this process must not count against the node.
            (Self::LocalResources | Self::DescriptorsExhausted, _) => AttemptOutcome::NotSent,
            (_, false) => AttemptOutcome::ConnectFailed,
            (_, true) => AttemptOutcome::ConnectionLost,
        }
    }

    /// Returns why a prefilter request on a connection that has ended has no response.
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
            Self::ProtocolError => "closed: the peer sent a malformed message",
            Self::RejectedByPeer => "closed: the peer rejected a frame",
            Self::FrameAborted => "closed to withdraw a partly written frame",
            Self::Replaced => "closed: the node's process was replaced",
            Self::IdleClosed => "closed while idle",
            Self::IoTimeout => "timed out while reading or writing",
            Self::SlowConsumer => "read a streamed body too slowly",
            Self::OutOfMemory => "closed: others needed its memory",
            Self::BodyLost => "closed: the body of a partly written frame was lost",
        })
    }
}

#[cfg(test)]
mod tests;
