//! Demand of organisations in the messages to and from one coordinator: only changes, where the coordinator accepts
//! them.

use std::collections::VecDeque;
use std::time::Duration;

use radishpaddle_model::OrganisationDemand;
use radishpaddle_wire::demand::{apply_total_changes, check_demand, demand_changes};
use radishpaddle_wire::message::{DemandChanges, PollReplyExtension};
use radishpaddle_wire::{FEATURE_DEMAND_CHANGES, PollReply, WireError};

/// Number of own reports that are kept. A reply names the newest report that its totals include; there are at most about
/// 25 reports while a poll waits.
const MAX_REPORTS: usize = 64;

/// Demand that this gateway reported.
#[derive(Debug, Clone)]
struct Report {
    sequence: u64,
    at: Duration,
    demand: Vec<OrganisationDemand>,
}

/// Lists that this gateway and the polled coordinator both hold, on which changes are based.
#[derive(Debug, Default)]
pub struct DemandReports {
    /// Newest reports, oldest first.
    reports: VecDeque<Report>,
    /// Report that the coordinator has acknowledged.
    base: Option<Report>,
    /// Newest totals of the coordinator and their position; 0 if there are none.
    totals_position: u64,
    totals: Vec<OrganisationDemand>,
}

impl DemandReports {
    /// Forgets what the coordinator holds, so that complete lists are exchanged next. Required when another coordinator is
    /// polled, or when it is unknown whether a poll was handled.
    pub fn reset(&mut self) {
        self.base = None;
        self.totals_position = 0;
        self.totals.clear();
    }

    /// Position of the totals that this gateway holds, for its next poll.
    #[must_use]
    pub const fn totals_position(&self) -> u64 {
        self.totals_position
    }

    /// Returns the demand for the payload of a report and the changes for its extension. One of them is empty.
    pub fn report(
        &mut self,
        sequence: u64,
        demand: Vec<OrganisationDemand>,
        now: Duration,
    ) -> (Vec<OrganisationDemand>, Option<DemandChanges>) {
        let report = Report {
            sequence,
            at: now,
            demand,
        };
        let changes = self.base.as_ref().map(|base| {
            let elapsed = now.saturating_sub(base.at);
            demand_changes(base.sequence, &base.demand, elapsed, &report.demand)
        });
        let complete = if changes.is_some() {
            Vec::new()
        } else {
            report.demand.clone()
        };
        self.reports.push_back(report);
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        (complete, changes)
    }

    /// Completes the demand in the reply to the poll with a sequence number. After an error the reply must not be applied,
    /// and the lists have to be reset.
    ///
    /// # Errors
    ///
    /// Fails with `Malformed` when the changes in the reply do not fit the lists held here, or contain an invalid number.
    pub fn complete_reply(
        &mut self,
        poll_sequence: u64,
        reply: &mut PollReply,
        extension: &PollReplyExtension,
    ) -> Result<(), WireError> {
        if extension.features & FEATURE_DEMAND_CHANGES == 0 {
            self.reset();
            check_demand(&reply.own_demand)?;
            return check_demand(&reply.demand);
        }
        if let Some(changes) = &extension.totals {
            if changes.base_position != self.totals_position {
                return Err(WireError::Malformed(
                    "changes of totals without their base".into(),
                ));
            }
            reply.demand = apply_total_changes(&self.totals, changes)?;
        } else {
            check_demand(&reply.demand)?;
        }
        reply.own_demand = self.reported(extension.own_sequence)?;
        // The coordinator has skipped the report if it does not hold the base of its changes.
        self.base = if extension.own_sequence >= poll_sequence {
            let report = self.reports.iter();
            let mut report = report.filter(|report| report.sequence == poll_sequence);
            report.next().cloned()
        } else {
            None
        };
        self.totals_position = extension.totals_position;
        self.totals.clone_from(&reply.demand);
        Ok(())
    }

    /// Returns the demand in an own report; none for the sequence number 0.
    fn reported(&self, sequence: u64) -> Result<Vec<OrganisationDemand>, WireError> {
        if sequence == 0 {
            return Ok(Vec::new());
        }
        let mut reports = self.reports.iter().chain(&self.base);
        let report = reports.find(|report| report.sequence == sequence);
        let report = report
            .ok_or_else(|| WireError::Malformed("totals include an unknown report".into()))?;
        Ok(report.demand.clone())
    }
}
