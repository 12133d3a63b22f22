//! HTTP API of the stand-in object store. Each instance uses a server of its own, so that faults
//! can be injected for each instance separately.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::object_store::{ObjectStore, StoreError};
use crate::platform_server::answer;

/// Header of all answers with the number of restores of the store.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// How the store handles the calls of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreBehaviour {
    /// The store executes each call and responds at once.
    #[default]
    Normal,
    /// The store responds with status 503 and does not execute the call.
    Unavailable,
    /// The store neither executes the call nor responds.
    Unresponsive,
    /// The store executes the call but does not respond, so that the caller cannot know its result.
    DropsResponses,
    /// The store waits for this time before it executes a call.
    Delayed(Duration),
}

/// HTTP server in front of the store for one instance. Dropping it closes its connections.
pub struct ObjectServer {
    address: SocketAddr,
    behaviour: Arc<Mutex<StoreBehaviour>>,
    _tasks: JoinSet<()>,
}

impl ObjectServer {
    /// Starts a server in front of `store` that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(store: Arc<ObjectStore>, address: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let behaviour = Arc::new(Mutex::new(StoreBehaviour::default()));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, store, Arc::clone(&behaviour)));
        Ok(Self { address, behaviour, _tasks: tasks })
    }

    /// Returns the address that the server listens on, with the port that the system assigned if
    /// the requested port was 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how calls are handled. Calls that have begun are affected too: their response is
    /// withheld if the new behaviour sends none.
    pub fn set_behaviour(&self, behaviour: StoreBehaviour) {
        *self.behaviour.lock() = behaviour;
    }
}

async fn accept(
    listener: TcpListener,
    store: Arc<ObjectStore>,
    behaviour: Arc<Mutex<StoreBehaviour>>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        connections.spawn(serve(stream, Arc::clone(&store), Arc::clone(&behaviour)));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, store: Arc<ObjectStore>, behaviour: Arc<Mutex<StoreBehaviour>>) {
    let service = service_fn(move |req| {
        let (store, behaviour) = (Arc::clone(&store), Arc::clone(&behaviour));
        async move { Ok::<_, Infallible>(respond(&store, &behaviour, req).await) }
    });
    if let Err(err) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        log::debug!("connection from an instance to the object store failed: {err}");
    }
}

async fn respond(
    store: &ObjectStore,
    behaviour: &Mutex<StoreBehaviour>,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let initial_behaviour = *behaviour.lock();
    match initial_behaviour {
        StoreBehaviour::Unresponsive => std::future::pending().await,
        _ if store.is_down() => std::future::pending().await,
        StoreBehaviour::Unavailable => return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
        StoreBehaviour::Delayed(time) => tokio::time::sleep(time).await,
        StoreBehaviour::Normal | StoreBehaviour::DropsResponses => {}
    }
    let result = execute(store, req).await;
    // A fault that was injected during the call takes effect on its response.
    let final_behaviour = *behaviour.lock();
    if store.is_down()
        || matches!(final_behaviour, StoreBehaviour::Unresponsive | StoreBehaviour::DropsResponses)
    {
        std::future::pending::<()>().await;
    }
    let mut response = match result {
        Ok((status, value)) => answer(status, &value),
        Err(err) => error_response(&err),
    };
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(store.era()));
    response
}

async fn execute(
    store: &ObjectStore,
    req: Request<Incoming>,
) -> Result<(StatusCode, Value), StoreError> {
    let (head, body) = req.into_parts();
    let body =
        body.collect().await.map_err(|_| StoreError::BadRequest("request body ended early"))?;
    let body = body.to_bytes();
    let query = Query(head.uri.query().unwrap_or_default());
    let path: Vec<_> = head.uri.path().trim_matches('/').split('/').collect();
    match (&head.method, path.as_slice()) {
        (&Method::GET, ["api", "objects", kind]) => match query.number("watch") {
            Some(after) => {
                let wait = Duration::from_millis(query.number("wait-ms").unwrap_or_default());
                Ok((StatusCode::OK, store.watch(kind, after, wait).await?))
            }
            None => {
                Ok((StatusCode::OK, store.list(kind, query.text("after").unwrap_or_default())?))
            }
        },
        (&Method::GET, ["api", "objects", kind, name]) => {
            Ok((StatusCode::OK, store.get(kind, name)?))
        }
        (&Method::POST, ["api", "objects", kind]) => {
            let object = parse_json(&body)?;
            let name = object["meta"]["name"].as_str().unwrap_or_default();
            Ok((StatusCode::CREATED, store.put(kind, name, object["spec"].clone(), 0)?))
        }
        (&Method::PUT, ["api", "objects", kind, name]) => {
            let object = parse_json(&body)?;
            let revision = object["meta"]["revision"].as_u64().unwrap_or_default();
            Ok((StatusCode::OK, store.put(kind, name, object["spec"].clone(), revision)?))
        }
        _ => Err(StoreError::BadRequest("unknown method or path")),
    }
}

fn parse_json(body: &[u8]) -> Result<Value, StoreError> {
    serde_json::from_slice(body)
        .map_err(|_| StoreError::BadRequest("request body is not valid JSON"))
}

struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    fn text(&self, name: &str) -> Option<&'a str> {
        self.0.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}

fn error_response(err: &StoreError) -> Response<Full<Bytes>> {
    match err {
        StoreError::NotFound => answer(StatusCode::NOT_FOUND, &json!({})),
        StoreError::Conflict(object) => answer(StatusCode::CONFLICT, object),
        StoreError::Gone => answer(StatusCode::GONE, &json!({})),
        StoreError::RateLimited => answer(StatusCode::TOO_MANY_REQUESTS, &json!({})),
        StoreError::BadRequest(reason) => {
            answer(StatusCode::BAD_REQUEST, &json!({ "error": reason }))
        }
    }
}
