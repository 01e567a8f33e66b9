//! Witness state, claims, freshness and rate allocation without I/O.
