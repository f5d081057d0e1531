//! Tests of splitting and joining messages.

use super::*;

type Joined = Result<Vec<u8>, ChunkError>;

#[test]
fn chunks_are_joined_into_a_whole_message_or_none() {
    let long: Vec<u8> = (0..2_000u32).map(|n| n as u8).collect();
    let chunks = split(&long, 500);
    assert!(chunks.len() > 3 && chunks.iter().all(|p| p.len() <= 500));
    let texts = |p: &[String]| p.to_vec();
    let short = split(b"short", 500);
    let mixed: Vec<String> = short.iter().chain(&chunks[1..]).cloned().collect();
    let mut torn = texts(&chunks);
    torn[1] = split(&long[1..], 500)[1].clone();
    let malformed = Err(ChunkError::Malformed { index: 0 });
    let cases: Vec<(Vec<String>, Joined)> = vec![
        (texts(&chunks), Ok(long)),
        (texts(&chunks[..2]), Err(ChunkError::Incomplete)),
        (mixed, Ok(b"short".to_vec())),
        (torn, Err(ChunkError::Mismatched { index: 1 })),
        (vec!["rubbish".into()], malformed.clone()),
        (vec!["00:x:1:".into()], malformed.clone()),
        (vec!["00:0:-1:".into()], malformed),
        (vec!["00:0:0:".into()], Err(ChunkError::Mismatched { index: 0 })),
        (vec!["00:1:2:".into()], Err(ChunkError::Mismatched { index: 0 })),
        (vec!["00:0:1:!!".into()], Err(ChunkError::Encoding)),
        (vec!["0000000000000000:0:1:AAAA".into()], Err(ChunkError::Checksum)),
        (vec![], Err(ChunkError::Incomplete)),
    ];
    for (chunks, expected) in cases {
        assert_eq!(join(chunks.iter().map(String::as_str)), expected);
    }
}

#[test]
fn chunks_keep_the_format_of_earlier_versions() {
    // (message, its only chunk). An empty message has no chunk; its checksum would be the hash's
    // offset basis.
    assert_eq!(split(b"", 500), Vec::<String>::new());
    let chunks = split(b"a", 500);
    assert_eq!(chunks, ["af63dc4c8601ec8c:0:1:YQ"]);
}
