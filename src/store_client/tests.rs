//! Tests of the store client's error mapping, rate limit and page sizes.

use super::token_bucket::MAX_DEBT_S;
use super::*;
use ciborium::cbor;

#[test]
fn token_bucket_allows_its_burst_and_then_its_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10.0, 2.0, start);
    assert_eq!(bucket.take(2.0, start), Duration::ZERO);
    assert_eq!(bucket.take(1.0, start), Duration::from_millis(100));
    let later = start + Duration::from_secs(60);
    assert_eq!(bucket.take(2.0, later), Duration::ZERO);
    assert_eq!(bucket.take(1.0, later), Duration::from_millis(100));
}

#[test]
fn responses_show_whether_a_request_was_carried_out() {
    let answer = |status, body: &[u8]| {
        Ok(ClientResponse { status, body: body.to_vec(), retry_after_s: None })
    };
    let lease_error = wire::encode(&cbor!({"error" => "no such lease"}).unwrap());
    let cases = [
        (answer(503, b""), Some(StoreError::Refused(503))),
        (answer(429, b""), Some(StoreError::Refused(429))),
        (answer(410, b""), Some(StoreError::ChangesTooOld)),
        (answer(400, &lease_error), Some(StoreError::LeaseNotFound)),
        (answer(400, b""), Some(StoreError::Malformed(400))),
        (Err(CallError::Connect), Some(StoreError::Refused(0))),
        (Err(CallError::Timeout), Some(StoreError::Unknown)),
        (Err(CallError::ConnectionLost), Some(StoreError::Unknown)),
        (answer(409, b""), None),
        (answer(404, b""), None),
    ];
    for (answer, expected) in cases {
        let text = format!("{answer:?}");
        assert_eq!(StoreClient::map_errors(answer).err(), expected, "{text}");
    }
}

#[test]
fn waiting_requests_pay_a_bounded_debt_for_user_writes() {
    // Guards against an unbounded debt: in a benchmark, users' writes charged without waiting put a
    // controller 650 changes into debt, and when it was to lead, its election and every epoch
    // waited 5 s. (rate, changes charged at once)
    for (rate, taken) in [(7.4, 650), (27.0, 400), (0.5, 30)] {
        let began = Instant::now();
        let mut bucket = TokenBucket::new(rate, rate, began);
        for _ in 0..taken {
            bucket.take(1.0, began);
        }
        let wait = bucket.take(1.0, began);
        assert!(wait.as_secs_f64() <= MAX_DEBT_S + 0.001, "{rate} {taken}: {wait:?}");
        let later = began + Duration::from_secs_f64(MAX_DEBT_S + 2.0 / rate);
        assert_eq!(bucket.take(1.0, later), Duration::ZERO, "{rate} {taken}: the debt is paid");
    }
}

#[test]
fn pages_of_the_largest_values_stay_within_the_target_size() {
    // Guards against pages that exhaust memory: in a benchmark, restarted controllers ran out of
    // memory while reading pages of 500 items. The values were mostly short task ranges, each of
    // which takes about 200 bytes while it is decoded.
    const VALUE_BYTES: usize = 8 * 1024;
    let first = PageSize::default();
    let path = page_path("j/", Some("j/7"), first);
    let limit = path.split('&').find_map(|part| part.strip_prefix("Limit=")).unwrap();
    assert!(limit.parse::<usize>().unwrap() * VALUE_BYTES <= 512 * 1024, "{path}");
    assert_eq!(page_path("", None, first), format!("/keys?Starts=&Limit={limit}"));
    assert!(path.ends_with("&After=j/7"), "{path}");
    // Each page of a series of such pages stays within the target size.
    let mut size = first;
    for _ in 0..20 {
        size = size.after(size.items(), size.items() * VALUE_BYTES);
        assert!(size.items() * VALUE_BYTES <= TARGET_PAGE_BYTES, "{size:?}");
    }
}

#[test]
fn small_items_are_read_in_few_requests() {
    // Guards against slow full reads: 100,000 ended jobs in pages of 64 items took 28 s at 57
    // requests per second, longer than a worker's lease.
    let (mut size, mut read, mut pages) = (PageSize::default(), 0, 0);
    while read < 100_000 {
        read += size.items();
        pages += 1;
        size = size.after(size.items(), size.items() * 100);
    }
    assert!(pages < 170, "{pages} pages");
    // After a page of small items, the size at most doubles, as later items may be larger.
    assert_eq!(PageSize::default().after(64, 64).items(), 128);
}
