//! A gateway that serves requests of another region and is told to stop: what the other gateway gets.
//! The test is that other gateway, on a link of its own, or starts one and is its caller.

mod support;

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

use http_body_util::BodyExt;
use hyper::Request;
use pomelogate::{
    clock,
    control::Control,
    gateway::{Gateway, RunningGateway},
    http, id,
    link::{Exchange, Hub},
    node::Settings,
    registry::Announcement,
    wire::{Body, Chunk, End, Handover, Header, Hello, Need},
};
use prost::bytes::Bytes;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
};
use support::{
    fake_target::{Behavior, Behaviors, FakeTarget, LAST_EVENT_ID},
    fleet::eventually,
    routed::{
        CALLERS_PORT, CONTROL_PORT, LINKS_PORT, Net, header_names, read_routes, settings,
        start_gateway_with,
    },
};

/// The grace of the gateway. It ends requests 0.7 s earlier, and hand-overs 0.3 s earlier.
const GRACE: Duration = Duration::from_secs(4);
const TIMEOUT: Duration = Duration::from_secs(8);
const SHORT_TIMEOUT: Duration = Duration::from_millis(900);
const ROUTES: &str = "1
stream /stream/ 1 8000 -
stream /short/ 1 900 -
resumable /resumable/ 2 8000 -
resumable /single/ 1 8000 -
once /once/ 1 8000 -";

struct Deployment {
    gateway: Option<RunningGateway>,
    target: FakeTarget,
    hub: Arc<Hub>,
    net: Net,
    ends: EndLines,
    _control: Arc<Control>,
    _data: tempfile::TempDir,
    behaviors: Behaviors,
}

/// Counts the lines that a gateway logs of the ends of handed-over requests.
#[derive(Clone, Default)]
struct EndLines(Arc<AtomicUsize>);

impl slog::Drain for EndLines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        if record.msg().to_string() == "handed-over request ended" {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// What came of a request that was handed over.
#[derive(Debug, PartialEq, Eq)]
enum Got {
    /// All events, and the end.
    Whole,
    /// It did not run, for this reason.
    Refused(String),
    /// This many events, and then something else than the end.
    Cut(usize, String),
}

impl Deployment {
    /// Starts a replica, a gateway and a target; `place` sets their addresses apart from those of other
    /// tests.
    async fn start(place: u8, behaviors: &[(&str, Behavior)]) -> Self {
        let process = std::process::id().to_be_bytes();
        let first = Ipv4Addr::new(127, 160 + process[2] % 16, process[3], place * 8);
        let net = Net { first, size: 8 };
        let data = tempfile::tempdir().expect("a folder");
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let seed = net.address(1);
        let replica = Settings {
            control: Some((seed, CONTROL_PORT).into()),
            data: Some(data.path().to_owned()),
            ..settings(seed, "surabaya", seed)
        };
        let clock = Arc::new(clock::System);
        let control = Control::start(replica, clock, logger, read_routes).await.expect("a replica");
        let mut gateway_settings = settings(net.address(2), "surabaya", seed);
        gateway_settings.bounds.shutdown_grace = GRACE;
        gateway_settings.callers = Some((net.address(2), CALLERS_PORT).into());
        let ends = EndLines::default();
        let logger = slog::Logger::root(ends.clone(), slog::o!());
        let clock = Arc::new(clock::System);
        let gateway =
            Gateway::start(gateway_settings, None, header_names(), read_routes, clock, logger)
                .await
                .expect("a gateway");
        let behaviors: Behaviors = Arc::new(std::sync::Mutex::new(
            behaviors.iter().map(|(path, it)| ((*path).to_owned(), vec![it.clone()])).collect(),
        ));
        let target = FakeTarget::start("one", net.address(3), Arc::clone(&behaviors)).await;
        let text = Bytes::from_static(ROUTES.as_bytes());
        eventually("routes are published", async || control.publish(text.clone()).await.is_ok())
            .await;
        let announcement = Announcement {
            target: target.name.into(),
            incarnation: SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .expect("a time")
                .as_millis() as u64,
            sequence: 1,
            service: "jobs".into(),
            address: target.address,
            zone: id::Zone::from("surabaya-a"),
            slots: 8,
            leaving: false,
            cold_remaining: Duration::ZERO,
            software_version: id::SoftwareVersion::from("v1"),
        };
        control.announce(announcement).await.expect("announced");
        let hub = hub_of(net.address(4));
        let deployment = Self {
            gateway: Some(gateway),
            target,
            hub,
            net,
            ends,
            _control: control,
            _data: data,
            behaviors,
        };
        eventually("the gateway serves", async || {
            let exchange = deployment.hand_over("ready", "/once/ready").await;
            receive(exchange).await == Got::Whole
        })
        .await;
        deployment
    }

    /// Tells the gateway to stop.
    async fn stop(&mut self) -> smol::Task<()> {
        let running = self.gateway.take().expect("a gateway that runs");
        let gateway = Arc::clone(running.gateway());
        let drain = smol::spawn(running.drain());
        eventually("it is stopping", async || !gateway.is_ready()).await;
        drain
    }

    /// Hands a request over under the name of the VM at this place.
    async fn hand_over_as(&mut self, vm: u8, id: &str, path: &str) -> Exchange {
        self.hub = hub_of(self.net.address(vm));
        self.hand_over(id, path).await
    }

    /// Hands a request over, without its body. The timeouts are those of [`ROUTES`].
    async fn begin(&self, id: &str, path: &str) -> Exchange {
        let timeout = if path.starts_with("/short/") { SHORT_TIMEOUT } else { TIMEOUT };
        let headers = [("host", "a.example"), ("request", id)].map(|(name, value)| Header {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        });
        let handover = Handover {
            request_id: id.to_owned(),
            method: "POST".to_owned(),
            path: path.to_owned(),
            headers: headers.to_vec(),
            region_handovers: 1,
            deadline_ms: timeout.as_millis() as u64,
            plans_version: 1,
            need: Some(Need { service: "jobs".to_owned(), ..Need::default() }),
            is_resumable: path.starts_with("/resumable/"),
            ..Handover::default()
        };
        let links = (self.net.address(2), LINKS_PORT).into();
        self.hub.hand_over(links, handover).await.expect("a link")
    }

    /// Hands a request over.
    async fn hand_over(&self, id: &str, path: &str) -> Exchange {
        let mut exchange = self.begin(id, path).await;
        let bytes = Bytes::from_static(b"the body");
        exchange.send(Body::Chunk(Chunk { bytes })).await.expect("sent");
        exchange.send(Body::End(End {})).await.expect("sent");
        exchange
    }

    /// Starts a gateway of the other region, which has no targets.
    async fn start_other_gateway(&self) -> RunningGateway {
        let mut settings = settings(self.net.address(5), "jakarta", self.net.address(1));
        settings.bounds.shutdown_grace = GRACE;
        let gateway = start_gateway_with(settings).await;
        eventually("the other gateway hands over", async || {
            self.call_other("ready", "/once/ready", TIMEOUT).await.0 == 200
        })
        .await;
        gateway
    }

    /// Sends a request to the gateway of the other region. Returns the status, and the number of events
    /// of the answer if it came whole.
    async fn call_other(&self, id: &str, path: &str, timeout: Duration) -> (u16, Option<usize>) {
        let request = Request::post(path)
            .header("host", "a.example")
            .header("request", id)
            .header("time-left", timeout.as_millis().to_string());
        let request = request.body(http::full("the body")).expect("a request");
        let callers = (self.net.address(5), CALLERS_PORT).into();
        let sent = http::send_request(callers, request, TIMEOUT, TIMEOUT).await;
        let Ok((response, _driver)) = sent else { return (0, None) };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok().map(|body| body.to_bytes());
        (status, body.map(|body| body.windows(2).filter(|two| two == b"\n\n").count()))
    }

    /// Sends a request as a caller of the gateway, so that it knows how long answers on the route take.
    async fn call(&self, id: &str, path: &str) {
        let request = Request::post(path).header("host", "a.example").header("request", id);
        let request = request.body(http::full("the body")).expect("a request");
        let callers = (self.net.address(2), CALLERS_PORT).into();
        let (response, _driver) =
            http::send_request(callers, request, TIMEOUT, TIMEOUT).await.expect("an answer");
        assert_eq!(response.status(), 200, "{id}");
        response.into_body().collect().await.expect("a whole answer");
    }

    fn run_count(&self, id: &str) -> usize {
        self.target.requests_with_id(id).len()
    }
}

/// The links of a VM of the other region that is no gateway.
fn hub_of(vm: Ipv4Addr) -> Arc<Hub> {
    let (sender, _inbound) = smol::channel::bounded(64);
    let hello = Hello { vm: vm.to_string(), region: "jakarta".to_owned(), ..Hello::default() };
    Hub::new(hello, pomelogate::link::Settings::default(), sender)
}

/// Reads what comes on an exchange until it ends.
async fn receive(mut exchange: Exchange) -> Got {
    let mut text = Vec::new();
    let frames = async {
        loop {
            match exchange.receive().await {
                Ok(Body::ResponseHead(_)) => {}
                Ok(Body::Chunk(chunk)) => text.extend_from_slice(&chunk.bytes),
                Ok(Body::End(_)) => return Ok(()),
                Ok(Body::Abort(abort)) if abort.did_not_run => return Err(abort.reason),
                other => return Err(format!("{other:?}")),
            }
        }
    };
    let end = clock::within(TIMEOUT + GRACE, frames).await.expect("an end");
    let events = text.windows(2).filter(|two| two == b"\n\n").count();
    match end {
        Ok(()) if events == LAST_EVENT_ID as usize || text == b"whole" => Got::Whole,
        Ok(()) => Got::Cut(events, "an end".to_owned()),
        Err(reason) if events == 0 && !reason.contains(' ') => Got::Refused(reason),
        Err(cause) => Got::Cut(events, cause),
    }
}

fn refused() -> Got {
    Got::Refused("stopping".to_owned())
}

/// Guards against a gateway that ends hand-overs before it has to: the caller's gateway, whose own stop
/// may have begun later, then cuts a stream long before its own end.
#[test]
fn stopping_gateway_serves_a_stream_of_another_region_nearly_to_its_own_end() {
    smol::block_on(async {
        let time = GRACE - Duration::from_millis(500);
        let behaviors = [("/stream/slow", Behavior::EventsOver(time))];
        let mut deployment = Deployment::start(1, &behaviors).await;
        let exchange = deployment.hand_over("slow", "/stream/slow").await;
        eventually("it runs", async || deployment.run_count("slow") == 1).await;
        let drain = deployment.stop().await;
        assert_eq!(receive(exchange).await, Got::Whole);
        drain.await;
    });
}

/// Guards against a stopping gateway that begins a stream of another region because most answers were
/// short, and cuts it at its end. The other gateway can still send it elsewhere.
#[test]
fn stopping_gateway_takes_no_stream_of_another_region_that_may_outlast_it() {
    smol::block_on(async {
        let behaviors =
            [("/stream/quick", Behavior::AllEvents), ("/stream/slow", Behavior::EventsOver(GRACE))];
        let mut deployment = Deployment::start(2, &behaviors).await;
        for number in 0..15 {
            deployment.call(&format!("quick {number}"), "/stream/quick").await;
        }
        deployment.call("long", "/stream/slow").await;
        let drain = deployment.stop().await;
        let exchange = deployment.hand_over("late", "/stream/slow").await;
        assert_eq!(receive(exchange).await, refused());
        assert_eq!(deployment.run_count("late"), 0, "it ran");
        drain.await;
    });
}

/// Guards against a gateway that exits under a hand-over which came when it no longer waited for
/// further ones.
#[test]
fn hand_over_late_in_a_stop_is_whole_or_refused() {
    smol::block_on(async {
        let behaviors = [
            ("/stream/slow", Behavior::EventsOver(Duration::from_millis(2500))),
            ("/short/brief", Behavior::EventsOver(Duration::from_millis(500))),
        ];
        let mut deployment = Deployment::start(3, &behaviors).await;
        deployment.call("before", "/short/brief").await;
        let slow = deployment.hand_over("slow", "/stream/slow").await;
        eventually("it runs", async || deployment.run_count("slow") == 1).await;
        let drain = deployment.stop().await;
        // The callers' server ends after half of the grace.
        Timer::after(GRACE / 2).await;
        let began_at = Instant::now();
        let mut late = Vec::new();
        while began_at.elapsed() < Duration::from_millis(450) {
            let id = format!("late {}", late.len());
            let exchange = deployment.hand_over(&id, "/short/brief").await;
            late.push((id, smol::spawn(receive(exchange))));
            Timer::after(Duration::from_millis(50)).await;
        }
        assert_eq!(receive(slow).await, Got::Whole);
        drain.await;
        for (id, got) in late {
            let (got, runs) = (got.await, deployment.run_count(&id));
            let is_sound = match got {
                Got::Whole => runs == 1,
                Got::Refused(_) => runs == 0,
                Got::Cut(..) => false,
            };
            assert!(is_sound, "{id}: {got:?}, ran {runs} times");
        }
    });
}

/// Guards against a request that has not come whole by the end of a stop: its sender must learn that it
/// did not run, or it answers its caller that it may have.
#[test]
fn hand_over_that_is_not_whole_at_the_end_of_a_stop_is_refused() {
    smol::block_on(async {
        let mut deployment = Deployment::start(4, &[]).await;
        let exchange = deployment.begin("half", "/once/half").await;
        let drain = deployment.stop().await;
        assert_eq!(receive(exchange).await, refused());
        assert_eq!(deployment.run_count("half"), 0, "it ran");
        drain.await;
    });
}

/// Guards against a stream that could go on elsewhere and is cut so late in a stop that too little is
/// left of its caller's time.
#[test]
fn stopping_gateway_gives_streams_back_while_another_one_can_finish_them() {
    smol::block_on(async {
        let behaviors = [("/resumable/slow", Behavior::EventsOver(TIMEOUT))];
        let mut deployment = Deployment::start(5, &behaviors).await;
        // The gateway under whose name the test hands over, and one that could finish the stream.
        let _sender = deployment.start_other_gateway().await;
        let spare = settings(deployment.net.address(6), "surabaya", deployment.net.address(1));
        let _spare = start_gateway_with(spare).await;
        let gateway = Arc::clone(deployment.gateway.as_ref().expect("it runs").gateway());
        eventually("it knows both", async || {
            gateway.metrics_page().text().lines().any(|line| line.ends_with("vms 4"))
        })
        .await;
        let exchange = deployment.hand_over_as(5, "slow", "/resumable/slow").await;
        eventually("it runs", async || deployment.run_count("slow") == 1).await;
        let began_at = Instant::now();
        let drain = deployment.stop().await;
        let got = receive(exchange).await;
        assert!(matches!(got, Got::Cut(events, _) if events > 0), "{got:?}");
        let took = began_at.elapsed();
        assert!(took < GRACE * 3 / 4, "given back after {took:?}");
        drain.await;
    });
}

/// What a caller of the other gateway gets of a stream, when the gateway that serves it is told to stop
/// while it runs, and before it the caller's one if `stops_both`.
async fn stream_over_a_stop(
    place: u8,
    path: &'static str,
    stops_both: bool,
) -> (u16, Option<usize>) {
    // Ends before the graces of both gateways do.
    let time = GRACE - Duration::from_millis(1200);
    let mut deployment = Deployment::start(place, &[(path, Behavior::EventsOver(time))]).await;
    let other = deployment.start_other_gateway().await;
    let gateway = deployment.gateway.take().expect("a gateway that runs");
    let call = deployment.call_other("slow", path, TIMEOUT);
    let stops = async {
        eventually("it runs", async || deployment.run_count("slow") == 1).await;
        if stops_both {
            futures_util::future::join(other.drain(), gateway.drain()).await;
        } else {
            gateway.drain().await;
            drop(other);
        }
    };
    futures_util::future::join(call, stops).await.0
}

/// Guards against a stream that is given back although its sender may not send it to another target: it
/// is cut where it would have ended.
#[test]
fn stream_that_may_have_no_further_target_is_not_given_back() {
    let got = smol::block_on(stream_over_a_stop(6, "/single/slow", false));
    assert_eq!(got, (200, Some(LAST_EVENT_ID as usize)));
}

/// Guards against a stream that is given back while its sender stops, too, and takes up nothing that may
/// outlast it.
#[test]
fn stream_whose_callers_gateway_stops_too_is_not_given_back() {
    let got = smol::block_on(stream_over_a_stop(7, "/resumable/slow", true));
    assert_eq!(got, (200, Some(LAST_EVENT_ID as usize)));
}

/// Guards against a stream that the serving gateway ends before its caller's time is over.
#[test]
fn stream_of_another_region_has_all_of_its_callers_time() {
    smol::block_on(async {
        let timeout = Duration::from_secs(2);
        let behaviors =
            [("/stream/slow", Behavior::EventsOver(timeout - Duration::from_millis(70)))];
        let deployment = Deployment::start(8, &behaviors).await;
        let _other = deployment.start_other_gateway().await;
        let got = deployment.call_other("slow", "/stream/slow", timeout).await;
        assert_eq!(got, (200, Some(LAST_EVENT_ID as usize)));
    });
}

/// Guards against a sender that waits until the caller's deadline to send the rest of a body which a
/// stopping gateway has refused.
#[test]
fn refusal_of_a_large_request_reaches_its_sender_at_once() {
    smol::block_on(async {
        let behaviors = [("/stream/slow", Behavior::EventsOver(Duration::from_millis(2800)))];
        let mut deployment = Deployment::start(9, &behaviors).await;
        let slow = deployment.hand_over("slow", "/stream/slow").await;
        eventually("it runs", async || deployment.run_count("slow") == 1).await;
        let drain = deployment.stop().await;
        // The callers' server has ended, and hand-overs are refused.
        Timer::after(GRACE / 2).await;
        let mut large = deployment.begin("large", "/short/large").await;
        let bytes = Bytes::from(vec![b'x'; 1024 * 1024]);
        let refusal = async {
            let _ = large.send(Body::Chunk(Chunk { bytes })).await;
            receive(large).await
        };
        let refusal = clock::within(Duration::from_millis(500), refusal).await;
        assert_eq!(refusal, Some(refused()));
        assert_eq!(receive(slow).await, Got::Whole);
        drain.await;
    });
}

/// Guards against a 503 that a caller can't read, because the connection is closed while it still sends
/// the body: it would not learn that it may go elsewhere.
#[test]
fn caller_that_still_sends_its_body_gets_the_refusal_of_a_stopping_gateway() {
    smol::block_on(async {
        let mut deployment = Deployment::start(10, &[]).await;
        let callers = (deployment.net.address(2), CALLERS_PORT);
        let mut stream = smol::net::TcpStream::connect(callers).await.expect("a connection");
        let drain = deployment.stop().await;
        let head = "POST /once/slow HTTP/1.1\r\nhost: a.example\r\nrequest: slow\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("sent");
        for _ in 0..3 {
            stream.write_all(b"4\r\nbody\r\n").await.expect("a connection that takes the body");
            Timer::after(Duration::from_millis(200)).await;
        }
        stream.write_all(b"0\r\n\r\n").await.expect("a connection that takes the body");
        let mut response = String::new();
        stream.read_to_string(&mut response).await.expect("a response");
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        drain.await;
    });
}

/// Guards against a gateway that waits, and keeps its stop waiting, until the other one has confirmed the
/// end of a broken stream, which that one does only for whole ones.
#[test]
fn end_of_a_broken_stream_is_logged_at_once() {
    smol::block_on(async {
        let behaviors = [("/stream/broken", Behavior::EventsThenClose(3))];
        let deployment = Deployment::start(11, &behaviors).await;
        Timer::after(Duration::from_millis(300)).await;
        let logged = deployment.ends.0.load(Ordering::Relaxed);
        let got = receive(deployment.hand_over("broken", "/stream/broken").await).await;
        assert!(matches!(got, Got::Cut(..)), "{got:?}");
        Timer::after(Duration::from_millis(500)).await;
        assert_eq!(deployment.ends.0.load(Ordering::Relaxed), logged + 1);
    });
}

/// Guards against a resumption that another gateway refused and that counts as a run all the same: no
/// further one may follow, and the stream is cut.
#[test]
fn refused_resumption_does_not_use_up_the_targets_of_a_stream() {
    smol::block_on(async {
        let deployment = Deployment::start(14, &[]).await;
        let _other = deployment.start_other_gateway().await;
        let behaviors = vec![Behavior::EventsThenClose(3), Behavior::Reject, Behavior::AllEvents];
        let path = "/resumable/broken";
        deployment.behaviors.lock().expect("behaviors").insert(path.to_owned(), behaviors);
        let got = deployment.call_other("broken", path, TIMEOUT).await;
        assert_eq!(got, (200, Some(LAST_EVENT_ID as usize)));
    });
}
