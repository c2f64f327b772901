//! The path of routed requests over sockets: a replica, VMs of two regions and stand-ins of
//! targets that misbehave as told, all on loopback.

mod support;

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, header::HeaderName};
use pomelogate::{
    clock,
    control::Control,
    gateway::{Gateway, HeaderNames, RunningGateway},
    http, id,
    node::Settings,
    registry::Announcement,
    route::{DeliveryMode, Limits, Route, Service, Split, Table, TableError},
};
use prost::bytes::Bytes;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use support::fleet::eventually;

const LINKS: u16 = 27_660;
const CALLERS: u16 = 28_080;
const CONTROL: u16 = 28_090;

/// What a stand-in does with the next request on a path.
#[derive(Clone, Debug)]
enum Deed {
    /// Answers whole.
    Answer,
    /// Answers with the identifier of another request.
    Foreign,
    /// Answers without a proof.
    Unproved,
    /// Says that it did not run the request.
    Reject,
    /// Closes the connection without an answer.
    Vanish,
    /// Sends half of an answer, then resets.
    Half,
    /// Answers with a failure of its own.
    Fail,
    /// Streams events up to this number, then resets.
    EventsThenReset(u32),
    /// Streams events to the end.
    Events,
    /// Never answers.
    Hang,
}

#[derive(Clone, Debug)]
struct Seen {
    id: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
    closed: bool,
}

/// A target that does what the path of a request tells: one deed for each arrival, the last again.
struct Engine {
    name: &'static str,
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

type Deeds = Arc<Mutex<HashMap<String, Vec<Deed>>>>;

const LAST: u32 = 9;

impl Engine {
    async fn start(name: &'static str, ip: Ipv4Addr, deeds: Deeds) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let all = Arc::clone(&seen);
        smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (seen, deeds) = (Arc::clone(&all), Arc::clone(&deeds));
                smol::spawn(async move {
                    serve(stream, seen, deeds).await;
                })
                .detach();
            }
        })
        .detach();
        Self { name, address, seen }
    }

    fn arrivals(&self, id: &str) -> Vec<Seen> {
        let seen = self.seen.lock().expect("seen");
        seen.iter().filter(|seen| seen.id == id).cloned().collect()
    }
}

async fn serve(mut stream: TcpStream, seen: Arc<Mutex<Vec<Seen>>>, deeds: Deeds) {
    while let Some((path, request)) = read(&mut stream).await {
        let id = request.id.clone();
        let place = {
            let mut seen = seen.lock().expect("seen");
            seen.push(request.clone());
            seen.len() - 1
        };
        let deed = {
            let mut deeds = deeds.lock().expect("deeds");
            let list = deeds.entry(path).or_insert_with(|| vec![Deed::Answer]);
            if list.len() > 1 { list.remove(0) } else { list[0].clone() }
        };
        let after = request.headers.get("last-event").and_then(|text| text.parse().ok());
        if !act(&mut stream, &id, &deed, after.unwrap_or(0)).await {
            if matches!(deed, Deed::Hang) {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                seen.lock().expect("seen")[place].closed = true;
            }
            return;
        }
    }
}

/// Reads a request with its body.
async fn read(stream: &mut TcpStream) -> Option<(String, Seen)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        let mut piece = [0; 4096];
        match stream.read(&mut piece).await {
            Ok(length) if length > 0 => bytes.extend_from_slice(&piece[..length]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let path = head.split(' ').nth(1)?.to_owned();
    let headers: HashMap<String, String> = head
        .lines()
        .skip(1)
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").map_or(0, |text| text.parse().expect("a length"));
    let mut body = bytes.split_off(end);
    while body.len() < length {
        let mut piece = [0; 4096];
        let read = stream.read(&mut piece).await.ok().filter(|read| *read > 0)?;
        body.extend_from_slice(&piece[..read]);
    }
    let id = headers.get("request").cloned().unwrap_or_default();
    Some((path, Seen { id, headers, body, closed: false }))
}

/// Does a deed; false where the connection ends with it.
async fn act(stream: &mut TcpStream, id: &str, deed: &Deed, after: u32) -> bool {
    let whole = |id: &str, proof: &str| {
        format!("HTTP/1.1 200 OK\r\nrequest: {id}\r\n{proof}content-length: 5\r\n\r\nwhole")
    };
    let text = match deed {
        Deed::Answer => whole(id, "proof: p\r\n"),
        Deed::Foreign => whole("another", "proof: p\r\n"),
        Deed::Unproved => whole(id, ""),
        Deed::Reject => {
            format!("HTTP/1.1 503 Full\r\nrequest: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n")
        }
        Deed::Fail => {
            format!("HTTP/1.1 500 Failed\r\nrequest: {id}\r\nproof: p\r\ncontent-length: 0\r\n\r\n")
        }
        Deed::Half => format!(
            "HTTP/1.1 200 OK\r\nrequest: {id}\r\nproof: p\r\ncontent-length: 50\r\n\r\nhalf"
        ),
        Deed::EventsThenReset(last) => events(id, after, *last, false),
        Deed::Events => events(id, after, LAST, true),
        Deed::Vanish | Deed::Hang => String::new(),
    };
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.flush().await;
    !matches!(deed, Deed::Half | Deed::EventsThenReset(_) | Deed::Vanish | Deed::Hang)
}

fn events(id: &str, after: u32, last: u32, ends: bool) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nrequest: {id}\r\nproof: p\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    for number in after + 1..=last {
        let event = format!("id: {number}\ndata: {number}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    let rest = if ends { "0\r\n\r\n" } else { "8\r\nid: 99\nd\r\n" };
    text + rest
}

fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("request"),
        timeout_ms: name("time-left"),
        expected_target: name("expect-target"),
        load: name("load"),
        not_executed: name("not-run"),
        signature: name("proof"),
        prompt_parts: name("parts"),
        token_counts: name("tokens"),
        last_event_id: name("last-event"),
        priority: name("urgency"),
        prompt_cache_source: name("fetch"),
        reserved: vec![name("reserved")],
    }
}

/// The connections that one target takes from all VMs together.
const CONNECTIONS: u32 = 6;

/// `VERSION` and then a route a line: class, prefix, attempts, milliseconds, homes.
fn read_routes(text: &[u8]) -> Result<Table, TableError> {
    let text = String::from_utf8_lossy(text);
    let mut lines = text.lines();
    let unreadable = || TableError::Unreadable("a test's routes".to_owned());
    let version = lines.next().and_then(|line| line.parse().ok()).ok_or_else(unreadable)?;
    let rule = |line: &str| -> Option<Route> {
        let words: Vec<&str> = line.split(' ').collect();
        let [class, prefix, attempts, millis, homes] = words.as_slice() else { return None };
        let delivery_mode = match *class {
            "safe" => DeliveryMode::Safe,
            "once" => DeliveryMode::Once,
            "stream" => DeliveryMode::Stream,
            _ => DeliveryMode::Resumable,
        };
        let timeout = Duration::from_millis(millis.parse().ok()?);
        Some(Route {
            name: (*prefix).to_owned(),
            host: "a.example".to_owned(),
            prefix: (*prefix).to_owned(),
            delivery_mode,
            timeout,
            latency_objective: Duration::from_secs(5),
            event_gap_objective: Duration::ZERO,
            priority: 0,
            max_attempts: attempts.parse().ok()?,
            keeps_prompt_parts: false,
            split: Split::single("jobs".into()),
            allowed_regions: homes
                .split(',')
                .filter(|home| *home != "-")
                .map(id::Region::from)
                .collect(),
        })
    };
    let rules = lines.map(rule).collect::<Option<_>>().ok_or_else(unreadable)?;
    let service = Service {
        name: "jobs".into(),
        max_connections: CONNECTIONS,
        cold_requests_per_sec: 0.0,
        cold_period: Duration::ZERO,
        cache_capacity_tokens: 0,
    };
    Table::new(version, rules, vec![service], Limits::default())
}

const ROUTES: &str = "1
safe /safe/ 2 8000 -
once /once/ 1 8000 -
stream /stream/ 1 8000 -
resumable /resumable/ 2 8000 -
once /short/ 1 700 -
safe /far/ 1 8000 surabaya";

struct Site {
    net: [u8; 3],
    control: Arc<Control>,
    near: RunningGateway,
    far: RunningGateway,
    engines: Vec<Engine>,
    deeds: Deeds,
    _data: tempfile::TempDir,
}

fn settings(ip: Ipv4Addr, region: &str, seed: Ipv4Addr) -> Settings {
    let text = serde_json::json!({
        "name": ip.to_string(), "address": ip, "region": region, "zone": format!("{region}-a"),
        "regions": { "jakarta-a": "jakarta", "surabaya-a": "surabaya" },
        "links_port": LINKS, "seeds": [SocketAddr::from((seed, CONTROL))], "first_start": true,
        "bounds": { "grace_s": 2.0 },
    });
    serde_json::from_value(text).expect("settings")
}

impl Site {
    /// A replica and a VM in `jakarta` with two targets, a VM in `surabaya` with one.
    async fn start() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let process = std::process::id().to_be_bytes();
        let count = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes()[3];
        let net = [128 + process[2] % 64, process[3], count];
        let ip =
            |last| Ipv4Addr::new(127, net[0], net[1], net[2].wrapping_mul(8).wrapping_add(last));
        let data = tempfile::tempdir().expect("a folder");
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let seed = ip(1);
        let replica = Settings {
            control: Some((seed, CONTROL).into()),
            data: Some(data.path().to_owned()),
            ..settings(seed, "jakarta", seed)
        };
        let clock = Arc::new(clock::System);
        let control = Control::start(replica, clock.clone(), logger.clone(), read_routes)
            .await
            .expect("a replica");
        let gateway = |last, region| {
            let address = ip(last);
            let settings = Settings {
                callers: Some((address, CALLERS).into()),
                ..settings(address, region, seed)
            };
            Gateway::start(
                settings,
                None,
                header_names(),
                read_routes,
                clock.clone(),
                logger.clone(),
            )
        };
        let near = gateway(2, "jakarta").await.expect("a VM");
        let far = gateway(3, "surabaya").await.expect("a VM");
        let deeds = Deeds::default();
        let mut engines = Vec::new();
        for name in ["near-1", "near-2", "far-1"] {
            engines.push(Engine::start(name, ip(4), Arc::clone(&deeds)).await);
        }
        let site = Self { net, control, near, far, engines, deeds, _data: data };
        site.settle().await;
        site
    }

    async fn settle(&self) {
        let text = Bytes::from_static(ROUTES.as_bytes());
        eventually("routes are published", async || {
            self.control.publish(text.clone()).await.is_ok()
        })
        .await;
        for engine in &self.engines {
            self.announce(engine, 1).await;
        }
        // Both VMs know all targets, and each other, once a request to the other region works.
        for vm in [&self.near, &self.far] {
            eventually("a VM is ready", async || vm.gateway().is_ready()).await;
        }
        eventually("the other region is known", async || {
            self.call("warm", Method::GET, "/far/warm").await.0 == 200
        })
        .await;
        // A request that each target rejects goes to both.
        self.tell("/safe/warm", &[Deed::Reject]);
        eventually("both targets are known", async || {
            self.call("warm", Method::GET, "/safe/warm").await;
            self.engines[..2].iter().all(|engine| !engine.arrivals("warm").is_empty())
        })
        .await;
    }

    /// A target announces itself under the given `incarnation`.
    async fn announce(&self, engine: &Engine, incarnation: u64) {
        let region = if engine.name.starts_with("near") { "jakarta" } else { "surabaya" };
        let announcement = Announcement {
            target: engine.name.into(),
            incarnation,
            sequence: 1,
            service: "jobs".into(),
            address: engine.address,
            zone: id::Zone::from(format!("{region}-a")),
            slots: 8,
            leaving: false,
            cold_remaining: Duration::ZERO,
        };
        self.control.announce(announcement).await.expect("announced");
    }

    fn tell(&self, path: &str, deeds: &[Deed]) {
        self.deeds.lock().expect("deeds").insert(path.to_owned(), deeds.to_vec());
    }

    /// Where the VM in `jakarta` takes callers.
    fn callers(&self) -> SocketAddr {
        self.callers_of(2)
    }

    fn callers_of(&self, vm: u8) -> SocketAddr {
        let last = self.net[2].wrapping_mul(8).wrapping_add(vm);
        (IpAddr::from([127, self.net[0], self.net[1], last]), CALLERS).into()
    }

    /// Sends a request to the VM in `jakarta`; gives the status, the body, and whether it is whole.
    async fn call(&self, id: &str, method: Method, path: &str) -> (u16, String, bool) {
        let body = if method == Method::GET { http::empty() } else { http::full("the body") };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "a.example")
            .header("request", id)
            .header("reserved", "1")
            .header("time-left", "6000")
            .body(body)
            .expect("a request");
        let (status, _, text, whole) = self.send(request).await;
        (status, text, whole)
    }

    async fn send(&self, request: Request<http::Body>) -> (u16, HeaderMap, String, bool) {
        self.send_to(self.callers(), request).await
    }

    async fn send_to(
        &self,
        callers: SocketAddr,
        request: Request<http::Body>,
    ) -> (u16, HeaderMap, String, bool) {
        let limit = Duration::from_secs(10);
        let opened = http::open(callers, request, limit, limit).await;
        let Ok((response, _driver)) = opened else {
            return (0, HeaderMap::new(), String::new(), false);
        };
        let (head, mut body) = response.into_parts();
        let (mut bytes, mut whole) = (Vec::new(), true);
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        (head.status.as_u16(), head.headers, text, whole)
    }

    fn arrivals(&self, id: &str) -> usize {
        self.engines.iter().map(|engine| engine.arrivals(id).len()).sum()
    }
}

/// All events, each once.
fn all_events() -> String {
    (1..=LAST).map(|number| format!("id: {number}\ndata: {number}\n\n")).collect()
}

#[test]
fn an_answer_is_whole_and_the_request_arrives_as_it_was_sent() {
    smol::block_on(async {
        let site = Site::start().await;
        let (status, text, whole) = site.call("one", Method::POST, "/once/x?y=1").await;
        assert_eq!((status, text.as_str(), whole), (200, "whole", true));
        let seen: Vec<Seen> =
            site.engines.iter().flat_map(|engine| engine.arrivals("one")).collect();
        assert_eq!(seen.len(), 1);
        assert_eq!(seen[0].body, b"the body");
        assert!(!seen[0].headers.contains_key("reserved"), "only VMs may set it");
        let left: u64 = seen[0].headers["time-left"].parse().expect("a number");
        assert!(left <= 6000, "what is left, not more");
        assert!(seen[0].headers["expect-target"].starts_with("near-"));
    });
}

#[test]
fn what_may_run_once_is_sent_again_only_where_it_did_not_run() {
    smol::block_on(async {
        let site = Site::start().await;
        for (path, deed) in [
            ("/once/vanish", Deed::Vanish),
            ("/once/foreign", Deed::Foreign),
            ("/once/unproved", Deed::Unproved),
            ("/once/half", Deed::Half),
        ] {
            site.tell(path, &[deed, Deed::Answer]);
            let (status, text, _) = site.call(path, Method::POST, path).await;
            assert_eq!(status, 502, "{path}: {text}");
            assert_eq!(site.arrivals(path), 1, "{path}");
        }
        site.tell("/once/reject", &[Deed::Reject, Deed::Answer]);
        let (status, text, _) = site.call("reject", Method::POST, "/once/reject").await;
        assert_eq!((status, text.as_str()), (200, "whole"));
        site.tell("/once/full", &[Deed::Reject]);
        let request = Request::post("/once/full").header("host", "a.example");
        let request = request.header("request", "full").body(http::full("b")).expect("a request");
        let (status, headers, ..) = site.send(request).await;
        assert_eq!(status, 503, "it did not run");
        assert!(headers.contains_key("retry-after"), "the caller is told when to come back");
    });
}

#[test]
fn what_may_run_again_does_on_as_many_targets_as_its_rule_allows() {
    smol::block_on(async {
        let site = Site::start().await;
        for (path, deed) in [
            ("/safe/vanish", Deed::Vanish),
            ("/safe/foreign", Deed::Foreign),
            ("/safe/half", Deed::Half),
            ("/safe/fail", Deed::Fail),
        ] {
            site.tell(path, &[deed, Deed::Answer]);
            let (status, text, whole) = site.call(path, Method::GET, path).await;
            assert_eq!((status, text.as_str(), whole), (200, "whole", true), "{path}");
        }
        site.tell("/safe/never", &[Deed::Vanish]);
        let (status, ..) = site.call("never", Method::GET, "/safe/never").await;
        assert_eq!(status, 502);
        let ran = site.engines.iter().filter(|engine| !engine.arrivals("never").is_empty());
        assert!(ran.count() <= 2);
    });
}

#[test]
fn a_stream_goes_on_after_its_last_whole_event_or_is_visibly_broken() {
    smol::block_on(async {
        let site = Site::start().await;
        site.tell("/resumable/a", &[Deed::EventsThenReset(4), Deed::Events]);
        let (status, text, whole) = site.call("a", Method::POST, "/resumable/a").await;
        assert_eq!((status, text, whole), (200, all_events(), true));
        site.tell("/stream/b", &[Deed::EventsThenReset(4), Deed::Events]);
        let (status, text, whole) = site.call("b", Method::POST, "/stream/b").await;
        assert_eq!((status, whole), (200, false), "{text}");
        assert_eq!(site.arrivals("b"), 1);
    });
}

#[test]
fn work_stops_when_the_caller_leaves_and_when_its_time_is_over() {
    smol::block_on(async {
        let site = Site::start().await;
        site.tell("/once/hang", &[Deed::Hang]);
        site.tell("/short/hang", &[Deed::Hang]);
        {
            let leaving = site.call("leaving", Method::POST, "/once/hang");
            let arrives = async {
                while site.arrivals("leaving") == 0 {
                    Timer::after(Duration::from_millis(5)).await;
                }
            };
            smol::future::or(async { drop(leaving.await) }, arrives).await;
        }
        let closed = |id: &str| {
            site.engines.iter().flat_map(|engine| engine.arrivals(id)).all(|seen| seen.closed)
        };
        eventually("the target hears that the caller left", async || closed("leaving")).await;
        let (status, ..) = site.call("late", Method::POST, "/short/hang").await;
        assert_eq!(status, 502, "a final answer at the route's longest wait");
        eventually("the target is told to stop", async || closed("late")).await;
    });
}

#[test]
fn a_request_bound_to_another_region_is_handed_over_and_no_target_here_gets_it() {
    smol::block_on(async {
        let site = Site::start().await;
        let (status, text, _) = site.call("far", Method::GET, "/far/x").await;
        assert_eq!((status, text.as_str()), (200, "whole"));
        assert_eq!(site.engines[2].arrivals("far").len(), 1);
        assert_eq!(site.arrivals("far"), 1);
    });
}

#[test]
fn a_leaving_target_gets_nothing_more_and_a_drained_zone_neither() {
    smol::block_on(async {
        let site = Site::start().await;
        site.control.withdraw(&"near-1".into()).await.expect("confirmed");
        let gone = || site.engines[0].seen.lock().expect("seen").len();
        eventually("requests go to the other target alone", async || {
            let before = gone();
            for _ in 0..6 {
                site.call("after", Method::GET, "/safe/after").await;
            }
            gone() == before
        })
        .await;
        site.control.drain(&"jakarta-a".into(), true).await.expect("confirmed");
        eventually("requests go to the other region", async || {
            let before = site.engines[2].arrivals("drained").len();
            site.call("drained", Method::GET, "/safe/drained").await;
            site.engines[2].arrivals("drained").len() > before
        })
        .await;
        let (status, ..) = site.call("nowhere", Method::GET, "/nowhere/").await;
        assert_eq!(status, 404);
    });
}

#[test]
fn a_vm_that_stops_is_not_ready_at_once_and_ends_what_it_serves() {
    smol::block_on(async {
        let site = Site::start().await;
        let Site { near, far, .. } = site;
        let gateway = Arc::clone(near.gateway());
        let drain = smol::spawn(near.drain());
        eventually("it is not ready", async || !gateway.is_ready()).await;
        drain.await;
        drop(far);
    });
}

#[test]
fn a_head_beyond_the_limit_of_the_routes_is_refused() {
    smol::block_on(async {
        let site = Site::start().await;
        let request = |id: &str, length: usize| {
            let long = "x".repeat(length);
            let request = Request::post("/once/head").header("host", "a.example");
            let request = request.header("request", id).header("long", long);
            request.body(http::full("b")).expect("a request")
        };
        let (status, ..) = site.send(request("within", 15 * 1024)).await;
        assert_eq!((status, site.arrivals("within")), (200, 1));
        let (status, ..) = site.send(request("beyond", 40 * 1024)).await;
        assert_eq!((status, site.arrivals("beyond")), (431, 0));
    });
}

/// A VM opened a connection for each request, whatever the target bears.
#[test]
fn a_vm_opens_no_more_connections_to_a_target_than_its_share() {
    smol::block_on(async {
        let site = Arc::new(Site::start().await);
        site.tell("/once/hang", &[Deed::Hang]);
        let share = CONNECTIONS as usize;
        let hangs = |seen: &&Seen| seen.id.starts_with("hang");
        let hang = |number: usize| {
            let site = Arc::clone(&site);
            smol::spawn(async move {
                site.call(&format!("hang-{number}"), Method::POST, "/once/hang").await.0
            })
        };
        let calls: Vec<_> = (0..4 * share).map(hang).collect();
        let mut refused = 0;
        for call in calls {
            refused += usize::from(call.await == 503);
        }
        assert!(refused >= share, "what is beyond the share of all three targets: {refused}");
        for engine in &site.engines {
            let hanging = engine.seen.lock().expect("seen").iter().filter(hangs).count();
            assert!(hanging <= share, "{hanging} at {}", engine.name);
        }
    });
}

/// Each VM saw a part of the crashes alone, and went on passing the request to sound targets.
#[test]
fn a_request_that_crashes_targets_is_refused_by_every_vm() {
    smol::block_on(async {
        let site = Site::start().await;
        site.tell("/once/crash", &[Deed::Vanish]);
        let call = async |vm: u8, id: &str| {
            let request = Request::post("/once/crash").header("host", "a.example");
            let request = request.header("request", id).body(http::full("b")).expect("a request");
            let (status, _, text, _) = site.send_to(site.callers_of(vm), request).await;
            (status, text.contains("crashing"))
        };
        for (round, vm) in [(1, 2), (2, 3), (3, 2)] {
            let id = format!("crash-{round}");
            assert_eq!(call(vm, &id).await, (502, false));
            let ran = |engine: &&Engine| !engine.arrivals(&id).is_empty();
            let engine = site.engines.iter().find(ran).expect("one target ran it");
            site.announce(engine, 1 + round).await;
        }
        for vm in [2, 3] {
            let mut tries = 0;
            eventually("the request is refused", async || {
                tries += 1;
                let id = format!("refused-{vm}-{tries}");
                call(vm, &id).await == (503, true) && site.arrivals(&id) == 0
            })
            .await;
            let id = format!("after-{vm}");
            assert_eq!((call(vm, &id).await, site.arrivals(&id)), ((503, true), 0), "and stays so");
        }
        let (status, ..) = site.call("other", Method::POST, "/once/other").await;
        assert_eq!(status, 200, "others are served");
    });
}
