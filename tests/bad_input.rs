//! Bad input gets a typed refusal that names a remedy, and the VM serves on.

mod support;

use std::path::Path;

use hyper::Method;
use pomelogate::standin::Caller;
use serde::Deserialize;
use support::fleet::Fleet;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
    #[serde(default = "once")]
    repeat: usize,
    expect: Expect,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    status: u16,
    r#type: String,
}

fn once() -> usize {
    1
}

fn refused(path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1)]).await;
        let vm = fleet.callers(0);
        let caller = Caller { key: String::new(), headers: case.headers };
        let method: Method = case.method.parse()?;
        let body = case.body.repeat(case.repeat);
        let reply = caller.send(vm, method, &case.path, body).await?;
        assert_eq!(reply.status, case.expect.status, "{}: {}", path.display(), reply.body_text());
        assert_eq!(reply.outcome(), "refused");
        let problem: serde_json::Value = serde_json::from_slice(&reply.body)?;
        assert_eq!(problem["error"]["type"], case.expect.r#type.as_str());
        assert!(!problem["error"]["remedy"].as_str().unwrap_or_default().is_empty());

        let directory = caller.send(vm, Method::GET, "/v1/directory", String::new()).await?;
        assert_eq!(directory.status, 200, "the VM serves on");
        Ok(())
    })
}

datatest_stable::harness! {
    { test = refused, root = "tests/bad_input", pattern = r"\.json$" },
}
