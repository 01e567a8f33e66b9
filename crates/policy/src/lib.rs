//! Gray-failure detection, ejection, routing and retry decisions without I/O.
