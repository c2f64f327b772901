//! A deployment from its sample files, operated with the real tool.

mod support;

use std::{fs, net::SocketAddr, path::Path, process::Command};

use pomelogate::{
    settings::Settings,
    standin::{Caller, Pace, free_address},
};
use support::{
    fleet::{Fleet, eventually, samples},
    targets,
};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// The settings of a file with every address moved to a loopback address of this test's own.
fn moved(path: &Path, from: &str, to: &str, data: &Path) -> Result<Settings> {
    let mut settings = Settings::read(path)?;
    let text = serde_json::to_string(&settings)?.replace(from, to);
    settings = serde_json::from_str(&text)?;
    settings.data = settings.data.map(|_| data.join(settings.vm.as_str()));
    Ok(settings)
}

#[test]
fn seven_vms_from_the_sample_files_serve_and_take_a_change() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let own = free_address().ip().to_string();
    let mut files: Vec<_> = fs::read_dir(samples().join("vms"))?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<std::io::Result<_>>()?;
    files.sort();
    let settings = files
        .iter()
        .map(|file| moved(file, "127.0.0.1", &own, folder.path()))
        .collect::<Result<Vec<_>>>()?;
    assert_eq!(settings.len(), 7);
    let key = folder.path().join("operator.key");
    fs::write(&key, "sample-key-operator")?;
    let plans = folder.path().join("plans.json");
    let text = fs::read_to_string(samples().join("plans.json"))?;
    fs::write(&plans, text.replace("\"version\": 1", "\"version\": 2"))?;
    smol::block_on(async {
        let fleet = Fleet::with(settings).await;
        let place = |name| fleet.vms.iter().position(|vm| vm.settings.vm.as_str() == name);
        let vm = |name| fleet.callers(place(name).expect("a VM of the samples"));
        let (jakarta, surabaya): (SocketAddr, SocketAddr) = (vm("jakarta-2"), vm("surabaya-2"));
        let _engine =
            targets::engine("engine-1", "jakarta", "assistant", &[jakarta], Pace::default()).await;
        let caller = Caller::new("sample-key-crew-leads");
        eventually("another region serves the caller", async || {
            let reply = caller.chat(surabaya, "assistant", "Ready?", false).await;
            reply.is_ok_and(|reply| reply.status == 200 && reply.way().ends_with("engine-1"))
        })
        .await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_pomelogate"));
        command.args(["plans", "apply"]).arg(plans).args(["--wait", "--vm", &surabaya.to_string()]);
        command.arg("--key-file").arg(key);
        let output = smol::unblock(move || command.output()).await?;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert!(String::from_utf8_lossy(&output.stdout).contains("\"version\": 2"));
        Ok(())
    })
}
