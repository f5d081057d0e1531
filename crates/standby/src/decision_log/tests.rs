//! Tests of the batches that standbys receive from the log.

use super::*;
use crate::decisions::tests::target;
use crate::payload::unpack;

fn empty_log() -> DecisionLog {
    let settings =
        StandbySettings { window_records: 64, batch_records: 16, ..StandbySettings::default() };
    DecisionLog::new(Term(3), &settings)
}

fn request_after(index: u64) -> FollowRequest {
    FollowRequest { applied: LogPosition { term: Term(3), index }, ..FollowRequest::default() }
}

#[test]
fn a_standby_receives_the_decisions_after_its_position_in_bounded_batches() {
    let mut log = empty_log();
    let count = log.record(WallTime(10), &target(1)) as u64;
    assert!(count > 16);
    let batch = log.batch_for(&request_after(0)).unwrap();
    assert_eq!((batch.kind, batch.from.index, batch.to.index), (BatchKind::Records, 0, 16));
    assert_eq!(batch.newest.index, count);
    let next = log.batch_for(&request_after(16)).unwrap();
    assert_eq!(next.to.index, count.min(32));
    assert_eq!(log.batch_for(&request_after(count)), None);
    assert_eq!(log.record(WallTime(11), &target(1)), 0, "nothing changed");
}

#[test]
fn the_log_is_bounded_and_a_standby_that_falls_behind_gets_a_snapshot() {
    let mut log = empty_log();
    for n in 0..60 {
        log.record(WallTime(n), &target(n));
        assert!(log.retained() <= 64);
    }
    let batch = log.batch_for(&request_after(1)).unwrap();
    assert_eq!(batch.kind, BatchKind::Snapshot { offset: 0, more: false });
    assert_eq!(batch.to, log.newest());
    // The same holds for a standby that requests a snapshot, follows another term, or sends a position beyond the log.
    let other_term = LogPosition { term: Term(2), index: 5 };
    let cases = [
        FollowRequest { snapshot: true, ..request_after(log.newest().index) },
        FollowRequest { applied: other_term, ..FollowRequest::default() },
        request_after(1_000_000),
    ];
    for request in cases {
        let batch = log.batch_for(&request).unwrap();
        assert!(matches!(batch.kind, BatchKind::Snapshot { .. }), "{request:?}");
    }
}

#[test]
fn a_large_snapshot_is_sent_in_chunks_below_the_size_limit() {
    let mut log = empty_log();
    let grants = (0..120_000)
        .map(|i| (crate::decisions::TaskNumber(i / 1_000, i as u32), willowshore_model::NodeId(1)));
    let large = DecisionTarget { grants: grants.collect(), ..DecisionTarget::default() };
    log.record(WallTime(1), &large);
    let mut request = FollowRequest { snapshot: true, ..request_after(0) };
    let mut chunks = 0;
    loop {
        let batch = log.batch_for(&request).unwrap();
        chunks += 1;
        assert!(batch.payload.len() < 700_000);
        request.received += unpack(&batch.payload).unwrap().len() as u64;
        match batch.kind {
            BatchKind::Snapshot { more: true, .. } => {}
            _ => break,
        }
    }
    assert_eq!(request.received, 120_000);
    assert!(chunks > 1);
}
