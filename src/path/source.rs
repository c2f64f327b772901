use std::net::SocketAddr;

use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{HOST, RANGE},
};
use smol::Task;

use super::{
    BodyPart, DispatchLimits,
    framing::{Framing, Tail},
    header,
};
use crate::{clock::within, http};

/// The body of a target's answer as it comes. A stream that breaks is resumed from its offset
/// where the target offers that.
#[derive(Debug)]
pub(super) struct Source {
    target: SocketAddr,
    limits: DispatchLimits,
    framing: Framing,
    resume: Option<String>,
    resumptions: u32,
    received: u64,
    tail: Tail,
    ended: bool,
    body: Incoming,
    driver: Task<()>,
}

impl Source {
    pub(super) fn new(
        target: SocketAddr,
        response: Response<Incoming>,
        driver: Task<()>,
        limits: DispatchLimits,
    ) -> Self {
        let (head, body) = response.into_parts();
        let framing = Framing::of(&head.headers, &body);
        let resume = head.headers.get(header::RESUME).and_then(|value| value.to_str().ok());
        Self {
            target,
            limits,
            framing,
            resume: resume.filter(|path| path.starts_with('/')).map(ToOwned::to_owned),
            resumptions: 0,
            received: 0,
            tail: Tail::default(),
            ended: false,
            body,
            driver,
        }
    }

    pub(super) fn is_stream(&self) -> bool {
        self.framing == Framing::Stream
    }

    /// Waits for the next piece of the body.
    pub(super) async fn next(&mut self) -> BodyPart {
        loop {
            let cause = match self.read().await {
                Ok(part) => return part,
                Err(cause) => cause,
            };
            if !self.resume().await {
                self.ended = true;
                return BodyPart::Abort(cause);
            }
        }
    }

    async fn read(&mut self) -> Result<BodyPart, String> {
        loop {
            let Some(frame) = within(self.limits.idle_timeout, self.body.frame()).await else {
                return Err("the target fell silent in its answer".to_owned());
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(self.take(bytes));
                    }
                }
                Some(Err(_)) => return Err("the target cut its answer short".to_owned()),
                None if self.is_whole() => {
                    self.ended = true;
                    return Ok(BodyPart::End);
                }
                None => return Err("the target's answer has no end".to_owned()),
            }
        }
    }

    fn take(&mut self, bytes: Bytes) -> BodyPart {
        self.received += bytes.len() as u64;
        self.tail.push(&bytes);
        BodyPart::Chunk(bytes)
    }

    fn is_whole(&self) -> bool {
        match self.framing {
            Framing::Http => true,
            Framing::Stream => self.tail.ended(),
            Framing::Close => false,
        }
    }

    /// Asks the target for the rest of a stream; says whether it comes.
    async fn resume(&mut self) -> bool {
        let Some(path) = self.resume.clone() else { return false };
        if self.resumptions >= self.limits.max_resumptions {
            return false;
        }
        self.resumptions += 1;
        let range = format!("bytes={}-", self.received);
        let request = Request::get(&path).header(RANGE, range).header(HOST, self.host());
        let Ok(request) = request.body(http::empty()) else { return false };
        let limits = self.limits;
        match http::send_request(self.target, request, limits.connect_timeout, limits.idle_timeout)
            .await
        {
            Ok((response, driver)) if response.status() == StatusCode::PARTIAL_CONTENT => {
                self.body = response.into_body();
                self.driver = driver;
                true
            }
            _ => false,
        }
    }

    fn host(&self) -> String {
        self.target.to_string()
    }
}

impl Drop for Source {
    /// Tells a target that keeps a stream for resumption that nobody will come back for it.
    fn drop(&mut self) {
        let Some(path) = self.resume.take().filter(|_| !self.ended) else { return };
        let request = Request::builder().method(Method::DELETE).uri(path).header(HOST, self.host());
        let Ok(request) = request.body(http::empty()) else { return };
        let (target, limits) = (self.target, self.limits);
        smol::spawn(async move {
            let _ =
                http::send_request(target, request, limits.connect_timeout, limits.connect_timeout)
                    .await;
        })
        .detach();
    }
}
