//! Numbered result codes. A test compares them with the table in `docs/result-codes.md`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the request was executed, as far as the fleet knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A backend server answered the request, or a submission was committed.
    Done,
    /// The request was not executed.
    NotRun,
    /// The request may have been executed.
    OutcomeUnknown,
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)*) => {
        /// Numbered result code with its HTTP status and outcome.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status of responses with the code.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether a request with this result was executed.
            #[must_use]
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// Returns the stable name of the code, as used in responses.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

result_codes! {
    /// A backend server answered the request.
    Answered = 1000, 200, Done, "answered";
    /// The response is the recorded answer to an earlier attempt with the same idempotency key.
    Replayed = 1001, 200, Done, "replayed";
    /// The submission is committed and in force on all instances.
    InForce = 1002, 200, Done, "in_force";
    /// The submission is committed but not yet confirmed to be in force on all instances.
    Committed = 1003, 202, Done, "committed";
    /// No route matches the host and path of the request.
    NoRoute = 2000, 404, NotRun, "no_route";
    /// The route needs an organisation key.
    KeyMissing = 2001, 401, NotRun, "key_missing";
    /// The key is unknown or withdrawn.
    KeyUnknown = 2002, 401, NotRun, "key_unknown";
    /// The instance cannot prove that its configuration is current.
    NotFresh = 2003, 503, NotRun, "not_fresh";
    /// The organisation may not call this service.
    OrganisationNotAllowed = 2004, 403, NotRun, "organisation_not_allowed";
    /// The organisation has exceeded its rate limit and burst.
    RateExceeded = 2005, 429, NotRun, "rate_exceeded";
    /// The service has no backend server that accepts requests.
    NoBackendServer = 2006, 503, NotRun, "no_backend_server";
    /// The service has no free capacity before the deadline of the request.
    Overloaded = 2007, 503, NotRun, "overloaded";
    /// The deadline passed before the request was sent to a backend server.
    DeadlineExpired = 2008, 504, NotRun, "deadline_expired";
    /// The route is not idempotent and the request has no idempotency key.
    IdempotencyKeyRequired = 2009, 400, NotRun, "idempotency_key_required";
    /// The idempotency key was already used for a different request.
    IdempotencyKeyReused = 2010, 409, NotRun, "idempotency_key_reused";
    /// The claim that protects the action from a second execution could not be stored.
    ClaimUnavailable = 2011, 503, NotRun, "claim_unavailable";
    /// The request crashed backend servers and is quarantined.
    Quarantined = 2012, 503, NotRun, "quarantined";
    /// The request body is larger than the route allows.
    RequestTooLarge = 2013, 413, NotRun, "request_too_large";
    /// The request is malformed.
    BadRequest = 2014, 400, NotRun, "bad_request";
    /// The route does not accept the method.
    MethodNotAllowed = 2016, 405, NotRun, "method_not_allowed";
    /// All backend servers that were tried shed the request because of overload.
    Shed = 2017, 503, NotRun, "shed";
    /// No backend server could be reached.
    BackendUnreachable = 2018, 502, NotRun, "backend_unreachable";
    /// Another attempt with the same idempotency key requested the claim at the same time.
    ClaimContended = 2019, 409, NotRun, "claim_contended";
    /// The request body did not arrive within the timeout.
    RequestTimeout = 2020, 408, NotRun, "request_timeout";
    /// The rate allocation of the organisation could not be renewed.
    AllocationUnavailable = 2021, 503, NotRun, "allocation_unavailable";
    /// The instance is stopping, and the time limit of the request ends after the instance does.
    Stopping = 2022, 503, NotRun, "stopping";
    /// The connection to the backend server was lost after the request was sent.
    BackendFailed = 3001, 502, OutcomeUnknown, "backend_failed";
    /// The backend server did not answer within the timeout of the request.
    BackendTimeout = 3002, 504, OutcomeUnknown, "backend_timeout";
    /// An earlier attempt with the same idempotency key is in progress.
    InProgress = 3003, 409, OutcomeUnknown, "in_progress";
    /// The outcome of an earlier attempt with the same idempotency key is not known.
    EarlierAttemptUnknown = 3004, 409, OutcomeUnknown, "earlier_attempt_unknown";
    /// The response of the backend server exceeds the size limit of the service.
    AnswerTooLarge = 3005, 502, OutcomeUnknown, "answer_too_large";
    /// The response of the backend server is truncated or malformed.
    AnswerInvalid = 3006, 502, OutcomeUnknown, "answer_invalid";
    /// The action was executed, but its response was too large to be recorded.
    AnswerNotRecorded = 3007, 409, OutcomeUnknown, "answer_not_recorded";
    /// The instance stopped before the backend server answered.
    Stopped = 3008, 504, OutcomeUnknown, "stopped";
    /// The token of the operator or backend server is missing or invalid.
    Unauthorised = 4001, 401, NotRun, "unauthorised";
    /// The submission replaces a revision that is not the current one.
    RevisionConflict = 4002, 409, NotRun, "revision_conflict";
    /// The document or the submission is not valid.
    DocumentInvalid = 4003, 422, NotRun, "document_invalid";
    /// This control instance is not the leader or cannot take the submission now.
    NotLeader = 4004, 503, NotRun, "not_leader";
    /// No resource has the given name.
    NotFound = 4005, 404, NotRun, "not_found";
    /// The submission was not confirmed as committed within the timeout; a resend returns its result.
    CommitUnknown = 4006, 503, OutcomeUnknown, "commit_unknown";
    /// The submission id was already used for a different submission.
    SubmissionIdReused = 4007, 409, NotRun, "submission_id_reused";
    /// The data directory is not writable.
    StorageFailed = 4008, 507, NotRun, "storage_failed";
    /// Another service already uses one of the hosts of the document.
    HostTaken = 4009, 409, NotRun, "host_taken";
    /// The key id or the key is in use or was used before.
    KeyNotNew = 4010, 409, NotRun, "key_not_new";
    /// The announcement is not valid.
    AnnouncementInvalid = 5001, 422, NotRun, "announcement_invalid";
    /// The announcement belongs to an earlier incarnation of the backend server.
    AnnouncementStale = 5002, 409, NotRun, "announcement_stale";
    /// Too few witnesses stored the announcement.
    AnnouncementNotStored = 5003, 503, NotRun, "announcement_not_stored";
}

impl ResultCode {
    /// Returns the number of the code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

/// JSON body of all refusals.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// Number of the result code.
    pub code: u16,
    /// Stable name of the result code.
    pub name: String,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Description of the refusal in one sentence, for people.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal with a result code and a description for people.
    #[must_use]
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            name: code.name().to_owned(),
            outcome: code.outcome(),
            message: message.into(),
        }
    }
}
