//! Runs real controllers on loopback against a simulated state service, cloud, workers and users over HTTP. The
//! leader is suspended, resumed and killed during bursts of jobs, and the checker of the simulation verifies the
//! whole history. No test asserts a speed; all waits are bounded.

#[path = "../sim/check.rs"]
#[allow(dead_code)]
mod check;
mod cloud_server;
mod controllers;
mod history;
mod links;
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

use check::ShownState;
use controllers::{Controllers, Options};
use history::History;
use machines::Machines;
use site::WorkerTiming;
use tokio::task::spawn_local;
use tokio::time::sleep;
use users::Users;

/// The timing of the workers.
const TIMING: WorkerTiming = WorkerTiming { report_ms: 500, lease_ms: 6_000, cancel_ms: 16_000 };
/// The timing of the workers where tasks have to wait for their machine's next heartbeat.
const RARE_HEARTBEATS: WorkerTiming =
    WorkerTiming { report_ms: 1_500, lease_ms: 10_000, cancel_ms: 30_000 };
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
    async fn start(name: &str, timing: WorkerTiming, options: Options) -> Site {
        let history = Rc::new(History::new(timing, TEAM_LIMIT_CORES));
        let store = store_server::start().await;
        let machines = Rc::new(Machines::new(history.clone(), timing));
        let cloud = cloud_server::start(machines.clone()).await;
        let controllers =
            Controllers::start(name, timing, TEAM_LIMIT_CORES, store, cloud, options).await;
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
        let mut site =
            Site::start("replaced", TIMING, Options { standby: true, links: false }).await;
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
        let mut site = Site::start("lease", TIMING, Options::default()).await;
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

/// Guards against a cancellation that is confirmed to its user while a controller that has lost the store and the other
/// controllers starts tasks of the job on its machines. Users wait 5 s for the answer.
#[test]
fn a_cancellation_is_confirmed_only_once_a_cut_controller_starts_no_task_of_the_job() {
    const JOBS: u64 = 24;
    run_on_one_thread(async {
        let options = Options { standby: true, links: true };
        let site = Site::start("cut", RARE_HEARTBEATS, options).await;
        let leader = site.wait_for_leader(None).await;
        let (cut, other) = ((leader + 1) % 3, (leader + 2) % 3);
        // Once the first jobs have ended, all machines are in use.
        site.users.submit_every(JOBS + 1..=2 * JOBS, Duration::from_millis(10));
        site.wait_until_all_ended().await;
        site.users.submit_every(1..=JOBS, Duration::from_millis(2));
        // Most tasks are granted by then and wait for the next heartbeat of their machine.
        sleep(Duration::from_millis(400)).await;
        site.controllers.set_cut(cut, true);
        sleep(Duration::from_millis(50)).await;
        let cancellations: Vec<_> = (1..=JOBS)
            .map(|job| {
                let users = site.users.clone();
                spawn_local(async move { users.cancel(job, other).await })
            })
            .collect();
        sleep(Duration::from_millis(100)).await;
        // Until the cut controller has lost its right to start tasks, nobody says that a job is cancelled, and nobody
        // says anything older. A request that need not wait is not held up by those that do.
        let users = site.users.clone();
        let query = spawn_local(async move { users.query_refused(JOBS, leader).await });
        let submission = site.users.submit(2 * JOBS + 1, other).await;
        assert_eq!(submission, Some(ShownState::Open), "refused while cancellations wait");
        let retry_after_s = query.await.expect("the request ends");
        assert!(retry_after_s.is_some_and(|s| (1..=4).contains(&s)), "{retry_after_s:?}");
        for cancellation in cancellations {
            let answer = cancellation.await.expect("the request ends");
            assert!(
                matches!(answer, Some(ShownState::Cancelled | ShownState::Done)),
                "{answer:?}; logs in {}",
                site.controllers.log_dir()
            );
        }
        // Any controller that can still start tasks would do so at its machines' next heartbeats.
        sleep(Duration::from_millis(2 * RARE_HEARTBEATS.report_ms)).await;
        site.controllers.set_cut(cut, false);
        site.wait_until_all_ended().await;
        for job in 1..=JOBS {
            for node in 0..3 {
                site.users.query(job, node).await;
            }
        }
        let violations = site.history.violations();
        assert!(violations.is_empty(), "{violations:?}\nlogs in {}", site.controllers.log_dir());
        let cancelled = site.history.cancelled_jobs();
        assert!(cancelled > JOBS as usize / 2, "only {cancelled} of {JOBS} jobs were cancelled");
    });
}
