//! Capacity floor: the number of slots that ejection and path avoidance must leave in rotation.

use radishpaddle_model::Percent;

/// Returns the floor in slots: the given percentage of the announced slots, rounded up.
///
/// `announced_slots` includes draining servers so that a rolling restart does not lower the floor.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the product of a u32 and a fraction from 0 to 1 fits"
)]
pub fn floor_slots(announced_slots: u32, floor: Percent) -> u32 {
    // Fractions such as 0.6 have no exact binary form. Subtracting 1e-9 keeps 60 % of 5 at 3 when
    // the product comes out slightly too large.
    let exact = f64::from(announced_slots) * floor.as_fraction();
    (exact - 1e-9).ceil().max(0.0) as u32
}

/// Slot counts of one service for the floor check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of all announced servers, draining ones included.
    pub announced: u32,
    /// Slots of the servers that are not draining and that no instance has out of rotation.
    pub in_rotation: u32,
    /// Slots that must remain in rotation.
    pub floor: u32,
}

impl Capacity {
    /// Returns whether a server with this number of slots may leave the rotation. This is the only
    /// check that permits the ejection of a server in rotation.
    #[must_use]
    pub const fn permits_ejection(&self, slots: u32) -> bool {
        self.in_rotation >= slots && self.in_rotation - slots >= self.floor
    }

    /// Returns the number of slots by which the rotation is below the floor.
    #[must_use]
    pub const fn deficit(&self) -> u32 {
        self.floor.saturating_sub(self.in_rotation)
    }
}
