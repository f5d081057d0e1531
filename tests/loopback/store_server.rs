//! Serves the simulated state service over its HTTP API.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;
use willowshore::http::{self, Request, Response, ServerLimits};
use willowshore::model::{Revision, StoreLease};
use willowshore::store_client::TxnOutcome;
use willowshore::wire::{self, KeyValuePage, LeaseGrant, LeaseRequest, Txn, TxnResponse, Value};

use crate::store::Store;

/// Largest request body in bytes.
const BODY_LIMIT: usize = 256 * 1024;
/// Interval at which a watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

struct StoreServer {
    store: RefCell<Store>,
    started_at: Instant,
}

/// Serves on a free port and returns the address.
pub async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("can bind a free port");
    let addr = listener.local_addr().expect("listener has a local address");
    let server = Rc::new(StoreServer { store: RefCell::default(), started_at: Instant::now() });
    let limits = ServerLimits { max_body_bytes: BODY_LIMIT, ..ServerLimits::new(200) };
    spawn_local(http::serve(listener, limits, move |request| {
        let server = server.clone();
        async move { server.handle(&request).await }
    }));
    addr
}

fn error_response(status: u16, message: &str) -> Response {
    Response::new(status, wire::encode(&HashMap::from([("error", message)])))
}

/// Parses the fields of a path's query string.
fn query_fields(path: &str) -> HashMap<&str, &str> {
    let fields = path.split_once('?').map_or("", |(_, fields)| fields);
    fields.split('&').filter_map(|field| field.split_once('=')).collect()
}

impl StoreServer {
    async fn handle(&self, request: &Request) -> Response {
        let now = self.started_at.elapsed().as_millis() as u64;
        self.store.borrow_mut().expire_leases(now);
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("GET", "/keys") => self.list_keys(&query_fields(&request.path)),
            ("GET", "/changes") => self.watch(&query_fields(&request.path)).await,
            ("POST", "/multi") => self.commit(&request.body),
            ("POST", "/leases") => self.grant_lease(now, &request.body),
            ("POST", _) => self.renew_lease(now, path),
            ("GET", _) => self.read_key(path.strip_prefix("/keys/").unwrap_or("")),
            _ => Response::empty(400),
        }
    }

    fn list_keys(&self, query: &HashMap<&str, &str>) -> Response {
        let prefix = query.get("Starts").copied().unwrap_or("");
        let after = query.get("After").copied().unwrap_or("");
        let limit = query.get("Limit").and_then(|l| l.parse().ok()).unwrap_or(1_000);
        let (items, revision) = self.store.borrow().entries();
        let mut found = items.into_iter().filter(|i| i.key.starts_with(prefix) && *i.key > *after);
        let items = found.by_ref().take(limit).collect();
        let page = KeyValuePage { items, truncated: found.next().is_some(), revision };
        Response::new(200, wire::encode(&page))
    }

    async fn watch(&self, query: &HashMap<&str, &str>) -> Response {
        let after = Revision(query.get("After").and_then(|r| r.parse().ok()).unwrap_or(0));
        let wait = query.get("WaitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let now = self.started_at.elapsed().as_millis() as u64;
            self.store.borrow_mut().expire_leases(now);
            let changes = self.store.borrow().changes_after(after);
            if !changes.events.is_empty() || Instant::now() >= until {
                return Response::new(200, wire::encode(&changes));
            }
            sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    fn commit(&self, body: &[u8]) -> Response {
        let Ok(txn) = wire::decode::<Txn>(body) else { return error_response(400, "malformed") };
        match self.store.borrow_mut().commit(&txn) {
            Some(TxnOutcome::Committed(revision)) => {
                Response::new(200, wire::encode(&TxnResponse { revision, failed: Vec::new() }))
            }
            Some(TxnOutcome::ConditionsFailed(failed)) => {
                Response::new(409, wire::encode(&TxnResponse { revision: Revision(0), failed }))
            }
            None => error_response(400, "no such lease"),
        }
    }

    fn grant_lease(&self, now: u64, body: &[u8]) -> Response {
        let Ok(request) = wire::decode::<LeaseRequest>(body) else {
            return error_response(400, "malformed");
        };
        let lease = self.store.borrow_mut().grant(now, request.ttl_ms);
        Response::new(200, wire::encode(&LeaseGrant { lease }))
    }

    fn renew_lease(&self, now: u64, path: &str) -> Response {
        let id = path.strip_prefix("/leases/").and_then(|rest| rest.strip_suffix("/renew"));
        let Some(id) = id.and_then(|id| id.parse().ok()) else { return Response::empty(400) };
        match self.store.borrow_mut().renew(now, StoreLease(id)) {
            true => Response::new(200, wire::encode(&HashMap::<String, Value>::new())),
            false => Response::empty(404),
        }
    }

    fn read_key(&self, key: &str) -> Response {
        let (items, revision) = self.store.borrow().entries();
        match items.into_iter().find(|i| i.key == key) {
            Some(item) => Response::new(200, wire::encode(&item)),
            None => Response::new(404, wire::encode(&HashMap::from([("Epoch", revision)]))),
        }
    }
}
