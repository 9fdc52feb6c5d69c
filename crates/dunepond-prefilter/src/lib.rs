//! Two-phase scans: ask first which segments can match, then search only those.
//!
//! A pure core. The host calls [`Phases::open`] for a scan that may be asked about first, carries the questions that
//! it orders to nodes, tells what came back, and is told what is to be searched. It never knows a socket, and `now` is
//! handed in. Times are seconds; nodes, segments and table types are small indices; a text is known by a hash of it.
//!
//! What may be left out rests on evidence ([`evidence`]): two holders that say the same of the same version, or one and
//! our own last search of it. Whose word was found false is worth nothing until it has been right again for long
//! enough ([`trust`]). Who cannot be asked is left alone for a while ([`reach`]). Whether asking first pays at all is learned by table type ([`worth`]).

pub mod evidence;
mod phases;
pub mod reach;
pub mod trust;
pub mod worth;

pub use evidence::Grounds;
pub use phases::{Audit, Counts, Fleet, Left, Order, Phases, Question, ScanId, Terms, Verdict, Wide};
pub use reach::Unanswered;

pub type NodeId = usize;
pub type Seg = usize;
/// The content of a segment, as its holders number it.
pub type Version = u64;
/// A hash of a scan's text and table type.
pub type Key = u64;

/// What a node says of one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    MayMatch,
    CannotMatch,
    DontKnow,
}
