//! Planned and graceful stops, tested with processes of the daemon and the operators' tool.

mod support;

use std::{fs, net::SocketAddr, process::Command, time::Duration};

use hyper::Method;
use pomelogate::{
    clock::within,
    id,
    link::{self, Hub},
    list,
    settings::Settings,
    standin::{Caller, Engine, Pace, Reporter, deployment, with_disks},
    vm::Directory,
    wire::{Abort, Body, Handover, Hello},
};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use support::{
    fleet::{Fleet, PATIENCE, eventually, samples},
    targets,
};
use tempfile::TempDir;

const OPERATOR_KEY: &str = "sample-key-operator";
const CUSTOMER_KEY: &str = "sample-key-crew-leads";
/// Slow enough that a stream of many words is still in flight when a stop takes effect.
const SLOW_PACE: Pace =
    Pace { first: Duration::from_millis(5), between: Duration::from_millis(100), tokens: 1 };
const STREAM_WORDS: usize = 50;

/// VMs in three regions, an engine in two of them with the same model, and an operator's key.
struct Setup {
    fleet: Fleet,
    near: (Engine, Reporter),
    far: (Engine, Reporter),
    folder: TempDir,
}

impl Setup {
    async fn start() -> Self {
        Self::start_with(|settings| settings).await
    }

    async fn start_with(change: impl Fn(Settings) -> Settings) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join("operator.key"), OPERATOR_KEY).expect("the key written");
        let settings = deployment(&samples(), &[("jakarta", 2), ("surabaya", 1), ("bandung", 1)]);
        let operators = vec![list::hash_key(OPERATOR_KEY)];
        let settings = with_disks(settings, folder.path())
            .into_iter()
            .map(|settings| change(Settings { operators: operators.clone(), ..settings }))
            .collect();
        let fleet = Fleet::with(settings).await;
        let (jakarta, surabaya) = ([fleet.callers(1)], [fleet.callers(2)]);
        let near = targets::engine("near", "jakarta", "planner", &jakarta, SLOW_PACE).await;
        let far = targets::engine("far", "surabaya", "planner", &surabaya, SLOW_PACE).await;
        let setup = Self { fleet, near, far, folder };
        for vm in setup.vms() {
            setup.wait_until_serving(vm).await;
        }
        setup
    }

    fn vms(&self) -> Vec<SocketAddr> {
        (0..4).map(|index| self.fleet.callers(index)).collect()
    }

    /// Waits until a request through `vm` is answered.
    async fn wait_until_serving(&self, vm: SocketAddr) {
        eventually("a request is answered", async || {
            ask(vm).await.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }

    /// Runs the tool's `stop` command with `args`, and waits until it is in force on all VMs.
    async fn stop(&self, args: &[&str]) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pomelogate"));
        command.arg("stop").args(args).args(["--wait", "--key-file"]);
        command.arg(self.folder.path().join("operator.key"));
        for vm in [self.fleet.callers(0), self.fleet.callers(2)] {
            command.args(["--vm", &vm.to_string()]);
        }
        let output = smol::unblock(move || command.output()).await.expect("the tool runs");
        assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
    }

    /// The VMs in the directory that the VM at `vm` answers with, sorted.
    async fn directory(&self, vm: SocketAddr) -> Vec<id::Vm> {
        let path = "/v1/directory";
        let reply = Caller::new("").send(vm, Method::GET, path, String::new()).await.unwrap();
        let directory: Directory = serde_json::from_slice(&reply.body).unwrap();
        let mut vms: Vec<_> = directory.vms.into_iter().map(|entry| entry.vm).collect();
        vms.sort();
        vms
    }

    /// Starts a stream through the first VM, and waits until its target runs it. The task returns
    /// whether the whole stream arrived.
    async fn stream(&self) -> smol::Task<bool> {
        let (vm, started_before) = (self.fleet.callers(0), self.near.0.started());
        let prompt = "word ".repeat(STREAM_WORDS);
        let stream = smol::spawn(async move {
            let reply = Caller::new(CUSTOMER_KEY).chat(vm, "planner", &prompt, true).await.unwrap();
            reply.whole && reply.body_text().trim_end().ends_with("data: [DONE]")
        });
        eventually("the target runs the stream", async || self.near.0.started() > started_before)
            .await;
        stream
    }
}

async fn ask(vm: SocketAddr) -> Result<pomelogate::standin::Reply, pomelogate::http::RequestError> {
    Caller::new(CUSTOMER_KEY).chat(vm, "planner", "Ready?", false).await
}

fn vm_ids(names: &[&str]) -> Vec<id::Vm> {
    names.iter().map(|name| id::Vm::from(*name)).collect()
}

#[test]
fn a_vm_under_a_planned_stop_leaves_the_directory_refuses_requests_and_completes_streams() {
    smol::block_on(async {
        let setup = Setup::start().await;
        let (stopped, other) = (setup.fleet.callers(0), setup.fleet.callers(1));
        let stream = setup.stream().await;
        setup.stop(&["announce", "vm", "jakarta-1"]).await;
        for vm in setup.vms() {
            assert_eq!(
                setup.directory(vm).await,
                vm_ids(&["bandung-1", "jakarta-2", "surabaya-1"])
            );
        }
        let refused = ask(stopped).await.unwrap();
        assert_eq!((refused.status, refused.outcome()), (503, "refused"));
        assert!(refused.body_text().contains("\"stopping\""), "{}", refused.body_text());
        assert_eq!(refused.headers["connection"], "close");
        let location = refused.headers["location"].to_str().unwrap();
        assert_eq!(location, format!("http://{other}/v1/chat/completions"));
        assert!(stream.await, "the stream in flight was cut off");
        setup.stop(&["withdraw", "vm", "jakarta-1"]).await;
        assert_eq!(ask(stopped).await.unwrap().status, 200);
        for vm in setup.vms() {
            assert_eq!(setup.directory(vm).await.len(), 4);
        }
    });
}

#[test]
fn no_vm_sends_requests_to_a_target_under_a_planned_stop() {
    smol::block_on(async {
        let setup = Setup::start().await;
        let all = ["bandung-1", "jakarta-1", "jakarta-2", "surabaya-1"];
        let others = ["bandung-1", "surabaya-1"];
        let cases: [(&str, &str, &[&str]); 3] = [
            ("target", "near", &all),
            ("zone", "jakarta-a", &others),
            ("region", "jakarta", &others),
        ];
        for (kind, name, listed) in cases {
            let stream = setup.stream().await;
            setup.stop(&["announce", kind, name]).await;
            let started = setup.near.0.started();
            for vm in setup.vms() {
                assert_eq!(setup.directory(vm).await, vm_ids(listed), "{kind}");
                let reply = ask(vm).await.unwrap();
                let refused = reply.body_text().contains("\"stopping\"");
                assert!(reply.way().ends_with(" > far") || refused, "{kind}: {}", reply.way());
            }
            assert_eq!(setup.near.0.started(), started, "{kind}: a request reached the target");
            assert!(setup.far.0.started() > 0);
            assert!(stream.await, "{kind}: the stream in flight was cut off");
            setup.stop(&["withdraw", kind, name]).await;
            eventually("the target gets requests again", async || {
                ask(setup.fleet.callers(0)).await.is_ok_and(|reply| reply.way().ends_with("near"))
            })
            .await;
        }
    });
}

#[test]
fn a_vm_told_to_stop_leaves_the_directory_and_completes_its_stream() {
    smol::block_on(async {
        let mut setup = Setup::start().await;
        let stream = setup.stream().await;
        setup.fleet.vms[0].ask_to_stop();
        for vm in [setup.fleet.callers(1), setup.fleet.callers(2)] {
            eventually("the directory no longer names it", async || {
                setup.directory(vm).await == vm_ids(&["bandung-1", "jakarta-2", "surabaya-1"])
            })
            .await;
        }
        assert!(stream.await, "the stream in flight was cut off");
        assert_eq!(setup.fleet.vms[0].terminate(), Some(0));
        setup.stop(&["announce", "target", "near"]).await;
    });
}

/// Guards against a stopping VM that closes connections on requests whose bodies end late.
#[test]
fn a_request_whose_body_ends_late_in_a_stop_gets_a_whole_answer() {
    smol::block_on(async {
        let setup = Setup::start().await;
        let message = serde_json::json!({ "role": "user", "content": "Ready?" });
        let body = serde_json::json!({ "model": "planner", "messages": [message] }).to_string();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer \
             {CUSTOMER_KEY}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut connection = TcpStream::connect(setup.fleet.callers(0)).await.unwrap();
        connection.write_all(head.as_bytes()).await.unwrap();
        connection.write_all(&body.as_bytes()[..10]).await.unwrap();
        setup.fleet.vms[0].ask_to_stop();
        eventually("the directory no longer names it", async || {
            setup.directory(setup.fleet.callers(1)).await
                == vm_ids(&["bandung-1", "jakarta-2", "surabaya-1"])
        })
        .await;
        // It then closes idle connections.
        eventually("it accepts no connections", async || {
            TcpStream::connect(setup.fleet.callers(0)).await.is_err()
        })
        .await;
        Timer::after(Duration::from_millis(500)).await;
        connection.write_all(&body.as_bytes()[10..]).await.unwrap();
        let mut response = Vec::new();
        within(PATIENCE, connection.read_to_end(&mut response)).await.expect("closed").unwrap();
        let response = String::from_utf8_lossy(&response).to_lowercase();
        assert!(response.starts_with("http/1.1 200 "), "{response}");
        assert!(response.contains("\r\nconnection: close\r\n"), "{response}");
    });
}

/// Guards against a stopping VM that cuts streams which last longer than a request may take to its
/// first event. Nothing else bounds them, as the stream before the stop shows.
#[test]
fn a_vm_told_to_stop_completes_a_stream_that_lasts_longer_than_its_deadline() {
    smol::block_on(async {
        let setup = Setup::start_with(|settings| Settings { deadline_ms: 2000, ..settings }).await;
        assert!(setup.stream().await.await, "a stream without a stop was cut off");
        let stream = setup.stream().await;
        setup.fleet.vms[0].ask_to_stop();
        assert!(stream.await, "the stream in flight was cut off");
    });
}

/// Guards against a stopping VM that closes the connection of a stream at its end without a word.
#[test]
fn a_stream_in_flight_at_the_end_of_a_stop_ends_with_an_error_event() {
    smol::block_on(async {
        let change = |settings| Settings { stop_grace_ms: 2000, ..settings };
        let mut setup = Setup::start_with(change).await;
        let (vm, started_before) = (setup.fleet.callers(0), setup.near.0.started());
        let stream = smol::spawn(async move {
            let prompt = "word ".repeat(STREAM_WORDS);
            Caller::new(CUSTOMER_KEY).chat(vm, "planner", &prompt, true).await
        });
        eventually("the target runs it", async || setup.near.0.started() > started_before).await;
        assert_eq!(setup.fleet.vms[0].terminate(), Some(0));
        let reply = stream.await.expect("the head of a stream");
        assert_eq!((reply.status, reply.whole), (200, false), "{}", reply.body_text());
        assert!(reply.body_text().contains("event: error\n"), "{}", reply.body_text());
    });
}

/// Guards against a stopping VM that closes connections at its end without an answer.
#[test]
fn a_request_at_a_target_at_the_end_of_a_stop_gets_an_answer_that_promises_nothing() {
    smol::block_on(async {
        let settings = deployment(&samples(), &[("jakarta", 1)]);
        let change = |settings| Settings { stop_grace_ms: 2000, ..settings };
        let mut fleet = Fleet::with(settings.into_iter().map(change).collect()).await;
        let vm = fleet.callers(0);
        let pace = Pace { first: PATIENCE, ..SLOW_PACE };
        let (engine, _reporter) = targets::engine("slow", "jakarta", "planner", &[vm], pace).await;
        let asked = smol::spawn(async move {
            loop {
                // The VM does not know the target at first.
                match ask(vm).await {
                    Ok(reply) if reply.status == 503 => {
                        Timer::after(Duration::from_millis(50)).await
                    }
                    answer => return answer,
                };
            }
        });
        eventually("the target runs it", async || engine.started() > 0).await;
        assert_eq!(fleet.vms[0].terminate(), Some(0));
        let reply = asked.await.expect("an answer");
        assert_eq!((reply.status, reply.outcome()), (502, "unknown"), "{}", reply.body_text());
    });
}

/// Guards against a stopping VM that closes the connection on a request whose body is not whole at its
/// end, so that the caller cannot know that it did not run.
#[test]
fn a_request_whose_body_is_not_whole_at_the_end_of_a_stop_is_refused() {
    smol::block_on(async {
        let change = |settings| Settings { stop_grace_ms: 2000, ..settings };
        let mut setup = Setup::start_with(change).await;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer \
             {CUSTOMER_KEY}\r\ncontent-type: application/json\r\ncontent-length: 100\r\n\r\n{{"
        );
        let mut connection = TcpStream::connect(setup.fleet.callers(0)).await.unwrap();
        connection.write_all(head.as_bytes()).await.unwrap();
        // The head is read before the VM stops.
        assert_eq!(ask(setup.fleet.callers(0)).await.unwrap().status, 200);
        assert_eq!(setup.fleet.vms[0].terminate(), Some(0));
        let mut response = Vec::new();
        within(PATIENCE, connection.read_to_end(&mut response)).await.expect("closed").unwrap();
        let response = String::from_utf8_lossy(&response).to_lowercase();
        assert!(response.starts_with("http/1.1 503 "), "{response}");
        assert!(response.contains("\"stopping\""), "{response}");
    });
}

/// Guards against a VM that drops a hand-over whose body is not whole, be it late or cut by a stop: the
/// other VM then told its caller that the request may have run.
#[test]
fn a_handed_over_request_whose_body_is_not_whole_is_refused_as_one_that_did_not_run() {
    smol::block_on(async {
        let change = |settings| Settings { stop_grace_ms: 2000, ..settings };
        let mut setup = Setup::start_with(change).await;
        let hello = Hello { vm: "other".into(), region: "bandung".into(), ..Hello::default() };
        let (inbound, _messages) = smol::channel::bounded(64);
        let hub = Hub::new(hello, link::Settings::default(), inbound);
        let links = setup.fleet.vms[2].settings.links;
        let begin = async |deadline_ms| {
            let handover = Handover { deadline_ms, ..Handover::default() };
            hub.hand_over(links, handover).await.expect("a link")
        };
        let mut late = begin(300).await;
        let got = within(PATIENCE, late.receive()).await.expect("an answer");
        let refused = matches!(&got, Ok(Body::Abort(Abort { did_not_run: true, .. })));
        assert!(refused, "{got:?}");
        let mut cut = begin(60_000).await;
        assert_eq!(setup.fleet.vms[2].terminate(), Some(0));
        let got = within(PATIENCE, cut.receive()).await.expect("an answer");
        let Ok(Body::Abort(abort)) = got else { panic!("{got:?}") };
        assert_eq!((abort.did_not_run, abort.reason.as_str()), (true, "\"stopping\""));
    });
}

/// Guards against a stream that is cut as one of the two VMs that it crosses is told to stop, or both.
#[test]
fn a_stream_that_was_handed_over_is_whole_whichever_of_its_vms_is_told_to_stop() {
    const CALLERS_VM: usize = 3;
    const SERVING_VM: usize = 2;
    for stopped in [&[SERVING_VM][..], &[CALLERS_VM], &[SERVING_VM, CALLERS_VM]] {
        smol::block_on(async {
            let change = |settings| Settings { deadline_ms: 2000, ..settings };
            let setup = Setup::start_with(change).await;
            setup.stop(&["announce", "target", "near"]).await;
            let (vm, started_before) = (setup.fleet.callers(CALLERS_VM), setup.far.0.started());
            let stream = smol::spawn(async move {
                let prompt = "word ".repeat(STREAM_WORDS);
                Caller::new(CUSTOMER_KEY).chat(vm, "planner", &prompt, true).await.unwrap()
            });
            eventually("the other region's target runs it", async || {
                setup.far.0.started() > started_before
            })
            .await;
            for place in stopped {
                setup.fleet.vms[*place].ask_to_stop();
            }
            let reply = stream.await;
            assert!(reply.way().contains(" > surabaya-1 > far"), "{}", reply.way());
            let is_whole = reply.whole && reply.body_text().trim_end().ends_with("data: [DONE]");
            assert!(is_whole, "{stopped:?}: {}", reply.body_text());
        });
    }
}

/// Guards against a refusal that its caller does not get: a connection that is closed while its body
/// still arrives is reset.
#[test]
fn a_caller_that_is_still_sending_its_body_gets_the_refusal_of_a_stop() {
    static PIECE: [u8; 64 * 1024] = [b' '; 64 * 1024];
    const PIECES: usize = 32;
    smol::block_on(async {
        let setup = Setup::start().await;
        setup.stop(&["announce", "vm", "jakarta-1"]).await;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer \
             {CUSTOMER_KEY}\r\ncontent-length: {}\r\n\r\n",
            PIECES * PIECE.len()
        );
        let mut connection = TcpStream::connect(setup.fleet.callers(0)).await.unwrap();
        connection.write_all(head.as_bytes()).await.unwrap();
        for piece in 0..PIECES {
            Timer::after(Duration::from_millis(10)).await;
            let written = connection.write_all(&PIECE).await;
            assert!(written.is_ok(), "piece {piece}: {written:?}");
        }
        let mut response = Vec::new();
        within(PATIENCE, connection.read_to_end(&mut response)).await.expect("closed").unwrap();
        let response = String::from_utf8_lossy(&response).to_lowercase();
        assert!(response.starts_with("http/1.1 503 "), "{response}");
    });
}
