//! Tests of the encoding of payloads, and of the errors for malformed ones.

use super::*;
use crate::decisions::TaskNumber;

#[test]
fn decisions_survive_a_round_trip() {
    let decisions = [Decision::Granted(TaskNumber(1, 2), None)];
    assert_eq!(unpack(&pack(&decisions)), Ok(decisions.to_vec()));
    assert_eq!(encoded_len(&decisions[0]), rmp_serde::to_vec(&decisions[0]).unwrap().len());
}

#[test]
fn malformed_payloads_are_rejected_before_memory_is_allocated() {
    let oversized = [0xff, 0xff, 0xff, 0xff, 0, 0];
    let not_decisions = lz4_flex::compress_prepend_size(b"not a list of decisions");
    let packed = pack(&[Decision::Granted(TaskNumber(1, 2), None)]);
    let cases = [
        (&[][..], PayloadError::MissingSize),
        (&[1, 2][..], PayloadError::MissingSize),
        (&oversized[..], PayloadError::TooLarge(0xffff_ffff)),
        (&not_decisions[..], PayloadError::Encoding),
        (&packed[..packed.len() - 1], PayloadError::Compression),
    ];
    for (payload, error) in cases {
        assert_eq!(unpack(payload), Err(error), "{payload:?}");
    }
}
