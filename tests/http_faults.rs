//! Targets whose responses never begin, and servers that are stopped while callers send requests.

use std::{
    io::Write as _,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{Request, StatusCode};
use pomelogate::{
    clock::within,
    http::{self, Limits, RequestError, Stop},
};
use smol::{
    Timer, block_on,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a target that handles one connection with `respond` after it has received a request.
async fn start_target<F>(respond: impl FnOnce(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = std::io::Result<()>> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1024];
        stream.read(&mut request).await.expect("a request");
        let _ = respond(stream).await;
    })
    .detach();
    address
}

/// Sends a request; returns the status or the error, and how long it took.
async fn ask(address: SocketAddr) -> (Result<StatusCode, RequestError>, Duration) {
    let start = Instant::now();
    let request = Request::get("/").body(http::empty()).expect("a request");
    let result = http::send_request(address, request, TIMEOUT, TIMEOUT).await;
    (result.map(|(response, _connection)| response.status()), start.elapsed())
}

fn assert_given_up(result: &Result<StatusCode, RequestError>, cause: &str) {
    match result {
        Err(RequestError::OutcomeUnknown(text)) if text.contains(cause) => {}
        other => panic!("expected `{cause}`, not {other:?}"),
    }
}

#[test]
fn interim_responses_without_end_are_given_up() {
    block_on(async {
        let address = start_target(|mut stream| async move {
            loop {
                stream
                    .write_all(&b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(64))
                    .await?;
            }
        });
        let (result, took) = ask(address.await).await;
        assert_given_up(&result, "interim responses");
        assert!(took < Duration::from_secs(2), "{took:?}");
    });
}

/// A target in trouble may send a line now and then, so that the connection is never idle.
#[test]
fn a_head_that_trickles_without_end_is_given_up() {
    block_on(async {
        let address = start_target(|mut stream| async move {
            stream.write_all(b"HTTP/1.1 200 OK\r\n").await?;
            loop {
                stream.write_all(b"x-more: 1\r\n").await?;
                Timer::after(Duration::from_millis(300)).await;
            }
        });
        let (result, took) = ask(address.await).await;
        assert_given_up(&result, "no end");
        assert!(took < Duration::from_secs(4), "{took:?}");
    });
}

#[test]
fn a_head_of_endless_bytes_is_given_up() {
    block_on(async {
        let address = start_target(|mut stream| async move {
            stream.write_all(b"HTTP/1.1 200 OK\r\nx-long: ").await?;
            loop {
                stream.write_all(&[b'a'; 16 * 1024]).await?;
            }
        });
        let (result, took) = ask(address.await).await;
        assert!(matches!(result, Err(RequestError::OutcomeUnknown(_))), "{result:?}");
        assert!(took < Duration::from_secs(2), "{took:?}");
    });
}

/// A sound target may say early that it is at work, and answer long after.
#[test]
fn a_late_response_after_interim_ones_is_received() {
    block_on(async {
        let address = start_target(|mut stream| async move {
            for _ in 0..3 {
                stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").await?;
                Timer::after(Duration::from_millis(1200)).await;
            }
            stream.write_all(OK).await?;
            stream.read(&mut [0; 1]).await.map(drop)
        });
        let (result, _) = ask(address.await).await;
        assert_eq!(result, Ok(StatusCode::OK));
    });
}

/// A server on loopback that takes `delay` for each request.
async fn start_server(delay: Duration) -> (SocketAddr, Stop, smol::Task<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = Stop::new();
    let handler = move |_| async move {
        Timer::after(delay).await;
        hyper::Response::new(http::full("ok"))
    };
    let server = smol::spawn(async move {
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        http::serve(listener, Limits::default, stopped, &logger, handler).await;
    });
    (address, stop, server)
}

/// Sends `request` in one go, then `more` a little later, and returns the whole answer.
async fn refusal_of(address: SocketAddr, request: &[u8], more: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request).await?;
    Timer::after(Duration::from_millis(20)).await;
    stream.write_all(more).await?;
    // A reset that is on its way overtakes an answer that has not been read.
    Timer::after(Duration::from_millis(20)).await;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Guards against a connection that is closed with unread bytes: it is reset, and its caller never
/// sees why the request was refused.
#[test]
fn caller_whose_request_is_refused_unread_gets_the_refusal() {
    block_on(async {
        let (address, _stop, _server) = start_server(Duration::ZERO).await;
        let endless_head = [b"GET / HTTP/1.1\r\nx-long: ".as_slice(), &[b'a'; 256 * 1024]].concat();
        let malformed = [b"GET / HTTP/9.9\r\n\r\n".as_slice(), &[b'a'; 256 * 1024]].concat();
        for (request, status) in [(&endless_head, "431"), (&malformed, "400")] {
            for _ in 0..20 {
                let answer = refusal_of(address, request, b"aaa").await.expect("no reset");
                assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer:?}");
            }
        }
    });
}

/// Guards against callers who keep a refused connection open, or send on for ever.
#[test]
fn refused_callers_do_not_hold_a_stop_up() {
    block_on(async {
        let (address, stop, server) = start_server(Duration::ZERO).await;
        let mut silent = TcpStream::connect(address).await.expect("a connection");
        silent.write_all(b"GET / HTTP/9.9\r\n\r\n").await.expect("it is sent");
        let mut endless = TcpStream::connect(address).await.expect("a connection");
        let sender =
            smol::spawn(
                async move { while endless.write_all(&[b'a'; 64 * 1024]).await.is_ok() {} },
            );
        Timer::after(Duration::from_millis(100)).await;
        stop.stop();
        within(Duration::from_secs(3), server).await.expect("the server ends");
        within(Duration::from_secs(3), sender).await.expect("the connection is closed");
    });
}

/// Guards against a refused caller that sends faster than it is read, and so takes all of the server's time.
#[test]
fn refused_caller_that_sends_on_keeps_nobody_else_waiting() {
    block_on(async {
        let (address, _stop, _server) = start_server(Duration::ZERO).await;
        let flood = move || {
            let mut stream = std::net::TcpStream::connect(address).expect("a connection");
            let start = Instant::now();
            let mut written = stream.write_all(b"GET / HTTP/9.9\r\n\r\n");
            while written.is_ok() && start.elapsed() < TIMEOUT {
                written = stream.write_all(&[b'a'; 256 * 1024]);
            }
            start.elapsed()
        };
        let floods: Vec<_> = (0..4).map(|_| std::thread::spawn(flood)).collect();
        Timer::after(Duration::from_millis(200)).await;
        for _ in 0..10 {
            let (result, took) = ask(address).await;
            assert_eq!(result, Ok(StatusCode::OK));
            assert!(took < Duration::from_millis(500), "{took:?}");
        }
        for flood in floods {
            let flooded = flood.join().expect("the flood ends");
            assert!(flooded < Duration::from_secs(3), "{flooded:?}");
        }
    });
}

/// What callers saw.
#[derive(Debug, Default)]
struct Tally {
    answered: AtomicU32,
    cut_off: AtomicU32,
}

/// Sends requests on kept connections until the server can no longer be reached. A request is cut
/// off if its connection ends without a byte of a response.
async fn keep_asking(address: SocketAddr, pause: Duration, tally: Arc<Tally>) {
    while let Ok(mut stream) = TcpStream::connect(address).await {
        loop {
            if stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.is_err() {
                break;
            }
            let mut response = [0; 1024];
            let length = stream.read(&mut response).await.unwrap_or(0);
            let response = String::from_utf8_lossy(&response[..length]).to_ascii_lowercase();
            if length == 0 {
                tally.cut_off.fetch_add(1, Ordering::Relaxed);
                break;
            }
            tally.answered.fetch_add(1, Ordering::Relaxed);
            if response.contains("connection: close") {
                break;
            }
            Timer::after(pause).await;
        }
    }
}

/// Callers with kept connections send requests in the same instant as the server is stopped.
#[test]
fn a_stop_under_load_cuts_off_no_request() {
    block_on(async {
        let (address, stop, server) = start_server(Duration::from_millis(3)).await;
        let tally = Arc::new(Tally::default());
        let callers: Vec<smol::Task<()>> = (0..24)
            .map(|number| {
                let pause = Duration::from_millis(number % 8);
                smol::spawn(keep_asking(address, pause, Arc::clone(&tally)))
            })
            .collect();
        Timer::after(Duration::from_millis(300)).await;
        stop.stop();
        within(TIMEOUT, server).await.expect("the server ends");
        for caller in callers {
            within(TIMEOUT, caller).await.expect("the caller ends");
        }
        assert!(tally.answered.load(Ordering::Relaxed) > 100, "{tally:?}");
        assert_eq!(tally.cut_off.load(Ordering::Relaxed), 0, "{tally:?}");
    });
}

/// A request that was sent just before the stop, on a connection that the server has not seen yet
/// or that was idle.
#[test]
fn a_request_that_crosses_a_stop_is_answered_and_closes_its_connection() {
    block_on(async {
        let (address, stop, server) = start_server(Duration::ZERO).await;
        let mut kept = TcpStream::connect(address).await.expect("a connection");
        Timer::after(Duration::from_millis(50)).await;
        let mut new = TcpStream::connect(address).await.expect("a connection");
        stop.stop();
        for stream in [&mut kept, &mut new] {
            stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("it is sent");
            let mut response = String::new();
            stream.read_to_string(&mut response).await.expect("a response");
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
            assert!(response.to_ascii_lowercase().contains("connection: close"), "{response:?}");
        }
        within(TIMEOUT, server).await.expect("the server ends");
    });
}
