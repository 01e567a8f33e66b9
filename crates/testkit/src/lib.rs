//! Fault-injecting proxy, sample backend server and history checker.
