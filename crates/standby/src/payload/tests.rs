//! Payloads that cannot be read are refused, and say why.

use super::*;
use crate::decisions::TaskNumber;

#[test]
fn a_payload_gives_back_its_decisions() {
    let decisions = [Decision::Granted(TaskNumber(1, 2), None)];
    assert_eq!(unpack(&pack(&decisions)), Ok(decisions.to_vec()));
    assert_eq!(encoded_len(&decisions[0]), rmp_serde::to_vec(&decisions[0]).unwrap().len());
}

#[test]
fn malformed_payloads_are_refused_before_memory_is_allocated_for_them() {
    let huge = [0xff, 0xff, 0xff, 0xff, 0, 0];
    let text = lz4_flex::compress_prepend_size(b"not a list of decisions");
    let cut = pack(&[Decision::Granted(TaskNumber(1, 2), None)]);
    let cases = [
        (&[][..], PayloadError::MissingSize),
        (&[1, 2][..], PayloadError::MissingSize),
        (&huge[..], PayloadError::TooLarge(0xffff_ffff)),
        (&text[..], PayloadError::Encoding),
        (&cut[..cut.len() - 1], PayloadError::Compression),
    ];
    for (payload, why) in cases {
        assert_eq!(unpack(payload), Err(why), "{payload:?}");
    }
}
