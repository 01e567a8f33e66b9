//! Checks that identifiers, units and keys reject malformed text and that secrets are not printed.

use radishpaddle_model::{
    ByteSize, Change, KeyHash, OrganisationKey, Percent, RatePerSecond, ServiceId,
};

/// Guards against identifiers that inject characters into a path, a log line or a metric label.
#[test]
fn malformed_identifiers_are_refused() {
    for text in ["", "a b", "a/b", "a\nb", "ü", &"x".repeat(65)] {
        assert!(text.parse::<ServiceId>().is_err(), "{text:?} was accepted");
    }
    assert_eq!(
        "route-avail".parse::<ServiceId>().unwrap().as_str(),
        "route-avail"
    );
}

/// Guards against a key that is written to a log through `Debug` or `Display`.
#[test]
fn key_is_not_shown() {
    let key: OrganisationKey = "rk_0123456789abcdef".parse().unwrap();

    let shown = format!("{key:?} {key} {:?}", key.hash());

    assert!(!shown.contains("0123456789abcdef"), "{shown}");
}

/// Guards against a hash that changes when it is written as text and parsed again.
#[test]
fn key_hash_survives_its_text_form() {
    let hash = "rk_0123456789abcdef"
        .parse::<OrganisationKey>()
        .unwrap()
        .hash();

    let parsed: KeyHash = hash.to_string().parse().unwrap();

    assert_eq!(parsed, hash);
    assert!("zz".repeat(32).parse::<KeyHash>().is_err());
}

/// Guards against limits that would disable a check, such as a rate that is NaN.
#[test]
fn units_refuse_values_outside_their_range() {
    assert!("NaN".parse::<RatePerSecond>().is_err());
    assert!("-1/s".parse::<RatePerSecond>().is_err());
    assert!("101%".parse::<Percent>().is_err());
    assert!("18014398509481984KiB".parse::<ByteSize>().is_err());
    assert_eq!("64KiB".parse::<ByteSize>().unwrap().to_string(), "64KiB");
}

/// Guards against a renamed variant that changes the text of stored and replicated changes.
#[test]
fn added_key_is_written_as_give_key() {
    let key: OrganisationKey = "rk_0123456789abcdef".parse().unwrap();
    let hash = key.hash();
    let change = Change::AddKey {
        key_id: "key-1".parse().unwrap(),
        organisation: "example".parse().unwrap(),
        hash,
    };
    let written = format!(
        r#"{{"change":"give_key","key_id":"key-1","organisation":"example","hash":"{hash}"}}"#
    );

    assert_eq!(serde_json::to_string(&change).unwrap(), written);
    assert_eq!(serde_json::from_str::<Change>(&written).unwrap(), change);
}
