//! Tables of cases for `store_client`.

use super::token_bucket::MAX_DEBT_S;
use super::*;
use ciborium::cbor;

#[test]
fn a_bucket_allows_its_burst_and_then_its_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10.0, 2.0, start);
    assert_eq!(bucket.take(2.0, start), Duration::ZERO);
    assert_eq!(bucket.take(1.0, start), Duration::from_millis(100));
    let later = start + Duration::from_secs(60);
    assert_eq!(bucket.take(2.0, later), Duration::ZERO);
    assert_eq!(bucket.take(1.0, later), Duration::from_millis(100));
}

#[test]
fn statuses_say_whether_a_request_was_carried_out() {
    let answer = |status, body: &[u8]| {
        Ok(ClientResponse { status, body: body.to_vec(), retry_after_s: None })
    };
    let lease = wire::encode(&cbor!({"error" => "no such lease"}).unwrap());
    let cases = [
        (answer(503, b""), Some(StoreError::Refused(503))),
        (answer(429, b""), Some(StoreError::Refused(429))),
        (answer(410, b""), Some(StoreError::TooOld)),
        (answer(400, &lease), Some(StoreError::NoLease)),
        (answer(400, b""), Some(StoreError::Malformed(400))),
        (Err(CallError::Connect), Some(StoreError::Refused(0))),
        (Err(CallError::Timeout), Some(StoreError::Unknown)),
        (Err(CallError::ConnectionLost), Some(StoreError::Unknown)),
        (answer(409, b""), None),
        (answer(404, b""), None),
    ];
    for (given, want) in cases {
        let text = format!("{given:?}");
        assert_eq!(StoreClient::checked(given).err(), want, "{text}");
    }
}

#[test]
fn waiting_requests_pay_a_bounded_debt_for_user_writes() {
    // Seen on a bench day: users' writes took from a controller's budget without waiting until it was 650 changes
    // in debt, and when it was to lead, its election and every epoch waited 5 s. (rate, taken at once)
    for (rate, taken) in [(7.4, 650), (27.0, 400), (0.5, 30)] {
        let began = Instant::now();
        let mut bucket = TokenBucket::new(rate, rate, began);
        for _ in 0..taken {
            bucket.take(1.0, began);
        }
        let wait = bucket.take(1.0, began);
        assert!(wait.as_secs_f64() <= MAX_DEBT_S + 0.001, "{rate} {taken}: {wait:?}");
        let later = began + Duration::from_secs_f64(MAX_DEBT_S + 2.0 / rate);
        assert_eq!(bucket.take(1.0, later), Duration::ZERO, "{rate} {taken}: it is over then");
    }
}

#[test]
fn a_page_of_the_largest_values_stays_small() {
    // Seen on a bench day: restarted controllers ended for memory as they read pages of 500 items, most of them short
    // ranges, each of which takes some 200 bytes while it is decoded.
    const VALUE_BYTES: usize = 8 * 1024;
    let first = PageSize::default();
    let path = page_path("j/", Some("j/7"), first);
    let limit = path.split('&').find_map(|part| part.strip_prefix("Limit=")).unwrap();
    assert!(limit.parse::<usize>().unwrap() * VALUE_BYTES <= 512 * 1024, "{path}");
    assert_eq!(page_path("", None, first), format!("/keys?Starts=&Limit={limit}"));
    assert!(path.ends_with("&After=j/7"), "{path}");
    // However many pages of them follow each other, each holds what a page is to hold.
    let mut size = first;
    for _ in 0..20 {
        size = size.after(size.items(), size.items() * VALUE_BYTES);
        assert!(size.items() * VALUE_BYTES <= PAGE_BYTES, "{size:?}");
    }
}

#[test]
fn a_store_of_small_items_is_read_in_few_requests() {
    // 100,000 ended jobs in pages of 64 items took 28 s at 57 requests a second, longer than a worker's lease.
    let (mut size, mut read, mut pages) = (PageSize::default(), 0, 0);
    while read < 100_000 {
        read += size.items();
        pages += 1;
        size = size.after(size.items(), size.items() * 100);
    }
    assert!(pages < 170, "{pages} pages");
    // Larger items than before at most double what a page holds.
    assert_eq!(PageSize::default().after(64, 64).items(), 128);
}
