//! Tests that concern several modules of this crate.

pub(crate) mod golden;
