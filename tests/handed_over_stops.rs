//! A gateway that serves requests of another region and is told to stop: what the other gateway gets.
//! The test is that other gateway, on a link of its own.

mod support;

use std::{
    net::Ipv4Addr,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use http_body_util::BodyExt;
use hyper::Request;
use pomelogate::{
    clock,
    control::Control,
    gateway::RunningGateway,
    http, id,
    link::{Exchange, Hub},
    node::Settings,
    registry::Announcement,
    wire::{Body, Chunk, End, Handover, Header, Hello, Need},
};
use prost::bytes::Bytes;
use smol::Timer;
use support::{
    fake_target::{Behavior, Behaviors, FakeTarget, LAST_EVENT_ID},
    fleet::eventually,
    routed::{
        CALLERS_PORT, CONTROL_PORT, LINKS_PORT, Net, read_routes, settings, start_gateway_with,
    },
};

/// The grace of the gateway. It ends requests 0.7 s earlier, and hand-overs 0.25 s earlier.
const GRACE: Duration = Duration::from_secs(4);
const TIMEOUT: Duration = Duration::from_secs(8);
const SHORT_TIMEOUT: Duration = Duration::from_millis(900);
const ROUTES: &str = "1
stream /stream/ 1 8000 -
stream /short/ 1 900 -
resumable /resumable/ 2 8000 -
once /once/ 1 8000 -";

struct Deployment {
    gateway: Option<RunningGateway>,
    target: FakeTarget,
    hub: Arc<Hub>,
    net: Net,
    _control: Arc<Control>,
    _data: tempfile::TempDir,
    _behaviors: Behaviors,
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
        let gateway = start_gateway_with(gateway_settings).await;
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
        let (sender, _inbound) = smol::channel::bounded(64);
        let hello = Hello {
            vm: net.address(4).to_string(),
            region: "jakarta".to_owned(),
            ..Hello::default()
        };
        let hub = Hub::new(hello, pomelogate::link::Settings::default(), sender);
        let deployment = Self {
            gateway: Some(gateway),
            target,
            hub,
            net,
            _control: control,
            _data: data,
            _behaviors: behaviors,
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
/// left of its caller's time. One whose caller's time ends before the gateway does stays.
#[test]
fn stopping_gateway_gives_streams_back_while_another_one_can_finish_them() {
    smol::block_on(async {
        let behaviors = [("/resumable/slow", Behavior::EventsOver(TIMEOUT))];
        let mut deployment = Deployment::start(5, &behaviors).await;
        let exchange = deployment.hand_over("slow", "/resumable/slow").await;
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
