//! Formats points in time and durations.

const MS_PER_DAY: u64 = 86_400_000;

/// Latest time that can be formatted, in milliseconds since the Unix epoch: the end of the year 9999.
const MAX_UNIX_MS: u64 = 253_402_300_799_999;

/// Formats milliseconds since the Unix epoch as a UTC date and time with a resolution of one second.
/// Later times than the year 9999 are formatted as the end of that year. The conversion to a date follows
/// Hinnant, "chrono-Compatible Low-Level Date Algorithms".
#[must_use]
pub fn format_utc(at_unix_ms: u64) -> String {
    let at_unix_ms = at_unix_ms.min(MAX_UNIX_MS);
    let days = at_unix_ms / MS_PER_DAY + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    let second = at_unix_ms % MS_PER_DAY / 1_000;
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

/// Formats a duration in its two largest units, such as `1h 5m`.
#[must_use]
pub fn format_duration(duration_ms: u64) -> String {
    let seconds = duration_ms / 1_000;
    let (days, hours, minutes) = (seconds / 86_400, seconds / 3_600 % 24, seconds / 60 % 60);
    match (days, hours, minutes) {
        (0, 0, 0) => format!("{seconds}s"),
        (0, 0, _) => format!("{minutes}m {}s", seconds % 60),
        (0, _, _) => format!("{hours}h {minutes}m"),
        _ => format!("{days}d {hours}h"),
    }
}
