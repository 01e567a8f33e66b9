//! Whole fleet embedded in one process.
