//! Runs real controllers on loopback against a simulated state service, cloud, workers and users over HTTP. The
//! leader is suspended, resumed and killed during bursts of jobs, and the checker of the simulation verifies the
//! whole history. No test asserts a speed; all waits are bounded.

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
use site::WorkerTiming;
use tokio::time::sleep;
use users::Users;

/// The timing of the workers.
const TIMING: WorkerTiming = WorkerTiming { report_ms: 500, lease_ms: 6_000, cancel_ms: 16_000 };
/// Machines that run before the first job.
const INITIAL_MACHINES: usize = 36;
/// The team's limit.
const TEAM_LIMIT_CORES: u64 = 200;
/// Jobs in each burst.
const BURST_JOBS: u64 = 40;

/// A site on loopback: controllers, users and the history. Store, cloud and machines run as local tasks.
struct Site {
    history: Rc<History>,
    users: Rc<Users>,
    controllers: Controllers,
}

impl Site {
    async fn start(name: &str, standby: bool) -> Site {
        let history = Rc::new(History::new(TIMING, TEAM_LIMIT_CORES));
        let store = store_server::start().await;
        let machines = Rc::new(Machines::new(history.clone(), TIMING));
        let cloud = cloud_server::start(machines.clone()).await;
        let controllers =
            Controllers::start(name, TIMING, TEAM_LIMIT_CORES, store, cloud, standby).await;
        machines.set_controllers(controllers.api_addresses());
        for _ in 0..INITIAL_MACHINES {
            machines.add().await;
        }
        let users = Rc::new(Users::new(history.clone(), controllers.api_addresses()));
        Site { history, users, controllers }
    }

    /// Waits for a leader other than `previous`.
    async fn wait_for_leader(&self, previous: Option<usize>) -> usize {
        for _ in 0..300 {
            if let Some(leader) = self.controllers.leader().await
                && Some(leader) != previous
            {
                return leader;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("no controller other than {previous:?} leads after 300 queries");
    }

    /// Waits until users were shown all jobs as done.
    async fn wait_until_all_ended(&self) {
        for _ in 0..1_200 {
            if self.users.open_jobs().is_empty() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("jobs not shown as done within 2 min: {:?}", self.users.open_jobs());
    }
}

fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("can build a runtime"), test);
}

/// The leader fails in each of two bursts. The first leader is suspended for longer than a failover and resumed; its
/// successor is killed and restarted.
#[test]
fn a_leader_suspended_or_killed_in_a_burst_is_replaced_and_no_job_is_lost_or_duplicated() {
    run_on_one_thread(async {
        let mut site = Site::start("replaced", true).await;
        let first = site.wait_for_leader(None).await;
        site.users.submit_every(1..=BURST_JOBS, Duration::from_millis(100));
        sleep(Duration::from_millis(1_500)).await;
        site.controllers.suspend(first);
        let second = site.wait_for_leader(Some(first)).await;
        sleep(Duration::from_millis(1_500)).await;
        site.controllers.resume(first);
        sleep(Duration::from_millis(2_000)).await;
        assert_eq!(
            site.wait_for_leader(None).await,
            second,
            "the resumed controller must not lead"
        );

        site.users.submit_every(BURST_JOBS + 1..=2 * BURST_JOBS, Duration::from_millis(100));
        sleep(Duration::from_millis(1_500)).await;
        site.controllers.kill(second);
        let third = site.wait_for_leader(Some(second)).await;
        assert_ne!(third, second);
        sleep(Duration::from_millis(1_000)).await;
        site.controllers.restart(second).await;
        site.wait_until_all_ended().await;

        let status = site.controllers.status(third).await.expect("controller serves its status");
        assert!(
            status.last_failover.is_some_and(|t| t.term > 1),
            "no failover after the first term; logs in {:?}",
            site.controllers.log_dir()
        );
        assert!(
            site.controllers.logged("replacing the leader"),
            "no failover was started by a suspicion"
        );
        assert_eq!(status.divergences, 0);
        let old_status =
            site.controllers.status(first).await.expect("controller serves its status");
        assert!(
            old_status.last_stand_down.is_some(),
            "no reason for the stand-down: {old_status:?}"
        );
        let violations = site.history.violations();
        assert!(violations.is_empty(), "{violations:?}\nlogs in {}", site.controllers.log_dir());
        // Every task of every job completed: no job was lost. The checker would have reported a task on two machines.
        assert_eq!(site.history.completed_jobs(), 2 * BURST_JOBS as usize);
    });
}

/// Without the standby settings file, the site survives the kill and restart of a controller, a leader is replaced
/// when its lease expires, and no standby status is served.
#[test]
fn without_the_standby_failover_follows_lease_expiry() {
    run_on_one_thread(async {
        let mut site = Site::start("lease", false).await;
        site.users.submit_every(1..=BURST_JOBS, Duration::from_millis(100));
        sleep(Duration::from_millis(2_000)).await;
        assert!(site.controllers.status(0).await.is_none());
        site.controllers.kill(0);
        sleep(Duration::from_millis(1_000)).await;
        site.controllers.restart(0).await;
        site.wait_until_all_ended().await;
        let violations = site.history.violations();
        assert!(violations.is_empty(), "{violations:?}\nlogs in {}", site.controllers.log_dir());
        assert_eq!(site.history.completed_jobs(), BURST_JOBS as usize);
    });
}
