//! Plain HTTP server that all stand-ins share.

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

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// A response in the making.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// A request with its whole body.
pub struct IncomingRequest {
    /// Method, path, query and headers.
    pub head: http::request::Parts,
    /// Body.
    pub body: Bytes,
}

impl IncomingRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns one parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Reads the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Listens on `address`; port 0 takes a free one. Serves until the process ends.
///
/// # Errors
///
/// Fails where the address cannot be bound.
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
        // Without it answers wait for the other end's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handle_request(request, &*handler).await) }
        });
        tokio::spawn(async move {
            let mut http = hyper::server::conn::http1::Builder::new();
            let connection = http.timer(TokioTimer::new());
            // A client that goes away is no failure of the stand-in.
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

/// Builds a JSON response.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(text)).boxed());
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

/// Builds a response of bytes.
pub fn bytes(bytes: Bytes) -> Response<Body> {
    Response::new(Full::new(bytes).boxed())
}

/// Builds a JSON response with a status.
pub fn json_status(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let mut response = json(value);
    *response.status_mut() = status;
    response
}

/// Builds an empty response.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::new()).boxed());
    *response.status_mut() = status;
    response
}

/// Builds a response of server-sent events.
pub fn events(stream: impl Stream<Item = Bytes> + Send + Sync + 'static) -> Response<Body> {
    use futures::StreamExt;
    let frames = stream.map(|data| Ok::<_, Infallible>(Frame::data(data)));
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let events = http::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", events);
    response
}
