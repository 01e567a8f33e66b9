//! Entry proxy of the fleet.
