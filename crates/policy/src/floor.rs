//! The floor: slots that ejection and avoidance must leave in rotation.

use radishpaddle_model::Percent;

/// Floor in slots: the percentage of the announced slots, draining servers included, rounded up.
///
/// Draining servers count in the base so that a rolling restart does not lower the floor.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the product of a u32 and a fraction from 0 to 1 fits"
)]
pub fn floor_slots(announced_slots: u32, floor: Percent) -> u32 {
    // The subtraction keeps 60 % of 5 at 3 although 0.6 has no exact binary form.
    let exact = f64::from(announced_slots) * floor.as_fraction();
    (exact - 1e-9).ceil().max(0.0) as u32
}

/// Slots of one service, as the floor rule sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of announced servers, draining ones included.
    pub announced: u32,
    /// Slots of servers that are neither draining nor out of rotation at any instance.
    pub in_rotation: u32,
    /// Slots that must remain in rotation.
    pub floor: u32,
}

impl Capacity {
    /// Whether a server with `slots` in rotation may leave it. This is the only place where the
    /// floor permits an ejection.
    #[must_use]
    pub const fn permits_ejection(&self, slots: u32) -> bool {
        self.in_rotation >= slots && self.in_rotation - slots >= self.floor
    }

    /// Slots that are missing to the floor.
    #[must_use]
    pub const fn deficit(&self) -> u32 {
        self.floor.saturating_sub(self.in_rotation)
    }
}
