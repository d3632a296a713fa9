//! TCP relay in the test process that the links between instances run through.
//!
//! An instance tells all others one address, so there is one listener for each target. A connection
//! belongs to one sender, and its first message names that sender; from then on the connection is a
//! directed pair, which can be cut.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daisymast_http::executor::Executor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Time between two looks at the cuts of a connection that is cut.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes in which a first message names its sender: an HTTP head and the start of the body.
const HEAD_BYTES: usize = 32 * 1024;
/// First field of a message between instances in MessagePack: a key of four bytes, before a string.
const SENDER_KEY: &[u8] = b"\xa4from";

/// Directed pairs that are cut.
#[derive(Clone, Debug, Default)]
pub struct BlockedLinks(Arc<Mutex<Vec<(String, String)>>>);

impl BlockedLinks {
    /// Replaces the cut pairs. What is sent over a cut pair is lost, also in connections that exist.
    pub fn set(&self, pairs: Vec<(String, String)>) {
        *self.lock() = pairs;
    }

    fn contains(&self, from: &str, to: &str) -> bool {
        self.lock().iter().any(|(a, b)| a == from && b == to)
    }

    /// The list is replaced as a whole, so it is usable after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, Vec<(String, String)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listener that carries connections to one instance until it is dropped.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    _accepting: smol::Task<()>,
}

impl Relay {
    pub(crate) async fn open(executor: &Executor, name: &str, blocked: BlockedLinks) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("an address");
        let target = Arc::new(Mutex::new(None));
        let (shared_target, spawner, name) =
            (Arc::clone(&target), Arc::clone(executor), name.to_owned());
        let accepting = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let address = *shared_target.lock().unwrap_or_else(PoisonError::into_inner);
                let (name, blocked) = (name.clone(), blocked.clone());
                spawner
                    .spawn(async move {
                        // An error ends the connection, as it would without the relay.
                        drop(forward(stream, address, &name, &blocked).await);
                    })
                    .detach();
            }
        });
        Self {
            address,
            target,
            _accepting: accepting,
        }
    }

    pub(crate) fn set_target(&self, address: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }
}

async fn forward(
    mut sender: TcpStream,
    target: Option<SocketAddr>,
    name: &str,
    blocked: &BlockedLinks,
) -> std::io::Result<()> {
    let Some(target) = target else { return Ok(()) };
    let mut head = Vec::new();
    let mut buffer = [0; 4096];
    let from = loop {
        let bytes = sender.read(&mut buffer).await?;
        head.extend_from_slice(&buffer[..bytes]);
        if let Some(from) = parse_sender(&head) {
            break from;
        }
        if bytes == 0 || head.len() > HEAD_BYTES {
            return Ok(());
        }
    };
    if blocked.contains(&from, name) {
        wait_until_unblocked(blocked, &from, name).await;
        return Ok(());
    }
    let mut receiver = TcpStream::connect(target).await?;
    receiver.write_all(&head).await?;
    let is_blocked = || blocked.contains(&from, name);
    let upstream = copy(sender.clone(), receiver.clone(), &is_blocked);
    let downstream = copy(receiver, sender, &is_blocked);
    if future::or(upstream, downstream).await? == CopyEnd::Blocked {
        wait_until_unblocked(blocked, &from, name).await;
    }
    Ok(())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyEnd {
    Closed,
    Blocked,
}

/// Copies until a side closes or bytes arrive over a cut pair. Those are lost.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    is_blocked: &impl Fn() -> bool,
) -> std::io::Result<CopyEnd> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let bytes = from.read(&mut buffer).await?;
        if is_blocked() {
            return Ok(CopyEnd::Blocked);
        }
        if bytes == 0 {
            return Ok(CopyEnd::Closed);
        }
        to.write_all(&buffer[..bytes]).await?;
    }
}

/// Holds a connection that has lost bytes: both sides see silence, and its end after the cut.
async fn wait_until_unblocked(blocked: &BlockedLinks, from: &str, to: &str) {
    while blocked.contains(from, to) {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// The sender that the first message names, once it has arrived.
fn parse_sender(head: &[u8]) -> Option<String> {
    let key = head
        .windows(SENDER_KEY.len())
        .position(|part| part == SENDER_KEY)?;
    let value = head.get(key + SENDER_KEY.len()..)?;
    let (marker, text) = value.split_first()?;
    // A string of up to 31 bytes has its length in the low five bits of the marker.
    let length = usize::from(marker.checked_sub(0xa0)?);
    let name = text.get(..length)?;
    String::from_utf8(name.to_vec()).ok()
}
