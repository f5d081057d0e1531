//! Tests for connection limits and for the parsing of request heads.

use super::parsing::{
    HeadError, MAX_HEAD_BYTES, MAX_HEADERS, READ_BUFFER_BYTES, parse_request, parse_response,
};
use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Opens connections to a server that accepts six, of which at most three of users and two without a request. Sends a
/// request on each connection that has a path, and returns the status of its response, or `None` if the connection was
/// closed.
async fn flood(paths: &[Option<&str>]) -> Vec<Option<u16>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let classify = |path: &str| if path == "/user" { ClientKind::User } else { ClientKind::Worker };
    let limits = ServerLimits {
        max_user_connections: 3,
        max_unclassified_connections: 2,
        classify,
        ..ServerLimits::new(6)
    };
    let server = tokio::task::spawn_local(serve(listener, limits, |_| async {
        Response::new(200, vec![1])
    }));
    let mut open = Vec::new();
    let mut statuses = Vec::new();
    for path in paths {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let mut buf = Vec::with_capacity(READ_BUFFER_BYTES);
        if let Some(path) = path {
            let request = format!("GET {path} HTTP/1.1\r\n\r\n");
            let sent = stream.write_all(request.as_bytes()).await;
            let read = stream.read_buf(&mut buf).await;
            let status = (sent.is_ok() && read.is_ok_and(|n| n > 0))
                .then(|| parse_response(&buf).ok().flatten().map(|a| a.status))
                .flatten();
            statuses.push(status);
        }
        open.push(stream);
    }
    server.abort();
    statuses
}

#[tokio::test]
async fn connection_limits_by_client_kind_are_enforced() {
    let (user, worker) = (Some("/user"), Some("/worker"));
    let ok = Some(200);
    type Case = (&'static str, Vec<Option<&'static str>>, Vec<Option<u16>>);
    let cases: Vec<Case> = vec![
        ("users", vec![user; 5], vec![ok, ok, ok, Some(503), Some(503)]),
        (
            "workers after users",
            vec![user, user, user, user, worker, worker, worker],
            vec![ok, ok, ok, Some(503), ok, ok, ok],
        ),
        ("connections without a request", vec![None, None, worker], vec![None]),
        (
            "all in use",
            [vec![worker; 6], vec![worker]].concat(),
            [vec![ok; 6], vec![None]].concat(),
        ),
    ];
    for (what, paths, want) in cases {
        let got = tokio::task::LocalSet::new().run_until(flood(&paths)).await;
        assert_eq!(got, want, "{what}");
    }
}

#[test]
fn request_heads_are_accepted_or_rejected() {
    let long = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(MAX_HEAD_BYTES));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(MAX_HEADERS + 1));
    let cases: Vec<(&str, Result<Option<usize>, HeadError>)> = vec![
        ("GET /ready HTTP/1.1\r\n\r\n", Ok(Some(0))),
        ("GET /ready HTTP/1.1\r\nHos", Ok(None)),
        ("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n", Ok(Some(10))),
        ("POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n", Err(HeadError::BodyTooLarge)),
        ("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Err(HeadError::Malformed)),
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            Err(HeadError::Malformed),
        ),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Err(HeadError::LengthRequired)),
        ("\x01\x02 nonsense\r\n\r\n", Err(HeadError::Malformed)),
        (&long, Err(HeadError::TooLarge)),
        (&many, Err(HeadError::TooLarge)),
    ];
    for (text, want) in cases {
        let got = parse_request(text.as_bytes(), 100).map(|h| h.map(|h| h.body_bytes));
        assert_eq!(got, want, "{}", &text[..text.len().min(60)]);
    }
    let head = parse_request(b"GET / HTTP/1.1\r\nConnection: Close\r\n\r\n", 1).unwrap();
    assert!(head.unwrap().close);
}
