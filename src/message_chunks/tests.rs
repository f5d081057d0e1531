//! Tables of cases for `relay`.

use super::*;

#[test]
fn messages_come_back_whole_or_not_at_all() {
    let long: Vec<u8> = (0..2_000u32).map(|n| n as u8).collect();
    let chunks = split(&long, 500);
    assert!(chunks.len() > 3 && chunks.iter().all(|p| p.len() <= 500));
    let texts = |p: &[String]| p.to_vec();
    let short = split(b"short", 500);
    let mixed: Vec<String> = short.iter().chain(&chunks[1..]).cloned().collect();
    let mut torn = texts(&chunks);
    torn[1] = split(&long[1..], 500)[1].clone();
    let cases: Vec<(Vec<String>, Option<Vec<u8>>)> = vec![
        (texts(&chunks), Some(long)),
        (texts(&chunks[..2]), None),
        (mixed, Some(b"short".to_vec())),
        (torn, None),
        (vec!["rubbish".into()], None),
        (vec![], None),
    ];
    for (chunks, want) in cases {
        assert_eq!(join(chunks.iter().map(String::as_str)), want);
    }
}
