//! Real controllers as processes of the program, which are stopped, continued, killed and restarted by their id.

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

use crate::site::{Rhythm, ZONES};

/// How many there are.
const COUNT: usize = 3;
/// How long a controller has to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// One controller.
struct Controller {
    process: Child,
    settings: PathBuf,
    api: SocketAddr,
    back: SocketAddr,
    starts: usize,
}

/// All controllers of a site. Their processes end with this.
pub struct Controllers {
    folder: PathBuf,
    standby: bool,
    all: Vec<Controller>,
}

/// Ports that nobody uses now, so that settings can name them before the controllers listen.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("a port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    listeners.iter().map(|l| l.local_addr().expect("an address")).collect()
}

impl Controllers {
    /// Starts them and waits until each serves.
    pub async fn start(
        name: &str,
        rhythm: Rhythm,
        team_limit: u64,
        store: SocketAddr,
        cloud: SocketAddr,
        standby: bool,
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("willowshore-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let addresses = free_addresses(2 * COUNT);
        let (api, back) = addresses.split_at(COUNT);
        let mut controllers = Controllers { folder, standby, all: Vec::new() };
        for node in 0..COUNT {
            let text = settings_of(node, rhythm, team_limit, store, cloud, api, back);
            let settings = controllers.folder.join(format!("host-{node}.toml"));
            std::fs::write(&settings, text).expect("settings");
            let process = controllers.spawn(&settings, node, 0);
            let (api, back) = (api[node], back[node]);
            controllers.all.push(Controller { process, settings, api, back, starts: 1 });
        }
        for node in 0..COUNT {
            controllers.wait_until_ready(node).await;
        }
        controllers
    }

    fn spawn(&self, settings: &PathBuf, node: usize, starts: usize) -> Child {
        let log =
            File::create(self.folder.join(format!("host-{node}-{starts}.log"))).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_willowshore"));
        if self.standby {
            let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy/standby.toml");
            command.arg("--enable").arg(file);
        }
        command.arg("--config").arg(settings).env("LOG_LEVEL", "debug");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn().expect("a process")
    }

    async fn wait_until_ready(&self, node: usize) {
        for _ in 0..300 {
            let client = Client::new(self.all[node].api, 1_024);
            let answer = client.call("GET", "/ready", &[], ANSWER_LIMIT).await;
            if answer.is_ok_and(|a| a.status == 200) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("host-{node} does not serve; logs in {}", self.logs());
    }

    /// Where users and workers reach them.
    pub fn api_addresses(&self) -> Vec<SocketAddr> {
        self.all.iter().map(|c| c.api).collect()
    }

    /// Where their logs are.
    pub fn logs(&self) -> String {
        self.folder.display().to_string()
    }

    /// Whether any controller has logged that.
    pub fn logged(&self, text: &str) -> bool {
        let files = std::fs::read_dir(&self.folder).into_iter().flatten().flatten();
        let mut logs = files.filter_map(|file| std::fs::read_to_string(file.path()).ok());
        logs.any(|log| log.contains(text))
    }

    /// What a controller says of the standby, if it has one.
    pub async fn status(&self, node: usize) -> Option<Status> {
        let client = Client::new(self.all[node].back, 64 * 1_024);
        let answer = client.call("GET", STATUS_PATH, &[], ANSWER_LIMIT).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// The one that says it leads the highest term.
    pub async fn leader(&self) -> Option<usize> {
        let mut leader: Option<(u64, usize)> = None;
        for node in 0..self.all.len() {
            if let Some(status) = self.status(node).await.filter(|s| s.role == Role::Leader) {
                leader = leader.max(Some((status.term, node)));
            }
        }
        leader.map(|(_, node)| node)
    }

    fn signal(&self, node: usize, signal: Signal) {
        let id = Pid::from_child(&self.all[node].process);
        kill_process(id, signal).expect("a signal to an own process");
    }

    /// Stops a controller's process by a signal.
    pub fn stop(&self, node: usize) {
        self.signal(node, Signal::STOP);
    }

    /// Lets it go on.
    pub fn go_on(&self, node: usize) {
        self.signal(node, Signal::CONT);
    }

    /// Kills it.
    pub fn kill(&mut self, node: usize) {
        let process = &mut self.all[node].process;
        process.kill().expect("a signal to an own process");
        process.wait().expect("its end");
    }

    /// Starts it again with the same settings.
    pub async fn restart(&mut self, node: usize) {
        let (settings, starts) = (self.all[node].settings.clone(), self.all[node].starts);
        self.all[node].process = self.spawn(&settings, node, starts);
        self.all[node].starts += 1;
        self.wait_until_ready(node).await;
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for controller in &mut self.all {
            let _ = controller.process.kill();
            let _ = controller.process.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A controller's settings, from those of the simulation.
fn settings_of(
    node: usize,
    rhythm: Rhythm,
    team_limit: u64,
    store: SocketAddr,
    cloud: SocketAddr,
    api: &[SocketAddr],
    back: &[SocketAddr],
) -> String {
    let sample = rhythm.settings(team_limit);
    let params = &sample[sample.find("[params]").expect("parameters")..];
    let mut text = format!(
        "node_name = \"host-{node}\"\nsite = \"{}\"\napi_addr = \"{}\"\nback = \"{}\"\n",
        ZONES[node % 2],
        api[node],
        back[node]
    );
    for other in (0..COUNT).filter(|n| *n != node) {
        text += &format!(
            "[[known]]\nnode_name = \"host-{other}\"\nsite = \"{}\"\naddress = \"{}\"\n",
            ZONES[other % 2],
            back[other]
        );
    }
    text + &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n{params}")
}
