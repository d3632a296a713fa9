//! TCP relay that forwards connections to one address and can delay, block or reset them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daisymast_http::executor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Interval at which a blocked connection checks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of bytes forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Treatment of connections, both open and new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Data is forwarded immediately.
    #[default]
    Open,
    /// New connections and each forwarded chunk of data are delayed by this time.
    Delayed(Duration),
    /// No data is forwarded in either direction, and new connections do not reach the target.
    Silent,
    /// As `Silent`, but data sent in this mode is lost: connections that were used are closed when
    /// the mode changes.
    Cut,
    /// Data to the target is forwarded; data from the target is not.
    ResponsesBlocked,
    /// Open and new connections are closed.
    Reset,
}

/// A listener that accepts connections to a target until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<Link>,
    normal: Mode,
    _accept_task: Arc<smol::Task<()>>,
}

impl Relay {
    /// Opens a relay to a target, in mode [`Mode::Open`].
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(executor: &executor::Executor, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link::default());
        let (shared, connection_executor) = (Arc::clone(&link), Arc::clone(executor));
        let accept_task = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let link = Arc::clone(&shared);
                connection_executor
                    .spawn(async move {
                        // An error closes the connection, as it would without the relay.
                        drop(forward(stream, target, &link).await);
                    })
                    .detach();
            }
        });
        Ok(Self {
            address,
            link,
            normal: Mode::Open,
            _accept_task: Arc::new(accept_task),
        })
    }

    /// Listening address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode that the relay has without a fault.
    #[must_use]
    pub fn with_normal_mode(mut self, mode: Mode) -> Self {
        self.normal = mode;
        self.restore();
        self
    }

    /// Returns to the mode that the relay has without a fault.
    pub fn restore(&self) {
        self.set_mode(self.normal);
    }

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.link.mode) = mode;
    }

    /// Resets open connections when the caller uses them next, as a machine does that has restarted
    /// and knows nothing of them.
    pub fn forget_connections(&self) {
        self.link.target_life.fetch_add(1, Ordering::Relaxed);
    }
}

/// State that a relay shares with its connections.
#[derive(Debug, Default)]
struct Link {
    mode: Mutex<Mode>,
    /// Number of restarts of the target's machine.
    target_life: AtomicU64,
}

/// Ignores poisoning: the mode is only replaced as a whole, so it stays valid after a panic.
fn lock(mode: &Mutex<Mode>) -> MutexGuard<'_, Mode> {
    mode.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

async fn forward(caller: TcpStream, target: SocketAddr, link: &Link) -> std::io::Result<()> {
    wait_until_deliverable(&link.mode, Direction::ToTarget).await?;
    let target = TcpStream::connect(target).await?;
    let to_target = copy(caller.clone(), target.clone(), link, Direction::ToTarget);
    let to_caller = copy(target, caller, link, Direction::ToCaller);
    let reset = async {
        while *lock(&link.mode) != Mode::Reset {
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    };
    future::or(future::or(to_target, to_caller), reset).await
}

/// Waits until the mode allows data in a direction.
async fn wait_until_deliverable(mode: &Mutex<Mode>, direction: Direction) -> std::io::Result<()> {
    loop {
        let current = *lock(mode);
        match current {
            Mode::Open => return Ok(()),
            Mode::Delayed(time) => {
                Timer::after(time).await;
                return Ok(());
            }
            Mode::ResponsesBlocked if direction == Direction::ToTarget => return Ok(()),
            Mode::Cut => {
                while *lock(mode) == Mode::Cut {
                    Timer::after(POLL_INTERVAL).await;
                }
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            Mode::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
            Mode::Silent | Mode::ResponsesBlocked => {
                Timer::after(POLL_INTERVAL).await;
            }
        }
    }
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    link: &Link,
    direction: Direction,
) -> std::io::Result<()> {
    let target_life = link.target_life.load(Ordering::Relaxed);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let bytes = from.read(&mut buffer).await?;
        if bytes == 0 {
            return Ok(());
        }
        wait_until_deliverable(&link.mode, direction).await?;
        if link.target_life.load(Ordering::Relaxed) != target_life {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(&buffer[..bytes]).await?;
    }
}
