//! The administration API of a process of the daemon, one request a file.

mod support;

use std::{fs, path::Path};

use datatest_stable::Result;
use hyper::Method;
use pomelogate::{
    admin::{BASE, Problem, Status},
    list,
    settings::Settings,
    standin::{Caller, deployment, with_disks},
};
use serde::Deserialize;
use support::fleet::{Fleet, eventually, samples};

const KEY: &str = "sample-key-operator";

/// A request, and what should come back.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    method: String,
    path: String,
    key: String,
    #[serde(default)]
    body: String,
    status: u16,
    kind: Option<String>,
    #[serde(default)]
    detail: String,
}

fn answer(path: &Path) -> Result<()> {
    let case: Case = serde_json::from_str(&fs::read_to_string(path)?)?;
    let operators = vec![list::hash_key(KEY)];
    let folder = tempfile::tempdir()?;
    let settings = with_disks(deployment(&samples(), &[("jakarta", 1)]), folder.path())
        .into_iter()
        .map(|settings| Settings { operators: operators.clone(), ..settings })
        .collect();
    smol::block_on(async {
        let fleet = Fleet::with(settings).await;
        let vm = fleet.callers(0);
        let status = format!("{BASE}/status");
        eventually("the lists are in force", async || {
            let reply = Caller::new(KEY).send(vm, Method::GET, &status, String::new()).await;
            let status: Option<Status> =
                reply.ok().and_then(|reply| serde_json::from_slice(&reply.body).ok());
            status.is_some_and(|status| status.versions.plans == 1)
        })
        .await;
        let path = format!("{BASE}{}", case.path);
        let reply = Caller::new(&case.key).send(vm, case.method.parse()?, &path, case.body).await?;
        assert_eq!(reply.status, case.status, "{}", reply.body_text());
        if let Some(kind) = case.kind {
            let problem: Problem = serde_json::from_slice(&reply.body)?;
            assert_eq!(problem.kind, kind);
            assert!(problem.detail.contains(&case.detail), "{problem}");
            assert!(!problem.remedy.is_empty());
        }
        let after = Caller::new(KEY).send(vm, Method::GET, &status, String::new()).await?;
        assert_eq!(after.status, 200, "the VM serves on");
        Ok(())
    })
}

datatest_stable::harness! {
    { test = answer, root = "tests/tool/api", pattern = r"\.json$" },
}
