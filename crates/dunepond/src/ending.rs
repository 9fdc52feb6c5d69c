//! Every way in which a connection can end, and what each means for the parts that were out on it.

use std::fmt;
use std::io;

use dunepond_decide::End;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// There is no address, descriptor or room in the loop for it.
    NoMeans,
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
    /// The peer takes nothing any more.
    Clogged,
    /// A frame of which a part was written had to be taken back.
    CutShort,
    /// The process behind it is known to have been replaced.
    Replaced,
    /// We closed it while nothing was out.
    Unused,
    /// The peer did not send or take the rest within its time.
    Stalled,
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
    /// last byte of its frame had been written.
    pub fn end(self, written: bool) -> End {
        match self {
            // These come before anything can be written.
            Self::NoMeans | Self::Refused | Self::NeverUp => End::NoConnection,
            Self::Reset
            | Self::Closed
            | Self::Garbled
            | Self::Complaint
            | Self::Clogged
            | Self::CutShort
            | Self::Replaced
            | Self::Unused
            | Self::Stalled => match written {
                true => End::Dropped,
                false => End::NoConnection,
            },
        }
    }
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::NoMeans => "could not be opened",
            Self::Refused => "refused",
            Self::NeverUp => "never came up",
            Self::Reset => "broke",
            Self::Closed => "closed by the peer",
            Self::Garbled => "sent what cannot be read",
            Self::Complaint => "could not use a frame",
            Self::Clogged => "takes nothing any more",
            Self::CutShort => "closed with a frame half written",
            Self::Replaced => "belonged to a process that was replaced",
            Self::Unused => "closed unused",
            Self::Stalled => "stalled",
        })
    }
}
