//! Links between VMs under faults.

mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use pomelogate::{
    link::{Due, Error, Exchange, Hub, Inbound, Liveness, Settings},
    wire::{Body, Chunk, Frame, Handover, Hello, Topic},
};
use prost::{Message, bytes::Bytes};
use smol::{
    Timer,
    channel::Receiver,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use support::{
    fleet::{PATIENCE, eventually},
    proxy::{Fault, Faults, Proxy},
};

const SIZE: usize = 4 * 1024 * 1024;

struct End {
    hub: Arc<Hub>,
    address: SocketAddr,
    inbound: Receiver<Inbound>,
    accept: smol::Task<()>,
}

async fn end(vm: &str) -> End {
    let settings = Settings {
        heartbeat_interval: Duration::from_millis(100),
        silence_timeout: Duration::from_secs(1),
        ..Settings::default()
    };
    end_with(vm, settings).await
}

async fn end_with(vm: &str, settings: Settings) -> End {
    let (sender, inbound) = smol::channel::bounded(64);
    let hello = Hello { vm: vm.to_owned(), region: "jakarta".to_owned(), ..Hello::default() };
    let hub = Hub::new(hello, settings, sender);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = Arc::clone(&hub);
    let accept = smol::spawn(async move { drop(accepting.accept(listener).await) });
    End { hub, address, inbound, accept }
}

async fn within<T>(what: &str, work: impl Future<Output = T>) -> T {
    let limit = async {
        Timer::after(PATIENCE).await;
        panic!("never came: {what}")
    };
    smol::future::or(work, limit).await
}

async fn exchange(near: &End, far: &End, to: SocketAddr) -> (Exchange, Exchange) {
    let ours = near.hub.hand_over(to, Handover::default()).await.unwrap();
    let message = within("a hand-over", far.inbound.recv()).await.unwrap();
    let Inbound::Handover { exchange, .. } = message else { panic!("a hand-over was due") };
    (ours, exchange)
}

fn echo(end: &End) -> smol::Task<()> {
    let inbound = end.inbound.clone();
    smol::spawn(async move {
        while let Ok(message) = inbound.recv().await {
            if let Inbound::Call { payload, reply, .. } = message {
                let _ = reply.send(payload).await;
            }
        }
    })
}

async fn call(near: &End, to: SocketAddr) -> Result<Bytes, Error> {
    near.hub.call(to, Topic::Lists, Bytes::from_static(b"hi"), PATIENCE).await
}

#[test]
fn a_silent_link_fails_its_exchanges_at_both_ends_and_a_fresh_one_replaces_it() {
    smol::block_on(async {
        let (near, far) = (end("near").await, end("far").await);
        let proxy = Proxy::start(far.address).await;
        let (mut ours, mut theirs) = exchange(&near, &far, proxy.address()).await;
        proxy.freeze();
        let ends = within("both ends", async { (ours.receive().await, theirs.receive().await) });
        assert!(matches!(ends.await, (Err(Error::Closed), Err(Error::Closed))));
        let _echo = echo(&far);
        assert!(call(&near, proxy.address()).await.is_ok());
        assert_eq!(proxy.opened(), 2);
    });
}

#[test]
fn a_one_way_cut_is_seen_by_both_ends() {
    let cut = Fault { cut: true, ..Fault::default() };
    for (forth, back) in [(cut, Fault::default()), (Fault::default(), cut)] {
        smol::block_on(async {
            let (near, far) = (end("near").await, end("far").await);
            let proxy = Proxy::start(far.address).await;
            let (mut ours, mut theirs) = exchange(&near, &far, proxy.address()).await;
            proxy.set(Faults { forth, back, ..Faults::default() });
            within("the dialler", ours.receive()).await.unwrap_err();
            within("the acceptor", theirs.receive()).await.unwrap_err();
        });
    }
}

#[test]
fn a_slow_consumer_neither_blocks_other_exchanges_nor_takes_all_of_a_body() {
    smol::block_on(async {
        let (near, far) = (end("near").await, end("far").await);
        let (mut ours, mut theirs) = exchange(&near, &far, far.address).await;
        let body = Bytes::from(vec![7; SIZE]);
        let sent = smol::spawn(async move {
            ours.send(Body::Chunk(Chunk { bytes: body })).await.unwrap();
            ours
        });
        let (mut second, mut other) = exchange(&near, &far, far.address).await;
        second.send(Body::Chunk(Chunk { bytes: Bytes::from_static(b"x") })).await.unwrap();
        within("the other exchange", other.receive()).await.unwrap();
        let _echo = echo(&far);
        within("a call", call(&near, far.address)).await.unwrap();
        assert!(!sent.is_finished(), "the sender waits for credit");
        let mut got = 0;
        while got < SIZE {
            let body = within("a chunk", theirs.receive()).await.unwrap();
            let Body::Chunk(chunk) = body else { panic!("a chunk was due") };
            got += chunk.bytes.len();
        }
        within("the sender", sent).await;
    });
}

#[test]
fn concurrent_callers_share_one_connection() {
    smol::block_on(async {
        let (near, far) = (end("near").await, end("far").await);
        let _echo = echo(&far);
        let proxy = Proxy::start(far.address).await;
        let mut calls: FuturesUnordered<_> =
            (0..32).map(|_| call(&near, proxy.address())).collect();
        while let Some(reply) = calls.next().await {
            reply.unwrap();
        }
        assert_eq!(proxy.opened(), 1);
    });
}

#[test]
fn a_vm_that_cannot_be_reached_is_not_dialled_again_at_once() {
    smol::block_on(async {
        let (near, far) = (end("near").await, end("far").await);
        let _echo = echo(&far);
        let proxy = Proxy::start(far.address).await;
        proxy.cut();
        for _ in 0..5 {
            let failed = call(&near, proxy.address()).await;
            assert!(matches!(failed, Err(Error::Unreachable(..))));
        }
        assert!(proxy.opened() < 5, "{} dials", proxy.opened());
        proxy.heal();
        eventually("a fresh connection", async || call(&near, proxy.address()).await.is_ok()).await;
    });
}

#[test]
fn a_vm_that_has_just_dialled_is_dialled_at_once() {
    smol::block_on(async {
        let settings =
            Settings { initial_backoff: Duration::from_secs(3600), ..Settings::default() };
        let (near, far) = (end_with("near", settings).await, end("far").await);
        let (_near_echo, _far_echo) = (echo(&near), echo(&far));
        let proxy = Proxy::start(far.address).await;
        near.hub.expect_vm(proxy.address(), "far".into());
        proxy.set(Faults { refuse: true, ..Faults::default() });
        call(&near, proxy.address()).await.unwrap_err();
        proxy.heal();
        call(&near, proxy.address()).await.unwrap_err();
        call(&far, near.address).await.unwrap();
        call(&near, proxy.address()).await.unwrap();
    });
}

#[test]
fn a_hello_of_another_vm_is_refused() {
    smol::block_on(async {
        let (near, far) = (end("near").await, end("far").await);
        near.hub.expect_vm(far.address, "third".into());
        assert!(matches!(call(&near, far.address).await, Err(Error::Unreachable(..))));
    });
}

#[test]
fn malformed_bytes_close_just_their_link() {
    smol::block_on(async {
        let (near, far) = (end("near").await, end("far").await);
        let _echo = echo(&far);
        call(&near, far.address).await.unwrap();
        let bad: [&[u8]; 4] =
            [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0, 0, 0, 0], &[0, 0, 0, 2, 0x12, 0x7f]];
        for bytes in bad {
            let mut stream = TcpStream::connect(far.address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let mut rest = Vec::new();
            let _ = within("the end of the link", stream.read_to_end(&mut rest)).await;
        }
        call(&near, far.address).await.unwrap();
        assert!(!far.accept.is_finished());
    });
}

#[test]
fn frames_of_exchanges_that_are_not_open_are_dropped_and_none_is_opened_twice() {
    smol::block_on(async {
        let far = end("far").await;
        let chunk = || Body::Chunk(Chunk { bytes: Bytes::from_static(b"late") });
        let opens = |request: &str| {
            Body::Handover(Box::new(Handover {
                request_id: request.to_owned(),
                ..Handover::default()
            }))
        };
        let hello = Body::Hello(Hello { vm: "near".to_owned(), ..Hello::default() });
        let frames = [
            Frame::new(0, hello),
            Frame::new(7, chunk()),
            Frame::new(1, opens("first")),
            Frame::new(1, chunk()),
            Frame::new(1, opens("first")),
            Frame::new(2, opens("second")),
        ];
        let mut stream = TcpStream::connect(far.address).await.unwrap();
        for frame in frames {
            let bytes = frame.encode_to_vec();
            let length = u32::try_from(bytes.len()).unwrap().to_be_bytes();
            stream.write_all(&[&length[..], &bytes].concat()).await.unwrap();
        }
        let mut opened = Vec::new();
        for _ in 0..2 {
            let message = within("a hand-over", far.inbound.recv()).await.unwrap();
            let Inbound::Handover { exchange, handover, .. } = message else {
                panic!("a hand-over was due")
            };
            opened.push((handover.request_id, exchange));
        }
        let requests = opened.iter().map(|(request, _)| request.as_str());
        assert!(requests.eq(["first", "second"]), "the second opening of 1 goes nowhere");
        let first = within("the chunk", opened[0].1.receive()).await;
        assert!(matches!(first, Ok(Body::Chunk(_))));
    });
}

#[test]
fn a_link_cut_short_fails_the_exchange_instead_of_ending_it() {
    smol::block_on(async {
        let (near, far) = (end("near").await, end("far").await);
        let proxy = Proxy::start(far.address).await;
        let truncate = Fault { truncate: Some(100_000), ..Fault::default() };
        proxy.set(Faults { back: truncate, ..Faults::default() });
        let (mut ours, mut theirs) = exchange(&near, &far, proxy.address()).await;
        let body = Bytes::from(vec![7; SIZE]);
        let _sender = smol::spawn(async move {
            let _ = theirs.send(Body::Chunk(Chunk { bytes: body })).await;
        });
        let mut got = 0;
        while let Ok(Body::Chunk(chunk)) = within("the failure", ours.receive()).await {
            got += chunk.bytes.len();
        }
        assert!(got < SIZE);
    });
}

/// Two ends for a minute; gives the heartbeats that each wrote, and when each dropped the other.
fn minute(at_stake: [bool; 2], heard_by: [bool; 2]) -> ([usize; 2], [Option<Duration>; 2]) {
    const STEP: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let mut ends = [Liveness::new(Settings::default(), start); 2];
    let (mut beats, mut dropped) = ([0; 2], [None; 2]);
    for step in 0..6000 {
        let now = start + STEP * step;
        for (at, other) in [(0, 1), (1, 0)] {
            ends[at].stake(at_stake[at], now);
            match ends[at].due(now) {
                Due::Heartbeat { urgent } => {
                    ends[at].beat(now);
                    beats[at] += 1;
                    if heard_by[other] {
                        ends[other].heard(now);
                    }
                    if heard_by[other] && urgent {
                        ends[other].urged(now);
                    }
                }
                Due::Silent => drop(dropped[at].get_or_insert(now - start)),
                Due::Wait(_) => {}
            }
        }
    }
    (beats, dropped)
}

#[test]
fn heartbeats_are_rare_on_an_idle_link_and_frequent_at_both_ends_while_one_has_exchanges() {
    let (beats, dropped) = minute([false, false], [true, true]);
    assert_eq!((beats, dropped), ([11, 11], [None, None]));
    let (beats, dropped) = minute([true, false], [true, true]);
    assert_eq!(dropped, [None, None], "an end without exchanges answers one that has some");
    assert!(beats.iter().all(|beats| (110..=125).contains(beats)), "{beats:?}");
}

#[test]
fn silence_is_seen_soon_where_exchanges_are_open_and_later_where_none_is() {
    let Settings {
        heartbeat_interval,
        silence_timeout,
        idle_heartbeat_interval,
        idle_silence_timeout,
        ..
    } = Settings::default();
    let (_, dropped) = minute([true, false], [false, true]);
    // The other end hears its last heartbeat just before.
    let other = silence_timeout - heartbeat_interval + idle_silence_timeout;
    assert_eq!(dropped, [Some(silence_timeout), Some(other)]);
    let (_, dropped) = minute([false, false], [true, false]);
    let other = idle_silence_timeout - idle_heartbeat_interval + idle_silence_timeout;
    assert_eq!(dropped, [Some(other), Some(idle_silence_timeout)]);
}

#[test]
fn a_link_that_fell_silent_while_idle_is_replaced_before_an_exchange_opens() {
    smol::block_on(async {
        let hour = Duration::from_secs(3600);
        let quiet = Settings {
            idle_heartbeat_interval: hour,
            idle_silence_timeout: hour,
            ..Settings::default()
        };
        let settings = Settings { silence_timeout: Duration::from_millis(50), ..quiet };
        let (near, far) = (end_with("near", settings).await, end_with("far", quiet).await);
        let proxy = Proxy::start(far.address).await;
        let served = echo(&far);
        call(&near, proxy.address()).await.unwrap();
        served.cancel().await;
        Timer::after(2 * settings.silence_timeout).await;
        proxy.freeze();
        let (ours, mut theirs) = exchange(&near, &far, proxy.address()).await;
        drop(ours);
        within("the cancel", theirs.receive()).await.unwrap();
        assert_eq!(proxy.opened(), 2);
    });
}

#[test]
fn a_quiet_link_that_answers_stays_in_use() {
    smol::block_on(async {
        let hour = Duration::from_secs(3600);
        let quiet = Settings {
            idle_heartbeat_interval: hour,
            idle_silence_timeout: hour,
            ..Settings::default()
        };
        let settings =
            Settings { silence_timeout: Duration::from_secs(2), probe_timeout: PATIENCE, ..quiet };
        let (near, far) = (end_with("near", settings).await, end_with("far", quiet).await);
        let _echo = echo(&far);
        let proxy = Proxy::start(far.address).await;
        call(&near, proxy.address()).await.unwrap();
        Timer::after(settings.silence_timeout + settings.heartbeat_interval).await;
        let mut calls: FuturesUnordered<_> = (0..8).map(|_| call(&near, proxy.address())).collect();
        while let Some(reply) = calls.next().await {
            reply.unwrap();
        }
        assert_eq!(proxy.opened(), 1);
    });
}

#[test]
fn a_link_that_carries_nothing_is_closed_and_one_with_an_exchange_is_not() {
    smol::block_on(async {
        let settings = Settings {
            idle_heartbeat_interval: Duration::from_millis(20),
            idle_close_timeout: Duration::from_millis(60),
            ..Settings::default()
        };
        let (near, far) = (end_with("near", settings).await, end("far").await);
        let proxy = Proxy::start(far.address).await;
        let (ours, theirs) = exchange(&near, &far, proxy.address()).await;
        let served = echo(&far);
        Timer::after(10 * settings.idle_close_timeout).await;
        call(&near, proxy.address()).await.unwrap();
        assert_eq!(proxy.opened(), 1, "an exchange is open");
        drop((ours, theirs));
        eventually("a second connection", async || {
            Timer::after(4 * settings.idle_close_timeout).await;
            call(&near, proxy.address()).await.is_ok() && proxy.opened() == 2
        })
        .await;
        served.cancel().await;
    });
}

#[test]
fn a_silent_link_that_carries_the_agreement_is_replaced_though_no_exchange_is_open() {
    smol::block_on(async {
        let hour = Duration::from_secs(3600);
        let settings = Settings {
            silence_timeout: Duration::from_secs(1),
            idle_heartbeat_interval: hour,
            idle_silence_timeout: hour,
            ..Settings::default()
        };
        let (near, far) = (end_with("near", settings).await, end("far").await);
        let proxy = Proxy::start(far.address).await;
        let send = async || {
            near.hub.notify(proxy.address(), Topic::Consensus, Bytes::new()).await.unwrap();
        };
        send().await;
        within("the first", far.inbound.recv()).await.unwrap();
        proxy.freeze();
        eventually("a message by a fresh link", async || {
            send().await;
            far.inbound.try_recv().is_ok()
        })
        .await;
    });
}

/// A group's leader writes to each follower several times between two heartbeats; the follower
/// answers on the connection that it dialled itself.
#[test]
fn an_end_that_keeps_writing_still_asks_for_a_sign_of_life() {
    let settings = Settings::default();
    let start = Instant::now();
    let mut liveness = Liveness::new(settings, start);
    liveness.stake(true, start);
    let mut asked = 0;
    for step in 1..40 {
        let now = start + settings.heartbeat_interval / 3 * step;
        match liveness.due(now) {
            Due::Heartbeat { urgent: true } => {
                asked += 1;
                liveness.beat(now);
                liveness.heard(now);
            }
            Due::Silent => panic!("silent after {step} steps, asked {asked} times"),
            _ => liveness.wrote(now),
        }
    }
    assert!(asked > 0);
}
