//! Whole snapshots of the configuration between instances, by capnp-rpc on TCP.
//!
//! Requests and replies carry a BLAKE3 code under the peer key. The code of a reply covers the
//! nonce of its request, so that a reply cannot be replayed.

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

/// Number of instances that a fresh instance takes snapshots from.
pub const SNAPSHOT_PEERS: usize = 3;
/// Time after which a snapshot is given up.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks for peers of a fresh instance.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of looks after which a fresh instance takes itself for the only one.
pub const MAX_POLLS: u32 = 50;
/// Largest number of connections at once.
pub const MAX_CONNECTIONS: usize = 64;
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
const REQUEST_WORDS: usize = 8 * 1024;
const REQUEST_LABEL: &[u8] = b"snapshot request";
const REPLY_LABEL: &[u8] = b"snapshot reply";

/// Reason why there is no snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerRpcError {
    /// The call failed.
    #[error("call to {peer} failed: {reason}")]
    Failed {
        /// Instance that was called.
        peer: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The reply does not carry the right code.
    #[error("reply of {0} is forged")]
    Forged(SocketAddr),
}

/// Serves snapshots in a thread of its own until it is dropped.
pub struct PeerRpcServer {
    _stop: oneshot::Sender<()>,
}

impl PeerRpcServer {
    /// Starts to serve at an address.
    ///
    /// # Errors
    ///
    /// Returns why the address cannot be listened on, or why there is no thread.
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
                            log::error!("snapshots are not served: {err}");
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
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("connection of an instance not accepted: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!("connection of {from} refused: too many are open");
            continue;
        };
        let server = Server { kernel: Arc::clone(&kernel) };
        let client: peer::Client = capnp_rpc::new_client(server);
        let options = ReaderOptions {
            traversal_limit_in_words: Some(REQUEST_WORDS),
            ..ReaderOptions::default()
        };
        let rpc = RpcSystem::new(Box::new(vat(stream, Side::Server, options)), Some(client.client));
        tokio::task::spawn_local(async move {
            let _slot = slot;
            match tokio::time::timeout(SNAPSHOT_TIMEOUT, rpc).await {
                Ok(Ok(())) => {}
                Ok(Err(err)) => log::debug!("connection of {from} ended: {err}"),
                Err(_) => log::debug!("connection of {from} took too long"),
            }
        });
    }
}

fn vat(
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
        let expected = code(&key, REQUEST_LABEL, &[sender.as_bytes(), nonce, &leaf.to_be_bytes()]);
        if expected != pry!(fixed(pry!(req.get_code()))) {
            return Promise::err(capnp::Error::failed("forged request".into()));
        }
        let (next, records) = pry!(self.page(leaf));
        let code = code(&key, REPLY_LABEL, &[nonce, &next.to_be_bytes(), &records]);
        let mut reply = results.get().init_reply();
        reply.set_next(next);
        reply.set_records(&records);
        reply.set_code(code.as_bytes());
        Promise::ok(())
    }
}

impl Server {
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

/// Takes snapshots from several peers and applies them, once there are peers.
pub async fn bootstrap_from_peers(kernel: Arc<Kernel>) {
    for _ in 0..MAX_POLLS {
        let peers = choose_peers(&kernel);
        if peers.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        for peer in peers {
            match fetch(Arc::clone(&kernel), peer).await {
                Ok(objects) => drop(kernel.apply(&objects)),
                Err(err) => log::warn!("no snapshot: {err}"),
            }
        }
        return;
    }
}

/// Returns random members of the own data centre, or of all when there are none.
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

/// Reads the whole snapshot of a peer.
///
/// # Errors
///
/// Returns why there is no snapshot.
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
    let network = vat(stream, Side::Client, ReaderOptions::default());
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

/// Reads one page; `None` when its code is wrong.
async fn read_page(
    kernel: &Kernel,
    client: &peer::Client,
    leaf: u16,
) -> Result<Option<(u16, Vec<WireObject>)>, capnp::Error> {
    let (number, key) = kernel.sealing_key();
    let nonce = [kernel.random().next().to_be_bytes(), kernel.random().next().to_be_bytes()];
    let nonce = nonce.concat();
    let sender = kernel.id().as_str();
    let request_code = code(&key, REQUEST_LABEL, &[sender.as_bytes(), &nonce, &leaf.to_be_bytes()]);
    let mut call = client.snapshot_request();
    let mut req = call.get().init_request();
    req.set_key(number);
    req.set_sender(sender);
    req.set_nonce(&nonce);
    req.set_leaf(leaf);
    req.set_code(request_code.as_bytes());
    let response = call.send().promise.await?;
    let reply = response.get()?.get_reply()?;
    let (next, records) = (reply.get_next(), reply.get_records()?);
    let expected = code(&key, REPLY_LABEL, &[&nonce, &next.to_be_bytes(), records]);
    if expected != fixed(reply.get_code()?)? {
        return Ok(None);
    }
    let records =
        postcard::from_bytes(records).map_err(|err| capnp::Error::failed(err.to_string()))?;
    Ok(Some((next, records)))
}

/// Returns the code over a label and parts, each with its length. Codes compare in constant time.
fn code(key: &PeerKey, label: &[u8], parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(label);
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}

fn fixed(code: &[u8]) -> Result<blake3::Hash, capnp::Error> {
    let bytes: [u8; blake3::OUT_LEN] =
        code.try_into().map_err(|_| capnp::Error::failed("code of wrong length".into()))?;
    Ok(bytes.into())
}
