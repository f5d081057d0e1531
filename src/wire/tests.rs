//! Tests for the decoding and validation of messages, and for their published form.

use super::*;
use crate::model::{Attempt, JobId, TaskId};
use ciborium::cbor;

/// Returns the description of an array job with this number of tasks.
pub(crate) fn spec(id: u64, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId(id),
        class: "lane".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: tasks,
        vcpus: 4.0,
        accelerators: 0.0,
        mem_gb: 8.0,
        image: "img".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread_zones: false,
        allows_spot: true,
        estimated_run_s: 30.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}

/// Encodes a job description in which one field is replaced by `value`, or removed if `value` is `None`.
fn encode_spec_with(field: &str, value: Option<Value>) -> Vec<u8> {
    let Value::Map(mut map) = to_value(&spec(412, 2)) else {
        panic!("a job description is not encoded as a map");
    };
    map.retain(|(k, _)| k.as_text() != Some(field));
    if let Some(v) = value {
        map.push((Value::Text(field.into()), v));
    }
    encode(&Value::Map(map))
}

#[test]
fn job_descriptions_are_accepted_or_rejected() {
    let cases: Vec<(&str, Option<Value>, bool)> = vec![
        ("Nothing", Some(1.into()), true),
        ("Vcpus", Some(4.into()), true),
        ("Vcpus", Some(4.5.into()), true),
        ("Vcpus", Some("4".into()), false),
        ("Vcpus", Some(f64::NAN.into()), false),
        ("Vcpus", Some((-1.0).into()), false),
        ("Vcpus", None, false),
        ("DueS", None, true),
        ("DueS", Some(Value::Null), true),
        ("DueS", Some(90.into()), true),
        ("DueS", Some((-1).into()), false),
        ("Hulls", Some(Value::Null), true),
        ("Hulls", Some("g8".into()), false),
        ("Pieces", Some(0.into()), false),
        ("Pieces", Some(100_000.into()), true),
        ("Pieces", Some(100_001.into()), false),
        ("Pieces", Some((-1).into()), false),
        ("Pieces", Some(1.5.into()), false),
        ("Ref", Some("wk-1".into()), false),
        ("Ref", None, false),
        ("Shape", Some("ring".into()), false),
        ("Urgency", Some("best_effort".into()), true),
        ("Urgency", Some("soon".into()), false),
        ("OneZone", Some(1.into()), false),
        ("Owner", Some("".into()), false),
    ];
    for (field, value, want) in cases {
        let body = encode_spec_with(field, value.clone());
        assert!(is_map(&body));
        let got = decode::<JobSpec>(&body).and_then(|s| s.check());
        assert_eq!(got.is_ok(), want, "{field} = {value:?}: {got:?}");
    }
}

#[test]
fn bodies_other_than_maps_are_detected() {
    let deep = vec![0x81u8; 5000];
    let cases: Vec<(Vec<u8>, bool)> = vec![
        (encode(&cbor!({"a" => [1, {"b" => null}]}).unwrap()), true),
        (encode(&cbor!([1]).unwrap()), false),
        (encode(&cbor!("x").unwrap()), false),
        (vec![], false),
        (vec![0xff, 0x00], false),
        (deep, false),
        ([encode(&cbor!({}).unwrap()), vec![0]].concat(), false),
    ];
    for (body, want) in cases {
        assert_eq!(is_map(&body), want, "{:?}", &body[..body.len().min(8)]);
    }
}

#[test]
fn heartbeats_with_unknown_fields_and_states_are_accepted() {
    let body = encode(
        &cbor!({
            "Host" => "n-1", "Endpoint" => "10.1.0.2:9000", "Hull" => "g8", "Yard" => "a",
            "Loaners" => true, "Tenure" => 1, "Tally" => 88, "Baton" => 41, "More" => [1],
            "Pieces" => [
                {"Piece" => "wk-000412/3", "Try" => 2, "Stage" => "pondering"},
                {"Piece" => "wk-000412/4", "Try" => 2, "Stage" => "ended", "Cause" => "whim"},
            ],
        })
        .unwrap(),
    );
    let heartbeat: Heartbeat = decode(&body).unwrap();
    assert_eq!(heartbeat.tasks[0].state, TaskState::Unknown);
    assert_eq!(heartbeat.tasks[1].exit_reason, Some(ExitReason::Unknown));
    assert_eq!(heartbeat.spot_notice_s, None);
}

#[test]
fn commands_and_changes_have_their_published_form() {
    let command = WorkerCommand::Kill {
        task: TaskId::parse("wk-000377/1").unwrap(),
        attempt: Attempt(1),
        grace_s: 10.0,
    };
    let want = cbor!({"Verb" => "kill", "Piece" => "wk-000377/1", "Try" => 1, "LeewayS" => 10.0});
    assert_eq!(to_value(&command), want.unwrap());
    let put = Change::Put { key: "a".into(), value: 1.into(), lease: None };
    assert_eq!(to_value(&put), cbor!({"Set" => "a", "V" => 1}).unwrap());
}
