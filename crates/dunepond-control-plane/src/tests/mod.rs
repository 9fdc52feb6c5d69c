//! Tests of what several modules of this crate share.

pub(crate) mod golden;
