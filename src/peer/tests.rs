//! Tests of the decoding of messages between controllers.

use super::*;
use crate::model::JobId;

#[test]
fn malformed_peer_messages_are_rejected() {
    let valid = encode(&PeerRequest::Query(JobId(3)));
    assert!(matches!(decode::<PeerRequest>(&valid), Ok(PeerRequest::Query(JobId(3)))));
    let cases: [&[u8]; 5] = [b"", b"\xc1", b"GET / HTTP/1.1", b"\x93\x01\x02", &[0xdf; 9]];
    for bytes in cases {
        assert!(decode::<PeerRequest>(bytes).is_err(), "{bytes:?}");
    }
}
