//! Real controllers on loopback, with stand-ins for the state service, the cloud, the workers and the users that speak
//! the published protocol. The leader is stopped, goes on and is killed in the middle of a burst, and a checker reads
//! the whole history. Nothing here asserts speed; waits are bounded.

#[path = "../sim/check.rs"]
#[allow(dead_code)]
mod check;
mod cloud_server;
mod controllers;
mod history;
mod machines;
#[path = "../sim/site.rs"]
#[allow(dead_code)]
mod site;
#[path = "../sim/store.rs"]
#[allow(dead_code)]
mod store;
mod store_server;
mod users;
#[path = "../sim/worker.rs"]
#[allow(dead_code)]
mod worker;

use std::rc::Rc;
use std::time::Duration;

use controllers::Controllers;
use history::History;
use machines::Machines;
use site::Rhythm;
use tokio::time::sleep;
use users::Users;

/// The heartbeat interval of workers and their leases here.
const RHYTHM: Rhythm = Rhythm { report_ms: 500, lease_ms: 6_000, cancel_ms: 16_000 };
/// Machines at the start.
const MACHINES: usize = 36;
/// The team's limit, in cores.
const TEAM_LIMIT: u64 = 200;
/// Jobs of a burst.
const BURST: u64 = 40;

/// A whole site on loopback.
struct Site {
    history: Rc<History>,
    users: Rc<Users>,
    controllers: Controllers,
}

impl Site {
    async fn start(name: &str, standby: bool) -> Site {
        let history = Rc::new(History::new(RHYTHM, TEAM_LIMIT));
        let store = store_server::start().await;
        let machines = Rc::new(Machines::new(history.clone(), RHYTHM));
        let cloud = cloud_server::start(machines.clone()).await;
        let controllers = Controllers::start(name, RHYTHM, TEAM_LIMIT, store, cloud, standby).await;
        machines.set_controllers(controllers.api_addresses());
        for _ in 0..MACHINES {
            machines.add().await;
        }
        let users = Rc::new(Users::new(history.clone(), controllers.api_addresses()));
        Site { history, users, controllers }
    }

    /// The leader, once there is one; other than `before`, if that is given.
    async fn leader(&self, before: Option<usize>) -> usize {
        for _ in 0..300 {
            if let Some(leader) = self.controllers.leader().await
                && Some(leader) != before
            {
                return leader;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("nobody but {before:?} leads");
    }

    /// Waits until users were shown that all jobs have ended.
    async fn all_ended(&self) {
        for _ in 0..1_200 {
            if self.users.open().is_empty() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("not ended: {:?}", self.users.open());
    }
}

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Two failures of the leader in the middle of bursts: it is stopped by a signal for longer than a failover and
/// continued, and its successor is killed and restarted.
#[test]
fn a_leader_stopped_or_killed_in_a_burst_is_replaced_and_no_job_is_lost_or_duplicated() {
    on_one_thread(async {
        let mut site = Site::start("replaced", true).await;
        let first = site.leader(None).await;
        site.users.submit_every(1..=BURST, Duration::from_millis(100));
        sleep(Duration::from_millis(1_500)).await;
        site.controllers.stop(first);
        let second = site.leader(Some(first)).await;
        sleep(Duration::from_millis(1_500)).await;
        site.controllers.go_on(first);
        sleep(Duration::from_millis(2_000)).await;
        assert_eq!(site.leader(None).await, second, "the one that went on does not lead");

        site.users.submit_every(BURST + 1..=2 * BURST, Duration::from_millis(100));
        sleep(Duration::from_millis(1_500)).await;
        site.controllers.kill(second);
        let third = site.leader(Some(second)).await;
        assert_ne!(third, second);
        sleep(Duration::from_millis(1_000)).await;
        site.controllers.restart(second).await;
        site.all_ended().await;

        let status = site.controllers.status(third).await.expect("a status");
        assert!(status.last_failover.is_some_and(|t| t.term > 1), "{:?}", site.controllers.logs());
        assert!(site.controllers.logged("replacing the leader"), "no failover was by suspicion");
        assert_eq!(status.divergences, 0);
        let old = site.controllers.status(first).await.expect("a status");
        assert!(old.last_stand_down.is_some(), "it says why it follows: {old:?}");
        let broken = site.history.broken();
        assert!(broken.is_empty(), "{broken:?}\nlogs in {}", site.controllers.logs());
        // Every task of every job completed; none was forgotten, none ran on two machines at a time.
        assert_eq!(site.history.completed_jobs(), 2 * BURST as usize);
    });
}

/// Without the file the same failures are survived as before, by the leader's lease, and there is no status.
#[test]
fn without_the_standby_failover_follows_lease_expiry() {
    on_one_thread(async {
        let mut site = Site::start("lease", false).await;
        site.users.submit_every(1..=BURST, Duration::from_millis(100));
        sleep(Duration::from_millis(2_000)).await;
        assert!(site.controllers.status(0).await.is_none());
        site.controllers.kill(0);
        sleep(Duration::from_millis(1_000)).await;
        site.controllers.restart(0).await;
        site.all_ended().await;
        let broken = site.history.broken();
        assert!(broken.is_empty(), "{broken:?}\nlogs in {}", site.controllers.logs());
        assert_eq!(site.history.completed_jobs(), BURST as usize);
    });
}
