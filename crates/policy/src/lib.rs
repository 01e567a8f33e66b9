//! Gray-failure detection, ejection, routing and retry decisions without I/O.
//!
//! Every function takes the time as a `Duration` since an arbitrary start of the calling process.
//! Times never cross processes; messages carry remaining durations. Randomness is a generator
//! passed by the caller.

pub mod admission;
mod alarm;
mod answer_source;
pub mod balancer;
pub mod budget;
pub mod byte_budget;
pub mod cost;
pub mod detector;
pub mod ejection;
pub mod evidence;
pub mod explanation;
mod fair_order;
pub mod fair_queue;
pub mod floor;
pub mod hedge;
pub mod intake;
pub mod intake_table;
pub mod key;
pub mod latency;
pub mod leader;
pub mod lost_requests;
pub mod path;
pub mod placement;
mod planned_stop;
pub mod poison;
mod pooled_evidence;
pub mod probation;
pub mod quarantine;
pub mod quota;
mod rates;
pub mod reachability;
pub mod retry_budget;
pub mod retry_reserve;
pub mod return_time;
mod rollout;
pub mod router;
mod scoring;
mod service_times;
pub mod urgency;
pub mod verdict;
pub mod warmup;

pub use answer_source::AnswerSource;
pub use balancer::{Balancer, Member, Pick, PickRequest, subset_size};
pub use byte_budget::{ByteBudget, ByteUse, HeldBytes, LinkPace};
pub use cost::{CostEstimate, CostModel, Observation, RequestKind};
pub use detector::{Detector, ServerInfo};
pub use ejection::EjectionController;
pub use evidence::{Completion, DispatchId, EvidenceCell, Recorder};
pub use explanation::{Action, Cause, Decision, Evidence, Finding};
pub use floor::Capacity;
pub use intake::{Intake, NoNewRequests, PauseChange, RetryAfter};
pub use intake_table::IntakeTable;
pub use key::{RequestClass, ServerKey, ServiceKey};
pub use leader::{HealthLeader, HealthReport, HealthResponse, PathFault};
pub use lost_requests::LostRequests;
pub use path::PathAvoidance;
pub use planned_stop::StopPlan;
pub use poison::{PoisonRegistry, TicketId, TicketOutcome, TicketResponse};
pub use quarantine::{CrashId, CrashWatch, QuarantineView};
pub use router::{Router, Strategy};
pub use urgency::Urgency;
pub use verdict::{LocalStanding, Standing, Verdict, VerdictUpdate, VerdictVersion, VerdictView};
