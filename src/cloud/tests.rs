//! Tests of the cloud client's error mapping.

use super::*;
use ciborium::cbor;

#[test]
fn errors_show_whether_a_scale_out_was_carried_out() {
    let answer = |status, error: &str| {
        let body = wire::encode(&cbor!({"error" => error}).unwrap());
        Ok(ClientResponse { status, body, retry_after_s: None })
    };
    let cases = [
        (answer(503, "no capacity"), CloudError::NoCapacity),
        (answer(503, "trouble"), CloudError::Refused(503)),
        (answer(429, ""), CloudError::Refused(429)),
        (Err(CallError::Connect), CloudError::Refused(0)),
        (Err(CallError::Timeout), CloudError::Unknown),
    ];
    for (answer, expected) in cases {
        assert_eq!(CloudClient::map_errors(answer).unwrap_err(), expected);
    }
}
