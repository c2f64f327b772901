//! Planned stops and graceful stops, through processes of the real daemon and the real tool.

mod support;

use std::{fs, net::SocketAddr, process::Command, time::Duration};

use hyper::Method;
use pomelogate::{
    id, list,
    settings::Settings,
    standin::{Caller, Engine, Pace, Reporter, deployment, with_disks},
    vm::Directory,
};
use support::{
    fleet::{Fleet, eventually, samples},
    targets,
};
use tempfile::TempDir;

const KEY: &str = "sample-key-operator";
const LEADS: &str = "sample-key-crew-leads";
/// Slow enough that a stream of many words is still in flight when a stop is in force.
const SLOW: Pace =
    Pace { first: Duration::from_millis(5), between: Duration::from_millis(100), tokens: 1 };
const WORDS: usize = 50;

/// Three regions, a model in two of them, and an operator.
struct Place {
    fleet: Fleet,
    near: (Engine, Reporter),
    far: (Engine, Reporter),
    folder: TempDir,
}

impl Place {
    async fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join("operator.key"), KEY).expect("the key written");
        let settings = deployment(&samples(), &[("jakarta", 2), ("surabaya", 1), ("bandung", 1)]);
        let operators = vec![list::hash_key(KEY)];
        let settings = with_disks(settings, folder.path())
            .into_iter()
            .map(|settings| Settings { operators: operators.clone(), ..settings })
            .collect();
        let fleet = Fleet::with(settings).await;
        let (jakarta, surabaya) = ([fleet.callers(1)], [fleet.callers(2)]);
        let near = targets::engine("near", "jakarta", "planner", &jakarta, SLOW).await;
        let far = targets::engine("far", "surabaya", "planner", &surabaya, SLOW).await;
        let place = Self { fleet, near, far, folder };
        for vm in place.vms() {
            place.serves(vm).await;
        }
        place
    }

    fn vms(&self) -> Vec<SocketAddr> {
        (0..4).map(|place| self.fleet.callers(place)).collect()
    }

    /// Waits until a request through `vm` is answered.
    async fn serves(&self, vm: SocketAddr) {
        eventually("a request is answered", async || {
            ask(vm).await.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }

    /// Runs `stop` with the words given until it is in force everywhere.
    async fn stop(&self, words: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pomelogate"));
        command.arg("stop").args(words).args(["--wait", "--key-file"]);
        command.arg(self.folder.path().join("operator.key"));
        for vm in [self.fleet.callers(0), self.fleet.callers(2)] {
            command.args(["--vm", &vm.to_string()]);
        }
        let output = smol::unblock(move || command.output()).await.expect("the tool runs");
        assert_eq!(output.status.code(), Some(0), "{words:?}: {output:?}");
    }

    /// The VMs that the VM at `vm` names.
    async fn directory(&self, vm: SocketAddr) -> Vec<id::Vm> {
        let path = "/v1/directory";
        let reply = Caller::new("").send(vm, Method::GET, path, String::new()).await.unwrap();
        let directory: Directory = serde_json::from_slice(&reply.body).unwrap();
        let mut vms: Vec<_> = directory.vms.into_iter().map(|entry| entry.vm).collect();
        vms.sort();
        vms
    }

    /// Starts a stream through the first VM, and waits until its target has it.
    async fn stream(&self) -> smol::Task<bool> {
        let (vm, before) = (self.fleet.callers(0), self.near.0.started());
        let text = "word ".repeat(WORDS);
        let stream = smol::spawn(async move {
            let reply = Caller::new(LEADS).chat(vm, "planner", &text, true).await.unwrap();
            reply.whole && reply.body_text().trim_end().ends_with("data: [DONE]")
        });
        eventually("the stream has begun", async || self.near.0.started() > before).await;
        stream
    }
}

async fn ask(vm: SocketAddr) -> Result<pomelogate::standin::Reply, pomelogate::http::Failure> {
    Caller::new(LEADS).chat(vm, "planner", "Ready?", false).await
}

fn names(names: &[&str]) -> Vec<id::Vm> {
    names.iter().map(|name| id::Vm::from(*name)).collect()
}

#[test]
fn a_vm_under_a_stop_is_named_nowhere_refuses_and_cuts_nothing_off() {
    smol::block_on(async {
        let place = Place::start().await;
        let (stopped, other) = (place.fleet.callers(0), place.fleet.callers(1));
        let stream = place.stream().await;
        place.stop(&["announce", "vm", "jakarta-1"]).await;
        for vm in place.vms() {
            assert_eq!(place.directory(vm).await, names(&["bandung-1", "jakarta-2", "surabaya-1"]));
        }
        let refused = ask(stopped).await.unwrap();
        assert_eq!((refused.status, refused.outcome()), (503, "refused"));
        assert!(refused.body_text().contains("\"stopping\""), "{}", refused.body_text());
        assert_eq!(refused.headers["connection"], "close");
        let location = refused.headers["location"].to_str().unwrap();
        assert_eq!(location, format!("http://{other}/v1/chat/completions"));
        assert!(stream.await, "the stream in flight was cut off");
        place.stop(&["withdraw", "vm", "jakarta-1"]).await;
        assert_eq!(ask(stopped).await.unwrap().status, 200);
        for vm in place.vms() {
            assert_eq!(place.directory(vm).await.len(), 4);
        }
    });
}

#[test]
fn no_work_reaches_targets_under_a_stop_through_any_vm() {
    smol::block_on(async {
        let place = Place::start().await;
        let all = ["bandung-1", "jakarta-1", "jakarta-2", "surabaya-1"];
        let others = ["bandung-1", "surabaya-1"];
        let cases: [(&str, &str, &[&str]); 3] = [
            ("target", "near", &all),
            ("zone", "jakarta-a", &others),
            ("region", "jakarta", &others),
        ];
        for (kind, name, named) in cases {
            let stream = place.stream().await;
            place.stop(&["announce", kind, name]).await;
            let started = place.near.0.started();
            for vm in place.vms() {
                assert_eq!(place.directory(vm).await, names(named), "{kind}");
                let reply = ask(vm).await.unwrap();
                let refused = reply.body_text().contains("\"stopping\"");
                assert!(reply.way().ends_with(" > far") || refused, "{kind}: {}", reply.way());
            }
            assert_eq!(place.near.0.started(), started, "{kind}: work reached the target");
            assert!(place.far.0.started() > 0);
            assert!(stream.await, "{kind}: the stream in flight was cut off");
            place.stop(&["withdraw", kind, name]).await;
            eventually("the target gets work again", async || {
                ask(place.fleet.callers(0)).await.is_ok_and(|reply| reply.way().ends_with("near"))
            })
            .await;
        }
    });
}

#[test]
fn a_vm_told_to_stop_leaves_the_directory_and_ends_its_stream_whole() {
    smol::block_on(async {
        let mut place = Place::start().await;
        let stream = place.stream().await;
        place.fleet.vms[0].ask_to_stop();
        for vm in [place.fleet.callers(1), place.fleet.callers(2)] {
            eventually("the directory no longer names it", async || {
                place.directory(vm).await == names(&["bandung-1", "jakarta-2", "surabaya-1"])
            })
            .await;
        }
        assert!(stream.await, "the stream in flight was cut off");
        assert_eq!(place.fleet.vms[0].terminate(), Some(0));
        place.stop(&["announce", "target", "near"]).await;
    });
}
