//! Compact forms of the demand of organisations: only what changed since a list that the receiver holds.
//!
//! Each form rebuilds the complete list at the receiver, which then decides as with the complete form.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{OrganisationDemand, short_name_key};

use crate::error::WireError;
use crate::message::{DemandChanges, TotalChanges};

/// Time constant in seconds of the moving average of the demand, by which rates decay that are not listed.
pub const DEMAND_DECAY_TIME_S: f64 = 1.0;

/// Share of a rate by which the receiver's value may differ before the rate is sent again.
const RATE_TOLERANCE: f32 = 0.02;

/// Rate in requests per second below which a difference is not sent.
const MIN_RATE_DIFFERENCE_PER_S: f32 = 0.03;

/// Largest rate in requests per second that is accepted from a peer.
const MAX_RATE_PER_S: f32 = 1e9;

/// Largest number of admitted requests that is accepted from a peer.
const MAX_ADMITTED: u64 = 1 << 52;

/// Returns the part of a rate that is left after a time without requests.
#[must_use]
pub fn decayed(rate_per_s: f32, elapsed: Duration) -> f32 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a rate needs no more digits than f32 has"
    )]
    let factor = (-elapsed.as_secs_f64() / DEMAND_DECAY_TIME_S).exp() as f32;
    rate_per_s * factor
}

/// Checks that no number of a demand is negative, not finite or out of range.
///
/// # Errors
///
/// Fails with `Malformed` for the first such number.
pub fn check_demand(demand: &[OrganisationDemand]) -> Result<(), WireError> {
    demand.iter().try_for_each(|demand| {
        check_rate(demand.rate_per_s)?;
        check_admitted(demand.admitted)
    })
}

fn check_rate(rate_per_s: f32) -> Result<(), WireError> {
    if (0.0..=MAX_RATE_PER_S).contains(&rate_per_s) {
        Ok(())
    } else {
        Err(malformed(format!("a rate of {rate_per_s} per second")))
    }
}

fn check_admitted(admitted: u64) -> Result<(), WireError> {
    if admitted <= MAX_ADMITTED {
        Ok(())
    } else {
        Err(malformed(format!("{admitted} admitted requests")))
    }
}

fn malformed(reason: impl Into<String>) -> WireError {
    WireError::Malformed(reason.into())
}

fn is_close(rate_per_s: f32, other: f32) -> bool {
    (rate_per_s - other).abs() <= MIN_RATE_DIFFERENCE_PER_S + RATE_TOLERANCE * rate_per_s.abs()
}

/// Returns the changes of a report against the earlier report `base` of the same gateway, which is older by
/// `elapsed`.
#[must_use]
pub fn demand_changes(
    base_sequence: u64,
    base: &[OrganisationDemand],
    elapsed: Duration,
    newest: &[OrganisationDemand],
) -> DemandChanges {
    let base: HashMap<&Arc<str>, &OrganisationDemand> =
        base.iter().map(|base| (&base.organisation, base)).collect();
    let mut key_uses: HashMap<u32, u32> = HashMap::new();
    for demand in newest {
        *key_uses
            .entry(short_name_key(&demand.organisation))
            .or_default() += 1;
    }
    let (mut keyed, mut named) = (Vec::new(), Vec::new());
    for demand in newest {
        let known = base.get(&demand.organisation);
        let is_unchanged = known.is_some_and(|known| {
            known.admitted == demand.admitted
                && is_close(demand.rate_per_s, decayed(known.rate_per_s, elapsed))
        });
        if is_unchanged {
            continue;
        }
        let key = short_name_key(&demand.organisation);
        if known.is_some() && key_uses[&key] == 1 {
            keyed.push((key, demand));
        } else {
            named.push(demand);
        }
    }
    let listed = keyed.iter().map(|(_, demand)| *demand);
    let listed: Vec<&OrganisationDemand> = listed.chain(named.iter().copied()).collect();
    DemandChanges {
        base_sequence,
        keys: keyed.iter().map(|(key, _)| *key).collect(),
        names: named
            .iter()
            .map(|demand| demand.organisation.to_string())
            .collect(),
        admitted: listed.iter().map(|demand| demand.admitted).collect(),
        rates_per_s: listed.iter().map(|demand| demand.rate_per_s).collect(),
    }
}

/// Returns the complete demand of a report. `held` is the demand of a report of the same gateway that is at least as new
/// as the base of the changes, and older than the report by `elapsed`.
///
/// # Errors
///
/// Fails with `Malformed` when the changes do not fit the held demand, or contain an invalid number.
pub fn apply_demand_changes(
    held: &[OrganisationDemand],
    changes: &DemandChanges,
    elapsed: Duration,
) -> Result<Vec<OrganisationDemand>, WireError> {
    let count = changes.keys.len() + changes.names.len();
    if changes.admitted.len() != count || changes.rates_per_s.len() != count {
        return Err(malformed("lists of changes differ in length"));
    }
    let mut demand: Vec<OrganisationDemand> = held.to_vec();
    for entry in &mut demand {
        entry.rate_per_s = decayed(entry.rate_per_s, elapsed);
    }
    let mut by_key = HashMap::new();
    let mut by_name = HashMap::new();
    for (index, entry) in held.iter().enumerate() {
        by_key.insert(short_name_key(&entry.organisation), index);
        by_name.insert(&*entry.organisation, index);
    }
    let values = changes.admitted.iter().zip(&changes.rates_per_s);
    for (position, (admitted, rate_per_s)) in values.enumerate() {
        check_rate(*rate_per_s)?;
        check_admitted(*admitted)?;
        let index = if let Some(key) = changes.keys.get(position) {
            let index = by_key.get(key).copied();
            Some(index.ok_or_else(|| malformed("unknown key of an organisation"))?)
        } else {
            let name = &changes.names[position - changes.keys.len()];
            by_name.get(&**name).copied()
        };
        if let Some(index) = index {
            // The counter of one incarnation never decreases.
            demand[index].admitted = demand[index].admitted.max(*admitted);
            demand[index].rate_per_s = *rate_per_s;
        } else {
            demand.push(OrganisationDemand {
                organisation: changes.names[position - changes.keys.len()].as_str().into(),
                rate_per_s: *rate_per_s,
                admitted: *admitted,
            });
        }
    }
    Ok(demand)
}

/// Returns the changes from the totals that a gateway holds to the newest ones, and the list that it holds afterwards.
/// `base` is older by `elapsed`; its order is kept, and organisations that it lacks are appended.
///
/// Returns `None` when a total has decreased, which a change cannot express.
#[must_use]
pub fn total_changes(
    base_position: u64,
    base: &[OrganisationDemand],
    elapsed: Duration,
    newest: &[OrganisationDemand],
) -> Option<(TotalChanges, Vec<OrganisationDemand>)> {
    let mut changes = TotalChanges {
        base_position,
        elapsed_ms: u32::try_from(elapsed.as_millis()).ok()?,
        ..TotalChanges::default()
    };
    let mut newest: HashMap<&Arc<str>, &OrganisationDemand> = newest
        .iter()
        .map(|newest| (&newest.organisation, newest))
        .collect();
    let mut rates_per_s = Vec::new();
    for (index, held) in (0..).zip(base) {
        let newest = newest.remove(&held.organisation)?;
        let added = newest.admitted.checked_sub(held.admitted)?;
        if added > 0 {
            changes.indices.push(index);
            changes.admitted.push(added);
        }
        rates_per_s.push(newest.rate_per_s);
    }
    for newest in newest.into_values() {
        changes.names.push(newest.organisation.to_string());
        changes.admitted.push(newest.admitted);
        rates_per_s.push(newest.rate_per_s);
    }
    let mut held = apply_total_changes(base, &changes).ok()?;
    for (index, (held, rate_per_s)) in (0..).zip(held.iter_mut().zip(rates_per_s)) {
        if !is_close(rate_per_s, held.rate_per_s) {
            changes.rate_indices.push(index);
            changes.rates_per_s.push(rate_per_s);
            held.rate_per_s = rate_per_s;
        }
    }
    Some((changes, held))
}

/// Applies changes to the totals that they are based on.
///
/// # Errors
///
/// Fails with `Malformed` when the changes do not fit the totals, or contain an invalid number.
pub fn apply_total_changes(
    base: &[OrganisationDemand],
    changes: &TotalChanges,
) -> Result<Vec<OrganisationDemand>, WireError> {
    let count = changes.indices.len() + changes.names.len();
    if changes.admitted.len() != count || changes.rate_indices.len() != changes.rates_per_s.len() {
        return Err(malformed("lists of changes differ in length"));
    }
    let elapsed = Duration::from_millis(changes.elapsed_ms.into());
    let mut totals = base.to_vec();
    for entry in &mut totals {
        entry.rate_per_s = decayed(entry.rate_per_s, elapsed);
    }
    for name in &changes.names {
        totals.push(OrganisationDemand {
            organisation: name.as_str().into(),
            rate_per_s: 0.0,
            admitted: 0,
        });
    }
    let new = (base.len()..totals.len()).filter_map(|index| u32::try_from(index).ok());
    let indices = changes.indices.iter().copied().chain(new);
    for (index, added) in indices.zip(&changes.admitted) {
        check_admitted(*added)?;
        let entry = entry_at(&mut totals, index)?;
        entry.admitted = entry.admitted.saturating_add(*added);
        // The requests came at unknown times since the earlier totals, on average in the middle.
        entry.rate_per_s += decayed(as_f32(*added), elapsed / 2);
    }
    for (index, rate_per_s) in changes.rate_indices.iter().zip(&changes.rates_per_s) {
        check_rate(*rate_per_s)?;
        entry_at(&mut totals, *index)?.rate_per_s = *rate_per_s;
    }
    Ok(totals)
}

fn entry_at(
    totals: &mut [OrganisationDemand],
    index: u32,
) -> Result<&mut OrganisationDemand, WireError> {
    let index = usize::try_from(index).ok();
    let entry = index.and_then(|index| totals.get_mut(index));
    entry.ok_or_else(|| malformed("unknown position of an organisation"))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a rate needs no more digits than f32 has"
)]
const fn as_f32(count: u64) -> f32 {
    count as f32
}
