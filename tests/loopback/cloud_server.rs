//! Serves a simulated cloud over its HTTP API.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use willowshore::http::{self, Request, Response, ServerLimits};
use willowshore::wire::{self, MachineListPage, MachineNames, ScaleOutRequest};

use crate::machines::Machines;
use crate::site::catalog;

/// Most machines that run at the same time. Further scale-out requests get no capacity.
const MAX_MACHINES: usize = 80;

/// Serves on a free port and returns the address.
pub async fn start(machines: Rc<Machines>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("can bind a free port");
    let addr = listener.local_addr().expect("listener has a local address");
    spawn_local(http::serve(listener, ServerLimits::new(64), move |request| {
        let machines = machines.clone();
        async move { answer(&machines, &request).await }
    }));
    addr
}

async fn answer(machines: &Rc<Machines>, request: &Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    match (request.method.as_str(), path) {
        ("GET", "/flavors") => Response::new(200, wire::encode(&catalog())),
        ("GET", "/machines") => {
            let after = request.path.split('&').find_map(|f| f.split_once("After=")).map(|f| f.1);
            let machines = machines.list_after(after.unwrap_or(""));
            Response::new(200, wire::encode(&MachineListPage { machines, truncated: false }))
        }
        ("POST", "/machines") => scale_out(machines, &request.body).await,
        ("POST", "/machines/return") => {
            let Ok(returned) = wire::decode::<MachineNames>(&request.body) else {
                return Response::empty(400);
            };
            returned.machines.iter().for_each(|id| machines.terminate(id));
            Response::new(200, wire::encode(&HashMap::<String, u8>::new()))
        }
        _ => Response::empty(400),
    }
}

async fn scale_out(machines: &Rc<Machines>, body: &[u8]) -> Response {
    let Ok(request) = wire::decode::<ScaleOutRequest>(body) else { return Response::empty(400) };
    if let Some(provisioned) = machines.provisioned_by(&request.idempotency_key) {
        return Response::new(200, wire::encode(&MachineNames { machines: provisioned }));
    }
    let capacity = MAX_MACHINES.saturating_sub(machines.running_count());
    if capacity == 0 {
        return Response::new(503, wire::encode(&HashMap::from([("error", "no capacity")])));
    }
    let mut provisioned = Vec::new();
    for _ in 0..capacity.min(request.count as usize) {
        provisioned.push(machines.add_in_zone(&request.zone, request.spot).await);
    }
    machines.record_scale_out(&request.idempotency_key, &provisioned);
    Response::new(200, wire::encode(&MachineNames { machines: provisioned }))
}
