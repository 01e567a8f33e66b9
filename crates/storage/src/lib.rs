//! Data folder of a control instance: log and snapshots.
