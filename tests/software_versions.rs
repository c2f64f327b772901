//! Streams while targets of two software versions serve one service: replica and gateways as
//! processes that are killed and started again, fake targets that write their version into each event,
//! and callers that take broken streams up again. The callers judge.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr},
    process::{Child, ChildStdin, ChildStdout, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, header::HeaderValue};
use pomelogate::{clock, control::Control, http, id, node::Settings, registry::Announcement};
use prost::bytes::Bytes;
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use smol::Timer;
use support::{
    fake_target::{Behavior, Behaviors, FakeTarget, LAST_EVENT_ID, Process},
    fleet::eventually,
    routed::{CALLERS_PORT, CONTROL_PORT, Net, read_routes, settings, start_gateway},
};
use tempfile::TempDir;

const ADDRESSES_PER_DEPLOYMENT: u8 = 16;
const REPLICA: u8 = 1;
const TARGETS: u8 = 4;
/// The time that callers give each request, long enough for the setup between its begin and its end.
const TIME_BUDGET: Duration = Duration::from_secs(40);
/// A request that will not be served is refused before this time.
const PROMPT_REFUSAL: Duration = Duration::from_secs(3);
/// The time that gateways in touch have to learn where a stream began.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// The last event before streams break off.
const BREAK: u32 = 4;
const REPLY: &str = "reply:";

/// The routes: at `/one/` a broken stream ends, at `/two/` a second target may go on with it.
fn routes(timeout: Duration) -> String {
    let timeout = timeout.as_millis();
    format!(
        "1\nsafe /safe/ 2 {timeout} -\nsafe /near/ 2 {timeout} jakarta\nsafe /far/ 2 {timeout} surabaya\n\
         resumable /one/ 1 {timeout} -\nresumable /two/ 2 {timeout} -"
    )
}

/// A VM as a process of this test's binary, killed when dropped.
struct VmProcess {
    child: Child,
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
}

impl VmProcess {
    fn start(role: &str, arguments: &[&str]) -> Self {
        let mut child = Command::new(std::env::current_exe().expect("this binary"))
            .args(["--exact", "vm_process", "--nocapture"])
            .env("VM_PROCESS", format!("{role} {}", arguments.join(" ")))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let stdin = child.stdin.take().expect("its input");
        let stdout = BufReader::new(child.stdout.take().expect("its output"));
        Self { child, stdin, stdout }
    }

    /// Sends a command to a replica; returns whether it was confirmed.
    fn command(&mut self, command: &str) -> bool {
        writeln!(self.stdin, "{command}").expect("the process runs");
        loop {
            let mut line = String::new();
            let length = self.stdout.read_line(&mut line).expect("the process writes text");
            assert!(length > 0, "the process has ended");
            if let Some((_, reply)) = line.split_once(REPLY) {
                return reply.trim() == "true";
            }
        }
    }

    /// Has the process stand still.
    fn freeze(&self) {
        kill_process(Pid::from_child(&self.child), Signal::STOP).expect("the process is ours");
        let stopped = waitpid(Some(Pid::from_child(&self.child)), WaitOptions::UNTRACED);
        stopped.expect("the process is ours");
    }

    /// Has the process go on.
    fn thaw(&self) {
        kill_process(Pid::from_child(&self.child), Signal::CONT).expect("the process is ours");
    }

    fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_none()
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// No test, but what a [`VmProcess`] runs: it ends with the process that started it.
#[test]
fn vm_process() {
    let Ok(arguments) = std::env::var("VM_PROCESS") else { return };
    let arguments: Vec<&str> = arguments.split(' ').collect();
    let ip = |text: &str| text.parse::<Ipv4Addr>().expect("an address");
    smol::block_on(async {
        match arguments.as_slice() {
            ["gateway", address, region, seed] => {
                let _running = start_gateway(ip(address), region, ip(seed)).await;
                smol::unblock(|| std::io::stdin().lines().for_each(drop)).await;
            }
            ["replica", address, data, first_start] => {
                run_replica(ip(address), data, *first_start == "true").await;
            }
            _ => panic!("unknown arguments"),
        }
    });
    std::process::exit(0);
}

/// Runs a replica that obeys commands on the standard input. Targets announce themselves again and
/// again until they are withdrawn.
async fn run_replica(ip: Ipv4Addr, data: &str, first_start: bool) {
    let settings = Settings {
        control: Some((ip, CONTROL_PORT).into()),
        data: Some(data.into()),
        first_start,
        ..settings(ip, "jakarta", ip)
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let control = Control::start(settings, Arc::new(clock::System), logger, read_routes)
        .await
        .expect("a replica");
    let announced: Arc<Mutex<BTreeMap<String, Announcement>>> = Arc::default();
    let renewed = (Arc::clone(&control), Arc::clone(&announced));
    smol::spawn(async move {
        let (control, announced) = renewed;
        loop {
            Timer::after(Duration::from_secs(1)).await;
            let names: Vec<String> = announced.lock().expect("announced").keys().cloned().collect();
            for name in names {
                let renewed = announced.lock().expect("announced").get_mut(&name).map(|renewed| {
                    renewed.sequence += 1;
                    renewed.clone()
                });
                if let Some(renewed) = renewed {
                    let _ = control.announce(renewed).await;
                }
            }
        }
    })
    .detach();
    while let Some(Ok(line)) = smol::unblock(|| std::io::stdin().lines().next()).await {
        let words: Vec<&str> = line.split(' ').collect();
        let confirmed = match words.as_slice() {
            ["publish", timeout_ms] => {
                let timeout = Duration::from_millis(timeout_ms.parse().expect("a number"));
                control.publish(Bytes::from(routes(timeout))).await.is_ok()
            }
            ["announce", target, address, version] => {
                let region = if target.starts_with("near") { "jakarta" } else { "surabaya" };
                let announcement = Announcement {
                    target: (*target).into(),
                    incarnation: 1,
                    sequence: 1,
                    service: "jobs".into(),
                    address: address.parse().expect("an address"),
                    zone: id::Zone::from(format!("{region}-a")),
                    slots: 8,
                    leaving: false,
                    cold_remaining: Duration::ZERO,
                    software_version: (*version).into(),
                };
                announced
                    .lock()
                    .expect("announced")
                    .insert((*target).to_owned(), announcement.clone());
                control.announce(announcement).await.is_ok()
            }
            ["withdraw", target] => {
                announced.lock().expect("announced").remove(*target);
                control.withdraw(&(*target).into()).await.is_ok()
            }
            _ => panic!("unknown command `{line}`"),
        };
        writeln!(std::io::stdout(), "\n{REPLY} {confirmed}").expect("someone listens");
    }
}

struct Deployment {
    net: Net,
    replica: Mutex<VmProcess>,
    /// The gateways by VM, with their regions.
    gateways: BTreeMap<u8, (&'static str, VmProcess)>,
    targets: Vec<FakeTarget>,
    behaviors: Behaviors,
    route_timeout: Duration,
    /// The time that callers name in each request.
    callers_time: Duration,
    data: TempDir,
}

/// A stream as its caller sees it, over all requests for it.
#[derive(Clone, Debug)]
struct Stream {
    path: String,
    /// The ID of the request that brought the first event.
    first_id: String,
    /// The IDs of the events and the versions that wrote them.
    events: Vec<(u32, String)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The stream went on to its last event.
    Complete,
    /// Events may have come before it broke off visibly.
    Broken,
    /// The request did not run, and the caller may return.
    Refused,
}

impl Stream {
    fn last_event_id(&self) -> u32 {
        self.events.last().map_or(0, |(id, _)| *id)
    }

    /// Adds the events of a response.
    fn extend(&mut self, text: &str) {
        for event in text.split("\n\n").filter(|event| !event.is_empty()) {
            let (id, data) = event
                .strip_prefix("id: ")
                .and_then(|event| event.split_once("\ndata: "))
                .expect("a whole event");
            let (version, _) = data.split_once(' ').expect("a version and a number");
            let id = id.parse().expect("a number");
            assert_eq!(id, self.last_event_id() + 1, "each event once and in order: {self:?}");
            self.events.push((id, version.to_owned()));
        }
        self.assert_one_version();
    }

    fn versions(&self) -> BTreeSet<&str> {
        self.events.iter().map(|(_, version)| version.as_str()).collect()
    }

    fn assert_one_version(&self) {
        assert!(self.versions().len() <= 1, "events of two software versions: {self:?}");
    }
}

impl Deployment {
    /// Starts a replica, gateways and targets, each with its region or version.
    async fn start(
        gateways: &[(u8, &'static str)],
        targets: &[(&'static str, &'static str)],
    ) -> Self {
        Self::start_with(gateways, targets, TIME_BUDGET).await
    }

    async fn start_with(
        gateways: &[(u8, &'static str)],
        targets: &[(&'static str, &'static str)],
        route_timeout: Duration,
    ) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let process = std::process::id().to_be_bytes();
        let count = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes()[3];
        let deployments_per_block = 255 / ADDRESSES_PER_DEPLOYMENT;
        let (block, place) = (count / deployments_per_block, count % deployments_per_block);
        let second = 128 + process[2] % 16 + 16 * (block % 8);
        let first = [127, second, process[3], place * ADDRESSES_PER_DEPLOYMENT].into();
        let net = Net { first, size: ADDRESSES_PER_DEPLOYMENT };
        let data = tempfile::tempdir().expect("a folder");
        let replica = Mutex::new(start_replica(&net, &data, true));
        let mut deployment = Self {
            net,
            replica,
            gateways: BTreeMap::new(),
            targets: Vec::new(),
            behaviors: Behaviors::default(),
            route_timeout,
            callers_time: TIME_BUDGET,
            data,
        };
        let publish = format!("publish {}", route_timeout.as_millis());
        eventually("routes are published", async || deployment.command(&publish)).await;
        deployment.start_gateways(gateways);
        deployment.add_targets(targets).await;
        deployment
    }

    fn command(&self, command: &str) -> bool {
        self.replica.lock().expect("replica").command(command)
    }

    fn start_gateways(&mut self, gateways: &[(u8, &'static str)]) {
        let seed = self.net.address(REPLICA).to_string();
        for (vm, region) in gateways {
            let address = self.net.address(*vm).to_string();
            let process = VmProcess::start("gateway", &[&address, region, &seed]);
            self.gateways.insert(*vm, (region, process));
        }
    }

    /// Starts targets, and waits until every gateway knows them.
    async fn add_targets(&mut self, targets: &[(&'static str, &'static str)]) {
        let vms: Vec<u8> = self.gateways.keys().copied().collect();
        self.add_targets_known_by(&vms, targets).await;
    }

    /// Starts targets, and waits until these gateways know them.
    async fn add_targets_known_by(&mut self, vms: &[u8], targets: &[(&'static str, &'static str)]) {
        let known = self.targets.len();
        for (name, version) in targets {
            let ip = self.net.address(TARGETS);
            let target = FakeTarget::start(name, ip, Arc::clone(&self.behaviors)).await;
            target.set_process(Process { target: name, software_version: version });
            self.targets.push(target);
            self.announce(self.targets.len() - 1, name, version).await;
        }
        self.wait_until_known_by(vms, known).await;
    }

    async fn announce(&self, index: usize, name: &str, version: &str) {
        let address = self.targets[index].address;
        let command = format!("announce {name} {address} {version}");
        eventually("the announcement is confirmed", async || self.command(&command)).await;
    }

    async fn withdraw(&self, name: &str) {
        let command = format!("withdraw {name}");
        eventually("the withdrawal is confirmed", async || self.command(&command)).await;
    }

    /// Waits until every gateway serves and uses each target of its region but the first `known` ones, which
    /// may be busy, and reaches the others.
    async fn wait_until_known(&self, known: usize) {
        let vms: Vec<u8> = self.gateways.keys().copied().collect();
        self.wait_until_known_by(&vms, known).await;
    }

    async fn wait_until_known_by(&self, vms: &[u8], known: usize) {
        static ROUND: AtomicU32 = AtomicU32::new(0);
        let round = ROUND.fetch_add(1, Ordering::Relaxed);
        for (vm, (region, _)) in self.gateways.iter().filter(|(vm, _)| vms.contains(vm)) {
            let (own, other) = if *region == "jakarta" { ("near", "far") } else { ("far", "near") };
            let id = format!("warm-{vm}-{round}");
            let of = |prefix: &str| {
                self.targets[known..]
                    .iter()
                    .filter(|target| target.name.starts_with(prefix))
                    .collect::<Vec<_>>()
            };
            let (own_targets, other_targets) = (of(own), of(other));
            if !own_targets.is_empty() {
                let path = format!("/{own}/warm");
                eventually("the targets of its region are known", async || {
                    let send = |_| self.send(*vm, &path, &id, &[]);
                    futures_util::future::join_all((0..8).map(send)).await;
                    own_targets.iter().all(|target| !target.requests_with_id(&id).is_empty())
                })
                .await;
            }
            if !other_targets.is_empty() {
                let path = format!("/{other}/warm");
                eventually("the other region is known", async || {
                    self.send(*vm, &path, &id, &[]).await.0 == 200
                })
                .await;
            }
        }
    }

    /// Waits until a gateway answers callers and has heard of routes and VMs.
    async fn wait_until_serving(&self) {
        for vm in self.gateways.keys() {
            eventually("the gateway serves", async || {
                self.send(*vm, "/safe/serving", "serving", &[]).await.0 == 200
            })
            .await;
        }
    }

    /// Kills all gateways at once and starts them again; the replica as well if `with_replica`.
    async fn restart_all(&mut self, with_replica: bool) {
        let gateways: Vec<(u8, &'static str)> =
            self.gateways.iter().map(|(vm, (region, _))| (*vm, *region)).collect();
        self.gateways.clear();
        if with_replica {
            let _ = self.replica.lock().expect("replica").child.kill();
            let _ = self.replica.lock().expect("replica").child.wait();
            *self.replica.lock().expect("replica") = start_replica(&self.net, &self.data, false);
            let publish = format!("publish {}", self.route_timeout.as_millis());
            eventually("the replica is back", async || self.command(&publish)).await;
        }
        self.start_gateways(&gateways);
        self.wait_until_serving().await;
    }

    fn set_behaviors(&self, path: &str, behaviors: &[Behavior]) {
        self.behaviors.lock().expect("behaviors").insert(path.to_owned(), behaviors.to_vec());
    }

    /// Sends a request; returns the status, the headers, the body, and whether it is complete. The
    /// status is 0 if there is no answer.
    async fn send(
        &self,
        vm: u8,
        path: &str,
        id: &str,
        headers: &[(&'static str, HeaderValue)],
    ) -> (u16, HeaderMap, String, bool) {
        send_to(self.callers_address(vm), self.callers_time, path, id, headers).await
    }

    fn callers_address(&self, vm: u8) -> SocketAddr {
        (self.net.address(vm), CALLERS_PORT).into()
    }

    /// Keeps the targets of the gateway's region busier than new ones will be: each has a request of
    /// this gateway in flight, until the tasks are dropped.
    async fn keep_busy(&self, vm: u8) -> Vec<smol::Task<()>> {
        let region = self.gateways[&vm].0;
        let prefix = if region == "jakarta" { "near" } else { "far" };
        let busy: Vec<_> =
            self.targets.iter().filter(|target| target.name.starts_with(prefix)).collect();
        let id = format!("busy-{vm}");
        let path = format!("/one/{id}");
        self.set_behaviors(&path, &[Behavior::Hang]);
        let callers = self.callers_address(vm);
        let mut tasks = Vec::new();
        let is_busy = |target: &&FakeTarget| !target.requests_with_id(&id).is_empty();
        while !busy.iter().all(is_busy) {
            assert!(tasks.len() < 20 * busy.len(), "requests reach each target");
            let (path, sent_id) = (path.clone(), id.clone());
            tasks.push(smol::spawn(async move {
                send_to(callers, TIME_BUDGET, &path, &sent_id, &[]).await;
            }));
            let arrived =
                || busy.iter().map(|busy| busy.requests_with_id(&id).len()).sum::<usize>();
            let sent = tasks.len();
            eventually("the request has arrived", async || sent == arrived()).await;
        }
        tasks
    }

    /// Begins a stream at a path of its own, which breaks off after event [`BREAK`].
    async fn begin(&self, vm: u8, number: usize) -> Stream {
        self.begin_with(vm, number, &[Behavior::EventsThenClose(BREAK), Behavior::AllEvents]).await
    }

    async fn begin_with(&self, vm: u8, number: usize, behaviors: &[Behavior]) -> Stream {
        let path = format!("/one/{vm}-{number}");
        self.set_behaviors(&path, behaviors);
        let first_id = format!("began-{vm}-{number}");
        let mut stream = Stream { path, first_id, events: Vec::new() };
        let (status, _, text, complete) = self.send(vm, &stream.path, &stream.first_id, &[]).await;
        assert_eq!((status, complete), (200, false), "it breaks off: {text}");
        stream.extend(&text);
        stream
    }

    async fn begin_some(&self, vm: u8, count: usize) -> Vec<Stream> {
        let mut streams = Vec::new();
        for number in 0..count {
            streams.push(self.begin(vm, number).await);
        }
        streams
    }

    /// Takes a stream up again; fails the test if it then holds events of two versions, or if the answer
    /// is neither events nor a prompt promise that the request has not run.
    async fn take_up(&self, vm: u8, stream: &mut Stream) -> Answer {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let id = format!("taken-up-{}", COUNT.fetch_add(1, Ordering::Relaxed));
        let last_event_id = HeaderValue::from(stream.last_event_id());
        let first_id = HeaderValue::from_str(&stream.first_id).expect("a header");
        let names = [("last-event", last_event_id), ("resumed-request", first_id)];
        let sent_at = Instant::now();
        let (status, headers, text, complete) = self.send(vm, &stream.path, &id, &names).await;
        if status == 200 {
            stream.extend(&text);
            return if complete {
                assert_eq!(stream.last_event_id(), LAST_EVENT_ID, "complete: {stream:?}");
                Answer::Complete
            } else {
                Answer::Broken
            };
        }
        assert_eq!(status, 503, "{text}");
        assert!(headers.contains_key("retry-after"), "{text}");
        assert!(sent_at.elapsed() < PROMPT_REFUSAL, "{:?}: {text}", sent_at.elapsed());
        assert_eq!(self.run_count(&id), 0, "refused, but it ran: {text}");
        Answer::Refused
    }

    /// Takes streams up again at these gateways in turn; returns the number that went on to the end.
    async fn take_up_all(&self, vms: &[u8], streams: &mut [Stream]) -> usize {
        let mut completed = 0;
        for (stream, vm) in streams.iter_mut().zip(vms.iter().cycle()) {
            completed += usize::from(self.take_up(*vm, stream).await == Answer::Complete);
        }
        completed
    }

    fn run_count(&self, id: &str) -> usize {
        let requests = self.targets.iter().flat_map(|target| target.requests_with_id(id));
        requests.filter(|request| !request.rejected).count()
    }
}

async fn send_to(
    callers: SocketAddr,
    time: Duration,
    path: &str,
    id: &str,
    headers: &[(&'static str, HeaderValue)],
) -> (u16, HeaderMap, String, bool) {
    let mut request = Request::post(path)
        .header("host", "a.example")
        .header("request", id)
        .header("time-left", time.as_millis().to_string());
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let request = request.body(http::full("the body")).expect("a request");
    let timeout = time + Duration::from_secs(4);
    let result = http::send_request(callers, request, timeout, timeout).await;
    let Ok((response, _driver)) = result else {
        return (0, HeaderMap::new(), String::new(), false);
    };
    let (head, mut body) = response.into_parts();
    let (mut bytes, mut complete) = (Vec::new(), true);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (head.status.as_u16(), head.headers, text, complete)
}

fn start_replica(net: &Net, data: &TempDir, first_start: bool) -> VmProcess {
    let address = net.address(REPLICA).to_string();
    let data = data.path().to_str().expect("a readable path");
    VmProcess::start("replica", &[&address, data, &first_start.to_string()])
}

const OF_V1: [(&str, &str); 2] = [("near-1", "v1"), ("near-2", "v1")];
const OF_V2: [(&str, &str); 2] = [("near-3", "v2"), ("near-4", "v2")];
const MANY_OF_V2: [(&str, &str); 6] = [
    ("near-3", "v2"),
    ("near-4", "v2"),
    ("near-5", "v2"),
    ("near-6", "v2"),
    ("near-7", "v2"),
    ("near-8", "v2"),
];
const OF_BOTH: [(&str, &str); 4] = [OF_V1[0], OF_V1[1], OF_V2[0], OF_V2[1]];

/// Guards against a resumption within one answer by a target of another software version than the one
/// that began the stream.
#[test]
fn stream_is_resumed_within_its_answer_at_the_version_that_began_it() {
    smol::block_on(async {
        let deployment = Deployment::start(&[(2, "jakarta")], &OF_BOTH).await;
        let mut completed = 0;
        for number in 0..30 {
            let path = format!("/two/{number}");
            let behaviors = [Behavior::EventsThenClose(BREAK), Behavior::AllEvents];
            deployment.set_behaviors(&path, &behaviors);
            let (status, _, text, complete) = deployment.send(2, &path, &path, &[]).await;
            assert_eq!(status, 200, "{text}");
            let mut stream = Stream { first_id: path.clone(), path, events: Vec::new() };
            stream.extend(&text);
            assert_eq!(complete, stream.last_event_id() == LAST_EVENT_ID, "{stream:?}");
            completed += usize::from(complete);
        }
        assert!(completed >= 15, "{completed} of 30 resumed, with a free target for each");
    });
}

/// Guards against a resumption within one answer where only targets of another version are left.
#[test]
fn stream_breaks_off_visibly_when_only_another_version_is_left() {
    smol::block_on(async {
        let deployment = Deployment::start(&[(2, "jakarta")], &[OF_V1[0], OF_V2[0]]).await;
        for number in 0..10 {
            let path = format!("/two/{number}");
            let behaviors = [Behavior::EventsThenClose(BREAK), Behavior::AllEvents];
            deployment.set_behaviors(&path, &behaviors);
            let (status, _, text, complete) = deployment.send(2, &path, &path, &[]).await;
            let mut stream = Stream { first_id: path.clone(), path, events: Vec::new() };
            stream.extend(&text);
            assert_eq!(
                (status, complete, stream.last_event_id()),
                (200, false, BREAK),
                "{stream:?}"
            );
        }
    });
}

/// Guards against a stream that its caller takes up again at the same gateway and that goes on at
/// another software version.
#[test]
fn taken_up_at_the_same_gateway_a_stream_goes_on_at_its_version() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta")], &OF_V1).await;
        let mut streams = deployment.begin_some(2, 12).await;
        let _busy = deployment.keep_busy(2).await;
        deployment.add_targets(&MANY_OF_V2).await;
        let completed = deployment.take_up_all(&[2], &mut streams).await;
        assert!(completed >= 6, "{completed} of 12 went on");
    });
}

/// Guards against a stream that its caller takes up again at another gateway of the region and that goes
/// on at another software version.
#[test]
fn taken_up_at_another_gateway_a_stream_goes_on_at_its_version() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1).await;
        let mut streams = deployment.begin_some(2, 12).await;
        let _busy = deployment.keep_busy(3).await;
        deployment.add_targets(&MANY_OF_V2).await;
        Timer::after(SPREAD_TIME).await;
        let completed = deployment.take_up_all(&[3], &mut streams).await;
        assert!(completed >= 6, "{completed} of 12 went on");
    });
}

/// Guards against the second take-up of a stream, which names the request that began it and not the first
/// take-up, going on at another software version.
#[test]
fn taken_up_twice_a_stream_goes_on_at_its_version() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1).await;
        let behaviors = [
            Behavior::EventsThenClose(BREAK),
            Behavior::EventsThenClose(BREAK + 2),
            Behavior::AllEvents,
        ];
        let mut streams = Vec::new();
        for number in 0..12 {
            streams.push(deployment.begin_with(2, number, &behaviors).await);
        }
        let _busy = [deployment.keep_busy(2).await, deployment.keep_busy(3).await];
        deployment.add_targets(&MANY_OF_V2).await;
        Timer::after(SPREAD_TIME).await;
        deployment.take_up_all(&[3, 2], &mut streams).await;
        let completed = deployment.take_up_all(&[2, 3], &mut streams).await;
        assert!(completed >= 6, "{completed} of 12 went on twice");
    });
}

/// Guards against a gateway of another region that goes on with a stream at the only version that its own
/// targets have.
#[test]
fn taken_up_in_a_region_of_another_version_a_stream_is_handed_over_or_refused() {
    smol::block_on(async {
        let targets = [OF_V1[0], OF_V1[1], ("far-1", "v2"), ("far-2", "v2")];
        let deployment = Deployment::start(&[(2, "jakarta"), (3, "surabaya")], &targets).await;
        let mut streams = deployment.begin_some(2, 12).await;
        Timer::after(SPREAD_TIME).await;
        deployment.take_up_all(&[3], &mut streams).await;
    });
}

/// Guards against a gateway of another region that goes on with a stream at any of its versions.
#[test]
fn taken_up_in_a_region_of_two_versions_a_stream_goes_on_at_its_version() {
    smol::block_on(async {
        let targets = [OF_V1[0], OF_V1[1], ("far-1", "v1"), ("far-2", "v1")];
        let gateways = [(2, "jakarta"), (3, "surabaya")];
        let mut deployment = Deployment::start(&gateways, &targets).await;
        let mut streams = deployment.begin_some(2, 12).await;
        let _busy = deployment.keep_busy(3).await;
        deployment.add_targets(&[("far-3", "v2"), ("far-4", "v2")]).await;
        Timer::after(SPREAD_TIME).await;
        deployment.take_up_all(&[3], &mut streams).await;
    });
}

/// Guards against records that wait at a gateway and are lost when it is killed, so that streams that
/// began just before cannot go on.
#[test]
fn streams_that_began_just_before_a_kill_go_on() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1).await;
        deployment.add_targets(&MANY_OF_V2).await;
        let mut streams = deployment.begin_some(2, 12).await;
        deployment.gateways.remove(&2);
        let completed = deployment.take_up_all(&[3], &mut streams).await;
        assert!(completed >= 6, "{completed} of 12 went on");
    });
}

/// Guards against streams that cannot go on after the death of the gateway that began them, or that go on
/// at another software version.
#[test]
fn stream_of_a_killed_gateway_goes_on_at_its_version() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1).await;
        let mut streams = deployment.begin_some(2, 12).await;
        let _busy = deployment.keep_busy(3).await;
        deployment.add_targets(&MANY_OF_V2).await;
        Timer::after(SPREAD_TIME).await;
        deployment.gateways.remove(&2);
        let completed = deployment.take_up_all(&[3], &mut streams).await;
        assert!(completed >= 6, "{completed} of 12 went on");
    });
}

/// Guards against streams that go on at another software version once all gateways were killed together
/// and know nothing of them.
#[test]
fn streams_keep_their_version_after_all_gateways_were_killed() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_BOTH).await;
        let mut streams = deployment.begin_some(2, 12).await;
        deployment.restart_all(false).await;
        deployment.take_up_all(&[2, 3], &mut streams).await;
    });
}

/// Guards against streams of a version that has just left, which go on at the only version that gateways
/// know after all were killed together.
#[test]
fn streams_of_a_version_that_left_are_refused_after_all_gateways_were_killed() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1).await;
        let mut streams = deployment.begin_some(2, 12).await;
        deployment.add_targets(&OF_V2).await;
        for (name, _) in OF_V1 {
            deployment.withdraw(name).await;
        }
        deployment.restart_all(false).await;
        let completed = deployment.take_up_all(&[2, 3], &mut streams).await;
        assert_eq!(completed, 0, "nothing serves their version");
    });
}

/// Guards against streams that go on at another software version after the replica was killed as well.
#[test]
fn streams_keep_their_version_after_gateways_and_replica_were_killed() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_BOTH).await;
        let mut streams = deployment.begin_some(2, 12).await;
        deployment.restart_all(true).await;
        deployment.take_up_all(&[2, 3], &mut streams).await;
    });
}

/// Guards against streams of a version that has just left, which go on at the only version that is known
/// after gateways and replica were killed together.
#[test]
fn streams_of_a_version_that_left_are_refused_after_gateways_and_replica_were_killed() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1).await;
        let mut streams = deployment.begin_some(2, 12).await;
        deployment.add_targets(&OF_V2).await;
        for (name, _) in OF_V1 {
            deployment.withdraw(name).await;
        }
        deployment.restart_all(true).await;
        let completed = deployment.take_up_all(&[2, 3], &mut streams).await;
        assert_eq!(completed, 0, "nothing serves their version");
    });
}

/// Guards against streams that are refused although two targets of their version are free: at least half
/// as many go on as new streams begin.
#[test]
fn half_as_many_streams_go_on_as_new_ones_begin() {
    smol::block_on(async {
        let deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_BOTH).await;
        let mut streams = deployment.begin_some(2, 10).await;
        streams.extend(deployment.begin_some(3, 10).await);
        let mut new = 0;
        for number in 0..20 {
            let path = format!("/one/new-{number}");
            deployment.set_behaviors(&path, &[Behavior::AllEvents]);
            let vm = if number % 2 == 0 { 2 } else { 3 };
            let (status, _, _, complete) = deployment.send(vm, &path, &path, &[]).await;
            new += usize::from(status == 200 && complete);
        }
        Timer::after(SPREAD_TIME).await;
        let completed = deployment.take_up_all(&[2, 3], &mut streams).await;
        assert!(2 * completed >= new, "{completed} of 20 went on, {new} of 20 began");
    });
}

/// Guards against streams that are refused in another region although two targets of their version are
/// free in the region of their begin.
#[test]
fn half_as_many_streams_go_on_from_another_region_as_new_ones_begin() {
    smol::block_on(async {
        let targets = [OF_V1[0], OF_V1[1], ("far-1", "v2"), ("far-2", "v2")];
        let deployment = Deployment::start(&[(2, "jakarta"), (3, "surabaya")], &targets).await;
        let mut streams = deployment.begin_some(2, 20).await;
        Timer::after(SPREAD_TIME).await;
        let completed = deployment.take_up_all(&[3], &mut streams).await;
        assert!(completed >= 10, "{completed} of 20 went on, all new ones began");
    });
}

/// Guards against streams that are refused where one version has always served alone.
#[test]
fn with_one_version_streams_go_on_at_every_gateway() {
    smol::block_on(async {
        let gateways = [(2, "jakarta"), (3, "jakarta"), (5, "surabaya")];
        let targets = [OF_V1[0], OF_V1[1], ("far-1", "v1")];
        let deployment = Deployment::start(&gateways, &targets).await;
        let mut streams = deployment.begin_some(2, 12).await;
        Timer::after(SPREAD_TIME).await;
        let completed = deployment.take_up_all(&[2, 3, 5], &mut streams).await;
        assert_eq!(completed, 12);
    });
}

/// Guards against two faults once everything was killed: that a version is taken for the only one before it
/// Guards against the conclusion that a stream began at the only version of today, where its caller has
/// more time than the route's timeout and the older version left meanwhile.
#[test]
fn caller_with_more_time_than_its_route_gets_no_stream_of_two_versions() {
    smol::block_on(async {
        let gateways = [(2, "jakarta"), (3, "jakarta")];
        let timeout = Duration::from_millis(1500);
        let mut deployment = Deployment::start_with(&gateways, &OF_V1, timeout).await;
        let mut streams = deployment.begin_some(2, 2).await;
        deployment.add_targets(&MANY_OF_V2[..2]).await;
        for (name, _) in OF_V1 {
            deployment.withdraw(name).await;
        }
        deployment.restart_all(true).await;
        let end = Instant::now() + Duration::from_secs(16);
        while Instant::now() < end {
            assert_eq!(deployment.take_up_all(&[2, 3], &mut streams).await, 0);
            Timer::after(Duration::from_millis(500)).await;
        }
    });
}

/// has served alone for longer than any stream lasts, and that streams are refused for ever after.
#[test]
fn version_counts_as_the_only_one_only_after_it_has_served_alone_for_long() {
    smol::block_on(async {
        let gateways = [(2, "jakarta"), (3, "jakarta")];
        let timeout = Duration::from_millis(1500);
        let mut deployment = Deployment::start_with(&gateways, &OF_V1, timeout).await;
        deployment.callers_time = 2 * timeout;
        let mut streams = deployment.begin_some(2, 2).await;
        deployment.restart_all(true).await;
        assert_eq!(deployment.take_up_all(&[2, 3], &mut streams).await, 0, "none is proven");
        for stream in &streams {
            let mut lasting = stream.clone();
            eventually("the version has served alone", async || {
                Timer::after(Duration::from_millis(500)).await;
                deployment.take_up(3, &mut lasting).await == Answer::Complete
            })
            .await;
        }
    });
}

/// Guards against names from outside that end a gateway or leave a request without an answer: too long, not
/// text, without an event, of an event that is no number, of another caller's stream.
#[test]
fn odd_names_of_streams_are_answered() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta")], &OF_BOTH).await;
        let mut streams = deployment.begin_some(2, 20).await;
        let value = |bytes: &[u8]| HeaderValue::from_bytes(bytes).expect("a header");
        let known = value(streams[0].first_id.as_bytes());
        let long = value(&vec![b'x'; 64 * 1024]);
        let within_head = value(&vec![b'x'; 12 * 1024]);
        let four = value(b"4");
        let cases: Vec<Vec<(&'static str, HeaderValue)>> = vec![
            vec![("resumed-request", long), ("last-event", four.clone())],
            vec![("resumed-request", within_head), ("last-event", four.clone())],
            vec![("resumed-request", value(&[0xff, 0x80, 0xc3])), ("last-event", four.clone())],
            vec![("resumed-request", value(b"")), ("last-event", four.clone())],
            vec![("resumed-request", known.clone()), ("last-event", four.clone())],
            vec![("resumed-request", known.clone())],
            vec![("resumed-request", known.clone()), ("last-event", value(b"no number"))],
            vec![
                ("resumed-request", known.clone()),
                ("last-event", value(b"18446744073709551616")),
            ],
            vec![("resumed-request", known.clone()), ("last-event", value(b"-1"))],
            vec![
                ("resumed-request", known.clone()),
                ("resumed-request", value(b"another")),
                ("last-event", four.clone()),
            ],
            vec![("last-event", four)],
        ];
        for (number, headers) in cases.iter().enumerate() {
            for route in ["one", "two", "safe"] {
                let path = format!("/{route}/odd-{number}");
                deployment.set_behaviors(&path, &[Behavior::AllEvents]);
                let sent_at = Instant::now();
                let (status, ..) = deployment.send(2, &path, &path, headers).await;
                assert!(matches!(status, 200 | 400..=431 | 503), "{path}: {status}");
                assert!(sent_at.elapsed() < PROMPT_REFUSAL, "{path}: {:?}", sent_at.elapsed());
            }
        }
        let (_, gateway) = deployment.gateways.get_mut(&2).expect("a gateway");
        assert!(gateway.is_running());
        let completed = deployment.take_up_all(&[2], &mut streams).await;
        assert!(completed >= 10, "{completed} of 20 streams with proper names went on");
    });
}

/// Guards against another caller's request under the ID of a stream, which begins at another version and
/// would then decide where the stream goes on.
#[test]
fn request_under_the_id_of_a_stream_does_not_change_its_version() {
    smol::block_on(async {
        let mut deployment = Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1).await;
        let mut streams = deployment.begin_some(2, 12).await;
        let _busy = [deployment.keep_busy(2).await, deployment.keep_busy(3).await];
        deployment.add_targets(&OF_V2).await;
        for stream in &streams {
            let path = format!("/one/other-{}", stream.first_id);
            deployment.set_behaviors(&path, &[Behavior::AllEvents]);
            for vm in [2, 3] {
                deployment.send(vm, &path, &stream.first_id, &[]).await;
            }
        }
        Timer::after(SPREAD_TIME).await;
        deployment.take_up_all(&[2, 3], &mut streams).await;
    });
}

/// Guards against a stream that goes on at the address where it began, at which a process of another version
/// runs by now under another ID.
#[test]
fn stream_does_not_go_on_at_its_address_under_another_version() {
    smol::block_on(async {
        let mut deployment =
            Deployment::start(&[(2, "jakarta"), (3, "jakarta")], &OF_V1[..1]).await;
        let mut streams = deployment.begin_some(2, 10).await;
        deployment.withdraw("near-1").await;
        deployment.targets[0].set_process(Process { target: "near-9", software_version: "v2" });
        deployment.targets[0].name = "near-9";
        deployment.announce(0, "near-9", "v2").await;
        for known in [false, true] {
            if known {
                deployment.wait_until_known(0).await;
            }
            let completed = deployment.take_up_all(&[2, 3], &mut streams).await;
            assert_eq!(completed, 0, "nothing serves their version");
        }
    });
}

/// Streams that began at targets which joined while one gateway was out of step, broke off, and are
/// taken up there as soon as it goes on. `cut` keeps it from the replica also then.
async fn check_gateway_out_of_step(cut: bool) {
    let gateways = [(2, "jakarta"), (3, "jakarta")];
    let mut deployment = Deployment::start(&gateways, &OF_V1).await;
    deployment.gateways[&3].1.freeze();
    deployment.add_targets_known_by(&[2], &MANY_OF_V2).await;
    let mut streams = deployment.begin_some(2, 24).await;
    let of_v2 = streams.iter().filter(|stream| stream.versions().contains("v2")).count();
    assert!(of_v2 >= 6, "{of_v2} of 24 began at a target that has joined");
    Timer::after(SPREAD_TIME).await;
    if cut {
        deployment.replica.lock().expect("replica").freeze();
    }
    // The requests wait for the gateway, which decides by what it knew before.
    let thaw = async {
        Timer::after(Duration::from_millis(300)).await;
        deployment.gateways[&3].1.thaw();
    };
    let take_up = futures_util::future::join_all(
        streams.iter_mut().map(|stream| deployment.take_up(3, stream)),
    );
    let (_, answers) = futures_util::future::join(thaw, take_up).await;
    let completed =
        |answers: &[Answer]| answers.iter().filter(|it| **it == Answer::Complete).count();
    if cut {
        assert_eq!(completed(&answers), 0, "nobody tells it where the streams began");
        deployment.replica.lock().expect("replica").thaw();
    }
    eventually("the streams go on once it is in step", async || {
        let rest = streams.iter_mut().filter(|stream| stream.last_event_id() < LAST_EVENT_ID);
        let answers =
            futures_util::future::join_all(rest.map(|stream| deployment.take_up(3, stream))).await;
        completed(&answers) == answers.len()
    })
    .await;
}

/// Guards against a gateway that stood still while targets of another version joined, and that takes up
/// streams which began there at the versions that it knew.
#[test]
fn gateway_that_stood_still_while_a_version_joined_takes_up_no_stream_at_another_one() {
    smol::block_on(check_gateway_out_of_step(false));
}

/// The same for a gateway that reaches no replica when the streams are taken up.
#[test]
fn gateway_that_is_cut_off_while_a_version_joins_takes_up_no_stream_at_another_one() {
    smol::block_on(check_gateway_out_of_step(true));
}
