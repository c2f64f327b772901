//! The real tool, alone and against processes of the real daemon.

mod support;

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    path::Path,
    process::{Command, Output, Stdio},
};

use datatest_stable::Result;
use hyper::Method;
use pomelogate::{
    figure::Snapshot,
    list,
    settings::Settings,
    standin::{Caller, Pace, deployment, free_address},
};
use serde::Deserialize;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use support::{
    fleet::{Fleet, eventually, samples},
    targets,
};

const KEY: &str = "sample-key-operator";
const LEADS: &str = "sample-key-crew-leads";

const HALF_AN_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
    transfer-encoding: chunked\r\n\r\n9\r\ndata: {}\n\r\n";

/// One run of the tool, and what it should show.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    arguments: Vec<String>,
    #[serde(default)]
    input: String,
    code: i32,
    #[serde(default)]
    output: String,
    #[serde(default)]
    error: String,
}

fn alone(path: &Path) -> Result<()> {
    let case: Case = serde_json::from_str(&fs::read_to_string(path)?)?;
    let output = run(&case.arguments, &case.input);
    let (text, error) = texts(&output);
    assert_eq!(output.status.code(), Some(case.code), "{text}{error}");
    assert!(text.contains(&case.output), "{text}");
    assert!(error.contains(&case.error), "{error}");
    Ok(())
}

fn run(arguments: &[String], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pomelogate"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let _ = child.stdin.take().expect("its input").write_all(input.as_bytes());
    child.wait_with_output().expect("the tool ends")
}

fn texts(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr))
}

/// An operator at one deployment.
struct Operator {
    vms: Vec<SocketAddr>,
    key_file: String,
}

impl Operator {
    fn run(&self, words: &str) -> (Option<i32>, String, String) {
        let mut arguments: Vec<String> = words.split(' ').map(str::to_owned).collect();
        for vm in &self.vms {
            arguments.extend(["--vm".to_owned(), vm.to_string()]);
        }
        arguments.extend(["--key-file".to_owned(), self.key_file.clone()]);
        let output = run(&arguments, "");
        let (text, error) = texts(&output);
        (output.status.code(), text, error)
    }
}

fn operate(plans: &Path) -> Result<()> {
    let folder = tempfile::tempdir()?;
    let key_file = folder.path().join("operator.key");
    fs::write(&key_file, format!("{KEY}\n"))?;
    let stranger = folder.path().join("stranger.key");
    let operators = vec![list::hash_key(KEY)];
    let settings = deployment(&samples(), &[("jakarta", 1), ("surabaya", 1)])
        .into_iter()
        .map(|settings| Settings { operators: operators.clone(), ..settings })
        .collect();
    smol::block_on(async {
        let fleet = Fleet::with(settings).await;
        let (jakarta, surabaya) = (fleet.callers(0), fleet.callers(1));
        let _near =
            targets::engine("near", "jakarta", "assistant", &[jakarta], Pace::default()).await;
        let _far =
            targets::engine("far", "surabaya", "planner", &[surabaya], Pace::default()).await;
        let down = free_address();
        let key_file = key_file.display().to_string();
        let operator = Operator { vms: vec![down, jakarta], key_file };
        eventually("both targets are shown", async || {
            let (_, text, _) = operator.run("status");
            text.contains("assistant@1") && text.contains("model `planner` version `1`")
        })
        .await;
        requests(&operator, jakarta).await;
        cut(&operator, jakarta).await;
        lists(&operator, plans);
        refusals(&operator, &stranger, down);
        Ok(())
    })
}

async fn requests(operator: &Operator, vm: SocketAddr) {
    let caller = Caller::new(LEADS);
    let near = caller.chat(vm, "assistant", "one two", false).await.unwrap();
    let far = caller.chat(vm, "planner", "three four", true).await.unwrap();
    let not_allowed = caller.chat(vm, "other", "five", false).await.unwrap();
    let outcomes = [near.outcome(), far.outcome(), not_allowed.outcome()];
    assert_eq!(outcomes, ["answered", "answered", "refused"]);
    let request = far.headers["pomelogate-request"].to_str().unwrap();
    let mut shown = String::new();
    eventually("the way is shown", async || {
        let (code, text, _) = operator.run(&format!("way {request}"));
        shown = text;
        code == Some(0)
    })
    .await;
    assert!(shown.contains("of crew-leads: 200 answered"), "{shown}");
    assert!(shown.contains("way: jakarta-1 > surabaya-1 > far\n"), "{shown}");
    eventually("the second VM knows it too", async || {
        let (_, text, _) = operator.run(&format!("way {request}"));
        text.contains(&format!("surabaya-1: request {request} of crew-leads: 200 answered"))
    })
    .await;
    let (code, text, _) = operator.run("figures --json");
    let snapshot: Snapshot = serde_json::from_str(&text).unwrap();
    let one = &snapshot.summaries[0];
    let counts = (one.answered, one.refused, one.unknown, one.elsewhere);
    assert_eq!((code, counts), (Some(0), (2, 1, 0, 1)), "{text}");
    assert_eq!(one.first_byte.count, 2);
    assert!(one.between.count > 0);
    assert_eq!(snapshot.refusals.len(), 1);
    let (code, text, _) = operator.run("figures");
    assert!(code == Some(0) && text.starts_with("crew-leads, interactive: 2 answered"), "{text}");
}

/// An answer that is cut off midway counts as unknown, although its head said 200.
async fn cut(operator: &Operator, vm: SocketAddr) {
    let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await.unwrap();
        stream.write_all(HALF_AN_ANSWER).await.unwrap();
    });
    let announcement = targets::announcement("cut", "jakarta", address, targets::model("planner"));
    let body = serde_json::to_string(&announcement).unwrap();
    let caller = Caller::new(LEADS);
    caller.send(vm, Method::POST, "/v1/targets", body).await.unwrap();
    let reply = caller.chat(vm, "planner", "six", true).await.unwrap();
    assert_eq!((reply.status, reply.whole), (200, false));
    target.await;
    eventually("the cut answer counts", async || {
        let (_, text, _) = operator.run("figures");
        text.starts_with("crew-leads, interactive: 2 answered, 1 refused, 1 unknown")
    })
    .await;
}

fn lists(operator: &Operator, plans: &Path) {
    let (code, text, _) = operator.run("plans get");
    let expected: list::List<list::Plan> =
        serde_json::from_str(&fs::read_to_string(plans).unwrap()).unwrap();
    assert_eq!((code, serde_json::from_str(&text).ok()), (Some(0), Some(expected)));
    let plans = plans.display();
    let (code, text, _) = operator.run(&format!("plans diff {plans}"));
    assert_eq!((code, text.as_str()), (Some(0), ""));
    let other = "tests/tool/other-plans.json";
    let (code, text, _) = operator.run(&format!("plans diff {other}"));
    assert_eq!(code, Some(5));
    assert!(text.contains("-  \"version\": 1,\n+  \"version\": 2,\n"), "{text}");
    assert_eq!(operator.run("allowances get").0, Some(0));
}

fn refusals(operator: &Operator, stranger: &Path, down: SocketAddr) {
    let without_replicas = [
        ("plans apply tests/tool/other-plans.json", "not_committed"),
        ("stop announce vm jakarta-1", "not_committed"),
        ("replica status", "no_replica"),
        ("replica readmit jakarta-1", "no_replica"),
        ("replica remove jakarta-1", "no_replica"),
    ];
    for (words, kind) in without_replicas {
        let (code, text, error) = operator.run(words);
        assert_eq!((code, text.as_str()), (Some(1), ""));
        assert!(error.contains(&format!("refused ({kind})")), "{error}");
    }
    let (code, _, error) = operator.run("way 0000000000000000");
    assert_eq!(code, Some(1));
    assert!(error.contains("old requests are forgotten"), "{error}");
    for key in ["guess", LEADS] {
        fs::write(stranger, key).unwrap();
        let key_file = stranger.display().to_string();
        let stranger = Operator { vms: operator.vms.clone(), key_file };
        let (code, text, error) = stranger.run("plans get");
        assert_eq!((code, text.as_str()), (Some(1), ""));
        assert!(error.contains("unauthenticated"), "{error}");
    }
    let nobody = Operator { vms: vec![down], key_file: operator.key_file.clone() };
    let (code, _, error) = nobody.run("status");
    assert_eq!(code, Some(3));
    assert!(error.contains("check that the VM runs"), "{error}");
}

datatest_stable::harness! {
    { test = alone, root = "tests/tool/alone", pattern = r"\.json$" },
    { test = operate, root = "samples/kapsul-bersih", pattern = r"plans\.json$" },
}
