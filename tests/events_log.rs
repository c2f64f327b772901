//! What a process of the daemon writes to its log: numbered events, and neither keys nor bodies.

mod support;

use std::{
    fs::{self, File},
    process::{Command, Stdio},
};

use hyper::Method;
use pomelogate::{
    list,
    settings::{Format, Level, Log, Settings},
    standin::{Caller, Pace, deployment},
};
use rustix::process::{Pid, Signal, kill_process};
use support::{
    fleet::{eventually, samples},
    targets,
};

const OPERATOR: &str = "sample-key-operator";
const LEADS: &str = "sample-key-crew-leads";
const STRANGER: &str = "key-of-nobody";
const BODY: &str = "words-of-a-caller";

/// The log of a VM that served a caller, an operator and a stranger.
fn log(log: Log) -> String {
    let folder = tempfile::tempdir().unwrap();
    let [settings] =
        deployment(&samples(), &[("jakarta", 1)]).try_into().expect("one VM's settings");
    let vm = settings.callers;
    let settings = Settings { log, operators: vec![list::hash_key(OPERATOR)], ..settings };
    let path = folder.path().join("vm.json");
    fs::write(&path, serde_json::to_vec(&settings).unwrap()).unwrap();
    let lines = folder.path().join("log");
    let mut child = Command::new(env!("CARGO_BIN_EXE_pomelogated"))
        .arg(&path)
        .stdin(Stdio::null())
        .stderr(File::create(&lines).unwrap())
        .spawn()
        .unwrap();
    smol::block_on(async {
        let caller = Caller::new(LEADS);
        eventually("the VM takes callers", async || {
            caller.send(vm, Method::GET, "/v1/directory", String::new()).await.is_ok()
        })
        .await;
        let _engine = targets::engine("near", "jakarta", "assistant", &[vm], Pace::default()).await;
        eventually("the caller gets an answer", async || {
            caller.chat(vm, "assistant", BODY, false).await.unwrap().status == 200
        })
        .await;
        for key in [OPERATOR, STRANGER] {
            let path = "/admin/v1/status";
            Caller::new(key).send(vm, Method::GET, path, String::new()).await.unwrap();
            Caller::new(key).chat(vm, "assistant", BODY, false).await.unwrap();
        }
    });
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    assert!(child.wait().unwrap().success());
    fs::read_to_string(lines).unwrap()
}

#[test]
fn json_lines_hold_numbered_events_and_neither_keys_nor_bodies() {
    let text = log(Log::default());
    let numbers: Vec<u64> = text
        .lines()
        .map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).expect("a JSON line");
            assert_eq!(line["vm"], "jakarta-1");
            line["event"].as_u64().expect("a number")
        })
        .collect();
    for number in [500, 501, 502, 503, 601, 602] {
        assert!(numbers.contains(&number), "no event {number} in\n{text}");
    }
    for secret in [OPERATOR, LEADS, STRANGER, BODY] {
        assert!(!text.contains(secret), "{secret} stands in\n{text}");
        assert!(!text.contains(&list::hash_key(secret)), "digest of {secret} stands in\n{text}");
    }
}

#[test]
fn the_level_and_the_form_follow_the_settings() {
    let text = log(Log { format: Format::Terminal, level: Level::Warning });
    assert!(text.contains("WARN operator's key refused"), "{text}");
    assert!(!text.contains("started"), "{text}");
}
