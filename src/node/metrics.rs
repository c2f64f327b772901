use std::{net::SocketAddr, sync::Arc};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use slog::Logger;
use smol::net::TcpListener;

use super::{Error, Settings};
use crate::{
    explain::{Explanation, QueryError},
    figure::Page,
    http::{self, Account, Body, Limits, ServerAccount, Stop},
};

const METRICS_PATH: &str = "/metrics";
/// The part of the descriptors for the connections of the metrics.
const SMALL_SERVER_DIVISOR: usize = 16;
const METRICS_TYPE: &str = "text/plain; version=0.0.4";
/// The page that says what a VM would do with a request.
pub const EXPLAIN_PATH: &str = "/explain";

/// Serves metrics in the text format of Prometheus for as long as the process runs. Does nothing if
/// `figures_port` is not set.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn serve_metrics<F>(
    settings: &Settings,
    account: &Arc<Account>,
    logger: &Logger,
    page: F,
) -> Result<(), Error>
where
    F: Fn() -> Page + Send + Sync + 'static,
{
    serve_pages(settings, account, logger, page, |_: &str| None).await
}

/// Like [`serve_metrics`], and serves beside the metrics what `explain` returns for the query of a URI;
/// nothing if there is no such page.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn serve_pages<F, E>(
    settings: &Settings,
    account: &Arc<Account>,
    logger: &Logger,
    page: F,
    explain: E,
) -> Result<(), Error>
where
    F: Fn() -> Page + Send + Sync + 'static,
    E: Fn(&str) -> Option<Result<Explanation, QueryError>> + Send + Sync + 'static,
{
    let Some(port) = settings.figures_port else { return Ok(()) };
    let address = SocketAddr::new(settings.address, port);
    let listener =
        TcpListener::bind(address).await.map_err(|cause| Error::Listen(address, cause))?;
    let (page, explain, logger) = (Arc::new(page), Arc::new(explain), logger.clone());
    let account = Arc::clone(account);
    smol::spawn(async move {
        let (_stop, stopped) = Stop::new();
        let server = ServerAccount::new(&account, SMALL_SERVER_DIVISOR);
        let handler = move |request: Request<Incoming>| {
            let response = match request.uri().path() {
                METRICS_PATH => {
                    let mut page = page();
                    account.write_to(&mut page);
                    response(StatusCode::OK, METRICS_TYPE, page.text())
                }
                EXPLAIN_PATH => {
                    explain_response(explain(request.uri().query().unwrap_or_default()))
                }
                _ => response(StatusCode::NOT_FOUND, METRICS_TYPE, String::new()),
            };
            async move { response }
        };
        http::serve_counted(listener, Limits::default, stopped, &logger, server, handler).await;
    })
    .detach();
    Ok(())
}

fn explain_response(explained: Option<Result<Explanation, QueryError>>) -> Response<Body> {
    let text_type = "text/plain";
    match explained.map(|explained| explained.map(|it| serde_json::to_string(&it))) {
        Some(Ok(Ok(text))) => response(StatusCode::OK, "application/json", text),
        Some(Ok(Err(cause))) => {
            response(StatusCode::INTERNAL_SERVER_ERROR, text_type, cause.to_string())
        }
        Some(Err(cause)) => response(StatusCode::BAD_REQUEST, text_type, cause.to_string()),
        None => response(StatusCode::NOT_FOUND, text_type, String::new()),
    }
}

fn response(status: StatusCode, content_type: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(http::full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
