//! Tables of cases for `meter`.

use super::*;

#[test]
fn a_line_tells_what_came_since_the_last() {
    let meter = Meter::default();
    assert_eq!(meter.line(), "");
    meter.note(Work::Epoch, 100);
    meter.note(Work::Epoch, 300);
    meter.note(Work::Watch, u64::MAX);
    let line = meter.line();
    assert!(line.starts_with("epoch 2 x 200 us (p99 30"), "{line}");
    assert!(line.contains("watch 1 x"), "{line}");
    assert_eq!(meter.line(), "");
}
