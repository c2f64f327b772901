//! A VM refuses invalid input with an error type and a remedy, and keeps serving.

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
    /// How many times `body` is repeated in the request.
    #[serde(default = "once")]
    repeat: usize,
    expect: Expected,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    status: u16,
    r#type: String,
}

fn once() -> usize {
    1
}

fn invalid_input_is_refused_with_remedy(path: &Path, text: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&text)?;
    smol::block_on(async {
        let fleet = Fleet::start(&[("jakarta", 1)]).await;
        let vm_address = fleet.callers(0);
        let caller = Caller { key: String::new(), headers: case.headers };
        let method: Method = case.method.parse()?;
        let body = case.body.repeat(case.repeat);
        let reply = caller.send(vm_address, method, &case.path, body).await?;
        assert_eq!(reply.status, case.expect.status, "{}: {}", path.display(), reply.body_text());
        assert_eq!(reply.outcome(), "refused");
        let error_body: serde_json::Value = serde_json::from_slice(&reply.body)?;
        assert_eq!(error_body["error"]["type"], case.expect.r#type.as_str());
        assert!(!error_body["error"]["remedy"].as_str().unwrap_or_default().is_empty());

        let directory =
            caller.send(vm_address, Method::GET, "/v1/directory", String::new()).await?;
        assert_eq!(directory.status, 200, "the VM does not serve after the refusal");
        Ok(())
    })
}

datatest_stable::harness! {
    { test = invalid_input_is_refused_with_remedy, root = "tests/bad_input", pattern = r"\.json$" },
}
