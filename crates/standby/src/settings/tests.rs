//! Tests of the checks of the settings.

use super::*;

fn site() -> Site<'static> {
    Site { controllers: vec!["host-0", "host-1"], leader_lease_ms: 3_000, heartbeat_ms: 260 }
}

#[test]
fn settings_that_are_not_valid_for_the_site_are_rejected_by_field() {
    let cases = [
        ("", None),
        ("controllers = [\"host-1\"]", None),
        ("controllers = [\"host-9\"]", Some("standby.controllers")),
        ("suspect_after_min_ms = 779", Some("standby.suspect_after_min_ms")),
        ("suspect_after_min_ms = 780", None),
        ("suspect_after_max_ms = 800", Some("standby.suspect_after_max_ms")),
        ("suspect_after_max_ms = 3000", Some("standby.suspect_after_max_ms")),
        ("phi = 0.5", Some("standby.phi")),
        ("phi = nan", Some("standby.phi")),
        ("samples = 3", Some("standby.samples")),
        ("rank_delay_ms = 100", Some("standby.rank_delay_ms")),
        ("window_records = 10", Some("standby.window_records")),
        ("batch_records = 0", Some("standby.batch_records")),
        ("batch_records = 100000", Some("standby.batch_records")),
    ];
    for (text, field) in cases {
        let settings: StandbySettings = toml::from_str(text).unwrap();
        let found = settings.check(&site()).err().map(|e| e.field);
        assert_eq!(found, field, "{text}");
    }
}

#[test]
fn unknown_fields_and_wrong_types_are_rejected() {
    for text in
        ["suspect_after_ms = 900", "phi = \"8\"", "samples = -1", "controllers = \"host-0\""]
    {
        assert!(toml::from_str::<StandbySettings>(text).is_err(), "{text}");
    }
}
