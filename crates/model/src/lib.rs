//! Types that all programs of the fleet share: identifiers, units, service documents, routing configuration,
//! announcements, key hashes and result codes.
//!
//! This crate does no I/O.

pub mod announcement;
pub mod config;
pub mod config_details;
pub mod document;
pub mod fingerprint;
pub mod id;
pub mod key;
pub mod presence;
pub mod result_code;
pub mod routing;
pub mod unit;

pub use announcement::{Announcement, BackendState};
pub use config::{Change, ChangeRecord, FleetConfig, KeyRecord, ServiceEntry};
pub use config_details::{ConfigDetails, ServiceWarmup};
pub use document::{Access, OrganisationLimit, Route, ServiceDocument};
pub use fingerprint::Fingerprint;
pub use id::{
    AvailabilityZone, BackendServerId, Incarnation, InstanceId, KeyId, OrganisationId, Revision,
    ServiceId, SubmissionId,
};
pub use key::{KeyHash, OrganisationKey};
pub use presence::{
    GatewayPresence, InvalidServerIncarnation, OrganisationDemand, RequestCrash, Retirement,
    ServerEvidence, ServerIncarnation, ServerPresence, SuspectRequest, mix_hash, name_hash,
    short_name_key,
};
pub use result_code::{Outcome, Refusal, ResultCode};
pub use routing::{
    CallerLimits, HostRoutes, KeyRequirement, Organisation, RoutePart, RoutedService,
    RoutingConfig, RoutingError, RoutingRule, RoutingTable,
};
pub use unit::{ByteSize, Percent, RatePerSecond};
