//! How the tool applies a change, against a stand-in of a VM that commits it.

use std::{
    process::Command,
    sync::{Arc, Mutex},
};

use hyper::Method;
use pomelogate::{
    admin::{Applied, Change},
    http::{self, Limits, Stop},
    list::{List, Plan},
};

const PLANS: &str = "tests/tool/other-plans.json";

/// What came to the stand-in: dry runs and versions.
type Seen = Arc<Mutex<Vec<(bool, u64)>>>;

/// A VM on which the change is in force everywhere from the answer `after` on.
async fn vm(after: usize) -> (std::net::SocketAddr, Seen, smol::Task<()>) {
    let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Seen::default();
    let shared = Arc::clone(&seen);
    let task = smol::spawn(async move {
        let (_stop, stopped) = Stop::new();
        let handler = move |request: hyper::Request<hyper::body::Incoming>| {
            let seen = Arc::clone(&shared);
            async move {
                assert_eq!(request.method(), Method::PUT);
                assert_eq!(request.uri().path(), "/admin/v1/plans");
                assert_eq!(request.headers()["authorization"], "Bearer key");
                let body = http::collect(&mut request.into_body(), 1 << 20).await.unwrap();
                let change: Change<'_> = serde_json::from_slice(&body).unwrap();
                let list: List<Plan> = serde_json::from_str(change.list.get()).unwrap();
                let mut seen = seen.lock().unwrap();
                seen.push((change.dry_run, list.version));
                let waiting = if seen.len() < after { vec!["surabaya".into()] } else { vec![] };
                let version = list.version;
                let applied = Applied { version, committed: !change.dry_run, waiting };
                hyper::Response::new(http::full(serde_json::to_vec(&applied).unwrap()))
            }
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        http::serve(listener, Limits::default, stopped, &logger, handler).await;
    });
    (address, seen, task)
}

/// Applies the plans at a VM; gives the exit code, the answer and what the VM saw.
fn apply(after: usize, option: Option<&str>) -> (Option<i32>, Applied, Vec<(bool, u64)>) {
    smol::block_on(async {
        let (address, seen, _task) = vm(after).await;
        let folder = tempfile::tempdir().unwrap();
        let key = folder.path().join("key");
        std::fs::write(&key, "key\n").unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pomelogate"));
        command.args(["plans", "apply", PLANS, "--vm", &address.to_string()]).args(option);
        command.arg("--key-file").arg(key).current_dir(env!("CARGO_MANIFEST_DIR"));
        let output = smol::unblock(move || command.output()).await.unwrap();
        let applied = serde_json::from_slice(&output.stdout).unwrap();
        let seen = seen.lock().unwrap().clone();
        (output.status.code(), applied, seen)
    })
}

#[test]
fn a_change_in_force_everywhere_ends_with_code_zero() {
    let (code, applied, seen) = apply(1, None);
    assert_eq!((code, applied.version, seen), (Some(0), 2, vec![(false, 2)]));
}

#[test]
fn a_change_that_a_region_still_lacks_ends_with_code_four() {
    let (code, applied, seen) = apply(2, None);
    assert_eq!((code, seen), (Some(4), vec![(false, 2)]));
    assert_eq!(applied.waiting, ["surabaya".into()]);
}

#[test]
fn waiting_resends_the_same_change_until_it_is_in_force() {
    let (code, applied, seen) = apply(3, Some("--wait"));
    assert_eq!((code, applied.waiting.len(), seen), (Some(0), 0, vec![(false, 2); 3]));
}

#[test]
fn a_dry_run_is_sent_as_one() {
    let (code, applied, seen) = apply(1, Some("--dry-run"));
    assert_eq!((code, applied.committed, seen), (Some(0), false, vec![(true, 2)]));
}
