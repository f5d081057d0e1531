//! Controllers as real processes of the program, which a test suspends, resumes, kills and restarts.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;
use willowshore::http::Client;
use willowshore::service::STATUS_PATH;
use willowshore_standby::status::{Role, Status};

use crate::links::Link;
use crate::site::{WorkerTiming, ZONES};

/// Number of controllers in a site.
const CONTROLLER_COUNT: usize = 3;
/// Time-out of a request to a controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

struct Controller {
    process: Child,
    settings: PathBuf,
    /// Address for users and workers.
    api_addr: SocketAddr,
    /// Address for other controllers.
    peer_addr: SocketAddr,
    /// Number of processes started so far.
    start_count: usize,
}

/// How the controllers of a site are run.
#[derive(Clone, Copy, Default)]
pub struct Options {
    /// Whether the warm standby is enabled.
    pub standby: bool,
    /// Whether the controllers reach the store and each other over links that a test can cut.
    pub links: bool,
}

/// Addresses that a controller's settings name.
struct Addresses {
    api: SocketAddr,
    peer: SocketAddr,
    /// Addresses for other controllers, by controller. The controller's own one is not used.
    others: Vec<SocketAddr>,
    store: SocketAddr,
    cloud: SocketAddr,
}

/// All controllers of a site. Dropping the value kills their processes, and removes the directory unless the test
/// panicked.
pub struct Controllers {
    /// Directory of settings files and logs.
    dir: PathBuf,
    /// Whether the warm standby is enabled.
    standby: bool,
    controllers: Vec<Controller>,
    /// Links to the store and to the other controllers, each with the two processes that it connects.
    links: Vec<(usize, Option<usize>, Link)>,
}

/// Returns addresses with ports that are free now, so that settings can name them before the controllers listen.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("can bind a free port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|l| l.local_addr().expect("listener has a local address")).collect()
}

impl Controllers {
    /// Starts all controllers and waits until each is ready.
    pub async fn start(
        name: &str,
        timing: WorkerTiming,
        team_limit: u64,
        store: SocketAddr,
        cloud: SocketAddr,
        options: Options,
    ) -> Self {
        let dir = std::env::temp_dir().join(format!("willowshore-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("can create the directory");
        let addresses = free_addresses(2 * CONTROLLER_COUNT);
        let (api_addrs, peer_addrs) = addresses.split_at(CONTROLLER_COUNT);
        let mut controllers = Controllers {
            dir,
            standby: options.standby,
            controllers: Vec::new(),
            links: Vec::new(),
        };
        for node in 0..CONTROLLER_COUNT {
            let mut addresses = Addresses {
                api: api_addrs[node],
                peer: peer_addrs[node],
                others: peer_addrs.to_vec(),
                store,
                cloud,
            };
            if options.links {
                controllers.open_links(node, &mut addresses).await;
            }
            let text = settings_for(node, timing, team_limit, &addresses);
            let settings = controllers.dir.join(format!("host-{node}.toml"));
            std::fs::write(&settings, text).expect("can write the settings");
            let process = controllers.spawn(&settings, node, 0);
            let (api_addr, peer_addr) = (api_addrs[node], peer_addrs[node]);
            controllers.controllers.push(Controller {
                process,
                settings,
                api_addr,
                peer_addr,
                start_count: 1,
            });
        }
        for node in 0..CONTROLLER_COUNT {
            controllers.wait_until_ready(node).await;
        }
        controllers
    }

    /// Opens links from controller `node` to the store and to the other controllers, and lets `addresses` name them.
    async fn open_links(&mut self, node: usize, addresses: &mut Addresses) {
        let link = Link::open(addresses.store).await;
        addresses.store = link.addr;
        self.links.push((node, None, link));
        for other in (0..CONTROLLER_COUNT).filter(|other| *other != node) {
            let link = Link::open(addresses.others[other]).await;
            addresses.others[other] = link.addr;
            self.links.push((node, Some(other), link));
        }
    }

    /// Cuts a controller from the store and the other controllers, not from workers and users, or ends the cut.
    pub fn set_cut(&self, node: usize, is_cut: bool) {
        for (from, to, link) in &self.links {
            if *from == node || *to == Some(node) {
                link.set_cut(is_cut);
            }
        }
    }

    fn spawn(&self, settings: &PathBuf, node: usize, start_count: usize) -> Child {
        let log = File::create(self.dir.join(format!("host-{node}-{start_count}.log")))
            .expect("can create the log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_willowshore"));
        if self.standby {
            let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy/standby.toml");
            command.arg("--enable").arg(file);
        }
        command.arg("--config").arg(settings).env("LOG_LEVEL", "debug");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("can start the controller")
    }

    async fn wait_until_ready(&self, node: usize) {
        for _ in 0..300 {
            let client = Client::new(self.controllers[node].api_addr, 1_024);
            let answer = client.call("GET", "/ready", &[], RESPONSE_TIMEOUT).await;
            if answer.is_ok_and(|a| a.status == 200) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!(
            "controller host-{node} was not ready after 300 queries; logs in {}",
            self.log_dir()
        );
    }

    /// Addresses for users and workers.
    pub fn api_addresses(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|c| c.api_addr).collect()
    }

    /// Directory of the controllers' logs.
    pub fn log_dir(&self) -> String {
        self.dir.display().to_string()
    }

    /// Whether the log of any controller contains the text.
    pub fn logged(&self, text: &str) -> bool {
        let files = std::fs::read_dir(&self.dir).into_iter().flatten().flatten();
        let mut logs = files.filter_map(|file| std::fs::read_to_string(file.path()).ok());
        logs.any(|log| log.contains(text))
    }

    /// The standby status of a controller, if it answers and the standby is enabled.
    pub async fn status(&self, node: usize) -> Option<Status> {
        let client = Client::new(self.controllers[node].peer_addr, 64 * 1_024);
        let answer = client.call("GET", STATUS_PATH, &[], RESPONSE_TIMEOUT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// The controller that reports to lead the highest term.
    pub async fn leader(&self) -> Option<usize> {
        let mut leader: Option<(u64, usize)> = None;
        for node in 0..self.controllers.len() {
            if let Some(status) = self.status(node).await.filter(|s| s.role == Role::Leader) {
                leader = leader.max(Some((status.term, node)));
            }
        }
        leader.map(|(_, node)| node)
    }

    fn signal(&self, node: usize, signal: Signal) {
        let id = Pid::from_child(&self.controllers[node].process);
        kill_process(id, signal).expect("can signal the controller");
    }

    /// Suspends a controller's process.
    pub fn suspend(&self, node: usize) {
        self.signal(node, Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self, node: usize) {
        self.signal(node, Signal::CONT);
    }

    /// Kills a controller's process.
    pub fn kill(&mut self, node: usize) {
        let process = &mut self.controllers[node].process;
        process.kill().expect("can kill the controller");
        process.wait().expect("can wait for the controller");
    }

    /// Restarts a killed controller with the same settings and waits until it is ready.
    pub async fn restart(&mut self, node: usize) {
        let (settings, start_count) =
            (self.controllers[node].settings.clone(), self.controllers[node].start_count);
        self.controllers[node].process = self.spawn(&settings, node, start_count);
        self.controllers[node].start_count += 1;
        self.wait_until_ready(node).await;
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            let _ = controller.process.kill();
            let _ = controller.process.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// A controller's settings file, with the parameters of the simulation.
fn settings_for(
    node: usize,
    timing: WorkerTiming,
    team_limit: u64,
    addresses: &Addresses,
) -> String {
    let site_settings = timing.settings(team_limit);
    let params =
        &site_settings[site_settings.find("[params]").expect("settings have a [params] table")..];
    let Addresses { api, peer, others, store, cloud } = addresses;
    let zone = ZONES[node % 2];
    let mut text = format!(
        "node_name = \"host-{node}\"\nsite = \"{zone}\"\napi_addr = \"{api}\"\nback = \"{peer}\"\n"
    );
    for other in (0..CONTROLLER_COUNT).filter(|n| *n != node) {
        text += &format!(
            "[[known]]\nnode_name = \"host-{other}\"\nsite = \"{}\"\naddress = \"{}\"\n",
            ZONES[other % 2],
            others[other]
        );
    }
    text + &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n{params}")
}
