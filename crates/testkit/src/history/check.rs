//! Checks of individual requests and actions: P2, P3, P4, P6, P7 and P8.

use std::collections::{BTreeMap, BTreeSet};

use radishpaddle_model::{OrganisationId, ResultCode};

use super::{Guarantee, History, KeyGrant, Violation};
use crate::backend::Execution;
use crate::caller::{Attempt, AttemptResult};

/// History with indexes that the checks share.
struct Index<'a> {
    history: &'a History,
    /// Attempts by [`Attempt::tag`].
    attempts: BTreeMap<String, &'a Attempt>,
    /// Executions by the tag of the attempt that they ran.
    executions: BTreeMap<&'a str, Vec<&'a Execution>>,
    keys: BTreeMap<&'a str, &'a KeyGrant>,
    /// Every organisation key that was granted or sent.
    known_keys: BTreeSet<&'a str>,
}

pub(super) fn check(history: &History) -> Vec<Violation> {
    let index = Index::new(history);
    let mut violations = Vec::new();
    for execution in &history.executions {
        violations.extend(index.check_authorisation(execution));
        violations.extend(index.check_key_exposure(execution));
    }
    for attempt in &history.attempts {
        violations.extend(index.check_response(attempt));
        violations.extend(index.check_not_run(attempt));
    }
    violations.extend(index.check_at_most_once());
    violations
}

impl<'a> Index<'a> {
    fn new(history: &'a History) -> Self {
        let mut executions: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
        for execution in &history.executions {
            let tag = execution.operation.as_deref().unwrap_or_default();
            executions.entry(tag).or_default().push(execution);
        }
        let attempts = history.attempts.iter();
        let keys = history.keys.iter();
        let granted = keys.clone().map(|grant| grant.key.as_str());
        let sent = attempts
            .clone()
            .filter_map(|attempt| attempt.key.as_deref());
        Self {
            history,
            attempts: attempts.map(|attempt| (attempt.tag(), attempt)).collect(),
            executions,
            keys: keys.map(|grant| (grant.key.as_str(), grant)).collect(),
            known_keys: granted.chain(sent).collect(),
        }
    }

    fn executions_of(&self, tag: &str) -> &[&'a Execution] {
        self.executions.get(tag).map_or(&[], Vec::as_slice)
    }

    /// Checks P2 and P4: the attempt behind an execution carried a key that authorised it.
    fn check_authorisation(&self, execution: &Execution) -> Option<Violation> {
        let tag = execution.operation.as_deref().unwrap_or_default();
        let Some(attempt) = self.attempts.get(tag) else {
            let message = format!("a request ran that no caller sent: {tag:?}");
            return Some(violation(Guarantee::P2, message, &[], &[execution]));
        };
        let (guarantee, message) = self.authorisation_violation(attempt, execution)?;
        Some(violation(guarantee, message, &[attempt], &[execution]))
    }

    /// Returns the guarantee that the execution violates, with a message, or `None` if it was authorised.
    fn authorisation_violation(
        &self,
        attempt: &Attempt,
        run: &Execution,
    ) -> Option<(Guarantee, String)> {
        if (&attempt.method, &attempt.path) != (&run.method, &run.path) {
            let sent = format!("{} {}", attempt.method, attempt.path);
            let message = format!("{sent} ran as {} {}", run.method, run.path);
            return Some((Guarantee::P2, message));
        }
        if attempt.open {
            return None;
        }
        let Some(key) = &attempt.key else {
            return Some((Guarantee::P2, "a keyed request ran without a key".into()));
        };
        let Some(grant) = self.keys.get(key.as_str()) else {
            return Some((Guarantee::P2, "a request ran with an unknown key".into()));
        };
        let limits = &self.history.limits;
        let organisation = &grant.organisation;
        let allowed = limits
            .iter()
            .any(|limit| limit.service == attempt.service && &limit.organisation == organisation);
        if !allowed {
            let message = format!("{organisation} may not call {}", attempt.service);
            return Some((Guarantee::P2, message));
        }
        if let Some(header) = &self.history.organisation_header {
            let seen = run.headers.iter().find(|(name, _)| name == header);
            let seen = seen.map(|(_, value)| value.as_str());
            if seen != Some(organisation.as_str()) {
                let message = format!("a request of {organisation} ran for {seen:?}");
                return Some((Guarantee::P2, message));
            }
        }
        self.use_after_withdrawal(attempt, grant)
    }

    /// Checks P4: the request was sent before the end of the grace time after the withdrawal of its key.
    fn use_after_withdrawal(
        &self,
        attempt: &Attempt,
        grant: &KeyGrant,
    ) -> Option<(Guarantee, String)> {
        let grace_us = self.history.withdrawal_grace_us;
        let limit_us = grant.withdrawn_us?.saturating_add(grace_us);
        let late_us = attempt
            .sent_us
            .checked_sub(limit_us)
            .filter(|late| *late > 0)?;
        let message = format!("a request ran {late_us} us after its key had to stop working");
        Some((Guarantee::P4, message))
    }

    /// Checks P3: no part of the request that the backend server received contains an organisation key.
    fn check_key_exposure(&self, execution: &Execution) -> Option<Violation> {
        let mut known_keys = self.known_keys.iter();
        let location = known_keys.find_map(|key| location_of_key(execution, key))?;
        let message = format!("a backend server received an organisation key in {location}");
        Some(violation(Guarantee::P3, message, &[], &[execution]))
    }

    /// Checks P6: a complete response equals the one that an execution of this request sent. A replayed
    /// response may come from any attempt of the same action.
    fn check_response(&self, attempt: &Attempt) -> Option<Violation> {
        let AttemptResult::Answer {
            status,
            code,
            digest,
            ..
        } = &attempt.told
        else {
            return None;
        };
        let replayed = *code == Some(ResultCode::Replayed.number());
        let candidates = if replayed {
            self.executions_of_action(attempt)
        } else {
            self.executions_of(&attempt.tag()).to_vec()
        };
        let sent_response = |execution: &&Execution| {
            execution.status == Some(*status) && execution.answer_digest.as_ref() == Some(digest)
        };
        if candidates.iter().any(sent_response) {
            return None;
        }
        let message = if candidates.is_empty() {
            "a caller received a response although its request did not run"
        } else {
            "a caller received a response that differs from the one sent to its request"
        };
        Some(violation(
            Guarantee::P6,
            message.into(),
            &[attempt],
            &candidates,
        ))
    }

    /// Checks P7: an attempt that was refused with "not run" did not run.
    fn check_not_run(&self, attempt: &Attempt) -> Option<Violation> {
        let AttemptResult::NotRun { code } = attempt.told else {
            return None;
        };
        let executions = self.executions_of(&attempt.tag());
        if executions.is_empty() {
            return None;
        }
        let message = format!("code {code} says \"not run\" and the request ran");
        Some(violation(Guarantee::P7, message, &[attempt], executions))
    }

    /// Checks P8: a non-idempotent action ran at most once over all its attempts.
    fn check_at_most_once(&self) -> Vec<Violation> {
        let mut actions: BTreeMap<_, Vec<&Attempt>> = BTreeMap::new();
        let attempts = self.history.attempts.iter();
        for attempt in attempts.filter(|attempt| !attempt.idempotent) {
            actions.entry(action_id(attempt)).or_default().push(attempt);
        }
        let mut violations = Vec::new();
        for attempts in actions.values() {
            let runs = attempts
                .iter()
                .map(|attempt| self.executions_of(&attempt.tag()));
            let runs: Vec<&Execution> = runs.flatten().copied().collect();
            if runs.len() > 1 {
                let message = format!("a non-idempotent request ran {} times", runs.len());
                violations.push(violation(Guarantee::P8, message, attempts, &runs));
            }
        }
        violations
    }

    fn executions_of_action(&self, attempt: &Attempt) -> Vec<&'a Execution> {
        let same_action = |other: &&Attempt| action_id(other) == action_id(attempt);
        let attempts = self.history.attempts.iter().filter(same_action);
        let tags = attempts.map(Attempt::tag);
        tags.flat_map(|tag| self.executions_of(&tag).to_vec())
            .collect()
    }
}

/// Returns the identity of an action: organisation, service and idempotency key. An attempt without an
/// idempotency key is identified by its operation instead; the flag keeps the two kinds apart.
fn action_id(attempt: &Attempt) -> (Option<&str>, &str, &str, bool) {
    let organisation = attempt.organisation.as_ref().map(OrganisationId::as_str);
    let key = attempt.idempotency_key.as_deref();
    let name = key.unwrap_or(&attempt.operation);
    (organisation, attempt.service.as_str(), name, key.is_some())
}

/// Returns the part of the request that contains the key, if any.
fn location_of_key(execution: &Execution, key: &str) -> Option<String> {
    if key.is_empty() {
        return None;
    }
    let in_header = |(name, value): &&(String, String)| name.contains(key) || value.contains(key);
    if let Some((name, _)) = execution.headers.iter().find(in_header) {
        return Some(format!("header {name}"));
    }
    if execution.path.contains(key) || percent_decoded(&execution.path).contains(key) {
        return Some("the path or query".into());
    }
    execution.body.contains(key).then(|| "the body".into())
}

/// Decodes percent-encoding; malformed escapes are kept as they are.
fn percent_decoded(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let digits = after
            .get(..2)
            .and_then(|pair| std::str::from_utf8(pair).ok());
        let byte = digits.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match byte {
            Some(byte) if *first == b'%' => {
                decoded.push(byte);
                rest = &after[2..];
            }
            _ => {
                decoded.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn violation(
    guarantee: Guarantee,
    message: String,
    attempts: &[&Attempt],
    executions: &[&Execution],
) -> Violation {
    Violation {
        guarantee,
        message,
        attempts: attempts.iter().copied().cloned().collect(),
        executions: executions.iter().copied().cloned().collect(),
    }
}
