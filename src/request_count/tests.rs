//! Tests of the bound on requests in progress.

use super::*;

#[test]
fn requests_beyond_the_limit_are_refused_until_others_end() {
    let requests = RequestCount::default();
    let first = requests.try_begin(2);
    let second = requests.try_begin(2);
    assert!(first.is_some() && second.is_some());
    assert!(requests.try_begin(2).is_none());
    assert!(requests.try_begin(1).is_none(), "a lower limit of another kind of request");
    drop(first);
    assert!(requests.try_begin(2).is_some(), "a dropped guard ends its request");
    assert!(requests.try_begin(1).is_none());
    drop(second);
    assert!(requests.try_begin(1).is_some());
}
