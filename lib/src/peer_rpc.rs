//! Transfer of complete configuration snapshots between instances, by Cap'n Proto RPC over TCP.
//!
//! Requests and replies carry an authentication tag, a BLAKE3 keyed hash under the peer key. The tag
//! of a reply covers the nonce of its request, so that a reply cannot be replayed.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use capnp::capability::Promise;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{pry, twoparty, RpcSystem};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Semaphore};
use tokio::task::LocalSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::config_digest::{FAN_OUT, LEAF_COUNT};
use crate::config_message::WireObject;
use crate::envelope::PeerKey;
use crate::kernel::Kernel;
use crate::peer_capnp::peer;
use crate::platform::Object;

/// Number of instances from which a fresh instance loads snapshots.
pub const SNAPSHOT_PEERS: usize = 3;
/// Longest time for the transfer of a snapshot, on either side of the connection.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a fresh instance that has found no peers looks for them again.
pub const PEER_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of attempts to find peers after which a fresh instance assumes that it is the only one.
pub const MAX_PEER_POLLS: u32 = 50;
/// Largest number of concurrent connections that the server accepts.
pub const MAX_CONNECTIONS: usize = 64;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Traversal limit of a request, in words of 8 bytes.
const MAX_REQUEST_WORDS: usize = 8 * 1024;
const REQUEST_LABEL: &[u8] = b"snapshot request";
const REPLY_LABEL: &[u8] = b"snapshot reply";

/// Reason why a snapshot was not loaded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerRpcError {
    /// The connection or the call failed.
    #[error("snapshot request to {peer} failed: {reason}")]
    Failed {
        /// Address of the instance that was called.
        peer: SocketAddr,
        /// Error of the connection, the call or the runtime.
        reason: String,
    },
    /// The reply has a wrong authentication tag.
    #[error("snapshot reply of {0} has a wrong authentication tag")]
    Forged(SocketAddr),
}

/// Snapshot server, which runs in its own thread until the value is dropped.
pub struct PeerRpcServer {
    _stop: oneshot::Sender<()>,
}

impl PeerRpcServer {
    /// Starts a server that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address, or cannot create its runtime or
    /// thread.
    pub fn start(kernel: Arc<Kernel>, address: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (stop, stopped) = oneshot::channel();
        let runtime = runtime()?;
        let serve = move || {
            let serve = async {
                tokio::select! {
                    result = accept(kernel, listener) => {
                        if let Err(err) = result {
                            log::error!("snapshot server failed: {err}");
                        }
                    }
                    _ = stopped => {}
                }
            };
            LocalSet::new().block_on(&runtime, serve);
        };
        std::thread::Builder::new().name("peer-rpc".into()).spawn(serve)?;
        Ok(Self { _stop: stop })
    }
}

fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

async fn accept(kernel: Arc<Kernel>, listener: std::net::TcpListener) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("cannot accept a snapshot connection: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!("snapshot connection from {from} refused: {MAX_CONNECTIONS} are open");
            continue;
        };
        let server = Server { kernel: Arc::clone(&kernel) };
        let client: peer::Client = capnp_rpc::new_client(server);
        let options = ReaderOptions {
            traversal_limit_in_words: Some(MAX_REQUEST_WORDS),
            ..ReaderOptions::default()
        };
        let rpc = RpcSystem::new(
            Box::new(vat_network(stream, Side::Server, options)),
            Some(client.client),
        );
        tokio::task::spawn_local(async move {
            let _permit = permit;
            match tokio::time::timeout(SNAPSHOT_TIMEOUT, rpc).await {
                Ok(Ok(())) => {}
                Ok(Err(err)) => log::debug!("snapshot connection from {from} failed: {err}"),
                Err(_) => log::debug!("snapshot to {from} not sent within {SNAPSHOT_TIMEOUT:?}"),
            }
        });
    }
}

fn vat_network(
    stream: TcpStream,
    side: Side,
    options: ReaderOptions,
) -> twoparty::VatNetwork<impl futures::AsyncRead + Unpin> {
    let (reader, writer) = stream.into_split();
    twoparty::VatNetwork::new(reader.compat(), writer.compat_write(), side, options)
}

struct Server {
    kernel: Arc<Kernel>,
}

impl peer::Server for Server {
    fn snapshot(
        &mut self,
        params: peer::SnapshotParams,
        mut results: peer::SnapshotResults,
    ) -> Promise<(), capnp::Error> {
        let req = pry!(pry!(params.get()).get_request());
        let (sender, nonce, leaf) = (pry!(req.get_sender()), pry!(req.get_nonce()), req.get_leaf());
        let key = self.kernel.peer_key(req.get_key());
        let key = pry!(key.ok_or_else(|| capnp::Error::failed("unknown key".into())));
        let expected =
            compute_tag(&key, REQUEST_LABEL, &[sender.as_bytes(), nonce, &leaf.to_be_bytes()]);
        if expected != pry!(parse_tag(pry!(req.get_code()))) {
            return Promise::err(capnp::Error::failed("forged request".into()));
        }
        let (next, records) = pry!(self.page(leaf));
        let tag = compute_tag(&key, REPLY_LABEL, &[nonce, &next.to_be_bytes(), &records]);
        let mut reply = results.get().init_reply();
        reply.set_next(next);
        reply.set_records(&records);
        reply.set_code(tag.as_bytes());
        Promise::ok(())
    }
}

impl Server {
    /// Returns the first leaf of the next page (0 after the last page) and the encoded records of
    /// the page that starts at `leaf`.
    fn page(&self, leaf: u16) -> Result<(u16, Vec<u8>), capnp::Error> {
        let end = leaf.saturating_add(FAN_OUT as u16).min(LEAF_COUNT as u16);
        let records = self.kernel.config().records_in(&(leaf..end).collect());
        let records: Vec<_> = records.iter().map(WireObject::from_record).collect();
        let records = postcard::to_stdvec(&records);
        let records = records.map_err(|err| capnp::Error::failed(err.to_string()))?;
        let next = if usize::from(end) == LEAF_COUNT { 0 } else { end };
        Ok((next, records))
    }
}

/// Waits for peers, then loads and applies the snapshots of up to [`SNAPSHOT_PEERS`] of them.
///
/// Returns without a snapshot if there are no peers after [`MAX_PEER_POLLS`] attempts.
pub async fn bootstrap_from_peers(kernel: Arc<Kernel>) {
    for _ in 0..MAX_PEER_POLLS {
        let peers = choose_peers(&kernel);
        if peers.is_empty() {
            tokio::time::sleep(PEER_POLL_INTERVAL).await;
            continue;
        }
        for peer in peers {
            match fetch(Arc::clone(&kernel), peer).await {
                Ok(objects) => drop(kernel.apply(&objects)),
                Err(err) => log::warn!("snapshot not loaded: {err}"),
            }
        }
        return;
    }
}

/// Returns random members of the own data centre, or of the whole region if the data centre has no
/// other member.
fn choose_peers(kernel: &Kernel) -> Vec<SocketAddr> {
    let view = kernel.view();
    let others = || view.members().iter().filter(|member| member.id != *kernel.id());
    let near = others().filter(|member| member.data_centre == *kernel.data_centre());
    let mut peers: Vec<_> = near.map(|member| member.peer).collect();
    if peers.is_empty() {
        peers = others().map(|member| member.peer).collect();
    }
    let mut chosen = Vec::new();
    while chosen.len() < SNAPSHOT_PEERS && !peers.is_empty() {
        let index = kernel.random().below(peers.len() as u64) as usize;
        chosen.push(peers.swap_remove(index));
    }
    chosen
}

/// Loads the complete snapshot of the instance at `peer`.
///
/// # Errors
///
/// Returns [`PeerRpcError::Failed`] if the call fails or exceeds [`SNAPSHOT_TIMEOUT`], and
/// [`PeerRpcError::Forged`] if a page has a wrong authentication tag.
pub async fn fetch(kernel: Arc<Kernel>, peer: SocketAddr) -> Result<Vec<Object>, PeerRpcError> {
    let failed = move |reason: String| PeerRpcError::Failed { peer, reason };
    let call = move || {
        let runtime = runtime().map_err(|err| failed(err.to_string()))?;
        let pages =
            async { tokio::time::timeout(SNAPSHOT_TIMEOUT, read_pages(&kernel, peer)).await };
        let result = LocalSet::new().block_on(&runtime, pages);
        result.map_err(|err| failed(err.to_string()))?
    };
    let result = tokio::task::spawn_blocking(call).await;
    result.map_err(|err| failed(err.to_string()))?
}

async fn read_pages(kernel: &Kernel, peer: SocketAddr) -> Result<Vec<Object>, PeerRpcError> {
    let failed = |reason: String| PeerRpcError::Failed { peer, reason };
    let stream = TcpStream::connect(peer).await.map_err(|err| failed(err.to_string()))?;
    let network = vat_network(stream, Side::Client, ReaderOptions::default());
    let mut rpc = RpcSystem::new(Box::new(network), None);
    let client: peer::Client = rpc.bootstrap(Side::Server);
    let connection = tokio::task::spawn_local(rpc);
    let mut objects = Vec::new();
    let mut leaf = 0;
    loop {
        let page = read_page(kernel, &client, leaf).await;
        let page = page.map_err(|err| failed(err.to_string()))?;
        let (next, records) = page.ok_or(PeerRpcError::Forged(peer))?;
        objects.extend(records.iter().filter_map(WireObject::object));
        if next <= leaf {
            break;
        }
        leaf = next;
    }
    connection.abort();
    Ok(objects)
}

/// Loads the page that starts at `leaf`, and returns the first leaf of the next page (0 after the
/// last page) and the records; `None` if the authentication tag is wrong.
async fn read_page(
    kernel: &Kernel,
    client: &peer::Client,
    leaf: u16,
) -> Result<Option<(u16, Vec<WireObject>)>, capnp::Error> {
    let (number, key) = kernel.sealing_key();
    let nonce = [kernel.random().next().to_be_bytes(), kernel.random().next().to_be_bytes()];
    let nonce = nonce.concat();
    let sender = kernel.id().as_str();
    let request_tag =
        compute_tag(&key, REQUEST_LABEL, &[sender.as_bytes(), &nonce, &leaf.to_be_bytes()]);
    let mut call = client.snapshot_request();
    let mut req = call.get().init_request();
    req.set_key(number);
    req.set_sender(sender);
    req.set_nonce(&nonce);
    req.set_leaf(leaf);
    req.set_code(request_tag.as_bytes());
    let response = call.send().promise.await?;
    let reply = response.get()?.get_reply()?;
    let (next, records) = (reply.get_next(), reply.get_records()?);
    let expected = compute_tag(&key, REPLY_LABEL, &[&nonce, &next.to_be_bytes(), records]);
    if expected != parse_tag(reply.get_code()?)? {
        return Ok(None);
    }
    let records =
        postcard::from_bytes(records).map_err(|err| capnp::Error::failed(err.to_string()))?;
    Ok(Some((next, records)))
}

/// Returns the authentication tag over a label and parts, each preceded by its length. The tag type
/// compares in constant time.
fn compute_tag(key: &PeerKey, label: &[u8], parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(label);
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

fn parse_tag(bytes: &[u8]) -> Result<blake3::Hash, capnp::Error> {
    let tag: [u8; blake3::OUT_LEN] =
        bytes.try_into().map_err(|_| capnp::Error::failed("code of wrong length".into()))?;
    Ok(tag.into())
}
