//! Tests for the validation of settings and for the times derived from them.

use super::*;
use crate::model::Cores;

#[test]
fn timing_follows_the_heartbeat_interval() {
    // (heartbeat interval, lease, unavailable after, unused grant, foreign machine, presumed stopped), first for the
    // intervals of the deployments, then for extreme ones. With fixed times of 4 s, machines with a heartbeat every 5 s
    // got no tasks for most of the time.
    let cases = [
        (1.0, 11.0, 4_000, 4_500, 3_000, 5_000),
        (1.5, 10.0, 4_000, 4_500, 3_000, 6_000),
        (2.5, 15.25, 5_125, 5_625, 4_125, 10_000),
        (5.0, 26.5, 8_250, 8_750, 7_250, 20_000),
        (0.5, 3.0, 4_000, 4_500, 3_000, 5_000),
        (10.0, 30.0, 14_500, 15_000, 13_500, 30_000),
    ];
    for (heartbeat_s, lease_s, unavailable, unused_grant, foreign, stopped) in cases {
        let timing = HeartbeatTiming::new(&WorkerSettings {
            heartbeat_s,
            lease_s,
            cancel_s: 99.0,
            gang_wait_s: 30.0,
            gang_peer_s: 5.0,
        });
        let got = (
            timing.unavailable_after_ms,
            timing.unused_grant_timeout_ms,
            timing.foreign_machine_ttl_ms,
            timing.presumed_stopped_after_ms,
        );
        assert_eq!(got, (unavailable, unused_grant, foreign, stopped), "{heartbeat_s} {lease_s}");
        assert!(
            timing.max_interval_ms + 1_000 <= timing.foreign_machine_ttl_ms
                && timing.max_interval_ms < timing.unavailable_after_ms
        );
        assert!(timing.response_retention_ms as f64 >= 2_000.0 * lease_s);
    }
}

/// A settings file like those that the platform provides.
pub(crate) const EXAMPLE: &str = include_str!("../../tests/settings.toml");

#[test]
fn invalid_settings_are_rejected_with_a_reason() {
    let cases = [
        ("", "", None),
        ("site = \"a\"\napi", "api", Some("site")),
        ("nodes = 3", "nodes = 2", Some("params.nodes")),
        ("lease_s = 10.0", "lease_s = -1.0", Some("lease_s")),
        ("cancel_s = 30.0", "cancel_s = 12.0", Some("cancel_s")),
        ("txn_ops = 12", "txn_ops = 1", Some("txn_ops")),
        ("txn_ops = 12", "txn_ops = \"x\"", Some("txn_ops")),
        ("\"host-1\"", "\"host-0\"", Some("known")),
        ("cpus_max = 32.0", "cpus_max = -3.0", Some("params.teams")),
        ("\"10.0.0.1:8080\"", "\"here\"", Some("api_addr")),
    ];
    for (from, to, want) in cases {
        let text = EXAMPLE.replacen(from, to, 1);
        match (Settings::parse(&text), want) {
            (Ok(_), None) => {}
            (Err(e), Some(field)) => {
                let line = e.to_string();
                assert!(line.contains(field), "{from} -> {to}: {line}");
                assert!(!line.contains('\n'));
            }
            (got, want) => panic!("{from} -> {to}: {got:?}, wanted {want:?}"),
        }
    }
}

#[test]
fn controllers_are_numbered_by_name() {
    let s = Settings::parse(EXAMPLE).unwrap();
    let (nodes, me) = s.all_nodes();
    assert_eq!(me, NodeId(0));
    let names: Vec<_> = nodes.iter().map(|n| n.name.as_str()).collect();
    assert_eq!(names, ["host-0", "host-1", "host-2"]);
    assert_eq!(s.team("blue").unwrap().core_limit(), None);
    assert_eq!(s.team("red").unwrap().core_limit(), Some(Cores(32_000)));
    // A worker whose lease is renewed at the last permitted time must have ended its tasks within `cancel_s` (30 s).
    assert!(s.keep_alive_ms() + s.worker_lease_ms() < 30_000);
}

#[test]
fn objectives_of_unknown_kinds_are_accepted() {
    let kinds = [
        ("\"finished\"", Some(ObjectiveKind::Finished)),
        ("\"deadline\"", Some(ObjectiveKind::Deadline)),
        ("\"wait\"", Some(ObjectiveKind::Wait)),
        ("\"guarantee\"", Some(ObjectiveKind::Guarantee)),
        ("\"throughput\"", Some(ObjectiveKind::Other)),
        ("\"Finished\"", Some(ObjectiveKind::Other)),
        ("\"\"", Some(ObjectiveKind::Other)),
        // Kinds other than strings are rejected.
        ("7", None),
        ("{ finished = {} }", None),
    ];
    for (kind, want) in kinds {
        let objective = format!("[[params.objectives]]\nkind = {kind}\nshare = 0.5\n");
        let text = EXAMPLE.replacen("[params.workers]", &format!("{objective}[params.workers]"), 1);
        let settings = Settings::parse(&text);
        let got = settings.as_ref().ok().map(|s| s.params.objectives[0].kind);
        assert_eq!(got, want, "{kind}: {settings:?}");
    }
    let missing = "[[params.objectives]]\nclass = \"long\"\n[params.workers]";
    assert!(Settings::parse(&EXAMPLE.replacen("[params.workers]", missing, 1)).is_err());
}
