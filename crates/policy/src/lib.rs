//! Gray-failure detection, ejection, routing and retry decisions without I/O.
//!
//! Every function takes the time as a `Duration` since an arbitrary start of the calling process.
//! Times never cross processes; messages carry remaining durations. Randomness is a generator
//! passed by the caller.

pub mod budget;
pub mod fair_queue;
pub mod hedge;

pub mod balancer;
pub mod evidence;
pub mod floor;
pub mod key;
pub mod latency;
pub mod path;
pub mod poison;
pub mod quarantine;
pub mod verdict;

pub use balancer::{Balancer, Member, Pick, PickRequest, subset_size};
pub use evidence::{Cell, Completion, DispatchId, Recorder};
pub use floor::Capacity;
pub use key::{RequestClass, ServerKey, ServiceKey};
pub use path::PathAvoidance;
pub use poison::{PoisonRegistry, TicketId, TicketOutcome, TicketResponse};
pub use quarantine::{CrashWatch, Fingerprint, QuarantineView};
pub use verdict::{LocalStanding, Standing, Verdict, VerdictUpdate, VerdictVersion, VerdictView};
