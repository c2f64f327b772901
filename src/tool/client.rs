use std::{fs, net::SocketAddr, time::Duration};

use hyper::{Method, Request, StatusCode, body::Bytes};
use serde::{Serialize, de::DeserializeOwned};

use super::{Error, Options};
use crate::{
    admin::{BASE, Problem},
    http::{self, RequestError},
};

const CONNECT: Duration = Duration::from_secs(2);
const ANSWER: Duration = Duration::from_secs(10);
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Asks VMs over the administration API, the next one where one cannot be reached.
#[derive(Clone, Debug)]
pub struct Client {
    vms: Vec<SocketAddr>,
    key: String,
}

impl Client {
    /// Creates a client for the VMs and the key that `options` name.
    ///
    /// # Errors
    ///
    /// Where no VM or no key is named, or the key cannot be read.
    pub fn new(options: &Options) -> Result<Self, Error> {
        if options.vms.is_empty() {
            return Err(Error::Usage("name a VM with `--vm <IP number>:<port>`".to_owned()));
        }
        let path = options.key_file.as_ref().ok_or_else(|| {
            Error::Usage("name the operator's key with `--key-file <file>`".to_owned())
        })?;
        let key = fs::read_to_string(path).map_err(|cause| Error::file(path, &cause))?;
        Ok(Self { vms: options.vms.clone(), key: key.trim().to_owned() })
    }

    /// The same client for one VM alone.
    #[must_use]
    pub fn at(&self, vm: SocketAddr) -> Self {
        Self { vms: vec![vm], key: self.key.clone() }
    }

    /// The VMs that it asks, in order.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms
    }

    /// Gets what stands at `path` below the API's base.
    ///
    /// # Errors
    ///
    /// Where no VM can be reached, or the VM refuses.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.ask(&Method::GET, path, &())
    }

    /// Sends `message` to `path` below the API's base. Every message of the API is idempotent, so
    /// that the next VM may be asked where an answer was lost.
    ///
    /// # Errors
    ///
    /// Where no VM can be reached, or the VM refuses.
    pub fn ask<M: Serialize, T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        message: &M,
    ) -> Result<T, Error> {
        let body =
            serde_json::to_vec(message).map_err(|cause| Error::Refused(cause.to_string()))?;
        let body = if *method == Method::GET { Bytes::new() } else { Bytes::from(body) };
        let mut causes = Vec::new();
        for vm in &self.vms {
            match smol::block_on(self.send(*vm, method, path, body.clone())) {
                Ok((status, body)) => return parse(status, &body),
                Err(failure) => causes.push(format!("{vm}: {failure}")),
            }
        }
        let causes = causes.join("\n  ");
        let remedy = "check that the VM runs, or name another one with `--vm`";
        Err(Error::Unreachable(format!("no VM can be reached; {remedy}\n  {causes}")))
    }

    async fn send(
        &self,
        vm: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), RequestError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{BASE}{path}"))
            .header("host", vm.to_string())
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(http::full(body))
            .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
        let (response, _driver) = http::send_request(vm, request, CONNECT, ANSWER).await?;
        let status = response.status();
        let body = http::collect(&mut response.into_body(), ANSWER_LIMIT).await;
        let body =
            body.map_err(|_| RequestError::OutcomeUnknown("the answer was cut short".to_owned()))?;
        Ok((status, body))
    }
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    let other = |cause: serde_json::Error| {
        Error::Refused(format!("{status}, and no answer as expected: {cause}; name a VM's address"))
    };
    if status.is_success() {
        return serde_json::from_slice(body).map_err(other);
    }
    Err(serde_json::from_slice::<Problem>(body).map_err(other)?.into())
}
