//! Replicated log for control state without I/O.
