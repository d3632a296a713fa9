//! TCP relay in the test process for connections between instances, which simulates network
//! partitions.
//!
//! An instance advertises one address to all others, so each target has one relay listener. Each
//! connection belongs to one sender, which is read from the first message. The relay then treats
//! the connection as a directed link from sender to target, which a test can block.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daisymast_http::executor::Executor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Interval at which a connection over a blocked link checks whether the link is still blocked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of bytes searched for the sender in the first message: an HTTP head and the start
/// of the body.
const HEAD_BYTES: usize = 32 * 1024;
/// MessagePack encoding of the key `from`, a string of four bytes. It is the first field of a
/// message between instances, and its value is a string.
const SENDER_KEY: &[u8] = b"\xa4from";

/// Directed links between instances, as pairs of sender and target, that are blocked.
#[derive(Clone, Debug, Default)]
pub struct BlockedLinks(Arc<Mutex<Vec<(String, String)>>>);

impl BlockedLinks {
    /// Replaces the blocked links. Data sent over a blocked link is lost, also in open connections.
    pub fn set(&self, pairs: Vec<(String, String)>) {
        *self.lock() = pairs;
    }

    fn contains(&self, from: &str, to: &str) -> bool {
        self.lock().iter().any(|(a, b)| a == from && b == to)
    }

    /// Ignores poisoning: the list is replaced as a whole, so it stays valid after a panic.
    fn lock(&self) -> MutexGuard<'_, Vec<(String, String)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Listener that forwards connections to one instance. On drop, it stops accepting new ones.
#[derive(Debug)]
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    _accepting: smol::Task<()>,
}

impl Relay {
    pub(crate) async fn open(executor: &Executor, name: &str, blocked: BlockedLinks) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener
            .local_addr()
            .expect("local address of the listener");
        let target = Arc::new(Mutex::new(None));
        let (shared_target, spawner, name) =
            (Arc::clone(&target), Arc::clone(executor), name.to_owned());
        let accepting = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let address = *shared_target.lock().unwrap_or_else(PoisonError::into_inner);
                let (name, blocked) = (name.clone(), blocked.clone());
                spawner
                    .spawn(async move {
                        // An I/O error closes the connection, as it would without the relay.
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

/// Copies bytes until a side closes or bytes arrive over a blocked link; these are discarded.
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

/// Waits until a link is unblocked. The caller keeps a connection that has lost bytes open
/// meanwhile: both sides see no data, and see the connection close once the link is unblocked.
async fn wait_until_unblocked(blocked: &BlockedLinks, from: &str, to: &str) {
    while blocked.contains(from, to) {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Sender named in the first message; `None` until its name has arrived in full.
fn parse_sender(head: &[u8]) -> Option<String> {
    let key = head
        .windows(SENDER_KEY.len())
        .position(|part| part == SENDER_KEY)?;
    let value = head.get(key + SENDER_KEY.len()..)?;
    let (marker, text) = value.split_first()?;
    // MessagePack stores the length of a string of up to 31 bytes in the low five bits of the
    // marker.
    let length = usize::from(marker.checked_sub(0xa0)?);
    let name = text.get(..length)?;
    String::from_utf8(name.to_vec()).ok()
}
