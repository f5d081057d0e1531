//! Tables of cases for `state`.

use super::*;
use ciborium::cbor;

#[test]
fn a_bucket_allows_its_burst_and_then_its_rate() {
    let start = Instant::now();
    let mut bucket = Bucket::new(10.0, 2.0, start);
    assert_eq!(bucket.take(2.0, start), Duration::ZERO);
    assert_eq!(bucket.take(1.0, start), Duration::from_millis(100));
    let later = start + Duration::from_secs(60);
    assert_eq!(bucket.take(2.0, later), Duration::ZERO);
    assert_eq!(bucket.take(1.0, later), Duration::from_millis(100));
}

#[test]
fn statuses_say_whether_a_request_was_carried_out() {
    let answer =
        |status, body: &[u8]| Ok(Answer { status, body: body.to_vec(), retry_after: None });
    let lease = wire::encode(&cbor!({"error" => "no such lease"}).unwrap());
    let cases = [
        (answer(503, b""), Some(StateError::Refused(503))),
        (answer(429, b""), Some(StateError::Refused(429))),
        (answer(410, b""), Some(StateError::TooOld)),
        (answer(400, &lease), Some(StateError::NoLease)),
        (answer(400, b""), Some(StateError::Malformed(400))),
        (Err(CallError::Connect), Some(StateError::Refused(0))),
        (Err(CallError::Timeout), Some(StateError::Unknown)),
        (Err(CallError::Broken), Some(StateError::Unknown)),
        (answer(409, b""), None),
        (answer(404, b""), None),
    ];
    for (given, want) in cases {
        let text = format!("{given:?}");
        assert_eq!(StateClient::checked(given).err(), want, "{text}");
    }
}
