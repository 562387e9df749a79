//! HTTP server shared by the stand-ins.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

/// Response body.
pub type Body = BoxBody<Bytes, Infallible>;

/// Future that resolves to a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Request whose body was read in full.
pub struct IncomingRequest {
    /// Method, path, query and headers.
    pub head: http::request::Parts,
    /// Request body.
    pub body: Bytes,
}

impl IncomingRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns a query parameter; the first one if the name is repeated.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Returns a header value, if the header is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Listens on `address` until the process ends; returns the bound address.
///
/// Port 0 selects a free port.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    handler: impl Fn(IncomingRequest) -> ResponseFuture + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(accept_connections(listener, Arc::new(handler)));
    Ok(bound)
}

async fn accept_connections(
    listener: TcpListener,
    handler: Arc<impl Fn(IncomingRequest) -> ResponseFuture + Send + Sync + 'static>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // With Nagle's algorithm, responses would wait for the delayed acknowledgement of the peer.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handle_request(request, &*handler).await) }
        });
        tokio::spawn(async move {
            let mut http = hyper::server::conn::http1::Builder::new();
            let connection = http.timer(TokioTimer::new());
            // A client that disconnects is not an error of the stand-in.
            let _ = connection.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn handle_request(
    request: Request<Incoming>,
    handler: &(impl Fn(IncomingRequest) -> ResponseFuture + Send + Sync),
) -> Response<Body> {
    let (head, body) = request.into_parts();
    match body.collect().await {
        Ok(body) => handler(IncomingRequest { head, body: body.to_bytes() }).await,
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

/// Builds a JSON response with status 200.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)).boxed());
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

/// Builds a response with a binary body.
pub fn bytes(bytes: Bytes) -> Response<Body> {
    Response::new(Full::new(bytes).boxed())
}

/// Builds a JSON response with the given status.
pub fn json_status(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = json(value);
    *response.status_mut() = status;
    response
}

/// Builds an empty response with the given status.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::new()).boxed());
    *response.status_mut() = status;
    response
}

/// Builds a response that streams server-sent events.
pub fn events(stream: impl Stream<Item = Bytes> + Send + Sync + 'static) -> Response<Body> {
    use futures::StreamExt;
    let frames = stream.map(|data| Ok::<_, Infallible>(Frame::data(data)));
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let events = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", events);
    response
}
