//! Tests for files that enable features, and for the errors in them.

use super::*;
use crate::config::tests::EXAMPLE;

#[test]
fn errors_name_their_field() {
    let settings = Settings::parse(EXAMPLE).unwrap();
    let cases = [
        ("[standby]\n", ""),
        ("[standby]\ncontrollers = [\"host-1\"]\n", ""),
        ("[standby]\ncontrollers = [\"host-99\"]\n", "standby.controllers: host-99"),
        ("[standby]\nsuspect_after_min_ms = 100\n", "standby.suspect_after_min_ms: must be 780"),
        (
            "[standby]\nsuspect_after_max_ms = 5000\n",
            "standby.suspect_after_max_ms: must be below 3000",
        ),
        ("[standby]\nphy = 8.0\n", "unknown field `phy`"),
        ("[stand_by]\n", "unknown field `stand_by`"),
        ("[standby\n", "TOML parse error"),
    ];
    for (text, why) in cases {
        let found = FeatureFlags::parse(text).and_then(|f| f.check(&settings));
        match found {
            Ok(()) => assert_eq!(why, "", "{text}"),
            Err(e) => {
                let line = e.to_string();
                assert!(
                    !why.is_empty() && line.contains(why) && !line.contains('\n'),
                    "{text}: {line}"
                );
            }
        }
    }
}

#[test]
fn duplicate_and_empty_feature_files_are_rejected() {
    let mut merged = FeatureFlags::default();
    assert!(merged.merge(FeatureFlags::default()).is_err());
    let standby = || FeatureFlags { standby: Some(StandbySettings::default()) };
    assert!(merged.merge(standby()).is_ok());
    assert!(merged.merge(standby()).is_err());
}
