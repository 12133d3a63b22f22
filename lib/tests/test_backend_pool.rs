//! Pooled connections to servers that send unsolicited data, stop responding, or meet a caller that
//! stops reading.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use hollyhead::backend_pool::{BackendPool, ExchangeError, Failure};
use hollyhead::request_body::full;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";
const LARGE_BODY_BYTES: usize = 256 * 1024 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;
/// Number of scheduler yields without progress after which the server counts as blocked.
const STALLED_YIELDS: usize = 200_000;
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

struct Server {
    listener: TcpListener,
    address: SocketAddr,
}

impl Server {
    async fn new() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    async fn accept(&self) -> Result<TcpStream> {
        Ok(self.listener.accept().await?.0)
    }
}

async fn read_head(stream: &mut TcpStream) -> Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(())
}

async fn respond(stream: &mut TcpStream, body: &str) -> Result<()> {
    Ok(stream.write_all(format!("{RESPONSE_HEAD}{body}").as_bytes()).await?)
}

async fn send(
    pool: &Arc<BackendPool>,
    address: SocketAddr,
    timeout: Duration,
) -> Result<Bytes, Failure> {
    let req = Request::builder().uri("/orders").header("host", "quaydesk");
    let req = req.body(full(Bytes::new())).unwrap();
    let response = pool.send(address, req, Instant::now() + timeout).await?;
    assert_eq!(response.status(), StatusCode::OK);
    Ok(response.into_body().collect().await.unwrap().to_bytes())
}

/// A server that sends an unsolicited second response must not have it taken for the response to
/// the next request.
#[tokio::test]
async fn send_second_answer_on_wire_is_never_used() -> Result<()> {
    let (server, pool) = (Server::new().await?, Arc::new(BackendPool::default()));
    let serve = async {
        let mut first = server.accept().await?;
        read_head(&mut first).await?;
        first.write_all(format!("{RESPONSE_HEAD}ok{RESPONSE_HEAD}no").as_bytes()).await?;
        let mut second = server.accept().await?;
        read_head(&mut second).await?;
        respond(&mut second, "ok").await
    };
    let calls = async {
        assert_eq!(send(&pool, server.address, LONG_TIMEOUT).await.unwrap(), "ok");
        assert_eq!(send(&pool, server.address, LONG_TIMEOUT).await.unwrap(), "ok");
    };
    let (served, ()) = tokio::join!(serve, calls);
    served
}

/// A single broken connection must not count against a target that responds on other connections.
#[tokio::test]
async fn send_one_connection_silent_others_work() -> Result<()> {
    let (server, pool) = (Server::new().await?, Arc::new(BackendPool::default()));
    let (tx, mut rx) = mpsc::channel(1);
    let (done_tx, mut done_rx) = mpsc::channel(1);
    let serve = async {
        let mut unresponsive = server.accept().await?;
        read_head(&mut unresponsive).await?;
        tx.send(()).await?;
        let mut working = server.accept().await?;
        read_head(&mut working).await?;
        respond(&mut working, "ok").await?;
        done_rx.recv().await;
        drop(unresponsive);
        Ok::<_, anyhow::Error>(working)
    };
    let unresponsive = send(&pool, server.address, LONG_TIMEOUT);
    let working = async {
        rx.recv().await;
        let response = send(&pool, server.address, LONG_TIMEOUT).await;
        done_tx.send(()).await.unwrap();
        response
    };
    let (served, unresponsive, working) = tokio::join!(serve, unresponsive, working);
    drop(served?);
    let failure = unresponsive.unwrap_err();
    assert!(matches!(failure.error, ExchangeError::NoResponse(_)));
    assert!(failure.is_connection_only);
    assert_eq!(working.unwrap(), "ok");
    Ok(())
}

#[tokio::test]
async fn send_all_connections_silent_is_target() -> Result<()> {
    let (server, pool) = (Server::new().await?, Arc::new(BackendPool::default()));
    let failure = send(&pool, server.address, Duration::from_millis(50)).await.unwrap_err();
    assert_eq!(
        (failure.error, failure.is_connection_only),
        (ExchangeError::DeadlineExceeded, false)
    );
    Ok(())
}

/// The pool must not buffer a response that its caller does not read: backpressure has to reach the
/// server.
#[tokio::test(flavor = "multi_thread")]
async fn send_answer_that_nobody_reads_holds_server_back() -> Result<()> {
    let (server, pool) = (Server::new().await?, Arc::new(BackendPool::default()));
    let (address, written) = (server.address, Arc::new(AtomicUsize::new(0)));
    let count = Arc::clone(&written);
    let serve = tokio::spawn(async move {
        let mut stream = server.accept().await?;
        read_head(&mut stream).await?;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        let chunk = vec![7; CHUNK_BYTES];
        for _ in 0..LARGE_BODY_BYTES / CHUNK_BYTES {
            stream.write_all(&chunk).await?;
            count.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
        }
        Ok::<_, anyhow::Error>(())
    });
    let req = Request::builder().uri("/letters").header("host", "bundler").body(full(Bytes::new()));
    let response = pool.send(address, req?, Instant::now() + LONG_TIMEOUT).await.unwrap();
    let mut body = response.into_body();
    let mut received = body.frame().await.unwrap()?.into_data().unwrap().len();
    let (mut before, mut unchanged) = (0, 0);
    while unchanged < STALLED_YIELDS {
        tokio::task::yield_now().await;
        let now = written.load(Ordering::SeqCst);
        unchanged = if now == before { unchanged + 1 } else { 0 };
        before = now;
    }
    assert!(
        before < LARGE_BODY_BYTES / 4,
        "server sent {before} bytes of a response that is not read"
    );
    while let Some(frame) = body.frame().await {
        received += frame?.into_data().unwrap().len();
    }
    assert_eq!(received, LARGE_BODY_BYTES);
    serve.await?
}

#[tokio::test]
async fn send_connection_reused_after_whole_answer_only() -> Result<()> {
    let (server, pool) = (Server::new().await?, Arc::new(BackendPool::default()));
    let serve = async {
        let mut stream = server.accept().await?;
        for _ in 0..3 {
            read_head(&mut stream).await?;
            respond(&mut stream, "ok").await?;
        }
        Ok::<_, anyhow::Error>(stream)
    };
    let calls = async {
        for _ in 0..3 {
            assert_eq!(send(&pool, server.address, LONG_TIMEOUT).await.unwrap(), "ok");
            assert_eq!(pool.idle(server.address), 1);
        }
    };
    let (served, ()) = tokio::join!(serve, calls);
    drop(served?);
    Ok(())
}
