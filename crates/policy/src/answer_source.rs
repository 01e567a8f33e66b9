//! Which start of a backend server an answer came from.

use radishpaddle_model::ServerIncarnation;

/// Start of a backend server that gave an answer, as far as it is known.
///
/// An answer comes from the process that accepted the connection. That is the start which the request was meant for, or a
/// later one at the same address that is not announced yet and began before the connection was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerSource {
    /// Earliest start that may have answered.
    pub earliest: ServerIncarnation,
    /// Latest start that may have answered, in Unix milliseconds.
    pub latest_start_ms: u64,
}

impl AnswerSource {
    /// Source of an answer over a connection to a server. `opened_at_ms` is the wall clock time in Unix milliseconds at which
    /// the connection was opened.
    #[must_use]
    pub fn of_connection(server: ServerIncarnation, opened_at_ms: u64) -> Self {
        Self {
            latest_start_ms: opened_at_ms.max(server.started_at_ms),
            earliest: server,
        }
    }

    /// Source of an answer that states the start of its server.
    #[must_use]
    pub const fn stated(server: ServerIncarnation) -> Self {
        Self {
            latest_start_ms: server.started_at_ms,
            earliest: server,
        }
    }
}

impl From<&ServerIncarnation> for AnswerSource {
    fn from(server: &ServerIncarnation) -> Self {
        Self::stated(server.clone())
    }
}
