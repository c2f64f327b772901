//! The machines: processes of the deploy file's program, and the operator who sends them a config.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{net, note, sleep_ms};

const PROGRAM: &str = "target/release/pomelogate-node";
const LINKS: u16 = 17_660;
const CONTROL: u16 = 18_146;
const DIRECTORY: u16 = 18_143;
const FRONT: u16 = 18_144;
const READY: u16 = 18_140;
pub const ENGINE: u16 = 18_080;

/// The places of a small deployment: zone, region, machines of the core, machines for clients.
pub const PLACES: [(&str, &str, usize, usize); 3] =
    [("jkt-a", "jkt", 2, 2), ("sby-a", "sby", 2, 1), ("bdg-a", "bdg", 1, 2)];

/// The machine that may take the place of another one of the core.
pub const SPARE: &str = "core-bdg-a-2";

static CHILDREN: Mutex<Vec<(u32, Arc<Mutex<Child>>)>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends every process that this case started, and removes its folder.
pub fn end_all() {
    let children = std::mem::take(&mut *CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
    for (_, child) in children {
        let mut child = child.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// One machine.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub is_core: bool,
    pub is_spare: bool,
    seeds: Mutex<Vec<SocketAddr>>,
    settings: String,
    file: PathBuf,
    child: Mutex<Option<Arc<Mutex<Child>>>>,
}

/// All machines of a deployment.
pub struct Fleet {
    pub machines: Vec<Arc<Machine>>,
    pub net: [u8; 2],
    folder: PathBuf,
}

fn is_free(ip: Ipv4Addr) -> bool {
    [LINKS, CONTROL, DIRECTORY, FRONT, READY, ENGINE, 9464].iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
}

impl Fleet {
    /// Starts all machines for the first time.
    pub fn start() -> Result<Self, String> {
        let fleet = Self::prepare()?;
        for machine in fleet.machines.iter().filter(|machine| !machine.is_spare) {
            machine.start(true)?;
        }
        Ok(fleet)
    }

    /// Writes the settings of all machines, and of one more of the core that may take another's place.
    pub fn prepare() -> Result<Self, String> {
        if !std::path::Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is missing; build it first"));
        }
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        fs::create_dir_all(&folder).map_err(|cause| cause.to_string())?;
        *FOLDER.lock().unwrap() = Some(folder.clone());
        let start = (process % 60) as u8;
        let net = (0..60u8)
            .map(|turn| [65 + (start + turn) % 60, (process >> 6) as u8])
            .find(|net| (1..=60).all(|last| is_free(Ipv4Addr::new(127, net[0], net[1], last))))
            .ok_or("no free addresses")?;
        let ip = |last: usize| Ipv4Addr::new(127, net[0], net[1], last as u8);
        let mut plan = Vec::new();
        for (zone, region, cores, _) in PLACES {
            plan.extend((1..=cores).map(|number| (format!("core-{zone}-{number}"), zone, region, true)));
        }
        for (zone, region, _, edges) in PLACES {
            plan.extend((1..=edges).map(|number| (format!("edge-{zone}-{number}"), zone, region, false)));
        }
        plan.push((SPARE.to_owned(), "bdg-a", "bdg", true));
        // One seed in each region.
        let seeds: Vec<SocketAddr> = [1, 3, 5].iter().map(|last| (ip(*last), CONTROL).into()).collect();
        let mut fleet = Self { machines: Vec::new(), net, folder };
        for (index, (name, zone, region, is_core)) in plan.into_iter().enumerate() {
            fleet.add(&name, index + 1, zone, region, is_core, &seeds)?;
        }
        Ok(fleet)
    }

    /// Adds a machine with the deploy file's template, filled in as for a small site; it does not run yet.
    pub fn add(
        &mut self,
        name: &str,
        last: usize,
        zone: &'static str,
        region: &'static str,
        is_core: bool,
        seeds: &[SocketAddr],
    ) -> Result<Arc<Machine>, String> {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], last as u8);
        let listen = if is_core {
            let data = self.folder.join(name);
            fs::create_dir_all(&data).map_err(|cause| cause.to_string())?;
            format!(
                "\"control\": \"{ip}:{CONTROL}\", \"directory\": \"{ip}:{DIRECTORY}\", \"data\": \"{}\",",
                data.display()
            )
        } else {
            format!("\"callers\": \"{ip}:{FRONT}\", \"health\": \"{ip}:{READY}\",")
        };
        let machine = if is_core {
            "\"cpu_share\": 0.6, \"memory_mb\": 256, \"link_mbps\": 1000.0, \"max_fds\": 4096"
        } else {
            "\"cpu_share\": 0.25, \"memory_mb\": 260, \"link_mbps\": 1000.0, \"max_fds\": 4100"
        };
        let settings = format!(
            "{{\"name\": \"{name}\", \"address\": \"{ip}\", \"region\": \"{region}\", \"zone\": \"{zone}\",
 \"regions\": {{\"jkt-a\": \"jkt\", \"sby-a\": \"sby\", \"bdg-a\": \"bdg\"}}, \"links_port\": {LINKS}, {listen}
 \"seeds\": [SEEDS], \"first_start\": FIRST_START, \"figures_port\": 9464, \"announce_ms\": 1200,
 \"bounds\": {{\"grace_s\": 8, \"retry_ratio\": 0.2, \"retry_slack\": 56, \"retry_window_s\": 10, \"directory_ms\": 2000}},
 \"machine\": {{{machine}, \"weight\": 0}}}}"
        );
        let machine = Arc::new(Machine {
            name: name.to_owned(),
            ip,
            is_core,
            is_spare: name == SPARE,
            seeds: Mutex::new(seeds.to_vec()),
            settings,
            file: self.folder.join(format!("{name}.json")),
            child: Mutex::new(None),
        });
        self.machines.push(Arc::clone(&machine));
        Ok(machine)
    }

    pub fn cores(&self) -> Vec<Arc<Machine>> {
        self.machines.iter().filter(|machine| machine.is_core && machine.runs()).cloned().collect()
    }

    pub fn edges(&self) -> Vec<Arc<Machine>> {
        self.machines.iter().filter(|machine| !machine.is_core).cloned().collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores().iter().map(|machine| machine.control()).collect()
    }

    /// Sends an order to one node of the core after the other until one confirms it.
    pub fn order(&self, method: &str, path: &str, body: &str) -> Result<(), String> {
        let until = std::time::Instant::now() + Duration::from_secs(60);
        for turn in 0.. {
            if std::time::Instant::now() > until {
                break;
            }
            let controls = self.controls();
            let to = controls[turn % controls.len()];
            let answer = net::call(to, method, path, &[("Content-Type", "application/json")], body.as_bytes(), Duration::from_secs(1));
            match answer {
                Ok(answer) if answer.status == 200 => {
                    note(&format!("the operator's {method} {path} was confirmed by {to}"));
                    return Ok(());
                }
                Ok(answer) if (400..500).contains(&answer.status) && answer.status != 408 && answer.status != 429 => {
                    return Err(format!("{method} {path}: {} {}", answer.status, answer.text()));
                }
                _ => sleep_ms(250),
            }
        }
        Err(format!("{method} {path} was not confirmed within 60 s"))
    }
}

impl Machine {
    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL).into()
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    /// Whether the process has been started and not ended by the case.
    pub fn runs(&self) -> bool {
        self.child.lock().unwrap().is_some()
    }

    /// Writes the settings file with these seeds.
    pub fn write_settings(&self, seeds: &[SocketAddr], first: bool) -> Result<(), String> {
        *self.seeds.lock().unwrap() = seeds.to_vec();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = self.settings.replace("SEEDS", &seeds.join(", "));
        let settings = settings.replace("FIRST_START", if first { "true" } else { "false" });
        fs::write(&self.file, settings).map_err(|cause| cause.to_string())
    }

    /// Starts the process as the platform does.
    pub fn start(&self, first: bool) -> Result<(), String> {
        let seeds = self.seeds.lock().unwrap().clone();
        self.write_settings(&seeds, first)?;
        let log = match std::env::var("LOGS") {
            Ok(folder) => {
                let path = PathBuf::from(folder).join(format!("{}.log", self.name));
                fs::File::options().create(true).append(true).open(path).map_or_else(|_| Stdio::null(), Stdio::from)
            }
            Err(_) => Stdio::null(),
        };
        let child = Command::new(PROGRAM)
            .env("POMELOGATE_BOOT", &self.file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|cause| cause.to_string())?;
        let id = child.id();
        let child = Arc::new(Mutex::new(child));
        CHILDREN.lock().unwrap().push((id, Arc::clone(&child)));
        *self.child.lock().unwrap() = Some(child);
        note(&format!("{} starts", self.name));
        Ok(())
    }

    /// Sends a signal by its name, as `kill` does, to the process of this machine.
    pub fn signal(&self, signal: &str) {
        let Some(child) = self.child.lock().unwrap().clone() else { return };
        let id = child.lock().unwrap().id();
        note(&format!("SIG{signal} to {}", self.name));
        let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {id}")]).status();
    }

    /// Waits for the end of the process.
    pub fn wait(&self) {
        if let Some(child) = self.child.lock().unwrap().take() {
            let _ = child.lock().unwrap().wait();
            note(&format!("{} has ended", self.name));
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.signal("KILL");
        self.wait();
    }

    /// Stops the process with SIGTERM, and starts it again.
    pub fn restart(&self) -> Result<(), String> {
        self.signal("TERM");
        self.wait();
        sleep_ms(300);
        self.start(false)
    }
}
