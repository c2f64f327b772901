//! VMs as processes of the real daemon.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use hyper::Method;
use pomelogate::{
    settings::Settings,
    standin::{Caller, deployment, with_disks},
};
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use tempfile::TempDir;

/// How long a test waits for something that has to come; no test asserts on less.
pub const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// The sample lists and names.
pub fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("samples/kapsul-bersih")
}

/// Several VMs, each a process, stopped when dropped.
pub struct Fleet {
    pub vms: Vec<Process>,
    folder: TempDir,
    data: Option<TempDir>,
}

/// One VM's process.
pub struct Process {
    pub settings: Settings,
    path: PathBuf,
    child: Option<Child>,
}

impl Fleet {
    /// Starts VMs with the sample lists, and waits until each takes callers.
    pub async fn start(regions: &[(&str, usize)]) -> Self {
        Self::with(deployment(&samples(), regions)).await
    }

    /// Starts VMs with replicas of the lists on the first VM of each region.
    pub async fn replicated(regions: &[(&str, usize)]) -> Self {
        let settings = deployment(&samples(), regions);
        let folder = tempfile::tempdir().expect("a folder for data");
        let settings = with_disks(settings, folder.path());
        Self { data: Some(folder), ..Self::with(settings).await }
    }

    /// Starts VMs with the settings given, and waits until each takes callers.
    pub async fn with(settings: Vec<Settings>) -> Self {
        let folder = tempfile::tempdir().expect("a folder for settings");
        let mut fleet = Self { vms: Vec::new(), folder, data: None };
        for settings in settings {
            let path = fleet.folder.path().join(format!("{}.json", settings.vm));
            fs::write(&path, serde_json::to_vec_pretty(&settings).expect("settings as JSON"))
                .expect("settings written");
            let mut process = Process { settings, path, child: None };
            process.start();
            fleet.vms.push(process);
        }
        for vm in &fleet.vms {
            vm.ready().await;
        }
        fleet
    }

    /// Where the VM at `place` takes callers.
    pub fn callers(&self, place: usize) -> SocketAddr {
        self.vms[place].settings.callers
    }
}

impl Process {
    /// Starts the process; it must not run.
    pub fn start(&mut self) {
        let child = Command::new(env!("CARGO_BIN_EXE_pomelogated"))
            .arg(&self.path)
            .stdin(Stdio::null())
            .stderr(self.log())
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    /// Where the log goes: nowhere, unless `TEST_LOGS` names a folder.
    fn log(&self) -> Stdio {
        let Ok(folder) = std::env::var("TEST_LOGS") else { return Stdio::null() };
        let path = Path::new(&folder).join(format!("{}.log", self.settings.vm));
        let file = fs::File::options().create(true).append(true).open(path);
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    /// The process; it must run.
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().expect("a process").id()
    }

    /// Waits until the VM takes callers.
    pub async fn ready(&self) {
        let caller = Caller::new("");
        eventually("the VM takes callers", async || {
            let directory = "/v1/directory";
            caller.send(self.settings.callers, Method::GET, directory, String::new()).await.is_ok()
        })
        .await;
    }

    /// Kills the process as a failure would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process is ours");
            child.wait().expect("the process ends");
        }
    }

    /// Freezes the process, and waits until all of it stands still: on a busy machine it goes on
    /// for a while after the signal was sent.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
        let child = self.child.as_ref().expect("the process runs");
        waitpid(Some(Pid::from_child(child)), WaitOptions::UNTRACED).expect("the process is ours");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop, without waiting for its end.
    pub fn ask_to_stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks the process to stop and gives its exit code.
    pub fn terminate(&mut self) -> Option<i32> {
        self.signal(Signal::TERM);
        self.child.take().and_then(|mut child| child.wait().expect("the process ends").code())
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process runs");
        let pid = Pid::from_child(child);
        kill_process(pid, signal).expect("the process is ours");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "never came: {what}");
        smol::Timer::after(POLL).await;
    }
}
